//! What one VM knows about the flows of one service.

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
                BUCKETS,
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
                NO_TARGET,
                Table, //
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

/// A backend server that flows of the service may live on.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub name: BackendId,
    /// The hash of its name.
    pub hash: u64,
    /// Its address for packets.
    pub address: SocketAddr,
    /// Whether it gets no packets: removed, or its data centre is out.
    pub closed: bool,
}

/// Where the flows of one service live.
///
/// Flows that no VM has registered live on `base`. A flow may live elsewhere
/// only if its bucket is in `changed` on every VM.
#[derive(Debug)]
pub struct ServiceFlows {
    /// The service.
    pub id: ServiceId,
    /// The hash of its name.
    pub hash: u64,
    /// The protocol of its packets.
    pub protocol: Protocol,
    /// The backend servers.
    ///
    /// Invariant: only grows, so that an index stays valid.
    pub targets: Vec<Target>,
    /// For each bucket the backend server of unregistered flows.
    pub base: Table,
    /// The generation that the base was computed from; zero while it is not
    /// known.
    pub origin: Generation,
    /// The table of the newest configuration.
    pub current: Table,
    /// The table that other VMs are being told about.
    pub proposed: Table,
    /// The table that assigns new flows.
    pub active: Table,
    /// When `active` last changed.
    pub activated: Time,
    /// The buckets whose flows may live on other backend servers than `base`.
    ///
    /// Invariant: has each bucket in which `current` or `active` differ from
    /// `base`, and only grows.
    pub changed: BucketSet,
    /// The buckets of which this VM has all pins.
    pub complete: BucketSet,
    /// The buckets that this VM is a home of and has not all pins of.
    pub wanted: BucketSet,
    /// Whether `base` and `changed` are as recent as those of the other VMs.
    pub ready: bool,
    /// When the service was first configured here or this VM last resumed.
    pub unready_since: Time,
}

impl ServiceFlows {
    /// Starts with no backend servers.
    pub fn open(service: &Service, now: Time) -> ServiceFlows {
        ServiceFlows {
            id: service.name.clone(),
            hash: service.name.hash64(),
            protocol: service.protocol,
            targets: Vec::new(),
            base: Table::empty(),
            origin: Generation::default(),
            current: Table::empty(),
            proposed: Table::empty(),
            active: Table::empty(),
            activated: now,
            changed: BucketSet::default(),
            complete: BucketSet::default(),
            wanted: BucketSet::default(),
            ready: false,
            unready_since: now,
        }
    }

    /// Takes in a configuration. New flows go on using the active table.
    pub fn learn(&mut self, cfg: &Configuration) {
        self.learn_targets(cfg);
        self.current = self.compile(cfg);
        if self.origin > Generation::default() {
            self.mark_changed();
        }
    }

    fn learn_targets(&mut self, cfg: &Configuration) {
        for target in &mut self.targets {
            target.closed = cfg.backend(&target.name).is_none_or(|b| cfg.is_out(b));
        }
        let id = self.id.clone();
        for backend in cfg.backends_of(&id) {
            let at = self.intern(&backend.name, backend.packets);
            self.targets[usize::from(at)].address = backend.packets;
            self.targets[usize::from(at)].closed = cfg.is_out(backend);
        }
    }

    fn compile(&self, cfg: &Configuration) -> Table {
        let mut candidates = Vec::new();
        for backend in cfg.backends_of(&self.id) {
            let Some(target) = self.target_named(backend.name.hash64()) else {
                continue;
            };
            let share = u64::from(cfg.new_work_share(backend));
            candidates.push(Candidate {
                name: &backend.name,
                target,
                weight: share * u64::from(backend.connections),
            });
        }
        Table::compile(&candidates)
    }

    /// Adds the buckets in which the newest table differs from the base.
    fn mark_changed(&mut self) {
        for bucket in 0..BUCKETS {
            if self.current.get(bucket) != self.base.get(bucket) {
                self.changed.insert(bucket);
            }
        }
    }

    /// Tells whether new flows do not use the newest table yet.
    pub fn is_outdated(&self) -> bool {
        self.origin > Generation::default() && self.active != self.current
    }

    /// Fixes the table that the other VMs are to be told about.
    pub fn propose(&mut self) {
        self.proposed = self.current.clone();
    }

    /// Uses the proposed table for new flows from now on.
    pub fn activate(&mut self, now: Time) {
        if self.active != self.proposed {
            self.active = self.proposed.clone();
            self.activated = now;
        }
    }

    /// Starts the history of the service here: no flow is older than it.
    pub fn begin_history(&mut self, generation: Generation, now: Time) {
        self.base = self.current.clone();
        self.origin = generation;
        self.changed = BucketSet::default();
        self.complete = BucketSet::all();
        self.propose();
        self.activate(now);
        self.ready = true;
    }

    /// Distrusts what was known before a pause.
    pub fn distrust(&mut self, now: Time) {
        self.ready = false;
        self.unready_since = now;
        let changed = self.changed.clone();
        self.complete.subtract(&changed);
    }

    /// Takes in the history that another VM sent.
    pub fn merge_history(&mut self, history: ServiceHistory, now: Time) {
        let known = self.intern_all(&history.change.targets);
        let Some(base) = translate(&history.base, &known) else {
            return;
        };
        let mut added = history.change.changed;
        if self.origin == Generation::default() || history.origin < self.origin {
            self.adopt_base(base, history.origin, now);
        } else if base != self.base {
            added.union(&difference(&base, &self.base));
        }
        self.add_changed(&added, false);
    }

    fn adopt_base(&mut self, base: Table, origin: Generation, now: Time) {
        let was_known = self.origin > Generation::default();
        if was_known {
            self.changed.union(&difference(&base, &self.base));
            self.complete.subtract(&self.changed.clone());
        } else {
            self.complete = BucketSet::all();
        }
        self.proposed = base.clone();
        self.base = base;
        self.origin = origin;
        self.mark_changed();
        self.complete.subtract(&self.changed.clone());
        self.activate(now);
    }

    /// Takes in a change that another VM has prepared. `fresh` tells that no
    /// flow has used it yet.
    pub fn merge_change(&mut self, change: &ServiceChange, fresh: bool) {
        self.intern_all(&change.targets);
        let fresh = fresh && self.ready;
        self.add_changed(&change.changed, fresh);
    }

    fn add_changed(&mut self, added: &BucketSet, fresh: bool) {
        let mut new = added.clone();
        new.subtract(&self.changed);
        self.changed.union(&new);
        if !fresh {
            self.complete.subtract(&new);
        }
    }

    /// Describes the changed buckets.
    pub fn change(&self) -> ServiceChange {
        ServiceChange {
            service: self.id.clone(),
            changed: self.changed.clone(),
            targets: self.targets.iter().map(Target::info).collect(),
        }
    }

    /// Describes the service to a VM that has just joined.
    pub fn history(&self) -> ServiceHistory {
        ServiceHistory {
            change: self.change(),
            base: self.base.entries().to_vec(),
            origin: self.origin,
        }
    }

    /// Returns the target of unregistered flows of `bucket`, or of new ones
    /// while the base is not known.
    pub fn base_target(&self, bucket: usize) -> u16 {
        if self.origin > Generation::default() {
            self.base.get(bucket)
        } else {
            self.current.get(bucket)
        }
    }

    /// Returns the target of new flows of `bucket`.
    pub fn new_target(&self, bucket: usize) -> u16 {
        if self.origin > Generation::default() {
            self.active.get(bucket)
        } else {
            self.current.get(bucket)
        }
    }

    /// Tells whether `flow` has to be registered if it lives on `target`.
    pub fn is_off_base(&self, flow: u64, target: u16) -> bool {
        self.protocol == Protocol::Udp || self.base_target(bucket_of(flow)) != target
    }

    /// Returns the index of the backend server whose name has this hash.
    pub fn target_named(&self, hash: u64) -> Option<u16> {
        let at = self.targets.iter().position(|t| t.hash == hash)?;
        Some(at as u16)
    }

    /// Returns the backend server with this index, unless it gets no packets.
    pub fn open_target(&self, target: u16) -> Option<&Target> {
        self.targets.get(usize::from(target)).filter(|t| !t.closed)
    }

    fn intern_all(&mut self, targets: &[TargetInfo]) -> Vec<u16> {
        targets
            .iter()
            .map(|t| self.intern(&t.name, t.address))
            .collect()
    }

    fn intern(&mut self, name: &BackendId, address: SocketAddr) -> u16 {
        let hash = name.hash64();
        if let Some(known) = self.target_named(hash) {
            return known;
        }
        self.targets.push(Target {
            name: name.clone(),
            hash,
            address,
            closed: false,
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

fn translate(base: &[u16], known: &[u16]) -> Option<Table> {
    let one = |entry: &u16| match *entry {
        NO_TARGET => Some(NO_TARGET),
        at => known.get(usize::from(at)).copied(),
    };
    let entries: Option<Vec<u16>> = base.iter().map(one).collect();
    Table::from_entries(entries?)
}

fn difference(a: &Table, b: &Table) -> BucketSet {
    let mut set = BucketSet::default();
    for bucket in 0..BUCKETS {
        if a.get(bucket) != b.get(bucket) {
            set.insert(bucket);
        }
    }
    set
}
