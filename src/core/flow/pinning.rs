//! Pinning of flows of changed buckets at the bucket's homes.

use crate::core::{
    counter::Counter,
    cx::Cx,
    flow::{
        Flows,
        entries::{
            EntryKind,
            FlowEntry, //
        },
        homes::HOMES_PER_BUCKET,
        relay::{
            RelayHeader,
            RelayKind,
            RelayPath,
            vm_tag, //
        },
        steer::{
            ClassifiedPacket,
            send_relayed, //
        }, //
    },
};

impl Flows {
    /// Stores a flow that another VM has assigned, and relays the packet to the
    /// VMs that must also store it.
    pub(super) fn record_and_relay(
        &mut self,
        cx: &mut Cx<'_>,
        pkt: ClassifiedPacket,
        backend: u64,
    ) {
        let service = &self.services[pkt.service];
        let Some(target) = service.target_index(backend) else {
            cx.count(Counter::FlowRefused);
            return;
        };
        self.record(cx, &pkt, target);
        let vms = pkt.path.clone();
        self.relay_to_recorders(cx, pkt, target, vms);
    }

    /// Stores a flow that another VM has assigned, and drops the packet. Sent
    /// while the views of VMs may differ.
    pub(super) fn record_only(&mut self, cx: &mut Cx<'_>, pkt: &ClassifiedPacket, backend: u64) {
        if let Some(target) = self.services[pkt.service].target_index(backend) {
            self.record(cx, pkt, target);
        }
    }

    /// Pins a flow that this VM has assigned, if it is a home. Other VMs store
    /// nothing, because the packet may fail to reach the homes.
    pub(super) fn pin_if_home(&mut self, cx: &mut Cx<'_>, pkt: &ClassifiedPacket, target: u16) {
        if self.is_home(cx, pkt) {
            self.record(cx, pkt, target);
        }
    }

    fn is_home(&self, cx: &Cx<'_>, pkt: &ClassifiedPacket) -> bool {
        let ranking = self.ranking(cx, pkt);
        let homes = &ranking[..ranking.len().min(HOMES_PER_BUCKET)];
        homes.is_empty() || homes.contains(&cx.view.me.id)
    }

    fn record(&mut self, cx: &mut Cx<'_>, pkt: &ClassifiedPacket, target: u16) {
        let kind = if self.is_home(cx, pkt) {
            EntryKind::Pinned
        } else {
            EntryKind::Cached
        };
        let mut entry = FlowEntry::new(pkt.service as u16, target, kind, cx.now);
        entry.touch(cx.now, pkt.closing);
        if self.entries.insert(pkt.flow, entry).is_err() {
            cx.count(Counter::FlowTableFull);
        }
    }

    /// Relays the packet to the other homes, which store the flow; the last one
    /// forwards the packet.
    pub(super) fn replicate_pin(&mut self, cx: &mut Cx<'_>, pkt: ClassifiedPacket, target: u16) {
        let ranking = self.ranking(cx, &pkt);
        let homes = ranking.iter().take(HOMES_PER_BUCKET);
        let others = homes.filter(|id| **id != cx.view.me.id);
        let vms: RelayPath = others.map(vm_tag).collect();
        if !self.stability.is_settled(cx.now) {
            self.notify_non_homes(cx, &pkt, target, &vms);
        }
        self.relay_to_recorders(cx, pkt, target, vms);
    }

    /// Sends the backend server of a flow to the VMs that are not in `homes`,
    /// because VMs with a different view may regard them as homes.
    fn notify_non_homes(
        &self,
        cx: &mut Cx<'_>,
        pkt: &ClassifiedPacket,
        target: u16,
        homes: &RelayPath,
    ) {
        let service = &self.services[pkt.service];
        let header = RelayHeader {
            kind: RelayKind::RecordOnly,
            backend: service.targets[usize::from(target)].hash,
            vms: RelayPath::new(),
        };
        let view = cx.view;
        for member in view.others() {
            if !homes.contains(&vm_tag(&member.vm.id)) {
                send_relayed(cx, pkt, &member.vm.id, &header);
            }
        }
    }

    /// Relays the packet to the first known VM of `vms`, all of which must
    /// store the flow, or forwards the packet if none is known.
    fn relay_to_recorders(
        &mut self,
        cx: &mut Cx<'_>,
        pkt: ClassifiedPacket,
        target: u16,
        mut vms: RelayPath,
    ) {
        while !vms.is_empty() {
            let next = vms.remove(0);
            let view = cx.view;
            let Some(member) = view.others().find(|m| vm_tag(&m.vm.id) == next) else {
                continue;
            };
            let service = &self.services[pkt.service];
            let header = RelayHeader {
                kind: RelayKind::Record,
                backend: service.targets[usize::from(target)].hash,
                vms,
            };
            send_relayed(cx, &pkt, &member.vm.id, &header);
            return;
        }
        self.forward(cx, pkt, target);
    }
}
