//! A small deployment for tests of a store that is restored from a copy.

use dragonflytrack::{
    core::{
        names::DataCentreId,
        steering::{
            store::{
                BackendServer,
                Kind,
                Value, //
            },
            tag::Tag, //
        },
    },
    kernel::clock::Millis,
};

use super::{
    Simulation,
    backend, //
};

/// Data centres of the VMs.
pub const DATA_CENTRES: [&str; 6] = ["a", "a", "b", "b", "c", "c"];

/// Number of backend servers.
pub const BACKENDS: u64 = 8;

/// Bound for changes and drains on a small deployment.
pub const BOUND: Millis = Millis(3_000);

/// Returns one of the backend servers.
pub fn server(key: u64) -> BackendServer {
    backend(key, DATA_CENTRES[key as usize % 6])
}

/// Returns the same in drain.
pub fn draining(key: u64) -> BackendServer {
    BackendServer {
        draining: true,
        ..server(key)
    }
}

/// Starts the deployment.
pub fn start_sim() -> Simulation {
    let mut sim = Simulation::start(&DATA_CENTRES);
    sim.configure(1, &[("web", 1)]);
    for key in 1..=BACKENDS {
        sim.put_backend(&server(key));
    }
    sim.run(Millis(4_000));
    sim
}

/// Returns the versions in force at the VMs.
pub fn versions(sim: &mut Simulation) -> Vec<u64> {
    let now = sim.now;
    (0..DATA_CENTRES.len())
        .map(|vm| sim.vm(vm).stats(now).version)
        .collect()
}

/// Returns the backend servers that get new flows of a VM.
pub fn used(sim: &mut Simulation, vm: usize, first_port: u16) -> Vec<Tag> {
    let mut tags: Vec<Tag> = (first_port..first_port + 100)
        .filter_map(|port| sim.place(vm, port))
        .collect();
    tags.sort_unstable();
    tags.dedup();
    tags
}

/// Returns whether a backend server gets new flows of any VM.
pub fn is_used(sim: &mut Simulation, tag: Tag) -> bool {
    (0..DATA_CENTRES.len()).any(|vm| used(sim, vm, 1_000).contains(&tag))
}

/// Writes the evacuation of a data centre.
pub fn evacuate(sim: &mut Simulation, data_centre: &str) {
    let value = Value::Evacuation(DataCentreId::new(data_centre));
    sim.store.put(Kind::Evacuations, data_centre, Some(value));
}

/// Removes the evacuation of a data centre.
pub fn end_evacuation(sim: &mut Simulation, data_centre: &str) {
    sim.store.remove(Kind::Evacuations, data_centre);
}

/// Returns the VMs whose new flows go to backend servers of a data centre.
pub fn senders_to(sim: &mut Simulation, data_centre: &str) -> Vec<usize> {
    /// Ports of one call, so that no flow is opened twice.
    const PORTS: u64 = 100;
    const CALLS: u64 = 500;
    let data_centre = DataCentreId::new(data_centre);
    let servers = (1..=BACKENDS).map(server);
    let tags: Vec<Tag> = servers
        .filter(|s| s.data_centre == data_centre)
        .map(|s| Tag::of(s.key))
        .collect();
    let first_port = 10_000 + sim.now.0 / 5 % CALLS * PORTS;
    (0..DATA_CENTRES.len())
        .filter(|vm| {
            let used = used(sim, *vm, first_port as u16);
            used.iter().any(|tag| tags.contains(tag))
        })
        .collect()
}
