//! Learning where flows live, at start and after a pause.
//!
//! A VM that knows no history asks all others. If none knows one, the VM whose
//! name sorts first starts it, and the others take it over.

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

/// How often a question is repeated.
const ASK_INTERVAL: Millis = Millis(200);

/// How long a VM waits at least for the heartbeats of others.
const DISCOVERY_TIME: Millis = Millis::from_secs(1);

/// How long a VM waits for those that do not answer.
const ANSWER_TIMEOUT: Millis = Millis::from_secs(2);

/// How long a VM waits for another one to start a history.
const START_TIMEOUT: Millis = Millis::from_secs(5);

/// The questions that are open.
#[derive(Debug, Default)]
pub struct HistoryFetch {
    number: u64,
    next_ask: Time,
    /// Who has answered question `number`.
    replied: SmallVec<[VmId; 8]>,
}

impl HistoryFetch {
    /// Asks all VMs anew.
    pub fn restart(&mut self, now: Time) {
        self.number += 1;
        self.replied.clear();
        self.next_ask = now;
    }

    fn has_all(&self, view: &View) -> bool {
        view.others()
            .filter(|m| m.state == MemberState::Alive)
            .all(|m| self.replied.contains(&m.vm.id))
    }
}

impl Flows {
    /// Asks those VMs that have not answered, and draws conclusions.
    pub(super) fn fetch_history(&mut self, cx: &mut Cx<'_>) {
        let unready = self.services.iter().any(|s| !s.ready);
        if !unready && self.history.has_all(cx.view) {
            return;
        }
        if cx.now >= self.history.next_ask {
            self.ask_for_history(cx);
        }
        for at in 0..self.services.len() {
            self.conclude_history(cx, at);
        }
    }

    fn ask_for_history(&mut self, cx: &mut Cx<'_>) {
        self.history.next_ask = cx.now + ASK_INTERVAL;
        let number = self.history.number;
        let view = cx.view;
        for member in view.others() {
            if !self.history.replied.contains(&member.vm.id) {
                cx.send(&member.vm.id, FlowMessage::HistoryWanted { number });
            }
        }
    }

    fn conclude_history(&mut self, cx: &mut Cx<'_>, at: usize) {
        let service = &self.services[at];
        if service.ready {
            return;
        }
        let age = cx.now.since(service.unready_since);
        let has_all = self.history.has_all(cx.view);
        let heard = !self.history.replied.is_empty() || age >= DISCOVERY_TIME;
        if service.origin > Generation::default() {
            let certain = has_all && heard && !self.stability.has_newcomers();
            let done = certain || age >= ANSWER_TIMEOUT;
            if done {
                self.services[at].ready = true;
                cx.note(Notice::FlowHistoryReceived, service_name(self, at));
            }
            return;
        }
        let first = cx.view.alive().next();
        let is_first = first.is_none_or(|m| m.vm.id == cx.view.me.id);
        let may_start = is_first && has_all && age >= DISCOVERY_TIME;
        if may_start || age >= START_TIMEOUT {
            self.services[at].begin_history(cx.cfg.generation, cx.now);
            cx.note(Notice::FlowHistoryStarted, service_name(self, at));
        } else if has_all && age >= DISCOVERY_TIME {
            // Nobody has had a history yet, so everybody is asked again.
            self.history.replied.clear();
        }
    }

    /// Tells whether the other VMs may still tell more about a service.
    pub(super) fn is_waiting(&self, at: usize, now: Time) -> bool {
        let service = &self.services[at];
        !service.ready && now.since(service.unready_since) < ANSWER_TIMEOUT
    }

    /// Answers a VM that asks for the histories.
    pub(super) fn send_history(&self, cx: &mut Cx<'_>, to: &VmId, number: u64) {
        let services = self
            .services
            .iter()
            .filter(|s| s.origin > Generation::default())
            .map(|s| s.history())
            .collect();
        cx.send(to, FlowMessage::History { number, services });
    }

    /// Takes in the histories of another VM.
    pub(super) fn on_history(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        number: u64,
        services: Vec<ServiceHistory>,
    ) {
        for history in services {
            if let Some(at) = self.service_named(&history.change.service) {
                self.services[at].merge_history(history, cx.now);
            }
        }
        if number == self.history.number && !self.history.replied.contains(from) {
            self.history.replied.push(from.clone());
        }
    }
}

fn service_name(flows: &Flows, at: usize) -> String {
    flows.services[at].id.to_string()
}
