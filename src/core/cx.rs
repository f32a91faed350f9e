//! The context that the state machines are driven with.

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

/// The inputs that a state machine may read, and where it puts its outputs.
pub struct Cx<'a> {
    /// The monotonic time of this event.
    pub now: Time,
    /// The wall-clock time of this event.
    pub wall: WallTime,
    /// The known VMs, including this one.
    pub view: &'a View,
    /// The configuration in force.
    pub cfg: &'a Configuration,
    /// The source of random numbers, seeded by the caller.
    pub rng: &'a mut SmallRng,
    /// The counters of this process.
    pub counters: &'a mut Counters,
    /// The actions to carry out, in order.
    pub out: &'a mut Vec<Action>,
}

impl Cx<'_> {
    /// Appends `action` to the actions to carry out.
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

    /// Adds one to `counter`.
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
