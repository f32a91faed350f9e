//! Objects of the platform that show each service, backend server and data
//! centre with its status.
//!
//! They follow the record, which alone decides. The first VM of the ranking
//! writes them; the others remember for a while what changed, so that one of
//! them goes on when it fails. Writes are idempotent.

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
                is_plain_name, //
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

/// How long to wait after a change, so that views and heartbeats settle.
const START_DELAY: Millis = Millis::from_secs(2);

/// The shortest time between two calls.
const CALL_INTERVAL: Millis = Millis(100);

/// How long a call may take before its object is tried again.
const CALL_TIMEOUT: Millis = Millis::from_secs(5);

/// How long VMs that do not write remember what changed.
const REMEMBER_FOR: Millis = Millis::from_secs(60);

/// Whether an object is in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum ObjectState {
    /// It is in force as the object shows it.
    InForce,
    /// What was written last was refused; the object shows what is in force.
    Refused {
        /// Why, with the remedy.
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
    /// Whether it is in force.
    #[serde(flatten)]
    pub state: ObjectState,
}

/// What the platform shows of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    /// The object as it is in force, or null.
    pub spec: Value,
    /// Its status.
    pub status: ObjectStatus,
}

/// Returns the platform object that shows `object`.
pub fn shown_key(object: &ObjectRef) -> Option<String> {
    let kind = match object.kind {
        ObjectKind::Service => "services",
        ObjectKind::Backend => "backends",
        ObjectKind::DataCentre => "datacentres",
        ObjectKind::Record => return None,
    };
    is_plain_name(&object.name).then(|| format!("{kind}/{}", object.name))
}

/// What is being done about one object.
#[derive(Clone, Debug)]
struct Open {
    key: String,
    id: PlatformCallId,
    until: Time,
}

/// The state machine that writes the objects.
#[derive(Debug, Default)]
pub(super) struct Projection {
    /// The configuration that `pending` brings the objects to.
    planned: Arc<Configuration>,
    refused: Vec<RefusedObject>,
    /// The objects that may have to be written.
    pending: BTreeMap<String, Shown>,
    open: Option<Open>,
    not_before: Time,
    changed: Time,
}

impl Projection {
    /// Notes what has changed and writes one object.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, calls: &mut Calls, in_force: &InForce) {
        self.observe(cx.now, in_force);
        if self.open.as_ref().is_some_and(|open| cx.now < open.until) {
            return;
        }
        if cx.now < self.not_before || self.pending.is_empty() {
            return;
        }
        if !is_writer(cx) {
            if cx.now.since(self.changed) >= REMEMBER_FOR {
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

    /// Takes in the end of a call.
    pub(super) fn on_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        calls: &mut Calls,
        id: PlatformCallId,
        outcome: PlatformOutcome,
    ) {
        let Some(open) = self.open.take_if(|open| open.id == id) else {
            return;
        };
        self.not_before = cx.now + CALL_INTERVAL;
        match outcome {
            PlatformOutcome::Object(object) => self.on_object(cx, calls, open.key, &object),
            PlatformOutcome::Absent => self.write(cx, calls, open.key, 0),
            // The object was written meanwhile; it is read again.
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
        let shown = serde_json::from_value::<Shown>(object.value.clone());
        let is_newer = shown
            .as_ref()
            .is_ok_and(|shown| shown.status.generation > wanted.status.generation);
        let is_same = shown.as_ref().is_ok_and(|shown| {
            shown.spec == wanted.spec && shown.status.state == wanted.status.state
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
        self.open = Some(Open { key, id, until });
    }

    /// Adds what differs between the planned configuration and the one in
    /// force to the pending objects.
    fn observe(&mut self, now: Time, in_force: &InForce) {
        if in_force.generation() == self.planned.generation {
            return;
        }
        let old = std::mem::replace(&mut self.planned, Arc::clone(in_force.cfg()));
        let refused_before = std::mem::take(&mut self.refused);
        self.refused = in_force.record().refused.clone();
        self.changed = now;
        self.not_before = now + START_DELAY;
        let old = specs(&old);
        let new = specs(&self.planned);
        let generation = self.planned.generation;
        let refusals = refused_before.iter().chain(&self.refused);
        let mut touched: Vec<ObjectRef> = refusals.map(|r| r.object.clone()).collect();
        touched.extend(old.keys().chain(new.keys()).cloned());
        touched.sort_unstable();
        touched.dedup();
        for object in touched {
            let is_refusal = refused_before.iter().chain(&self.refused);
            let is_refusal = is_refusal.into_iter().any(|r| r.object == object);
            if old.get(&object) == new.get(&object) && !is_refusal {
                continue;
            }
            let Some(key) = shown_key(&object) else {
                continue;
            };
            let spec = new.get(&object).cloned().unwrap_or(Value::Null);
            let state = self.state_of(&object, &spec);
            let status = ObjectStatus { generation, state };
            self.pending.insert(key, Shown { spec, status });
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
