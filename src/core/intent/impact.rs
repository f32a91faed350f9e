//! What a change does to running work and to capacity, and what it puts at
//! risk.

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
    /// Its share of the service's weight in force, in percent. About as many
    /// of the service's flows end there.
    pub weight_percent: u64,
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
    #[display("flows that end in data centre {data_centre} are given up")]
    FlowsGivenUp {
        /// The data centre.
        data_centre: DataCentreId,
        /// How many flows the VM that made the plan knows, if it counts them.
        flows: Option<u64>,
    },
    /// A backend server disappears.
    #[display("backend server {backend} disappears; drain it first to keep its flows")]
    BackendRemoved {
        /// The backend server.
        backend: BackendId,
    },
}

/// Returns the backend servers whose work changes.
pub(super) fn touched(old: &Configuration, new: &Configuration, usage: &Usage) -> Vec<Touched> {
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

/// Returns what is left of each service's capacity.
pub(super) fn capacity_left(old: &Configuration, new: &Configuration) -> Vec<ServiceCapacity> {
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

/// Returns what a change from `old` to `new` puts at risk.
pub(super) fn risks(
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
    let used = |of: fn(BackendUsage) -> Option<u64>| -> u64 {
        let names = old.backends_of(service).map(|b| &b.name);
        names.filter_map(|name| of(usage.of(name))).sum()
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

fn flows_into(cfg: &Configuration, data_centre: &DataCentreId, usage: &Usage) -> Option<u64> {
    let there = cfg
        .backends
        .iter()
        .filter(|b| b.data_centre == *data_centre);
    there.map(|b| usage.of(&b.name).flows).sum()
}
