//! Where the packets of a flow go.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::{
    action::Action,
    configuration::{
        Backend,
        Service, //
    },
    counter::Counter,
    cx::Cx,
    names::VmId, //
};

pub mod packet;

pub use packet::Packet;

/// Who handed a packet to this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketSource {
    /// The fabric.
    Fabric,
    /// Another VM.
    Peer,
}

/// A message about flows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FlowMessage {
    /// Asks the receiver to forget nothing; a placeholder that is never sent.
    Nothing,
}

/// The flow state machine.
#[derive(Debug, Default)]
pub struct Flows {}

impl Flows {
    /// Starts with no flows.
    pub fn open() -> Flows {
        Flows::default()
    }

    /// Takes in a new configuration.
    pub fn on_configuration(&mut self, _cx: &mut Cx<'_>) {}

    /// Takes in a change of the view.
    pub fn on_view(&mut self, _cx: &mut Cx<'_>) {}

    /// Hands over what other VMs need before this one stops.
    pub fn stop(&mut self, _cx: &mut Cx<'_>) {}

    /// Does what has become due.
    pub fn tick(&mut self, _cx: &mut Cx<'_>) {}

    /// Takes in a message of another VM.
    pub fn on_message(&mut self, _cx: &mut Cx<'_>, _from: &VmId, _msg: FlowMessage) {}

    /// Steers one packet.
    pub fn on_packet(&mut self, cx: &mut Cx<'_>, _source: PacketSource, packet: Bytes) {
        let Some(parsed) = Packet::parse(&packet) else {
            cx.count(Counter::PacketMalformed);
            return;
        };
        let Some(service) = service_of(cx, &parsed) else {
            cx.count(Counter::PacketUnknownService);
            return;
        };
        let Some(to) = highest_score(cx, service, parsed.flow_hash()) else {
            cx.count(Counter::FlowRefused);
            return;
        };
        if parsed.opens_flow() {
            cx.count(Counter::FlowOpened);
        }
        cx.count(Counter::PacketForwarded);
        cx.act(Action::Forward { to, packet });
    }
}

fn service_of<'a>(cx: &Cx<'a>, packet: &Packet) -> Option<&'a Service> {
    cx.cfg
        .services
        .iter()
        .find(|s| s.address == packet.destination && s.protocol == packet.protocol)
}

fn highest_score(cx: &Cx<'_>, service: &Service, flow: u64) -> Option<SocketAddr> {
    let score = |b: &&Backend| xxh3_64_with_seed(b.name.as_str().as_bytes(), flow);
    cx.cfg
        .backends_of(&service.name)
        .filter(|b| cx.cfg.new_work_share(b) > 0)
        .max_by_key(score)
        .map(|b| b.packets)
}
