//! Assignment of flows to backend servers.
//!
//! Most flows need no per-flow state: a base table that is identical on every
//! VM maps the hash bucket of a flow to a backend server. When the
//! configuration changes, new flows of the changed buckets are pinned, which
//! means that two VMs, the homes of the bucket, store their backend server.
//! The other VMs relay packets of unknown flows to a home, which replies with
//! the flow's backend server.

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
use entries::FlowEntries;
use history::HistoryFetch;
use relay::VmTag;
use service::ServiceFlows;
use stability::Stability;
use sync::{
    PinSync,
    PinsResponse, //
};

/// Interval at which expired flows are removed.
const EXPIRY_INTERVAL: Millis = Millis::from_secs(10);

/// Interval at which a VM sends the others its set of alive VMs.
const ALIVE_VMS_INTERVAL: Millis = Millis::from_secs(1);

/// Interval at which a VM that was out of contact is notified of it.
const CONTACT_LOST_INTERVAL: Millis = Millis(200);

/// Minimum time that a stopping VM stays up for requests of the new homes.
const MIN_HANDOVER_TIME: Millis = Millis::from_secs(4);

/// Maximum time that a stopping VM spends sending pinned flows.
const HANDOVER_TIMEOUT: Millis = Millis::from_secs(30);

/// The sender of a packet that arrived at this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketSource {
    /// The network fabric that distributes packets over the VMs.
    Fabric,
    /// Another VM that relayed the packet.
    Peer,
}

/// The flow state machine.
#[derive(Debug, Default)]
pub struct Flows {
    /// All services that were configured at any time.
    ///
    /// Invariant: services are never removed, so that indexes stay valid.
    services: Vec<ServiceFlows>,
    /// Index of each configured service, by the destination of its packets.
    by_address: HashMap<(SocketAddr, Protocol), u16>,
    entries: FlowEntries,
    stability: Stability,
    history: HistoryFetch,
    proposal: Option<Proposal>,
    last_proposal_id: u64,
    answers: Answers,
    sync: PinSync,
    /// Packets that cannot be placed yet.
    ///
    /// Invariant: at most [`hold::MAX_HELD_PACKETS`].
    held: VecDeque<Bytes>,
    next_expiry: Time,
    /// The VMs to notify that they may have missed pinned flows.
    contact_lost: Vec<VmId>,
    next_contact_lost: Time,
    last_alive_vms: Vec<VmTag>,
    next_alive_vms: Time,
    /// When the graceful shutdown of this VM began, if it has.
    stop_began: Option<Time>,
    /// Whether a graceful shutdown has sent all that the new homes requested.
    handed_over: bool,
}

/// Statistics about the size of the flow state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowStats {
    /// Number of flow entries, pinned and cached.
    pub entries: usize,
    /// Allocated memory of the flow entries in bytes.
    pub entry_bytes: usize,
    /// Number of buckets in which flows may differ from the base table.
    pub changed_buckets: usize,
    /// Number of buckets whose pinned flows this VM still has to receive.
    pub wanted_buckets: usize,
    /// Number of services whose history is not known yet.
    pub unready_services: usize,
}

impl Flows {
    /// Creates a state machine without services and flows.
    pub fn open() -> Flows {
        Flows::default()
    }

    /// Returns statistics about the size of the flow state.
    pub fn stats(&self) -> FlowStats {
        FlowStats {
            entries: self.entries.len(),
            entry_bytes: self.entries.allocated_bytes(),
            changed_buckets: self.services.iter().map(|s| s.changed.len()).sum(),
            wanted_buckets: self.services.iter().map(|s| s.wanted.len()).sum(),
            unready_services: self.services.iter().filter(|s| !s.ready).count(),
        }
    }

    /// Returns whether no graceful shutdown is waiting to hand over pinned
    /// flows.
    pub fn is_idle(&self) -> bool {
        self.stop_began.is_none() || self.handed_over
    }

    fn update_handover(&mut self, now: Time) {
        let Some(since) = self.stop_began.map(|t| now.since(t)) else {
            return;
        };
        let nothing_pinned = self.services.iter().all(|s| s.changed.is_empty());
        let sent = since >= MIN_HANDOVER_TIME && self.sync.is_idle();
        self.handed_over = nothing_pinned || sent || since >= HANDOVER_TIMEOUT;
    }

    /// Applies a new configuration.
    pub fn on_configuration(&mut self, cx: &mut Cx<'_>) {
        self.check_for_pause(cx);
        self.by_address.clear();
        for service in &cx.cfg.services {
            let index = match self.service_index(&service.name) {
                Some(index) => index,
                None => {
                    self.services.push(ServiceFlows::open(service, cx.now));
                    self.history.restart(cx.now);
                    self.services.len() - 1
                }
            };
            self.services[index].protocol = service.protocol;
            self.services[index].apply_configuration(cx.cfg);
            let key = (service.address, service.protocol);
            self.by_address.insert(key, index as u16);
        }
        self.advance_activation(cx);
    }

    /// Reacts to a change of the membership view.
    pub fn on_view(&mut self, cx: &mut Cx<'_>) {
        self.check_for_pause(cx);
        let version = self.stability.version();
        let newly_visible = self.stability.update_members(cx.view, cx.now);
        if self.stability.version() != version {
            self.sync.restart();
        }
        if newly_visible.joined.is_empty() && newly_visible.regained.is_empty() {
            return;
        }
        self.history.restart(cx.now);
        for id in &newly_visible.regained {
            if !self.contact_lost.contains(id) {
                self.contact_lost.push(id.clone());
            }
        }
        self.next_contact_lost = cx.now;
        self.send_contact_lost(cx);
        // If most other VMs reappear at once, this VM was the one cut off.
        if newly_visible.regained.len() * 2 > cx.view.others().count() {
            self.invalidate(cx);
        }
    }

    /// Begins a graceful shutdown, during which other VMs fetch the pinned
    /// flows.
    pub fn stop(&mut self, cx: &mut Cx<'_>) {
        self.stop_began = Some(cx.now);
    }

    /// Runs all timers and periodic tasks that are due.
    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        self.on_view(cx);
        self.send_contact_lost(cx);
        self.send_alive_vms(cx);
        self.fetch_history(cx);
        self.release_held(cx);
        self.advance_activation(cx);
        self.sync_pins(cx);
        self.send_answers(cx);
        self.update_handover(cx.now);
        if cx.now >= self.next_expiry {
            self.next_expiry = cx.now + EXPIRY_INTERVAL;
            self.entries.remove_expired(cx.now);
        }
    }

    /// Handles a message from another VM.
    pub fn on_message(&mut self, cx: &mut Cx<'_>, from: &VmId, msg: FlowMessage) {
        self.check_for_pause(cx);
        match msg {
            FlowMessage::Prepare {
                proposal_id,
                services,
            } => {
                self.on_prepare(cx, from, proposal_id, &services);
            }
            FlowMessage::Prepared { proposal_id } => self.on_prepared(cx, from, proposal_id),
            FlowMessage::HistoryRequest { request_id } => {
                self.contact_lost.retain(|id| id != from);
                self.send_history(cx, from, request_id);
            }
            FlowMessage::History {
                request_id,
                services,
            } => {
                self.on_history(cx, from, request_id, services);
            }
            FlowMessage::AliveVms(alive_vms) => self.stability.set_alive_vms(from, alive_vms),
            FlowMessage::ContactLost => self.invalidate(cx),
            FlowMessage::Answers(answers) => self.on_answers(cx, &answers),
            FlowMessage::PinsRequest {
                request_id,
                service,
                buckets,
            } => self.on_pins_request(cx, from, request_id, &service, &buckets),
            FlowMessage::PinsPart {
                request_id,
                part,
                pins,
                complete,
            } => {
                let pins = &pins;
                let response = PinsResponse {
                    request_id,
                    part,
                    pins,
                    complete,
                };
                self.on_pins_part(cx, response);
            }
        }
    }

    /// Forwards, relays or drops one packet.
    pub fn on_packet(&mut self, cx: &mut Cx<'_>, source: PacketSource, packet: Bytes) {
        self.check_for_pause(cx);
        match source {
            PacketSource::Fabric => self.steer(cx, packet),
            PacketSource::Peer => self.steer_relayed(cx, &packet),
        }
    }

    fn check_for_pause(&mut self, cx: &mut Cx<'_>) {
        if self.stability.detect_pause(cx.view) {
            self.invalidate(cx);
        }
    }

    /// Sends the set of alive VMs to all others when it changed or is due.
    fn send_alive_vms(&mut self, cx: &mut Cx<'_>) {
        let alive_vms = self.stability.alive_vms(&cx.view.me.id);
        if cx.now < self.next_alive_vms && alive_vms == self.last_alive_vms {
            return;
        }
        self.next_alive_vms = cx.now + ALIVE_VMS_INTERVAL;
        self.last_alive_vms.clone_from(&alive_vms);
        let view = cx.view;
        for member in view.others() {
            cx.send(&member.vm.id, FlowMessage::AliveVms(alive_vms.clone()));
        }
    }

    /// Notifies VMs that contact with them was lost, until they request the
    /// history.
    fn send_contact_lost(&mut self, cx: &mut Cx<'_>) {
        if cx.now < self.next_contact_lost {
            return;
        }
        self.next_contact_lost = cx.now + CONTACT_LOST_INTERVAL;
        let view = cx.view;
        self.contact_lost.retain(|id| view.member(id).is_some());
        for id in &self.contact_lost {
            cx.send(id, FlowMessage::ContactLost);
        }
    }

    /// Marks the flow state as possibly stale and requests it from other VMs.
    fn invalidate(&mut self, cx: &mut Cx<'_>) {
        for service in &mut self.services {
            service.invalidate(cx.now);
        }
        self.history.restart(cx.now);
        self.sync.restart();
    }

    fn service_index(&self, id: &ServiceId) -> Option<usize> {
        self.services.iter().position(|s| s.id == *id)
    }
}
