//! Filling a new home with the pins of its buckets.

use std::collections::VecDeque;

use smallvec::SmallVec;

use crate::{
    core::{
        cx::Cx,
        flow::{
            FlowMessage,
            Flows,
            answers::{
                Place,
                group, //
            },
            buckets::{
                BucketSet,
                bucket_of, //
            },
            entries::EntryKind,
            homes::{
                HOMES,
                rank, //
            },
            message::Pins, //
        },
        membership::Member,
        names::{
            ServiceId,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How often a part is sent.
const PART_INTERVAL: Millis = Millis(250);

/// The most flows in one part, eight bytes each.
const PART_FLOWS: usize = 80;

/// The most transfers that wait at one VM.
const MAX_TRANSFERS: usize = 64;

/// How long a VM waits for the next part before it asks another VM.
const PART_TIMEOUT: Millis = Millis::from_secs(10);

/// A question for the pins of one service.
#[derive(Debug)]
pub struct PinFetch {
    /// The service, among the services of this VM.
    service: usize,
    number: u32,
    /// The part that has to come next.
    next_part: u32,
    /// Who is asked now.
    asked: VmId,
    /// Who is asked next, last one first.
    left: SmallVec<[VmId; 8]>,
    deadline: Time,
}

/// Pins on their way to another VM.
#[derive(Debug)]
struct Transfer {
    to: VmId,
    number: u32,
    next_part: u32,
    places: Vec<Place>,
    complete: BucketSet,
}

/// A part of the pins that were asked for.
#[derive(Debug)]
pub struct PinsAnswer<'a> {
    /// The question.
    pub number: u32,
    /// Counts the parts of the answer.
    pub part: u32,
    /// Some of the pins.
    pub pins: &'a [Pins],
    /// Set in the last part: the buckets all of whose pins the sender has.
    pub complete: Option<BucketSet>,
}

/// The transfers to and from this VM.
#[derive(Debug, Default)]
pub struct PinSync {
    fetches: Vec<PinFetch>,
    transfers: VecDeque<Transfer>,
    next_send: Time,
    last_number: u32,
    /// What the duties were last computed from.
    reviewed: Option<Reviewed>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Reviewed {
    alive: u64,
    changed: Vec<usize>,
}

impl PinSync {
    /// Tells whether all pins that were asked for have been sent.
    pub fn is_idle(&self) -> bool {
        self.transfers.is_empty()
    }

    /// Forgets the questions, after the view has changed.
    pub fn restart(&mut self) {
        self.fetches.clear();
        self.reviewed = None;
    }
}

impl Flows {
    /// Finds out which pins this VM has to have, and asks for them.
    pub(super) fn sync_pins(&mut self, cx: &mut Cx<'_>) {
        self.review_duties(cx);
        self.send_part(cx);
        for at in 0..self.services.len() {
            self.fetch_pins(cx, at);
        }
    }

    fn review_duties(&mut self, cx: &mut Cx<'_>) {
        let now = Reviewed {
            alive: self.stability.version(),
            changed: self.services.iter().map(|s| s.changed.len()).collect(),
        };
        if self.sync.reviewed.as_ref() == Some(&now) {
            return;
        }
        self.sync.reviewed = Some(now);
        let reliable = |m: &Member| self.stability.is_reliable(m);
        for service in &mut self.services {
            let mut duties = BucketSet::default();
            for bucket in service.changed.iter() {
                let ranking = rank(cx.view, reliable, service.hash, bucket);
                if ranking.iter().take(HOMES).any(|id| *id == cx.view.me.id) {
                    duties.insert(bucket);
                }
            }
            let mut foreign = service.changed.clone();
            foreign.subtract(&duties);
            service.complete.subtract(&foreign);
            duties.subtract(&service.complete);
            service.wanted = duties;
        }
    }

    fn fetch_pins(&mut self, cx: &mut Cx<'_>, at: usize) {
        let service = &self.services[at];
        if !service.ready || service.wanted.is_empty() || !self.stability.is_settled(cx.now) {
            return;
        }
        let open = self.sync.fetches.iter().position(|f| f.service == at);
        match open {
            Some(fetch) if cx.now < self.sync.fetches[fetch].deadline => {}
            Some(fetch) => self.ask_next(cx, fetch),
            None => self.begin_fetch(cx, at),
        }
    }

    fn begin_fetch(&mut self, cx: &mut Cx<'_>, at: usize) {
        let me = cx.view.me.id.clone();
        let first_wanted = self.services[at].wanted.iter().next().unwrap_or(0);
        let reliable = |m: &Member| self.stability.is_reliable(m);
        let mut left = rank(cx.view, reliable, self.services[at].hash, first_wanted);
        left.retain(|id| *id != me);
        left.reverse();
        self.sync.fetches.push(PinFetch {
            service: at,
            number: 0,
            next_part: 0,
            asked: me,
            left,
            deadline: cx.now,
        });
        self.ask_next(cx, self.sync.fetches.len() - 1);
    }

    fn ask_next(&mut self, cx: &mut Cx<'_>, fetch: usize) {
        let open = &mut self.sync.fetches[fetch];
        let service = &mut self.services[open.service];
        let next = open.left.pop().filter(|_| !service.wanted.is_empty());
        let Some(next) = next else {
            // What no other VM has cannot be had.
            service.complete.union(&service.wanted);
            service.wanted = BucketSet::default();
            self.sync.fetches.remove(fetch);
            return;
        };
        open.deadline = cx.now + PART_TIMEOUT;
        open.asked = next.clone();
        self.sync.last_number += 1;
        open.number = self.sync.last_number;
        open.next_part = 0;
        let msg = FlowMessage::PinsWanted {
            number: open.number,
            service: service.id.clone(),
            buckets: service.wanted.clone(),
        };
        cx.send(&next, msg);
    }

    /// Begins a transfer of pins to another VM.
    pub(super) fn on_pins_wanted(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        number: u32,
        service: &ServiceId,
        buckets: &BucketSet,
    ) {
        let Some(at) = self.service_named(service) else {
            return;
        };
        if self.sync.transfers.len() >= MAX_TRANSFERS {
            return;
        }
        let complete = if self.services[at].ready && self.stability.is_settled(cx.now) {
            self.services[at].complete.intersection(buckets)
        } else {
            BucketSet::default()
        };
        self.sync.transfers.push_back(Transfer {
            to: from.clone(),
            number,
            next_part: 0,
            places: self.pins_of(at, buckets),
            complete,
        });
    }

    fn pins_of(&self, at: usize, buckets: &BucketSet) -> Vec<Place> {
        let service = &self.services[at];
        let mut places: Vec<Place> = self
            .entries
            .iter()
            .filter(|(flow, e)| usize::from(e.service) == at && buckets.contains(bucket_of(*flow)))
            .filter(|(_, e)| !e.closed)
            .filter(|(flow, e)| e.kind == EntryKind::Pin || service.is_off_base(*flow, e.target))
            .map(|(flow, e)| Place {
                service: at as u16,
                target: e.target,
                flow,
            })
            .collect();
        places.sort_unstable();
        places
    }

    fn send_part(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.sync.next_send {
            return;
        }
        let Some(transfer) = self.sync.transfers.front_mut() else {
            return;
        };
        self.sync.next_send = cx.now + PART_INTERVAL;
        let rest = transfer.places.len().saturating_sub(PART_FLOWS);
        let part = transfer.places.split_off(rest);
        let complete = (rest == 0).then(|| transfer.complete.clone());
        let to = transfer.to.clone();
        let msg = FlowMessage::PinsPart {
            number: transfer.number,
            part: transfer.next_part,
            pins: group(&self.services, part),
            complete,
        };
        transfer.next_part += 1;
        cx.send(&to, msg);
        if rest == 0 {
            self.sync.transfers.pop_front();
        }
    }

    /// Takes in a part of the pins that were asked for.
    pub(super) fn on_pins_part(&mut self, cx: &mut Cx<'_>, answer: PinsAnswer<'_>) {
        for pins in answer.pins {
            self.store(cx, pins, EntryKind::Pin);
        }
        let open = |f: &PinFetch| f.number == answer.number;
        let Some(at) = self.sync.fetches.iter().position(open) else {
            return;
        };
        let fetch = &mut self.sync.fetches[at];
        if answer.part < fetch.next_part {
            return;
        }
        if answer.part > fetch.next_part {
            // A part was lost, so the same VM is asked again.
            fetch.left.push(fetch.asked.clone());
            self.ask_next(cx, at);
            return;
        }
        fetch.next_part += 1;
        fetch.deadline = cx.now + PART_TIMEOUT;
        let service = &mut self.services[fetch.service];
        let Some(complete) = answer.complete else {
            return;
        };
        let had = complete.intersection(&service.wanted);
        service.complete.union(&had);
        service.wanted.subtract(&had);
        self.ask_next(cx, at);
    }
}
