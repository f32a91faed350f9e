//! The tickets that one run of a VM has issued, and what became of them.

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

/// How long a ticket may be started after its issue.
pub const TICKET_LIFETIME: Millis = Millis::from_secs(300);

/// How long the outcome of a ticket is known after its issue.
pub const OUTCOME_RETENTION: Millis = Millis::from_secs(600);

/// The most answers that are kept, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The most used tickets that are kept.
pub const MAX_USED_TICKETS: usize = 32_768;

/// How many may wait for one ticket. Others time out.
const MAX_WAITERS: usize = 16;

/// How finely the time of issue is recorded.
const ISSUE_STEP: Millis = Millis::from_secs(1);

/// Who waits for the outcome of a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Waiter {
    /// A caller of this VM.
    Call(CallId),
    /// Another VM.
    Peer {
        /// The VM.
        vm: VmId,
        /// Its relay.
        relay: RelayId,
    },
}

/// Those who wait for the outcome of a ticket.
pub type Waiters = SmallVec<[Waiter; 1]>;

/// What to do with a request that presents a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Redemption {
    /// Run it now. The waiter is noted.
    Start,
    /// It runs already. The waiter is noted.
    InProgress,
    /// The answer is known.
    Final(Answer),
    /// Another run decides about it.
    HandedOver,
}

#[derive(Clone, Debug)]
pub(super) enum Progress {
    Running(Waiters),
    Ended(Answer),
    /// Ended, and its answer has been discarded.
    Forgotten,
}

#[derive(Clone, Debug)]
pub(super) struct Used {
    pub(super) digest: Digest,
    pub(super) progress: Progress,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Issued {
    pub(super) at: Time,
    /// Tickets with lower numbers were issued at `at` at the latest.
    pub(super) next: u64,
}

/// The tickets of one issuer.
#[derive(Clone, Debug)]
pub struct TicketTable {
    issuer: Issuer,
    pub(super) secret: u64,
    /// The number of the next ticket.
    pub(super) next: u64,
    /// Tickets with lower numbers are never started.
    pub(super) usable_from: u64,
    /// Nothing is known of tickets with lower numbers.
    ///
    /// Invariant: at most `usable_from`.
    pub(super) kept_from: u64,
    /// In the order of issue.
    pub(super) issued: VecDeque<Issued>,
    /// Invariant: a ticket is in here from its start until its number falls
    /// below `kept_from`.
    pub(super) used: BTreeMap<u64, Used>,
    /// Ended tickets with their answers, the oldest first.
    ended: VecDeque<u64>,
    kept_bytes: usize,
    /// Whether another run decides about unused tickets. Never reset.
    pub(super) handed_over: bool,
}

impl TicketTable {
    /// Starts the table of `issuer`.
    pub fn new(issuer: Issuer, secret: u64) -> TicketTable {
        TicketTable {
            issuer,
            secret,
            next: 0,
            usable_from: 0,
            kept_from: 0,
            issued: VecDeque::new(),
            used: BTreeMap::new(),
            ended: VecDeque::new(),
            kept_bytes: 0,
            handed_over: false,
        }
    }

    /// Issues a ticket.
    pub fn issue(&mut self, now: Time) -> Ticket {
        let number = self.next;
        self.next += 1;
        match self.issued.back_mut() {
            Some(last) if now <= last.at => last.next = self.next,
            _ => self.issued.push_back(Issued {
                at: now + ISSUE_STEP,
                next: self.next,
            }),
        }
        Ticket::issue(self.issuer.clone(), number, self.secret)
    }

    /// Decides about a request that presents `ticket`.
    pub fn redeem(&mut self, ticket: &Ticket, digest: Digest, waiter: Waiter) -> Redemption {
        if ticket.number >= self.next || !ticket.is_genuine(self.secret) {
            return Redemption::Final(Answer::TicketInvalid);
        }
        if let Some(used) = self.used.get_mut(&ticket.number) {
            return used.redeem(digest, waiter);
        }
        if ticket.number < self.kept_from {
            return Redemption::Final(Answer::unknown(UnknownReason::TicketForgotten));
        }
        if ticket.number < self.usable_from {
            return Redemption::Final(Answer::not_run(NotRunReason::TicketExpired));
        }
        if self.handed_over {
            return Redemption::HandedOver;
        }
        let progress = Progress::Running(SmallVec::from_iter([waiter]));
        self.used.insert(ticket.number, Used { digest, progress });
        Redemption::Start
    }

    /// Keeps the final answer of a ticket. Returns those who wait for it.
    pub fn finish(&mut self, number: u64, answer: &Answer) -> Waiters {
        let Some(used) = self.used.get_mut(&number) else {
            return Waiters::new();
        };
        let Progress::Running(waiters) = &mut used.progress else {
            return Waiters::new();
        };
        let waiters = std::mem::take(waiters);
        used.progress = Progress::Ended(answer.clone());
        self.ended.push_back(number);
        self.kept_bytes += answer.size();
        self.shrink();
        waiters
    }

    /// Forgets what is too old.
    pub fn tick(&mut self, now: Time) {
        let usable_from = self.issued_before(now, TICKET_LIFETIME);
        self.usable_from = self.usable_from.max(usable_from);
        let kept_from = self.issued_before(now, OUTCOME_RETENTION);
        self.forget_below(kept_from);
        self.issued.retain(|i| now.since(i.at) < OUTCOME_RETENTION);
    }

    /// Returns the numbers of the tickets that run.
    pub fn running(&self) -> impl Iterator<Item = u64> {
        self.used
            .iter()
            .filter(|(_, u)| matches!(u.progress, Progress::Running(_)))
            .map(|(number, _)| *number)
    }

    /// Returns the kept answers.
    pub fn answers(&self) -> impl Iterator<Item = (u64, &Answer)> {
        self.used.iter().filter_map(|(n, u)| match &u.progress {
            Progress::Ended(answer) => Some((*n, answer)),
            _ => None,
        })
    }

    /// Returns how many used tickets are known.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Tells whether no used ticket is known.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Returns roughly how many bytes the kept answers occupy.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    fn issued_before(&self, now: Time, age: Millis) -> u64 {
        let old = self.issued.iter().filter(|i| now.since(i.at) >= age);
        old.map(|i| i.next).max().unwrap_or(0)
    }

    fn forget_below(&mut self, kept_from: u64) {
        let kept_from = kept_from.max(self.kept_from);
        let first = self.used.first_key_value().map(|(number, _)| *number);
        if kept_from == self.kept_from && first.is_none_or(|number| number >= kept_from) {
            return;
        }
        self.kept_from = kept_from;
        self.usable_from = self.usable_from.max(kept_from);
        let mut freed = 0;
        self.used.retain(|number, used| {
            let running = matches!(used.progress, Progress::Running(_));
            let keep = *number >= kept_from || running;
            if !keep {
                freed += used.size();
            }
            keep
        });
        self.kept_bytes -= freed;
        self.ended.retain(|number| self.used.contains_key(number));
    }

    fn shrink(&mut self) {
        while self.kept_bytes > MAX_ANSWER_BYTES {
            let Some(used) = self.ended.pop_front().and_then(|n| self.used.get_mut(&n)) else {
                break;
            };
            self.kept_bytes -= used.size();
            used.progress = Progress::Forgotten;
        }
        if self.used.len() > MAX_USED_TICKETS {
            // Forgetting an eighth at once keeps the cost per ticket small.
            let kept_from = self.used.keys().nth(MAX_USED_TICKETS / 8).copied();
            self.forget_below(kept_from.unwrap_or(self.kept_from));
        }
    }
}

impl Used {
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
            Progress::Ended(answer) => Redemption::Final(answer.clone()),
            Progress::Forgotten => {
                Redemption::Final(Answer::unknown(UnknownReason::AnswerForgotten))
            }
        }
    }

    fn size(&self) -> usize {
        match &self.progress {
            Progress::Ended(answer) => answer.size(),
            _ => 0,
        }
    }
}
