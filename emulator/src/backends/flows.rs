//! The flows that a backend server owns.

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

/// Answers the packets that arrive at `socket`.
pub(super) async fn own(shared: Arc<Shared>, socket: UdpSocket) {
    let mut flows = HashSet::new();
    let mut buf = vec![0u8; 65_536];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(segment) = packet::read(&buf[..len]) else {
            continue;
        };
        let echo = answer(&shared, &mut flows, &segment);
        let bytes = serde_json::to_vec(&echo).unwrap_or_default();
        let _ = socket.send_to(&bytes, segment.payload.reply_to).await;
    }
}

fn answer(shared: &Shared, flows: &mut HashSet<SocketAddr>, segment: &Segment) -> Echo {
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
