//! Where the packets of a flow go.
//!
//! Most flows need no state: a lookup table that is the same on every VM maps
//! the bucket of a flow to its backend server, the bucket's base. When the
//! configuration changes, the new flows of the changed buckets are pinned by
//! two VMs, the homes of the bucket. The other VMs relay what they do not know
//! to a home, which answers where the flow lives.

use std::{
    collections::VecDeque,
    net::SocketAddr, //
};

use bytes::Bytes;
use hashbrown::HashMap;

use crate::{
    core::{
        configuration::Protocol,
        cx::Cx,
        names::{
            ServiceId,
            VmId, //
        },
    },
    kernel::clock::{
        Millis,
        Time, //
    },
};

pub mod activation;
pub mod answers;
pub mod buckets;
pub mod entries;
pub mod history;
pub mod hold;
pub mod homes;
pub mod message;
pub mod packet;
mod pinning;
pub mod relay;
pub mod reply;
pub mod service;
pub mod stability;
pub mod steer;
pub mod sync;
pub mod table;

pub use message::FlowMessage;
pub use packet::PacketHeaders;

use activation::Proposal;
use answers::Answers;
use entries::Entries;
use history::HistoryFetch;
use relay::VmTag;
use service::ServiceFlows;
use stability::Stability;
use sync::{
    PinSync,
    PinsAnswer, //
};

/// How often expired flows are removed.
const SWEEP_INTERVAL: Millis = Millis::from_secs(10);

/// How often VMs tell each other whom they see.
const REACH_INTERVAL: Millis = Millis::from_secs(1);

/// How often a VM is told that it was lost sight of.
const LOST_SIGHT_INTERVAL: Millis = Millis(200);

/// How long a stopping VM waits for questions of the new homes.
const HANDOVER_TIME: Millis = Millis::from_secs(4);

/// How long a stopping VM sends pins at most.
const HANDOVER_TIMEOUT: Millis = Millis::from_secs(30);

/// Who handed a packet to this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketSource {
    /// The fabric.
    Fabric,
    /// Another VM.
    Peer,
}

/// The flow state machine.
#[derive(Debug, Default)]
pub struct Flows {
    /// The services that were ever configured.
    ///
    /// Invariant: only grows, so that an index stays valid.
    services: Vec<ServiceFlows>,
    /// The services in force by the destination of their packets.
    by_address: HashMap<(SocketAddr, Protocol), u16>,
    entries: Entries,
    stability: Stability,
    history: HistoryFetch,
    proposal: Option<Proposal>,
    last_proposal: u64,
    answers: Answers,
    sync: PinSync,
    /// Packets that wait until this VM knows more.
    ///
    /// Invariant: at most [`hold::MAX_HELD`].
    held: VecDeque<Bytes>,
    next_sweep: Time,
    /// The VMs that have to be told that they may have missed pins.
    lost_sight: Vec<VmId>,
    next_lost_sight: Time,
    last_reach: Vec<VmTag>,
    next_reach: Time,
    /// When the planned stop of this VM began.
    stopping: Option<Time>,
    /// Whether the new homes have what they asked for since then.
    handed_over: bool,
}

/// The size of the flow state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowStats {
    /// The flows that are recorded here.
    pub entries: usize,
    /// The memory of these in bytes.
    pub entry_bytes: usize,
    /// The buckets whose new flows have to be recorded or looked up.
    pub changed_buckets: usize,
    /// The buckets whose pins this VM waits for.
    pub wanted_buckets: usize,
    /// The services whose history is not known yet.
    pub unready_services: usize,
}

impl Flows {
    /// Starts with no flows.
    pub fn new() -> Flows {
        Flows::default()
    }

    /// Returns the size of the flow state.
    pub fn stats(&self) -> FlowStats {
        FlowStats {
            entries: self.entries.len(),
            entry_bytes: self.entries.memory(),
            changed_buckets: self.services.iter().map(|s| s.changed.len()).sum(),
            wanted_buckets: self.services.iter().map(|s| s.wanted.len()).sum(),
            unready_services: self.services.iter().filter(|s| !s.ready).count(),
        }
    }

    /// Tells whether a planned stop has handed over what other VMs need.
    pub fn is_idle(&self) -> bool {
        self.stopping.is_none() || self.handed_over
    }

    fn review_handover(&mut self, now: Time) {
        let Some(since) = self.stopping.map(|t| now.since(t)) else {
            return;
        };
        let nothing_pinned = self.services.iter().all(|s| s.changed.is_empty());
        let sent = since >= HANDOVER_TIME && self.sync.is_idle();
        self.handed_over = nothing_pinned || sent || since >= HANDOVER_TIMEOUT;
    }

    /// Takes in a new configuration.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>) {
        self.notice_pause(cx);
        self.by_address.clear();
        for service in &cx.cfg.services {
            let at = match self.service_named(&service.name) {
                Some(at) => at,
                None => {
                    self.services.push(ServiceFlows::open(service, cx.now));
                    self.history.restart(cx.now);
                    self.services.len() - 1
                }
            };
            self.services[at].protocol = service.protocol;
            self.services[at].learn(cx.cfg);
            let key = (service.address, service.protocol);
            self.by_address.insert(key, at as u16);
        }
        self.advance_activation(cx);
    }

    /// Takes in a change of the view.
    pub fn on_view(&mut self, cx: &mut Cx<'_>) {
        self.notice_pause(cx);
        let version = self.stability.version();
        let gained = self.stability.notice_members(cx.view, cx.now);
        if self.stability.version() != version {
            self.sync.restart();
        }
        if gained.joined.is_empty() && gained.regained.is_empty() {
            return;
        }
        self.history.restart(cx.now);
        for id in &gained.regained {
            if !self.lost_sight.contains(id) {
                self.lost_sight.push(id.clone());
            }
        }
        self.next_lost_sight = cx.now;
        self.tell_lost_sight(cx);
        // Most others came back at once: it was this VM that was cut off.
        if gained.regained.len() * 2 > cx.view.others().count() {
            self.distrust(cx);
        }
    }

    /// Hands over what other VMs need before this one stops.
    pub fn stop(&mut self, cx: &mut Cx<'_>) {
        self.stopping = Some(cx.now);
    }

    /// Does what has become due.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.on_view(cx);
        self.tell_lost_sight(cx);
        self.tell_reach(cx);
        self.fetch_history(cx);
        self.release_held(cx);
        self.advance_activation(cx);
        self.sync_pins(cx);
        self.send_answers(cx);
        self.review_handover(cx.now);
        if cx.now >= self.next_sweep {
            self.next_sweep = cx.now + SWEEP_INTERVAL;
            self.entries.sweep(cx.now);
        }
    }

    /// Takes in a message of another VM.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, from: &VmId, msg: FlowMessage) {
        self.notice_pause(cx);
        match msg {
            FlowMessage::Prepare { number, services } => {
                self.on_prepare(cx, from, number, &services);
            }
            FlowMessage::Prepared { number } => self.on_prepared(cx, from, number),
            FlowMessage::HistoryWanted { number } => {
                self.lost_sight.retain(|id| id != from);
                self.send_history(cx, from, number);
            }
            FlowMessage::History { number, services } => {
                self.on_history(cx, from, number, services);
            }
            FlowMessage::Reach(reach) => self.stability.note_reach(from, reach),
            FlowMessage::LostSight => self.distrust(cx),
            FlowMessage::Answers(answers) => self.on_answers(cx, &answers),
            FlowMessage::PinsWanted {
                number,
                service,
                buckets,
            } => self.on_pins_wanted(cx, from, number, &service, &buckets),
            FlowMessage::PinsPart {
                number,
                part,
                pins,
                complete,
            } => {
                let pins = &pins;
                let answer = PinsAnswer {
                    number,
                    part,
                    pins,
                    complete,
                };
                self.on_pins_part(cx, answer);
            }
        }
    }

    /// Steers one packet.
    pub fn on_packet(&mut self, cx: &mut Cx<'_>, source: PacketSource, packet: Bytes) {
        self.notice_pause(cx);
        match source {
            PacketSource::Fabric => self.steer(cx, packet),
            PacketSource::Peer => self.steer_relayed(cx, &packet),
        }
    }

    fn notice_pause(&mut self, cx: &mut Cx<'_>) {
        if self.stability.notice_pause(cx.view) {
            self.distrust(cx);
        }
    }

    /// Tells the other VMs whom this one sees.
    fn tell_reach(&mut self, cx: &mut Cx<'_>) {
        let reach = self.stability.reach(&cx.view.me.id);
        if cx.now < self.next_reach && reach == self.last_reach {
            return;
        }
        self.next_reach = cx.now + REACH_INTERVAL;
        self.last_reach.clone_from(&reach);
        let view = cx.view;
        for member in view.others() {
            cx.send(&member.vm.id, FlowMessage::Reach(reach.clone()));
        }
    }

    /// Tells VMs that were lost sight of, until they ask for the history.
    fn tell_lost_sight(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.next_lost_sight {
            return;
        }
        self.next_lost_sight = cx.now + LOST_SIGHT_INTERVAL;
        let view = cx.view;
        self.lost_sight.retain(|id| view.member(id).is_some());
        for id in &self.lost_sight {
            cx.send(id, FlowMessage::LostSight);
        }
    }

    /// Asks the other VMs before what this one knows is used again.
    fn distrust(&mut self, cx: &mut Cx<'_>) {
        for service in &mut self.services {
            service.distrust(cx.now);
        }
        self.history.restart(cx.now);
        self.sync.restart();
    }

    fn service_named(&self, id: &ServiceId) -> Option<usize> {
        self.services.iter().position(|s| s.id == *id)
    }
}
