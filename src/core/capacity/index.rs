//! An index of the configured backend servers by name and by service.

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

/// The positions of the backend servers in one configuration.
#[derive(Debug, Default)]
pub struct Index {
    /// The generation of the configuration that the index was built from.
    generation: Generation,
    by_name: BTreeMap<BackendId, usize>,
    by_service: BTreeMap<ServiceId, Vec<usize>>,
}

impl Index {
    /// Rebuilds the index if `cfg` is of another generation.
    pub fn update(&mut self, cfg: &Configuration) {
        if self.generation == cfg.generation {
            return;
        }
        *self = Index {
            generation: cfg.generation,
            ..Index::default()
        };
        for (position, backend) in cfg.backends.iter().enumerate() {
            self.by_name.insert(backend.name.clone(), position);
            let positions = self.by_service.entry(backend.service.clone()).or_default();
            positions.push(position);
        }
    }

    /// Returns the backend server called `name`, by a linear search if the
    /// index was built from another configuration.
    pub fn backend<'a>(&self, cfg: &'a Configuration, name: &BackendId) -> Option<&'a Backend> {
        if self.generation != cfg.generation {
            return cfg.backend(name);
        }
        cfg.backends.get(*self.by_name.get(name)?)
    }

    /// Returns the backend servers of `service`.
    ///
    /// Invariant: the index was built from `cfg`.
    pub fn backends_of<'a>(
        &self,
        cfg: &'a Configuration,
        service: &ServiceId,
    ) -> impl Iterator<Item = &'a Backend> {
        let positions = self.by_service.get(service).into_iter().flatten();
        positions.filter_map(|position| cfg.backends.get(*position))
    }
}
