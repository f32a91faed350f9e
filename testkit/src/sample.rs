//! Sample configurations at the size of current deployments.

use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

use dragonflytrack::core::{
    configuration::{
        Backend,
        BackendState,
        Configuration,
        DataCentre,
        DataCentreState,
        Protocol,
        Service, //
    },
    names::{
        BackendId,
        DataCentreId,
        Generation,
        ServiceId, //
    },
};

/// The data centres of the Cymru deployment.
pub const CYMRU: [&str; 3] = ["caerdydd", "abertawe", "wrecsam"];

/// The data centres of the Hu-central deployment.
pub const HU_CENTRAL: [&str; 3] = ["bud-a", "bud-b", "bud-c"];

/// The parameters of a service and its backend servers, for [`configuration`].
#[derive(Clone, Copy, Debug)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: &'static str,
    /// The number of backend servers, distributed over the data centres.
    pub backends: u8,
    /// The number of requests that each backend server can run concurrently.
    pub slots: u32,
    /// The number of connections that each backend server can hold.
    pub connections: u32,
}

/// The services of the Cymru deployment.
pub const CYMRU_SERVICES: [ServiceSpec; 2] = [
    ServiceSpec {
        name: "bench-diary",
        backends: 15,
        slots: 4,
        connections: 2_000,
    },
    ServiceSpec {
        name: "quote-desk",
        backends: 4,
        slots: 4,
        connections: 2_000,
    },
];

/// The services of the Hu-central deployment.
pub const HU_CENTRAL_SERVICES: [ServiceSpec; 2] = [
    ServiceSpec {
        name: "fitting-svc",
        backends: 15,
        slots: 2,
        connections: 2_000,
    },
    ServiceSpec {
        name: "lookbook-svc",
        backends: 4,
        slots: 2,
        connections: 2_000,
    },
];

/// Builds a configuration of generation 1 with all data centres in service.
pub fn configuration(data_centres: &[&str], services: &[ServiceSpec]) -> Configuration {
    let mut cfg = Configuration {
        generation: Generation(1),
        ..Configuration::default()
    };
    for name in data_centres {
        cfg.data_centres.push(DataCentre {
            name: DataCentreId::new(name),
            state: DataCentreState::In,
            share: 100,
        });
    }
    for (at, spec) in services.iter().enumerate() {
        add_service(&mut cfg, at as u8, *spec);
    }
    cfg.services.sort_by(|a, b| a.name.cmp(&b.name));
    cfg.backends.sort_by(|a, b| a.name.cmp(&b.name));
    cfg.data_centres.sort_by(|a, b| a.name.cmp(&b.name));
    cfg
}

fn add_service(cfg: &mut Configuration, at: u8, spec: ServiceSpec) {
    const PACKETS_PORT: u16 = 6_080;
    const REQUESTS_PORT: u16 = 8_080;
    let name = ServiceId::new(spec.name);
    cfg.services.push(Service {
        name: name.clone(),
        address: SocketAddr::from((Ipv4Addr::new(198, 51, 100, at + 1), 443)),
        protocol: Protocol::Tcp,
    });
    for n in 0..spec.backends {
        let host = Ipv4Addr::new(10, 1, at, n + 1);
        let data_centre = &cfg.data_centres[n as usize % cfg.data_centres.len()];
        cfg.backends.push(Backend {
            name: BackendId::new(format!("{}-{n:02}", spec.name)),
            service: name.clone(),
            data_centre: data_centre.name.clone(),
            packets: SocketAddr::from((host, PACKETS_PORT)),
            requests: SocketAddr::from((host, REQUESTS_PORT)),
            slots: spec.slots,
            connections: spec.connections,
            state: BackendState::Active,
        });
    }
}
