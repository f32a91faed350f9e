//! A small deployment for tests of a store that is restored from a copy.

use dragonflytrack::{
    core::steering::{
        store::BackendServer,
        tag::Tag, //
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
