//! Hands ticket tables and kept answers over to another VM before a
//! graceful shutdown.

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
            ticket_tables::{
                TicketTables,
                issuer_of, //
            },
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

/// Interval between transmissions of unacknowledged tables and answers.
const RESEND_INTERVAL: Millis = Millis(200);

/// How long to wait for acknowledgements after the last request has ended.
const ACK_TIMEOUT: Millis = Millis::from_secs(3);

const MAX_ANSWERS_PER_SEND: usize = 64;

/// A handover in progress.
///
/// Invariant: `to` never changes. A run names at most one successor, so that no
/// two VMs start the same ticket.
#[derive(Debug)]
pub struct Handover {
    to: Issuer,
    /// Tables that are not acknowledged yet.
    tables: BTreeMap<Issuer, TableExport>,
    /// Answers that are not acknowledged yet.
    answers: BTreeMap<(Issuer, u64), Answer>,
    next_send: Time,
    /// When the last request was seen running.
    idle_since: Time,
    timed_out: bool,
}

impl Handover {
    /// Starts handing over all tables. Returns `None` if no other VM is alive.
    pub fn start(cx: &mut Cx<'_>, ticket_tables: &mut TicketTables) -> Option<Handover> {
        let to = issuer_of(&successor(cx)?.vm);
        let mut tables = BTreeMap::new();
        let mut answers = BTreeMap::new();
        for (issuer, table) in ticket_tables.tables() {
            tables.insert(issuer.clone(), table.hand_over(cx.now));
            for (number, answer) in table.answers() {
                answers.insert((issuer.clone(), number), answer.clone());
            }
        }
        let mut handover = Handover {
            to,
            tables,
            answers,
            next_send: cx.now,
            idle_since: cx.now,
            timed_out: false,
        };
        handover.tick(cx, true);
        Some(handover)
    }

    /// Returns the successor, which is one run of a VM.
    pub fn to(&self) -> &Issuer {
        &self.to
    }

    /// Returns whether everything is acknowledged or the wait has timed out.
    pub fn is_done(&self) -> bool {
        self.timed_out || (self.tables.is_empty() && self.answers.is_empty())
    }

    /// Adds the answer of a ticket that finished after the handover began.
    pub fn add_answer(&mut self, issuer: Issuer, number: u64, answer: Answer) {
        self.answers.insert((issuer, number), answer);
    }

    /// Handles the acknowledgement of a table.
    pub fn on_table_ack(&mut self, issuer: &Issuer) {
        self.tables.remove(issuer);
    }

    /// Handles the acknowledgement of an answer.
    pub fn on_answer_ack(&mut self, issuer: Issuer, number: u64) {
        self.answers.remove(&(issuer, number));
    }

    /// Retransmits if due. `busy` is whether requests are still running.
    pub fn tick(&mut self, cx: &mut Cx<'_>, busy: bool) {
        if busy {
            self.idle_since = cx.now;
        }
        if !self.is_done() && cx.now.since(self.idle_since) >= ACK_TIMEOUT {
            self.timed_out = true;
            cx.note(Notice::TicketsLost, self.to.to_string());
        }
        if cx.now < self.next_send || self.is_done() {
            return;
        }
        self.next_send = cx.now + RESEND_INTERVAL;
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
        let of_acked_tables = self
            .answers
            .iter()
            .filter(|((issuer, _), _)| !self.tables.contains_key(issuer));
        for ((issuer, number), answer) in of_acked_tables.take(MAX_ANSWERS_PER_SEND) {
            let msg = RequestMessage::HandOverAnswer {
                issuer: issuer.clone(),
                number: *number,
                answer: answer.clone(),
            };
            cx.send(&self.to.vm, msg);
        }
    }
}

/// Picks the VM that takes over, preferring this VM's data centre.
fn successor<'a>(cx: &Cx<'a>) -> Option<&'a Member> {
    let view = cx.view;
    let others = view.alive().filter(|m| m.vm.id != view.me.id);
    others.max_by_key(|m| {
        let same_data_centre = m.vm.data_centre == view.me.data_centre;
        (same_data_centre, m.vm.id.hash64() ^ view.me.id.hash64())
    })
}
