//! Request execution: queues, attempts, retries and deadlines.

use std::collections::BTreeMap;

use crate::{
    core::{
        action::Action,
        capacity::{
            Capacity,
            Slot,
            SlotReport,
            SlotResult, //
        },
        counter::Counter,
        cx::Cx,
        names::{
            BackendId,
            ServiceId, //
        },
        request::{
            answer::{
                Answer,
                DEFAULT_RETRY_AFTER,
                NotRunReason,
                UnknownReason, //
            },
            attempt::{
                AttemptId,
                AttemptOutcome, //
            },
            budget::RetryBudget,
            call::CallId,
            job::{
                Job,
                Recipient, //
            },
            latency::Latency,
            outcome::{retry_counter, slot_result},
            queue::Queues, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

#[derive(Debug)]
pub(super) struct RunningAttempt {
    pub(super) job: Job,
    pub(super) slot: Slot,
    pub(super) started: Time,
    /// When the attempt times out.
    pub(super) times_out_at: Time,
}

/// Request state of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceState {
    budget: RetryBudget,
    latency: Latency,
    pub(super) running: usize,
}

/// A finished request.
#[derive(Debug)]
pub struct FinishedRequest {
    /// Recipient of the answer.
    pub recipient: Recipient,
    /// Final answer.
    pub answer: Answer,
}

/// Runs requests on backend servers.
#[derive(Debug, Default)]
pub struct Runner {
    pub(super) next_attempt: u64,
    pub(super) running: BTreeMap<AttemptId, RunningAttempt>,
    pub(super) queues: Queues,
    services: BTreeMap<ServiceId, ServiceState>,
    finished: Vec<FinishedRequest>,
}

impl Runner {
    /// Returns the number of running and queued requests.
    pub fn len(&self) -> usize {
        self.running.len() + self.queues.len()
    }

    /// Returns the backend server of each running attempt.
    pub fn running_backends(&self) -> impl Iterator<Item = &BackendId> {
        self.running.values().map(|r| &r.slot.backend)
    }

    /// Returns whether no request is running or queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes the requests that finished since the last call.
    pub fn take_finished(&mut self) -> Vec<FinishedRequest> {
        std::mem::take(&mut self.finished)
    }

    /// Starts, queues or refuses a new request.
    pub fn start(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, job: Job) {
        if job.deadline <= cx.now {
            self.fail(job, NotRunReason::DeadlinePassed);
            return;
        }
        if cx.cfg.service(&job.service).is_none() {
            self.fail(job, NotRunReason::NoService);
            return;
        }
        self.service(&job.service).budget.on_first_attempt();
        if self.queues.len_of(&job.service) > 0 {
            self.enqueue(cx, job);
            return;
        }
        self.try_once(cx, capacity, job);
    }

    /// Cancels the request of a disconnected caller. Returns whether it was
    /// running or queued.
    pub fn cancel(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, call: CallId) -> bool {
        if self.queues.remove_call(call).is_some() {
            return true;
        }
        let mut attempts = self.running.iter();
        let found = attempts.find(|(_, r)| r.job.recipient == Recipient::Call(call));
        let Some(id) = found.map(|(id, _)| *id) else {
            return false;
        };
        cx.act(Action::CancelAttempt(id));
        if let Some(running) = self.running.remove(&id) {
            self.release(cx, capacity, &running, SlotResult::Lost, None);
        }
        self.drain_queues(cx, capacity);
        true
    }

    /// Handles the outcome of an attempt, retrying the request where allowed.
    pub fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        id: AttemptId,
        outcome: AttemptOutcome,
    ) {
        let Some(running) = self.running.remove(&id) else {
            cx.count(Counter::AttemptOutcomeLate);
            return;
        };
        let run = match &outcome {
            AttemptOutcome::Answered(response) => response.backend_run(),
            _ => None,
        };
        self.release(cx, capacity, &running, slot_result(&outcome), run);
        match outcome {
            AttemptOutcome::Answered(response) => {
                let elapsed = cx.now.since(running.started);
                let service = self.service(&running.job.service);
                service.latency.observe(elapsed);
                self.finish(running.job, Answer::Answered(response));
            }
            failure => {
                let mut job = running.job;
                job.on_failure(running.slot.backend, &failure);
                self.retry(cx, capacity, job, retry_counter(&failure));
            }
        }
        self.drain_queues(cx, capacity);
    }

    /// Aborts attempts at backend servers whose data centre is out of service.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        let is_out = |r: &RunningAttempt| {
            let backend = cx.cfg.backend(&r.slot.backend);
            backend.is_some_and(|b| cx.cfg.is_out(b))
        };
        let out = self.attempts_where(is_out);
        for id in out {
            self.abort(cx, capacity, id, UnknownReason::DataCentreOut);
        }
        self.drain_queues(cx, capacity);
    }

    /// Handles timed-out attempts and expired queue entries.
    pub fn tick(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        let now = cx.now;
        for id in self.attempts_where(|r| r.times_out_at <= now) {
            self.abort(cx, capacity, id, UnknownReason::Timeout);
        }
        for job in self.queues.take_expired(now) {
            let reason = if job.deadline <= now {
                NotRunReason::DeadlinePassed
            } else {
                NotRunReason::NoSlot
            };
            self.fail(job, reason);
        }
        self.drain_queues(cx, capacity);
    }

    /// Starts queued requests while slots can be acquired.
    pub fn drain_queues(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        for service in self.queues.services() {
            while self.start_next(cx, capacity, &service) {}
        }
    }

    fn abort(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        id: AttemptId,
        reason: UnknownReason,
    ) {
        cx.act(Action::CancelAttempt(id));
        self.on_outcome(cx, capacity, id, AttemptOutcome::Unknown(reason));
    }

    fn retry(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, job: Job, counter: Counter) {
        let in_time = job.deadline > cx.now;
        if !in_time || !job.may_retry() {
            self.fail(job, NotRunReason::DeadlinePassed);
            return;
        }
        if !self.service(&job.service).budget.try_spend() {
            cx.count(Counter::RequestRetryDenied);
            self.fail(job, NotRunReason::NoSlot);
            return;
        }
        cx.count(counter);
        self.try_once(cx, capacity, job);
    }

    fn release(
        &mut self,
        cx: &mut Cx<'_>,
        capacity: &mut Capacity,
        running: &RunningAttempt,
        result: SlotResult,
        backend_run: Option<u64>,
    ) {
        let service = self.service(&running.job.service);
        service.running = service.running.saturating_sub(1);
        let report = SlotReport {
            result,
            elapsed: cx.now.since(running.started),
            backend_run,
        };
        capacity.release(cx, &running.slot, report);
    }

    pub(super) fn fail(&mut self, job: Job, reason: NotRunReason) {
        let waiting = self.queues.len_of(&job.service);
        let retry_after = self
            .services
            .get(&job.service)
            .and_then(|service| service.latency.retry_after(waiting, service.running));
        let answer = job.failed(reason, retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
        self.finish(job, answer);
    }

    pub(super) fn expected_wait(&self, service: &ServiceId) -> Millis {
        let waiting = self.queues.len_of(service);
        self.services.get(service).map_or(Millis(0), |service| {
            service.latency.expected_wait(waiting, service.running)
        })
    }

    fn finish(&mut self, job: Job, answer: Answer) {
        let recipient = job.recipient;
        self.finished.push(FinishedRequest { recipient, answer });
    }

    /// Returns the state of `service`, which must be a configured service.
    pub(super) fn service(&mut self, service: &ServiceId) -> &mut ServiceState {
        self.services.entry(service.clone()).or_default()
    }

    fn attempts_where(&self, predicate: impl Fn(&RunningAttempt) -> bool) -> Vec<AttemptId> {
        let matching = self.running.iter().filter(|(_, r)| predicate(r));
        matching.map(|(id, _)| *id).collect()
    }
}
