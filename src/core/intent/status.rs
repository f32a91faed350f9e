//! Reports to operators about the fleet and its configuration.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        configuration::{
            Backend,
            Configuration,
            DataCentre,
            Service, //
        },
        cx::Cx,
        intent::{
            in_force::InForce,
            record::{
                ConfirmedPlan,
                RefusedObject, //
            },
            usage::{
                BackendUsage,
                Usage, //
            },
        },
        membership::{
            Member,
            MemberState, //
        },
        names::{
            DataCentreId,
            Generation,
            VmId, //
        },
    },
    kernel::clock::Millis,
};

/// A VM without a heartbeat for this long counts as unreachable.
const UNREACHABLE_AFTER: Millis = Millis::from_secs(3);

/// Whether a VM has the newest configuration, as known to the VM that answers.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It has the highest known generation in force.
    #[display("in force")]
    InForce,
    /// It has a lower generation in force.
    #[display("lags")]
    Lags,
    /// Its heartbeats do not arrive.
    #[display("unreachable")]
    Unreachable,
}

/// A VM in a status report.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// Its data centre, if a heartbeat ever arrived.
    pub data_centre: Option<DataCentreId>,
    /// The generation that it last reported.
    pub generation: Option<Generation>,
    /// Whether it has the newest configuration.
    pub state: VmState,
    /// The time since its last heartbeat, if there was one.
    pub heard_ms_ago: Option<Millis>,
}

/// The answer to `status`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The VM that answers.
    pub vm: VmId,
    /// The generation in force at the VM that answers.
    pub generation: Generation,
    /// How long it has been in force there.
    pub in_force_for_ms: Millis,
    /// Whether every known VM has reported it in force.
    pub in_force_everywhere: bool,
    /// All known VMs, sorted by name.
    pub vms: Vec<VmStatus>,
    /// Whether the platform answered this VM's last watch. A VM that does not
    /// watch the platform reports `true`.
    pub platform_reachable: bool,
    /// The objects that were refused, with the reasons.
    pub refused: Vec<RefusedObject>,
    /// The last confirmed plans, oldest first.
    pub confirmed: Vec<ConfirmedPlan>,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
}

/// A backend server in a list of services.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// The backend server.
    pub backend: Backend,
    /// The share of its weight that counts for new work, in percent.
    pub new_work_share: u8,
    /// Its work as known to the VM that answers.
    pub usage: BackendUsage,
}

/// A service in a list of services.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: Service,
    /// Its backend servers.
    pub backends: Vec<BackendStatus>,
}

/// The answer to `services`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Services {
    /// The generation in force at the VM that answers.
    pub generation: Generation,
    /// The services.
    pub services: Vec<ServiceStatus>,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
}

/// Lists the services of `cfg`.
pub(super) fn services(cfg: &Configuration, usage: &Usage) -> Services {
    let backend = |b: &Backend| BackendStatus {
        new_work_share: cfg.new_work_share(b),
        usage: usage.of(&b.name),
        backend: b.clone(),
    };
    let service = |s: &Service| ServiceStatus {
        service: s.clone(),
        backends: cfg.backends_of(&s.name).map(backend).collect(),
    };
    Services {
        generation: cfg.generation,
        services: cfg.services.iter().map(service).collect(),
        data_centres: cfg.data_centres.clone(),
    }
}

/// The inputs of a status report from other state machines and the settings.
pub(super) struct StatusInputs<'a> {
    /// The VMs that the settings name.
    pub(super) seeds: &'a [VmId],
    /// Whether the platform answers.
    pub(super) platform_reachable: bool,
    /// Refused objects that the record does not list yet.
    pub(super) refused: &'a [RefusedObject],
}

/// Reports the generation in force on each known VM.
pub(super) fn status(cx: &Cx<'_>, in_force: &InForce, inputs: &StatusInputs<'_>) -> Status {
    let vms = vms(cx, in_force.generation(), inputs.seeds);
    let record = in_force.record();
    let mut refused = record.refused.clone();
    refused.extend_from_slice(inputs.refused);
    Status {
        vm: cx.view.me.id.clone(),
        generation: in_force.generation(),
        in_force_for_ms: cx.now.since(in_force.since()),
        in_force_everywhere: vms.iter().all(|vm| vm.state == VmState::InForce),
        vms,
        platform_reachable: inputs.platform_reachable,
        refused,
        confirmed: record.confirmed.clone(),
        data_centres: record.cfg.data_centres.clone(),
    }
}

fn vms(cx: &Cx<'_>, mine: Generation, seeds: &[VmId]) -> Vec<VmStatus> {
    let highest = cx.view.members.iter().map(|m| m.generation).max();
    let highest = highest.unwrap_or_default().max(mine);
    let unheard = seeds.iter().map(|id| (id.clone(), unheard_status(id)));
    let mut all: BTreeMap<VmId, VmStatus> = unheard.collect();
    for member in &cx.view.members {
        let status = if member.vm.id == cx.view.me.id {
            heard_status(cx, &own_member(cx, member, mine), highest)
        } else {
            heard_status(cx, member, highest)
        };
        all.insert(member.vm.id.clone(), status);
    }
    all.into_values().collect()
}

/// Returns this VM's own entry with its current values.
fn own_member(cx: &Cx<'_>, member: &Member, generation: Generation) -> Member {
    Member {
        last_heard: cx.now,
        generation,
        state: MemberState::Alive,
        ..member.clone()
    }
}

fn heard_status(cx: &Cx<'_>, member: &Member, highest: Generation) -> VmStatus {
    let age = cx.now.since(member.last_heard);
    let state = if age >= UNREACHABLE_AFTER || member.state == MemberState::Suspect {
        VmState::Unreachable
    } else if member.generation < highest {
        VmState::Lags
    } else {
        VmState::InForce
    };
    VmStatus {
        vm: member.vm.id.clone(),
        data_centre: Some(member.vm.data_centre.clone()),
        generation: Some(member.generation),
        state,
        heard_ms_ago: Some(age),
    }
}

fn unheard_status(id: &VmId) -> VmStatus {
    VmStatus {
        vm: id.clone(),
        data_centre: None,
        generation: None,
        state: VmState::Unreachable,
        heard_ms_ago: None,
    }
}
