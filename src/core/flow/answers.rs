//! Batched replies that tell other VMs the backend servers of flows whose
//! packets they relayed.

use std::collections::BTreeMap;

use crate::{
    core::{
        counter::Counter,
        cx::Cx,
        flow::{
            FlowMessage,
            Flows,
            entries::{
                EntryKind,
                FlowEntry, //
            },
            message::Pins,
            relay::{
                VmTag,
                vm_tag, //
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

/// Interval between two batches of answers.
const SEND_INTERVAL: Millis = Millis(500);

/// Maximum number of flows, at eight bytes each, that are answered in one
/// interval. A flow that is skipped continues to be relayed.
const MAX_FLOWS_PER_INTERVAL: usize = 150;

/// The backend server of a flow, given by indexes that are valid on this VM
/// only.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct FlowLocation {
    /// Index of the service.
    pub service: u16,
    /// Index of the backend server among the targets of the service.
    pub target: u16,
    /// Hash of the flow.
    pub flow: u64,
}

/// Answers queued for the next batch, by recipient.
#[derive(Debug, Default)]
pub struct Answers {
    queued: BTreeMap<VmId, Vec<FlowLocation>>,
    count: usize,
    next_send: Time,
}

impl Flows {
    /// Queues the location of a flow for the next batch to `requester`.
    pub(super) fn queue_answer(
        &mut self,
        cx: &mut Cx<'_>,
        requester: VmTag,
        location: FlowLocation,
    ) {
        let view = cx.view;
        let Some(member) = view.others().find(|m| vm_tag(&m.vm.id) == requester) else {
            return;
        };
        if self.answers.count >= MAX_FLOWS_PER_INTERVAL {
            cx.count(Counter::FlowAnswerSkipped);
            return;
        }
        let queued = self.answers.queued.entry(member.vm.id.clone());
        queued.or_default().push(location);
        self.answers.count += 1;
    }

    /// Sends the queued answers if the interval has passed.
    pub(super) fn send_answers(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.answers.next_send {
            return;
        }
        self.answers.next_send = cx.now + SEND_INTERVAL;
        self.answers.count = 0;
        for (to, locations) in std::mem::take(&mut self.answers.queued) {
            let pins = group_by_target(&self.services, locations);
            cx.send(&to, FlowMessage::Answers(pins));
        }
    }

    /// Caches the flow locations that another VM sent.
    pub(super) fn on_answers(&mut self, cx: &mut Cx<'_>, answers: &[Pins]) {
        for pins in answers {
            self.store_pins(cx, pins, EntryKind::Cached);
        }
    }

    /// Stores entries received from another VM, except for flows that are
    /// already pinned here.
    pub(super) fn store_pins(&mut self, cx: &mut Cx<'_>, pins: &Pins, kind: EntryKind) {
        let Some(index) = self.service_index(&pins.service) else {
            return;
        };
        let Some(target) = self.services[index].target_index(pins.backend.hash64()) else {
            return;
        };
        for raw in &pins.flows {
            let flow = u64::from_be_bytes(*raw);
            let existing = self.entries.get_mut(flow, cx.now);
            if existing.is_some_and(|e| e.kind == EntryKind::Pinned) {
                continue;
            }
            let entry = FlowEntry::new(index as u16, target, kind, cx.now);
            if self.entries.insert(flow, entry).is_err() {
                cx.count(Counter::FlowTableFull);
            }
        }
    }
}

/// Groups flows by service and backend server.
pub(super) fn group_by_target(
    services: &[ServiceFlows],
    mut locations: Vec<FlowLocation>,
) -> Vec<Pins> {
    locations.sort_unstable();
    locations.dedup();
    locations
        .chunk_by(|a, b| (a.service, a.target) == (b.service, b.target))
        .map(|chunk| {
            let service = &services[usize::from(chunk[0].service)];
            Pins {
                service: service.id.clone(),
                backend: service.targets[usize::from(chunk[0].target)].name.clone(),
                flows: chunk.iter().map(|l| l.flow.to_be_bytes()).collect(),
            }
        })
        .collect()
}
