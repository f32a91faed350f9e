//! Ticket tables as they travel between VMs.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    core::request::{
        table::{
            Issued,
            Progress,
            TicketTable,
            Used,
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

/// How long ago tickets were issued.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct IssuedExport {
    age: Millis,
    next: u64,
}

/// A ticket table as it travels, without its answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableExport {
    secret: u64,
    next: u64,
    usable_from: u64,
    kept_from: u64,
    issued: Vec<IssuedExport>,
    used: Vec<(u64, Digest)>,
}

impl TicketTable {
    /// Takes over the table of `issuer`. Tickets that were used before count as
    /// running until their answers arrive.
    pub fn import(issuer: Issuer, export: TableExport, now: Time) -> TicketTable {
        let mut table = TicketTable::new(issuer, export.secret);
        table.next = export.next;
        table.usable_from = export.usable_from;
        table.kept_from = export.kept_from;
        table.issued = export
            .issued
            .iter()
            .map(|i| Issued {
                at: now - i.age,
                next: i.next,
            })
            .collect();
        for (number, digest) in export.used {
            let progress = Progress::Running(Waiters::new());
            table.used.insert(number, Used { digest, progress });
        }
        table
    }

    /// Hands the table over. From now on no unused ticket is started here.
    pub fn hand_over(&mut self, now: Time) -> TableExport {
        self.handed_over = true;
        TableExport {
            secret: self.secret,
            next: self.next,
            usable_from: self.usable_from,
            kept_from: self.kept_from,
            issued: self
                .issued
                .iter()
                .map(|i| IssuedExport {
                    age: now.since(i.at),
                    next: i.next,
                })
                .collect(),
            used: self.used.iter().map(|(n, u)| (*n, u.digest)).collect(),
        }
    }
}
