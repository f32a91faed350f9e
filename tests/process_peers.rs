//! A peer that does not read blocks no send, and its lost messages are counted.

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

/// The number of messages sent to each peer.
const MESSAGE_COUNT: usize = 400;

/// The size of a message in bytes, large enough that all messages together
/// exceed the buffers of a connection.
const MESSAGE_BYTES: usize = 100_000;

/// The capacity of the send queue of each peer, in messages.
const QUEUE_CAPACITY: u16 = 16;

/// How long all sends, or the arrival of one message, may take; far more than
/// either needs.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Takes the place of the engine and reports each message from a peer.
struct FakeEngine(Sender<()>);

impl Actor for FakeEngine {
    type Context = Context<FakeEngine>;
}

impl Handler<EngineEvent> for FakeEngine {
    type Result = ();

    fn handle(&mut self, msg: EngineEvent, _cx: &mut Context<FakeEngine>) {
        if matches!(msg.0, Event::Peer(_)) {
            self.0.send(()).expect("the test stopped receiving");
        }
    }
}

/// Builds a message of about `MESSAGE_BYTES` bytes.
fn build_envelope(address: SocketAddr) -> Envelope {
    let vm = Vm {
        id: "x".repeat(MESSAGE_BYTES).as_str().into(),
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

/// Binds the peer service at `address` and returns its mailbox.
fn bind_peers(
    address: SocketAddr,
    counts: &EdgeCounts,
    message_tx: Sender<()>,
) -> Recipient<PeerOut> {
    let registry = Registry::default();
    registry.register(
        ENGINE,
        FakeEngine(message_tx).start().recipient::<EngineEvent>(),
    );
    Peers::bind(address, QUEUE_CAPACITY, counts, &registry)
        .expect("failed to bind the peer service");
    registry.find(PEERS).expect("the service is not registered")
}

/// Sends all messages to the peer at `address`, with a pause after each.
async fn send_all(peers: &Recipient<PeerOut>, address: SocketAddr, pause: Duration) {
    for _ in 0..MESSAGE_COUNT {
        let envelope = build_envelope(address);
        let msg = PeerOut { address, envelope };
        peers.send(msg).await.expect("the service has stopped");
        actix_rt::time::sleep(pause).await;
    }
}

/// Sends to the peer at `address` and returns how many messages were lost, or
/// `None` if a send blocked.
fn count_lost_messages(address: SocketAddr) -> Option<u64> {
    let (result_tx, result_rx) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let counts = EdgeCounts::default();
            let (message_tx, _message_rx) = mpsc::channel();
            let own_address = AddressAllocator::open().allocate_one();
            let peers = bind_peers(own_address, &counts, message_tx);
            send_all(&peers, address, Duration::ZERO).await;
            let _ = result_tx.send(counts.get(Counter::PeerOverflow));
        });
    });
    result_rx.recv_timeout(SEND_TIMEOUT).ok()
}

#[test]
fn a_peer_that_does_not_read_blocks_no_send() {
    // The operating system accepts the connection, but no process reads from it.
    let unread_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let lost = count_lost_messages(unread_listener.local_addr().unwrap()).expect("a send blocked");
    assert!(lost > 0);
}

#[test]
fn a_dead_peer_blocks_no_send() {
    let dead_address = AddressAllocator::open().allocate_one();
    let lost = count_lost_messages(dead_address).expect("a send blocked");
    assert_eq!(lost, MESSAGE_COUNT as u64 - u64::from(QUEUE_CAPACITY));
}

#[test]
fn a_peer_that_reads_receives_every_message() {
    let (message_tx, message_rx) = mpsc::channel();
    thread::spawn(move || {
        actix_rt::System::new().block_on(async {
            let counts = EdgeCounts::default();
            let own_address = AddressAllocator::open().allocate_one();
            let peers = bind_peers(own_address, &counts, message_tx);
            send_all(&peers, own_address, Duration::from_millis(5)).await;
        });
    });
    for n in 0..MESSAGE_COUNT {
        let message = message_rx.recv_timeout(SEND_TIMEOUT);
        assert!(message.is_ok(), "{n} of {MESSAGE_COUNT} messages arrived");
    }
}
