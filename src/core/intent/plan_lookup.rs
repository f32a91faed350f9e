//! The lookup of a stored plan and its state.

use serde::Serialize;

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
            valid_record, //
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

/// The state of a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum PlanState {
    /// It can be confirmed.
    Open,
    /// It was confirmed.
    Confirmed {
        /// The generation that it created.
        generation: Generation,
    },
    /// Another decision of operators was written since, so it can no longer be
    /// confirmed.
    Superseded,
}

/// The body of the answer: a plan with its state.
#[derive(Serialize)]
struct PlanView<'a> {
    #[serde(flatten)]
    plan: &'a Plan,
    #[serde(flatten)]
    state: PlanState,
}

/// The lookup of a plan, which reads the plan and then the record.
#[derive(Clone, Debug)]
pub(super) struct PlanLookup {
    id: PlanId,
    /// `None` until the plan has been read.
    plan: Option<Box<Plan>>,
}

impl PlanLookup {
    /// Creates the lookup of the plan `id` and returns its first call.
    pub(super) fn start(id: PlanId) -> (PlanLookup, PlatformOp) {
        let key = plan_key(&id);
        (PlanLookup { id, plan: None }, PlatformOp::Get { key })
    }

    /// Handles the outcome of the last call.
    pub(super) fn on_outcome(&mut self, cx: &mut Cx<'_>, outcome: PlatformOutcome) -> NextStep {
        match (&self.plan, outcome) {
            (None, PlatformOutcome::Object(object)) => match serde_json::from_value(object.value) {
                Ok(plan) => {
                    self.plan = Some(Box::new(plan));
                    NextStep::Call(PlatformOp::read_configuration())
                }
                Err(e) => NextStep::Reply(Reply::error(
                    status::NOT_FOUND,
                    format!("plan {} cannot be read: {e}", self.id),
                    "plan again",
                )),
            },
            (None, PlatformOutcome::Absent) => {
                cx.count(Counter::PlanRefusedUnknown);
                NextStep::Reply(Reply::error(
                    status::NOT_FOUND,
                    format!("no plan {} is stored", self.id),
                    "check the name, or plan again",
                ))
            }
            (Some(plan), PlatformOutcome::Object(object)) => {
                let record = valid_record(&object).unwrap_or_default();
                view_reply(plan, &record)
            }
            (Some(plan), PlatformOutcome::Absent) => view_reply(plan, &Record::default()),
            _ => {
                cx.count(Counter::PlanRetryNoAnswer);
                NextStep::CallLater(self.current_call())
            }
        }
    }

    /// Returns the answer for an operation that reached its deadline.
    pub(super) fn time_out(&self, cx: &mut Cx<'_>) -> Reply {
        cx.count(Counter::PlanRefusedPlatform);
        Reply::error(
            status::UNAVAILABLE,
            "the platform did not answer in time",
            "try again when the platform answers",
        )
    }

    fn current_call(&self) -> PlatformOp {
        match self.plan {
            Some(_) => PlatformOp::read_configuration(),
            None => PlatformOp::Get {
                key: plan_key(&self.id),
            },
        }
    }
}

fn view_reply(plan: &Plan, record: &Record) -> NextStep {
    let state = match record.confirmed_generation(&plan.id) {
        Some(generation) => PlanState::Confirmed { generation },
        None if record.decision == plan.base.decision => PlanState::Open,
        None => PlanState::Superseded,
    };
    NextStep::Reply(Reply::new(status::OK, &PlanView { plan, state }))
}
