//! The fields of the load balancer's configuration that the emulator uses.

use std::{
    fs,
    io,
    net::SocketAddr,
    path::Path, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Map,
    Value, //
};

/// The platform object that holds the configuration in force.
pub const CONFIGURATION_KEY: &str = "configurations/current";

/// A service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Service {
    /// The unique name.
    pub name: String,
    /// The destination address of its packets.
    pub address: SocketAddr,
    /// Fields that the emulator does not use, kept when it writes them back.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// A backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Backend {
    /// The unique name.
    pub name: String,
    /// The name of its service.
    pub service: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// The UDP address for encapsulated packets.
    pub packets: SocketAddr,
    /// The HTTP address for requests.
    pub requests: SocketAddr,
    /// The number of requests that it can run concurrently when warm.
    pub slots: u32,
    /// The state that operators set.
    #[serde(default = "active")]
    pub state: String,
    /// Fields that the emulator does not use, kept when it writes them back.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// A data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DataCentre {
    /// The unique name.
    pub name: String,
    /// `in`, `out` or `returning`.
    #[serde(default = "in_service")]
    pub state: String,
    /// Fields that the emulator does not use, kept when it writes them back.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// A configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Configuration {
    /// The services.
    pub services: Vec<Service>,
    /// The backend servers.
    pub backends: Vec<Backend>,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
    /// Fields that the emulator does not use, kept when it writes them back.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

fn active() -> String {
    "active".to_owned()
}

fn in_service() -> String {
    "in".to_owned()
}

impl Configuration {
    /// Reads the configuration from the JSON file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not a configuration.
    pub fn load(path: impl AsRef<Path>) -> io::Result<Configuration> {
        let text = fs::read(path)?;
        serde_json::from_slice(&text).map_err(io::Error::other)
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }

    /// Returns the data centre of the backend server called `name`.
    pub fn data_centre_of(&self, name: &str) -> Option<&DataCentre> {
        let backend = self.backends.iter().find(|b| b.name == name)?;
        self.data_centres
            .iter()
            .find(|d| d.name == backend.data_centre)
    }
}
