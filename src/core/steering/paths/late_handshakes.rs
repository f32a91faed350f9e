//! Late handshakes with the backend servers of one data centre.

use smallvec::SmallVec;

use super::{
    super::tag::Tag,
    MIN_LATE_BACKENDS, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// Backend servers with late handshakes.
#[derive(Clone, Debug, Default)]
pub(super) struct LateHandshakes {
    /// Backend servers and the time when the last such packet was sent.
    ///
    /// Invariant: at most [`MIN_LATE_BACKENDS`], without duplicates; the last sent
    /// ones are kept.
    sent: SmallVec<[(Tag, Time); MIN_LATE_BACKENDS]>,
}

impl LateHandshakes {
    /// Adds a late handshake.
    pub(super) fn add(&mut self, tag: Tag, sent_at: Time) {
        if let Some((_, at)) = self.sent.iter_mut().find(|(t, _)| *t == tag) {
            *at = sent_at.max(*at);
            return;
        }
        if self.sent.len() < MIN_LATE_BACKENDS {
            self.sent.push((tag, sent_at));
            return;
        }
        // The tag makes the choice independent of the order of additions.
        if let Some(oldest) = self.sent.iter_mut().min_by_key(|(t, at)| (*at, *t))
            && (oldest.1, oldest.0) < (sent_at, tag)
        {
            *oldest = (tag, sent_at);
        }
    }

    /// Returns the number of backend servers, up to [`MIN_LATE_BACKENDS`].
    pub(super) fn len(&self) -> usize {
        self.sent.len()
    }

    /// Returns the number of backend servers to which packets were sent at `since` or
    /// later, and when the first of these packets was sent.
    pub(super) fn count_since(&self, since: Time) -> (usize, Option<Time>) {
        let sent = self.sent.iter().map(|(_, at)| *at);
        let sent = sent.filter(|at| *at >= since);
        (sent.clone().count(), sent.min())
    }

    /// Returns the backend servers with the time since the packets were sent.
    pub(super) fn ages(&self, now: Time) -> SmallVec<[(Tag, Millis); MIN_LATE_BACKENDS]> {
        let age = |(tag, at): &(Tag, Time)| (*tag, now.since(*at));
        self.sent.iter().map(age).collect()
    }
}
