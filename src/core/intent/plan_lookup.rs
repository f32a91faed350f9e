//! Shows a plan that was made.

use serde::Serialize;

use crate::core::{
    counter::Counter,
    cx::Cx,
    intent::{
        admin::{
            Reply,
            status, //
        },
        operation::Next,
        plan::Plan,
        planning::{
            plan_key,
            sound_record, //
        },
        platform::{
            PlatformOp,
            PlatformOutcome, //
        },
        record::Record,
    },
    names::{
        Generation,
        PlanId, //
    },
};

/// What became of a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum PlanState {
    /// It can be confirmed.
    Open,
    /// It was confirmed.
    Confirmed {
        /// The generation that it made.
        generation: Generation,
    },
    /// Operators have decided otherwise since; it can no longer be confirmed.
    Superseded,
}

/// A plan with what became of it.
#[derive(Serialize)]
struct Shown<'a> {
    #[serde(flatten)]
    plan: &'a Plan,
    #[serde(flatten)]
    state: PlanState,
}

/// Reads a plan and what became of it.
#[derive(Clone, Debug)]
pub(super) struct Showing {
    id: PlanId,
    /// `None` until the plan has been read.
    plan: Option<Box<Plan>>,
}

impl Showing {
    /// Begins to show the plan `id`.
    pub(super) fn open(id: PlanId) -> (Showing, PlatformOp) {
        let key = plan_key(&id);
        (Showing { id, plan: None }, PlatformOp::Get { key })
    }

    /// Takes in the end of the call that was asked for last.
    pub(super) fn on_outcome(&mut self, cx: &mut Cx<'_>, outcome: PlatformOutcome) -> Next {
        match (&self.plan, outcome) {
            (None, PlatformOutcome::Object(object)) => match serde_json::from_value(object.value) {
                Ok(plan) => {
                    self.plan = Some(Box::new(plan));
                    Next::Ask(PlatformOp::read_configuration())
                }
                Err(e) => Next::Reply(Reply::error(
                    status::NOT_FOUND,
                    format!("plan {} cannot be read: {e}", self.id),
                    "plan again",
                )),
            },
            (None, PlatformOutcome::Absent) => {
                cx.count(Counter::PlanRefusedUnknown);
                Next::Reply(Reply::error(
                    status::NOT_FOUND,
                    format!("no plan {} is stored", self.id),
                    "check the name, or plan again",
                ))
            }
            (Some(plan), PlatformOutcome::Object(object)) => {
                let record = sound_record(&object).unwrap_or_default();
                show(plan, &record)
            }
            (Some(plan), PlatformOutcome::Absent) => show(plan, &Record::default()),
            _ => {
                cx.count(Counter::PlanRetryNoAnswer);
                Next::AskLater(self.pending())
            }
        }
    }

    /// Returns the answer when time has run out.
    pub(super) fn give_up(&self, cx: &mut Cx<'_>) -> Reply {
        cx.count(Counter::PlanRefusedPlatform);
        Reply::error(
            status::UNAVAILABLE,
            "the platform did not answer in time",
            "try again when the platform answers",
        )
    }

    fn pending(&self) -> PlatformOp {
        match self.plan {
            Some(_) => PlatformOp::read_configuration(),
            None => PlatformOp::Get {
                key: plan_key(&self.id),
            },
        }
    }
}

fn show(plan: &Plan, record: &Record) -> Next {
    let state = match record.confirmed_generation(&plan.id) {
        Some(generation) => PlanState::Confirmed { generation },
        None if record.decision == plan.base.decision => PlanState::Open,
        None => PlanState::Superseded,
    };
    Next::Reply(Reply::new(status::OK, &Shown { plan, state }))
}
