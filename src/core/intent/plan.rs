//! Plans: what an intent would change, and what it puts at risk.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

use crate::core::{
    configuration::{
        Configuration,
        DataCentreState, //
    },
    intent::{
        change::{
            Intent,
            IntentError, //
        },
        ramp::{
            RampStep,
            steps, //
        },
        record::Record,
        validation::{
            ObjectKind,
            ObjectRef, //
        },
    },
    names::{
        BackendId,
        DataCentreId,
        Generation,
        PlanId,
        ServiceId,
        VmId, //
    },
};

/// The work that a backend server has, as far as this VM knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct BackendUsage {
    /// Established flows.
    pub flows: u64,
    /// Requests in flight.
    pub requests: u64,
}

/// The work of all backend servers, as far as this VM knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// One entry for each backend server with work.
    pub backends: BTreeMap<BackendId, BackendUsage>,
}

impl Usage {
    /// Returns the work of `backend`.
    pub fn of(&self, backend: &BackendId) -> BackendUsage {
        self.backends.get(backend).copied().unwrap_or_default()
    }
}

/// A field that a plan changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The object.
    pub object: ObjectRef,
    /// The field, or `object` when the object appears or goes.
    pub field: String,
    /// The value in force, or `absent`.
    pub old: String,
    /// The planned value, or `absent`.
    pub new: String,
}

/// What becomes of the work of a backend server.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Established flows and running requests go on; no new work comes.
    #[display("kept, no new work")]
    Kept,
    /// Flows are given up and requests end where they are.
    #[display("given up")]
    GivenUp,
    /// New work comes.
    #[display("new work")]
    NewWork,
}

/// A backend server whose work a plan touches.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Touched {
    /// The backend server.
    pub backend: BackendId,
    /// Its work, as far as the VM that made the plan knows.
    pub usage: BackendUsage,
    /// What becomes of it.
    pub effect: Effect,
}

/// What a service's backend servers bear together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Backend servers that take new work.
    pub backends: u64,
    /// Requests at once.
    pub slots: u64,
    /// Connections.
    pub connections: u64,
}

/// What is left of a service's capacity.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// The service.
    pub service: ServiceId,
    /// The capacity in force.
    pub before: Capacity,
    /// The capacity when the plan is in force.
    pub after: Capacity,
    /// The slots that are left, in percent of those in force.
    pub percent: u64,
}

/// Something that a confirmation puts at risk.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "risk", rename_all = "kebab-case")]
pub enum Risk {
    /// A service is left without a backend server for new work.
    #[display("service {service} has no backend server left for new work")]
    NoBackend {
        /// The service.
        service: ServiceId,
    },
    /// A service keeps less capacity than it uses.
    #[display("service {service} keeps {left} {resource} and uses {used}")]
    Overload {
        /// The service.
        service: ServiceId,
        /// What it runs short of.
        resource: String,
        /// The capacity that is left.
        left: u64,
        /// What is used, as far as the VM that made the plan knows.
        used: u64,
    },
    /// Flows into a data centre are given up.
    #[display("flows that end in data centre {data_centre} are given up ({flows} known here)")]
    FlowsGivenUp {
        /// The data centre.
        data_centre: DataCentreId,
        /// How many flows the VM that made the plan knows.
        flows: u64,
    },
    /// A backend server disappears.
    #[display("backend server {backend} disappears; drain it first to keep its flows")]
    BackendRemoved {
        /// The backend server.
        backend: BackendId,
    },
}

/// What a plan rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Base {
    /// The generation that was in force.
    pub generation: Generation,
    /// The generation of the last decision by operators.
    pub decision: Generation,
    /// The version of the record at the platform.
    pub version: u64,
}

/// The answer to an intent. Nothing happens before it is confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The name by which it is confirmed.
    pub id: PlanId,
    /// The VM that made it.
    pub made_by: VmId,
    /// What operators asked for.
    pub intent: Intent,
    /// What it rests on.
    pub base: Base,
    /// What changes.
    pub changes: Vec<Change>,
    /// The work that it touches.
    pub touched: Vec<Touched>,
    /// What is left of each service's capacity.
    pub capacity: Vec<ServiceCapacity>,
    /// What is at risk.
    pub risks: Vec<Risk>,
    /// The steps that follow when a data centre returns.
    pub ramp: Vec<RampStep>,
}

impl Plan {
    /// Plans `intent` on `record`, which has `version` at the platform.
    ///
    /// # Errors
    ///
    /// Fails if the intent makes no sense on that record.
    pub fn open(
        id: PlanId,
        made_by: VmId,
        intent: Intent,
        record: &Record,
        version: u64,
        usage: &Usage,
    ) -> Result<Plan, IntentError> {
        let old = &record.cfg;
        let new = intent.apply_to(old)?;
        let capacity = capacity_left(old, &new);
        let ramp = match &intent {
            Intent::Return { .. } => steps(),
            _ => Vec::new(),
        };
        Ok(Plan {
            id,
            made_by,
            base: Base {
                generation: record.generation(),
                decision: record.decision,
                version,
            },
            changes: changes(old, &new),
            touched: touched(old, &new, usage),
            risks: risks(old, &new, &capacity, usage),
            capacity,
            ramp,
            intent,
        })
    }
}

/// Returns every field in which `old` and `new` differ.
pub fn changes(old: &Configuration, new: &Configuration) -> Vec<Change> {
    let mut list = Vec::new();
    compare(
        &mut list,
        ObjectKind::DataCentre,
        &old.data_centres,
        &new.data_centres,
    );
    compare(&mut list, ObjectKind::Service, &old.services, &new.services);
    compare(&mut list, ObjectKind::Backend, &old.backends, &new.backends);
    list
}

/// The fields of each object of one kind, by name.
type Objects = BTreeMap<String, BTreeMap<String, Value>>;

fn by_name<T: Serialize>(list: &[T]) -> Objects {
    let mut objects = Objects::new();
    for entry in list {
        let Ok(Value::Object(fields)) = serde_json::to_value(entry) else {
            continue;
        };
        let name = fields.get("name").and_then(Value::as_str).unwrap_or("");
        objects.insert(name.to_owned(), fields.into_iter().collect());
    }
    objects
}

fn compare<T: Serialize>(list: &mut Vec<Change>, kind: ObjectKind, old: &[T], new: &[T]) {
    let old = by_name(old);
    let new = by_name(new);
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let object = ObjectRef::new(kind, name);
        match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => compare_fields(list, &object, old, new),
            (Some(_), None) => list.push(whole(object, "present", "absent")),
            (None, _) => list.push(whole(object, "absent", "present")),
        }
    }
}

fn whole(object: ObjectRef, old: &str, new: &str) -> Change {
    Change {
        object,
        field: "object".to_owned(),
        old: old.to_owned(),
        new: new.to_owned(),
    }
}

fn compare_fields(
    list: &mut Vec<Change>,
    object: &ObjectRef,
    old: &BTreeMap<String, Value>,
    new: &BTreeMap<String, Value>,
) {
    for (field, value) in new {
        let before = old.get(field);
        if before == Some(value) {
            continue;
        }
        list.push(Change {
            object: object.clone(),
            field: field.clone(),
            old: before.map_or_else(|| "absent".to_owned(), text),
            new: text(value),
        });
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}

fn touched(old: &Configuration, new: &Configuration, usage: &Usage) -> Vec<Touched> {
    let mut list = Vec::new();
    for backend in &old.backends {
        let share_before = old.new_work_share(backend);
        let effect = match new.backend(&backend.name) {
            None => Effect::GivenUp,
            Some(b) if new.is_out(b) && !old.is_out(backend) => Effect::GivenUp,
            Some(b) if new.new_work_share(b) > share_before => Effect::NewWork,
            Some(b) if new.new_work_share(b) < share_before => Effect::Kept,
            Some(_) => continue,
        };
        list.push(Touched {
            backend: backend.name.clone(),
            usage: usage.of(&backend.name),
            effect,
        });
    }
    list
}

fn capacity_of(cfg: &Configuration, service: &ServiceId) -> Capacity {
    let mut sum = Capacity::default();
    for backend in cfg.backends_of(service) {
        let share = u64::from(cfg.new_work_share(backend));
        if share == 0 {
            continue;
        }
        sum.backends += 1;
        sum.slots += u64::from(backend.slots) * share / 100;
        sum.connections += u64::from(backend.connections) * share / 100;
    }
    sum
}

fn capacity_left(old: &Configuration, new: &Configuration) -> Vec<ServiceCapacity> {
    let left = |service: &ServiceId| {
        let before = capacity_of(old, service);
        let after = capacity_of(new, service);
        ServiceCapacity {
            service: service.clone(),
            before,
            after,
            percent: (after.slots * 100).checked_div(before.slots).unwrap_or(100),
        }
    };
    new.services.iter().map(|s| left(&s.name)).collect()
}

fn risks(
    old: &Configuration,
    new: &Configuration,
    capacity: &[ServiceCapacity],
    usage: &Usage,
) -> Vec<Risk> {
    let mut list = Vec::new();
    for left in capacity {
        add_capacity_risks(&mut list, old, left, usage);
    }
    for dc in &new.data_centres {
        let was_out = old
            .data_centre(&dc.name)
            .is_none_or(|d| d.state == DataCentreState::Out);
        if dc.state == DataCentreState::Out && !was_out {
            list.push(Risk::FlowsGivenUp {
                data_centre: dc.name.clone(),
                flows: flows_into(old, &dc.name, usage),
            });
        }
    }
    for backend in &old.backends {
        if new.backend(&backend.name).is_none() {
            let backend = backend.name.clone();
            list.push(Risk::BackendRemoved { backend });
        }
    }
    list
}

fn add_capacity_risks(
    list: &mut Vec<Risk>,
    old: &Configuration,
    left: &ServiceCapacity,
    usage: &Usage,
) {
    let service = &left.service;
    if left.after.backends == 0 {
        list.push(Risk::NoBackend {
            service: service.clone(),
        });
    }
    let used = |of: fn(BackendUsage) -> u64| -> u64 {
        let names = old.backends_of(service).map(|b| &b.name);
        names.map(|name| of(usage.of(name))).sum()
    };
    let pairs = [
        ("slots", left.after.slots, used(|u| u.requests)),
        ("connections", left.after.connections, used(|u| u.flows)),
    ];
    for (resource, left, used) in pairs {
        if left < used {
            list.push(Risk::Overload {
                service: service.clone(),
                resource: resource.to_owned(),
                left,
                used,
            });
        }
    }
}

fn flows_into(cfg: &Configuration, data_centre: &DataCentreId, usage: &Usage) -> u64 {
    let there = cfg
        .backends
        .iter()
        .filter(|b| b.data_centre == *data_centre);
    there.map(|b| usage.of(&b.name).flows).sum()
}
