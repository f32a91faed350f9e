//! Dispatches events to the state machines of one VM.

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

/// An input to the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The periodic timer fired.
    Tick,
    /// An IP packet arrived.
    Packet {
        /// Where the packet came from.
        source: PacketSource,
        /// The inner IP packet.
        packet: Bytes,
    },
    /// A message from another VM arrived.
    Peer(Envelope),
    /// A caller's request arrived.
    Call(Call),
    /// A caller left before its request was answered.
    CallerGone(CallId),
    /// An attempt ended.
    AttemptDone(AttemptId, AttemptOutcome),
    /// A call to the platform ended.
    PlatformDone(PlatformCallId, PlatformOutcome),
    /// An operator's call arrived.
    Admin(AdminCall),
    /// A graceful shutdown was requested.
    Stop,
}

/// The state machines of one VM.
#[derive(Debug)]
struct StateMachines {
    membership: Membership,
    intents: Intents,
    flows: Flows,
    capacity: Capacity,
    requests: Requests,
}

/// The decision logic of one VM, free of I/O.
#[derive(Debug)]
pub struct Engine {
    state_machines: StateMachines,
    rng: SmallRng,
    counters: Counters,
}

impl Engine {
    /// Creates the state machines of the VM `me`. All random numbers derive
    /// from `seed`, so equal inputs give equal outputs.
    pub fn open(me: Vm, seeds: Vec<Seed>, seed: u64, now: Time) -> Engine {
        let seed_ids = seeds.iter().map(|s| s.id.clone()).collect();
        Engine {
            state_machines: StateMachines {
                membership: Membership::open(me, seeds, now),
                intents: Intents::open(seed_ids),
                flows: Flows::open(),
                capacity: Capacity::open(),
                requests: Requests::open(),
            },
            rng: SmallRng::seed_from_u64(seed),
            counters: Counters::default(),
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, now: Time, wall: WallTime, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.state_machines.membership.detect_pause(now);
        let view = Arc::clone(self.state_machines.membership.view());
        let cfg = Arc::clone(self.state_machines.intents.current());
        self.state_machines.handle(
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
        self.propagate_changes(now, wall, &view, &cfg, &mut out);
        out
    }

    /// Returns the known VMs.
    pub fn view(&self) -> &View {
        self.state_machines.membership.view()
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Configuration {
        self.state_machines.intents.current()
    }

    /// Returns the size of the flow state.
    pub fn flow_stats(&self) -> FlowStats {
        self.state_machines.flows.stats()
    }

    /// Returns the counters of this process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns whether the VM may serve: a configuration is in force and slots
    /// can be acquired.
    pub fn is_ready(&self) -> bool {
        self.configuration().generation > Generation::default()
            && self.state_machines.capacity.is_ready()
    }

    /// Returns whether no work is left, so that the process may exit.
    pub fn is_idle(&self) -> bool {
        self.state_machines.requests.pending_work() == 0 && self.state_machines.flows.is_idle()
    }

    fn propagate_changes(
        &mut self,
        now: Time,
        wall: WallTime,
        old_view: &View,
        old_cfg: &Configuration,
        out: &mut Vec<Action>,
    ) {
        let view = Arc::clone(self.state_machines.membership.view());
        let cfg = Arc::clone(self.state_machines.intents.current());
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
            self.state_machines.membership.on_configuration(&mut cx);
            self.state_machines.flows.on_configuration(&mut cx);
            self.state_machines.capacity.on_configuration(&mut cx);
            self.state_machines
                .requests
                .on_configuration(&mut cx, &mut self.state_machines.capacity);
        }
        if view.version != old_view.version {
            self.state_machines.flows.on_view(&mut cx);
            self.state_machines.capacity.on_view(&mut cx);
            self.state_machines
                .requests
                .on_view(&mut cx, &mut self.state_machines.capacity);
        }
    }
}

impl StateMachines {
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

/// Returns whether a message was addressed to an earlier run of this VM. Queues
/// may hold such messages while the VM is replaced.
///
/// Membership messages describe their sender, so they are valid for any run of
/// the receiver.
fn is_for_earlier_run(cx: &Cx<'_>, envelope: &Envelope) -> bool {
    if matches!(envelope.msg, PeerMessage::Membership(_)) {
        return false;
    }
    let addressed_run = envelope.to_incarnation;
    addressed_run != Incarnation::default() && addressed_run != cx.view.me.incarnation
}
