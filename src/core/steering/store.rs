//! What steering reads from the platform's object store, in its own terms.

use std::net::SocketAddrV4;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use super::{
    peers::Contact,
    tag::BackendKey, //
};
use crate::{
    core::names::{
        DataCentreId,
        ServiceId, //
    },
    kernel::clock::Millis,
};

/// A kind of object that steering follows.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub enum Kind {
    /// The operators' configuration, one object.
    #[display("configuration")]
    Configuration,
    /// One object for each backend server.
    #[display("backend_servers")]
    BackendServers,
    /// One object for each data centre that was taken out.
    #[display("evacuations")]
    Evacuations,
}

impl Kind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Kind; 3] = [Kind::Configuration, Kind::BackendServers, Kind::Evacuations];
}

/// A version number of the store. One counter covers all objects.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
pub struct Revision(pub u64);

/// A backend server, as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Its name at the transport.
    pub key: BackendKey,
    /// The service that it serves.
    pub service: ServiceId,
    /// Its address for packets and health checks.
    pub address: SocketAddrV4,
    /// The data centre that it stands in.
    pub data_centre: DataCentreId,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is in cold start.
    pub cold_for: Millis,
    /// When it started, in milliseconds since the Unix epoch. A later start of
    /// the same backend server knows nothing of earlier flows.
    pub started: u64,
}

/// A service that new flows can be sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// How long a backend server is in cold start.
    pub cold_start: Millis,
    /// How many new flows a second a backend server in cold start bears.
    pub cold_flows_per_second: f64,
}

/// A share of the new flows of a route.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service that gets it.
    pub service: ServiceId,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// Where the new flows of one address go.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The address and port that clients speak to.
    pub address: SocketAddrV4,
    /// The services that serve it.
    ///
    /// Invariant: at least one with a weight above zero.
    pub shares: SmallVec<[Share; 2]>,
}

/// The configuration of the operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The operators' own number, which grows.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// How long a flow may rest before it is forgotten.
    pub idle_timeout: Millis,
}

/// What an object says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The configuration.
    Configuration(Configuration),
    /// A backend server.
    BackendServer(BackendServer),
    /// The named data centre gets no new flows.
    Evacuation(DataCentreId),
}

/// An object of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Its name within its kind.
    pub name: String,
    /// The version of its last change.
    pub revision: Revision,
    /// What it says. `None` if it cannot be read or names nothing to use.
    pub value: Option<Value>,
}

/// A change of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The object, as it is or was.
    pub object: Object,
    /// Whether it was removed.
    pub removed: bool,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Lists the objects of a kind.
    List {
        /// The kind.
        kind: Kind,
        /// Begins behind this name.
        after: Option<String>,
        /// Whether an answer that is some seconds old will do. It burdens the
        /// store less.
        allow_stale: bool,
    },
    /// Waits for changes of a kind.
    Watch {
        /// The kind.
        kind: Kind,
        /// The version that is known.
        since: Revision,
        /// How long to wait.
        wait: Millis,
    },
    /// Reads where VMs may be found.
    Lookup,
    /// Notes where a VM may be found, for its whole data centre.
    Register {
        /// The VM.
        contact: Contact,
        /// Whether there is such a note already, which is replaced.
        replaces: bool,
    },
}

impl StoreCall {
    /// The kind that the call asks about, if it is one that steering follows.
    pub fn kind(&self) -> Option<Kind> {
        match self {
            StoreCall::List { kind, .. } | StoreCall::Watch { kind, .. } => Some(*kind),
            StoreCall::Lookup | StoreCall::Register { .. } => None,
        }
    }

    /// What the call is about, for the log.
    pub fn subject(&self) -> &'static str {
        match self.kind() {
            Some(Kind::Configuration) => "configuration",
            Some(Kind::BackendServers) => "backend_servers",
            Some(Kind::Evacuations) => "evacuations",
            None => "vms",
        }
    }

    /// Whether the answer may be some seconds old.
    pub fn allow_stale(&self) -> bool {
        matches!(
            self,
            StoreCall::List {
                allow_stale: true,
                ..
            }
        )
    }

    /// How long the store may hold the answer back on purpose.
    pub fn wait(&self) -> Millis {
        match self {
            StoreCall::Watch { wait, .. } => *wait,
            _ => Millis(0),
        }
    }
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// A part of a list.
    Page {
        /// The objects, in the order of their names.
        objects: Vec<Object>,
        /// Whether there are more behind the last of them.
        more: bool,
        /// The version of the store.
        revision: Revision,
    },
    /// What has changed, perhaps nothing.
    Changes {
        /// The changes in their order.
        changes: Vec<Change>,
        /// The version of the store.
        revision: Revision,
    },
    /// Where VMs may be found.
    Contacts(Vec<Contact>),
    /// The note was taken.
    Registered,
    /// There is such a note already, or none to replace.
    RegistrationConflict,
    /// The changes since the version are no longer kept.
    HistoryGone,
    /// The store refuses the call for now.
    Busy,
    /// No answer that can be relied on.
    NoAnswer,
}

impl StoreAnswer {
    /// Tells whether the store answered, rather than being in trouble.
    pub fn is_answered(&self) -> bool {
        !matches!(self, StoreAnswer::Busy | StoreAnswer::NoAnswer)
    }
}
