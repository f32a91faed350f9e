//! The actor that owns the engine: it passes events to the engine and dispatches
//! the resulting actions.

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

/// The interval of [`Event::Tick`].
const TICK: Duration = Duration::from_millis(10);

/// The mailboxes of the actors that execute actions.
struct Mailboxes {
    fabric: Recipient<PacketOut>,
    peers: Recipient<PeerOut>,
    backends: Recipient<AttemptOut>,
    cancel: Recipient<CancelAttempt>,
    callers: Recipient<AnswerOut>,
    platform: Recipient<PlatformOut>,
    admin: Recipient<AdminOut>,
}

/// The actor that owns the engine.
pub struct EngineService {
    engine: Engine,
    clock: Clock,
    seeds: Vec<Seed>,
    registry: Registry,
    counts: EdgeCounts,
    in_flight: InFlight,
    /// The mailbox capacity in events.
    mailbox_capacity: usize,
    /// Set by [`WithdrawReadiness`].
    is_stopping: bool,
    /// `None` until all actors have been registered. Events are dropped until then.
    mailboxes: Option<Mailboxes>,
}

/// Requests the health of the process.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Health")]
pub struct GetHealth;

/// The health of the process.
#[derive(Clone, Debug, actix::MessageResponse)]
pub struct Health {
    /// Whether a configuration is in force and no shutdown was announced.
    pub ready: bool,
    /// Whether no request is pending.
    pub idle: bool,
}

/// The registry name for [`GetHealth`].
pub const HEALTH: &str = "engine/health";

/// Requests the metrics in the OpenMetrics text format.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "String")]
pub struct GetMetrics;

/// The registry name for [`GetMetrics`].
pub const METRICS: &str = "engine/metrics";

/// Announces a graceful shutdown: the process is no longer ready.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct WithdrawReadiness;

/// The registry name for [`WithdrawReadiness`].
pub const READINESS: &str = "engine/readiness";

impl EngineService {
    /// Starts the engine of the VM `me` and registers the actor.
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
            mailbox_capacity: settings.limits.engine_queue,
            is_stopping: false,
            mailboxes: None,
        };
        let address = service.start();
        registry.register(ENGINE, address.clone().recipient::<EngineEvent>());
        registry.register(HEALTH, address.clone().recipient::<GetHealth>());
        registry.register(METRICS, address.clone().recipient::<GetMetrics>());
        registry.register(READINESS, address.recipient::<WithdrawReadiness>());
    }

    fn find_mailboxes(&self) -> Option<Mailboxes> {
        Some(Mailboxes {
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
        if self.mailboxes.is_none() {
            self.mailboxes = self.find_mailboxes();
        }
        let Some(mailboxes) = &self.mailboxes else {
            return;
        };
        self.in_flight.on_event(&event);
        let actions = self
            .engine
            .handle(self.clock.now(), self.clock.wall(), event);
        for action in actions {
            self.in_flight.on_action(&action);
            if !dispatch(&self.engine, &self.seeds, mailboxes, action) {
                self.counts.add(Counter::ActionOverflow);
            }
        }
    }
}

impl Actor for EngineService {
    type Context = Context<EngineService>;

    fn started(&mut self, cx: &mut Context<EngineService>) {
        cx.set_mailbox_capacity(self.mailbox_capacity);
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
            ready: self.engine.is_ready() && !self.is_stopping,
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
        self.is_stopping = true;
    }
}

/// Sends an action to the actor that executes it. Returns `false` if the mailbox
/// of that actor was full. Only packets and peer messages may be dropped; the
/// number of other actions is bounded by the requests that cause them.
fn dispatch(engine: &Engine, seeds: &[Seed], mailboxes: &Mailboxes, action: Action) -> bool {
    match action {
        Action::Forward { to, packet } => mailboxes.send_packet(Route::Backend(to), packet),
        Action::Relay { to, packet } => match engine.view().member(&to) {
            Some(member) => mailboxes.send_packet(Route::Vm(member.vm.relay_address), packet),
            None => true,
        },
        Action::Reply { packet } => mailboxes.send_packet(Route::Caller, packet),
        Action::Peer { to, msg } => send_to_peer(engine, seeds, mailboxes, &to, msg),
        action => {
            mailboxes.dispatch_reliable(action);
            true
        }
    }
}

impl Mailboxes {
    fn send_packet(&self, route: Route, packet: Bytes) -> bool {
        self.fabric.try_send(PacketOut { route, packet }).is_ok()
    }

    /// Dispatches an action that must not be dropped.
    fn dispatch_reliable(&self, action: Action) {
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
    mailboxes: &Mailboxes,
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
    mailboxes
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
