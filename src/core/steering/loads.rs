//! Load on the backend servers from all VMs.

use hashbrown::HashMap;

use super::{
    flows::Load,
    peers::TagLoad,
    tag::Tag, //
};

/// Load on each backend server from the flows of other VMs.
#[derive(Debug, Default)]
pub struct RemoteLoads {
    sums: HashMap<Tag, Load>,
}

impl RemoteLoads {
    /// Returns the total load from the other VMs.
    pub fn load(&self, tag: Tag) -> Load {
        self.sums.get(&tag).copied().unwrap_or_default()
    }

    /// Replaces the loads that one VM reported before.
    pub fn replace(&mut self, before: &[TagLoad], after: &[TagLoad]) {
        for load in after {
            let sum = self.sums.entry(load.tag).or_default();
            sum.flows += load.flows;
            sum.waiting += load.waiting;
        }
        for load in before {
            let Some(sum) = self.sums.get_mut(&load.tag) else {
                continue;
            };
            sum.flows = sum.flows.saturating_sub(load.flows);
            sum.waiting = sum.waiting.saturating_sub(load.waiting);
            if *sum == Load::default() {
                self.sums.remove(&load.tag);
            }
        }
    }
}
