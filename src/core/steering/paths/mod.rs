//! Which data centres can be reached from this one.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::names::DataCentreId;

/// Handshakes of a VM with the backend servers of one data centre, over the last
/// second.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PathReport {
    /// Data centre of the backend servers.
    pub data_centre: DataCentreId,
    /// Flows that opened.
    pub opened: u16,
    /// Backend servers with handshakes that are late.
    pub late: u16,
}
