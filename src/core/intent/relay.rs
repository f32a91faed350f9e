//! Distributes the record between the VMs by gossip.
//!
//! A VM announces each new generation to a few others, which fetch it and do
//! the same. Heartbeats carry the generation in force, so a VM that missed
//! every announcement is detected and gets another.

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
                OfferOutcome,
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

/// How many VMs get an announcement at once.
const FANOUT: usize = 8;

/// How often the generations in heartbeats are compared with the one in force.
const COMPARE_INTERVAL: Millis = Millis(250);

/// How long to wait before an announcement to the same VM is repeated.
const REANNOUNCE_DELAY: Millis = Millis::from_secs(1);

/// How long to wait for a record before it is fetched from another VM.
const FETCH_TIMEOUT: Millis = Millis(500);

/// How many VMs are asked for their record after a pause.
const FETCHES_AFTER_PAUSE: usize = 3;

/// A message that distributes the record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum IntentMessage {
    /// A generation is in force at the sender.
    Announce {
        /// The generation.
        generation: Generation,
        /// The digest of its record.
        digest: u64,
    },
    /// Requests the record in force if its generation is above `have`.
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

/// The state machine that distributes the record.
#[derive(Debug, Default)]
pub(super) struct Relay {
    announced_generation: Generation,
    announced_at: BTreeMap<VmId, Time>,
    next_compare: Time,
    fetch_until: Time,
    resumed: Time,
}

impl Relay {
    /// Announces the generation in force if it is new.
    pub(super) fn on_applied(&mut self, cx: &mut Cx<'_>, in_force: &InForce) {
        if in_force.generation() == self.announced_generation {
            return;
        }
        self.announced_generation = in_force.generation();
        self.announced_at.clear();
        self.fetch_until = cx.now;
        let mut others: Vec<VmId> = cx.view.others().map(|m| m.vm.id.clone()).collect();
        others.shuffle(cx.rng);
        for to in others.iter().take(FANOUT) {
            self.announce(cx, in_force, to);
        }
    }

    /// Compares the generations in heartbeats with the one in force.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, in_force: &InForce) {
        self.fetch_after_pause(cx, in_force);
        if cx.now < self.next_compare {
            return;
        }
        self.next_compare = cx.now + COMPARE_INTERVAL;
        self.announce_to_lagging(cx, in_force);
        self.fetch_newer(cx, in_force);
    }

    /// Handles a message from the VM `from`.
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
            IntentMessage::Fetch { have } => send_record(cx, in_force, from, have),
            IntentMessage::Body { record } => {
                let outcome = in_force.offer(cx, *record, Source::Peer);
                if outcome == OfferOutcome::Invalid {
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
        self.announced_at.insert(to.clone(), cx.now);
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

    fn announce_to_lagging(&mut self, cx: &mut Cx<'_>, in_force: &InForce) {
        let now = cx.now;
        self.announced_at
            .retain(|_, at| now.since(*at) < REANNOUNCE_DELAY);
        let lagging: Vec<VmId> = cx
            .view
            .others()
            .filter(|m| m.generation < in_force.generation())
            .map(|m| m.vm.id.clone())
            .filter(|id| !self.announced_at.contains_key(id))
            .take(FANOUT)
            .collect();
        for to in &lagging {
            self.announce(cx, in_force, to);
        }
    }

    fn fetch_newer(&mut self, cx: &mut Cx<'_>, in_force: &InForce) {
        let newer: Vec<VmId> = cx
            .view
            .others()
            .filter(|m| m.generation > in_force.generation())
            .map(|m| m.vm.id.clone())
            .collect();
        if let Some(from) = newer.choose(cx.rng) {
            self.fetch(cx, in_force, from);
        }
    }

    /// Fetches the record after a pause of this VM, during which the one in
    /// force may have been replaced.
    fn fetch_after_pause(&mut self, cx: &mut Cx<'_>, in_force: &InForce) {
        if cx.view.resumed == self.resumed {
            return;
        }
        self.resumed = cx.view.resumed;
        let mut others: Vec<VmId> = cx.view.others().map(|m| m.vm.id.clone()).collect();
        others.shuffle(cx.rng);
        let have = in_force.generation();
        for from in others.iter().take(FETCHES_AFTER_PAUSE) {
            cx.send(from, IntentMessage::Fetch { have });
        }
    }
}

fn send_record(cx: &mut Cx<'_>, in_force: &InForce, to: &VmId, have: Generation) {
    if in_force.generation() <= have {
        return;
    }
    let record = Box::new(Record::clone(in_force.record()));
    cx.send(to, IntentMessage::Body { record });
}
