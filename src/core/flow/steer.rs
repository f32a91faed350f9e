//! The decision about one packet.

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
            answers::Place,
            buckets::bucket_of,
            entries::EntryKind,
            homes::{
                Ranking,
                rank, //
            },
            relay::{
                MAX_PATH,
                Path,
                RelayHeader,
                RelayKind,
                tag, //
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

/// How long after a pause packets arrive that were sent before it. A SYN among
/// them may belong to a flow that was opened through another VM since.
const STALE_TIME: Millis = Millis(500);

/// How long a repeated SYN goes to the backend server of the first one.
const SYN_REPEAT_TIME: Millis = Millis::from_secs(60);

/// How long an established UDP flow may be silent.
const UDP_IDLE: Millis = Millis::from_secs(60);

/// How often the second home is told that a pin is still in use.
const MIRROR_INTERVAL: Millis = Millis::from_secs(1_800);

/// A packet with what was found out about it.
pub(super) struct Job {
    pub(super) service: usize,
    pub(super) flow: u64,
    pub(super) bucket: usize,
    pub(super) syn: bool,
    pub(super) closing: bool,
    /// The VMs of the header that the packet came with.
    pub(super) path: Path,
    pub(super) packet: Bytes,
}

impl Flows {
    /// Steers a packet of the fabric.
    pub(super) fn steer(&mut self, cx: &mut Cx<'_>, packet: Bytes) {
        let Some(job) = self.read(cx, packet, Path::new()) else {
            return;
        };
        if job.syn && self.stability.since_pause(cx.now) < STALE_TIME {
            cx.count(Counter::PacketStale);
            return;
        }
        let service = &self.services[job.service];
        if service.ready && !service.changed.contains(job.bucket) {
            self.forward_base(cx, job);
        } else if job.syn {
            self.entries.remove_cached(job.flow);
            self.forward_home(cx, job, RelayKind::Open);
        } else {
            self.steer_established(cx, job);
        }
    }

    /// Steers a packet that another VM relayed.
    pub(super) fn steer_relayed(&mut self, cx: &mut Cx<'_>, relayed: &Bytes) {
        let Some((header, packet)) = RelayHeader::split(relayed) else {
            cx.count(Counter::PacketMalformed);
            return;
        };
        let Some(job) = self.read(cx, packet, header.vms) else {
            return;
        };
        match header.kind {
            RelayKind::Lookup => self.look_up(cx, job),
            RelayKind::Open => self.open_flow(cx, job),
            RelayKind::Record => self.record(cx, job, header.backend),
            RelayKind::Note => self.note_flow(cx, &job, header.backend),
        }
    }

    fn read(&self, cx: &mut Cx<'_>, packet: Bytes, path: Path) -> Option<Job> {
        let Some(parsed) = PacketHeaders::parse(&packet) else {
            cx.count(Counter::PacketMalformed);
            return None;
        };
        let key = (parsed.destination, parsed.protocol);
        let Some(service) = self.by_address.get(&key) else {
            cx.count(Counter::PacketUnknownService);
            return None;
        };
        let flow = parsed.flow_hash();
        Some(Job {
            service: usize::from(*service),
            flow,
            bucket: bucket_of(flow),
            syn: parsed.syn,
            closing: parsed.closing,
            path,
            packet,
        })
    }

    fn steer_established(&mut self, cx: &mut Cx<'_>, job: Job) {
        let Some(entry) = self.entries.get_mut(job.flow, cx.now) else {
            self.forward_home(cx, job, RelayKind::Lookup);
            return;
        };
        entry.touch(cx.now, job.closing);
        let target = entry.target;
        let service = &self.services[job.service];
        if job.closing && service.is_off_base(job.flow, target) {
            // The homes have to know that the pin will be of no more use.
            self.forward_home(cx, job, RelayKind::Lookup);
        } else {
            self.forward(cx, job, target);
        }
    }

    fn forward_home(&mut self, cx: &mut Cx<'_>, job: Job, kind: RelayKind) {
        let ranking = self.ranking(cx, &job);
        let me = &cx.view.me.id;
        let ready = self.services[job.service].ready;
        let home = match ranking.first() {
            Some(first) if first == me && !ready => ranking.get(1),
            first => first.filter(|id| *id != me),
        };
        if let Some(home) = home {
            relay_visited(cx, &job, home, kind);
            return;
        }
        match kind {
            RelayKind::Open => self.open_flow(cx, job),
            _ => self.look_up(cx, job),
        }
    }

    /// Finds the backend server of an established flow.
    fn look_up(&mut self, cx: &mut Cx<'_>, job: Job) {
        if let Some(entry) = self.entries.get_mut(job.flow, cx.now) {
            let stale = entry.idle(cx.now) >= MIRROR_INTERVAL;
            let is_pin = entry.kind == EntryKind::Pin;
            entry.touch(cx.now, job.closing);
            let target = entry.target;
            self.answer_asker(cx, &job, target);
            if is_pin && (stale || job.closing) {
                self.mirror(cx, job, target);
            } else {
                self.forward(cx, job, target);
            }
            return;
        }
        if self.is_sure(cx, &job) {
            self.place_unregistered(cx, job);
            return;
        }
        let Some(job) = self.pass_on(cx, job, RelayKind::Lookup) else {
            return;
        };
        if self.is_waiting(job.service, cx.now) {
            self.hold(cx, job.packet);
            return;
        }
        cx.count(Counter::FlowGuessed);
        self.forward_base(cx, job);
    }

    /// Tells whether a flow that is not recorded here is not registered.
    fn is_sure(&self, cx: &Cx<'_>, job: &Job) -> bool {
        let service = &self.services[job.service];
        if !service.ready {
            return false;
        }
        !service.changed.contains(job.bucket)
            || (service.complete.contains(job.bucket) && self.stability.is_settled(cx.now))
    }

    fn place_unregistered(&mut self, cx: &mut Cx<'_>, job: Job) {
        let service = &self.services[job.service];
        let base = service.base_target(job.bucket);
        let moved = base != service.new_target(job.bucket);
        if service.protocol == Protocol::Udp && moved {
            self.place_datagram(cx, job);
            return;
        }
        self.answer_asker(cx, &job, base);
        self.forward_base(cx, job);
    }

    /// Places a flow without a SYN: it is established if it sends soon after
    /// the change.
    fn place_datagram(&mut self, cx: &mut Cx<'_>, job: Job) {
        let service = &self.services[job.service];
        let target = if cx.now.since(service.activated) < UDP_IDLE {
            service.base_target(job.bucket)
        } else {
            service.new_target(job.bucket)
        };
        self.answer_asker(cx, &job, target);
        self.pin_at_home(cx, &job, target);
        self.mirror(cx, job, target);
    }

    /// Assigns a new flow to a backend server.
    fn open_flow(&mut self, cx: &mut Cx<'_>, job: Job) {
        let Some(job) = self.find_opener(cx, job) else {
            return;
        };
        let target = self.choose(cx, &job);
        let service = &self.services[job.service];
        if service.open_target(target).is_none() {
            self.refuse(cx, &job);
            return;
        }
        cx.count(Counter::FlowOpened);
        // Another VM may have recorded an attempt that did not get through.
        let may_be_recorded = self.entries.remove(job.flow) || !self.is_sure(cx, &job);
        if may_be_recorded || self.services[job.service].is_off_base(job.flow, target) {
            cx.count(Counter::FlowPinned);
            self.pin_at_home(cx, &job, target);
            self.mirror(cx, job, target);
        } else {
            self.forward(cx, job, target);
        }
    }

    /// Returns the packet if this VM may assign its flow.
    fn find_opener(&mut self, cx: &mut Cx<'_>, job: Job) -> Option<Job> {
        if self.services[job.service].ready {
            return Some(job);
        }
        let job = self.pass_on(cx, job, RelayKind::Open)?;
        if self.is_waiting(job.service, cx.now) {
            self.hold(cx, job.packet);
            return None;
        }
        Some(job)
    }

    fn choose(&mut self, cx: &Cx<'_>, job: &Job) -> u16 {
        let service = &self.services[job.service];
        let known = self.entries.get_mut(job.flow, cx.now);
        known
            .filter(|e| !e.closed && e.idle(cx.now) < SYN_REPEAT_TIME)
            .map(|e| e.target)
            .filter(|t| service.open_target(*t).is_some())
            .unwrap_or_else(|| service.new_target(job.bucket))
    }

    /// Relays the packet to the VM that is asked after this one. Returns the
    /// packet if there is none.
    fn pass_on(&mut self, cx: &mut Cx<'_>, job: Job, kind: RelayKind) -> Option<Job> {
        let me = &cx.view.me.id;
        let ranking = self.ranking(cx, &job);
        let next = ranking
            .iter()
            .find(|id| *id != me && !job.path.contains(&tag(id)));
        match next {
            Some(next) if job.path.len() < MAX_PATH => {
                relay_visited(cx, &job, next, kind);
                None
            }
            _ => Some(job),
        }
    }

    /// Ranks the VMs to ask. Those that are no homes yet come last.
    pub(super) fn ranking(&self, cx: &Cx<'_>, job: &Job) -> Ranking {
        let service = &self.services[job.service];
        let reliable = |m: &Member| self.stability.is_reliable(m);
        let rest = |m: &Member| {
            let usable = !service.ready || m.state == MemberState::Alive;
            let is_me = m.vm.id == cx.view.me.id;
            usable && !is_me && !self.stability.is_reliable(m)
        };
        let mut ranking = rank(cx.view, reliable, service.hash, job.bucket);
        ranking.extend(rank(cx.view, rest, service.hash, job.bucket));
        ranking
    }

    fn answer_asker(&mut self, cx: &mut Cx<'_>, job: &Job, target: u16) {
        let Some(asker) = job.path.first() else {
            return;
        };
        if target == NO_TARGET {
            return;
        }
        let place = Place {
            service: job.service as u16,
            target,
            flow: job.flow,
        };
        self.answer(cx, *asker, place);
    }

    fn forward_base(&mut self, cx: &mut Cx<'_>, job: Job) {
        let target = self.services[job.service].base_target(job.bucket);
        if job.syn {
            if self.is_closed(&job, target) {
                self.refuse(cx, &job);
                return;
            }
            cx.count(Counter::FlowOpened);
        }
        self.forward(cx, job, target);
    }

    fn is_closed(&self, job: &Job, target: u16) -> bool {
        self.services[job.service].open_target(target).is_none()
    }

    pub(super) fn forward(&mut self, cx: &mut Cx<'_>, job: Job, target: u16) {
        let service: &ServiceFlows = &self.services[job.service];
        let Some(target) = service.open_target(target) else {
            cx.count(Counter::FlowBroken);
            reply_reset(cx, &job);
            return;
        };
        cx.count(Counter::PacketForwarded);
        cx.act(Action::Forward {
            to: target.address,
            packet: job.packet,
        });
    }

    fn refuse(&self, cx: &mut Cx<'_>, job: &Job) {
        cx.count(Counter::FlowRefused);
        reply_reset(cx, job);
    }
}

fn reply_reset(cx: &mut Cx<'_>, job: &Job) {
    if let Some(packet) = reply::reset(&job.packet) {
        cx.act(Action::Reply { packet });
    }
}

/// Relays a packet to a VM that it has not visited.
fn relay_visited(cx: &mut Cx<'_>, job: &Job, to: &VmId, kind: RelayKind) {
    let mut vms = job.path.clone();
    vms.push(tag(&cx.view.me.id));
    let header = RelayHeader {
        kind,
        backend: 0,
        vms,
    };
    relay(cx, job, to, &header);
}

pub(super) fn relay(cx: &mut Cx<'_>, job: &Job, to: &VmId, header: &RelayHeader) {
    cx.count(Counter::PacketRelayed);
    cx.act(Action::Relay {
        to: to.clone(),
        packet: header.prepend(&job.packet),
    });
}
