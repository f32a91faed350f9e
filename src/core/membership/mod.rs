//! Who belongs to the fleet: heartbeats, incarnations and views.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        cx::Cx,
        names::{
            DataCentreId,
            Generation,
            Incarnation,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How often a VM sends heartbeats.
pub const HEARTBEAT_INTERVAL: Millis = Millis(500);

/// A process that handles no event for this long has been paused.
pub const PAUSE_LIMIT: Millis = Millis::from_secs(1);

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
    pub peers: SocketAddr,
    /// The UDP address for packets that peers relay.
    pub relay: SocketAddr,
}

/// What is believed about a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberState {
    /// Heartbeats arrive.
    Alive,
    /// Heartbeats have stopped for a short while.
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
    /// The generation that its last heartbeat reported in force.
    pub generation: Generation,
}

/// The VMs that this VM knows.
#[derive(Clone, Debug)]
pub struct View {
    /// This VM.
    pub me: Vm,
    /// Counts the changes of `members`.
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
    pub fn alone(me: Vm, now: Time) -> View {
        let member = Member {
            vm: me.clone(),
            state: MemberState::Alive,
            heard: now,
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
        self.members.iter().find(|m| m.vm.id == *id)
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
}

/// A message about membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// The sender is alive.
    Heartbeat {
        /// The sender.
        vm: Vm,
        /// The generation in force at the sender.
        generation: Generation,
        /// Whether the sender has begun a planned stop.
        leaving: bool,
    },
}

/// An address at which a VM may be found at start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seed {
    /// The VM's name.
    pub id: VmId,
    /// The TCP address for messages of peers.
    pub peers: SocketAddr,
}

/// The membership state machine.
#[derive(Debug)]
pub struct Membership {
    view: Arc<View>,
    seeds: Vec<Seed>,
    next_heartbeat: Time,
    last_event: Time,
    leaving: bool,
}

impl Membership {
    /// Starts with the VMs that the settings name.
    pub fn open(me: Vm, seeds: Vec<Seed>, now: Time) -> Membership {
        Membership {
            view: Arc::new(View::alone(me, now)),
            seeds,
            next_heartbeat: now,
            last_event: now,
            leaving: false,
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Notices a pause of this process. To be called before each event.
    pub fn on_time(&mut self, now: Time) {
        if now.since(self.last_event) >= PAUSE_LIMIT {
            Arc::make_mut(&mut self.view).resumed = now;
        }
        self.last_event = now;
    }

    /// Announces the planned stop of this VM.
    pub fn leave(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        self.next_heartbeat = cx.now;
        self.tick(cx);
    }

    /// Sends due heartbeats and ages the members.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = cx.now + HEARTBEAT_INTERVAL;
        for seed in &self.seeds {
            if seed.id == self.view.me.id {
                continue;
            }
            cx.send(
                &seed.id,
                MembershipMessage::Heartbeat {
                    vm: self.view.me.clone(),
                    generation: cx.cfg.generation,
                    leaving: self.leaving,
                },
            );
        }
    }

    /// Takes in a message of another VM.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, msg: MembershipMessage) {
        let MembershipMessage::Heartbeat {
            vm,
            generation,
            leaving,
        } = msg;
        let state = if leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        let member = Member {
            vm,
            state,
            heard: cx.now,
            generation,
        };
        let view = Arc::make_mut(&mut self.view);
        let place = view
            .members
            .binary_search_by(|m| m.vm.id.cmp(&member.vm.id));
        match place {
            Ok(at) => view.members[at] = member,
            Err(at) => {
                view.members.insert(at, member);
                view.version += 1;
            }
        }
    }
}
