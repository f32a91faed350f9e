//! The decision about one packet.

use smallvec::SmallVec;

use super::{
    Steering,
    decision::Decision,
    directory::{
        Entry,
        Fitness, //
    },
    failure_detector::HealthState,
    flow::BackendSignal,
    packet::{
        DropReason,
        Packet,
        ResetReason,
        Role,
        Target,
        Verdict, //
    },
    placement::Placement,
    store::Kind,
    tag::Tag, //
};
use crate::{
    core::names::ServiceId,
    kernel::clock::Time, //
};

impl Steering {
    /// Decides about a client's packet.
    pub fn on_packet(&mut self, packet: &Packet, now: Time) -> Verdict {
        let verdict = match packet.role {
            Role::Open { copy } => self.open_flow(packet, copy, now),
            Role::Continue { closes, rejects } => self.continue_flow(packet, closes, rejects, now),
        };
        self.note_verdict(packet, verdict);
        verdict
    }

    fn note_verdict(&mut self, packet: &Packet, verdict: Verdict) {
        let (flow, tag) = (packet.flow, packet.tag);
        match verdict {
            Verdict::Forward(_) => {}
            Verdict::Reset(reason) => self.decisions.push(Decision::FlowReset {
                flow,
                tag,
                reason,
                configuration: self.routing.revision(),
            }),
            Verdict::Drop(reason) => {
                self.decisions
                    .push(Decision::PacketDropped { flow, tag, reason });
            }
        }
    }

    fn open_flow(&mut self, packet: &Packet, copy: u32, now: Time) -> Verdict {
        if !self.is_synced() {
            return Verdict::Drop(DropReason::NoConfiguration);
        }
        self.replicas.turn_up(*packet.flow.client.ip(), now);
        if !self.routing.has_route(packet.flow.service) {
            return Verdict::Reset(ResetReason::NoRoute);
        }
        let offered: SmallVec<[Tag; 3]> = match self.flows.offers(&packet.flow, copy, now) {
            None => {
                let client = *packet.flow.client.ip();
                self.handshakes.attempted(client, now);
                SmallVec::new()
            }
            // The same copy may arrive twice.
            Some((offered, true)) => return self.repeat_offer(offered.last().copied()),
            Some((offered, false)) => SmallVec::from_slice(offered),
        };
        for tag in &offered {
            self.accuse(*tag, packet, copy.min(u32::from(u8::MAX)) as u8, now);
        }
        let Some((tag, fitness)) = self.place(packet, &offered, now) else {
            return self.refuse(now);
        };
        self.flows.offer(packet, copy, tag, now);
        self.handshakes.offered(*packet.flow.client.ip(), tag, now);
        if fitness == Fitness::Cold {
            self.cold.spend(tag, now);
        }
        self.decisions.push(Decision::FlowPlaced {
            flow: packet.flow,
            copy,
            tag,
            fitness,
            configuration: self.routing.revision(),
            age: now.since(self.beliefs.get(Kind::BackendServers).as_of),
        });
        self.forward(tag)
    }

    /// Refuses a new flow that no backend server can take. While the routers
    /// notice that this VM is not ready, the packet is left unanswered: the
    /// client's next copy goes to a VM that can serve it.
    fn refuse(&self, now: Time) -> Verdict {
        if self.readiness.is_handing_over(now) {
            return Verdict::Drop(DropReason::NoBackend);
        }
        Verdict::Reset(ResetReason::NoBackend)
    }

    fn repeat_offer(&self, tag: Option<Tag>) -> Verdict {
        tag.map_or(Verdict::Drop(DropReason::NoBackend), |t| self.forward(t))
    }

    /// Chooses a backend server among the services of the route, the one whose
    /// turn it is first. A service without a backend server that is ready comes
    /// after those that have one.
    fn place(&mut self, packet: &Packet, offered: &[Tag], now: Time) -> Option<(Tag, Fitness)> {
        let services = self.routing.take_turn(packet.flow.service);
        let mut found: Option<(Tag, Fitness)> = None;
        for service in &services {
            let Some((tag, fitness)) = self.choose(service, offered, now) else {
                continue;
            };
            if fitness == Fitness::Ready {
                return Some((tag, fitness));
            }
            if found.is_none_or(|(_, best)| fitness < best) {
                found = Some((tag, fitness));
            }
        }
        found
    }

    fn choose(
        &mut self,
        service: &ServiceId,
        offered: &[Tag],
        now: Time,
    ) -> Option<(Tag, Fitness)> {
        let place = Placement {
            me: &self.me,
            opened: self.opened,
            peers: &self.peers,
            routing: &self.routing,
            directory: &self.directory,
            flows: &self.flows,
            remote: &self.remote,
            answers: &self.answers,
            handshakes: &self.handshakes,
            cold: &self.cold,
            suspicion: &self.suspicion,
            now,
        };
        place.choose(service, offered, &mut self.rng)
    }

    fn continue_flow(
        &mut self,
        packet: &Packet,
        closes: bool,
        rejects: bool,
        now: Time,
    ) -> Verdict {
        let Some(tag) = packet.tag else {
            return Verdict::Drop(DropReason::NoTag);
        };
        let verdict = self.find(tag, now);
        match verdict {
            Verdict::Forward(_) => {
                let sign = self.flows.observe(packet, tag, closes || rejects, now);
                self.note_sign(sign, packet, now);
                verdict
            }
            Verdict::Reset(_) if rejects => Verdict::Drop(DropReason::RejectedFlow),
            Verdict::Drop(_) => {
                // The client is told as soon as it is known that the flow is over.
                self.flows.observe(packet, tag, closes || rejects, now);
                self.unlisted.note(tag, now);
                verdict
            }
            Verdict::Reset(_) => verdict,
        }
    }

    /// Finds the backend server of a tag.
    fn find(&self, tag: Tag, now: Time) -> Verdict {
        let Some(entry) = self.directory.entry(tag) else {
            let as_of = self.surely_listed_at(now);
            return match as_of.is_some_and(|at| self.unlisted.was_seen_before(tag, at)) {
                true => Verdict::Reset(ResetReason::BackendUnlisted),
                false => Verdict::Drop(DropReason::UnknownTag),
            };
        };
        if !entry.may_hold_flows() {
            return Verdict::Reset(ResetReason::BackendGone);
        }
        if self.suspicion.standing(tag) == HealthState::Dead {
            return Verdict::Reset(ResetReason::BackendDead);
        }
        Verdict::Forward(target(tag, entry))
    }

    fn forward(&self, tag: Tag) -> Verdict {
        match self.directory.entry(tag) {
            Some(entry) => Verdict::Forward(target(tag, entry)),
            None => Verdict::Drop(DropReason::NoBackend),
        }
    }

    fn note_sign(&mut self, sign: BackendSignal, packet: &Packet, now: Time) {
        match sign {
            BackendSignal::None => {}
            BackendSignal::Opened { tag, took } => {
                self.suspicion.acquit(tag, now);
                let client = *packet.flow.client.ip();
                self.handshakes.opened(client, tag, took);
            }
            BackendSignal::Alive { tag, took } => {
                self.suspicion.acquit(tag, now);
                if let Some(took) = took {
                    self.answers.note(tag, took, now);
                    self.samples.push(took);
                }
            }
            BackendSignal::Silent { tag, repeats } => self.accuse(tag, packet, repeats, now),
        }
    }

    fn accuse(&mut self, tag: Tag, packet: &Packet, repeats: u8, now: Time) {
        if self.suspicion.accuse(tag, packet.flow, repeats, now) {
            self.declare_dead(tag, now);
        }
    }
}

fn target(tag: Tag, entry: &Entry) -> Target {
    Target {
        key: entry.server.key,
        address: entry.server.address,
        tag,
    }
}
