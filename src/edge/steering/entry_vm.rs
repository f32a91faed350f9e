//! An entry VM that steers by tag.

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
            TICK,
            readiness::ROUTER_NOTICE_TIME,
            store::Kind, //
        },
    },
    edge::log::note,
    kernel::clock::{
        Clock,
        Millis,
        Time, //
    },
    settings::SteeringSettings,
};

/// A stopping VM that got no packet for this long has nothing left to do.
const QUIET_TIME: Millis = Millis(400);

/// A suspension of the VM that is longer makes what it knows older.
const NOTICED_SUSPENSION: Millis = Millis(200);

/// Kept from the time that a planned stop may take.
const STOP_MARGIN: Millis = Millis(800);

/// What the tasks of the VM share. All run on one thread.
pub struct EntryVm<F> {
    /// The names and forms of the platform.
    pub format: F,
    /// The settings.
    pub settings: SteeringSettings,
    /// The clock of this run.
    pub clock: Clock,
    /// The decisions. Never borrowed across an await.
    pub steering: RefCell<Steering>,
    /// Ends calls that wait for the store since before a suspension.
    pub resumed: Notify,
    /// What is counted.
    pub metrics: Metrics,
    /// Counts the log lines that were lost.
    pub lost_lines: ErrorCounter,
    /// The log of decisions.
    pub log: RefCell<DecisionLog>,
    /// Takes packets and sends them on.
    pub packets: UdpSocket,
    /// Takes and sends datagrams of other VMs.
    pub peers: UdpSocket,
    /// When the last packet of a client arrived.
    pub last_packet: Cell<Time>,
}

impl<F: PlatformFormat + 'static> EntryVm<F> {
    /// Binds all sockets and starts to serve.
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
            millicores: settings.strength,
        };
        let rng_seed = me.vm.hash64() ^ me.incarnation.0;
        let vm = Rc::new(EntryVm {
            format,
            clock,
            steering: RefCell::new(Steering::open(me, &settings.seeds, rng_seed, clock.now())),
            resumed: Notify::new(),
            metrics: Metrics::default(),
            lost_lines,
            log: RefCell::default(),
            packets: UdpSocket::bind(settings.packets).await?,
            peers: UdpSocket::bind(settings.peers).await?,
            last_packet: Cell::new(Time::default()),
            settings,
        });
        ready::spawn(&vm).await?;
        peers::spawn(&vm).await?;
        packets::spawn(&vm);
        for kind in Kind::ALL {
            store::spawn(&vm, kind);
        }
        store::spawn_registration(&vm);
        actix_rt::spawn(tick(Rc::clone(&vm)));
        Ok(vm)
    }

    /// Takes in settings that changed. Addresses need a restart.
    pub fn reload(&self, settings: &SteeringSettings) {
        let now = self.clock.now();
        self.steering.borrow_mut().add_seeds(&settings.seeds, now);
        let is_same = SteeringSettings {
            seeds: self.settings.seeds.clone(),
            ..settings.clone()
        } == self.settings;
        if is_same {
            note(Notice::Reloaded, "");
        } else {
            note(Notice::ReloadIncomplete, "");
        }
    }

    /// Carries out what was decided.
    pub fn act(self: &Rc<Self>) {
        self.record();
        let actions = self.steering.borrow_mut().take_actions();
        for action in actions {
            match action {
                Action::Reset(reset) => packets::send_reset(self, &reset),
                Action::Heartbeat { to } => peers::send_heartbeat(self, to),
                Action::Send { to, msg } => peers::send(self, to, &msg),
                Action::Probe { tag, address } => probes::spawn(self, tag, address),
                Action::RequestSnapshot { from, queries } => peers::pull(self, from, queries),
            }
        }
    }

    /// Logs and counts what was decided.
    fn record(&self) {
        let (decisions, samples) = {
            let mut steering = self.steering.borrow_mut();
            (steering.take_decisions(), steering.take_response_times())
        };
        let now = self.clock.now();
        for decision in &decisions {
            self.metrics.count_decision(decision);
            self.log.borrow_mut().write(decision, now);
        }
        for took in samples {
            self.metrics.note_answer(took);
        }
    }

    /// The address that packets for a client are sent to. All clients listen on
    /// the port on which this VM does.
    pub fn client_address(&self, client: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(*client.ip(), self.settings.packets.port())
    }

    /// Stops as planned: other VMs get the new flows, and packets are steered
    /// until none comes any more.
    pub async fn stop(self: &Rc<Self>) {
        let since = self.clock.now();
        self.steering.borrow_mut().stop(since);
        self.act();
        let limit = self.settings.stop_time - STOP_MARGIN;
        loop {
            sleep(Duration::from_millis(TICK.0)).await;
            let now = self.clock.now();
            let stopped_for = now.since(since);
            let quiet_for = now.since(self.last_packet.get());
            let is_done = stopped_for >= ROUTER_NOTICE_TIME && quiet_for >= QUIET_TIME;
            if is_done || stopped_for >= limit {
                return;
            }
        }
    }
}

async fn tick<F: PlatformFormat + 'static>(vm: Rc<EntryVm<F>>) {
    let mut suspended = vm.clock.suspended();
    loop {
        sleep(Duration::from_millis(TICK.0)).await;
        let before = std::mem::replace(&mut suspended, vm.clock.suspended());
        let span = suspended - before;
        if span > NOTICED_SUSPENSION {
            tracing::warn!(span_ms = span.0, "this VM was suspended");
            vm.steering.borrow_mut().on_suspension(span);
            vm.resumed.notify_waiters();
        }
        vm.steering.borrow_mut().tick(vm.clock.now());
        vm.act();
    }
}
