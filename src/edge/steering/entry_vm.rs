//! The process state and main loop of an entry VM that steers by tag.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io,
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use actix_rt::{
    net::UdpSocket,
    time::sleep, //
};
use tokio::sync::Notify;
use tracing_appender::non_blocking::ErrorCounter;

use super::{
    format::PlatformFormat,
    log::DecisionLog,
    metrics::Metrics,
    packets,
    peers,
    probes,
    ready,
    snapshots::{
        self,
        EncodedSnapshots, //
    },
    store, //
};
use crate::{
    core::{
        names::Incarnation,
        notice::Notice,
        steering::{
            Action,
            Identity,
            Steering,
            TICK, //
            readiness::ROUTER_NOTICE_TIME,
            store::{
                Era,
                Kind, //
            },
        },
    },
    edge::log::log_notice,
    kernel::clock::{
        Clock,
        Millis,
        Time, //
    },
    settings::SteeringSettings,
};

/// A stopping VM may exit once it has received no packet for this long.
const IDLE_TIME: Millis = Millis(400);

/// Longer suspensions of the VM are added to the age of its data.
const MIN_SUSPENSION: Millis = Millis(200);

/// The part of the stop timeout that is left unused.
const STOP_MARGIN: Millis = Millis(800);

/// State shared by the tasks of the VM, which all run on one thread.
pub struct EntryVm<F> {
    /// The platform's wire formats.
    pub format: F,
    /// The settings loaded at start.
    pub settings: SteeringSettings,
    /// The clock, started with the process.
    pub clock: Clock,
    /// The steering logic. Never borrowed across an await.
    pub steering: RefCell<Steering>,
    /// Cancels store calls that were pending when the VM was suspended.
    pub resumed: Notify,
    /// The metrics that the I/O tasks update.
    pub metrics: Metrics,
    /// The number of log lines lost.
    pub lost_lines: ErrorCounter,
    /// Rate-limited log of steering decisions.
    pub log: RefCell<DecisionLog>,
    /// The socket on which client packets are received and forwarded.
    pub packets: UdpSocket,
    /// The socket for datagrams to and from other VMs.
    pub peers: UdpSocket,
    /// Era in the last response of the store that had one.
    pub store_era: Cell<Era>,
    /// Whether a missing era was logged.
    pub is_era_missing: Cell<bool>,
    /// When a refused message may be logged again.
    pub next_refusal_log: Cell<Time>,
    /// Encoded snapshots for other VMs.
    pub snapshots: RefCell<EncodedSnapshots>,
    /// When the last client packet arrived.
    pub last_packet_at: Cell<Time>,
}

impl<F: PlatformFormat + 'static> EntryVm<F> {
    /// Binds all sockets and starts all tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn spawn(
        settings: SteeringSettings,
        format: F,
        lost_lines: ErrorCounter,
    ) -> io::Result<Rc<EntryVm<F>>> {
        let clock = Clock::start();
        let me = Identity {
            vm: settings.vm.clone(),
            incarnation: Incarnation(clock.wall().0),
            data_centre: settings.data_centre.clone(),
            address: settings.announced,
            millicores: settings.millicores,
        };
        let rng_seed = me.vm.hash64() ^ me.incarnation.0;
        let steering = Steering::open(me, &settings.seeds, rng_seed, clock.now());
        let vm = Rc::new(EntryVm {
            format,
            clock,
            steering: RefCell::new(steering),
            resumed: Notify::new(),
            metrics: Metrics::default(),
            lost_lines,
            log: RefCell::default(),
            packets: UdpSocket::bind(settings.packets).await?,
            peers: UdpSocket::bind(settings.peers).await?,
            store_era: Cell::default(),
            is_era_missing: Cell::default(),
            next_refusal_log: Cell::default(),
            snapshots: RefCell::default(),
            last_packet_at: Cell::new(Time::default()),
            settings,
        });
        ready::spawn(&vm).await?;
        snapshots::spawn(&vm).await?;
        peers::spawn(&vm);
        packets::spawn(&vm);
        for kind in Kind::ALL {
            store::spawn(&vm, kind);
        }
        store::spawn_registration(&vm);
        actix_rt::spawn(tick(Rc::clone(&vm)));
        Ok(vm)
    }

    /// Adds the seeds of changed settings. Other changes need a restart.
    pub fn reload(&self, settings: &SteeringSettings) {
        let now = self.clock.now();
        self.steering.borrow_mut().add_seeds(&settings.seeds, now);
        let is_applied = SteeringSettings {
            seeds: self.settings.seeds.clone(),
            ..settings.clone()
        } == self.settings;
        if is_applied {
            log_notice(Notice::Reloaded, "");
        } else {
            log_notice(Notice::ReloadIncomplete, "");
        }
    }

    /// Logs the pending decisions and executes the pending actions.
    pub fn run_actions(self: &Rc<Self>) {
        self.log_decisions();
        let actions = self.steering.borrow_mut().take_actions();
        for action in actions {
            match action {
                Action::Reset(reset) => packets::send_reset(self, &reset),
                Action::Heartbeat { to } => peers::send_heartbeat(self, to),
                Action::Send { to, msg } => peers::send(self, to, &msg),
                Action::Probe { tag, address } => probes::spawn(self, tag, address),
                Action::RequestSnapshot { from, queries } => {
                    snapshots::request(self, from, queries)
                }
            }
        }
    }

    fn log_decisions(&self) {
        let (decisions, response_times) = {
            let mut steering = self.steering.borrow_mut();
            (steering.take_decisions(), steering.take_response_times())
        };
        let now = self.clock.now();
        for decision in &decisions {
            self.metrics.count_decision(decision);
            self.log.borrow_mut().write(decision, now);
        }
        for response_time in response_times {
            self.metrics.observe_response_time(response_time);
        }
    }

    /// Returns the address to which packets for `client` are sent. All clients
    /// listen on this VM's packet port.
    pub fn client_address(&self, client: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(*client.ip(), self.settings.packets.port())
    }

    /// Shuts down gracefully: new flows go to other VMs, and packets are still
    /// steered until none has arrived for a while or the stop timeout is near.
    pub async fn stop(self: &Rc<Self>) {
        let since = self.clock.now();
        self.steering.borrow_mut().stop(since);
        self.run_actions();
        let limit = self.settings.stop_timeout - STOP_MARGIN;
        loop {
            sleep(Duration::from_millis(TICK.0)).await;
            let now = self.clock.now();
            let stopped_for = now.since(since);
            let idle_for = now.since(self.last_packet_at.get());
            let is_done = stopped_for >= ROUTER_NOTICE_TIME && idle_for >= IDLE_TIME;
            if is_done || stopped_for >= limit {
                return;
            }
        }
    }
}

async fn tick<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>) {
    let mut suspended = vm.clock.suspended();
    loop {
        let before = std::mem::replace(&mut suspended, vm.clock.suspended());
        let suspension = suspended - before;
        if suspension > MIN_SUSPENSION {
            tracing::warn!(span_ms = suspension.0, "the VM was suspended");
            vm.steering.borrow_mut().on_suspension(suspension);
            vm.resumed.notify_waiters();
        }
        vm.steering.borrow_mut().tick(vm.clock.now());
        vm.run_actions();
        sleep(Duration::from_millis(TICK.0)).await;
    }
}
