//! Per-packet decision: forward, relay, hold, reset or drop.

use bytes::Bytes;

use crate::{
    core::{
        action::Action,
        configuration::Protocol,
        counter::Counter,
        cx::Cx,
        flow::{
            Flows,
            PacketHeaders,
            answers::FlowLocation,
            buckets::bucket_of,
            entries::EntryKind,
            homes::{
                Ranking,
                rank, //
            },
            relay::{
                MAX_PATH_LEN,
                RelayHeader,
                RelayKind,
                RelayPath,
                vm_tag, //
            },
            reply,
            service::ServiceFlows,
            table::NO_TARGET, //
        },
        membership::{
            Member,
            MemberState, //
        },
        names::VmId, //
    },
    kernel::clock::Millis,
};

/// How long after a pause packets may arrive that were sent before or during
/// it. A SYN among them may belong to a flow that was since opened through
/// another VM.
const STALE_SYN_WINDOW: Millis = Millis(500);

/// How long a retransmitted SYN is sent to the same backend server as the
/// original.
const SYN_RETRY_WINDOW: Millis = Millis::from_secs(60);

/// Idle time after which an established UDP flow counts as ended.
const UDP_IDLE_TIMEOUT: Millis = Millis::from_secs(60);

/// Idle time after which a packet of a pinned flow refreshes its entry on the
/// second home.
const PIN_REFRESH_INTERVAL: Millis = Millis::from_secs(1_800);

/// A packet with its service, flow and flags.
pub(super) struct ClassifiedPacket {
    pub(super) service: usize,
    pub(super) flow: u64,
    pub(super) bucket: usize,
    pub(super) syn: bool,
    pub(super) closing: bool,
    /// The VMs listed in the relay header; empty if the packet came from the
    /// fabric.
    pub(super) path: RelayPath,
    pub(super) bytes: Bytes,
}

impl Flows {
    /// Steers a packet that arrived from the fabric.
    pub(super) fn steer(&mut self, cx: &mut Cx<'_>, packet: Bytes) {
        let Some(pkt) = self.classify(cx, packet, RelayPath::new()) else {
            return;
        };
        if pkt.syn && self.stability.since_pause(cx.now) < STALE_SYN_WINDOW {
            cx.count(Counter::PacketStale);
            return;
        }
        let service = &self.services[pkt.service];
        if service.ready && !service.changed.contains(pkt.bucket) {
            self.forward_base(cx, pkt);
        } else if pkt.syn {
            self.entries.remove_cached(pkt.flow);
            self.route_to_home(cx, pkt, RelayKind::Open);
        } else {
            self.steer_established(cx, pkt);
        }
    }

    /// Steers a packet that another VM relayed.
    pub(super) fn steer_relayed(&mut self, cx: &mut Cx<'_>, relayed: &Bytes) {
        let Some((header, packet)) = RelayHeader::split(relayed) else {
            cx.count(Counter::PacketMalformed);
            return;
        };
        let Some(pkt) = self.classify(cx, packet, header.vms) else {
            return;
        };
        match header.kind {
            RelayKind::Lookup => self.look_up(cx, pkt),
            RelayKind::Open => self.open_flow(cx, pkt),
            RelayKind::Record => self.record_and_relay(cx, pkt, header.backend),
            RelayKind::RecordOnly => self.record_only(cx, &pkt, header.backend),
        }
    }

    fn classify(&self, cx: &mut Cx<'_>, bytes: Bytes, path: RelayPath) -> Option<ClassifiedPacket> {
        let Some(headers) = PacketHeaders::parse(&bytes) else {
            cx.count(Counter::PacketMalformed);
            return None;
        };
        let key = (headers.destination, headers.protocol);
        let Some(service) = self.by_address.get(&key) else {
            cx.count(Counter::PacketUnknownService);
            return None;
        };
        let flow = headers.flow_hash();
        Some(ClassifiedPacket {
            service: usize::from(*service),
            flow,
            bucket: bucket_of(flow),
            syn: headers.syn,
            closing: headers.closing,
            path,
            bytes,
        })
    }

    fn steer_established(&mut self, cx: &mut Cx<'_>, pkt: ClassifiedPacket) {
        let Some(entry) = self.entries.get_mut(pkt.flow, cx.now) else {
            self.route_to_home(cx, pkt, RelayKind::Lookup);
            return;
        };
        entry.touch(cx.now, pkt.closing);
        let target = entry.target;
        let service = &self.services[pkt.service];
        if pkt.closing && service.needs_pin(pkt.flow, target) {
            // The homes must learn that the pinned flow has ended.
            self.route_to_home(cx, pkt, RelayKind::Lookup);
        } else {
            self.forward(cx, pkt, target);
        }
    }

    fn route_to_home(&mut self, cx: &mut Cx<'_>, pkt: ClassifiedPacket, kind: RelayKind) {
        let ranking = self.ranking(cx, &pkt);
        let me = &cx.view.me.id;
        let ready = self.services[pkt.service].ready;
        let home = match ranking.first() {
            Some(first) if first == me && !ready => ranking.get(1),
            first => first.filter(|id| *id != me),
        };
        if let Some(home) = home {
            relay_with_path(cx, &pkt, home, kind);
            return;
        }
        match kind {
            RelayKind::Open => self.open_flow(cx, pkt),
            _ => self.look_up(cx, pkt),
        }
    }

    /// Finds the backend server of an established flow and forwards the packet,
    /// or relays it to the next VM that may know.
    fn look_up(&mut self, cx: &mut Cx<'_>, pkt: ClassifiedPacket) {
        if let Some(entry) = self.entries.get_mut(pkt.flow, cx.now) {
            let refresh_due = entry.idle_time(cx.now) >= PIN_REFRESH_INTERVAL;
            let is_pin = entry.kind == EntryKind::Pinned;
            entry.touch(cx.now, pkt.closing);
            let target = entry.target;
            self.answer_requester(cx, &pkt, target);
            if is_pin && (refresh_due || pkt.closing) {
                self.replicate_pin(cx, pkt, target);
            } else {
                self.forward(cx, pkt, target);
            }
            return;
        }
        if self.knows_all_pins(cx, &pkt) {
            self.assign_unpinned(cx, pkt);
            return;
        }
        let Some(pkt) = self.relay_to_next(cx, pkt, RelayKind::Lookup) else {
            return;
        };
        if self.awaits_history(pkt.service, cx.now) {
            self.hold(cx, pkt.bytes);
            return;
        }
        cx.count(Counter::FlowGuessed);
        self.forward_base(cx, pkt);
    }

    /// Returns whether a flow without an entry here is known to be unpinned.
    fn knows_all_pins(&self, cx: &Cx<'_>, pkt: &ClassifiedPacket) -> bool {
        let service = &self.services[pkt.service];
        if !service.ready {
            return false;
        }
        !service.changed.contains(pkt.bucket)
            || (service.complete.contains(pkt.bucket) && self.stability.is_settled(cx.now))
    }

    fn assign_unpinned(&mut self, cx: &mut Cx<'_>, pkt: ClassifiedPacket) {
        let service = &self.services[pkt.service];
        let base = service.base_target(pkt.bucket);
        let moved = base != service.new_target(pkt.bucket);
        if service.protocol == Protocol::Udp && moved {
            self.assign_udp_flow(cx, pkt);
            return;
        }
        self.answer_requester(cx, &pkt, base);
        self.forward_base(cx, pkt);
    }

    /// Assigns an unpinned UDP flow of a changed bucket. Without a SYN, a flow
    /// is regarded as established if it sends within [`UDP_IDLE_TIMEOUT`] of
    /// the change.
    fn assign_udp_flow(&mut self, cx: &mut Cx<'_>, pkt: ClassifiedPacket) {
        let service = &self.services[pkt.service];
        let target = if cx.now.since(service.activated_at) < UDP_IDLE_TIMEOUT {
            service.base_target(pkt.bucket)
        } else {
            service.new_target(pkt.bucket)
        };
        self.answer_requester(cx, &pkt, target);
        self.pin_if_home(cx, &pkt, target);
        self.replicate_pin(cx, pkt, target);
    }

    /// Assigns a new flow to a backend server and forwards the packet.
    fn open_flow(&mut self, cx: &mut Cx<'_>, pkt: ClassifiedPacket) {
        let Some(pkt) = self.relay_unless_ready(cx, pkt) else {
            return;
        };
        let target = self.choose_target(cx, &pkt);
        let service = &self.services[pkt.service];
        if service.enabled_target(target).is_none() {
            self.refuse(cx, &pkt);
            return;
        }
        cx.count(Counter::FlowOpened);
        // Another VM may have stored an earlier SYN that did not get through.
        let may_be_stored = self.entries.remove(pkt.flow) || !self.knows_all_pins(cx, &pkt);
        if may_be_stored || self.services[pkt.service].needs_pin(pkt.flow, target) {
            cx.count(Counter::FlowPinned);
            self.pin_if_home(cx, &pkt, target);
            self.replicate_pin(cx, pkt, target);
        } else {
            self.forward(cx, pkt, target);
        }
    }

    /// Returns the packet if this VM may assign its flow. Otherwise relays or
    /// holds it.
    fn relay_unless_ready(
        &mut self,
        cx: &mut Cx<'_>,
        pkt: ClassifiedPacket,
    ) -> Option<ClassifiedPacket> {
        if self.services[pkt.service].ready {
            return Some(pkt);
        }
        let pkt = self.relay_to_next(cx, pkt, RelayKind::Open)?;
        if self.awaits_history(pkt.service, cx.now) {
            self.hold(cx, pkt.bytes);
            return None;
        }
        Some(pkt)
    }

    fn choose_target(&mut self, cx: &Cx<'_>, pkt: &ClassifiedPacket) -> u16 {
        let service = &self.services[pkt.service];
        let entry = self.entries.get_mut(pkt.flow, cx.now);
        entry
            .filter(|e| !e.closed && e.idle_time(cx.now) < SYN_RETRY_WINDOW)
            .map(|e| e.target)
            .filter(|t| service.enabled_target(*t).is_some())
            .unwrap_or_else(|| service.new_target(pkt.bucket))
    }

    /// Relays the packet to the first VM in the ranking that it has not
    /// visited. Returns the packet if there is none.
    fn relay_to_next(
        &mut self,
        cx: &mut Cx<'_>,
        pkt: ClassifiedPacket,
        kind: RelayKind,
    ) -> Option<ClassifiedPacket> {
        let me = &cx.view.me.id;
        let ranking = self.ranking(cx, &pkt);
        let next = ranking
            .iter()
            .find(|id| *id != me && !pkt.path.contains(&vm_tag(id)));
        match next {
            Some(next) if pkt.path.len() < MAX_PATH_LEN => {
                relay_with_path(cx, &pkt, next, kind);
                None
            }
            _ => Some(pkt),
        }
    }

    /// Ranks the VMs that may know the flow. VMs that are not reliable yet come
    /// last.
    pub(super) fn ranking(&self, cx: &Cx<'_>, pkt: &ClassifiedPacket) -> Ranking {
        let service = &self.services[pkt.service];
        let reliable = |m: &Member| self.stability.is_reliable(m);
        let fallback = |m: &Member| {
            let usable = !service.ready || m.state == MemberState::Alive;
            let is_me = m.vm.id == cx.view.me.id;
            usable && !is_me && !self.stability.is_reliable(m)
        };
        let mut ranking = rank(cx.view, reliable, service.hash, pkt.bucket);
        ranking.extend(rank(cx.view, fallback, service.hash, pkt.bucket));
        ranking
    }

    fn answer_requester(&mut self, cx: &mut Cx<'_>, pkt: &ClassifiedPacket, target: u16) {
        let Some(requester) = pkt.path.first() else {
            return;
        };
        if target == NO_TARGET {
            return;
        }
        let location = FlowLocation {
            service: pkt.service as u16,
            target,
            flow: pkt.flow,
        };
        self.queue_answer(cx, *requester, location);
    }

    fn forward_base(&mut self, cx: &mut Cx<'_>, pkt: ClassifiedPacket) {
        let target = self.services[pkt.service].base_target(pkt.bucket);
        if pkt.syn {
            if self.is_disabled(&pkt, target) {
                self.refuse(cx, &pkt);
                return;
            }
            cx.count(Counter::FlowOpened);
        }
        self.forward(cx, pkt, target);
    }

    fn is_disabled(&self, pkt: &ClassifiedPacket, target: u16) -> bool {
        self.services[pkt.service].enabled_target(target).is_none()
    }

    pub(super) fn forward(&mut self, cx: &mut Cx<'_>, pkt: ClassifiedPacket, target: u16) {
        let service: &ServiceFlows = &self.services[pkt.service];
        let Some(target) = service.enabled_target(target) else {
            cx.count(Counter::FlowBroken);
            send_reset(cx, &pkt);
            return;
        };
        cx.count(Counter::PacketForwarded);
        cx.act(Action::Forward {
            to: target.address,
            packet: pkt.bytes,
        });
    }

    fn refuse(&self, cx: &mut Cx<'_>, pkt: &ClassifiedPacket) {
        cx.count(Counter::FlowRefused);
        send_reset(cx, pkt);
    }
}

fn send_reset(cx: &mut Cx<'_>, pkt: &ClassifiedPacket) {
    if let Some(packet) = reply::tcp_reset(&pkt.bytes) {
        cx.act(Action::Reply { packet });
    }
}

/// Relays a packet with this VM appended to its path.
fn relay_with_path(cx: &mut Cx<'_>, pkt: &ClassifiedPacket, to: &VmId, kind: RelayKind) {
    let mut vms = pkt.path.clone();
    vms.push(vm_tag(&cx.view.me.id));
    let header = RelayHeader {
        kind,
        backend: 0,
        vms,
    };
    send_relayed(cx, pkt, to, &header);
}

pub(super) fn send_relayed(
    cx: &mut Cx<'_>,
    pkt: &ClassifiedPacket,
    to: &VmId,
    header: &RelayHeader,
) {
    cx.count(Counter::PacketRelayed);
    cx.act(Action::Relay {
        to: to.clone(),
        packet: header.prepend(&pkt.bytes),
    });
}
