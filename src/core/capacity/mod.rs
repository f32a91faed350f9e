//! Who may send how much to which backend server.

use derive_more::Display;
use hashbrown::HashMap;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        cx::Cx,
        names::{
            BackendId,
            ServiceId,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        WallTime, //
    },
};

/// How long an acquired slot may be used.
pub const SLOT_LEASE: Millis = Millis::from_secs(10);

/// The right to run one request on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Slot {
    /// The backend server.
    pub backend: BackendId,
    /// The backend server must have refused or ended the request by then.
    pub until: WallTime,
}

/// Why no slot could be acquired.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum NoSlot {
    /// Another VM has been asked to lend a slot. Acquiring again after the
    /// next event may succeed.
    #[display("another VM has been asked for a slot")]
    Asked,
    /// Every slot is busy.
    #[display("every slot is busy")]
    Busy,
    /// No backend server of the service takes new work.
    #[display("no backend server takes new work")]
    NoBackend,
}

/// How an attempt ended, as far as the backend server's capacity is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotResult {
    /// The request was answered.
    Answered,
    /// No answer came; the request may still be running.
    Lost,
    /// The backend server refused the request because of its load.
    Shed,
    /// The backend server could not be reached.
    Unreachable,
    /// The slot was not used.
    Unused,
}

/// What a finished attempt says about its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotReport {
    /// How the attempt ended.
    pub result: SlotResult,
    /// How long the attempt took.
    pub elapsed: Millis,
    /// The backend server's run, if its answer named one.
    pub backend_run: Option<u64>,
}

/// A message about slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CapacityMessage {
    /// A placeholder that is never sent.
    Nothing,
}

/// The capacity state machine.
#[derive(Debug, Default)]
pub struct Capacity {
    in_flight: HashMap<BackendId, u32>,
}

impl Capacity {
    /// Starts with no slots in use.
    pub fn open() -> Capacity {
        Capacity::default()
    }

    /// Takes in a new configuration.
    pub fn on_configuration(&mut self, _cx: &mut Cx<'_>) {}

    /// Takes in a change of the view.
    pub fn on_view(&mut self, _cx: &mut Cx<'_>) {}

    /// Gives unused slots to the other VMs before this one stops.
    pub fn stop(&mut self, _cx: &mut Cx<'_>) {}

    /// Does what has become due.
    pub fn tick(&mut self, _cx: &mut Cx<'_>) {}

    /// Takes in a message of another VM.
    pub fn on_message(&mut self, _cx: &mut Cx<'_>, _from: &VmId, _msg: CapacityMessage) {}

    /// Acquires a slot of a backend server of `service` that is not among
    /// `tried`.
    pub fn acquire(
        &mut self,
        cx: &mut Cx<'_>,
        service: &ServiceId,
        tried: &[BackendId],
    ) -> Result<Slot, NoSlot> {
        let usable = cx
            .cfg
            .backends_of(service)
            .filter(|b| cx.cfg.new_work_share(b) > 0 && !tried.contains(&b.name));
        let least = usable.min_by_key(|b| self.in_flight.get(&b.name).copied().unwrap_or(0));
        let backend = least.ok_or(NoSlot::NoBackend)?;
        let used = self.in_flight.entry(backend.name.clone()).or_default();
        if *used >= backend.slots {
            return Err(NoSlot::Busy);
        }
        *used += 1;
        Ok(Slot {
            backend: backend.name.clone(),
            until: cx.wall + SLOT_LEASE,
        })
    }

    /// Gives a slot back.
    pub fn release(&mut self, _cx: &mut Cx<'_>, slot: &Slot, _report: SlotReport) {
        if let Some(used) = self.in_flight.get_mut(&slot.backend) {
            *used = used.saturating_sub(1);
        }
    }
}
