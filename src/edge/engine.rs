//! The service that owns the decisions: it feeds events to the engine and
//! carries out its actions.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use actix::{
    Actor,
    AsyncContext,
    Context,
    Handler,
    Message,
    Recipient, //
};
use bytes::Bytes;

use crate::{
    core::{
        Action,
        Engine,
        Event,
        PeerMessage,
        counter::Counter,
        membership::{
            Seed,
            Vm, //
        },
        message::Envelope,
        names::{
            Incarnation,
            VmId, //
        }, //
    },
    edge::{
        counts::EdgeCounts,
        in_flight::InFlight,
        log::log_notice,
        mailbox::{
            ADMIN,
            AdminOut,
            AnswerOut,
            AttemptOut,
            BACKENDS,
            BACKENDS_CANCEL,
            CALLERS,
            CancelAttempt,
            ENGINE,
            EngineEvent,
            FABRIC,
            PEERS,
            PLATFORM,
            PacketOut,
            PeerOut,
            PlatformOut,
            Route, //
        },
        metrics, //
    },
    kernel::{
        clock::Clock,
        registry::Registry, //
    },
    settings::Settings,
};

/// How often the engine is told that time has passed.
const TICK: Duration = Duration::from_millis(10);

/// The mailboxes of the services that carry out actions.
struct Outlets {
    fabric: Recipient<PacketOut>,
    peers: Recipient<PeerOut>,
    backends: Recipient<AttemptOut>,
    cancel: Recipient<CancelAttempt>,
    callers: Recipient<AnswerOut>,
    platform: Recipient<PlatformOut>,
    admin: Recipient<AdminOut>,
}

/// The service that owns the decisions.
pub struct EngineService {
    engine: Engine,
    clock: Clock,
    seeds: Vec<Seed>,
    registry: Registry,
    counts: EdgeCounts,
    in_flight: InFlight,
    /// How many events may wait.
    queue: usize,
    /// Whether a planned stop has been announced.
    stopping: bool,
    /// `None` until all services have been registered.
    outlets: Option<Outlets>,
}

/// What operators and probes may read of the engine.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Health")]
pub struct GetHealth;

/// The state of the process.
#[derive(Clone, Debug, actix::MessageResponse)]
pub struct Health {
    /// Whether a configuration is in force and no stop was announced.
    pub ready: bool,
    /// Whether no request is left to finish.
    pub idle: bool,
}

/// The name under which the engine answers [`GetHealth`].
pub const HEALTH: &str = "engine/health";

/// Asks for the metrics in the text exposition format.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "String")]
pub struct GetMetrics;

/// The name under which the engine answers [`GetMetrics`].
pub const METRICS: &str = "engine/metrics";

/// Announces a planned stop: the process is no longer ready.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct WithdrawReadiness;

/// The name under which the engine takes [`WithdrawReadiness`].
pub const READINESS: &str = "engine/readiness";

impl EngineService {
    /// Starts the engine of the VM `me`.
    pub fn spawn(
        me: Vm,
        settings: &Settings,
        clock: Clock,
        counts: &EdgeCounts,
        registry: &Registry,
    ) {
        let seeds = settings.seeds.clone();
        let seed = me.incarnation.0;
        let engine = Engine::open(me, seeds.clone(), seed, clock.now());
        let service = EngineService {
            engine,
            clock,
            seeds,
            registry: registry.clone(),
            counts: counts.clone(),
            in_flight: InFlight::default(),
            queue: settings.limits.engine_queue,
            stopping: false,
            outlets: None,
        };
        let address = service.start();
        registry.register(ENGINE, address.clone().recipient::<EngineEvent>());
        registry.register(HEALTH, address.clone().recipient::<GetHealth>());
        registry.register(METRICS, address.clone().recipient::<GetMetrics>());
        registry.register(READINESS, address.recipient::<WithdrawReadiness>());
    }

    fn find_outlets(&self) -> Option<Outlets> {
        Some(Outlets {
            fabric: self.registry.find(FABRIC).ok()?,
            peers: self.registry.find(PEERS).ok()?,
            backends: self.registry.find(BACKENDS).ok()?,
            cancel: self.registry.find(BACKENDS_CANCEL).ok()?,
            callers: self.registry.find(CALLERS).ok()?,
            platform: self.registry.find(PLATFORM).ok()?,
            admin: self.registry.find(ADMIN).ok()?,
        })
    }

    fn handle_event(&mut self, event: Event) {
        if self.outlets.is_none() {
            self.outlets = self.find_outlets();
        }
        let Some(outlets) = &self.outlets else {
            return;
        };
        self.in_flight.on_event(&event);
        let actions = self
            .engine
            .handle(self.clock.now(), self.clock.wall(), event);
        for action in actions {
            self.in_flight.on_action(&action);
            if !carry_out(&self.engine, &self.seeds, outlets, action) {
                self.counts.add(Counter::ActionOverflow);
            }
        }
    }
}

impl Actor for EngineService {
    type Context = Context<EngineService>;

    fn started(&mut self, cx: &mut Context<EngineService>) {
        cx.set_mailbox_capacity(self.queue);
        cx.run_interval(TICK, |service, _| service.handle_event(Event::Tick));
    }
}

impl Handler<EngineEvent> for EngineService {
    type Result = ();

    fn handle(&mut self, msg: EngineEvent, _cx: &mut Context<EngineService>) {
        self.handle_event(msg.0);
    }
}

impl Handler<GetHealth> for EngineService {
    type Result = Health;

    fn handle(&mut self, _msg: GetHealth, _cx: &mut Context<EngineService>) -> Health {
        Health {
            ready: self.engine.is_ready() && !self.stopping,
            idle: self.engine.is_idle(),
        }
    }
}

impl Handler<GetMetrics> for EngineService {
    type Result = String;

    fn handle(&mut self, _msg: GetMetrics, _cx: &mut Context<EngineService>) -> String {
        metrics::encode(&self.engine, &self.counts, &self.in_flight)
    }
}

impl Handler<WithdrawReadiness> for EngineService {
    type Result = ();

    fn handle(&mut self, _msg: WithdrawReadiness, _cx: &mut Context<EngineService>) {
        self.stopping = true;
    }
}

/// Hands an action to the service that carries it out. Returns whether it had
/// room: packets and messages may be lost, all else is as bounded as the
/// requests that cause it.
fn carry_out(engine: &Engine, seeds: &[Seed], outlets: &Outlets, action: Action) -> bool {
    match action {
        Action::Forward { to, packet } => outlets.packet(Route::Backend(to), packet),
        Action::Relay { to, packet } => match engine.view().member(&to) {
            Some(member) => outlets.packet(Route::Vm(member.vm.relay_address), packet),
            None => true,
        },
        Action::Reply { packet } => outlets.packet(Route::Caller, packet),
        Action::Peer { to, msg } => send_to_peer(engine, seeds, outlets, &to, msg),
        action => {
            outlets.carry_out_all(action);
            true
        }
    }
}

impl Outlets {
    fn packet(&self, route: Route, packet: Bytes) -> bool {
        self.fabric.try_send(PacketOut { route, packet }).is_ok()
    }

    /// Carries out an action that must not be lost.
    fn carry_out_all(&self, action: Action) {
        match action {
            Action::Attempt(attempt) => self.backends.do_send(AttemptOut(attempt)),
            Action::CancelAttempt(id) => self.cancel.do_send(CancelAttempt(id)),
            Action::Answer { call, answer } => self.callers.do_send(AnswerOut { call, answer }),
            Action::Platform(call) => self.platform.do_send(PlatformOut(call)),
            Action::Admin(reply) => self.admin.do_send(AdminOut(reply)),
            Action::Note { notice, detail } => log_notice(notice, &detail),
            Action::Forward { .. }
            | Action::Relay { .. }
            | Action::Reply { .. }
            | Action::Peer { .. } => {}
        }
    }
}

fn send_to_peer(
    engine: &Engine,
    seeds: &[Seed],
    outlets: &Outlets,
    to: &VmId,
    msg: PeerMessage,
) -> bool {
    let Some((address, to_incarnation)) = peer_address(engine, seeds, to) else {
        return true;
    };
    let me = &engine.view().me;
    let envelope = Envelope {
        from: me.id.clone(),
        incarnation: me.incarnation,
        to_incarnation,
        msg,
    };
    outlets
        .peers
        .try_send(PeerOut { address, envelope })
        .is_ok()
}

fn peer_address(engine: &Engine, seeds: &[Seed], to: &VmId) -> Option<(SocketAddr, Incarnation)> {
    if let Some(member) = engine.view().member(to) {
        return Some((member.vm.peer_address, member.vm.incarnation));
    }
    let seed = seeds.iter().find(|s| s.id == *to)?;
    Some((seed.peer_address, Incarnation::default()))
}
