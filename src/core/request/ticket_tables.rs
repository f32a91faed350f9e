//! Ticket tables on this VM, and the location of the others.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use rand::Rng;

use crate::{
    core::{
        cx::Cx,
        membership::{
            View,
            Vm, //
        },
        names::VmId,
        request::{
            export::TableExport,
            message::RequestMessage,
            table::{
                OUTCOME_RETENTION,
                TicketTable, //
            },
            ticket::{
                Issuer,
                Ticket, //
            },
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Location of an issuer's ticket table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableLocation {
    /// On this VM.
    Local,
    /// On another VM.
    Remote(VmId),
    /// On no VM, as far as this one knows.
    Lost,
}

#[derive(Debug)]
struct MovedTable {
    to: Issuer,
    learned_at: Time,
}

/// Number of announcements per table taken over, since messages may be lost.
const ANNOUNCEMENT_COUNT: u8 = 4;

/// Interval between announcements of one table.
const ANNOUNCEMENT_INTERVAL: Millis = Millis(300);

#[derive(Debug)]
struct Announcement {
    issuer: Issuer,
    remaining: u8,
    next: Time,
}

/// A table taken over from another run.
#[derive(Debug)]
struct TakenOverTable {
    from: Issuer,
    /// Tickets whose answers `from` has not handed over yet.
    pending: BTreeSet<u64>,
}

/// Ticket tables on this VM and known locations of others.
#[derive(Debug, Default)]
pub struct TicketTables {
    /// Invariant: a table is never removed. A sender that resumes after a long
    /// pause may hand the same table over again, and must not have it imported
    /// twice.
    tables: BTreeMap<Issuer, TicketTable>,
    taken_over: BTreeMap<Issuer, TakenOverTable>,
    moved: BTreeMap<Issuer, MovedTable>,
    announcements: Vec<Announcement>,
}

impl TicketTables {
    /// Issues a ticket from this run's own table.
    pub fn issue(&mut self, cx: &mut Cx<'_>) -> Ticket {
        let me = issuer_of(&cx.view.me);
        let table = self.tables.entry(me.clone()).or_insert_with(|| {
            let secret = cx.rng.random();
            TicketTable::open(me, secret)
        });
        table.issue(cx.now)
    }

    /// Returns the table of `issuer` if it is or was held by this run.
    pub fn table(&mut self, issuer: &Issuer) -> Option<&mut TicketTable> {
        self.tables.get_mut(issuer)
    }

    /// Returns all tables of this run with their issuers.
    pub fn tables(&mut self) -> impl Iterator<Item = (&Issuer, &mut TicketTable)> {
        self.tables.iter_mut()
    }

    /// Returns the location of the table of `issuer`.
    pub fn locate(&self, view: &View, issuer: &Issuer) -> TableLocation {
        if let Some(moved) = self.moved.get(issuer) {
            return location_of(view, &moved.to);
        }
        if self.tables.contains_key(issuer) {
            return TableLocation::Local;
        }
        match location_of(view, issuer) {
            // Without a table, this run has issued no ticket.
            TableLocation::Local => TableLocation::Lost,
            location => location,
        }
    }

    /// Returns the run that the table of `issuer` was handed over to, if known.
    pub fn holder(&self, issuer: &Issuer) -> Option<&Issuer> {
        self.moved.get(issuer).map(|moved| &moved.to)
    }

    /// Records that `to` holds the table of `issuer`.
    pub fn on_table_moved(&mut self, now: Time, issuer: Issuer, to: Issuer) {
        self.moved.insert(
            issuer,
            MovedTable {
                to,
                learned_at: now,
            },
        );
    }

    /// Takes a table over. Returns `false` if this run already has or had it.
    pub fn take_over(
        &mut self,
        now: Time,
        issuer: Issuer,
        from: Issuer,
        export: TableExport,
    ) -> bool {
        if self.tables.contains_key(&issuer) {
            return false;
        }
        let table = TicketTable::import(issuer.clone(), export, now);
        let pending = table.running().collect();
        self.taken_over
            .insert(issuer.clone(), TakenOverTable { from, pending });
        self.moved.remove(&issuer);
        self.announcements.push(Announcement {
            issuer: issuer.clone(),
            remaining: ANNOUNCEMENT_COUNT,
            next: now,
        });
        self.tables.insert(issuer, table);
        true
    }

    /// Sends the due announcements of tables taken over to all other VMs.
    pub fn announce(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let to = issuer_of(&cx.view.me);
        for announcement in self.announcements.iter_mut().filter(|a| a.next <= now) {
            announcement.next = now + ANNOUNCEMENT_INTERVAL;
            announcement.remaining -= 1;
            for member in cx.view.others() {
                let issuer = announcement.issuer.clone();
                let to = to.clone();
                cx.send(&member.vm.id, RequestMessage::TableMoved { issuer, to });
            }
        }
        self.announcements.retain(|a| a.remaining > 0);
    }

    /// Marks the answer of a ticket as handed over. Returns `false` if it was not
    /// expected.
    pub fn take_pending(&mut self, issuer: &Issuer, number: u64) -> bool {
        self.taken_over
            .get_mut(issuer)
            .is_some_and(|taken_over| taken_over.pending.remove(&number))
    }

    /// Takes the tickets whose answers were lost with the run that had them.
    pub fn take_orphans(&mut self, view: &View) -> Vec<(Issuer, u64)> {
        let mut orphans = Vec::new();
        for (issuer, taken_over) in &mut self.taken_over {
            if location_of(view, &taken_over.from) != TableLocation::Lost {
                continue;
            }
            let pending = std::mem::take(&mut taken_over.pending);
            orphans.extend(pending.into_iter().map(|number| (issuer.clone(), number)));
        }
        self.taken_over
            .retain(|_, taken_over| !taken_over.pending.is_empty());
        orphans
    }

    /// Expires old tickets and locations.
    pub fn tick(&mut self, now: Time) {
        for table in self.tables.values_mut() {
            table.tick(now);
        }
        self.moved
            .retain(|_, moved| now.since(moved.learned_at) < OUTCOME_RETENTION);
    }
}

/// Returns the current run of `vm` as an issuer.
pub fn issuer_of(vm: &Vm) -> Issuer {
    Issuer {
        vm: vm.id.clone(),
        incarnation: vm.incarnation,
    }
}

fn location_of(view: &View, run: &Issuer) -> TableLocation {
    if view.me.id == run.vm {
        return match view.me.incarnation == run.incarnation {
            true => TableLocation::Local,
            false => TableLocation::Lost,
        };
    }
    match view.member(&run.vm) {
        Some(member) if member.vm.incarnation == run.incarnation => {
            TableLocation::Remote(run.vm.clone())
        }
        _ => TableLocation::Lost,
    }
}
