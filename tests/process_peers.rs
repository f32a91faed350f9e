//! A peer that does not read blocks nothing and loses counted messages.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::mpsc::{
        self,
        Sender, //
    },
    thread,
    time::Duration, //
};

use actix::{
    Actor,
    Context,
    Handler,
    Recipient, //
};
use dragonflytrack::{
    core::{
        counter::Counter,
        engine::Event,
        membership::{
            MembershipMessage,
            Vm, //
        },
        message::Envelope,
        names::Incarnation,
    },
    edge::{
        counts::EdgeCounts,
        mailbox::{
            ENGINE,
            EngineEvent,
            PEERS,
            PeerOut, //
        },
        peers::Peers,
    },
    kernel::registry::Registry,
};
use dragonflytrack_testkit::process::address::AddressAllocator;

/// How many messages each peer is sent.
const MESSAGES: usize = 400;

/// Large enough that the messages do not fit the buffers of a connection.
const MESSAGE_LEN: usize = 100_000;

const QUEUE: u16 = 16;

/// How long the sends may take, with a wide margin.
const LIMIT: Duration = Duration::from_secs(10);

/// Stands in the engine's place and tells of each message.
struct Receiver(Sender<()>);

impl Actor for Receiver {
    type Context = Context<Receiver>;
}

impl Handler<EngineEvent> for Receiver {
    type Result = ();

    fn handle(&mut self, msg: EngineEvent, _cx: &mut Context<Receiver>) {
        if matches!(msg.0, Event::Peer(_)) {
            self.0.send(()).expect("the test waits");
        }
    }
}

fn envelope(address: SocketAddr) -> Envelope {
    let vm = Vm {
        id: "x".repeat(MESSAGE_LEN).as_str().into(),
        data_centre: "bud-a".into(),
        incarnation: Incarnation(1),
        peer_address: address,
        relay_address: address,
    };
    Envelope {
        from: "bud-a-1".into(),
        incarnation: Incarnation(1),
        to_incarnation: Incarnation(1),
        msg: MembershipMessage::Members { vms: vec![vm] }.into(),
    }
}

/// Starts the service and returns its mailbox.
fn bind(address: SocketAddr, counts: &EdgeCounts, received: Sender<()>) -> Recipient<PeerOut> {
    let registry = Registry::default();
    registry.register(
        ENGINE,
        Receiver(received).start().recipient::<EngineEvent>(),
    );
    Peers::bind(address, QUEUE, counts, &registry).expect("the address is free");
    registry.find(PEERS).expect("the service is registered")
}

async fn send_all(peers: &Recipient<PeerOut>, address: SocketAddr, pause: Duration) {
    for _ in 0..MESSAGES {
        let envelope = envelope(address);
        let msg = PeerOut { address, envelope };
        peers.send(msg).await.expect("the service runs");
        actix_rt::time::sleep(pause).await;
    }
}

/// Sends to the peer at `address` and returns how many messages were lost, or
/// `None` if a send blocked.
fn lost(address: SocketAddr) -> Option<u64> {
    let (done, finished) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let counts = EdgeCounts::default();
            let (received, _messages) = mpsc::channel();
            let own = AddressAllocator::open().allocate_one();
            let peers = bind(own, &counts, received);
            send_all(&peers, address, Duration::ZERO).await;
            let _ = done.send(counts.get(Counter::PeerOverflow));
        });
    });
    finished.recv_timeout(LIMIT).ok()
}

#[test]
fn a_peer_that_does_not_read_blocks_no_send() {
    // The kernel accepts the connection, and nothing ever reads from it.
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let lost = lost(frozen.local_addr().unwrap()).expect("a send blocked");
    assert!(lost > 0);
}

#[test]
fn a_dead_peer_blocks_no_send() {
    let dead = AddressAllocator::open().allocate_one();
    let lost = lost(dead).expect("a send blocked");
    assert_eq!(lost, MESSAGES as u64 - u64::from(QUEUE));
}

#[test]
fn a_peer_that_reads_gets_every_message() {
    let (received, messages) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let counts = EdgeCounts::default();
            let own = AddressAllocator::open().allocate_one();
            let peers = bind(own, &counts, received);
            send_all(&peers, own, Duration::from_millis(5)).await;
        });
    });
    for n in 0..MESSAGES {
        let message = messages.recv_timeout(LIMIT);
        assert!(message.is_ok(), "{n} of {MESSAGES} messages arrived");
    }
}
