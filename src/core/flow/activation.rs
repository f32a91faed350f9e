//! Using a new lookup table for new flows.
//!
//! Before new flows use a bucket's new entry, every VM must know that the
//! bucket has changed, since a later packet of the flow may reach any of them.

use smallvec::SmallVec;

use crate::{
    core::{
        cx::Cx,
        flow::{
            FlowMessage,
            Flows,
            message::ServiceChange, //
        },
        membership::View,
        names::VmId,
        notice::Notice, //
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How often an announcement is repeated.
const REPEAT_INTERVAL: Millis = Millis(200);

/// How long VMs that do not confirm are waited for. A VM that was paused
/// longer asks for the history when it wakes.
const CONFIRM_TIMEOUT: Millis = Millis(2_500);

/// An announcement of changed buckets.
#[derive(Debug)]
pub struct Proposal {
    number: u64,
    started: Time,
    next_send: Time,
    confirmed: SmallVec<[VmId; 8]>,
}

impl Proposal {
    fn is_confirmed(&self, view: &View) -> bool {
        view.others().all(|m| self.confirmed.contains(&m.vm.id))
    }
}

impl Flows {
    /// Announces new tables, and uses them once that is safe.
    pub(super) fn advance_activation(&mut self, cx: &mut Cx<'_>) {
        if self.proposal.is_none() {
            self.propose(cx);
        }
        self.announce(cx);
        let Some(proposal) = &self.proposal else {
            return;
        };
        let confirmed = proposal.is_confirmed(cx.view);
        if confirmed || cx.now.since(proposal.started) >= CONFIRM_TIMEOUT {
            self.activate(cx, confirmed);
        }
    }

    fn propose(&mut self, cx: &mut Cx<'_>) {
        let mut outdated = false;
        for service in &mut self.services {
            outdated |= service.is_outdated();
            service.propose();
        }
        if !outdated {
            return;
        }
        self.last_proposal += 1;
        self.proposal = Some(Proposal {
            number: self.last_proposal,
            started: cx.now,
            next_send: cx.now,
            confirmed: SmallVec::new(),
        });
    }

    fn announce(&mut self, cx: &mut Cx<'_>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if cx.now < proposal.next_send {
            return;
        }
        proposal.next_send = cx.now + REPEAT_INTERVAL;
        let services: Vec<ServiceChange> = self
            .services
            .iter()
            .filter(|s| s.active != s.proposed)
            .map(|s| s.change())
            .collect();
        let view = cx.view;
        for member in view.others() {
            if proposal.confirmed.contains(&member.vm.id) {
                continue;
            }
            let msg = FlowMessage::Prepare {
                number: proposal.number,
                services: services.clone(),
            };
            cx.send(&member.vm.id, msg);
        }
    }

    fn activate(&mut self, cx: &mut Cx<'_>, confirmed: bool) {
        self.proposal = None;
        for service in &mut self.services {
            service.activate(cx.now);
        }
        let notice = if confirmed {
            Notice::FlowChangeActivated
        } else {
            Notice::FlowChangeUnconfirmed
        };
        cx.note(notice, "");
    }

    /// Treats the announced buckets as changed from now on.
    pub(super) fn on_prepare(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        number: u64,
        services: &[ServiceChange],
    ) {
        for change in services {
            if let Some(at) = self.service_named(&change.service) {
                self.services[at].merge_change(change, true);
            }
        }
        cx.send(from, FlowMessage::Prepared { number });
    }

    /// Notes a confirmation.
    pub(super) fn on_prepared(&mut self, cx: &mut Cx<'_>, from: &VmId, number: u64) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if proposal.number == number && !proposal.confirmed.contains(from) {
            proposal.confirmed.push(from.clone());
        }
        self.advance_activation(cx);
    }
}
