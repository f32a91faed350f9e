//! Steering of a single packet.

use smallvec::SmallVec;

use super::{
    Steering,
    decision::Decision,
    directory::{
        Fitness, //
    },
    directory_entry::Entry,
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
    /// Returns the verdict on a client's packet.
    pub fn on_packet(&mut self, packet: &Packet, now: Time) -> Verdict {
        let verdict = match packet.role {
            Role::Open { copy } => self.open_flow(packet, copy, now),
            Role::Continue { closes, rejects } => self.continue_flow(packet, closes, rejects, now),
        };
        self.record_verdict(packet, verdict);
        verdict
    }

    fn record_verdict(&mut self, packet: &Packet, verdict: Verdict) {
        let (flow, tag) = (packet.flow, packet.tag);
        match verdict {
            Verdict::Forward(_) => {}
            Verdict::Reset(reason) => self.decisions.push(Decision::FlowReset {
                flow,
                tag,
                reason,
                configuration: self.routing.position(),
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
        self.replicas.record_client(*packet.flow.client.ip(), now);
        if !self.routing.has_route(packet.flow.service) {
            return Verdict::Reset(ResetReason::NoRoute);
        }
        let attempted: SmallVec<[Tag; 3]> =
            match self.flows.handshake_attempts(&packet.flow, copy, now) {
                None => {
                    let client = *packet.flow.client.ip();
                    let was_rejected = self.handshakes.detect_retry(client, now);
                    if copy == 0 && !was_rejected {
                        self.route_arrivals.record(packet.flow.service);
                    }
                    SmallVec::new()
                }
                // A packet may be duplicated on the way.
                Some((attempted, true)) => return self.repeat_attempt(attempted.last().copied()),
                Some((attempted, false)) => SmallVec::from_slice(attempted),
            };
        for tag in &attempted {
            self.record_retransmit(*tag, packet, copy.min(u32::from(u8::MAX)) as u8, now);
        }
        let Some((tag, fitness)) = self.place_flow(packet, &attempted, now) else {
            return self.refuse_flow(now);
        };
        if self.is_behind_lost_path(tag, now) {
            return self.refuse_flow(now);
        }
        self.flows.record_attempt(packet, copy, tag, now);
        self.handshakes
            .record_attempt(*packet.flow.client.ip(), tag, now);
        if fitness == Fitness::Cold {
            self.cold_budget.record(tag, now);
        }
        self.decisions.push(Decision::FlowPlaced {
            flow: packet.flow,
            copy,
            tag,
            fitness,
            configuration: self.routing.position(),
            age: now.since(self.sync.get(Kind::BackendServers).as_of),
        });
        self.forward_to(tag)
    }

    /// Refuses a new flow that no backend server can take. While the routers
    /// may not have noticed yet that this VM is not ready, the packet is
    /// dropped: the client's retransmission or retry then reaches a VM that can
    /// serve it, of another data centre if all paths from this one are lost. A
    /// reset would make the client use up its retries before the routers move it.
    fn refuse_flow(&self, now: Time) -> Verdict {
        if self.readiness.awaits_router_notice(now) && self.reachability.others_may_serve {
            return Verdict::Drop(DropReason::NoBackend);
        }
        Verdict::Reset(ResetReason::NoBackend)
    }

    fn repeat_attempt(&self, tag: Option<Tag>) -> Verdict {
        tag.map_or(Verdict::Drop(DropReason::NoBackend), |t| self.forward_to(t))
    }

    /// Chooses a backend server among the services of the route, starting with
    /// the one selected by round robin. Services without a ready backend server
    /// come last.
    fn place_flow(
        &mut self,
        packet: &Packet,
        attempted: &[Tag],
        now: Time,
    ) -> Option<(Tag, Fitness)> {
        let services = self.routing.next_services(packet.flow.service);
        let mut found: Option<(Tag, Fitness)> = None;
        for service in &services {
            let Some((tag, fitness)) = self.choose_backend(service, attempted, now) else {
                continue;
            };
            if fitness == Fitness::Ready {
                return Some((tag, fitness));
            }
            let is_better = |(held, best): (Tag, Fitness)| {
                fitness < best || (fitness == best && self.is_path_lost(held, now))
            };
            if found.is_none_or(is_better) {
                found = Some((tag, fitness));
            }
        }
        found
    }

    fn choose_backend(
        &mut self,
        service: &ServiceId,
        attempted: &[Tag],
        now: Time,
    ) -> Option<(Tag, Fitness)> {
        let placement = Placement {
            me: &self.me,
            started_at: self.started_at,
            routing: &self.routing,
            directory: &self.directory,
            flows: &self.flows,
            remote_loads: &self.remote_loads,
            response_times: &self.response_times,
            capability: &self.capability,
            stalls: &self.stalls,
            handshakes: &self.handshakes,
            paths: &self.paths,
            cold_budget: &self.cold_budget,
            cold_grants: &self.cold_grants,
            detector: &self.detector,
            now,
        };
        placement.choose(service, attempted, &mut self.rng)
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
        let verdict = self.route_by_tag(tag, now);
        match verdict {
            Verdict::Forward(_) => {
                let signal = self.flows.observe(packet, tag, closes || rejects, now);
                self.record_request(packet, tag, now);
                self.record_signal(signal, packet, now);
                if self.detector.health(tag) == HealthState::Dead {
                    self.detector.request_probe(tag);
                }
                verdict
            }
            Verdict::Reset(_) if rejects => Verdict::Drop(DropReason::RejectedFlow),
            Verdict::Drop(_) => {
                // Recorded so that the client is reset once the flow is known
                // to have ended.
                self.flows.observe(packet, tag, closes || rejects, now);
                self.unlisted.record(tag, now);
                verdict
            }
            Verdict::Reset(_) => verdict,
        }
    }

    fn route_by_tag(&self, tag: Tag, now: Time) -> Verdict {
        let Some(entry) = self.directory.entry(tag) else {
            let as_of = self.list_complete_as_of(now);
            return match as_of.is_some_and(|at| self.unlisted.was_seen_before(tag, at)) {
                true => Verdict::Reset(ResetReason::BackendUnlisted),
                false => Verdict::Drop(DropReason::UnknownTag),
            };
        };
        if !entry.may_hold_flows() {
            return Verdict::Reset(ResetReason::BackendGone);
        }
        if self.detector.is_dead_by_recent_probe(tag, now) {
            return Verdict::Reset(ResetReason::BackendDead);
        }
        Verdict::Forward(target(tag, entry))
    }

    fn forward_to(&self, tag: Tag) -> Verdict {
        match self.directory.entry(tag) {
            Some(entry) => Verdict::Forward(target(tag, entry)),
            None => Verdict::Drop(DropReason::NoBackend),
        }
    }

    fn record_signal(&mut self, signal: BackendSignal, packet: &Packet, now: Time) {
        match signal {
            BackendSignal::None => {}
            BackendSignal::Opened {
                tag,
                elapsed,
                is_attempted,
            } => {
                self.detector.mark_alive(tag, now);
                let client = *packet.flow.client.ip();
                self.handshakes.record_success(client, tag, elapsed);
                if is_attempted {
                    self.record_path_opened(tag, elapsed, now);
                }
            }
            BackendSignal::Answered {
                tag,
                elapsed,
                outstanding,
            } => {
                self.detector.mark_alive(tag, now);
                self.stalls.record_answer(tag, now);
                if let Some(elapsed) = elapsed {
                    self.response_times.record(tag, elapsed, now);
                    self.record_service_time(tag, elapsed, outstanding, now);
                    self.response_samples.push(elapsed);
                }
            }
            BackendSignal::Retransmitted { tag, retransmits } => {
                self.record_retransmit(tag, packet, retransmits, now)
            }
        }
    }

    fn record_retransmit(&mut self, tag: Tag, packet: &Packet, retransmits: u8, now: Time) {
        if self.is_behind_cut(tag, now) {
            return;
        }
        if self
            .detector
            .record_retransmit(tag, packet.flow, retransmits, now)
        {
            self.declare_dead(tag, now);
        } else {
            self.watch_data_centre(tag, now);
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
