//! Messages between the VMs.

use derive_more::From;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::core::{
    capacity::CapacityMessage,
    flow::FlowMessage,
    intent::IntentMessage,
    membership::MembershipMessage,
    names::{
        Incarnation,
        VmId, //
    },
    request::RequestMessage,
};

/// A message from a state machine to its counterpart on another VM.
#[derive(Clone, Debug, From, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Heartbeats and views.
    Membership(MembershipMessage),
    /// Announcements and transfers of the configuration.
    Intent(IntentMessage),
    /// Locations of flows.
    Flow(FlowMessage),
    /// Slots of backend servers.
    Capacity(CapacityMessage),
    /// Requests relayed to another VM.
    Request(RequestMessage),
}

/// A message with its sender and addressed run, as encoded on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: VmId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The receiver's incarnation as known to the sender, or zero if unknown.
    pub to_incarnation: Incarnation,
    /// The message.
    pub msg: PeerMessage,
}

impl Envelope {
    /// Encodes the envelope.
    ///
    /// # Errors
    ///
    /// Fails if the codec cannot represent the message, which no variant of
    /// [`PeerMessage`] causes.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is not a valid encoding of an envelope.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Returns the encoded length in bytes.
    pub fn encoded_len(&self) -> usize {
        self.encode().map_or(0, |bytes| bytes.len())
    }
}
