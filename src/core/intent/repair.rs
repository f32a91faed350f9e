//! Replaces a record at the platform that must not come into force.
//!
//! Such a record was written without a plan, or the platform has lost writes.
//! Its valid objects, or the record in force, are written under a generation
//! above both. So an invalid record never takes effect on any VM, and VMs that
//! start later read the same record as the others.

use std::sync::Arc;

use crate::{
    core::{
        configuration::Configuration,
        counter::Counter,
        cx::Cx,
        intent::{
            calls::{
                Calls,
                Purpose, //
            },
            in_force::{
                InForce,
                OfferOutcome,
                Source, //
            },
            last_good::correct_record,
            platform::{
                CONFIGURATION_KEY,
                PlatformOp,
                PlatformOutcome,
                StoredObject, //
            },
            ranking::rank,
            record::{
                Record,
                RefusedObject, //
            },
            validation::{
                ObjectKind,
                ObjectRef, //
            },
        },
        membership::MemberState,
        names::{
            Generation,
            VmId, //
        },
        notice::Notice,
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// The delay that each rank adds before a VM repairs.
const RANK_DELAY: Millis = Millis(500);

/// The highest rank with a delay of its own.
const MAX_RANK: u64 = 8;

/// The extra delay of a VM that may have missed generations. It gives the
/// readers of other data centres time for a watch and for their own repair.
const BEHIND_DELAY: Millis = Millis::from_secs(10);

/// How long to wait before the repair of a version is retried.
const RETRY_DELAY: Millis = Millis::from_secs(5);

/// A stored record to replace.
#[derive(Clone, Debug)]
struct PendingRepair {
    /// The version to replace; zero if there is none.
    version: u64,
    /// The value to replace; `None` if there is none.
    value: Option<serde_json::Value>,
    due: Time,
}

/// The state machine that replaces invalid and outdated records.
#[derive(Debug, Default)]
pub(super) struct Repair {
    pending: Option<PendingRepair>,
    /// The refused objects of the last invalid record.
    refused: Vec<RefusedObject>,
}

impl Repair {
    /// Returns the refused objects that have not been replaced yet.
    pub(super) fn refused(&self) -> &[RefusedObject] {
        &self.refused
    }

    /// Puts the record that the platform holds in force, or schedules its
    /// replacement.
    pub(super) fn on_object(
        &mut self,
        cx: &mut Cx<'_>,
        in_force: &mut InForce,
        seeds: &[VmId],
        object: &StoredObject,
    ) {
        match assess(cx, in_force, &object.value) {
            Verdict::Accepted => self.clear(),
            // The read may be out of date, so nothing is reported as refused.
            Verdict::NotNewer => self.schedule(cx, in_force, seeds, Some(object), Vec::new()),
            Verdict::Refused(refused) => self.schedule(cx, in_force, seeds, Some(object), refused),
        }
    }

    /// Schedules the rewrite of the record in force, because the platform holds
    /// none.
    pub(super) fn on_absent(&mut self, cx: &mut Cx<'_>, in_force: &InForce, seeds: &[VmId]) {
        if in_force.generation() == Generation::default() {
            return;
        }
        let reason = "there is none, and one is in force; it is written again";
        self.schedule(cx, in_force, seeds, None, vec![refused_record(reason)]);
    }

    /// Writes the replacement when it is due.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, calls: &mut Calls, in_force: &InForce) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if cx.now < pending.due || is_behind(cx, in_force) {
            return;
        }
        pending.due = cx.now + RETRY_DELAY;
        let Some(record) = replacement(in_force, pending.value.as_ref()) else {
            return;
        };
        let op = PlatformOp::Put {
            key: CONFIGURATION_KEY.to_owned(),
            version: pending.version,
            value: record.to_value(),
        };
        calls.send(cx, Purpose::Repair, op);
    }

    /// Handles the outcome of the write.
    pub(super) fn on_outcome(&mut self, cx: &mut Cx<'_>, outcome: &PlatformOutcome) {
        match outcome {
            PlatformOutcome::Object(object) => {
                cx.count(Counter::ConfigurationRepaired);
                cx.note(
                    Notice::ConfigurationRepaired,
                    format!("by version {}", object.version),
                );
                self.clear();
            }
            // Another VM wrote first, or the read was out of date.
            PlatformOutcome::Conflict => self.clear(),
            _ => {}
        }
    }

    fn clear(&mut self) {
        self.pending = None;
        self.refused.clear();
    }

    fn schedule(
        &mut self,
        cx: &mut Cx<'_>,
        in_force: &InForce,
        seeds: &[VmId],
        object: Option<&StoredObject>,
        refused: Vec<RefusedObject>,
    ) {
        let version = object.map_or(0, |o| o.version);
        if self.pending.as_ref().is_some_and(|p| p.version == version) {
            return;
        }
        for entry in &refused {
            cx.count(Counter::ConfigurationRefused);
            cx.note(Notice::ConfigurationRefused, entry.to_string());
        }
        self.refused = refused;
        let decoded = object.and_then(|o| Record::from_value(&o.value).ok());
        let stored = decoded.map(|d| d.record.generation());
        self.pending = Some(PendingRepair {
            version,
            value: object.map(|o| o.value.clone()),
            due: cx.now + repair_delay(cx, in_force, seeds, stored),
        });
    }
}

/// Whether a record may come into force.
enum Verdict {
    /// It is in force.
    Accepted,
    /// Its generation is not above the one in force, and it differs.
    NotNewer,
    /// It must be replaced, for these reasons.
    Refused(Vec<RefusedObject>),
}

fn assess(cx: &mut Cx<'_>, in_force: &mut InForce, value: &serde_json::Value) -> Verdict {
    let decoded = match Record::from_value(value) {
        Ok(decoded) => decoded,
        Err(e) => return Verdict::Refused(vec![refused_record(&e.to_string())]),
    };
    let corrected = correct_record(decoded, in_force.cfg());
    if !corrected.refused.is_empty() {
        return Verdict::Refused(corrected.refused);
    }
    match in_force.offer(cx, corrected.record, Source::Platform) {
        OfferOutcome::Applied | OfferOutcome::InForce => Verdict::Accepted,
        OfferOutcome::Stale | OfferOutcome::Diverged | OfferOutcome::Invalid => Verdict::NotNewer,
    }
}

/// Returns the record that replaces `value`.
fn replacement(in_force: &InForce, value: Option<&serde_json::Value>) -> Option<Record> {
    let decoded = value.and_then(|value| Record::from_value(value).ok());
    let stored = decoded.as_ref().map(|d| d.record.generation());
    let highest = stored.unwrap_or_default().max(in_force.generation());
    let mut record = match decoded {
        Some(decoded) if stored > Some(in_force.generation()) => {
            let corrected = correct_record(decoded, in_force.cfg());
            let mut record = corrected.record;
            record.refused = corrected.refused;
            record.decision = Generation(highest.0 + 1);
            record
        }
        _ => Record::clone(in_force.record()),
    };
    if highest == Generation::default() {
        return None;
    }
    record.cfg = Arc::new(Configuration {
        generation: Generation(highest.0 + 1),
        ..Configuration::clone(&record.cfg)
    });
    Some(record)
}

fn refused_record(reason: &str) -> RefusedObject {
    RefusedObject {
        object: ObjectRef::new(ObjectKind::Record, CONFIGURATION_KEY),
        reason: reason.to_owned(),
    }
}

/// Returns how long to wait before a repair. A VM that may have missed
/// generations would restore older objects, so it lets others repair first.
fn repair_delay(
    cx: &Cx<'_>,
    in_force: &InForce,
    seeds: &[VmId],
    stored: Option<Generation>,
) -> Millis {
    let alive: Vec<&VmId> = cx.view.alive().map(|m| &m.vm.id).collect();
    let rank = rank(&cx.view.me.id, &alive).min(MAX_RANK);
    let mine = in_force.generation();
    let may_be_behind = match stored {
        Some(stored) if stored > mine => stored.0 > mine.0 + 1,
        _ => !all_seeds_alive(cx, seeds),
    };
    let extra = if may_be_behind {
        BEHIND_DELAY
    } else {
        Millis(0)
    };
    Millis(RANK_DELAY.0 * (rank + 1) + extra.0)
}

/// Returns whether heartbeats of all seed VMs arrive, so that this VM
/// knows the generations in force on all of them.
fn all_seeds_alive(cx: &Cx<'_>, seeds: &[VmId]) -> bool {
    let is_alive = |id: &VmId| {
        let member = cx.view.member(id);
        *id == cx.view.me.id || member.is_some_and(|m| m.state == MemberState::Alive)
    };
    seeds.iter().all(is_alive)
}

fn is_behind(cx: &Cx<'_>, in_force: &InForce) -> bool {
    cx.view
        .others()
        .any(|m| m.generation > in_force.generation())
}
