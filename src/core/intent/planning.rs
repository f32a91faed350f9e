//! The making of a plan: read the record, plan on it, store the plan.

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
        operation::Next,
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

/// Returns the platform object that holds the plan `id`.
pub(super) fn plan_key(id: &PlanId) -> String {
    format!("plans/{id}")
}

/// Where the making of a plan stands.
#[derive(Clone, Debug)]
enum Stage {
    /// The record is being read.
    Reading,
    /// The plan is being stored.
    Storing(Box<Plan>),
    /// Whether the plan was stored is being read back.
    ReadingBack(Box<Plan>),
}

/// The making of a plan.
#[derive(Clone, Debug)]
pub(super) struct Planning {
    intent: Intent,
    stage: Stage,
}

impl Planning {
    /// Begins to plan `intent`.
    pub(super) fn open(intent: Intent) -> (Planning, PlatformOp) {
        let stage = Stage::Reading;
        (Planning { intent, stage }, PlatformOp::read_configuration())
    }

    /// Takes in the end of the call that was asked for last.
    pub(super) fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        usage: &Usage,
        outcome: PlatformOutcome,
    ) -> Next {
        match self.stage.clone() {
            Stage::Reading => self.on_record(cx, usage, outcome),
            Stage::Storing(plan) => self.on_stored(cx, plan, outcome),
            Stage::ReadingBack(plan) => self.on_read_back(cx, plan, outcome),
        }
    }

    /// Returns the answer when time has run out.
    pub(super) fn give_up(&self, cx: &mut Cx<'_>) -> Reply {
        cx.count(Counter::PlanRefusedPlatform);
        Reply::error(
            status::UNAVAILABLE,
            "the platform did not answer in time; nothing changed",
            "ask for the plan again when the platform answers",
        )
    }

    fn on_record(&mut self, cx: &mut Cx<'_>, usage: &Usage, outcome: PlatformOutcome) -> Next {
        match outcome {
            PlatformOutcome::Object(object) => self.plan(cx, usage, &object),
            // The first configuration of all may come by a plan.
            PlatformOutcome::Absent => self.plan_on(cx, usage, &Record::default(), 0),
            _ => {
                cx.count(Counter::PlanRetryNoAnswer);
                Next::AskLater(PlatformOp::read_configuration())
            }
        }
    }

    fn plan(&mut self, cx: &mut Cx<'_>, usage: &Usage, object: &StoredObject) -> Next {
        match sound_record(object) {
            Some(record) if record.generation() < cx.cfg.generation => {
                // The read was out of date.
                cx.count(Counter::PlanRetryStale);
                Next::AskLater(PlatformOp::read_configuration())
            }
            Some(record) => self.plan_on(cx, usage, &record, object.version),
            // A reader replaces a bad record soon.
            None => Next::AskLater(PlatformOp::read_configuration()),
        }
    }

    fn plan_on(&mut self, cx: &mut Cx<'_>, usage: &Usage, record: &Record, version: u64) -> Next {
        let id = new_id(cx);
        let made_by = cx.view.me.id.clone();
        let plan = Plan::open(id, made_by, self.intent.clone(), record, version, usage);
        match plan {
            Ok(plan) => self.store(cx, Box::new(plan)),
            Err(e) => {
                cx.count(Counter::PlanRefusedInvalid);
                cx.note(Notice::PlanRefused, format!("{}: {e}", self.intent));
                Next::Reply(refuse(&e))
            }
        }
    }

    fn store(&mut self, cx: &mut Cx<'_>, plan: Box<Plan>) -> Next {
        let value = serde_json::to_value(&plan).unwrap_or_default();
        if value.to_string().len() > MAX_OBJECT_BYTES {
            cx.count(Counter::PlanRefusedInvalid);
            return Next::Reply(Reply::error(
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
        Next::Ask(op)
    }

    fn on_stored(&mut self, cx: &mut Cx<'_>, plan: Box<Plan>, outcome: PlatformOutcome) -> Next {
        match outcome {
            PlatformOutcome::Object(_) => done(cx, &plan),
            _ => {
                cx.count(Counter::PlanRetryNoAnswer);
                let key = plan_key(&plan.id);
                self.stage = Stage::ReadingBack(plan);
                Next::AskLater(PlatformOp::Get { key })
            }
        }
    }

    fn on_read_back(&mut self, cx: &mut Cx<'_>, plan: Box<Plan>, outcome: PlatformOutcome) -> Next {
        match outcome {
            PlatformOutcome::Object(object) => {
                let stored = serde_json::from_value::<Plan>(object.value);
                if stored.is_ok_and(|stored| stored == *plan) {
                    return done(cx, &plan);
                }
                // Another plan has the name.
                let id = new_id(cx);
                self.store(cx, Box::new(Plan { id, ..*plan }))
            }
            PlatformOutcome::Absent => self.store(cx, plan),
            _ => {
                cx.count(Counter::PlanRetryNoAnswer);
                let key = plan_key(&plan.id);
                Next::AskLater(PlatformOp::Get { key })
            }
        }
    }
}

/// Returns the record in `object` if nothing of it has to be refused.
pub(super) fn sound_record(object: &StoredObject) -> Option<Record> {
    let decoded = Record::from_value(&object.value).ok()?;
    let is_sound = decoded.refused.is_empty() && validate(&decoded.record.cfg).is_empty();
    is_sound.then_some(decoded.record)
}

/// Returns the answer to an intent that makes no sense.
pub(super) fn refuse(e: &IntentError) -> Reply {
    let code = match e {
        IntentError::Unknown(_) => status::NOT_FOUND,
        IntentError::NoChange(_) => status::CONFLICT,
        IntentError::Faults(_) => status::UNPROCESSABLE,
    };
    let mut reply = Reply::error(code, e, "mend the intent and ask for the plan again");
    if let Some(fields) = reply.body.as_object_mut() {
        let faults: Vec<String> = e.faults().iter().map(ToString::to_string).collect();
        fields.insert("faults".to_owned(), serde_json::json!(faults));
    }
    reply
}

fn done(cx: &mut Cx<'_>, plan: &Plan) -> Next {
    cx.count(Counter::PlanMade);
    cx.note(Notice::PlanStored, format!("{}: {}", plan.id, plan.intent));
    Next::Reply(Reply::new(status::CREATED, plan))
}

/// Returns a name that no other plan is likely to have.
fn new_id(cx: &mut Cx<'_>) -> PlanId {
    const ID_BITS: u32 = 48;
    let run = format!("{} {}", cx.view.me.id, cx.view.me.incarnation);
    let n = xxh3_64(run.as_bytes()) ^ cx.rng.random::<u64>();
    PlanId::new(format!("{:012x}", n >> (u64::BITS - ID_BITS)))
}
