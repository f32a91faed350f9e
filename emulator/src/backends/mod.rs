//! Backend servers: they own flows and answer requests.

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

/// How the backend servers behave.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// How long a request runs on a warm backend server.
    pub run_time: Duration,
    /// How long a backend server is in cold start. Zero starts it warm.
    pub warm_up: Duration,
    /// How old the reported load is.
    pub load_lag: Duration,
}

/// What the services of one backend server share.
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
    let mut fleet = Vec::new();
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
        actix_rt::spawn(flows::own(Arc::clone(&shared), socket));
        actix_rt::spawn(requests::report_load(Arc::clone(&shared)));
        fleet.push(shared);
    }
    let mut server = HttpServer::new({
        let fleet = fleet.clone();
        move || {
            App::new()
                .app_data(web::Data::new(fleet.clone()))
                .configure(control::routes)
                .default_service(web::to(requests::answer))
        }
    })
    .workers(1)
    .bind(control)?;
    for shared in &fleet {
        server = server.bind(shared.spec.requests)?;
    }
    server.run().await
}
