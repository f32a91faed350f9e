//! Acquires slots and dispatches requests to backend servers.

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
            outcome::unused_slot,
            runner::{
                Runner,
                RunningAttempt, //
            },
        },
    },
    kernel::clock::Millis,
};

impl Runner {
    /// Starts or refuses the first queued request. Returns `false` if it must
    /// keep waiting.
    pub(super) fn start_next(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        service: &ServiceId,
    ) -> bool {
        let Some(first) = self.queues.front(service) else {
            return false;
        };
        // After a pause of the process, the deadline may have passed before `tick` runs.
        if first.deadline <= cx.now {
            return self.refuse_next(service, NotRunReason::DeadlinePassed);
        }
        capacity.set_waiting(service, self.queues.len_of(service));
        match capacity.acquire(cx, service, &first.tried) {
            Err(AcquireError::Pending | AcquireError::Busy) => false,
            Err(AcquireError::NoBackend) => self.refuse_next(service, NotRunReason::NoBackend),
            Ok(slot) => {
                if let Some(job) = self.queues.pop_front(service) {
                    self.dispatch(cx, capacity, job, slot);
                }
                true
            }
        }
    }

    fn refuse_next(&mut self, service: &ServiceId, reason: NotRunReason) -> bool {
        if let Some(job) = self.queues.pop_front(service) {
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
        let remaining = job.deadline.since(cx.now).min(MAX_RUN_TIME);
        let start_within = remaining.min(slot.until.since(cx.wall));
        let Some(to) = cx.cfg.backend(&slot.backend).map(|b| b.requests) else {
            capacity.release(cx, &slot, unused_slot());
            self.fail(job, NotRunReason::NoBackend);
            return;
        };
        if start_within == Millis(0) {
            capacity.release(cx, &slot, unused_slot());
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
            timeout: remaining,
        }));
        self.service(&job.service).running += 1;
        let running = RunningAttempt {
            job,
            slot,
            started: cx.now,
            times_out_at: cx.now + remaining,
        };
        self.running.insert(id, running);
    }
}
