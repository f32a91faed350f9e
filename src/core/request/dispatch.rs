//! Sends requests to backend servers as slots are acquired.

use crate::{
    core::{
        action::Action,
        capacity::{
            AcquireError,
            Capacity,
            MAX_RUN_TIME,
            Slot, //
        },
        counter::Counter,
        cx::Cx,
        names::ServiceId,
        request::{
            answer::NotRunReason,
            attempt::{
                Attempt,
                AttemptId, //
            },
            job::Job,
            outcome::unused,
            runner::{
                Runner,
                Running, //
            },
        },
    },
    kernel::clock::Millis,
};

impl Runner {
    /// Starts or refuses the first waiting request. Returns false if it has to
    /// wait on.
    pub(super) fn start_first(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        service: &ServiceId,
    ) -> bool {
        let Some(first) = self.queues.first(service) else {
            return false;
        };
        // After a pause of the process the deadline may have passed unnoticed.
        if first.deadline <= cx.now {
            return self.refuse_first(service, NotRunReason::DeadlinePassed);
        }
        capacity.set_waiting(service, self.queues.len_of(service));
        match capacity.acquire(cx, service, &first.tried) {
            Err(AcquireError::Pending | AcquireError::Busy) => false,
            Err(AcquireError::NoBackend) => self.refuse_first(service, NotRunReason::NoBackend),
            Ok(slot) => {
                if let Some(job) = self.queues.pop(service) {
                    self.dispatch(cx, capacity, job, slot);
                }
                true
            }
        }
    }

    fn refuse_first(&mut self, service: &ServiceId, reason: NotRunReason) -> bool {
        if let Some(job) = self.queues.pop(service) {
            self.fail(job, reason);
        }
        true
    }

    pub(super) fn try_once(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, job: Job) {
        match capacity.acquire(cx, &job.service, &job.tried) {
            Ok(slot) => self.dispatch(cx, capacity, job, slot),
            Err(AcquireError::Pending) => self.enqueue(cx, job),
            Err(AcquireError::Busy) => self.fail(job, NotRunReason::NoSlot),
            Err(AcquireError::NoBackend) => self.fail(job, NotRunReason::NoBackend),
        }
    }

    pub(super) fn enqueue(&mut self, cx: &mut Cx<'_>, job: Job) {
        let wait = self.expected_wait(&job.service);
        if wait >= job.deadline.since(cx.now) {
            self.fail(job, NotRunReason::NoSlot);
            return;
        }
        match self.queues.push(job, cx.now) {
            Ok(()) => cx.count(Counter::RequestQueued),
            Err(job) => {
                cx.count(Counter::RequestQueueFull);
                self.fail(*job, NotRunReason::NoSlot);
            }
        }
    }

    fn dispatch(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, job: Job, slot: Slot) {
        let left = job.deadline.since(cx.now).min(MAX_RUN_TIME);
        let start_within = left.min(slot.until.since(cx.wall));
        let Some(to) = cx.cfg.backend(&slot.backend).map(|b| b.requests) else {
            capacity.release(cx, &slot, unused());
            self.fail(job, NotRunReason::NoBackend);
            return;
        };
        if start_within == Millis(0) {
            capacity.release(cx, &slot, unused());
            self.fail(job, NotRunReason::NoSlot);
            return;
        }
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        cx.act(Action::Attempt(Attempt {
            id,
            to,
            request: job.request.clone(),
            deadline: cx.wall + start_within,
            timeout: left,
        }));
        self.service(&job.service).running += 1;
        let running = Running {
            job,
            slot,
            started: cx.now,
            ends: cx.now + left,
        };
        self.running.insert(id, running);
    }
}
