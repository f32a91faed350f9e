//! Two-phase activation of a new lookup table.
//!
//! A new flow may use the changed entry of a bucket only after every VM has
//! marked the bucket as changed, because later packets of the flow may arrive
//! at any VM.

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

/// Interval at which a proposal is resent to VMs that have not confirmed it.
const RESEND_INTERVAL: Millis = Millis(200);

/// How long to wait for confirmations before activating without them. A VM
/// that was paused for longer requests the history when it resumes.
const CONFIRM_TIMEOUT: Millis = Millis(2_500);

/// A proposed set of changed buckets that awaits confirmation by other VMs.
#[derive(Debug)]
pub struct Proposal {
    id: u64,
    started_at: Time,
    next_send: Time,
    confirmed: SmallVec<[VmId; 8]>,
}

impl Proposal {
    fn is_confirmed(&self, view: &View) -> bool {
        view.others().all(|m| self.confirmed.contains(&m.vm.id))
    }
}

impl Flows {
    /// Proposes new tables and activates them once all VMs have confirmed, or
    /// after [`CONFIRM_TIMEOUT`].
    pub(super) fn advance_activation(&mut self, cx: &mut Cx<'_>) {
        if self.proposal.is_none() {
            self.propose(cx);
        }
        self.send_proposal(cx);
        let Some(proposal) = &self.proposal else {
            return;
        };
        let confirmed = proposal.is_confirmed(cx.view);
        if confirmed || cx.now.since(proposal.started_at) >= CONFIRM_TIMEOUT {
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
        self.last_proposal_id += 1;
        self.proposal = Some(Proposal {
            id: self.last_proposal_id,
            started_at: cx.now,
            next_send: cx.now,
            confirmed: SmallVec::new(),
        });
    }

    fn send_proposal(&mut self, cx: &mut Cx<'_>) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if cx.now < proposal.next_send {
            return;
        }
        proposal.next_send = cx.now + RESEND_INTERVAL;
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
                proposal_id: proposal.id,
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

    /// Marks the proposed buckets as changed and confirms that to the sender.
    pub(super) fn on_prepare(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        proposal_id: u64,
        services: &[ServiceChange],
    ) {
        for change in services {
            if let Some(index) = self.service_index(&change.service) {
                self.services[index].merge_change(change, true);
            }
        }
        cx.send(from, FlowMessage::Prepared { proposal_id });
    }

    /// Records the confirmation of a proposal by `from`.
    pub(super) fn on_prepared(&mut self, cx: &mut Cx<'_>, from: &VmId, proposal_id: u64) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if proposal.id == proposal_id && !proposal.confirmed.contains(from) {
            proposal.confirmed.push(from.clone());
        }
        self.advance_activation(cx);
    }
}
