//! Replaces a record at the platform that must not come in force.
//!
//! Such a record was written past the plans, or the platform has lost writes.
//! Its good objects, or the record in force, are written under a generation
//! above both. So a bad record never comes in force anywhere, and VMs that
//! start later read the same as the others.

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
                Offer,
                Source, //
            },
            last_good::mend,
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

/// How much later each further VM of the ranking repairs.
const RANK_DELAY: Millis = Millis(500);

/// The last rank that is told apart.
const MAX_RANK: u64 = 8;

/// How much later a VM repairs that may have missed generations. It leaves
/// the readers of other data centres time for a watch and their own repair.
const BEHIND_DELAY: Millis = Millis::from_secs(10);

/// How long to wait before the same version is repaired again.
const RETRY_AFTER: Millis = Millis::from_secs(5);

/// A record that is to be replaced.
#[derive(Clone, Debug)]
struct Pending {
    /// The version that is replaced; zero if there is none.
    version: u64,
    /// The value that is replaced; `None` if there is none.
    value: Option<serde_json::Value>,
    due: Time,
}

/// The state machine that replaces bad records.
#[derive(Debug, Default)]
pub(super) struct Repair {
    pending: Option<Pending>,
    /// What the last bad record was refused for.
    refused: Vec<RefusedObject>,
}

impl Repair {
    /// Returns why objects were refused that have not been replaced yet.
    pub(super) fn refused(&self) -> &[RefusedObject] {
        &self.refused
    }

    /// Takes in what the platform holds. Puts it in force or plans its
    /// replacement.
    pub(super) fn on_object(
        &mut self,
        cx: &mut Cx<'_>,
        in_force: &mut InForce,
        known: &[VmId],
        object: &StoredObject,
    ) {
        match judge(cx, in_force, &object.value) {
            Verdict::Good => self.forget(),
            // Reads may be out of date, so this is no fault yet.
            Verdict::NotAbove => self.plan(cx, in_force, known, Some(object), Vec::new()),
            Verdict::Refused(refused) => self.plan(cx, in_force, known, Some(object), refused),
        }
    }

    /// The platform holds no record.
    pub(super) fn on_absent(&mut self, cx: &mut Cx<'_>, in_force: &InForce, known: &[VmId]) {
        if in_force.generation() == Generation::default() {
            return;
        }
        let reason = "there is none, and one is in force; it is written again";
        self.plan(cx, in_force, known, None, vec![refused_record(reason)]);
    }

    /// Writes the replacement when it is due.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, calls: &mut Calls, in_force: &InForce) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if cx.now < pending.due || is_behind(cx, in_force) {
            return;
        }
        pending.due = cx.now + RETRY_AFTER;
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

    /// Takes in the end of the write.
    pub(super) fn on_outcome(&mut self, cx: &mut Cx<'_>, outcome: &PlatformOutcome) {
        match outcome {
            PlatformOutcome::Object(object) => {
                cx.count(Counter::ConfigurationRepaired);
                cx.note(
                    Notice::ConfigurationRepaired,
                    format!("by version {}", object.version),
                );
                self.forget();
            }
            // Someone else was faster, or what was read was out of date.
            PlatformOutcome::Conflict => self.forget(),
            _ => {}
        }
    }

    fn forget(&mut self) {
        self.pending = None;
        self.refused.clear();
    }

    fn plan(
        &mut self,
        cx: &mut Cx<'_>,
        in_force: &InForce,
        known: &[VmId],
        object: Option<&StoredObject>,
        refused: Vec<RefusedObject>,
    ) {
        let version = object.map_or(0, |o| o.version);
        if self.pending.as_ref().is_some_and(|p| p.version == version) {
            return;
        }
        for bad in &refused {
            cx.count(Counter::ConfigurationRefused);
            cx.note(Notice::ConfigurationRefused, bad.to_string());
        }
        self.refused = refused;
        let decoded = object.and_then(|o| Record::from_value(&o.value).ok());
        let stored = decoded.map(|d| d.record.generation());
        self.pending = Some(Pending {
            version,
            value: object.map(|o| o.value.clone()),
            due: cx.now + delay(cx, in_force, known, stored),
        });
    }
}

/// Whether a record may come in force.
enum Verdict {
    /// It is in force.
    Good,
    /// Its generation is not above the one in force.
    NotAbove,
    /// It must be replaced, for these reasons.
    Refused(Vec<RefusedObject>),
}

fn judge(cx: &mut Cx<'_>, in_force: &mut InForce, value: &serde_json::Value) -> Verdict {
    let decoded = match Record::from_value(value) {
        Ok(decoded) => decoded,
        Err(e) => return Verdict::Refused(vec![refused_record(&e.to_string())]),
    };
    let mended = mend(decoded, in_force.cfg());
    if !mended.refused.is_empty() {
        return Verdict::Refused(mended.refused);
    }
    match in_force.offer(cx, mended.record, Source::Platform) {
        Offer::Applied | Offer::InForce => Verdict::Good,
        Offer::Stale | Offer::Diverged | Offer::Bad => Verdict::NotAbove,
    }
}

/// Returns the record to write in place of `value`.
fn replacement(in_force: &InForce, value: Option<&serde_json::Value>) -> Option<Record> {
    let decoded = value.and_then(|value| Record::from_value(value).ok());
    let stored = decoded.as_ref().map(|d| d.record.generation());
    let highest = stored.unwrap_or_default().max(in_force.generation());
    let mut record = match decoded {
        Some(decoded) if stored > Some(in_force.generation()) => {
            let mended = mend(decoded, in_force.cfg());
            let mut record = mended.record;
            record.refused = mended.refused;
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

/// A VM that may have missed generations would put older objects in force, so
/// it leaves the repair to others for a while.
fn delay(cx: &Cx<'_>, in_force: &InForce, known: &[VmId], stored: Option<Generation>) -> Millis {
    let alive: Vec<&VmId> = cx.view.alive().map(|m| &m.vm.id).collect();
    let rank = rank(&cx.view.me.id, &alive).min(MAX_RANK);
    let mine = in_force.generation();
    let may_be_behind = match stored {
        Some(stored) if stored > mine => stored.0 > mine.0 + 1,
        _ => !hears_all(cx, known),
    };
    let extra = if may_be_behind {
        BEHIND_DELAY
    } else {
        Millis(0)
    };
    Millis(RANK_DELAY.0 * (rank + 1) + extra.0)
}

/// Tells whether heartbeats of all VMs of the settings arrive, so that a
/// generation which one of them has in force would be known.
fn hears_all(cx: &Cx<'_>, known: &[VmId]) -> bool {
    let is_heard = |id: &VmId| {
        let member = cx.view.member(id);
        *id == cx.view.me.id || member.is_some_and(|m| m.state == MemberState::Alive)
    };
    known.iter().all(is_heard)
}

fn is_behind(cx: &Cx<'_>, in_force: &InForce) -> bool {
    cx.view
        .others()
        .any(|m| m.generation > in_force.generation())
}
