//! Backend servers: they own flows and answer requests.

use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    str::FromStr,
    sync::Arc, //
};

use actix_rt::net::UdpSocket;
use actix_web::{
    App,
    HttpResponse,
    HttpServer,
    web, //
};

use crate::packet::{
    self,
    Echo, //
};

/// A backend server's name and addresses.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The name.
    pub name: String,
    /// The UDP address for encapsulated packets.
    pub packets: SocketAddr,
    /// The HTTP address for requests.
    pub requests: SocketAddr,
}

impl FromStr for Spec {
    type Err = String;

    fn from_str(text: &str) -> Result<Spec, String> {
        let parse = || {
            let (name, addresses) = text.split_once('=')?;
            let (packets, requests) = addresses.split_once(',')?;
            Some(Spec {
                name: name.to_owned(),
                packets: packets.parse().ok()?,
                requests: requests.parse().ok()?,
            })
        };
        parse().ok_or_else(|| format!("{text:?} is not NAME=IP:PORT,IP:PORT"))
    }
}

/// Runs the backend servers `specs`.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn serve(specs: &[Spec]) -> io::Result<()> {
    let mut servers = Vec::new();
    for spec in specs {
        let socket = UdpSocket::bind(spec.packets).await?;
        actix_rt::spawn(own_flows(spec.name.clone(), socket));
        let name = Arc::new(spec.name.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(Arc::clone(&name)))
                .default_service(web::to(answer))
        })
        .workers(1)
        .bind(spec.requests)?
        .run();
        servers.push(server);
    }
    futures_util::future::try_join_all(servers).await?;
    Ok(())
}

async fn answer(name: web::Data<Arc<String>>, body: web::Bytes) -> HttpResponse {
    let text = String::from_utf8_lossy(&body);
    HttpResponse::Ok().body(format!("{} {text}", name.as_str()))
}

async fn own_flows(name: String, socket: UdpSocket) {
    let mut flows = HashSet::new();
    let mut buf = vec![0u8; 65_536];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(segment) = packet::read(&buf[..len]) else {
            continue;
        };
        if segment.syn {
            flows.insert(segment.source_port);
        }
        let echo = Echo {
            backend: name.clone(),
            flow: segment.payload.flow,
            packet: segment.payload.packet,
            known: flows.contains(&segment.source_port),
        };
        let bytes = serde_json::to_vec(&echo).unwrap_or_default();
        let _ = socket.send_to(&bytes, segment.payload.reply_to).await;
    }
}
