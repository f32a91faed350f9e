//! Flow placement state of one service on one VM.

use std::net::SocketAddr;

use crate::{
    core::{
        configuration::{
            Configuration,
            Protocol,
            Service, //
        },
        flow::{
            buckets::{
                BUCKET_COUNT,
                BucketSet,
                bucket_of, //
            },
            message::{
                ServiceChange,
                ServiceHistory,
                TargetInfo, //
            },
            table::{
                Candidate,
                LookupTable,
                NO_TARGET, //
            },
        },
        names::{
            BackendId,
            Generation,
            ServiceId, //
        },
    },
    kernel::clock::Time,
};

/// A backend server that flows of the service may be assigned to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the backend server.
    pub name: BackendId,
    /// Hash of the name.
    pub hash: u64,
    /// Destination address of forwarded packets.
    pub address: SocketAddr,
    /// Whether it must not receive packets, because it was removed or its data
    /// centre is out.
    pub disabled: bool,
}

/// Flow placement state of one service.
///
/// Flows that no VM has pinned are assigned by `base`. A flow may be assigned
/// to another backend server only if its bucket is in `changed` on every VM.
#[derive(Debug)]
pub struct ServiceFlows {
    /// Name of the service.
    pub id: ServiceId,
    /// Hash of the name.
    pub hash: u64,
    /// Transport protocol of the service.
    pub protocol: Protocol,
    /// All backend servers that the service has had.
    ///
    /// Invariant: targets are never removed, so that indexes stay valid.
    pub targets: Vec<Target>,
    /// The table that assigns unpinned flows.
    pub base: LookupTable,
    /// The configuration generation that `base` was computed from, or zero
    /// while the base is unknown.
    pub base_generation: Generation,
    /// The table computed from the newest configuration.
    pub current: LookupTable,
    /// The table that is being proposed to the other VMs.
    pub proposed: LookupTable,
    /// The table that assigns new flows.
    pub active: LookupTable,
    /// When `active` last changed.
    pub activated_at: Time,
    /// The buckets in which flows may be assigned to other backend servers than
    /// `base` says.
    ///
    /// Invariant: contains every bucket in which `current` or `active` differs
    /// from `base`, and never shrinks.
    pub changed: BucketSet,
    /// The buckets for which this VM has all pinned flows.
    pub complete: BucketSet,
    /// The buckets that this VM is a home of and whose pinned flows it still
    /// has to receive.
    pub wanted: BucketSet,
    /// Whether `base` and `changed` are as recent as on the other VMs.
    pub ready: bool,
    /// When the service was first configured here or its state last became
    /// stale.
    pub unready_since: Time,
}

impl ServiceFlows {
    /// Creates the state of a service without backend servers.
    pub fn open(service: &Service, now: Time) -> ServiceFlows {
        ServiceFlows {
            id: service.name.clone(),
            hash: service.name.hash64(),
            protocol: service.protocol,
            targets: Vec::new(),
            base: LookupTable::empty(),
            base_generation: Generation::default(),
            current: LookupTable::empty(),
            proposed: LookupTable::empty(),
            active: LookupTable::empty(),
            activated_at: now,
            changed: BucketSet::default(),
            complete: BucketSet::default(),
            wanted: BucketSet::default(),
            ready: false,
            unready_since: now,
        }
    }

    /// Applies a new configuration. New flows continue to use the active table.
    pub fn apply_configuration(&mut self, cfg: &Configuration) {
        self.update_targets(cfg);
        self.current = self.build_table(cfg);
        if self.base_generation > Generation::default() {
            self.mark_changed();
        }
    }

    fn update_targets(&mut self, cfg: &Configuration) {
        for target in &mut self.targets {
            target.disabled = cfg.backend(&target.name).is_none_or(|b| cfg.is_out(b));
        }
        let id = self.id.clone();
        for backend in cfg.backends_of(&id) {
            let index = self.intern(&backend.name, backend.packets);
            self.targets[usize::from(index)].address = backend.packets;
            self.targets[usize::from(index)].disabled = cfg.is_out(backend);
        }
    }

    fn build_table(&self, cfg: &Configuration) -> LookupTable {
        let mut candidates = Vec::new();
        for backend in cfg.backends_of(&self.id) {
            let Some(target) = self.target_index(backend.name.hash64()) else {
                continue;
            };
            let share = u64::from(cfg.new_work_share(backend));
            candidates.push(Candidate {
                name: &backend.name,
                target,
                weight: share * u64::from(backend.connections),
            });
        }
        LookupTable::build(&candidates)
    }

    /// Marks the buckets in which the current table differs from the base.
    fn mark_changed(&mut self) {
        for bucket in 0..BUCKET_COUNT {
            if self.current.get(bucket) != self.base.get(bucket) {
                self.changed.insert(bucket);
            }
        }
    }

    /// Returns whether the active table is older than the current one.
    pub fn is_outdated(&self) -> bool {
        self.base_generation > Generation::default() && self.active != self.current
    }

    /// Takes the current table as the one to propose to the other VMs.
    pub fn propose(&mut self) {
        self.proposed = self.current.clone();
    }

    /// Uses the proposed table for new flows.
    pub fn activate(&mut self, now: Time) {
        if self.active != self.proposed {
            self.active = self.proposed.clone();
            self.activated_at = now;
        }
    }

    /// Starts the history of the service with the current table as its base,
    /// assuming that no flow has been opened yet.
    pub fn start_history(&mut self, generation: Generation, now: Time) {
        self.base = self.current.clone();
        self.base_generation = generation;
        self.changed = BucketSet::default();
        self.complete = BucketSet::all();
        self.propose();
        self.activate(now);
        self.ready = true;
    }

    /// Marks the state as possibly stale until other VMs have confirmed it.
    pub fn invalidate(&mut self, now: Time) {
        self.ready = false;
        self.unready_since = now;
        let changed = self.changed.clone();
        self.complete.subtract(&changed);
    }

    /// Merges the history that another VM sent.
    pub fn merge_history(&mut self, history: ServiceHistory, now: Time) {
        let target_indices = self.intern_all(&history.change.targets);
        let Some(base) = remap_targets(&history.base, &target_indices) else {
            return;
        };
        let mut added = history.change.changed;
        if self.base_generation == Generation::default()
            || history.base_generation < self.base_generation
        {
            self.adopt_base(base, history.base_generation, now);
        } else if base != self.base {
            added.union_with(&difference(&base, &self.base));
        }
        self.add_changed(&added, false);
    }

    fn adopt_base(&mut self, base: LookupTable, base_generation: Generation, now: Time) {
        let was_known = self.base_generation > Generation::default();
        if was_known {
            self.changed.union_with(&difference(&base, &self.base));
            self.complete.subtract(&self.changed.clone());
        } else {
            self.complete = BucketSet::all();
        }
        self.proposed = base.clone();
        self.base = base;
        self.base_generation = base_generation;
        self.mark_changed();
        self.complete.subtract(&self.changed.clone());
        self.activate(now);
    }

    /// Marks the buckets that another VM proposes to change. `unused` is set if
    /// no flow has used the new entries yet.
    pub fn merge_change(&mut self, change: &ServiceChange, unused: bool) {
        self.intern_all(&change.targets);
        let unused = unused && self.ready;
        self.add_changed(&change.changed, unused);
    }

    fn add_changed(&mut self, added: &BucketSet, unused: bool) {
        let mut new = added.clone();
        new.subtract(&self.changed);
        self.changed.union_with(&new);
        if !unused {
            self.complete.subtract(&new);
        }
    }

    /// Returns the changed buckets and targets for other VMs.
    pub fn change(&self) -> ServiceChange {
        ServiceChange {
            service: self.id.clone(),
            changed: self.changed.clone(),
            targets: self.targets.iter().map(Target::info).collect(),
        }
    }

    /// Returns the history of the service for other VMs.
    pub fn history(&self) -> ServiceHistory {
        ServiceHistory {
            change: self.change(),
            base: self.base.entries().to_vec(),
            base_generation: self.base_generation,
        }
    }

    /// Returns the target of unpinned flows of `bucket`, or of new flows while
    /// the base is unknown.
    pub fn base_target(&self, bucket: usize) -> u16 {
        if self.base_generation > Generation::default() {
            self.base.get(bucket)
        } else {
            self.current.get(bucket)
        }
    }

    /// Returns the target of new flows of `bucket`.
    pub fn new_target(&self, bucket: usize) -> u16 {
        if self.base_generation > Generation::default() {
            self.active.get(bucket)
        } else {
            self.current.get(bucket)
        }
    }

    /// Returns whether `flow` must be pinned if it is assigned to `target`.
    pub fn needs_pin(&self, flow: u64, target: u16) -> bool {
        self.protocol == Protocol::Udp || self.base_target(bucket_of(flow)) != target
    }

    /// Returns the index of the backend server whose name has the hash `hash`.
    pub fn target_index(&self, hash: u64) -> Option<u16> {
        let index = self.targets.iter().position(|t| t.hash == hash)?;
        Some(index as u16)
    }

    /// Returns the backend server at index `target` unless it is disabled.
    pub fn enabled_target(&self, target: u16) -> Option<&Target> {
        self.targets
            .get(usize::from(target))
            .filter(|t| !t.disabled)
    }

    fn intern_all(&mut self, targets: &[TargetInfo]) -> Vec<u16> {
        targets
            .iter()
            .map(|t| self.intern(&t.name, t.address))
            .collect()
    }

    fn intern(&mut self, name: &BackendId, address: SocketAddr) -> u16 {
        let hash = name.hash64();
        if let Some(index) = self.target_index(hash) {
            return index;
        }
        self.targets.push(Target {
            name: name.clone(),
            hash,
            address,
            disabled: false,
        });
        (self.targets.len() - 1) as u16
    }
}

impl Target {
    fn info(&self) -> TargetInfo {
        TargetInfo {
            name: self.name.clone(),
            address: self.address,
        }
    }
}

fn remap_targets(base: &[u16], target_indices: &[u16]) -> Option<LookupTable> {
    let remap = |entry: &u16| match *entry {
        NO_TARGET => Some(NO_TARGET),
        index => target_indices.get(usize::from(index)).copied(),
    };
    let entries: Option<Vec<u16>> = base.iter().map(remap).collect();
    LookupTable::from_entries(entries?)
}

fn difference(a: &LookupTable, b: &LookupTable) -> BucketSet {
    let mut set = BucketSet::default();
    for bucket in 0..BUCKET_COUNT {
        if a.get(bucket) != b.get(bucket) {
            set.insert(bucket);
        }
    }
    set
}
