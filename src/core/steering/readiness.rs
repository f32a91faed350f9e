//! Readiness for new flows, as reported to the routers.

use super::{
    Steering,
    decision::Decision,
    reachability::Reach, //
};
use crate::kernel::clock::{
    Millis,
    Time, //
};

/// How long a VM must be unable to place flows before it reports not ready.
const UNREADY_AFTER: Millis = Millis(300);

/// Time within which a VM of the same data centre answers the first heartbeat.
const PEER_ANSWER_TIME: Millis = Millis(75);

/// VMs that reach too few backend servers from which others of the data centre leave
/// with them: as many as a VM that is no hub hears.
const MIN_LEAVING_VOTES: usize = 2;

/// How many times more VMs must reach too few than enough.
const LEAVING_MAJORITY: usize = 3;

/// Time that the routers may take to notice that a VM is not ready.
pub const ROUTER_NOTICE_TIME: Millis = Millis(1_500);

/// Readiness for new flows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Readiness {
    /// Whether routers may send new flows here.
    pub(super) is_ready: bool,
    /// Since when no flow can be placed.
    failing_since: Option<Time>,
}

impl Readiness {
    /// Returns whether the routers may be about to send clients to other VMs.
    pub(super) fn awaits_router_notice(&self, now: Time) -> bool {
        self.failing_since
            .is_some_and(|since| now.since(since) < UNREADY_AFTER + ROUTER_NOTICE_TIME)
    }

    /// Updates the readiness with whether this VM can serve new flows now.
    /// Returns whether the readiness changed.
    pub(super) fn update(&mut self, can_serve: bool, now: Time) -> bool {
        if can_serve {
            self.failing_since = None;
        } else {
            self.failing_since.get_or_insert(now);
        }
        let was_ready = self.is_ready;
        self.is_ready = match self.failing_since {
            None => true,
            Some(since) => was_ready && now.since(since) < UNREADY_AFTER,
        };
        was_ready != self.is_ready
    }
}

impl Steering {
    /// Reports this VM as not ready when it cannot serve its clients, so that the
    /// routers send them to other VMs.
    pub(super) fn update_readiness(&mut self, now: Time) {
        self.update_reachability(now);
        let can_serve = self.is_synced() && self.can_serve(now);
        if self.readiness.update(can_serve, now) {
            let is_ready = self.readiness.is_ready;
            let backends = self.open_backends(now);
            self.decisions
                .push(Decision::Readiness { is_ready, backends });
        }
    }

    /// Returns whether clients may come here. The routers use all VMs of a data centre
    /// as soon as one is ready, so its VMs leave and return together: one that stays
    /// keeps the clients at others that cannot serve them.
    fn can_serve(&self, now: Time) -> bool {
        let is_ready = self.readiness.is_ready;
        match self.reachability.reach {
            Reach::NoBackends => true,
            Reach::Nobody => !self.reachability.others_may_serve,
            Reach::Untried => self.agrees_to_start(now),
            Reach::Part => is_ready && !self.is_left_alone(now),
            Reach::Enough if is_ready => !self.is_left_alone(now),
            Reach::Enough => !self.is_outvoted(now) && self.may_return(now),
        }
    }

    /// Returns whether a VM that reaches enough may bring the clients back while a path
    /// is lost. It may have mistaken new runs of backend servers for the former ones, so
    /// another VM has to reach enough, too, and none too few, unless it is alone.
    fn may_return(&self, now: Time) -> bool {
        let is_alone = self.peers.live_local(now).next().is_none();
        let votes = self.votes(now);
        let all_agree = votes.enough > 0 && votes.too_few == 0;
        !self.paths.has_lost(now) || is_alone || all_agree
    }

    /// Returns whether a VM that has just started and has seen no path working may
    /// report ready. It waits for the verdicts of its data centre, as long as one that
    /// is heard would take to send its own. Peers report only what they have tried
    /// themselves, so VMs that have all just started do not wait for each other.
    fn agrees_to_start(&self, now: Time) -> bool {
        let votes = self.votes(now);
        let has_heard = votes.enough + votes.too_few > 0;
        let has_waited = now.since(self.started_at) >= PEER_ANSWER_TIME;
        (has_heard || has_waited) && !self.is_outvoted(now)
    }

    /// Returns whether most VMs of this data centre that have tried do not reach enough
    /// backend servers.
    fn is_outvoted(&self, now: Time) -> bool {
        let votes = self.votes(now);
        votes.too_few > votes.enough
    }

    /// Returns whether several VMs of this data centre reach too few backend servers,
    /// and hardly any reaches enough.
    fn is_left_alone(&self, now: Time) -> bool {
        let votes = self.votes(now);
        votes.too_few >= MIN_LEAVING_VOTES && votes.too_few > LEAVING_MAJORITY * votes.enough
    }

    fn votes(&self, now: Time) -> Votes {
        let mut votes = Votes::default();
        let local = self.peers.live_local(now);
        for reaches in local.filter_map(|m| m.heartbeat.reaches_backends) {
            match reaches {
                true => votes.enough += 1,
                false => votes.too_few += 1,
            }
        }
        votes
    }
}

/// Verdicts of the VMs of this data centre that are heard and have tried.
#[derive(Clone, Copy, Debug, Default)]
struct Votes {
    /// They reach enough backend servers.
    enough: usize,
    too_few: usize,
}
