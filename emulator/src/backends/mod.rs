//! Emulated backend servers, which accept flows and answer requests.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use actix_rt::net::UdpSocket;
use actix_web::{
    App,
    HttpServer,
    web, //
};

use crate::configuration::{
    Backend,
    Configuration, //
};

pub mod control;
mod flows;
pub mod records;
mod requests;
mod server;

use records::Records;
use server::Server;

/// Timing of the emulated backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// The run time of a request on a warm backend server.
    pub run_time: Duration,
    /// The duration of a cold start. Zero starts the backend server warm.
    pub warm_up: Duration,
    /// The interval at which the reported load is updated.
    pub load_lag: Duration,
}

/// State shared by the packet and request handlers of one backend server.
#[derive(Debug)]
struct Shared {
    spec: Backend,
    service_address: SocketAddr,
    behaviour: Behaviour,
    server: Mutex<Server>,
    records: Arc<Mutex<Records>>,
}

impl Shared {
    fn server(&self) -> MutexGuard<'_, Server> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the backend servers of `cfg` and serves their records at `control`.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn serve(
    cfg: &Configuration,
    behaviour: Behaviour,
    control: SocketAddr,
) -> io::Result<()> {
    let records = Arc::new(Mutex::new(Records::default()));
    let mut backends = Vec::new();
    for spec in &cfg.backends {
        let service = cfg
            .service(&spec.service)
            .ok_or_else(|| io::Error::other(format!("{} has no service", spec.name)))?;
        let shared = Arc::new(Shared {
            spec: spec.clone(),
            service_address: service.address,
            behaviour,
            server: Mutex::new(Server::open(spec.slots, behaviour)),
            records: Arc::clone(&records),
        });
        let socket = UdpSocket::bind(spec.packets).await?;
        actix_rt::spawn(flows::serve(Arc::clone(&shared), socket));
        actix_rt::spawn(requests::report_load(Arc::clone(&shared)));
        backends.push(shared);
    }
    let mut server = HttpServer::new({
        let backends = backends.clone();
        move || {
            App::new()
                .app_data(web::Data::new(backends.clone()))
                .configure(control::routes)
                .default_service(web::to(requests::answer))
        }
    })
    .workers(1)
    .bind(control)?;
    for shared in &backends {
        server = server.bind(shared.spec.requests)?;
    }
    server.run().await
}
