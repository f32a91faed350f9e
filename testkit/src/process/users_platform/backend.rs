//! A backend server over UDP.

use std::{
    collections::BTreeMap,
    net::{
        SocketAddr,
        SocketAddrV4,
        TcpListener,
        UdpSocket, //
    },
    thread,
};

use serde_json::{
    Value as Json,
    json, //
};

use super::packet::{
    Packet,
    flag, //
};

/// A backend server that replies to each data packet with its own name.
#[derive(Debug)]
pub struct BackendServer {
    /// The name in the store.
    pub name: String,
    /// The address for packets over UDP and for probes over TCP.
    pub address: SocketAddr,
}

impl BackendServer {
    /// Starts a backend server. Packets for another key than `key` are ignored.
    /// Replies go to `client_port` at the IP address of the client.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn spawn(key: u32, address: SocketAddr, client_port: u16) -> BackendServer {
        let socket = UdpSocket::bind(address).expect("failed to bind the backend server address");
        // Accepts the TCP connections of health probes.
        let probe_listener =
            TcpListener::bind(address).expect("failed to bind the backend server address");
        thread::spawn(move || while probe_listener.accept().is_ok() {});
        let name = format!("i-{key:08x}");
        let server_name = name.clone();
        thread::spawn(move || {
            let mut flows = BTreeMap::new();
            let mut buf = [0; 2_048];
            while let Ok(len) = socket.recv(&mut buf) {
                let target_key = u64::from_be_bytes(buf[..8].try_into().unwrap_or_default());
                if target_key != u64::from(key) {
                    continue;
                }
                let packet = Packet::decode(&buf[8..len]);
                let reply = build_reply(&server_name, &mut flows, &packet);
                let to = packet.from.map(|a| SocketAddrV4::new(*a.ip(), client_port));
                if let (Some(reply), Some(to)) = (reply, to) {
                    let _ = socket.send_to(&reply.encode(), to);
                }
            }
        });
        BackendServer { name, address }
    }

    /// Returns the spec of the backend server's object in the store.
    pub fn spec(&self, service: &str, zone: &str, state: &str) -> Json {
        json!({
            "service": service, "address": self.address.to_string(), "zone": zone, "version": "v1",
            "concurrency": 4, "state": state, "warmupLeftMs": 0, "sequence": 1, "born": 1,
        })
    }
}

/// Builds the reply to `packet`, if it needs one. `flows` holds the next
/// sequence number of each flow by client address.
fn build_reply(
    name: &str,
    flows: &mut BTreeMap<Option<SocketAddrV4>, u32>,
    packet: &Packet,
) -> Option<Packet> {
    let mut reply = Packet {
        from: packet.to,
        to: packet.from,
        steering_tag: packet.steering_tag,
        ack: packet.seq.wrapping_add(packet.data.len() as u32),
        ..Packet::default()
    };
    if packet.flags & flag::SYN != 0 {
        flows.insert(packet.from, 5_000);
        reply.flags = flag::SYN | flag::ACK;
        reply.seq = 5_000;
        return Some(reply);
    }
    let Some(seq) = flows.get_mut(&packet.from) else {
        reply.flags = flag::RST;
        return Some(reply);
    };
    if packet.data.is_empty() {
        return None;
    }
    reply.flags = flag::ACK;
    reply.seq = *seq;
    reply.data = name.as_bytes().to_vec();
    *seq += reply.data.len() as u32;
    Some(reply)
}
