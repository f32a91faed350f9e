//! Operators' intents, plans and the configuration in force.
//!
//! - [`platform`] defines the calls to the platform's object API.
//! - [`admin`] defines operators' calls.
//! - [`record`] is the platform object that holds the configuration in force.
//! - [`validation`] checks the objects of a configuration.
//! - [`change`] applies an intent to a configuration.
//! - [`plan`] shows the resulting changes, from [`diff`], and their effect on
//!   running work, from [`impact`].
//! - [`ramp`] returns a data centre step by step.
//! - [`projection`] writes each object with its status to the platform.
//! - [`relay`] distributes the record between the VMs.
//! - [`status`] reports the generation in force on each VM.

use std::sync::Arc;

use serde::Serialize;

use crate::core::{
    action::Action,
    configuration::Configuration,
    cx::Cx,
    names::VmId, //
};

pub mod admin;
mod calls;
pub mod change;
mod confirmation;
pub mod diff;
pub mod impact;
mod in_force;
mod last_good;
pub mod operation;
pub mod plan;
mod plan_creation;
pub mod plan_lookup;
pub mod platform;
pub mod projection;
pub mod ramp;
mod ranking;
pub mod reader;
pub mod record;
pub mod relay;
mod repair;
pub mod status;
pub mod usage;
pub mod validation;

pub use admin::AdminCall;
pub use admin::AdminCallId;
pub use admin::AdminOp;
pub use admin::AdminReply;
pub use change::Intent;
pub use plan::Plan;
pub use platform::CONFIGURATION_KEY;
pub use platform::PlatformCall;
pub use platform::PlatformCallId;
pub use platform::PlatformOp;
pub use platform::PlatformOutcome;
pub use platform::StoredObject;
pub use record::Record;
pub use relay::IntentMessage;
pub use usage::Usage;

use admin::Reply;
use calls::{
    Calls,
    Purpose, //
};
use confirmation::Confirmation;
use in_force::InForce;
use operation::{
    Operations,
    Task, //
};
use plan_creation::PlanCreation;
use plan_lookup::PlanLookup;
use projection::Projection;
use ramp::Ramps;
use reader::Reader;
use relay::Relay;
use repair::Repair;
use status::StatusInputs;

/// The state machine of intents and configuration.
#[derive(Debug, Default)]
pub struct Intents {
    in_force: InForce,
    calls: Calls,
    reader: Reader,
    relay: Relay,
    repair: Repair,
    ramps: Ramps,
    projection: Projection,
    operations: Operations,
    usage: Usage,
    /// The VMs that the settings name.
    seeds: Vec<VmId>,
}

impl Intents {
    /// Creates the state machine without a configuration. `seeds` are
    /// the VMs that the settings name.
    pub fn open(seeds: Vec<VmId>) -> Intents {
        Intents {
            seeds,
            ..Intents::default()
        }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> &Arc<Configuration> {
        self.in_force.cfg()
    }

    /// Returns the record in force.
    pub fn record(&self) -> &Arc<Record> {
        self.in_force.record()
    }

    /// Sets the usage that plans and lists of services report.
    pub fn set_usage(&mut self, usage: Usage) {
        self.usage = usage;
    }

    /// Runs timeouts, retries and periodic work that are due.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.calls.tick(cx.now);
        self.reader.tick(cx, &mut self.calls);
        self.repair.tick(cx, &mut self.calls, &self.in_force);
        self.ramps.tick(cx, &mut self.calls, &self.in_force);
        self.projection.tick(cx, &mut self.calls, &self.in_force);
        self.operations.tick(cx, &mut self.calls, &self.usage);
        self.relay.tick(cx, &self.in_force);
    }

    /// Handles a message from another VM.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, from: &VmId, msg: IntentMessage) {
        self.relay.on_message(cx, &mut self.in_force, from, msg);
        self.relay.on_applied(cx, &self.in_force);
    }

    /// Handles the outcome of a platform call.
    pub fn on_platform(&mut self, cx: &mut Cx<'_>, id: PlatformCallId, outcome: PlatformOutcome) {
        let Some(call) = self.calls.complete(cx, id, &outcome) else {
            return;
        };
        if call.targets_record {
            self.on_record(cx, &outcome);
        }
        match call.purpose {
            Purpose::Watch => self.reader.on_outcome(cx, id, &outcome),
            Purpose::Repair => self.repair.on_outcome(cx, &outcome),
            Purpose::Ramp => {
                let Intents {
                    ramps,
                    calls,
                    in_force,
                    ..
                } = self;
                ramps.on_outcome(cx, calls, in_force, outcome);
            }
            Purpose::Projection => {
                self.projection.on_outcome(cx, &mut self.calls, id, outcome);
            }
            Purpose::Operation(admin) => {
                let ids = (admin, id);
                self.operations
                    .on_outcome(cx, &mut self.calls, &self.usage, ids, outcome);
            }
        }
    }

    /// Handles an operator's call.
    pub fn on_admin(&mut self, cx: &mut Cx<'_>, call: AdminCall) {
        let id = call.id;
        match call.op {
            AdminOp::Status => {
                let report = self.status(cx);
                reply_ok(cx, id, &report);
            }
            AdminOp::Services => {
                let list = status::services(self.in_force.cfg(), &self.usage);
                reply_ok(cx, id, &list);
            }
            AdminOp::MakePlan(intent) => {
                let (task, op) = PlanCreation::start(intent);
                self.start_operation(cx, id, (Task::Plan(task), op));
            }
            AdminOp::ShowPlan(plan) => {
                let (task, op) = PlanLookup::start(plan);
                self.start_operation(cx, id, (Task::Show(task), op));
            }
            AdminOp::Confirm(plan) => {
                if let Some(reply) =
                    confirmation::already_confirmed(cx, &plan, self.in_force.record())
                {
                    cx.act(Action::Admin(reply.for_call(id)));
                    return;
                }
                let (task, op) = Confirmation::start(plan);
                self.start_operation(cx, id, (Task::Confirm(task), op));
            }
        }
    }

    /// Considers the record in every platform answer, whichever state machine
    /// made the call and however late the answer comes.
    fn on_record(&mut self, cx: &mut Cx<'_>, outcome: &PlatformOutcome) {
        match outcome {
            PlatformOutcome::Object(object) => {
                self.repair
                    .on_object(cx, &mut self.in_force, &self.seeds, object);
            }
            PlatformOutcome::Absent => self.repair.on_absent(cx, &self.in_force, &self.seeds),
            _ => {}
        }
        self.relay.on_applied(cx, &self.in_force);
    }

    fn start_operation(&mut self, cx: &mut Cx<'_>, id: AdminCallId, task: (Task, PlatformOp)) {
        self.operations.start(cx, &mut self.calls, id, task);
    }

    fn status(&self, cx: &Cx<'_>) -> status::Status {
        let inputs = StatusInputs {
            seeds: &self.seeds,
            platform_reachable: self.reader.is_reachable(),
            refused: self.repair.refused(),
        };
        status::status(cx, &self.in_force, &inputs)
    }
}

fn reply_ok(cx: &mut Cx<'_>, id: AdminCallId, body: &impl Serialize) {
    let reply = Reply::new(admin::status::OK, body);
    cx.act(Action::Admin(reply.for_call(id)));
}
