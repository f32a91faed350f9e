//! Telling other VMs where the packets that they relayed went.

use std::collections::BTreeMap;

use crate::{
    core::{
        counter::Counter,
        cx::Cx,
        flow::{
            FlowMessage,
            Flows,
            entries::{
                Entry,
                EntryKind, //
            },
            message::Pins,
            relay::{
                VmTag,
                tag, //
            },
            service::ServiceFlows, //
        },
        names::VmId, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How often answers are sent.
const SEND_INTERVAL: Millis = Millis(500);

/// The most flows that are answered in one interval, eight bytes each. Flows
/// beyond it go on being relayed.
const MAX_PER_INTERVAL: usize = 150;

/// Where a flow lives, in this VM's numbers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The service.
    pub service: u16,
    /// The backend server.
    pub target: u16,
    /// The flow.
    pub flow: u64,
}

/// The answers that wait to be sent.
#[derive(Debug, Default)]
pub struct Answers {
    waiting: BTreeMap<VmId, Vec<Place>>,
    count: usize,
    next_send: Time,
}

impl Flows {
    /// Tells `asker` that a flow lives at `place`, with the next batch.
    pub(super) fn answer(&mut self, cx: &mut Cx<'_>, asker: VmTag, place: Place) {
        let view = cx.view;
        let Some(member) = view.others().find(|m| tag(&m.vm.id) == asker) else {
            return;
        };
        if self.answers.count >= MAX_PER_INTERVAL {
            cx.count(Counter::FlowAnswerSkipped);
            return;
        }
        let waiting = self.answers.waiting.entry(member.vm.id.clone());
        waiting.or_default().push(place);
        self.answers.count += 1;
    }

    /// Sends the waiting answers when they are due.
    pub(super) fn send_answers(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.answers.next_send {
            return;
        }
        self.answers.next_send = cx.now + SEND_INTERVAL;
        self.answers.count = 0;
        for (to, places) in std::mem::take(&mut self.answers.waiting) {
            let pins = group(&self.services, places);
            cx.send(&to, FlowMessage::Answers(pins));
        }
    }

    /// Takes in the answers of another VM.
    pub(super) fn on_answers(&mut self, cx: &mut Cx<'_>, answers: &[Pins]) {
        for pins in answers {
            self.store(cx, pins, EntryKind::Cache);
        }
    }

    /// Records flows that another VM knows, unless they are pinned here.
    pub(super) fn store(&mut self, cx: &mut Cx<'_>, pins: &Pins, kind: EntryKind) {
        let Some(at) = self.service_named(&pins.service) else {
            return;
        };
        let Some(target) = self.services[at].target_named(pins.backend.hash64()) else {
            return;
        };
        for raw in &pins.flows {
            let flow = u64::from_be_bytes(*raw);
            let known = self.entries.get_mut(flow, cx.now);
            if known.is_some_and(|e| e.kind == EntryKind::Pin) {
                continue;
            }
            let entry = Entry::new(at as u16, target, kind, cx.now);
            if self.entries.insert(flow, entry).is_err() {
                cx.count(Counter::FlowTableFull);
            }
        }
    }
}

/// Groups flows by their service and backend server.
pub(super) fn group(services: &[ServiceFlows], mut places: Vec<Place>) -> Vec<Pins> {
    places.sort_unstable();
    places.dedup();
    places
        .chunk_by(|a, b| (a.service, a.target) == (b.service, b.target))
        .map(|chunk| {
            let service = &services[usize::from(chunk[0].service)];
            Pins {
                service: service.id.clone(),
                backend: service.targets[usize::from(chunk[0].target)].name.clone(),
                flows: chunk.iter().map(|p| p.flow.to_be_bytes()).collect(),
            }
        })
        .collect()
}
