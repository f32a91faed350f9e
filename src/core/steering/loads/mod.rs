//! Load on the backend servers from all VMs.

use hashbrown::HashMap;

mod exchange;
pub mod message;

use super::{
    peers::TagLoad,
    tag::Tag, //
};

/// Sum over the flows of other VMs on one backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RemoteLoad {
    /// Number of flows, including those that are opening.
    pub flows: u32,
    /// Number of these flows whose client waits for an answer.
    pub waiting: u32,
    /// Number of these flows whose client has waited far longer than usual.
    pub stalled: u32,
    /// Number of VMs that it has answered recently.
    pub answered: u32,
}

impl RemoteLoad {
    fn add(&mut self, load: &TagLoad) {
        self.flows += load.flows;
        self.waiting += load.waiting;
        self.stalled += load.stalled;
        self.answered += u32::from(load.is_answering);
    }

    fn subtract(&mut self, load: &TagLoad) {
        self.flows = self.flows.saturating_sub(load.flows);
        self.waiting = self.waiting.saturating_sub(load.waiting);
        self.stalled = self.stalled.saturating_sub(load.stalled);
        self.answered = self.answered.saturating_sub(u32::from(load.is_answering));
    }
}

/// Load on each backend server from the flows of other VMs.
#[derive(Debug, Default)]
pub struct RemoteLoads {
    sums: HashMap<Tag, RemoteLoad>,
}

impl RemoteLoads {
    /// Returns the total load from the other VMs.
    pub fn load(&self, tag: Tag) -> RemoteLoad {
        self.sums.get(&tag).copied().unwrap_or_default()
    }

    /// Iterates over the backend servers with stalled flows.
    pub fn stalled(&self) -> impl Iterator<Item = Tag> {
        let stalled = self.sums.iter().filter(|(_, load)| load.stalled > 0);
        stalled.map(|(tag, _)| *tag)
    }

    /// Replaces the loads that one VM reported before.
    pub fn replace(&mut self, before: &[TagLoad], after: &[TagLoad]) {
        for load in after {
            self.sums.entry(load.tag).or_default().add(load);
        }
        for load in before {
            let Some(sum) = self.sums.get_mut(&load.tag) else {
                continue;
            };
            sum.subtract(load);
            if *sum == RemoteLoad::default() {
                self.sums.remove(&load.tag);
            }
        }
    }
}
