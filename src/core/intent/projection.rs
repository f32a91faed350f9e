//! Writes one platform object for each service, backend server and data centre,
//! which shows it with its status.
//!
//! These objects are derived from the record, which alone is authoritative. The
//! first VM of the ranking writes them. The others keep recent changes for a
//! while, so that one of them continues if the writer fails. Writes are
//! idempotent.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    core::{
        configuration::Configuration,
        cx::Cx,
        intent::{
            calls::{
                Calls,
                Purpose, //
            },
            in_force::InForce,
            platform::{
                PlatformCallId,
                PlatformOp,
                PlatformOutcome,
                StoredObject, //
            },
            ranking::rank,
            record::RefusedObject,
            validation::{
                ObjectKind,
                ObjectRef,
                is_valid_name, //
            },
        },
        names::{
            Generation,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How long to wait after a change, so that views and heartbeats settle first.
const START_DELAY: Millis = Millis::from_secs(2);

/// The minimum time between two platform calls.
const CALL_INTERVAL: Millis = Millis(100);

/// How long to wait for a call before its object is retried.
const CALL_TIMEOUT: Millis = Millis::from_secs(5);

/// How long VMs other than the writer keep pending changes.
const PENDING_RETENTION: Millis = Millis::from_secs(60);

/// The state of an object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum ObjectState {
    /// The shown version is in force.
    InForce,
    /// The version written last was refused; the shown version is in force.
    Refused {
        /// The reason, with the remedy.
        reason: String,
    },
    /// It was removed.
    Removed,
}

/// The status of an object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ObjectStatus {
    /// The generation that brought the object to this state.
    pub generation: Generation,
    /// The state.
    #[serde(flatten)]
    pub state: ObjectState,
}

/// The platform object that shows an object with its status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProjectedObject {
    /// The version in force, or null if there is none.
    pub spec: Value,
    /// Its status.
    pub status: ObjectStatus,
}

/// Returns the key of the platform object that shows `object`, or `None` if its
/// name is invalid or it is the record itself.
pub fn projection_key(object: &ObjectRef) -> Option<String> {
    let kind = match object.kind {
        ObjectKind::Service => "services",
        ObjectKind::Backend => "backends",
        ObjectKind::DataCentre => "datacentres",
        ObjectKind::Record => return None,
    };
    is_valid_name(&object.name).then(|| format!("{kind}/{}", object.name))
}

#[derive(Clone, Debug)]
struct InFlight {
    key: String,
    id: PlatformCallId,
    until: Time,
}

/// The state machine that writes the objects.
#[derive(Debug, Default)]
pub(super) struct Projection {
    /// The configuration that the platform objects show once `pending` is empty.
    target: Arc<Configuration>,
    refused: Vec<RefusedObject>,
    /// The objects that may have to be written, by key.
    pending: BTreeMap<String, ProjectedObject>,
    in_flight: Option<InFlight>,
    not_before: Time,
    changed_at: Time,
}

impl Projection {
    /// Collects changed objects and starts to update one of them.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, calls: &mut Calls, in_force: &InForce) {
        self.observe(cx.now, in_force);
        if self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| cx.now < in_flight.until)
        {
            return;
        }
        if cx.now < self.not_before || self.pending.is_empty() {
            return;
        }
        if !is_writer(cx) {
            if cx.now.since(self.changed_at) >= PENDING_RETENTION {
                self.pending.clear();
            }
            return;
        }
        let Some(key) = self.pending.keys().next().cloned() else {
            return;
        };
        let op = PlatformOp::Get { key: key.clone() };
        self.call(cx, calls, key, op);
    }

    /// Handles the outcome of a call.
    pub(super) fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        calls: &mut Calls,
        id: PlatformCallId,
        outcome: PlatformOutcome,
    ) {
        let Some(in_flight) = self.in_flight.take_if(|in_flight| in_flight.id == id) else {
            return;
        };
        self.not_before = cx.now + CALL_INTERVAL;
        match outcome {
            PlatformOutcome::Object(object) => self.on_object(cx, calls, in_flight.key, &object),
            PlatformOutcome::Absent => self.write(cx, calls, in_flight.key, 0),
            // The object was written since the read; it is read again.
            PlatformOutcome::Conflict => {}
            PlatformOutcome::Unchanged
            | PlatformOutcome::Refused(_)
            | PlatformOutcome::NoAnswer => self.not_before = cx.now + CALL_TIMEOUT,
        }
    }

    fn on_object(
        &mut self,
        cx: &mut Cx<'_>,
        calls: &mut Calls,
        key: String,
        object: &StoredObject,
    ) {
        let Some(wanted) = self.pending.get(&key) else {
            return;
        };
        let stored = serde_json::from_value::<ProjectedObject>(object.value.clone());
        let is_newer = stored
            .as_ref()
            .is_ok_and(|stored| stored.status.generation > wanted.status.generation);
        let is_same = stored.as_ref().is_ok_and(|stored| {
            stored.spec == wanted.spec && stored.status.state == wanted.status.state
        });
        if is_newer || is_same {
            self.pending.remove(&key);
            return;
        }
        self.write(cx, calls, key, object.version);
    }

    fn write(&mut self, cx: &mut Cx<'_>, calls: &mut Calls, key: String, version: u64) {
        let Some(wanted) = self.pending.get(&key) else {
            return;
        };
        let op = PlatformOp::Put {
            key: key.clone(),
            version,
            value: serde_json::to_value(wanted).unwrap_or_default(),
        };
        self.call(cx, calls, key, op);
    }

    fn call(&mut self, cx: &mut Cx<'_>, calls: &mut Calls, key: String, op: PlatformOp) {
        let id = calls.send(cx, Purpose::Projection, op);
        let until = cx.now + CALL_TIMEOUT;
        self.in_flight = Some(InFlight { key, id, until });
    }

    /// Adds the objects that differ between the target configuration and the
    /// one in force to the pending objects.
    fn observe(&mut self, now: Time, in_force: &InForce) {
        if in_force.generation() == self.target.generation {
            return;
        }
        let old = std::mem::replace(&mut self.target, Arc::clone(in_force.cfg()));
        let refused_before = std::mem::take(&mut self.refused);
        self.refused = in_force.record().refused.clone();
        self.changed_at = now;
        self.not_before = now + START_DELAY;
        let old = specs(&old);
        let new = specs(&self.target);
        let generation = self.target.generation;
        let refusals = refused_before.iter().chain(&self.refused);
        let mut objects: Vec<ObjectRef> = refusals.map(|r| r.object.clone()).collect();
        objects.extend(old.keys().chain(new.keys()).cloned());
        objects.sort_unstable();
        objects.dedup();
        for object in objects {
            let is_refused = refused_before.iter().chain(&self.refused);
            let is_refused = is_refused.into_iter().any(|r| r.object == object);
            if old.get(&object) == new.get(&object) && !is_refused {
                continue;
            }
            let Some(key) = projection_key(&object) else {
                continue;
            };
            let spec = new.get(&object).cloned().unwrap_or(Value::Null);
            let state = self.state_of(&object, &spec);
            let status = ObjectStatus { generation, state };
            self.pending.insert(key, ProjectedObject { spec, status });
        }
    }

    fn state_of(&self, object: &ObjectRef, spec: &Value) -> ObjectState {
        let refused = self.refused.iter().find(|r| r.object == *object);
        match refused {
            Some(refused) => ObjectState::Refused {
                reason: refused.reason.clone(),
            },
            None if spec.is_null() => ObjectState::Removed,
            None => ObjectState::InForce,
        }
    }
}

fn is_writer(cx: &Cx<'_>) -> bool {
    let alive: Vec<&VmId> = cx.view.alive().map(|m| &m.vm.id).collect();
    rank(&cx.view.me.id, &alive) == 0
}

/// Returns every object of `cfg` as JSON.
fn specs(cfg: &Configuration) -> BTreeMap<ObjectRef, Value> {
    let mut map = BTreeMap::new();
    for s in &cfg.services {
        map.insert(ObjectRef::new(ObjectKind::Service, &s.name), json!(s));
    }
    for b in &cfg.backends {
        map.insert(ObjectRef::new(ObjectKind::Backend, &b.name), json!(b));
    }
    for d in &cfg.data_centres {
        map.insert(ObjectRef::new(ObjectKind::DataCentre, &d.name), json!(d));
    }
    map
}
