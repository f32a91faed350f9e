//! Recovery of flow placement state at startup and after a pause.
//!
//! The history of a service consists of its base table and its changed
//! buckets. A VM without a history requests it from all others. If no VM has
//! one, the alive VM whose name sorts first starts it and the others adopt it.

use smallvec::SmallVec;

use crate::{
    core::{
        cx::Cx,
        flow::{
            FlowMessage,
            Flows,
            message::ServiceHistory, //
        },
        membership::{
            MemberState,
            View, //
        },
        names::{
            Generation,
            VmId, //
        },
        notice::Notice, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Interval at which the request is resent to VMs that have not replied.
const REQUEST_INTERVAL: Millis = Millis(200);

/// Minimum time to wait for heartbeats before concluding that no other VM is
/// running.
const DISCOVERY_TIME: Millis = Millis::from_secs(1);

/// How long to wait for VMs that do not reply.
const REPLY_TIMEOUT: Millis = Millis::from_secs(2);

/// How long to wait for another VM to start a history.
const START_TIMEOUT: Millis = Millis::from_secs(5);

/// The current request for histories.
#[derive(Debug, Default)]
pub struct HistoryFetch {
    request_id: u64,
    next_request: Time,
    /// The VMs that have replied to request `request_id`.
    replied: SmallVec<[VmId; 8]>,
}

impl HistoryFetch {
    /// Starts a new request to all VMs.
    pub fn restart(&mut self, now: Time) {
        self.request_id += 1;
        self.replied.clear();
        self.next_request = now;
    }

    fn all_replied(&self, view: &View) -> bool {
        view.others()
            .filter(|m| m.state == MemberState::Alive)
            .all(|m| self.replied.contains(&m.vm.id))
    }
}

impl Flows {
    /// Sends requests that are due, and marks services as ready or starts their
    /// history when the replies allow it.
    pub(super) fn fetch_history(&mut self, cx: &mut Cx<'_>) {
        let unready = self.services.iter().any(|s| !s.ready);
        if !unready && self.history.all_replied(cx.view) {
            return;
        }
        if cx.now >= self.history.next_request {
            self.request_history(cx);
        }
        for index in 0..self.services.len() {
            self.evaluate_history(cx, index);
        }
    }

    fn request_history(&mut self, cx: &mut Cx<'_>) {
        self.history.next_request = cx.now + REQUEST_INTERVAL;
        let request_id = self.history.request_id;
        let view = cx.view;
        for member in view.others() {
            if !self.history.replied.contains(&member.vm.id) {
                cx.send(&member.vm.id, FlowMessage::HistoryRequest { request_id });
            }
        }
    }

    fn evaluate_history(&mut self, cx: &mut Cx<'_>, index: usize) {
        let service = &self.services[index];
        if service.ready {
            return;
        }
        let age = cx.now.since(service.unready_since);
        let all_replied = self.history.all_replied(cx.view);
        let others_heard = !self.history.replied.is_empty() || age >= DISCOVERY_TIME;
        if service.base_generation > Generation::default() {
            let is_certain = all_replied && others_heard && !self.stability.has_newcomers();
            let done = is_certain || age >= REPLY_TIMEOUT;
            if done {
                self.services[index].ready = true;
                cx.note(Notice::FlowHistoryReceived, service_name(self, index));
            }
            return;
        }
        let first = cx.view.alive().next();
        let is_first = first.is_none_or(|m| m.vm.id == cx.view.me.id);
        let may_start_history = is_first && all_replied && age >= DISCOVERY_TIME;
        if may_start_history || age >= START_TIMEOUT {
            self.services[index].start_history(cx.cfg.generation, cx.now);
            cx.note(Notice::FlowHistoryStarted, service_name(self, index));
        } else if all_replied && age >= DISCOVERY_TIME {
            // No VM has a history yet, so all of them are asked again.
            self.history.replied.clear();
        }
    }

    /// Returns whether the history of a service may still arrive in time.
    pub(super) fn awaits_history(&self, index: usize, now: Time) -> bool {
        let service = &self.services[index];
        !service.ready && now.since(service.unready_since) < REPLY_TIMEOUT
    }

    /// Sends the known histories to a VM that requested them.
    pub(super) fn send_history(&self, cx: &mut Cx<'_>, to: &VmId, request_id: u64) {
        let services = self
            .services
            .iter()
            .filter(|s| s.base_generation > Generation::default())
            .map(|s| s.history())
            .collect();
        cx.send(
            to,
            FlowMessage::History {
                request_id,
                services,
            },
        );
    }

    /// Merges the histories that another VM sent.
    pub(super) fn on_history(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        request_id: u64,
        services: Vec<ServiceHistory>,
    ) {
        for history in services {
            if let Some(index) = self.service_index(&history.change.service) {
                self.services[index].merge_history(history, cx.now);
            }
        }
        if request_id == self.history.request_id && !self.history.replied.contains(from) {
            self.history.replied.push(from.clone());
        }
    }
}

fn service_name(flows: &Flows, index: usize) -> String {
    flows.services[index].id.to_string()
}
