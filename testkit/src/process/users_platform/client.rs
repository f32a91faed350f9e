//! A client over UDP.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4,
        UdpSocket, //
    },
    sync::Mutex,
    time::Duration,
};

use super::{
    packet::{
        Packet,
        flag, //
    },
    store::lock,
};

/// A client whose flows share one socket.
pub struct Client {
    socket: UdpSocket,
    ip: Ipv4Addr,
    service: SocketAddrV4,
    unsolicited_resets: Mutex<Vec<u16>>,
}

/// The reply to data sent on a flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Data from the backend server of this name.
    Data(String),
    /// The flow was reset.
    Reset,
    /// Sending failed or no reply arrived before the read timeout.
    Timeout,
}

/// The client's state of an open flow.
#[derive(Clone, Debug)]
pub struct Flow {
    port: u16,
    steering_tag: u32,
    seq: u32,
    ack: u32,
}

impl Client {
    /// Binds a client at `address` whose flows go to `service`.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub fn open(address: SocketAddrV4, service: SocketAddrV4) -> Client {
        let socket = UdpSocket::bind(address).expect("failed to bind the client address");
        let timeout = Some(Duration::from_millis(500));
        socket
            .set_read_timeout(timeout)
            .expect("failed to set the read timeout");
        Client {
            socket,
            ip: *address.ip(),
            service,
            unsolicited_resets: Mutex::default(),
        }
    }

    /// Takes the ports of flows that were reset while the client was not
    /// waiting for a reply on them.
    pub fn take_unsolicited_resets(&self) -> Vec<u16> {
        std::mem::take(&mut lock(&self.unsolicited_resets))
    }

    /// Opens a flow through the VM at `vm`. Returns `None` if the flow is reset
    /// or no reply arrives in time.
    pub fn open_flow(&self, vm: SocketAddr, port: u16) -> Option<Flow> {
        let syn = Packet {
            flags: flag::SYN,
            seq: 100,
            ..self.packet_from(port)
        };
        let reply = self.exchange(vm, &syn)?;
        (reply.flags == flag::SYN | flag::ACK).then_some(Flow {
            port,
            steering_tag: reply.steering_tag,
            seq: 101,
            ack: reply.seq + 1,
        })
    }

    /// Sends data on a flow through the VM at `vm` and waits for the reply.
    pub fn send_data(&self, vm: SocketAddr, flow: &mut Flow) -> Reply {
        let packet = Packet {
            flags: flag::ACK,
            seq: flow.seq,
            ack: flow.ack,
            steering_tag: flow.steering_tag,
            data: b"question".to_vec(),
            ..self.packet_from(flow.port)
        };
        let Some(reply) = self.exchange(vm, &packet) else {
            return Reply::Timeout;
        };
        if reply.flags & flag::RST != 0 {
            return Reply::Reset;
        }
        flow.steering_tag = reply.steering_tag;
        flow.seq += packet.data.len() as u32;
        flow.ack = reply.seq + reply.data.len() as u32;
        Reply::Data(String::from_utf8_lossy(&reply.data).into_owned())
    }

    /// Sends a SYN for a new flow and returns whether the reply is a reset.
    pub fn is_refused(&self, vm: SocketAddr, port: u16) -> bool {
        let syn = Packet {
            flags: flag::SYN,
            ..self.packet_from(port)
        };
        let reply = self.exchange(vm, &syn);
        reply.is_some_and(|r| r.flags == flag::RST)
    }

    fn packet_from(&self, port: u16) -> Packet {
        Packet {
            from: Some(SocketAddrV4::new(self.ip, port)),
            to: Some(self.service),
            ..Packet::default()
        }
    }

    /// Sends `packet` and returns the reply on its flow. Resets of other flows
    /// are recorded.
    fn exchange(&self, vm: SocketAddr, packet: &Packet) -> Option<Packet> {
        self.socket.send_to(&packet.encode(), vm).ok()?;
        let mut buf = [0; 2_048];
        loop {
            let len = self.socket.recv(&mut buf).ok()?;
            let reply = Packet::decode(&buf[..len]);
            if reply.to == packet.from {
                return Some(reply);
            }
            if let Some(to) = reply.to.filter(|_| reply.flags & flag::RST != 0) {
                lock(&self.unsolicited_resets).push(to.port());
            }
        }
    }
}
