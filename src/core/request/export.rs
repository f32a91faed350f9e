//! Serialized form of ticket tables for handover between VMs.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::request::{
        table::{
            IssueBatch,
            Progress,
            TicketTable,
            UsedTicket,
            Waiters, //
        },
        ticket::{
            Digest,
            Issuer, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Age of a batch of tickets.
///
/// An age is sent because [`Time`] counts from the start of one process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct IssueBatchExport {
    age: Millis,
    next: u64,
}

/// A ticket table without its answers, which are sent separately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableExport {
    secret: u64,
    next: u64,
    usable_from: u64,
    known_from: u64,
    issued: Vec<IssueBatchExport>,
    used: Vec<(u64, Digest)>,
}

impl TicketTable {
    /// Creates the table of `issuer` from an export. Used tickets count as
    /// running until their answers arrive.
    pub fn import(issuer: Issuer, export: TableExport, now: Time) -> TicketTable {
        let mut table = TicketTable::open(issuer, export.secret);
        table.next = export.next;
        table.usable_from = export.usable_from;
        table.known_from = export.known_from;
        table.issued = export
            .issued
            .iter()
            .map(|i| IssueBatch {
                at: now - i.age,
                next: i.next,
            })
            .collect();
        for (number, digest) in export.used {
            let progress = Progress::Running(Waiters::new());
            table.used.insert(number, UsedTicket { digest, progress });
        }
        table
    }

    /// Exports the table. From now on this table starts no unused ticket.
    pub fn hand_over(&mut self, now: Time) -> TableExport {
        self.handed_over = true;
        TableExport {
            secret: self.secret,
            next: self.next,
            usable_from: self.usable_from,
            known_from: self.known_from,
            issued: self
                .issued
                .iter()
                .map(|i| IssueBatchExport {
                    age: now.since(i.at),
                    next: i.next,
                })
                .collect(),
            used: self.used.iter().map(|(n, u)| (*n, u.digest)).collect(),
        }
    }
}
