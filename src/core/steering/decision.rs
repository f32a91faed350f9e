//! Decisions and their inputs, for the log.

use std::net::SocketAddrV4;

use derive_more::Display;

use super::{
    directory::Fitness,
    evacuations::{
        EvacuationChange,
        EvacuationStep, //
    },
    evidence::Evidence,
    packet::{
        DropReason,
        FlowId,
        ResetReason, //
    },
    paths::PathEvidence,
    store::{
        Era,
        Kind,
        Malformed,
        Position, //
    },
    tag::Tag,
};
use crate::{
    core::{
        names::{
            DataCentreId,
            VmId, //
        },
        notice::Notice,
    },
    kernel::clock::Millis,
};

/// Origin of a view of the store.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Source {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another VM.
    #[display("peer")]
    Peer,
}

/// A decision with the inputs it was based on.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A new flow was sent to a backend server.
    FlowPlaced {
        /// Flow.
        flow: FlowId,
        /// Retransmission number of the opening packet; zero for the first
        /// copy.
        copy: u32,
        /// Chosen backend server.
        tag: Tag,
        /// Fitness of the backend server.
        fitness: Fitness,
        /// Store position of the configuration.
        configuration: Position,
        /// Age of the view of the backend servers.
        age: Millis,
    },
    /// A flow was reset.
    FlowReset {
        /// Flow.
        flow: FlowId,
        /// Backend server of the flow, if any.
        tag: Option<Tag>,
        /// Reason for the reset.
        reason: ResetReason,
        /// Store position of the configuration.
        configuration: Position,
    },
    /// A packet was dropped.
    PacketDropped {
        /// Flow.
        flow: FlowId,
        /// Tag in the packet.
        tag: Option<Tag>,
        /// Reason for the drop.
        reason: DropReason,
    },
    /// Handshakes with a backend server fail; others are preferred for new
    /// flows.
    HandshakesFailing {
        /// Backend server.
        tag: Tag,
    },
    /// A backend server responds far too fast; others are preferred for new flows.
    ResponsesTooFast {
        /// Backend server.
        tag: Tag,
    },
    /// A backend server was declared dead.
    BackendDead {
        /// Backend server.
        tag: Tag,
        /// Evidence that led to the decision.
        evidence: Evidence,
        /// Number of its flows at this VM, all reset.
        flows: usize,
    },
    /// A backend server that was declared dead accepts connections again.
    BackendRevived {
        /// Backend server.
        tag: Tag,
    },
    /// The store no longer lists a backend server, or lists a later run of it.
    BackendEnded {
        /// Backend server.
        tag: Tag,
        /// Number of its flows at this VM, all reset.
        flows: usize,
    },
    /// New objects of a kind took effect.
    StoreUpdateApplied {
        /// Kind.
        kind: Kind,
        /// Store position.
        position: Position,
        /// Operator-assigned version of the active configuration.
        version: u64,
        /// Origin of the objects.
        source: Source,
        /// Lower bound of their age.
        age: Millis,
    },
    /// The store was restored from an older copy.
    StoreRestored {
        /// Era before.
        before: Era,
        /// Era since the restore.
        era: Era,
    },
    /// A configuration is older than the active one and was not activated.
    ConfigurationHeldBack {
        /// Operator-assigned version of the older one.
        version: u64,
        /// Operator-assigned version of the active one.
        active: u64,
        /// Store position of the older one.
        position: Position,
    },
    /// A restored store lists backend servers that drain, have left or have
    /// started again; they get no new flows until they write themselves again.
    BackendsDoubted {
        /// Number of backend servers.
        backends: usize,
    },
    /// The store answered with something that cannot be used.
    Malformed(Malformed),
    /// The evacuation of a data centre began, ended or is in doubt.
    Evacuation(EvacuationChange),
    /// This VM became ready for new flows, or is no longer ready.
    Readiness {
        /// Whether it is ready.
        is_ready: bool,
        /// Number of backend servers that take new flows.
        backends: usize,
    },
    /// Routers send the clients of a data centre to others, because none of its
    /// VMs answers.
    TakenOver {
        /// Data centre without reachable VMs.
        data_centre: DataCentreId,
        /// Number of flow replicas at this VM.
        replicas: usize,
    },
    /// The store stopped answering this VM, or answers again.
    StoreAnswers {
        /// Whether it answers.
        answers: bool,
        /// Kind of the objects that were requested.
        kind: Kind,
    },
    /// The path to a data centre was lost.
    PathLost {
        /// Data centre.
        data_centre: DataCentreId,
        /// Evidence for the loss.
        evidence: PathEvidence,
    },
    /// The path to a data centre works again.
    PathRestored {
        /// Data centre.
        data_centre: DataCentreId,
        /// How long it was lost.
        lost_for: Millis,
    },
    /// A peer was heard for the first time, or is no longer heard.
    PeerHeard {
        /// Whether it is heard.
        is_heard: bool,
        /// Name of the peer.
        vm: VmId,
        /// Data centre of the peer.
        data_centre: DataCentreId,
        /// Address of the peer.
        address: SocketAddrV4,
    },
}

impl Decision {
    /// Returns the numbered event that the decision is logged as.
    pub fn notice(&self) -> Notice {
        match self {
            Decision::FlowPlaced { .. } => Notice::FlowPlaced,
            Decision::FlowReset { .. } => Notice::FlowReset,
            Decision::PacketDropped { .. } => Notice::PacketDropped,
            Decision::HandshakesFailing { .. } => Notice::HandshakesFailing,
            Decision::ResponsesTooFast { .. } => Notice::ResponsesTooFast,
            Decision::BackendDead { .. } => Notice::BackendDead,
            Decision::BackendRevived { .. } => Notice::BackendRevived,
            Decision::BackendEnded { .. } => Notice::BackendEnded,
            Decision::StoreUpdateApplied { .. } => Notice::StoreUpdateApplied,
            Decision::StoreRestored { .. } => Notice::StoreRestored,
            Decision::ConfigurationHeldBack { .. } => Notice::ConfigurationHeldBack,
            Decision::BackendsDoubted { .. } => Notice::BackendsDoubted,
            Decision::Malformed(Malformed::Answer { .. }) => Notice::AnswerMalformed,
            Decision::Malformed(Malformed::Object { .. }) => Notice::ObjectMalformed,
            Decision::Evacuation(change) => match change.step {
                EvacuationStep::Begun => Notice::EvacuationBegun,
                EvacuationStep::Ended => Notice::EvacuationEnded,
                EvacuationStep::Doubted => Notice::EvacuationDoubted,
            },
            Decision::Readiness { is_ready: true, .. } => Notice::Ready,
            Decision::Readiness { .. } => Notice::NotReady,
            Decision::TakenOver { .. } => Notice::DataCentreTakenOver,
            Decision::StoreAnswers { answers: true, .. } => Notice::StoreRegained,
            Decision::StoreAnswers { .. } => Notice::StoreLost,
            Decision::PathLost { .. } => Notice::PathLost,
            Decision::PathRestored { .. } => Notice::PathRestored,
            Decision::PeerHeard { is_heard: true, .. } => Notice::PeerFound,
            Decision::PeerHeard { .. } => Notice::PeerSilent,
        }
    }
}
