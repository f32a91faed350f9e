//! The effects of a change on running work and on capacity, and its risks.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::{
    configuration::{
        Backend,
        Configuration,
        DataCentreState, //
    },
    intent::usage::{
        BackendUsage,
        Usage, //
    },
    names::{
        BackendId,
        DataCentreId,
        ServiceId, //
    },
};

/// The effect of a change on the work of a backend server.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Established flows and running requests continue without new work.
    #[display("kept, no new work")]
    Kept,
    /// Flows and running requests are abandoned.
    #[display("given up")]
    GivenUp,
    /// More new work is assigned than before.
    #[display("new work")]
    NewWork,
}

/// A backend server whose work a plan affects.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AffectedBackend {
    /// The backend server.
    pub backend: BackendId,
    /// Its share of the service's weight in force, in percent. It has about
    /// the same share of the service's flows.
    pub weight_percent: u64,
    /// Its work as known to the VM that made the plan.
    pub usage: BackendUsage,
    /// The effect on that work.
    pub effect: Effect,
}

/// The total capacity of a service's backend servers for new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct CapacityTotals {
    /// Backend servers that take new work.
    pub backends: u64,
    /// Concurrent requests.
    pub slots: u64,
    /// Open connections.
    pub connections: u64,
}

/// The capacity of a service before and after a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// The service.
    pub service: ServiceId,
    /// The capacity in force.
    pub before: CapacityTotals,
    /// The capacity when the plan is in force.
    pub after: CapacityTotals,
    /// The slots after the change, in percent of those before.
    pub percent: u64,
}

/// A risk of confirming a plan.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "risk", rename_all = "kebab-case")]
pub enum Risk {
    /// A service is left without a backend server for new work.
    #[display("service {service} has no backend server left for new work")]
    NoBackend {
        /// The service.
        service: ServiceId,
    },
    /// A service is left with less capacity than it uses.
    #[display("service {service} keeps {left} {resource} and uses {used}")]
    Overload {
        /// The service.
        service: ServiceId,
        /// The resource that runs short: `slots` or `connections`.
        resource: String,
        /// The capacity that is left.
        left: u64,
        /// The usage as known to the VM that made the plan.
        used: u64,
    },
    /// Flows to the backend servers of a data centre are abandoned.
    #[display("flows that end in data centre {data_centre} are given up")]
    FlowsGivenUp {
        /// The data centre.
        data_centre: DataCentreId,
        /// The number of flows known to the VM that made the plan, if it
        /// counts them.
        flows: Option<u64>,
    },
    /// A backend server is removed.
    #[display("backend server {backend} disappears; drain it first to keep its flows")]
    BackendRemoved {
        /// The backend server.
        backend: BackendId,
    },
}

/// Returns the backend servers whose work a change from `old` to `new` affects.
pub(super) fn affected_backends(
    old: &Configuration,
    new: &Configuration,
    usage: &Usage,
) -> Vec<AffectedBackend> {
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
        list.push(AffectedBackend {
            backend: backend.name.clone(),
            weight_percent: weight_percent(old, backend),
            usage: usage.of(&backend.name),
            effect,
        });
    }
    list
}

fn weight_percent(cfg: &Configuration, backend: &Backend) -> u64 {
    let weight = |b: &Backend| u64::from(b.slots) * u64::from(cfg.new_work_share(b));
    let sum: u64 = cfg.backends_of(&backend.service).map(weight).sum();
    (weight(backend) * 100).checked_div(sum).unwrap_or(0)
}

fn total_capacity(cfg: &Configuration, service: &ServiceId) -> CapacityTotals {
    let mut sum = CapacityTotals::default();
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

/// Returns the capacity of each service of `new` before and after the change.
pub(super) fn service_capacities(old: &Configuration, new: &Configuration) -> Vec<ServiceCapacity> {
    let capacity = |service: &ServiceId| {
        let before = total_capacity(old, service);
        let after = total_capacity(new, service);
        ServiceCapacity {
            service: service.clone(),
            before,
            after,
            percent: (after.slots * 100).checked_div(before.slots).unwrap_or(100),
        }
    };
    new.services.iter().map(|s| capacity(&s.name)).collect()
}

/// Returns the risks of a change from `old` to `new`.
pub(super) fn risks(
    old: &Configuration,
    new: &Configuration,
    capacity: &[ServiceCapacity],
    usage: &Usage,
) -> Vec<Risk> {
    let mut list = Vec::new();
    for entry in capacity {
        add_capacity_risks(&mut list, old, entry, usage);
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
    capacity: &ServiceCapacity,
    usage: &Usage,
) {
    let service = &capacity.service;
    if capacity.after.backends == 0 {
        list.push(Risk::NoBackend {
            service: service.clone(),
        });
    }
    let used = |of: fn(BackendUsage) -> Option<u64>| -> u64 {
        let names = old.backends_of(service).map(|b| &b.name);
        names.filter_map(|name| of(usage.of(name))).sum()
    };
    let pairs = [
        ("slots", capacity.after.slots, used(|u| u.requests)),
        ("connections", capacity.after.connections, used(|u| u.flows)),
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

fn flows_into(cfg: &Configuration, data_centre: &DataCentreId, usage: &Usage) -> Option<u64> {
    let backends = cfg
        .backends
        .iter()
        .filter(|b| b.data_centre == *data_centre);
    backends.map(|b| usage.of(&b.name).flows).sum()
}
