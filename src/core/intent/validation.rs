//! Validates the objects of a configuration together.

use std::{
    collections::{
        BTreeMap,
        btree_map::Entry, //
    },
    fmt::Display,
    net::SocketAddr, //
};

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::configuration::{
    Backend,
    Configuration,
    DataCentre,
    DataCentreState,
    Service, //
};

/// The longest name of an object, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// The highest value of `slots` that a backend server may have.
const MAX_SLOTS: u32 = 65_536;

/// The highest value of `connections` that a backend server may have.
const MAX_CONNECTIONS: u32 = 4_194_304;

/// The kind of an object.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A service.
    #[display("service")]
    Service,
    /// A backend server.
    #[display("backend server")]
    Backend,
    /// A data centre.
    #[display("data centre")]
    DataCentre,
    /// The record that holds all objects.
    #[display("record")]
    Record,
}

/// Identifies an object by its kind and name.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{kind} {name:?}")]
pub struct ObjectRef {
    /// Its kind.
    pub kind: ObjectKind,
    /// Its name.
    pub name: String,
}

impl ObjectRef {
    /// Identifies the object `name` of `kind`.
    pub fn new(kind: ObjectKind, name: impl Display) -> ObjectRef {
        ObjectRef {
            kind,
            name: name.to_string(),
        }
    }
}

/// An invalid field of an object.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[display("{object}: {field} = {value}: {remedy}")]
pub struct FieldError {
    /// The object.
    pub object: ObjectRef,
    /// The field.
    pub field: String,
    /// Its value.
    pub value: String,
    /// How to fix it.
    pub remedy: String,
}

/// Returns every invalid field of `cfg`: first those of data centres, then of
/// services, then of backend servers.
pub fn validate(cfg: &Configuration) -> Vec<FieldError> {
    let mut validator = Validator::default();
    validator.check_data_centres(cfg);
    validator.check_services(cfg);
    validator.check_backends(cfg);
    validator.errors
}

/// Returns whether `name` is a valid object name. Valid names are safe in a
/// URL.
pub fn is_valid_name(name: &str) -> bool {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_plain)
}

/// The first object with each value of a field.
type SeenValues = BTreeMap<String, ObjectRef>;

#[derive(Default)]
struct Validator {
    errors: Vec<FieldError>,
}

impl Validator {
    fn add(&mut self, object: &ObjectRef, field: &str, value: impl Display, remedy: &str) {
        self.errors.push(FieldError {
            object: object.clone(),
            field: field.to_owned(),
            value: value.to_string(),
            remedy: remedy.to_owned(),
        });
    }

    fn check_data_centres(&mut self, cfg: &Configuration) {
        let mut names = SeenValues::default();
        for dc in &cfg.data_centres {
            let object = ObjectRef::new(ObjectKind::DataCentre, &dc.name);
            self.check_name(&object);
            self.check_unique(&mut names, &object, "name", &dc.name);
            self.check_share(&object, dc);
        }
    }

    fn check_share(&mut self, object: &ObjectRef, dc: &DataCentre) {
        let remedy = match dc.state {
            DataCentreState::In if dc.share != 100 => "set it to 100 while the state is in",
            DataCentreState::Out if dc.share != 0 => "set it to 0 while the state is out",
            DataCentreState::Returning if !(1..100).contains(&dc.share) => {
                "set it between 1 and 99 while the state is returning"
            }
            _ => return,
        };
        self.add(object, "share", dc.share, remedy);
    }

    fn check_services(&mut self, cfg: &Configuration) {
        let mut names = SeenValues::default();
        let mut addresses = SeenValues::default();
        for service in &cfg.services {
            let object = ObjectRef::new(ObjectKind::Service, &service.name);
            self.check_name(&object);
            self.check_unique(&mut names, &object, "name", &service.name);
            self.check_address(&object, "address", service.address);
            let address = service_address(service);
            self.check_unique(&mut addresses, &object, "address", address);
        }
    }

    fn check_backends(&mut self, cfg: &Configuration) {
        let mut names = SeenValues::default();
        let mut packets = SeenValues::default();
        let mut requests = SeenValues::default();
        for backend in &cfg.backends {
            let object = ObjectRef::new(ObjectKind::Backend, &backend.name);
            self.check_name(&object);
            self.check_unique(&mut names, &object, "name", &backend.name);
            self.check_address(&object, "packets", backend.packets);
            self.check_unique(&mut packets, &object, "packets", backend.packets);
            self.check_address(&object, "requests", backend.requests);
            self.check_unique(&mut requests, &object, "requests", backend.requests);
            self.check_limits(&object, backend);
            self.check_references(&object, cfg, backend);
        }
    }

    fn check_limits(&mut self, object: &ObjectRef, backend: &Backend) {
        if !(1..=MAX_SLOTS).contains(&backend.slots) {
            let remedy = format!("set it between 1 and {MAX_SLOTS}; to stop new work, drain");
            self.add(object, "slots", backend.slots, &remedy);
        }
        if !(1..=MAX_CONNECTIONS).contains(&backend.connections) {
            let remedy = format!("set it between 1 and {MAX_CONNECTIONS}; to stop new work, drain");
            self.add(object, "connections", backend.connections, &remedy);
        }
    }

    fn check_references(&mut self, object: &ObjectRef, cfg: &Configuration, backend: &Backend) {
        if cfg.service(&backend.service).is_none() {
            let remedy = "no such service; add it or name another";
            self.add(object, "service", &backend.service, remedy);
        }
        if cfg.data_centre(&backend.data_centre).is_none() {
            let remedy = "no such data centre; add it or name another";
            self.add(object, "data_centre", &backend.data_centre, remedy);
        }
    }

    fn check_name(&mut self, object: &ObjectRef) {
        let name = &object.name;
        if !is_valid_name(name) {
            let remedy = format!("use 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
            self.add(object, "name", format!("{name:?}"), &remedy);
        }
    }

    fn check_address(&mut self, object: &ObjectRef, field: &str, address: SocketAddr) {
        if address.port() == 0 || address.ip().is_unspecified() {
            self.add(object, field, address, "give an IP number and a port");
        }
    }

    /// Reports an object whose value another object already has.
    fn check_unique(
        &mut self,
        seen: &mut SeenValues,
        object: &ObjectRef,
        field: &str,
        value: impl Display,
    ) {
        match seen.entry(value.to_string()) {
            Entry::Vacant(entry) => {
                entry.insert(object.clone());
            }
            Entry::Occupied(entry) => {
                let remedy = format!("{} has it already; give another", entry.get());
                self.add(object, field, value, &remedy);
            }
        }
    }
}

fn service_address(service: &Service) -> String {
    format!("{}/{}", service.address, service.protocol)
}
