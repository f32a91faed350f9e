//! Hands tickets and kept answers to another VM before a planned stop.

use std::collections::BTreeMap;

use crate::{
    core::{
        cx::Cx,
        membership::Member,
        notice::Notice,
        request::{
            answer::Answer,
            export::TableExport,
            message::RequestMessage,
            ticket::Issuer,
            tickets::{
                Tickets,
                issuer_of, //
            },
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// How often what was not taken is sent again.
const REPEAT: Millis = Millis(200);

/// How long to go on when all requests have ended.
const LIMIT: Millis = Millis::from_secs(3);

/// How many kept answers are sent at once.
const WINDOW: usize = 64;

/// A hand-over under way.
///
/// Invariant: `to` never changes. A run names one successor at most, so that no
/// two VMs start the same ticket.
#[derive(Debug)]
pub struct HandOver {
    to: Issuer,
    /// The tables that were not taken yet.
    tables: BTreeMap<Issuer, TableExport>,
    /// The answers that were not taken yet.
    kept: BTreeMap<(Issuer, u64), Answer>,
    next_send: Time,
    /// When the last request ended.
    quiet_since: Time,
    over: bool,
}

impl HandOver {
    /// Begins to hand all tables over. Returns `None` if no other VM is there.
    pub fn start(cx: &mut Cx<'_>, tickets: &mut Tickets) -> Option<HandOver> {
        let to = issuer_of(&successor(cx)?.vm);
        let mut tables = BTreeMap::new();
        let mut kept = BTreeMap::new();
        for (issuer, table) in tickets.tables() {
            tables.insert(issuer.clone(), table.hand_over(cx.now));
            for (number, answer) in table.answers() {
                kept.insert((issuer.clone(), number), answer.clone());
            }
        }
        let mut hand_over = HandOver {
            to,
            tables,
            kept,
            next_send: cx.now,
            quiet_since: cx.now,
            over: false,
        };
        hand_over.tick(cx, true);
        Some(hand_over)
    }

    /// Returns the run that takes over.
    pub fn to(&self) -> &Issuer {
        &self.to
    }

    /// Tells whether all was taken, or too long was waited for that.
    pub fn is_over(&self) -> bool {
        self.over || (self.tables.is_empty() && self.kept.is_empty())
    }

    /// Hands the answer of a ticket over that has ended since.
    pub fn add(&mut self, issuer: Issuer, number: u64, answer: Answer) {
        self.kept.insert((issuer, number), answer);
    }

    /// Takes in that a table was taken.
    pub fn on_taken(&mut self, issuer: &Issuer) {
        self.tables.remove(issuer);
    }

    /// Takes in that an answer was taken.
    pub fn on_kept_taken(&mut self, issuer: Issuer, number: u64) {
        self.kept.remove(&(issuer, number));
    }

    /// Sends what is due. `busy` tells whether requests still run.
    pub fn tick(&mut self, cx: &mut Cx<'_>, busy: bool) {
        if busy {
            self.quiet_since = cx.now;
        }
        if !self.is_over() && cx.now.since(self.quiet_since) >= LIMIT {
            self.over = true;
            cx.note(Notice::TicketsLost, self.to.to_string());
        }
        if cx.now < self.next_send || self.is_over() {
            return;
        }
        self.next_send = cx.now + REPEAT;
        self.send_tables(cx);
        self.send_answers(cx);
    }

    fn send_tables(&self, cx: &mut Cx<'_>) {
        for (issuer, table) in &self.tables {
            let msg = RequestMessage::HandOverTable {
                issuer: issuer.clone(),
                from: issuer_of(&cx.view.me),
                to: self.to.incarnation,
                table: table.clone(),
            };
            cx.send(&self.to.vm, msg);
        }
    }

    fn send_answers(&self, cx: &mut Cx<'_>) {
        let of_taken_tables = self
            .kept
            .iter()
            .filter(|((issuer, _), _)| !self.tables.contains_key(issuer));
        for ((issuer, number), answer) in of_taken_tables.take(WINDOW) {
            let msg = RequestMessage::HandOverAnswer {
                issuer: issuer.clone(),
                number: *number,
                answer: answer.clone(),
            };
            cx.send(&self.to.vm, msg);
        }
    }
}

/// Chooses the VM that takes over: one of the same data centre if there is one.
fn successor<'a>(cx: &Cx<'a>) -> Option<&'a Member> {
    let view = cx.view;
    let others = view.alive().filter(|m| m.vm.id != view.me.id);
    others.max_by_key(|m| {
        let same = m.vm.data_centre == view.me.data_centre;
        (same, m.vm.id.hash64() ^ view.me.id.hash64())
    })
}
