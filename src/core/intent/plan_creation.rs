//! The creation of a plan: read the record, plan on it, store the plan.

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::core::{
    counter::Counter,
    cx::Cx,
    intent::{
        admin::{
            Reply,
            status, //
        },
        change::{
            Intent,
            IntentError, //
        },
        operation::NextStep,
        plan::Plan,
        platform::{
            MAX_OBJECT_BYTES,
            PlatformOp,
            PlatformOutcome,
            StoredObject, //
        },
        record::Record,
        usage::Usage,
        validation::validate,
    },
    names::PlanId,
    notice::Notice,
};

/// Returns the key of the platform object that holds the plan `id`.
pub(super) fn plan_key(id: &PlanId) -> String {
    format!("plans/{id}")
}

#[derive(Clone, Debug)]
enum Stage {
    /// The record is being read.
    Reading,
    /// The plan is being stored.
    Storing(Box<Plan>),
    /// The plan is being read back, because it is unknown whether it was stored.
    ReadingBack(Box<Plan>),
}

/// The creation of a plan.
#[derive(Clone, Debug)]
pub(super) struct PlanCreation {
    intent: Intent,
    stage: Stage,
}

impl PlanCreation {
    /// Creates the task to plan `intent` and returns its first call.
    pub(super) fn start(intent: Intent) -> (PlanCreation, PlatformOp) {
        let stage = Stage::Reading;
        (
            PlanCreation { intent, stage },
            PlatformOp::read_configuration(),
        )
    }

    /// Handles the outcome of the last call.
    pub(super) fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        usage: &Usage,
        outcome: PlatformOutcome,
    ) -> NextStep {
        match self.stage.clone() {
            Stage::Reading => self.on_record(cx, usage, outcome),
            Stage::Storing(plan) => self.on_stored(cx, plan, outcome),
            Stage::ReadingBack(plan) => self.on_read_back(cx, plan, outcome),
        }
    }

    /// Returns the answer for an operation that reached its deadline.
    pub(super) fn time_out(&self, cx: &mut Cx<'_>) -> Reply {
        cx.count(Counter::PlanRefusedPlatform);
        Reply::error(
            status::UNAVAILABLE,
            "the platform did not answer in time; nothing changed",
            "ask for the plan again when the platform answers",
        )
    }

    fn on_record(&mut self, cx: &mut Cx<'_>, usage: &Usage, outcome: PlatformOutcome) -> NextStep {
        match outcome {
            PlatformOutcome::Object(object) => self.plan(cx, usage, &object),
            // The first configuration may be created by a plan.
            PlatformOutcome::Absent => self.plan_on(cx, usage, &Record::default(), 0),
            _ => {
                cx.count(Counter::PlanRetryNoAnswer);
                NextStep::CallLater(PlatformOp::read_configuration())
            }
        }
    }

    fn plan(&mut self, cx: &mut Cx<'_>, usage: &Usage, object: &StoredObject) -> NextStep {
        match valid_record(object) {
            Some(record) if record.generation() < cx.cfg.generation => {
                // The read was out of date.
                cx.count(Counter::PlanRetryStale);
                NextStep::CallLater(PlatformOp::read_configuration())
            }
            Some(record) => self.plan_on(cx, usage, &record, object.version),
            // A reader will replace the invalid record soon.
            None => NextStep::CallLater(PlatformOp::read_configuration()),
        }
    }

    fn plan_on(
        &mut self,
        cx: &mut Cx<'_>,
        usage: &Usage,
        record: &Record,
        version: u64,
    ) -> NextStep {
        let id = new_id(cx);
        let made_by = cx.view.me.id.clone();
        let plan = Plan::new(id, made_by, self.intent.clone(), record, version, usage);
        match plan {
            Ok(plan) => self.store(cx, Box::new(plan)),
            Err(e) => {
                cx.count(Counter::PlanRefusedInvalid);
                cx.note(Notice::PlanRefused, format!("{}: {e}", self.intent));
                NextStep::Reply(refusal(&e))
            }
        }
    }

    fn store(&mut self, cx: &mut Cx<'_>, plan: Box<Plan>) -> NextStep {
        let value = serde_json::to_value(&plan).unwrap_or_default();
        if value.to_string().len() > MAX_OBJECT_BYTES {
            cx.count(Counter::PlanRefusedInvalid);
            return NextStep::Reply(Reply::error(
                status::UNPROCESSABLE,
                "the plan is larger than the platform's objects may be",
                "apply the change in several smaller plans",
            ));
        }
        let op = PlatformOp::Put {
            key: plan_key(&plan.id),
            version: 0,
            value,
        };
        self.stage = Stage::Storing(plan);
        NextStep::Call(op)
    }

    fn on_stored(
        &mut self,
        cx: &mut Cx<'_>,
        plan: Box<Plan>,
        outcome: PlatformOutcome,
    ) -> NextStep {
        match outcome {
            PlatformOutcome::Object(_) => stored_reply(cx, &plan),
            _ => {
                cx.count(Counter::PlanRetryNoAnswer);
                let key = plan_key(&plan.id);
                self.stage = Stage::ReadingBack(plan);
                NextStep::CallLater(PlatformOp::Get { key })
            }
        }
    }

    fn on_read_back(
        &mut self,
        cx: &mut Cx<'_>,
        plan: Box<Plan>,
        outcome: PlatformOutcome,
    ) -> NextStep {
        match outcome {
            PlatformOutcome::Object(object) => {
                let stored = serde_json::from_value::<Plan>(object.value);
                if stored.is_ok_and(|stored| stored == *plan) {
                    return stored_reply(cx, &plan);
                }
                // Another plan already has this name.
                let id = new_id(cx);
                self.store(cx, Box::new(Plan { id, ..*plan }))
            }
            PlatformOutcome::Absent => self.store(cx, plan),
            _ => {
                cx.count(Counter::PlanRetryNoAnswer);
                let key = plan_key(&plan.id);
                NextStep::CallLater(PlatformOp::Get { key })
            }
        }
    }
}

/// Returns the record in `object` if all of it is valid.
pub(super) fn valid_record(object: &StoredObject) -> Option<Record> {
    let decoded = Record::from_value(&object.value).ok()?;
    let is_valid = decoded.refused.is_empty() && validate(&decoded.record.cfg).is_empty();
    is_valid.then_some(decoded.record)
}

/// Returns the answer to an intent that cannot be planned.
pub(super) fn refusal(e: &IntentError) -> Reply {
    let code = match e {
        IntentError::Unknown(_) => status::NOT_FOUND,
        IntentError::NoChange(_) => status::CONFLICT,
        IntentError::Invalid(_) => status::UNPROCESSABLE,
    };
    let mut reply = Reply::error(code, e, "mend the intent and ask for the plan again");
    if let Some(fields) = reply.body.as_object_mut() {
        let errors: Vec<String> = e.field_errors().iter().map(ToString::to_string).collect();
        fields.insert("faults".to_owned(), serde_json::json!(errors));
    }
    reply
}

fn stored_reply(cx: &mut Cx<'_>, plan: &Plan) -> NextStep {
    cx.count(Counter::PlanMade);
    cx.note(Notice::PlanStored, format!("{}: {}", plan.id, plan.intent));
    NextStep::Reply(Reply::new(status::CREATED, plan))
}

/// Returns a random plan name, which another plan is unlikely to have.
fn new_id(cx: &mut Cx<'_>) -> PlanId {
    const ID_BITS: u32 = 48;
    let run = format!("{} {}", cx.view.me.id, cx.view.me.incarnation);
    let n = xxh3_64(run.as_bytes()) ^ cx.rng.random::<u64>();
    PlanId::new(format!("{:012x}", n >> (u64::BITS - ID_BITS)))
}
