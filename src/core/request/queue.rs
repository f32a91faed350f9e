//! Bounded queue per service for requests that wait for a slot.

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
                Recipient, //
            },
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Maximum number of queued requests per service.
pub const MAX_QUEUED: usize = 32;

/// Maximum time that a request waits for a slot.
pub const MAX_QUEUE_WAIT: Millis = Millis(500);

#[derive(Debug)]
struct Queued {
    job: Job,
    expires_at: Time,
}

/// Request queues of all services.
#[derive(Debug, Default)]
pub struct Queues {
    /// Invariant: each queue has between one and [`MAX_QUEUED`] entries.
    by_service: BTreeMap<ServiceId, VecDeque<Queued>>,
}

impl Queues {
    /// Returns the number of queued requests over all services.
    pub fn len(&self) -> usize {
        self.by_service.values().map(VecDeque::len).sum()
    }

    /// Returns the number of queued requests of `service`.
    pub fn len_of(&self, service: &ServiceId) -> usize {
        self.by_service.get(service).map_or(0, VecDeque::len)
    }

    /// Returns the services with queued requests.
    pub fn services(&self) -> Vec<ServiceId> {
        self.by_service.keys().cloned().collect()
    }

    /// Appends a job to its service's queue.
    ///
    /// # Errors
    ///
    /// Returns the job if the queue is full.
    pub fn push(&mut self, job: Job, now: Time) -> Result<(), Box<Job>> {
        if self.len_of(&job.service) >= MAX_QUEUED {
            return Err(Box::new(job));
        }
        let expires_at = job.deadline.min(now + MAX_QUEUE_WAIT);
        let queue = self.by_service.entry(job.service.clone()).or_default();
        queue.push_back(Queued { job, expires_at });
        Ok(())
    }

    /// Returns the oldest queued job of `service`.
    pub fn front(&self, service: &ServiceId) -> Option<&Job> {
        Some(&self.by_service.get(service)?.front()?.job)
    }

    /// Removes and returns the oldest queued job of `service`.
    pub fn pop_front(&mut self, service: &ServiceId) -> Option<Job> {
        let queue = self.by_service.get_mut(service)?;
        let job = queue.pop_front()?.job;
        if queue.is_empty() {
            self.by_service.remove(service);
        }
        Some(job)
    }

    /// Removes jobs past their deadline or [`MAX_QUEUE_WAIT`].
    pub fn take_expired(&mut self, now: Time) -> Vec<Job> {
        self.remove_where(|queued| queued.expires_at <= now)
    }

    /// Removes the queued job of `call`, if any.
    pub fn remove_call(&mut self, call: CallId) -> Option<Job> {
        self.remove_where(|queued| queued.job.recipient == Recipient::Call(call))
            .pop()
    }

    fn remove_where(&mut self, predicate: impl Fn(&Queued) -> bool) -> Vec<Job> {
        let mut jobs = Vec::new();
        for queue in self.by_service.values_mut() {
            let (removed, kept): (VecDeque<_>, _) =
                std::mem::take(queue).into_iter().partition(&predicate);
            *queue = kept;
            jobs.extend(removed.into_iter().map(|queued| queued.job));
        }
        self.by_service.retain(|_, queue| !queue.is_empty());
        jobs
    }
}
