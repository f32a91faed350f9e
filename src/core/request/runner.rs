//! Runs requests: slots, queues, attempts, retries and deadlines.

use std::collections::BTreeMap;

use crate::{
    core::{
        action::Action,
        capacity::{
            Capacity,
            NoSlot,
            Slot,
            SlotReport,
            SlotResult, //
        },
        counter::Counter,
        cx::Cx,
        names::ServiceId,
        request::{
            answer::{
                Answer,
                DEFAULT_RETRY_AFTER,
                NotRunReason,
                UnknownReason, //
            },
            attempt::{
                Attempt,
                AttemptId,
                AttemptOutcome, //
            },
            budget::RetryBudget,
            call::CallId,
            job::{
                Job,
                Owner, //
            },
            latency::Latency,
            queue::Queues, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

#[derive(Debug)]
struct Running {
    job: Job,
    slot: Slot,
    started: Time,
    /// The attempt is given up then.
    ends: Time,
}

/// What is kept for one service.
#[derive(Debug, Default)]
struct PerService {
    budget: RetryBudget,
    latency: Latency,
    running: usize,
}

/// A request with its final answer.
#[derive(Debug)]
pub struct Finished {
    /// Who gets the answer.
    pub owner: Owner,
    /// The answer.
    pub answer: Answer,
}

/// Runs requests.
#[derive(Debug, Default)]
pub struct Runner {
    next_attempt: u64,
    running: BTreeMap<AttemptId, Running>,
    queues: Queues,
    services: BTreeMap<ServiceId, PerService>,
    finished: Vec<Finished>,
}

impl Runner {
    /// Returns how many requests run or wait for a slot.
    pub fn len(&self) -> usize {
        self.running.len() + self.queues.len()
    }

    /// Tells whether no request runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the requests that ended since the last call.
    pub fn take_finished(&mut self) -> Vec<Finished> {
        std::mem::take(&mut self.finished)
    }

    /// Runs a request.
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

    /// Cancels the request of a caller who no longer waits.
    pub fn cancel(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, call: CallId) -> bool {
        if self.queues.take_call(call).is_some() {
            return true;
        }
        let mut attempts = self.running.iter();
        let found = attempts.find(|(_, r)| r.job.owner == Owner::Call(call));
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

    /// Takes in the end of an attempt.
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

    /// Gives up attempts at backend servers whose data centre is out.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        let is_out = |r: &Running| {
            let backend = cx.cfg.backend(&r.slot.backend);
            backend.is_some_and(|b| cx.cfg.is_out(b))
        };
        let out = self.ids(is_out);
        for id in out {
            self.give_up(cx, capacity, id, UnknownReason::DataCentreOut);
        }
        self.drain_queues(cx, capacity);
    }

    /// Does what has become due.
    pub fn tick(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        let now = cx.now;
        for id in self.ids(|r| r.ends <= now) {
            self.give_up(cx, capacity, id, UnknownReason::Timeout);
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

    /// Starts waiting requests as far as slots can be acquired.
    pub fn drain_queues(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity) {
        for service in self.queues.services() {
            while self.start_first(cx, capacity, &service) {}
        }
    }

    /// Starts or refuses the first waiting request. Returns false if it has to
    /// wait on.
    fn start_first(
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
        match capacity.acquire(cx, service, &first.tried) {
            Err(NoSlot::Asked | NoSlot::Busy) => false,
            Err(NoSlot::NoBackend) => self.refuse_first(service, NotRunReason::NoBackend),
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

    fn try_once(&mut self, cx: &mut Cx<'_>, capacity: &mut Capacity, job: Job) {
        match capacity.acquire(cx, &job.service, &job.tried) {
            Ok(slot) => self.dispatch(cx, capacity, job, slot),
            Err(NoSlot::Asked) => self.enqueue(cx, job),
            Err(NoSlot::Busy) => self.fail(job, NotRunReason::NoSlot),
            Err(NoSlot::NoBackend) => self.fail(job, NotRunReason::NoBackend),
        }
    }

    fn enqueue(&mut self, cx: &mut Cx<'_>, job: Job) {
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
        let left = job.deadline.since(cx.now).min(slot.until.since(cx.wall));
        let Some(to) = cx.cfg.backend(&slot.backend).map(|b| b.requests) else {
            capacity.release(cx, &slot, unused());
            self.fail(job, NotRunReason::NoBackend);
            return;
        };
        if left == Millis(0) {
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
            deadline: cx.wall + left,
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

    fn give_up(
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
        if !self.service(&job.service).budget.take() {
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
        running: &Running,
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

    fn fail(&mut self, job: Job, reason: NotRunReason) {
        let waiting = self.queues.len_of(&job.service);
        let retry_after = self
            .services
            .get(&job.service)
            .and_then(|service| service.latency.retry_after(waiting, service.running));
        let answer = job.failed(reason, retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
        self.finish(job, answer);
    }

    fn expected_wait(&self, service: &ServiceId) -> Millis {
        let waiting = self.queues.len_of(service);
        self.services.get(service).map_or(Millis(0), |service| {
            service.latency.expected_wait(waiting, service.running)
        })
    }

    fn finish(&mut self, job: Job, answer: Answer) {
        let owner = job.owner;
        self.finished.push(Finished { owner, answer });
    }

    /// Returns what is kept for `service`, which has been checked to exist.
    fn service(&mut self, service: &ServiceId) -> &mut PerService {
        self.services.entry(service.clone()).or_default()
    }

    fn ids(&self, wanted: impl Fn(&Running) -> bool) -> Vec<AttemptId> {
        let wanted = self.running.iter().filter(|(_, r)| wanted(r));
        wanted.map(|(id, _)| *id).collect()
    }
}

fn unused() -> SlotReport {
    SlotReport {
        result: SlotResult::Unused,
        elapsed: Millis(0),
        backend_run: None,
    }
}

fn slot_result(outcome: &AttemptOutcome) -> SlotResult {
    match outcome {
        AttemptOutcome::Answered(_) => SlotResult::Answered,
        AttemptOutcome::NotRun(NotRunReason::NotConnected) => SlotResult::Unreachable,
        AttemptOutcome::NotRun(NotRunReason::Shed) => SlotResult::Shed,
        AttemptOutcome::NotRun(_) => SlotResult::Unused,
        AttemptOutcome::Unknown(_) => SlotResult::Lost,
    }
}

fn retry_counter(outcome: &AttemptOutcome) -> Counter {
    match outcome {
        AttemptOutcome::NotRun(NotRunReason::NotConnected) => Counter::RequestRetriedNotConnected,
        AttemptOutcome::NotRun(NotRunReason::Shed) => Counter::RequestRetriedShed,
        AttemptOutcome::NotRun(_) => Counter::RequestRetriedLate,
        AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) => Counter::RequestRetriedLost,
    }
}
