//! Operations: operators' calls that need the platform, each with a deadline.

use std::collections::BTreeMap;

use crate::{
    core::{
        action::Action,
        cx::Cx,
        intent::{
            admin::{
                AdminCallId,
                Reply, //
            },
            calls::{
                Calls,
                Purpose, //
            },
            confirmation::Confirmation,
            plan_creation::PlanCreation,
            plan_lookup::PlanLookup,
            platform::{
                PlatformCallId,
                PlatformOp,
                PlatformOutcome, //
            },
            usage::Usage,
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How long an operation may take until the operator gets an answer.
pub const OPERATION_TIMEOUT: Millis = Millis::from_secs(10);

/// How long a platform call may take before its outcome counts as unknown.
const CALL_TIMEOUT: Millis = Millis::from_secs(3);

/// How long to wait before a platform call is retried.
const RETRY_DELAY: Millis = Millis(250);

/// How many operations may run at once.
const MAX_RUNNING: usize = 256;

#[derive(Clone, Debug)]
pub(super) enum NextStep {
    /// A call to the platform.
    Call(PlatformOp),
    /// A call to the platform after [`RETRY_DELAY`].
    CallLater(PlatformOp),
    /// The operator's answer; the operation ends.
    Reply(Reply),
}

/// The task of an operation and its progress.
#[derive(Clone, Debug)]
pub(super) enum Task {
    /// Makes a plan.
    Plan(PlanCreation),
    /// Confirms a plan.
    Confirm(Confirmation),
    /// Shows a plan.
    Show(PlanLookup),
}

impl Task {
    fn on_outcome(&mut self, cx: &mut Cx<'_>, usage: &Usage, outcome: PlatformOutcome) -> NextStep {
        match self {
            Task::Plan(creation) => creation.on_outcome(cx, usage, outcome),
            Task::Confirm(confirmation) => confirmation.on_outcome(cx, outcome),
            Task::Show(lookup) => lookup.on_outcome(cx, outcome),
        }
    }

    fn time_out(&self, cx: &mut Cx<'_>) -> Reply {
        match self {
            Task::Plan(creation) => creation.time_out(cx),
            Task::Confirm(confirmation) => confirmation.time_out(cx),
            Task::Show(lookup) => lookup.time_out(cx),
        }
    }
}

/// What an operation waits for.
#[derive(Clone, Debug)]
enum Wait {
    /// The answer of the platform.
    Answer { id: PlatformCallId, until: Time },
    /// The time to retry the call.
    Retry { op: PlatformOp, at: Time },
}

#[derive(Clone, Debug)]
struct Operation {
    task: Task,
    wait: Wait,
    deadline: Time,
}

/// The running operations of one VM.
#[derive(Debug, Default)]
pub(super) struct Operations {
    running: BTreeMap<AdminCallId, Operation>,
}

impl Operations {
    /// Starts the operation for the operator's call `id` with its first
    /// platform call.
    pub(super) fn start(
        &mut self,
        cx: &mut Cx<'_>,
        calls: &mut Calls,
        id: AdminCallId,
        (task, op): (Task, PlatformOp),
    ) {
        if self.running.len() >= MAX_RUNNING {
            let reply = Reply::error(503, "too many calls are open", "try again in a second");
            cx.act(Action::Admin(reply.for_call(id)));
            return;
        }
        let operation = Operation {
            task,
            wait: send_call(cx, calls, id, op),
            deadline: cx.now + OPERATION_TIMEOUT,
        };
        self.running.insert(id, operation);
    }

    /// Handles the outcome of the platform call `call` of the operation `id`.
    pub(super) fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        calls: &mut Calls,
        usage: &Usage,
        (id, call): (AdminCallId, PlatformCallId),
        outcome: PlatformOutcome,
    ) {
        let Some(operation) = self.running.get_mut(&id) else {
            return;
        };
        // Ignores a late answer to a call that has timed out.
        if !matches!(operation.wait, Wait::Answer { id, .. } if id == call) {
            return;
        }
        match operation.task.on_outcome(cx, usage, outcome) {
            NextStep::Call(op) => operation.wait = send_call(cx, calls, id, op),
            NextStep::CallLater(op) => {
                let at = cx.now + RETRY_DELAY;
                operation.wait = Wait::Retry { op, at };
            }
            NextStep::Reply(reply) => {
                self.running.remove(&id);
                cx.act(Action::Admin(reply.for_call(id)));
            }
        }
    }

    /// Makes the retries that are due and ends operations that reached their
    /// deadline.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, calls: &mut Calls, usage: &Usage) {
        let ids: Vec<AdminCallId> = self.running.keys().copied().collect();
        for id in ids {
            self.tick_operation(cx, calls, usage, id);
        }
    }

    fn tick_operation(
        &mut self,
        cx: &mut Cx<'_>,
        calls: &mut Calls,
        usage: &Usage,
        id: AdminCallId,
    ) {
        let Some(operation) = self.running.get_mut(&id) else {
            return;
        };
        if cx.now >= operation.deadline {
            let reply = operation.task.time_out(cx);
            self.running.remove(&id);
            cx.act(Action::Admin(reply.for_call(id)));
            return;
        }
        match operation.wait.clone() {
            Wait::Answer { id: call, until } if cx.now >= until => {
                self.on_outcome(cx, calls, usage, (id, call), PlatformOutcome::NoAnswer);
            }
            Wait::Retry { op, at } if cx.now >= at => operation.wait = send_call(cx, calls, id, op),
            Wait::Answer { .. } | Wait::Retry { .. } => {}
        }
    }
}

fn send_call(cx: &mut Cx<'_>, calls: &mut Calls, id: AdminCallId, op: PlatformOp) -> Wait {
    let id = calls.send(cx, Purpose::Operation(id), op);
    let until = cx.now + CALL_TIMEOUT;
    Wait::Answer { id, until }
}
