//! Loads that a VM reports in its heartbeat.

use super::{
    super::peers::{
        Heartbeat,
        TagLoad, //
    },
    message::RouteDemand,
};
use crate::{
    core::names::DataCentreId,
    kernel::clock::Time, //
};

/// Last report of a VM.
#[derive(Debug)]
pub struct Report {
    pub(super) data_centre: DataCentreId,
    pub(super) heard: Time,
    pub(super) loads: Vec<TagLoad>,
    pub(super) routes: Vec<RouteDemand>,
}

impl Report {
    /// Takes the report out of a heartbeat, so that it is stored only once.
    pub fn take(heartbeat: &mut Heartbeat, now: Time) -> Report {
        Report {
            data_centre: heartbeat.data_centre.clone(),
            heard: now,
            loads: std::mem::take(&mut heartbeat.loads),
            routes: std::mem::take(&mut heartbeat.routes),
        }
    }
}
