//! Which tickets this VM decides about, and who decides about the others.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use rand::Rng;

use crate::{
    core::{
        cx::Cx,
        membership::{
            View, //
            Vm,
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

/// Who decides about the tickets of an issuer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Place {
    /// This VM.
    Here,
    /// Another VM.
    At(VmId),
    /// Nobody any more, as far as is known.
    Gone,
}

#[derive(Debug)]
struct MovedTo {
    to: Issuer,
    learnt: Time,
}

/// How often other VMs are told of a table that was taken over.
const ANNOUNCEMENTS: u8 = 4;

/// How far apart the announcements are.
const ANNOUNCEMENT_INTERVAL: Millis = Millis(300);

#[derive(Debug)]
struct Announcement {
    issuer: Issuer,
    left: u8,
    next: Time,
}

/// A table that was taken over.
#[derive(Debug)]
struct Adopted {
    from: Issuer,
    /// The tickets whose answers `from` still has to hand over.
    pending: BTreeSet<u64>,
}

/// The ticket tables of this VM.
#[derive(Debug, Default)]
pub struct Tickets {
    /// Invariant: a table is never removed. A giver that wakes from a long pause
    /// may hand over again what this run has taken and forgotten since.
    tables: BTreeMap<Issuer, TicketTable>,
    adopted: BTreeMap<Issuer, Adopted>,
    moved: BTreeMap<Issuer, MovedTo>,
    announcements: Vec<Announcement>,
}

impl Tickets {
    /// Issues a ticket of this run.
    pub fn issue(&mut self, cx: &mut Cx<'_>) -> Ticket {
        let me = issuer_of(&cx.view.me);
        let table = self.tables.entry(me.clone()).or_insert_with(|| {
            let secret = cx.rng.random();
            TicketTable::new(me, secret)
        });
        table.issue(cx.now)
    }

    /// Returns the table of `issuer`, if this VM has it.
    pub fn table(&mut self, issuer: &Issuer) -> Option<&mut TicketTable> {
        self.tables.get_mut(issuer)
    }

    /// Returns all tables of this VM.
    pub fn tables(&mut self) -> impl Iterator<Item = (&Issuer, &mut TicketTable)> {
        self.tables.iter_mut()
    }

    /// Tells who decides about the tickets of `issuer`.
    pub fn place(&self, view: &View, issuer: &Issuer) -> Place {
        if let Some(moved) = self.moved.get(issuer) {
            return place_of(view, &moved.to);
        }
        if self.tables.contains_key(issuer) {
            return Place::Here;
        }
        match place_of(view, issuer) {
            // This run has issued no ticket.
            Place::Here => Place::Gone,
            place => place,
        }
    }

    /// Returns who decides about the tickets of `issuer`, if that has changed.
    pub fn moved_to(&self, issuer: &Issuer) -> Option<&Issuer> {
        self.moved.get(issuer).map(|moved| &moved.to)
    }

    /// Takes in that `to` decides about the tickets of `issuer` now.
    pub fn on_moved(&mut self, now: Time, issuer: Issuer, to: Issuer) {
        self.moved.insert(issuer, MovedTo { to, learnt: now });
    }

    /// Takes a table over. Returns false if this run has had it before.
    pub fn adopt(&mut self, now: Time, issuer: Issuer, from: Issuer, export: TableExport) -> bool {
        if self.tables.contains_key(&issuer) {
            return false;
        }
        let table = TicketTable::import(issuer.clone(), export, now);
        let pending = table.running().collect();
        self.adopted
            .insert(issuer.clone(), Adopted { from, pending });
        self.moved.remove(&issuer);
        self.announcements.push(Announcement {
            issuer: issuer.clone(),
            left: ANNOUNCEMENTS,
            next: now,
        });
        self.tables.insert(issuer, table);
        true
    }

    /// Tells the other VMs which tables were taken over, as far as that is due.
    /// A message may be lost, so each is sent several times.
    pub fn announce(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let to = issuer_of(&cx.view.me);
        for announcement in self.announcements.iter_mut().filter(|a| a.next <= now) {
            announcement.next = now + ANNOUNCEMENT_INTERVAL;
            announcement.left -= 1;
            for member in cx.view.others() {
                let issuer = announcement.issuer.clone();
                let to = to.clone();
                cx.send(&member.vm.id, RequestMessage::TableMoved { issuer, to });
            }
        }
        self.announcements.retain(|a| a.left > 0);
    }

    /// Takes in that the answer of a ticket has been handed over. Returns false
    /// if it was not waited for.
    pub fn on_kept(&mut self, issuer: &Issuer, number: u64) -> bool {
        self.adopted
            .get_mut(issuer)
            .is_some_and(|adopted| adopted.pending.remove(&number))
    }

    /// Returns the tickets whose answers were with a VM that is gone.
    pub fn take_orphans(&mut self, view: &View) -> Vec<(Issuer, u64)> {
        let mut orphans = Vec::new();
        for (issuer, adopted) in &mut self.adopted {
            if place_of(view, &adopted.from) != Place::Gone {
                continue;
            }
            let pending = std::mem::take(&mut adopted.pending);
            orphans.extend(pending.into_iter().map(|number| (issuer.clone(), number)));
        }
        self.adopted
            .retain(|_, adopted| !adopted.pending.is_empty());
        orphans
    }

    /// Forgets what is too old.
    pub fn tick(&mut self, now: Time) {
        for table in self.tables.values_mut() {
            table.tick(now);
        }
        self.moved
            .retain(|_, moved| now.since(moved.learnt) < OUTCOME_RETENTION);
    }
}

/// Returns the run of `vm` as an issuer.
pub fn issuer_of(vm: &Vm) -> Issuer {
    Issuer {
        vm: vm.id.clone(),
        incarnation: vm.incarnation,
    }
}

fn place_of(view: &View, run: &Issuer) -> Place {
    if view.me.id == run.vm {
        return match view.me.incarnation == run.incarnation {
            true => Place::Here,
            false => Place::Gone,
        };
    }
    match view.member(&run.vm) {
        Some(member) if member.vm.incarnation == run.incarnation => Place::At(run.vm.clone()),
        _ => Place::Gone,
    }
}
