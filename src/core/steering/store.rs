//! Objects of the platform's store, independent of their wire format.

use std::net::SocketAddrV4;

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

pub use super::position::{
    Era,
    Position,
    Revision, //
};
use super::{
    peers::FleetRecord,
    tag::BackendKey, //
};
use crate::{
    core::names::{
        DataCentreId,
        ServiceId, //
    },
    kernel::clock::Millis,
};

/// Kind of objects used for steering.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub enum Kind {
    /// Operator configuration, a single object.
    #[display("configuration")]
    Configuration,
    /// One object per backend server.
    #[display("backend_servers")]
    BackendServers,
    /// One object per evacuated data centre.
    #[display("evacuations")]
    Evacuations,
}

impl Kind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Kind; 3] = [Kind::Configuration, Kind::BackendServers, Kind::Evacuations];

    /// Name for the log and the metrics.
    pub fn subject(self) -> &'static str {
        match self {
            Kind::Configuration => "configuration",
            Kind::BackendServers => "backend_servers",
            Kind::Evacuations => "evacuations",
        }
    }
}

/// A backend server, as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Key of the backend server in the transport.
    pub key: BackendKey,
    /// Service that it serves.
    pub service: ServiceId,
    /// Address for packets and health checks.
    pub address: SocketAddrV4,
    /// Data centre where it runs.
    pub data_centre: DataCentreId,
    /// Number of requests that it can process concurrently.
    pub slots: u32,
    /// Whether it is draining.
    pub draining: bool,
    /// Remaining time of its cold start.
    pub cold_for: Millis,
    /// Start time since the Unix epoch; 0 if unknown. A restarted backend server
    /// does not know earlier flows.
    pub started_unix_ms: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Duration of a backend server's cold start.
    pub cold_start: Millis,
    /// New flows per second that a backend server in cold start can take.
    pub cold_flows_per_second: f64,
}

/// A service's share of the new flows of a route.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Service.
    pub service: ServiceId,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Mapping from a service address to services.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Address and port that clients use.
    pub address: SocketAddrV4,
    /// Services and their weights.
    ///
    /// Invariant: at least one with a weight above zero.
    pub shares: SmallVec<[Share; 2]>,
    /// Urgency of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Response time within which an answer is of full value to the client. Zero if
    /// none is configured.
    pub target_latency: Millis,
    /// Response time after which the client has given up. Zero if none is
    /// configured.
    pub timeout: Millis,
}

/// Operator configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version assigned by the operators, which increases.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// How long a flow may be idle before it is removed.
    pub idle_timeout: Millis,
}

impl Configuration {
    /// Iterates over the services that are listed or get flows of a route, in any order
    /// and possibly repeated.
    pub fn named_services(&self) -> impl Iterator<Item = &ServiceId> {
        let listed = self.services.iter().map(|s| &s.name);
        let shares = self.routes.iter().flat_map(|r| &r.shares);
        listed.chain(shares.map(|s| &s.service))
    }
}

/// Parsed content of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// Operator configuration.
    Configuration(Configuration),
    /// A backend server.
    BackendServer(BackendServer),
    /// The named data centre is evacuated and gets no new flows.
    Evacuation(DataCentreId),
}

/// An object of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name, unique within its kind.
    pub name: String,
    /// Position of its last change.
    pub position: Position,
    /// Parsed content. `None` if it is invalid or not usable.
    pub value: Option<Value>,
}

impl Object {
    /// Returns the backend server that the object describes, if it does.
    pub fn backend_server(&self) -> Option<&BackendServer> {
        match &self.value {
            Some(Value::BackendServer(server)) => Some(server),
            _ => None,
        }
    }
}

/// A change of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// State of the object after the change, or before its removal.
    pub object: Object,
    /// Whether it was removed.
    pub removed: bool,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Lists the objects of a kind.
    List {
        /// Kind.
        kind: Kind,
        /// Name after which the page starts.
        after: Option<String>,
        /// Whether an answer may be a few seconds stale, which costs the store
        /// less.
        allow_stale: bool,
    },
    /// Waits for changes of a kind.
    Watch {
        /// Kind.
        kind: Kind,
        /// Position after which changes are returned.
        since: Position,
        /// Maximum wait time.
        wait: Millis,
    },
    /// Reads the registered records. The answer may be a few seconds stale.
    Lookup,
    /// Registers a record for the data centre of its VM.
    Register {
        /// Record.
        record: FleetRecord,
        /// Whether to replace an existing registration instead of creating one.
        replaces: bool,
    },
}

impl StoreCall {
    /// Kind that the call refers to. `None` for lookups and registrations.
    pub fn kind(&self) -> Option<Kind> {
        match self {
            StoreCall::List { kind, .. } | StoreCall::Watch { kind, .. } => Some(*kind),
            StoreCall::Lookup | StoreCall::Register { .. } => None,
        }
    }

    /// Subject of the call, for the log and the metrics.
    pub fn subject(&self) -> &'static str {
        self.kind().map_or("vms", Kind::subject)
    }

    /// Returns whether the answer may be a few seconds stale.
    pub fn allow_stale(&self) -> bool {
        matches!(
            self,
            StoreCall::Lookup
                | StoreCall::List {
                    allow_stale: true,
                    ..
                }
        )
    }

    /// Returns how long the store may hold the call.
    pub fn wait(&self) -> Millis {
        match self {
            StoreCall::Watch { wait, .. } => *wait,
            _ => Millis(0),
        }
    }
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreAnswer {
    /// A page of a list.
    Page {
        /// Objects, ordered by name.
        objects: Vec<Object>,
        /// Name after which the next page starts; `None` on the last page. It may be
        /// the name of an object that is not among `objects`.
        next: Option<String>,
        /// Position of the store.
        position: Position,
    },
    /// Changes, possibly none.
    Changes {
        /// Changes in order.
        changes: Vec<Change>,
        /// Position of the store.
        position: Position,
    },
    /// Registered records.
    Records(Vec<FleetRecord>),
    /// The registration succeeded.
    Registered,
    /// A registration exists already, or there is none to replace.
    RegistrationConflict,
    /// The changes since the requested position were compacted.
    HistoryGone,
    /// The store rejects the call for now.
    Busy,
    /// No usable answer.
    NoAnswer,
}

/// What an answer contains that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Malformed {
    /// The whole answer, which counts as none.
    Answer {
        /// Subject of the call.
        subject: &'static str,
        /// Why it cannot be read.
        error: String,
    },
    /// One object. The others are used.
    Object {
        /// Subject of the call.
        subject: &'static str,
        /// Name, as far as it can be read.
        name: String,
        /// Why it cannot be used.
        error: String,
    },
}

impl StoreAnswer {
    /// Returns the position of the store, if the answer gives it.
    pub fn position(&self) -> Option<Position> {
        match self {
            StoreAnswer::Page { position, .. } | StoreAnswer::Changes { position, .. } => {
                Some(*position)
            }
            _ => None,
        }
    }

    /// Returns whether the store answered, rather than being unavailable.
    pub fn is_answered(&self) -> bool {
        !matches!(self, StoreAnswer::Busy | StoreAnswer::NoAnswer)
    }
}
