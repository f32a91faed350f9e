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
use tracing::{
    error,
    info,
    warn, //
};

use crate::{
    core::{
        Action,
        Engine,
        Event,
        Notice,
        PeerMessage,
        membership::{
            Seed,
            Vm, //
        },
        message::Envelope,
        names::{
            Incarnation,
            VmId, //
        },
        notice::Level, //
    },
    edge::mailbox::{
        ADMIN,
        AdminOut,
        AnswerOut,
        AttemptCancelled,
        AttemptOut,
        BACKENDS,
        BACKENDS_CANCEL,
        CALLERS,
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
    kernel::{
        clock::Clock,
        registry::Registry, //
    },
};

/// How often the engine is told that time has passed.
const TICK: Duration = Duration::from_millis(10);

/// How many events may wait for the engine.
const MAILBOX: usize = 65_536;

/// The mailboxes of the services that carry out actions.
struct Outlets {
    fabric: Recipient<PacketOut>,
    peers: Recipient<PeerOut>,
    backends: Recipient<AttemptOut>,
    cancel: Recipient<AttemptCancelled>,
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
    /// Whether a configuration is in force.
    pub ready: bool,
    /// Whether no request is left to finish.
    pub idle: bool,
    /// The metrics in the text exposition format.
    pub metrics: String,
}

/// The name under which the engine answers [`GetHealth`].
pub const HEALTH: &str = "engine/health";

impl EngineService {
    /// Starts the engine of the VM `me`.
    pub fn spawn(me: Vm, seeds: Vec<Seed>, clock: Clock, registry: &Registry) {
        let seed = me.incarnation.0;
        let engine = Engine::open(me, seeds.clone(), seed, clock.now());
        let service = EngineService {
            engine,
            clock,
            seeds,
            registry: registry.clone(),
            outlets: None,
        };
        let address = service.start();
        registry.register(ENGINE, address.clone().recipient::<EngineEvent>());
        registry.register(HEALTH, address.recipient::<GetHealth>());
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
        let actions = self
            .engine
            .handle(self.clock.now(), self.clock.wall(), event);
        for action in actions {
            carry_out(&self.engine, &self.seeds, outlets, action);
        }
    }
}

impl Actor for EngineService {
    type Context = Context<EngineService>;

    fn started(&mut self, cx: &mut Context<EngineService>) {
        cx.set_mailbox_capacity(MAILBOX);
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
            ready: self.engine.is_ready(),
            idle: self.engine.is_idle(),
            metrics: String::new(),
        }
    }
}

fn carry_out(engine: &Engine, seeds: &[Seed], outlets: &Outlets, action: Action) {
    match action {
        Action::Forward { to, packet } => {
            let route = Route::Backend(to);
            outlets.fabric.do_send(PacketOut { route, packet });
        }
        Action::Relay { to, packet } => {
            if let Some(member) = engine.view().member(&to) {
                let route = Route::Vm(member.vm.relay);
                outlets.fabric.do_send(PacketOut { route, packet });
            }
        }
        Action::Reply { packet } => {
            let route = Route::Caller;
            outlets.fabric.do_send(PacketOut { route, packet });
        }
        Action::Peer { to, msg } => send_to_peer(engine, seeds, outlets, &to, msg),
        Action::Attempt(attempt) => outlets.backends.do_send(AttemptOut(attempt)),
        Action::CancelAttempt(id) => outlets.cancel.do_send(AttemptCancelled(id)),
        Action::Answer { call, answer } => outlets.callers.do_send(AnswerOut { call, answer }),
        Action::Platform(call) => outlets.platform.do_send(PlatformOut(call)),
        Action::Admin(reply) => outlets.admin.do_send(AdminOut(reply)),
        Action::Note { notice, detail } => log(notice, &detail),
    }
}

fn send_to_peer(engine: &Engine, seeds: &[Seed], outlets: &Outlets, to: &VmId, msg: PeerMessage) {
    let Some((address, to_incarnation)) = peer_address(engine, seeds, to) else {
        return;
    };
    let me = &engine.view().me;
    let envelope = Envelope {
        from: me.id.clone(),
        incarnation: me.incarnation,
        to_incarnation,
        msg,
    };
    outlets.peers.do_send(PeerOut { address, envelope });
}

fn peer_address(engine: &Engine, seeds: &[Seed], to: &VmId) -> Option<(SocketAddr, Incarnation)> {
    if let Some(member) = engine.view().member(to) {
        return Some((member.vm.peers, member.vm.incarnation));
    }
    let seed = seeds.iter().find(|s| s.id == *to)?;
    Some((seed.peers, Incarnation::default()))
}

fn log(notice: Notice, detail: &str) {
    let number = notice.number();
    let text = notice.text();
    match notice.level() {
        Level::Error => error!(event = number, detail, "{text}"),
        Level::Warn => warn!(event = number, detail, "{text}"),
        Level::Info => info!(event = number, detail, "{text}"),
    }
}
