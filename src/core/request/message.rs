//! Messages between VMs about requests and tickets.

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

/// Identifier of a relayed request, unique per relaying VM.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RelayId {
    /// Run of the relaying VM.
    pub origin: Incarnation,
    /// Sequence number within that run.
    pub number: u64,
}

/// A request relayed to the VM that holds its ticket's table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedRequest {
    /// Echoed in the answer.
    pub id: RelayId,
    /// Ticket to redeem.
    pub ticket: Ticket,
    /// Requested service.
    pub service: ServiceId,
    /// Request to run.
    pub request: HttpRequest,
    /// When the caller stops waiting.
    pub deadline: WallTime,
}

/// A message between VMs about requests and tickets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestMessage {
    /// Asks to run a request or return its kept answer. Resent until answered.
    RelayRequest(RelayedRequest),
    /// The final answer to a relayed request.
    RelayedAnswer {
        /// Identifier from the relayed request.
        id: RelayId,
        /// Answer for the caller.
        answer: Answer,
    },
    /// Hands a ticket table over before a graceful shutdown. Resent until
    /// acknowledged.
    HandOverTable {
        /// Run that issued the tickets.
        issuer: Issuer,
        /// Run that hands the table over.
        from: Issuer,
        /// Run of the receiver that may take the table; any other ignores it.
        to: Incarnation,
        /// Answers follow separately.
        table: TableExport,
    },
    /// Acknowledges [`RequestMessage::HandOverTable`].
    TableAck {
        /// Run that issued the tickets.
        issuer: Issuer,
    },
    /// Hands one kept answer over. Resent until acknowledged.
    HandOverAnswer {
        /// Run that issued the ticket.
        issuer: Issuer,
        /// Ticket number.
        number: u64,
        /// Final answer of the ticket.
        answer: Answer,
    },
    /// Acknowledges [`RequestMessage::HandOverAnswer`].
    AnswerAck {
        /// Run that issued the ticket.
        issuer: Issuer,
        /// Ticket number.
        number: u64,
    },
    /// Announces that another run now holds the table of `issuer`.
    TableMoved {
        /// Run that issued the tickets.
        issuer: Issuer,
        /// Run that holds the table.
        to: Issuer,
    },
}
