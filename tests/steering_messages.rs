//! Tests of the encoding of messages between VMs.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use dragonflytrack::{
    core::steering::{
        peers::{
            KindQuery,
            PeerMessage,
            SnapshotAnswer,
            SnapshotRequest, //
        },
        store::Kind,
    },
    edge::steering::message_format::{
        self,
        MessageError, //
    },
};
use proptest::prelude::*;

fn request() -> SnapshotRequest {
    SnapshotRequest {
        requester: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000),
        queries: Kind::ALL.map(KindQuery::full).to_vec(),
    }
}

#[test]
fn a_message_is_read_as_it_was_sent() {
    let buf = message_format::encode(&request()).expect("it can be encoded");
    assert_eq!(message_format::decode(&buf), Ok(request()));
}

#[test]
fn a_message_of_another_version_is_refused() {
    let buf = message_format::encode(&request()).expect("it can be encoded");
    // Builds without versions began with the number of a variant, of 0 to 3.
    for got in 0..4 {
        let mut other = buf.clone();
        other[0] = got;
        let result: Result<SnapshotRequest, _> = message_format::decode(&other);
        assert_eq!(result, Err(MessageError::Version { got }));
    }
}

#[test]
fn a_build_without_versions_refuses_these_messages() {
    let buf = message_format::encode(&request()).expect("it can be encoded");
    assert!(postcard::from_bytes::<PeerMessage>(&buf).is_err());
}

#[test]
fn a_truncated_message_is_refused() {
    let buf = message_format::encode(&request()).expect("it can be encoded");
    for len in 0..buf.len() {
        let result: Result<SnapshotRequest, _> = message_format::decode(&buf[..len]);
        assert!(result.is_err(), "{len} bytes");
    }
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(buf in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = message_format::decode::<PeerMessage>(&buf);
        let _ = message_format::decode::<SnapshotRequest>(&buf);
        let _ = message_format::decode::<SnapshotAnswer>(&buf);
    }
}
