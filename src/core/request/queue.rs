//! Requests that wait for a slot, in a short queue for each service.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use crate::{
    core::{
        names::ServiceId,
        request::{
            call::CallId,
            job::{
                Job,
                Owner, //
            },
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How many requests may wait for a slot of one service.
pub const MAX_QUEUED: usize = 32;

/// How long a request waits for a slot at most.
pub const MAX_WAIT: Millis = Millis(500);

#[derive(Debug)]
struct Queued {
    job: Job,
    until: Time,
}

/// The queues of all services.
#[derive(Debug, Default)]
pub struct Queues {
    /// Invariant: no queue is empty or longer than [`MAX_QUEUED`].
    by_service: BTreeMap<ServiceId, VecDeque<Queued>>,
}

impl Queues {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.by_service.values().map(VecDeque::len).sum()
    }

    /// Returns how many requests wait for a slot of `service`.
    pub fn len_of(&self, service: &ServiceId) -> usize {
        self.by_service.get(service).map_or(0, VecDeque::len)
    }

    /// Returns the services that requests wait for.
    pub fn services(&self) -> Vec<ServiceId> {
        self.by_service.keys().cloned().collect()
    }

    /// Adds a job at the end of its service's queue.
    ///
    /// # Errors
    ///
    /// Gives the job back if the queue is full.
    pub fn push(&mut self, job: Job, now: Time) -> Result<(), Box<Job>> {
        if self.len_of(&job.service) >= MAX_QUEUED {
            return Err(Box::new(job));
        }
        let until = job.deadline.min(now + MAX_WAIT);
        let queue = self.by_service.entry(job.service.clone()).or_default();
        queue.push_back(Queued { job, until });
        Ok(())
    }

    /// Returns the first job of `service`.
    pub fn first(&self, service: &ServiceId) -> Option<&Job> {
        Some(&self.by_service.get(service)?.front()?.job)
    }

    /// Removes the first job of `service`.
    pub fn pop(&mut self, service: &ServiceId) -> Option<Job> {
        let queue = self.by_service.get_mut(service)?;
        let job = queue.pop_front()?.job;
        if queue.is_empty() {
            self.by_service.remove(service);
        }
        Some(job)
    }

    /// Removes the jobs that have waited too long.
    pub fn take_expired(&mut self, now: Time) -> Vec<Job> {
        self.take(|queued| queued.until <= now)
    }

    /// Removes the job of the caller's request `call`.
    pub fn take_call(&mut self, call: CallId) -> Option<Job> {
        self.take(|queued| queued.job.owner == Owner::Call(call))
            .pop()
    }

    fn take(&mut self, wanted: impl Fn(&Queued) -> bool) -> Vec<Job> {
        let mut taken = Vec::new();
        for queue in self.by_service.values_mut() {
            let (out, keep): (VecDeque<_>, _) =
                std::mem::take(queue).into_iter().partition(&wanted);
            *queue = keep;
            taken.extend(out.into_iter().map(|queued| queued.job));
        }
        self.by_service.retain(|_, queue| !queue.is_empty());
        taken
    }
}
