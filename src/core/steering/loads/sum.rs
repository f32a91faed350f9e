//! Sums of loads that can be taken apart again.

use hashbrown::HashMap;

use super::super::{
    capability::ServiceTime,
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
    /// Number of VMs that it has answered recently. All VMs behind a hub count as
    /// one.
    pub answered: u32,
    /// Service time, weighted by the samples of each VM.
    pub service_time: ServiceTime,
}

/// Loads of several VMs on one backend server.
///
/// Keeps the sum of the sampled times rather than their mean, so that a part can
/// be subtracted exactly.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct LoadSum {
    pub(super) flows: u32,
    pub(super) waiting: u32,
    stalled: u32,
    answered: u32,
    samples: u32,
    sampled_ms: u64,
    /// Recent responses, fast ones and slow ones.
    recent: [u32; 3],
}

impl LoadSum {
    fn of(load: &TagLoad) -> LoadSum {
        let ServiceTime {
            samples,
            mean_ms,
            answers,
            fast,
            slow,
        } = load.service_time;
        LoadSum {
            flows: load.flows,
            waiting: load.waiting,
            stalled: load.stalled,
            answered: u32::from(load.is_answering),
            samples: u32::from(samples),
            sampled_ms: u64::from(samples) * u64::from(mean_ms),
            recent: [answers, fast, slow].map(u32::from),
        }
    }

    fn add(&mut self, part: &LoadSum) {
        self.flows = self.flows.saturating_add(part.flows);
        self.waiting = self.waiting.saturating_add(part.waiting);
        self.stalled = self.stalled.saturating_add(part.stalled);
        self.answered = self.answered.saturating_add(part.answered);
        self.samples = self.samples.saturating_add(part.samples);
        self.sampled_ms = self.sampled_ms.saturating_add(part.sampled_ms);
        for (sum, part) in self.recent.iter_mut().zip(part.recent) {
            *sum = sum.saturating_add(part);
        }
    }

    pub(super) fn subtract(&mut self, part: &LoadSum) {
        self.flows = self.flows.saturating_sub(part.flows);
        self.waiting = self.waiting.saturating_sub(part.waiting);
        self.stalled = self.stalled.saturating_sub(part.stalled);
        self.answered = self.answered.saturating_sub(part.answered);
        self.samples = self.samples.saturating_sub(part.samples);
        self.sampled_ms = self.sampled_ms.saturating_sub(part.sampled_ms);
        for (sum, part) in self.recent.iter_mut().zip(part.recent) {
            *sum = sum.saturating_sub(part);
        }
    }

    fn service_time(&self) -> ServiceTime {
        let mean_ms = match self.samples {
            0 => 0,
            samples => (self.sampled_ms + u64::from(samples) / 2) / u64::from(samples),
        };
        let to_u16 = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
        let [answers, fast, slow] = self.recent.map(to_u16);
        ServiceTime {
            samples: to_u16(self.samples),
            mean_ms: u16::try_from(mean_ms).unwrap_or(u16::MAX),
            answers,
            fast,
            slow,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        *self == LoadSum::default()
    }

    pub(super) fn stalled(&self) -> u32 {
        self.stalled
    }

    pub(super) fn remote_load(&self) -> RemoteLoad {
        RemoteLoad {
            flows: self.flows,
            waiting: self.waiting,
            stalled: self.stalled,
            answered: self.answered,
            service_time: self.service_time(),
        }
    }

    pub(super) fn tag_load(&self, tag: Tag) -> TagLoad {
        TagLoad {
            tag,
            flows: self.flows,
            waiting: self.waiting,
            stalled: self.stalled,
            is_answering: self.answered > 0,
            service_time: self.service_time(),
        }
    }
}

pub(super) type LoadSums = HashMap<Tag, LoadSum>;

pub(super) fn add_loads(sums: &mut LoadSums, loads: &[TagLoad]) {
    for load in loads {
        sums.entry(load.tag).or_default().add(&LoadSum::of(load));
    }
}

pub(super) fn subtract_loads(sums: &mut LoadSums, loads: &[TagLoad]) {
    for load in loads {
        let Some(sum) = sums.get_mut(&load.tag) else {
            continue;
        };
        sum.subtract(&LoadSum::of(load));
        if sum.is_empty() {
            sums.remove(&load.tag);
        }
    }
}
