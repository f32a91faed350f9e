//! How the record travels between VMs.
//!
//! A VM announces each new generation to a few others, which fetch it and do
//! the same. Heartbeats carry the generation in force, so that a VM that
//! missed every announcement is noticed and told again.

use std::collections::BTreeMap;

use rand::seq::{
    IndexedRandom,
    SliceRandom, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        counter::Counter,
        cx::Cx,
        intent::{
            in_force::{
                InForce,
                Offer,
                Source, //
            },
            record::Record,
        },
        names::{
            Generation,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// To how many VMs a new generation is announced at once.
const FANOUT: usize = 8;

/// How often heartbeats are compared with the generation in force.
const COMPARE_INTERVAL: Millis = Millis(250);

/// How long to wait before the same VM is told again.
const ANNOUNCE_AGAIN_AFTER: Millis = Millis::from_secs(1);

/// How long to wait for a record before another VM is asked.
const FETCH_TIMEOUT: Millis = Millis(500);

/// How many VMs are asked after a pause.
const ASK_AFTER_PAUSE: usize = 3;

/// A message about configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum IntentMessage {
    /// A generation is in force at the sender.
    Announce {
        /// The generation.
        generation: Generation,
        /// The digest of its record.
        digest: u64,
    },
    /// Asks for the record in force if its generation is above `have`.
    Fetch {
        /// The generation in force at the sender.
        have: Generation,
    },
    /// The record in force at the sender.
    Body {
        /// The record.
        record: Box<Record>,
    },
}

/// The state machine that relays the record.
#[derive(Debug, Default)]
pub(super) struct Relay {
    announced: Generation,
    told: BTreeMap<VmId, Time>,
    next_compare: Time,
    fetch_until: Time,
    resumed: Time,
}

impl Relay {
    /// Announces a generation that has just come in force.
    pub(super) fn on_applied(&mut self, cx: &mut Cx<'_>, in_force: &InForce) {
        if in_force.generation() == self.announced {
            return;
        }
        self.announced = in_force.generation();
        self.told.clear();
        self.fetch_until = cx.now;
        let mut others: Vec<VmId> = cx.view.others().map(|m| m.vm.id.clone()).collect();
        others.shuffle(cx.rng);
        for to in others.iter().take(FANOUT) {
            self.announce(cx, in_force, to);
        }
    }

    /// Compares what heartbeats reported with the generation in force.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, in_force: &InForce) {
        self.ask_after_pause(cx, in_force);
        if cx.now < self.next_compare {
            return;
        }
        self.next_compare = cx.now + COMPARE_INTERVAL;
        self.tell_those_behind(cx, in_force);
        self.ask_one_ahead(cx, in_force);
    }

    /// Takes in a message of the VM `from`.
    pub(super) fn on_message(
        &mut self,
        cx: &mut Cx<'_>,
        in_force: &mut InForce,
        from: &VmId,
        msg: IntentMessage,
    ) {
        match msg {
            IntentMessage::Announce { generation, digest } => {
                self.on_announce(cx, in_force, from, generation, digest);
            }
            IntentMessage::Fetch { have } => send_body(cx, in_force, from, have),
            IntentMessage::Body { record } => {
                let offer = in_force.offer(cx, *record, Source::Peer);
                if offer == Offer::Bad {
                    cx.count(Counter::PeerMalformed);
                }
            }
        }
    }

    fn on_announce(
        &mut self,
        cx: &mut Cx<'_>,
        in_force: &InForce,
        from: &VmId,
        generation: Generation,
        digest: u64,
    ) {
        if generation > in_force.generation() {
            self.fetch(cx, in_force, from);
            return;
        }
        if generation < in_force.generation() {
            self.announce(cx, in_force, from);
            return;
        }
        if digest != in_force.digest() {
            cx.count(Counter::ConfigurationDiverged);
        }
    }

    fn announce(&mut self, cx: &mut Cx<'_>, in_force: &InForce, to: &VmId) {
        self.told.insert(to.clone(), cx.now);
        cx.send(
            to,
            IntentMessage::Announce {
                generation: in_force.generation(),
                digest: in_force.digest(),
            },
        );
    }

    fn fetch(&mut self, cx: &mut Cx<'_>, in_force: &InForce, from: &VmId) {
        if cx.now < self.fetch_until {
            return;
        }
        self.fetch_until = cx.now + FETCH_TIMEOUT;
        cx.count(Counter::ConfigurationFetched);
        let have = in_force.generation();
        cx.send(from, IntentMessage::Fetch { have });
    }

    fn tell_those_behind(&mut self, cx: &mut Cx<'_>, in_force: &InForce) {
        let now = cx.now;
        self.told
            .retain(|_, at| now.since(*at) < ANNOUNCE_AGAIN_AFTER);
        let behind: Vec<VmId> = cx
            .view
            .others()
            .filter(|m| m.generation < in_force.generation())
            .map(|m| m.vm.id.clone())
            .filter(|id| !self.told.contains_key(id))
            .take(FANOUT)
            .collect();
        for to in &behind {
            self.announce(cx, in_force, to);
        }
    }

    fn ask_one_ahead(&mut self, cx: &mut Cx<'_>, in_force: &InForce) {
        let ahead: Vec<VmId> = cx
            .view
            .others()
            .filter(|m| m.generation > in_force.generation())
            .map(|m| m.vm.id.clone())
            .collect();
        if let Some(from) = ahead.choose(cx.rng) {
            self.fetch(cx, in_force, from);
        }
    }

    /// What was in force before a pause may have been replaced meanwhile.
    fn ask_after_pause(&mut self, cx: &mut Cx<'_>, in_force: &InForce) {
        if cx.view.resumed == self.resumed {
            return;
        }
        self.resumed = cx.view.resumed;
        let mut others: Vec<VmId> = cx.view.others().map(|m| m.vm.id.clone()).collect();
        others.shuffle(cx.rng);
        let have = in_force.generation();
        for from in others.iter().take(ASK_AFTER_PAUSE) {
            cx.send(from, IntentMessage::Fetch { have });
        }
    }
}

fn send_body(cx: &mut Cx<'_>, in_force: &InForce, to: &VmId, have: Generation) {
    if in_force.generation() <= have {
        return;
    }
    let record = Box::new(Record::clone(in_force.record()));
    cx.send(to, IntentMessage::Body { record });
}
