//! Operators' intents, plans and the configuration in force.
//!
//! - [`platform`] names the calls to the platform's object API.
//! - [`admin`] names the calls of operators.
//! - [`record`] is the platform object that holds the configuration in force.
//! - [`validation`] checks the objects of a configuration.
//! - [`change`] turns an intent into the configuration that follows from it.
//! - [`plan`] shows what that changes, from [`diff`], and what it does to
//!   running work, from [`impact`].
//! - [`ramp`] returns a data centre step by step.
//! - [`projection`] shows each object at the platform with its status.
//! - [`relay`] carries the record between the VMs.
//! - [`status`] tells operators what is in force where.

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
pub mod plan_lookup;
mod planning;
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
use confirmation::Confirming;
use in_force::InForce;
use operation::{
    Operations,
    Work, //
};
use plan_lookup::Showing;
use planning::Planning;
use projection::Projection;
use ramp::Ramps;
use reader::Reader;
use relay::Relay;
use repair::Repair;
use status::Reported;

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
    known: Vec<VmId>,
}

impl Intents {
    /// Starts with no configuration. `known` are the VMs that the settings
    /// name.
    pub fn open(known: Vec<VmId>) -> Intents {
        Intents {
            known,
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

    /// Sets the work of backend servers that plans and lists show.
    pub fn set_usage(&mut self, usage: Usage) {
        self.usage = usage;
    }

    /// Does what has become due.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.calls.tick(cx.now);
        self.reader.tick(cx, &mut self.calls);
        self.repair.tick(cx, &mut self.calls, &self.in_force);
        self.ramps.tick(cx, &mut self.calls, &self.in_force);
        self.projection.tick(cx, &mut self.calls, &self.in_force);
        self.operations.tick(cx, &mut self.calls, &self.usage);
        self.relay.tick(cx, &self.in_force);
    }

    /// Takes in a message of another VM.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, from: &VmId, msg: IntentMessage) {
        self.relay.on_message(cx, &mut self.in_force, from, msg);
        self.relay.on_applied(cx, &self.in_force);
    }

    /// Takes in the end of a call to the platform.
    pub fn on_platform(&mut self, cx: &mut Cx<'_>, id: PlatformCallId, outcome: PlatformOutcome) {
        let Some(call) = self.calls.end(cx, id, &outcome) else {
            return;
        };
        if call.on_configuration {
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

    /// Takes in a call of an operator.
    pub fn on_admin(&mut self, cx: &mut Cx<'_>, call: AdminCall) {
        let id = call.id;
        match call.op {
            AdminOp::Status => {
                let report = self.status(cx);
                answer(cx, id, &report);
            }
            AdminOp::Services => {
                let list = status::services(self.in_force.cfg(), &self.usage);
                answer(cx, id, &list);
            }
            AdminOp::MakePlan(intent) => {
                let (work, op) = Planning::open(intent);
                self.begin(cx, id, (Work::Plan(work), op));
            }
            AdminOp::ShowPlan(plan) => {
                let (work, op) = Showing::open(plan);
                self.begin(cx, id, (Work::Show(work), op));
            }
            AdminOp::Confirm(plan) => {
                if let Some(reply) = confirmation::known(cx, &plan, self.in_force.record()) {
                    cx.act(Action::Admin(reply.to(id)));
                    return;
                }
                let (work, op) = Confirming::open(plan);
                self.begin(cx, id, (Work::Confirm(work), op));
            }
        }
    }

    /// Every answer that shows the record is put in force, whoever asked and
    /// however late it comes.
    fn on_record(&mut self, cx: &mut Cx<'_>, outcome: &PlatformOutcome) {
        match outcome {
            PlatformOutcome::Object(object) => {
                self.repair
                    .on_object(cx, &mut self.in_force, &self.known, object);
            }
            PlatformOutcome::Absent => self.repair.on_absent(cx, &self.in_force, &self.known),
            _ => {}
        }
        self.relay.on_applied(cx, &self.in_force);
    }

    fn begin(&mut self, cx: &mut Cx<'_>, id: AdminCallId, work: (Work, PlatformOp)) {
        self.operations.begin(cx, &mut self.calls, id, work);
    }

    fn status(&self, cx: &Cx<'_>) -> status::Status {
        let reported = Reported {
            known: &self.known,
            platform_reachable: self.reader.is_reachable(),
            refused: self.repair.refused(),
        };
        status::status(cx, &self.in_force, &reported)
    }
}

fn answer(cx: &mut Cx<'_>, id: AdminCallId, body: &impl Serialize) {
    let reply = Reply::new(admin::status::OK, body);
    cx.act(Action::Admin(reply.to(id)));
}
