//! The record that is in force on this VM.

use std::sync::Arc;

use crate::{
    core::{
        configuration::Configuration,
        counter::Counter,
        cx::Cx,
        intent::{
            record::{
                MAX_GENERATION,
                Record, //
            },
            validation::validate, //
        },
        names::Generation,
        notice::Notice,
    },
    kernel::clock::Time,
};

/// Where a record came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// The platform.
    Platform,
    /// Another VM.
    Peer,
}

/// The outcome of offering a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OfferOutcome {
    /// It is in force now.
    Applied,
    /// It was in force already.
    InForce,
    /// A higher generation is in force.
    Stale,
    /// Another record is in force at the same generation.
    Diverged,
    /// Its objects are invalid, or its generation is too high.
    Invalid,
}

/// The record in force.
///
/// Invariant: its generation never decreases, and its objects are valid
/// together.
#[derive(Debug, Default)]
pub(super) struct InForce {
    record: Arc<Record>,
    /// Invariant: the digest of `record`.
    digest: u64,
    since: Time,
}

impl InForce {
    /// Returns the configuration in force.
    pub(super) fn cfg(&self) -> &Arc<Configuration> {
        &self.record.cfg
    }

    /// Returns the record in force.
    pub(super) fn record(&self) -> &Arc<Record> {
        &self.record
    }

    /// Returns the generation in force.
    pub(super) fn generation(&self) -> Generation {
        self.record.generation()
    }

    /// Returns the digest of the record in force.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the time at which the record came into force on this VM.
    pub(super) fn since(&self) -> Time {
        self.since
    }

    /// Puts `record` in force if it is valid and its generation is above the
    /// one in force.
    pub(super) fn offer(
        &mut self,
        cx: &mut Cx<'_>,
        record: Record,
        source: Source,
    ) -> OfferOutcome {
        let outcome = self.assess(&record);
        match outcome {
            OfferOutcome::Applied => self.apply(cx, record, source),
            OfferOutcome::Stale => cx.count(Counter::ConfigurationStale),
            OfferOutcome::Diverged => self.report_divergence(cx, source),
            OfferOutcome::InForce | OfferOutcome::Invalid => {}
        }
        outcome
    }

    fn assess(&self, record: &Record) -> OfferOutcome {
        if record.generation() < self.generation() {
            return OfferOutcome::Stale;
        }
        if record.generation() == self.generation() {
            let is_same = record.digest() == self.digest;
            return if is_same {
                OfferOutcome::InForce
            } else {
                OfferOutcome::Diverged
            };
        }
        if record.generation() > MAX_GENERATION || !validate(&record.cfg).is_empty() {
            return OfferOutcome::Invalid;
        }
        OfferOutcome::Applied
    }

    fn apply(&mut self, cx: &mut Cx<'_>, record: Record, source: Source) {
        cx.count(Counter::ConfigurationApplied);
        cx.note(
            Notice::ConfigurationApplied,
            format!(
                "generation {} after {} from {source:?}",
                record.generation(),
                self.generation()
            ),
        );
        self.digest = record.digest();
        self.record = Arc::new(record);
        self.since = cx.now;
    }

    fn report_divergence(&self, cx: &mut Cx<'_>, source: Source) {
        cx.count(Counter::ConfigurationDiverged);
        cx.note(
            Notice::ConfigurationDiverged,
            format!("generation {} from {source:?}", self.generation()),
        );
    }
}
