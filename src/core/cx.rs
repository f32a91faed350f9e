//! The context that every decision is made in.

use rand::rngs::SmallRng;

use crate::{
    core::{
        action::Action,
        configuration::Configuration,
        counter::{
            Counter,
            Counters, //
        },
        membership::View,
        message::PeerMessage,
        names::VmId,
        notice::Notice, //
    },
    kernel::clock::{
        Time,
        WallTime, //
    },
};

/// What a decision may read, and where it puts its actions.
pub struct Cx<'a> {
    /// The monotonic time of this event.
    pub now: Time,
    /// The wall-clock time of this event.
    pub wall: WallTime,
    /// The VMs that are known, this one included.
    pub view: &'a View,
    /// The configuration in force.
    pub cfg: &'a Configuration,
    /// The source of random numbers, seeded by the caller.
    pub rng: &'a mut SmallRng,
    /// The counts of this process.
    pub counters: &'a mut Counters,
    /// The actions that were decided, in order.
    pub out: &'a mut Vec<Action>,
}

impl Cx<'_> {
    /// Adds `action` to the decided actions.
    pub fn act(&mut self, action: Action) {
        self.out.push(action);
    }

    /// Sends `msg` to the VM `to`.
    pub fn send(&mut self, to: &VmId, msg: impl Into<PeerMessage>) {
        self.out.push(Action::Peer {
            to: to.clone(),
            msg: msg.into(),
        });
    }

    /// Counts one `counter`.
    pub fn count(&mut self, counter: Counter) {
        self.counters.add(counter);
    }

    /// Logs `notice` with `detail`.
    pub fn note(&mut self, notice: Notice, detail: impl Into<String>) {
        self.out.push(Action::Note {
            notice,
            detail: detail.into(),
        });
    }
}
