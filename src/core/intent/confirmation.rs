//! The confirmation of a plan: one conditional write of the record.
//!
//! The write contains the plan's name, so that reading the record back shows
//! the outcome when the answer was lost. Its precondition is the version of a
//! record whose last decision is the one that the plan is based on. Once any
//! other decision is written, no write of this confirmation can take effect any
//! more, not even one in flight; only then is a confirmation refused.

use crate::core::{
    counter::Counter,
    cx::Cx,
    intent::{
        admin::{
            Reply,
            status, //
        },
        operation::NextStep,
        plan::Plan,
        plan_creation::{
            plan_key,
            refusal,
            valid_record, //
        },
        platform::{
            CONFIGURATION_KEY,
            MAX_OBJECT_BYTES,
            PlatformOp,
            PlatformOutcome,
            StoredObject, //
        },
        record::Record,
    },
    names::{
        Generation,
        PlanId, //
    },
    notice::Notice,
};

/// How often a plan that is not found is read again, as a read may be out of
/// date.
const MAX_ABSENT_RETRIES: u8 = 3;

#[derive(Clone, Debug)]
enum Stage {
    /// The plan is being read.
    ReadingPlan,
    /// The record is being read.
    ReadingRecord(Box<Plan>),
    /// The record is being written.
    Writing(Box<Plan>),
}

/// The confirmation of a plan.
#[derive(Clone, Debug)]
pub(super) struct Confirmation {
    id: PlanId,
    stage: Stage,
    /// Whether a write was sent that may have taken effect.
    has_written: bool,
    /// How often the plan was read and not found.
    absent_reads: u8,
}

impl Confirmation {
    /// Creates the confirmation of the plan `id` and returns its first call.
    pub(super) fn start(id: PlanId) -> (Confirmation, PlatformOp) {
        let key = plan_key(&id);
        let confirmation = Confirmation {
            id,
            stage: Stage::ReadingPlan,
            has_written: false,
            absent_reads: 0,
        };
        (confirmation, PlatformOp::Get { key })
    }

    /// Handles the outcome of the last call.
    pub(super) fn on_outcome(&mut self, cx: &mut Cx<'_>, outcome: PlatformOutcome) -> NextStep {
        match self.stage.clone() {
            Stage::ReadingPlan => self.on_plan(cx, outcome),
            Stage::ReadingRecord(plan) => self.on_record(cx, plan, outcome),
            Stage::Writing(plan) => self.on_written(cx, plan, outcome),
        }
    }

    /// Returns the answer for an operation that reached its deadline.
    pub(super) fn time_out(&self, cx: &mut Cx<'_>) -> Reply {
        if !self.has_written {
            cx.count(Counter::PlanRefusedPlatform);
            return Reply::error(
                status::UNAVAILABLE,
                "the platform did not answer in time; this call wrote nothing",
                "repeat the same confirm",
            );
        }
        cx.count(Counter::PlanOutcomeUnknown);
        cx.note(Notice::PlanOutcomeUnknown, self.id.as_str());
        Reply::error(
            status::UNKNOWN,
            "the outcome is unknown: the platform did not answer the write",
            "repeat the same confirm; it takes effect once",
        )
    }

    fn on_plan(&mut self, cx: &mut Cx<'_>, outcome: PlatformOutcome) -> NextStep {
        match outcome {
            PlatformOutcome::Object(object) => match serde_json::from_value(object.value) {
                Ok(plan) => self.read_record(Box::new(plan)),
                Err(e) => NextStep::Reply(unknown_plan(cx, &format!("it cannot be read: {e}"))),
            },
            PlatformOutcome::Absent if self.absent_reads < MAX_ABSENT_RETRIES => {
                // A read that is out of date does not show a new plan.
                self.absent_reads += 1;
                cx.count(Counter::PlanRetryStale);
                let key = plan_key(&self.id);
                NextStep::CallLater(PlatformOp::Get { key })
            }
            PlatformOutcome::Absent => {
                NextStep::Reply(unknown_plan(cx, "no plan with this name is stored"))
            }
            _ => {
                cx.count(Counter::PlanRetryNoAnswer);
                let key = plan_key(&self.id);
                NextStep::CallLater(PlatformOp::Get { key })
            }
        }
    }

    fn read_record(&mut self, plan: Box<Plan>) -> NextStep {
        self.stage = Stage::ReadingRecord(plan);
        NextStep::Call(PlatformOp::read_configuration())
    }

    fn on_record(
        &mut self,
        cx: &mut Cx<'_>,
        plan: Box<Plan>,
        outcome: PlatformOutcome,
    ) -> NextStep {
        match outcome {
            PlatformOutcome::Object(object) => self.check_record(cx, plan, &object),
            PlatformOutcome::Absent => self.confirm_on(cx, plan, &Record::default(), 0),
            _ => {
                cx.count(Counter::PlanRetryNoAnswer);
                NextStep::CallLater(PlatformOp::read_configuration())
            }
        }
    }

    fn check_record(
        &mut self,
        cx: &mut Cx<'_>,
        plan: Box<Plan>,
        object: &StoredObject,
    ) -> NextStep {
        match valid_record(object) {
            Some(record) => self.confirm_on(cx, plan, &record, object.version),
            // A reader will replace the invalid record soon.
            None => NextStep::CallLater(PlatformOp::read_configuration()),
        }
    }

    fn confirm_on(
        &mut self,
        cx: &mut Cx<'_>,
        plan: Box<Plan>,
        record: &Record,
        version: u64,
    ) -> NextStep {
        if let Some(generation) = record.confirmed_generation(&plan.id) {
            return NextStep::Reply(confirmed(cx, &plan.id, generation));
        }
        if record.decision > plan.base.decision {
            return NextStep::Reply(superseded(cx, &plan, record));
        }
        if record.decision < plan.base.decision {
            // The read was out of date: the plan is based on a later record.
            cx.count(Counter::PlanRetryStale);
            return NextStep::CallLater(PlatformOp::read_configuration());
        }
        let next = match plan.intent.apply_to(&record.cfg) {
            Ok(cfg) => record.confirm(cfg, &plan.id),
            Err(e) => return NextStep::Reply(refusal(&e)),
        };
        let value = next.to_value();
        if value.to_string().len() > MAX_OBJECT_BYTES {
            return NextStep::Reply(Reply::error(
                status::UNPROCESSABLE,
                "the record would be larger than the platform's objects may be",
                "remove objects that are no longer needed",
            ));
        }
        self.has_written = true;
        self.stage = Stage::Writing(plan);
        NextStep::Call(PlatformOp::Put {
            key: CONFIGURATION_KEY.to_owned(),
            version,
            value,
        })
    }

    fn on_written(
        &mut self,
        cx: &mut Cx<'_>,
        plan: Box<Plan>,
        outcome: PlatformOutcome,
    ) -> NextStep {
        if let PlatformOutcome::Object(object) = &outcome {
            let record = Record::from_value(&object.value).map(|decoded| decoded.record);
            let generation = record.ok().and_then(|r| r.confirmed_generation(&plan.id));
            if let Some(generation) = generation {
                return NextStep::Reply(confirmed(cx, &plan.id, generation));
            }
        }
        let reason = match outcome {
            PlatformOutcome::Conflict => Counter::PlanRetryConflict,
            _ => Counter::PlanRetryNoAnswer,
        };
        cx.count(reason);
        self.stage = Stage::ReadingRecord(plan);
        match reason {
            Counter::PlanRetryConflict => NextStep::Call(PlatformOp::read_configuration()),
            _ => NextStep::CallLater(PlatformOp::read_configuration()),
        }
    }
}

/// The body of the answer to a confirmation that has taken effect.
#[derive(serde::Serialize)]
struct Confirmed<'a> {
    plan: &'a PlanId,
    generation: Generation,
}

/// Returns the answer if `record` lists the plan as confirmed.
pub(super) fn already_confirmed(cx: &mut Cx<'_>, plan: &PlanId, record: &Record) -> Option<Reply> {
    let generation = record.confirmed_generation(plan)?;
    Some(confirmed(cx, plan, generation))
}

fn confirmed(cx: &mut Cx<'_>, plan: &PlanId, generation: Generation) -> Reply {
    cx.count(Counter::PlanConfirmed);
    cx.note(
        Notice::PlanConfirmed,
        format!("{plan} made generation {generation}"),
    );
    Reply::new(status::OK, &Confirmed { plan, generation })
}

fn superseded(cx: &mut Cx<'_>, plan: &Plan, record: &Record) -> Reply {
    cx.count(Counter::PlanRefusedSuperseded);
    cx.note(Notice::PlanRefused, format!("{}: superseded", plan.id));
    if plan.base.decision < record.remembers_since {
        return Reply::error(
            status::GONE,
            "so much was decided since that it is no longer known whether this plan took effect",
            "look at `dragonflytrack services` and plan again if the change is missing",
        );
    }
    Reply::error(
        status::CONFLICT,
        format!(
            "the plan rests on the decision of generation {}, and generation {} decided since",
            plan.base.decision, record.decision
        ),
        "plan again",
    )
}

fn unknown_plan(cx: &mut Cx<'_>, reason: &str) -> Reply {
    cx.count(Counter::PlanRefusedUnknown);
    Reply::error(
        status::NOT_FOUND,
        format!("there is no such plan: {reason}"),
        "ask for a plan first and confirm the name that it shows",
    )
}
