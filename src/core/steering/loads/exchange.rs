//! Exchange of load sums between hubs and other VMs.

use super::{
    super::Steering,
    message::{
        DataCentreLoads,
        FleetLoads, //
    },
};
use crate::kernel::clock::Time;

impl Steering {
    /// Processes the load sums of a hub of this data centre.
    pub(in super::super) fn on_fleet_loads(&mut self, loads: FleetLoads, now: Time) {
        self.paths.record_verdicts(&loads.lost_paths, now);
    }

    /// Processes the load sums of another data centre.
    pub(in super::super) fn on_data_centre_loads(&mut self, _loads: DataCentreLoads, _now: Time) {}
}
