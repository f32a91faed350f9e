//! A simulated fleet with operators, for the tests of intents.

#![expect(dead_code, reason = "each test file uses a part")]
#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

pub mod history;

use std::sync::Arc;

use dragonflytrack::{
    core::{
        Event,
        configuration::Configuration,
        intent::{
            AdminCall,
            AdminCallId,
            AdminOp,
            AdminReply,
            CONFIGURATION_KEY,
            Intent, //
        },
        names::PlanId,
    },
    kernel::clock::Millis,
};
use dragonflytrack_testkit::{
    Fleet,
    sample, //
};
use serde_json::Value;

/// The longest time that an operator's call may take.
const MAX_CALL_TIME: Millis = Millis::from_secs(12);

/// VMs in three data centres, and the operators' calls to them.
pub struct TestFleet {
    /// The fleet.
    pub fleet: Fleet,
    next_call: u64,
}

impl TestFleet {
    /// Starts a fleet with two VMs in each data centre.
    pub fn new(seed: u64) -> TestFleet {
        TestFleet::with_vms(2, seed)
    }

    /// Starts a fleet with `vms` VMs in each data centre and lets it settle.
    pub fn with_vms(vms: usize, seed: u64) -> TestFleet {
        let cfg = sample::configuration(&sample::HU_CENTRAL, &sample::HU_CENTRAL_SERVICES);
        let mut fleet = Fleet::open(&cfg, vms, seed);
        fleet.run_for(Millis::from_secs(3));
        TestFleet {
            fleet,
            next_call: 0,
        }
    }

    /// Sends an operator's call to the VM `at` without waiting for the answer.
    pub fn send(&mut self, at: usize, op: AdminOp) -> AdminCallId {
        let id = AdminCallId(self.next_call);
        self.next_call += 1;
        self.fleet.event(at, Event::Admin(AdminCall { id, op }));
        id
    }

    /// Returns the answer to the call `id`, if it has come.
    pub fn answer(&self, at: usize, id: AdminCallId) -> Option<AdminReply> {
        let mut replies = self.fleet.admin_replies.iter();
        let found = replies.find(|(vm, reply)| *vm == at && reply.id == id)?;
        Some(found.1.clone())
    }

    /// Waits for the answer to the call `id`.
    pub fn wait(&mut self, at: usize, id: AdminCallId) -> AdminReply {
        let end = self.fleet.now + MAX_CALL_TIME;
        while self.fleet.now < end {
            if let Some(reply) = self.answer(at, id) {
                return reply;
            }
            self.fleet.run_for(Millis(10));
        }
        panic!("no answer to call {id:?}");
    }

    /// Calls the VM `at` and waits for the answer.
    pub fn call(&mut self, at: usize, op: AdminOp) -> AdminReply {
        let id = self.send(at, op);
        self.wait(at, id)
    }

    /// Calls the VM `at`, which may be frozen. Returns `None` if the answer
    /// does not come in time.
    pub fn try_call(&mut self, at: usize, op: AdminOp) -> Option<AdminReply> {
        let id = self.send(at, op);
        let end = self.fleet.now + MAX_CALL_TIME + MAX_CALL_TIME;
        while self.fleet.now < end {
            if let Some(reply) = self.answer(at, id) {
                return Some(reply);
            }
            self.fleet.run_for(Millis(10));
        }
        None
    }

    /// Makes a plan at the VM `at`.
    pub fn plan(&mut self, at: usize, intent: Intent) -> Value {
        let reply = self.call(at, AdminOp::MakePlan(intent));
        assert_eq!(reply.status, 201, "{reply:?}");
        reply.body
    }

    /// Confirms `plan` at the VM `at`.
    pub fn confirm(&mut self, at: usize, plan: &Value) -> AdminReply {
        self.call(at, AdminOp::Confirm(plan_id(plan)))
    }

    /// Returns the status report of the VM `at`.
    pub fn status(&mut self, at: usize) -> Value {
        self.call(at, AdminOp::Status).body
    }

    /// Returns the configuration in force at the VM `at`.
    pub fn cfg(&self, at: usize) -> Arc<Configuration> {
        let engine = self.fleet.nodes[at].engine.as_ref().unwrap();
        Arc::new(engine.configuration().clone())
    }

    /// Returns the generation in force at each VM that runs.
    pub fn generations(&self) -> Vec<u64> {
        let engines = self.fleet.nodes.iter().filter_map(|n| n.engine.as_ref());
        engines.map(|e| e.configuration().generation.0).collect()
    }

    /// Runs until every VM has `generation` in force and returns how long that
    /// took, or `None` after `limit`.
    pub fn wait_everywhere(&mut self, generation: u64, limit: Millis) -> Option<Millis> {
        let start = self.fleet.now;
        while self.fleet.now.since(start) < limit {
            if self.generations().iter().all(|g| *g >= generation) {
                return Some(self.fleet.now.since(start));
            }
            self.fleet.run_for(Millis(10));
        }
        None
    }

    /// Returns the value of the record at the platform.
    pub fn stored(&self) -> Value {
        let object = self.fleet.platform.object(CONFIGURATION_KEY);
        object.map(|o| o.value.clone()).unwrap_or_default()
    }

    /// Returns the VM that makes the steps of ramps.
    pub fn ramp_driver(&self) -> usize {
        let running = |at: &usize| self.fleet.nodes[*at].engine.is_some();
        let all = 0..self.fleet.nodes.len();
        let id = |at: &usize| self.fleet.nodes[*at].vm.id.clone();
        all.filter(running)
            .min_by_key(|at| (id(at).hash64(), id(at)))
            .unwrap()
    }

    /// Returns the first VM that runs.
    pub fn alive(&self) -> usize {
        let mut nodes = self.fleet.nodes.iter();
        nodes.position(|n| n.engine.is_some()).unwrap()
    }
}

/// Returns the name of `plan`.
pub fn plan_id(plan: &Value) -> PlanId {
    PlanId::new(plan["id"].as_str().unwrap())
}

/// Returns the intent to drain a backend server.
pub fn drain(backend: &str) -> Intent {
    Intent::Drain {
        backend: backend.into(),
    }
}

/// Returns the intent to undrain a backend server.
pub fn undrain(backend: &str) -> Intent {
    Intent::Undrain {
        backend: backend.into(),
    }
}

/// Returns the intent to take a data centre out.
pub fn out(data_centre: &str) -> Intent {
    Intent::Out {
        data_centre: data_centre.into(),
    }
}

/// Returns the intent to return a data centre.
pub fn return_to_service(data_centre: &str) -> Intent {
    Intent::Return {
        data_centre: data_centre.into(),
    }
}
