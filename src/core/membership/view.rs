//! The membership view of one VM.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::names::{
        DataCentreId,
        Generation,
        Incarnation,
        VmId, //
    },
    kernel::clock::Time,
};

/// One run of the process on an entry VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub id: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
    /// Distinguishes this run from earlier runs; later runs have higher values.
    pub incarnation: Incarnation,
    /// TCP address for messages from peers.
    pub peer_address: SocketAddr,
    /// UDP address for packets that peers relay.
    pub relay_address: SocketAddr,
}

/// The state of a VM as seen by this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberState {
    /// Heartbeats arrive, and the VM confirms those of this VM.
    Alive,
    /// Heartbeats have stopped, or the VM does not confirm those of this VM.
    Suspect,
    /// The VM has announced its graceful shutdown.
    Leaving,
}

/// A VM in the view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Identity and addresses of the VM.
    pub vm: Vm,
    /// The state of the VM as seen by this VM.
    pub state: MemberState,
    /// When its last heartbeat arrived.
    pub last_heard: Time,
    /// When it last confirmed heartbeats of this run of this VM.
    pub last_confirmed: Time,
    /// The configuration generation in force according to its last heartbeat.
    pub generation: Generation,
}

/// The VMs that this VM knows, with their states.
#[derive(Clone, Debug)]
pub struct View {
    /// This VM.
    pub me: Vm,
    /// Incremented when a member is added or removed, or when its run or state
    /// changes.
    pub version: u64,
    /// When this run started or last resumed from a pause. State from before
    /// that may be out of date.
    pub resumed: Time,
    /// All known VMs, sorted by name.
    ///
    /// Invariant: `me` is always among them, alive or leaving.
    pub members: Vec<Member>,
}

impl View {
    /// Creates a view that contains only this VM.
    pub fn new(me: Vm, now: Time) -> View {
        let member = Member {
            vm: me.clone(),
            state: MemberState::Alive,
            last_heard: now,
            last_confirmed: now,
            generation: Generation::default(),
        };
        View {
            me,
            version: 0,
            resumed: now,
            members: vec![member],
        }
    }

    /// Returns the member named `id`.
    pub fn member(&self, id: &VmId) -> Option<&Member> {
        let index = self.position(id).ok()?;
        self.members.get(index)
    }

    /// Returns the alive members. Only these may be given new work.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|m| m.state == MemberState::Alive)
    }

    /// Returns all members except this VM.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.vm.id != self.me.id)
    }

    /// Returns the index of the member named `id`, or the index at which it
    /// would be inserted.
    pub(super) fn position(&self, id: &VmId) -> Result<usize, usize> {
        self.members.binary_search_by(|m| m.vm.id.cmp(id))
    }
}
