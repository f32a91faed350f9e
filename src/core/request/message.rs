//! Messages about requests between VMs.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::{
        names::{
            Incarnation,
            ServiceId, //
        },
        request::{
            answer::Answer,
            export::TableExport,
            http::HttpRequest,
            ticket::{
                Issuer,
                Ticket, //
            },
        },
    },
    kernel::clock::WallTime,
};

/// Identifies a relayed request among those of one run of the sender.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RelayId {
    /// The run of the VM that relays.
    pub origin: Incarnation,
    /// Counts the relays of that run.
    pub number: u64,
}

/// A request that is relayed to the VM that decides about its ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedRequest {
    /// Identifies the relay.
    pub id: RelayId,
    /// The ticket.
    pub ticket: Ticket,
    /// The service.
    pub service: ServiceId,
    /// The request.
    pub request: HttpRequest,
    /// When the caller gives up.
    pub deadline: WallTime,
}

/// A message about requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestMessage {
    /// Asks to run a request or to tell its kept answer. Repeated until answered.
    RelayRequest(RelayedRequest),
    /// The final answer to a relayed request.
    RelayedAnswer {
        /// The relay.
        id: RelayId,
        /// The answer.
        answer: Answer,
    },
    /// Hands a ticket table over before a planned stop. Repeated until taken.
    HandOverTable {
        /// Whose tickets they are.
        issuer: Issuer,
        /// The run that hands over.
        from: Issuer,
        /// The run that takes over; no other may.
        to: Incarnation,
        /// The table without its answers.
        table: TableExport,
    },
    /// The table of `issuer` has been taken over.
    TableAck {
        /// Whose tickets they are.
        issuer: Issuer,
    },
    /// Hands one kept answer over. Repeated until taken.
    HandOverAnswer {
        /// Whose ticket it is.
        issuer: Issuer,
        /// The ticket's number.
        number: u64,
        /// The answer.
        answer: Answer,
    },
    /// A kept answer has been taken over.
    AnswerAck {
        /// Whose ticket it is.
        issuer: Issuer,
        /// The ticket's number.
        number: u64,
    },
    /// Another run decides about the tickets of `issuer` now.
    TableMoved {
        /// Whose tickets they are.
        issuer: Issuer,
        /// Who decides about them.
        to: Issuer,
    },
}
