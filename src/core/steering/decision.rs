//! What was decided and why, for the log.

use std::net::SocketAddrV4;

use derive_more::Display;

use super::{
    directory::Fitness,
    evidence::Evidence,
    packet::{
        DropReason,
        FlowId,
        ResetReason, //
    },
    store::{
        Kind,
        Revision, //
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

/// Where knowledge came from.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Source {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another VM.
    #[display("peer")]
    Peer,
}

/// A decision, with the inputs that made it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A new flow was sent to a backend server.
    FlowPlaced {
        /// The flow.
        flow: FlowId,
        /// How many copies of its first packet the client had sent.
        copy: u32,
        /// The backend server.
        tag: Tag,
        /// How fit it was.
        fitness: Fitness,
        /// The version of the configuration.
        configuration: Revision,
        /// How old the knowledge of backend servers was.
        age: Millis,
    },
    /// A client was told that its flow is over.
    FlowReset {
        /// The flow.
        flow: FlowId,
        /// The backend server that held it, if any.
        tag: Option<Tag>,
        /// Why.
        reason: ResetReason,
        /// The version of the configuration.
        configuration: Revision,
    },
    /// A packet was dropped.
    PacketDropped {
        /// The flow.
        flow: FlowId,
        /// The tag in the packet.
        tag: Option<Tag>,
        /// Why.
        reason: DropReason,
    },
    /// Flows placed at a backend server do not open; others get new flows.
    BackendDoubtful {
        /// The backend server.
        tag: Tag,
    },
    /// A backend server is held for dead.
    BackendDead {
        /// The backend server.
        tag: Tag,
        /// What speaks against it.
        evidence: Evidence,
        /// Its flows at this VM, which were reset.
        flows: usize,
    },
    /// A backend server that was held for dead accepts connections.
    BackendRevived {
        /// The backend server.
        tag: Tag,
    },
    /// The store no longer lists a backend server, or another run of it.
    BackendEnded {
        /// The backend server.
        tag: Tag,
        /// Its flows at this VM, which were reset.
        flows: usize,
    },
    /// Something new of a kind is known.
    Learnt {
        /// The kind.
        kind: Kind,
        /// The version.
        revision: Revision,
        /// The operators' number of the configuration in force.
        version: u64,
        /// Where it came from.
        source: Source,
        /// How old it is at least.
        age: Millis,
    },
    /// This VM is now able to serve new flows, or no longer.
    Readiness {
        /// Whether it is.
        is_ready: bool,
        /// The number of backend servers that take new flows.
        backends: usize,
    },
    /// The routers send the clients of a data centre to others, because none of
    /// its VMs answers them.
    TakenOver {
        /// The data centre.
        data_centre: DataCentreId,
        /// The replicas of flows that this VM keeps.
        replicas: usize,
    },
    /// The store stopped answering this VM, or answers again.
    StoreAnswers {
        /// Whether it does.
        answers: bool,
        /// The kind that was asked for.
        kind: Kind,
    },
    /// Another VM was heard for the first time, or is heard no longer.
    PeerHeard {
        /// Whether it is heard.
        is_heard: bool,
        /// The VM.
        vm: VmId,
        /// Its data centre.
        data_centre: DataCentreId,
        /// Its address.
        address: SocketAddrV4,
    },
}

impl Decision {
    /// The numbered event that the decision is logged as.
    pub fn notice(&self) -> Notice {
        match self {
            Decision::FlowPlaced { .. } => Notice::FlowPlaced,
            Decision::FlowReset { .. } => Notice::FlowReset,
            Decision::PacketDropped { .. } => Notice::PacketDropped,
            Decision::BackendDoubtful { .. } => Notice::BackendDoubtful,
            Decision::BackendDead { .. } => Notice::BackendDead,
            Decision::BackendRevived { .. } => Notice::BackendRevived,
            Decision::BackendEnded { .. } => Notice::BackendEnded,
            Decision::Learnt { .. } => Notice::Learnt,
            Decision::Readiness { is_ready: true, .. } => Notice::Ready,
            Decision::Readiness { .. } => Notice::NotReady,
            Decision::TakenOver { .. } => Notice::DataCentreTakenOver,
            Decision::StoreAnswers { answers: true, .. } => Notice::StoreRegained,
            Decision::StoreAnswers { .. } => Notice::StoreLost,
            Decision::PeerHeard { is_heard: true, .. } => Notice::PeerFound,
            Decision::PeerHeard { .. } => Notice::PeerSilent,
        }
    }
}
