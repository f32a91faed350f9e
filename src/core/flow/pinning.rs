//! Recording flows of changed buckets at their homes.

use crate::core::{
    counter::Counter,
    cx::Cx,
    flow::{
        Flows,
        entries::{
            Entry,
            EntryKind, //
        },
        homes::HOMES,
        relay::{
            Path,
            RelayHeader,
            RelayKind,
            tag, //
        },
        steer::{
            Job,
            relay, //
        }, //
    },
};

impl Flows {
    /// Records a flow that another home has placed.
    pub(super) fn record(&mut self, cx: &mut Cx<'_>, job: Job, backend: u64) {
        let service = &self.services[job.service];
        let Some(target) = service.target_named(backend) else {
            cx.count(Counter::FlowRefused);
            return;
        };
        self.pin(cx, &job, target);
        let vms = job.path.clone();
        self.record_further(cx, job, target, vms);
    }

    /// Records a flow that another VM has placed while views may differ.
    pub(super) fn note_flow(&mut self, cx: &mut Cx<'_>, job: &Job, backend: u64) {
        if let Some(target) = self.services[job.service].target_named(backend) {
            self.pin(cx, job, target);
        }
    }

    /// Records a flow that this VM has placed, if it is a home. Another VM
    /// keeps nothing, as the packet may not get through to the homes.
    pub(super) fn pin_at_home(&mut self, cx: &mut Cx<'_>, job: &Job, target: u16) {
        if self.is_home(cx, job) {
            self.pin(cx, job, target);
        }
    }

    fn is_home(&self, cx: &Cx<'_>, job: &Job) -> bool {
        let ranking = self.ranking(cx, job);
        let homes = &ranking[..ranking.len().min(HOMES)];
        homes.is_empty() || homes.contains(&cx.view.me.id)
    }

    fn pin(&mut self, cx: &mut Cx<'_>, job: &Job, target: u16) {
        let kind = if self.is_home(cx, job) {
            EntryKind::Pin
        } else {
            EntryKind::Cache
        };
        let mut entry = Entry::new(job.service as u16, target, kind, cx.now);
        entry.touch(cx.now, job.closing);
        if self.entries.insert(job.flow, entry).is_err() {
            cx.count(Counter::FlowTableFull);
        }
    }

    /// Lets the homes record the flow and forward the packet.
    pub(super) fn mirror(&mut self, cx: &mut Cx<'_>, job: Job, target: u16) {
        let ranking = self.ranking(cx, &job);
        let homes = ranking.iter().take(HOMES);
        let others = homes.filter(|id| **id != cx.view.me.id);
        let vms: Path = others.map(tag).collect();
        if !self.stability.is_settled(cx.now) {
            self.note_elsewhere(cx, &job, target, &vms);
        }
        self.record_further(cx, job, target, vms);
    }

    /// Tells the VMs that are not among `homes` where a flow lives, since
    /// other VMs may take them for homes.
    fn note_elsewhere(&self, cx: &mut Cx<'_>, job: &Job, target: u16, homes: &Path) {
        let service = &self.services[job.service];
        let header = RelayHeader {
            kind: RelayKind::Note,
            backend: service.targets[usize::from(target)].hash,
            vms: Path::new(),
        };
        let view = cx.view;
        for member in view.others() {
            if !homes.contains(&tag(&member.vm.id)) {
                relay(cx, job, &member.vm.id, &header);
            }
        }
    }

    /// Relays the packet to the first of `vms`, all of which have to record
    /// the flow, or forwards it if there is none.
    fn record_further(&mut self, cx: &mut Cx<'_>, job: Job, target: u16, mut vms: Path) {
        while !vms.is_empty() {
            let next = vms.remove(0);
            let view = cx.view;
            let Some(member) = view.others().find(|m| tag(&m.vm.id) == next) else {
                continue;
            };
            let service = &self.services[job.service];
            let header = RelayHeader {
                kind: RelayKind::Record,
                backend: service.targets[usize::from(target)].hash,
                vms,
            };
            relay(cx, &job, &member.vm.id, &header);
            return;
        }
        self.forward(cx, job, target);
    }
}
