//! Finds backend servers of the configuration in force by name and by service.

use std::collections::BTreeMap;

use crate::core::{
    configuration::{
        Backend,
        Configuration, //
    },
    names::{
        BackendId,
        Generation,
        ServiceId, //
    },
};

/// Where the backend servers of one configuration stand in it.
#[derive(Debug, Default)]
pub struct Index {
    /// The configuration that the index was built from.
    generation: Generation,
    by_name: BTreeMap<BackendId, usize>,
    by_service: BTreeMap<ServiceId, Vec<usize>>,
}

impl Index {
    /// Follows the configuration in force.
    pub fn follow(&mut self, cfg: &Configuration) {
        if self.generation == cfg.generation {
            return;
        }
        *self = Index {
            generation: cfg.generation,
            ..Index::default()
        };
        for (at, backend) in cfg.backends.iter().enumerate() {
            self.by_name.insert(backend.name.clone(), at);
            let places = self.by_service.entry(backend.service.clone()).or_default();
            places.push(at);
        }
    }

    /// Returns the backend server called `name`.
    pub fn backend<'a>(&self, cfg: &'a Configuration, name: &BackendId) -> Option<&'a Backend> {
        if self.generation != cfg.generation {
            return cfg.backend(name);
        }
        cfg.backends.get(*self.by_name.get(name)?)
    }

    /// Returns the backend servers of `service`.
    ///
    /// Invariant: the index follows `cfg`.
    pub fn backends_of<'a>(
        &self,
        cfg: &'a Configuration,
        service: &ServiceId,
    ) -> impl Iterator<Item = &'a Backend> {
        let places = self.by_service.get(service).into_iter().flatten();
        places.filter_map(|at| cfg.backends.get(*at))
    }
}
