//! Sample objects and packets.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use dragonflytrack::{
    core::{
        names::{
            DataCentreId,
            ServiceId, //
        },
        steering::{
            packet::{
                FlowId,
                Packet,
                Role, //
            },
            store::{
                BackendServer,
                Configuration,
                Route,
                Service,
                Share, //
            },
            tag::{
                BackendKey,
                Tag, //
            },
        },
    },
    kernel::clock::Millis,
};

/// Returns the address of the route in [`configuration`].
pub fn route_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Returns a configuration with one route.
pub fn configuration(version: u64, shares: &[(&str, u32)]) -> Configuration {
    let share = |(name, weight): &(&str, u32)| Share {
        service: ServiceId::new(name),
        weight: *weight,
    };
    let service = |(name, _): &(&str, u32)| Service {
        name: ServiceId::new(name),
        cold_start: Millis(2_000),
        cold_flows_per_second: 0.0,
    };
    Configuration {
        version,
        routes: vec![Route {
            address: route_address(),
            shares: shares.iter().map(share).collect(),
            priority: 0,
            target_latency: Millis(500),
            timeout: Millis(4_000),
        }],
        services: shares.iter().map(service).collect(),
        idle_timeout: Millis(15_000),
    }
}

/// Returns a warm backend server of the service `web`.
pub fn backend(key: u64, data_centre: &str) -> BackendServer {
    BackendServer {
        key: BackendKey(key),
        service: ServiceId::new("web"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 128, 0, (key % 250) as u8 + 1), 8_080),
        data_centre: DataCentreId::new(data_centre),
        slots: 4,
        draining: false,
        cold_for: Millis(0),
        started_unix_ms: 1_000,
    }
}

/// Returns the flow of the client with the given port.
pub fn flow(port: u16) -> FlowId {
    FlowId {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        service: route_address(),
    }
}

/// Returns the opening packet of a flow, with its retransmission number.
pub fn opening(port: u16, copy: u32) -> Packet {
    Packet {
        flow: flow(port),
        tag: None,
        role: Role::Open { copy },
        seq: 100,
        ack: copy,
        len: 0,
    }
}

/// Returns a packet of an open flow with 100 bytes of data.
pub fn data(port: u16, tag: Tag, seq: u32, ack: u32) -> Packet {
    Packet {
        flow: flow(port),
        tag: Some(tag),
        role: Role::Continue {
            closes: false,
            rejects: false,
        },
        seq,
        ack,
        len: 100,
    }
}

/// Returns a packet of an open flow without data.
pub fn acknowledgement(port: u16, tag: Tag, seq: u32, ack: u32) -> Packet {
    Packet {
        len: 0,
        ..data(port, tag, seq, ack)
    }
}
