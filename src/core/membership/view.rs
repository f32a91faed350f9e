//! The VMs that one VM knows.

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
    /// The VM's name.
    pub id: VmId,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// Distinguishes this run from earlier ones.
    pub incarnation: Incarnation,
    /// The TCP address for messages of peers.
    pub peer_address: SocketAddr,
    /// The UDP address for packets that peers relay.
    pub relay_address: SocketAddr,
}

/// What is believed about a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberState {
    /// Heartbeats arrive, and the VM hears those of this one.
    Alive,
    /// Heartbeats have stopped, or the VM does not hear this one.
    Suspect,
    /// The VM has announced its planned stop.
    Leaving,
}

/// A VM as this VM sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The VM.
    pub vm: Vm,
    /// What is believed about it.
    pub state: MemberState,
    /// When its last heartbeat arrived.
    pub heard: Time,
    /// When it last confirmed that it hears this run of this VM.
    pub confirmed: Time,
    /// The generation that its last heartbeat reported in force.
    pub generation: Generation,
}

/// The VMs that this VM knows.
#[derive(Clone, Debug)]
pub struct View {
    /// This VM.
    pub me: Vm,
    /// Counts the changes of who is a member, in which run and state.
    pub version: u64,
    /// When this run started or last woke from a pause.
    ///
    /// What a VM believed before that may be out of date.
    pub resumed: Time,
    /// All known VMs, sorted by name.
    ///
    /// Invariant: `me` is always among them, alive or leaving.
    pub members: Vec<Member>,
}

impl View {
    /// Creates a view of a VM that knows no other.
    pub fn new(me: Vm, now: Time) -> View {
        let member = Member {
            vm: me.clone(),
            state: MemberState::Alive,
            heard: now,
            confirmed: now,
            generation: Generation::default(),
        };
        View {
            me,
            version: 0,
            resumed: now,
            members: vec![member],
        }
    }

    /// Returns the member called `id`.
    pub fn member(&self, id: &VmId) -> Option<&Member> {
        let at = self.position(id).ok()?;
        self.members.get(at)
    }

    /// Returns the members that take new duties.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|m| m.state == MemberState::Alive)
    }

    /// Returns all members but this VM.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.vm.id != self.me.id)
    }

    /// Returns where the member called `id` is, or would be.
    pub(super) fn position(&self, id: &VmId) -> Result<usize, usize> {
        self.members.binary_search_by(|m| m.vm.id.cmp(id))
    }
}
