//! Tickets issued by one run of a VM, with their state and outcome.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use smallvec::SmallVec;

use crate::{
    core::{
        names::VmId,
        request::{
            answer::{
                Answer,
                NotRunReason,
                UnknownReason, //
            },
            call::CallId,
            message::RelayId,
            ticket::{
                Digest,
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

/// How long after its issue a ticket can be used.
pub const TICKET_LIFETIME: Millis = Millis::from_secs(300);

/// How long after its issue the outcome of a ticket is kept.
pub const OUTCOME_RETENTION: Millis = Millis::from_secs(600);

/// Maximum total size of kept answers, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Maximum number of used tickets that are kept.
pub const MAX_USED_TICKETS: usize = 32_768;

/// Maximum number of waiters per ticket. A further one replaces the last, whose
/// caller then times out.
const MAX_WAITERS: usize = 16;

/// Resolution of recorded issue times.
const ISSUE_TIME_RESOLUTION: Millis = Millis::from_secs(1);

/// A party waiting for the outcome of a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Waiter {
    /// A caller of this VM.
    Call(CallId),
    /// Another VM that relayed the request.
    Peer {
        /// The relaying VM.
        vm: VmId,
        /// Identifies the relay in the answer.
        relay: RelayId,
    },
}

/// All waiters of one ticket.
pub type Waiters = SmallVec<[Waiter; 1]>;

/// How to proceed with a request that presents a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Redemption {
    /// Start the request. The waiter is registered.
    Start,
    /// The request is already running. The waiter is registered.
    InProgress,
    /// Send this final answer.
    Final(Answer),
    /// The table was handed over; ask the run that took it.
    HandedOver,
}

#[derive(Clone, Debug)]
pub(super) enum Progress {
    Running(Waiters),
    Finished(Answer),
    /// Finished, and its answer has been discarded.
    Forgotten,
}

#[derive(Clone, Debug)]
pub(super) struct UsedTicket {
    pub(super) digest: Digest,
    pub(super) progress: Progress,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct IssueBatch {
    pub(super) at: Time,
    /// Tickets with lower numbers were issued no later than `at`.
    pub(super) next: u64,
}

/// The tickets of one issuer.
#[derive(Clone, Debug)]
pub struct TicketTable {
    issuer: Issuer,
    pub(super) secret: u64,
    /// Number of the next ticket.
    pub(super) next: u64,
    /// Tickets with lower numbers are never started.
    pub(super) usable_from: u64,
    /// Tickets with lower numbers are forgotten unless their requests still run.
    ///
    /// Invariant: at most `usable_from`.
    pub(super) known_from: u64,
    /// In order of issue.
    pub(super) issued: VecDeque<IssueBatch>,
    /// Invariant: a ticket is present from its start until it has finished and
    /// its number is below `known_from`.
    pub(super) used: BTreeMap<u64, UsedTicket>,
    /// Finished tickets whose answers are kept, in order of completion.
    finished: VecDeque<u64>,
    answer_bytes: usize,
    /// Whether another run redeems unused tickets. Never reset.
    pub(super) handed_over: bool,
}

impl TicketTable {
    /// Creates the empty table of `issuer`.
    pub fn open(issuer: Issuer, secret: u64) -> TicketTable {
        TicketTable {
            issuer,
            secret,
            next: 0,
            usable_from: 0,
            known_from: 0,
            issued: VecDeque::new(),
            used: BTreeMap::new(),
            finished: VecDeque::new(),
            answer_bytes: 0,
            handed_over: false,
        }
    }

    /// Issues the next ticket.
    pub fn issue(&mut self, now: Time) -> Ticket {
        let number = self.next;
        self.next += 1;
        match self.issued.back_mut() {
            Some(last) if now <= last.at => last.next = self.next,
            _ => self.issued.push_back(IssueBatch {
                at: now + ISSUE_TIME_RESOLUTION,
                next: self.next,
            }),
        }
        Ticket::issue(self.issuer.clone(), number, self.secret)
    }

    /// Validates `ticket` and marks it used by the request with `digest`.
    pub fn redeem(&mut self, ticket: &Ticket, digest: Digest, waiter: Waiter) -> Redemption {
        if ticket.number >= self.next || !ticket.is_authentic(self.secret) {
            return Redemption::Final(Answer::TicketInvalid);
        }
        if let Some(used) = self.used.get_mut(&ticket.number) {
            return used.redeem(digest, waiter);
        }
        if ticket.number < self.known_from {
            return Redemption::Final(Answer::unknown(UnknownReason::TicketForgotten));
        }
        if ticket.number < self.usable_from {
            return Redemption::Final(Answer::not_run(NotRunReason::TicketExpired));
        }
        if self.handed_over {
            return Redemption::HandedOver;
        }
        let progress = Progress::Running(SmallVec::from_iter([waiter]));
        self.used
            .insert(ticket.number, UsedTicket { digest, progress });
        Redemption::Start
    }

    /// Stores the final answer of a ticket. Returns its waiters.
    pub fn finish(&mut self, number: u64, answer: &Answer) -> Waiters {
        let Some(used) = self.used.get_mut(&number) else {
            return Waiters::new();
        };
        let Progress::Running(waiters) = &mut used.progress else {
            return Waiters::new();
        };
        let waiters = std::mem::take(waiters);
        used.progress = Progress::Finished(answer.clone());
        self.finished.push_back(number);
        self.answer_bytes += answer.size();
        self.enforce_limits();
        waiters
    }

    /// Expires old tickets and outcomes.
    pub fn tick(&mut self, now: Time) {
        let usable_from = self.issued_before(now, TICKET_LIFETIME);
        self.usable_from = self.usable_from.max(usable_from);
        let known_from = self.issued_before(now, OUTCOME_RETENTION);
        self.forget_below(known_from);
        self.issued.retain(|i| now.since(i.at) < OUTCOME_RETENTION);
    }

    /// Returns the numbers of tickets whose requests are running.
    pub fn running(&self) -> impl Iterator<Item = u64> {
        self.used
            .iter()
            .filter(|(_, u)| matches!(u.progress, Progress::Running(_)))
            .map(|(number, _)| *number)
    }

    /// Returns the kept answers by ticket number.
    pub fn answers(&self) -> impl Iterator<Item = (u64, &Answer)> {
        self.used.iter().filter_map(|(n, u)| match &u.progress {
            Progress::Finished(answer) => Some((*n, answer)),
            _ => None,
        })
    }

    /// Returns the number of used tickets.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Returns whether no used ticket is kept.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Returns the approximate total size of kept answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn issued_before(&self, now: Time, age: Millis) -> u64 {
        let old = self.issued.iter().filter(|i| now.since(i.at) >= age);
        old.map(|i| i.next).max().unwrap_or(0)
    }

    fn forget_below(&mut self, known_from: u64) {
        let known_from = known_from.max(self.known_from);
        let first = self.used.first_key_value().map(|(number, _)| *number);
        if known_from == self.known_from && first.is_none_or(|number| number >= known_from) {
            return;
        }
        self.known_from = known_from;
        self.usable_from = self.usable_from.max(known_from);
        let mut freed = 0;
        self.used.retain(|number, used| {
            let running = matches!(used.progress, Progress::Running(_));
            let keep = *number >= known_from || running;
            if !keep {
                freed += used.size();
            }
            keep
        });
        self.answer_bytes -= freed;
        self.finished
            .retain(|number| self.used.contains_key(number));
    }

    fn enforce_limits(&mut self) {
        while self.answer_bytes > MAX_ANSWER_BYTES {
            let Some(used) = self
                .finished
                .pop_front()
                .and_then(|n| self.used.get_mut(&n))
            else {
                break;
            };
            self.answer_bytes -= used.size();
            used.progress = Progress::Forgotten;
        }
        if self.used.len() > MAX_USED_TICKETS {
            // Evicting an eighth at a time keeps the amortized cost per ticket low.
            let known_from = self.used.keys().nth(MAX_USED_TICKETS / 8).copied();
            self.forget_below(known_from.unwrap_or(self.known_from));
        }
    }
}

impl UsedTicket {
    fn redeem(&mut self, digest: Digest, waiter: Waiter) -> Redemption {
        if digest != self.digest {
            return Redemption::Final(Answer::TicketMismatch);
        }
        match &mut self.progress {
            Progress::Running(waiters) => {
                if !waiters.contains(&waiter) {
                    waiters.truncate(MAX_WAITERS - 1);
                    waiters.push(waiter);
                }
                Redemption::InProgress
            }
            Progress::Finished(answer) => Redemption::Final(answer.clone()),
            Progress::Forgotten => {
                Redemption::Final(Answer::unknown(UnknownReason::AnswerForgotten))
            }
        }
    }

    fn size(&self) -> usize {
        match &self.progress {
            Progress::Finished(answer) => answer.size(),
            _ => 0,
        }
    }
}
