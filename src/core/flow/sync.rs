//! Transfer of pinned flows to the new homes of a bucket.

use std::collections::VecDeque;

use smallvec::SmallVec;

use crate::{
    core::{
        cx::Cx,
        flow::{
            FlowMessage,
            Flows,
            answers::{
                FlowLocation,
                group_by_target, //
            },
            buckets::{
                BucketSet,
                bucket_of, //
            },
            entries::EntryKind,
            homes::{
                HOMES_PER_BUCKET,
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

/// Interval between two parts sent by this VM.
const PART_INTERVAL: Millis = Millis(250);

/// Maximum number of flows in one part, at eight bytes each.
const MAX_FLOWS_PER_PART: usize = 80;

/// Maximum number of outgoing transfers queued on one VM.
const MAX_TRANSFERS: usize = 64;

/// How long to wait for the next part before requesting from another VM.
const PART_TIMEOUT: Millis = Millis::from_secs(10);

/// A request for the pinned flows of one service.
#[derive(Debug)]
pub struct PinFetch {
    /// Index of the service on this VM.
    service: usize,
    request_id: u32,
    /// Sequence number of the next expected part.
    next_part: u32,
    /// The VM that the current request was sent to.
    source: VmId,
    /// The VMs still to be asked, in reverse order.
    remaining_sources: SmallVec<[VmId; 8]>,
    deadline: Time,
}

/// An outgoing transfer of pinned flows to another VM.
#[derive(Debug)]
struct Transfer {
    to: VmId,
    request_id: u32,
    next_part: u32,
    locations: Vec<FlowLocation>,
    complete: BucketSet,
}

/// One part of the reply to a request for pinned flows.
#[derive(Debug)]
pub struct PinsResponse<'a> {
    /// The `request_id` of the request.
    pub request_id: u32,
    /// Zero-based sequence number of the part.
    pub part: u32,
    /// Some of the pinned flows.
    pub pins: &'a [Pins],
    /// Set only in the last part: the buckets for which the sender has all
    /// pinned flows.
    pub complete: Option<BucketSet>,
}

/// Incoming and outgoing transfers of pinned flows.
#[derive(Debug, Default)]
pub struct PinSync {
    fetches: Vec<PinFetch>,
    transfers: VecDeque<Transfer>,
    next_send: Time,
    last_request_id: u32,
    /// The inputs that the wanted buckets were last computed from.
    wanted_inputs: Option<WantedInputs>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct WantedInputs {
    stability_version: u64,
    changed: Vec<usize>,
}

impl PinSync {
    /// Returns whether no outgoing transfer is left.
    pub fn is_idle(&self) -> bool {
        self.transfers.is_empty()
    }

    /// Drops the incoming transfers so that they start anew, after the set of
    /// reliable VMs has changed or the state has become stale.
    pub fn restart(&mut self) {
        self.fetches.clear();
        self.wanted_inputs = None;
    }
}

impl Flows {
    /// Updates the wanted buckets, and sends requests and parts that are due.
    pub(super) fn sync_pins(&mut self, cx: &mut Cx<'_>) {
        self.update_wanted(cx);
        self.send_part(cx);
        for index in 0..self.services.len() {
            self.fetch_pins(cx, index);
        }
    }

    fn update_wanted(&mut self, cx: &mut Cx<'_>) {
        let inputs = WantedInputs {
            stability_version: self.stability.version(),
            changed: self.services.iter().map(|s| s.changed.len()).collect(),
        };
        if self.sync.wanted_inputs.as_ref() == Some(&inputs) {
            return;
        }
        self.sync.wanted_inputs = Some(inputs);
        let reliable = |m: &Member| self.stability.is_reliable(m);
        for service in &mut self.services {
            let mut own_buckets = BucketSet::default();
            for bucket in service.changed.iter() {
                let ranking = rank(cx.view, reliable, service.hash, bucket);
                if ranking
                    .iter()
                    .take(HOMES_PER_BUCKET)
                    .any(|id| *id == cx.view.me.id)
                {
                    own_buckets.insert(bucket);
                }
            }
            let mut other_buckets = service.changed.clone();
            other_buckets.subtract(&own_buckets);
            service.complete.subtract(&other_buckets);
            own_buckets.subtract(&service.complete);
            service.wanted = own_buckets;
        }
    }

    fn fetch_pins(&mut self, cx: &mut Cx<'_>, index: usize) {
        let service = &self.services[index];
        if !service.ready || service.wanted.is_empty() || !self.stability.is_settled(cx.now) {
            return;
        }
        let fetch_index = self.sync.fetches.iter().position(|f| f.service == index);
        match fetch_index {
            Some(at) if cx.now < self.sync.fetches[at].deadline => {}
            Some(at) => self.request_next(cx, at),
            None => self.start_fetch(cx, index),
        }
    }

    fn start_fetch(&mut self, cx: &mut Cx<'_>, index: usize) {
        let me = cx.view.me.id.clone();
        let first_wanted = self.services[index].wanted.iter().next().unwrap_or(0);
        let reliable = |m: &Member| self.stability.is_reliable(m);
        let mut remaining_sources =
            rank(cx.view, reliable, self.services[index].hash, first_wanted);
        remaining_sources.retain(|id| *id != me);
        remaining_sources.reverse();
        self.sync.fetches.push(PinFetch {
            service: index,
            request_id: 0,
            next_part: 0,
            source: me,
            remaining_sources,
            deadline: cx.now,
        });
        self.request_next(cx, self.sync.fetches.len() - 1);
    }

    fn request_next(&mut self, cx: &mut Cx<'_>, fetch_index: usize) {
        let fetch = &mut self.sync.fetches[fetch_index];
        let service = &mut self.services[fetch.service];
        let next = fetch
            .remaining_sources
            .pop()
            .filter(|_| !service.wanted.is_empty());
        let Some(next) = next else {
            // No other VM can provide more, so treat the buckets as complete.
            service.complete.union_with(&service.wanted);
            service.wanted = BucketSet::default();
            self.sync.fetches.remove(fetch_index);
            return;
        };
        fetch.deadline = cx.now + PART_TIMEOUT;
        fetch.source = next.clone();
        self.sync.last_request_id += 1;
        fetch.request_id = self.sync.last_request_id;
        fetch.next_part = 0;
        let msg = FlowMessage::PinsRequest {
            request_id: fetch.request_id,
            service: service.id.clone(),
            buckets: service.wanted.clone(),
        };
        cx.send(&next, msg);
    }

    /// Queues a transfer of pinned flows to another VM.
    pub(super) fn on_pins_request(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        request_id: u32,
        service: &ServiceId,
        buckets: &BucketSet,
    ) {
        let Some(index) = self.service_index(service) else {
            return;
        };
        if self.sync.transfers.len() >= MAX_TRANSFERS {
            return;
        }
        let complete = if self.services[index].ready && self.stability.is_settled(cx.now) {
            self.services[index].complete.intersection(buckets)
        } else {
            BucketSet::default()
        };
        self.sync.transfers.push_back(Transfer {
            to: from.clone(),
            request_id,
            next_part: 0,
            locations: self.pins_of(index, buckets),
            complete,
        });
    }

    fn pins_of(&self, index: usize, buckets: &BucketSet) -> Vec<FlowLocation> {
        let service = &self.services[index];
        let mut locations: Vec<FlowLocation> = self
            .entries
            .iter()
            .filter(|(flow, e)| {
                usize::from(e.service) == index && buckets.contains(bucket_of(*flow))
            })
            .filter(|(_, e)| !e.closed)
            .filter(|(flow, e)| e.kind == EntryKind::Pinned || service.needs_pin(*flow, e.target))
            .map(|(flow, e)| FlowLocation {
                service: index as u16,
                target: e.target,
                flow,
            })
            .collect();
        locations.sort_unstable();
        locations
    }

    fn send_part(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.sync.next_send {
            return;
        }
        let Some(transfer) = self.sync.transfers.front_mut() else {
            return;
        };
        self.sync.next_send = cx.now + PART_INTERVAL;
        let rest = transfer.locations.len().saturating_sub(MAX_FLOWS_PER_PART);
        let part = transfer.locations.split_off(rest);
        let complete = (rest == 0).then(|| transfer.complete.clone());
        let to = transfer.to.clone();
        let msg = FlowMessage::PinsPart {
            request_id: transfer.request_id,
            part: transfer.next_part,
            pins: group_by_target(&self.services, part),
            complete,
        };
        transfer.next_part += 1;
        cx.send(&to, msg);
        if rest == 0 {
            self.sync.transfers.pop_front();
        }
    }

    /// Stores a received part and requests what is still missing.
    pub(super) fn on_pins_part(&mut self, cx: &mut Cx<'_>, response: PinsResponse<'_>) {
        for pins in response.pins {
            self.store_pins(cx, pins, EntryKind::Pinned);
        }
        let is_requested = |f: &PinFetch| f.request_id == response.request_id;
        let Some(index) = self.sync.fetches.iter().position(is_requested) else {
            return;
        };
        let fetch = &mut self.sync.fetches[index];
        if response.part < fetch.next_part {
            return;
        }
        if response.part > fetch.next_part {
            // A part was lost, so the request to the same VM is repeated.
            fetch.remaining_sources.push(fetch.source.clone());
            self.request_next(cx, index);
            return;
        }
        fetch.next_part += 1;
        fetch.deadline = cx.now + PART_TIMEOUT;
        let service = &mut self.services[fetch.service];
        let Some(complete) = response.complete else {
            return;
        };
        let received = complete.intersection(&service.wanted);
        service.complete.union_with(&received);
        service.wanted.subtract(&received);
        self.request_next(cx, index);
    }
}
