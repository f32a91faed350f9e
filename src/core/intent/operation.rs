//! Operators' calls that need the platform, each with its deadline.

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
            confirmation::Confirming,
            plan_lookup::Showing,
            planning::Planning,
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

/// How long an operator waits for an answer.
pub const OPERATION_TIMEOUT: Millis = Millis::from_secs(10);

/// How long one call may take before its outcome counts as unknown.
const CALL_TIMEOUT: Millis = Millis::from_secs(3);

/// How long to wait before the platform is asked again.
const RETRY_AFTER: Millis = Millis(250);

/// How many operators' calls may be open at once.
const MAX_OPEN: usize = 256;

/// What an operation needs next.
#[derive(Clone, Debug)]
pub(super) enum Next {
    /// A call to the platform.
    Ask(PlatformOp),
    /// A call to the platform after a short while.
    AskLater(PlatformOp),
    /// The operator's answer; the operation ends.
    Reply(Reply),
}

/// What an operation does.
#[derive(Clone, Debug)]
pub(super) enum Work {
    /// Makes a plan.
    Plan(Planning),
    /// Confirms a plan.
    Confirm(Confirming),
    /// Shows a plan.
    Show(Showing),
}

impl Work {
    fn on_outcome(&mut self, cx: &mut Cx<'_>, usage: &Usage, outcome: PlatformOutcome) -> Next {
        match self {
            Work::Plan(planning) => planning.on_outcome(cx, usage, outcome),
            Work::Confirm(confirming) => confirming.on_outcome(cx, outcome),
            Work::Show(showing) => showing.on_outcome(cx, outcome),
        }
    }

    fn give_up(&self, cx: &mut Cx<'_>) -> Reply {
        match self {
            Work::Plan(planning) => planning.give_up(cx),
            Work::Confirm(confirming) => confirming.give_up(cx),
            Work::Show(showing) => showing.give_up(cx),
        }
    }
}

/// What an operation waits for.
#[derive(Clone, Debug)]
enum Wait {
    /// The answer of the platform.
    Answer { id: PlatformCallId, until: Time },
    /// The time to ask again.
    Retry { op: PlatformOp, at: Time },
}

#[derive(Clone, Debug)]
struct Operation {
    work: Work,
    wait: Wait,
    deadline: Time,
}

/// The open operations of one VM.
#[derive(Debug, Default)]
pub(super) struct Operations {
    open: BTreeMap<AdminCallId, Operation>,
}

impl Operations {
    /// Begins the operation of the operator's call `id`.
    pub(super) fn begin(
        &mut self,
        cx: &mut Cx<'_>,
        calls: &mut Calls,
        id: AdminCallId,
        (work, op): (Work, PlatformOp),
    ) {
        if self.open.len() >= MAX_OPEN {
            let reply = Reply::error(503, "too many calls are open", "try again in a second");
            cx.act(Action::Admin(reply.to(id)));
            return;
        }
        let operation = Operation {
            work,
            wait: ask(cx, calls, id, op),
            deadline: cx.now + OPERATION_TIMEOUT,
        };
        self.open.insert(id, operation);
    }

    /// Takes in the end of the call `call` of the operation `id`.
    pub(super) fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        calls: &mut Calls,
        usage: &Usage,
        (id, call): (AdminCallId, PlatformCallId),
        outcome: PlatformOutcome,
    ) {
        let Some(operation) = self.open.get_mut(&id) else {
            return;
        };
        // A call that took too long has been given up, so its late answer
        // decides nothing here.
        if !matches!(operation.wait, Wait::Answer { id, .. } if id == call) {
            return;
        }
        match operation.work.on_outcome(cx, usage, outcome) {
            Next::Ask(op) => operation.wait = ask(cx, calls, id, op),
            Next::AskLater(op) => {
                let at = cx.now + RETRY_AFTER;
                operation.wait = Wait::Retry { op, at };
            }
            Next::Reply(reply) => {
                self.open.remove(&id);
                cx.act(Action::Admin(reply.to(id)));
            }
        }
    }

    /// Repeats calls that are due and ends operations whose time has run out.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, calls: &mut Calls, usage: &Usage) {
        let ids: Vec<AdminCallId> = self.open.keys().copied().collect();
        for id in ids {
            self.tick_one(cx, calls, usage, id);
        }
    }

    fn tick_one(&mut self, cx: &mut Cx<'_>, calls: &mut Calls, usage: &Usage, id: AdminCallId) {
        let Some(operation) = self.open.get_mut(&id) else {
            return;
        };
        if cx.now >= operation.deadline {
            let reply = operation.work.give_up(cx);
            self.open.remove(&id);
            cx.act(Action::Admin(reply.to(id)));
            return;
        }
        match operation.wait.clone() {
            Wait::Answer { id: call, until } if cx.now >= until => {
                self.on_outcome(cx, calls, usage, (id, call), PlatformOutcome::NoAnswer);
            }
            Wait::Retry { op, at } if cx.now >= at => operation.wait = ask(cx, calls, id, op),
            Wait::Answer { .. } | Wait::Retry { .. } => {}
        }
    }
}

fn ask(cx: &mut Cx<'_>, calls: &mut Calls, id: AdminCallId, op: PlatformOp) -> Wait {
    let id = calls.send(cx, Purpose::Operation(id), op);
    let until = cx.now + CALL_TIMEOUT;
    Wait::Answer { id, until }
}
