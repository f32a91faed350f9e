//! Packet handling of an emulated backend server.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::Arc, //
};

use actix_rt::net::UdpSocket;

use super::Shared;
use crate::packet::{
    self,
    Echo,
    Segment, //
};

/// Tracks flows and echoes each packet that arrives at `socket`.
pub(super) async fn serve(shared: Arc<Shared>, socket: UdpSocket) {
    let mut flows = HashSet::new();
    let mut buf = vec![0u8; 65_536];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(segment) = packet::parse(&buf[..len]) else {
            continue;
        };
        let echo = echo_for(&shared, &mut flows, &segment);
        let bytes = serde_json::to_vec(&echo).unwrap_or_default();
        let _ = socket.send_to(&bytes, segment.payload.reply_to).await;
    }
}

fn echo_for(shared: &Shared, flows: &mut HashSet<SocketAddr>, segment: &Segment) -> Echo {
    let mut records = shared.records();
    let record = records.backend(&shared.spec.name);
    if segment.destination != shared.service_address {
        record.packets_crossed += 1;
    }
    if segment.syn && flows.insert(segment.source) {
        record.flows_opened += 1;
    }
    let known = flows.contains(&segment.source);
    if !known {
        record.packets_stray += 1;
    }
    Echo {
        backend: shared.spec.name.clone(),
        flow: segment.payload.flow,
        packet: segment.payload.packet,
        known,
    }
}
