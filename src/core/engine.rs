//! Joins the state machines of one VM.

use std::sync::Arc;

use bytes::Bytes;
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    core::{
        action::Action,
        capacity::Capacity,
        configuration::Configuration,
        counter::{
            Counter,
            Counters, //
        },
        cx::Cx,
        flow::{
            FlowStats,
            Flows,
            PacketSource, //
        },
        intent::{
            AdminCall,
            Intents,
            PlatformCallId,
            PlatformOutcome,
            Usage, //
        },
        membership::{
            Membership,
            Seed,
            View,
            Vm, //
        },
        message::{
            Envelope,
            PeerMessage, //
        },
        names::{
            Generation,
            Incarnation, //
        },
        notice::Notice,
        request::{
            AttemptId,
            AttemptOutcome,
            Call,
            CallId,
            Requests, //
        },
    },
    kernel::clock::{
        Time,
        WallTime, //
    },
};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// An IP packet arrived.
    Packet {
        /// Who handed it over.
        source: PacketSource,
        /// The inner IP packet.
        packet: Bytes,
    },
    /// A message of another VM arrived.
    Peer(Envelope),
    /// A caller's request arrived.
    Call(Call),
    /// A caller no longer waits.
    CallerGone(CallId),
    /// An attempt ended.
    AttemptDone(AttemptId, AttemptOutcome),
    /// A call to the platform ended.
    PlatformDone(PlatformCallId, PlatformOutcome),
    /// An operator's call arrived.
    Admin(AdminCall),
    /// A planned stop begins.
    Stop,
}

/// The state machines of one VM.
#[derive(Debug)]
struct Machines {
    membership: Membership,
    intents: Intents,
    flows: Flows,
    capacity: Capacity,
    requests: Requests,
}

/// All decisions of one VM.
#[derive(Debug)]
pub struct Engine {
    machines: Machines,
    rng: SmallRng,
    counters: Counters,
}

impl Engine {
    /// Starts the state machines of the VM `me`. All random numbers come from
    /// `seed`.
    pub fn open(me: Vm, seeds: Vec<Seed>, seed: u64, now: Time) -> Engine {
        let known = seeds.iter().map(|s| s.id.clone()).collect();
        Engine {
            machines: Machines {
                membership: Membership::open(me, seeds, now),
                intents: Intents::open(known),
                flows: Flows::open(),
                capacity: Capacity::open(),
                requests: Requests::open(),
            },
            rng: SmallRng::seed_from_u64(seed),
            counters: Counters::default(),
        }
    }

    /// Takes in one event and returns what to do about it.
    pub fn handle(&mut self, now: Time, wall: WallTime, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.machines.membership.detect_pause(now);
        let view = Arc::clone(self.machines.membership.view());
        let cfg = Arc::clone(self.machines.intents.current());
        self.machines.handle(
            &mut Cx {
                now,
                wall,
                view: &view,
                cfg: &cfg,
                rng: &mut self.rng,
                counters: &mut self.counters,
                out: &mut out,
            },
            event,
        );
        self.spread_changes(now, wall, &view, &cfg, &mut out);
        out
    }

    /// Returns the VMs that are known.
    pub fn view(&self) -> &View {
        self.machines.membership.view()
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        self.machines.intents.current()
    }

    /// Returns the size of the flow state.
    pub fn flow_stats(&self) -> FlowStats {
        self.machines.flows.stats()
    }

    /// Returns the counts of this process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Tells whether the VM may serve: a configuration is in force and slots
    /// can be acquired.
    pub fn is_ready(&self) -> bool {
        self.configuration().generation > Generation::default() && self.machines.capacity.is_ready()
    }

    /// Tells whether nothing is left to do before the process may exit.
    pub fn is_idle(&self) -> bool {
        self.machines.requests.pending_work() == 0 && self.machines.flows.is_idle()
    }

    fn spread_changes(
        &mut self,
        now: Time,
        wall: WallTime,
        old_view: &View,
        old_cfg: &Configuration,
        out: &mut Vec<Action>,
    ) {
        let view = Arc::clone(self.machines.membership.view());
        let cfg = Arc::clone(self.machines.intents.current());
        let mut cx = Cx {
            now,
            wall,
            view: &view,
            cfg: &cfg,
            rng: &mut self.rng,
            counters: &mut self.counters,
            out,
        };
        if cfg.generation != old_cfg.generation {
            self.machines.membership.on_configuration(&mut cx);
            self.machines.flows.on_configuration(&mut cx);
            self.machines.capacity.on_configuration(&mut cx);
            self.machines
                .requests
                .on_configuration(&mut cx, &mut self.machines.capacity);
        }
        if view.version != old_view.version {
            self.machines.flows.on_view(&mut cx);
            self.machines.capacity.on_view(&mut cx);
            self.machines
                .requests
                .on_view(&mut cx, &mut self.machines.capacity);
        }
    }
}

impl Machines {
    fn handle(&mut self, cx: &mut Cx<'_>, event: Event) {
        match event {
            Event::Tick => self.tick(cx),
            Event::Packet { source, packet } => self.flows.on_packet(cx, source, packet),
            Event::Peer(envelope) => self.on_peer(cx, envelope),
            Event::Call(call) => self.requests.on_call(cx, &mut self.capacity, call),
            Event::CallerGone(call) => self.requests.on_caller_gone(cx, &mut self.capacity, call),
            Event::AttemptDone(id, outcome) => {
                self.requests
                    .on_outcome(cx, &mut self.capacity, id, outcome);
            }
            Event::PlatformDone(id, outcome) => self.intents.on_platform(cx, id, outcome),
            Event::Admin(call) => {
                let usage = Usage::count_requests(cx.cfg, self.requests.running_backends());
                self.intents.set_usage(usage);
                self.intents.on_admin(cx, call);
            }
            Event::Stop => self.stop(cx),
        }
    }

    fn tick(&mut self, cx: &mut Cx<'_>) {
        self.membership.tick(cx);
        self.intents.tick(cx);
        self.flows.tick(cx);
        self.capacity.tick(cx);
        self.requests.tick(cx, &mut self.capacity);
    }

    fn on_peer(&mut self, cx: &mut Cx<'_>, envelope: Envelope) {
        if is_for_earlier_run(cx, &envelope) {
            cx.count(Counter::PeerForEarlierRun);
            return;
        }
        let from = envelope.from;
        match envelope.msg {
            PeerMessage::Membership(msg) => self.membership.on_message(cx, &from, msg),
            PeerMessage::Intent(msg) => self.intents.on_message(cx, &from, msg),
            PeerMessage::Flow(msg) => self.flows.on_message(cx, &from, msg),
            PeerMessage::Capacity(msg) => {
                self.capacity.on_message(cx, &from, msg);
                self.requests.on_capacity(cx, &mut self.capacity);
            }
            PeerMessage::Request(msg) => {
                self.requests.on_message(cx, &mut self.capacity, &from, msg);
            }
        }
    }

    fn stop(&mut self, cx: &mut Cx<'_>) {
        cx.note(Notice::Stopping, "");
        self.requests.stop(cx);
        self.flows.stop(cx);
        self.capacity.stop(cx);
        self.membership.leave(cx);
    }
}

/// Tells whether a message was meant for an earlier run of this VM. Queues may
/// hold such messages while the VM is replaced.
///
/// Membership messages speak of their sender, whichever run reads them.
fn is_for_earlier_run(cx: &Cx<'_>, envelope: &Envelope) -> bool {
    if matches!(envelope.msg, PeerMessage::Membership(_)) {
        return false;
    }
    let meant = envelope.to_incarnation;
    meant != Incarnation::default() && meant != cx.view.me.incarnation
}
