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

/// A message of one of the core's state machines to its kin on another VM.
#[derive(Clone, Debug, From, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Heartbeats and views.
    Membership(MembershipMessage),
    /// Configuration between VMs.
    Intent(IntentMessage),
    /// Where flows live.
    Flow(FlowMessage),
    /// Slots of backend servers.
    Capacity(CapacityMessage),
    /// Requests run by another VM.
    Request(RequestMessage),
}

/// A message with its sender, as it travels.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: VmId,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// The receiver's run as the sender knows it; zero if it does not.
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
    /// Fails if `bytes` are not what [`Envelope::encode`] writes.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Returns the encoded length in bytes.
    pub fn encoded_len(&self) -> usize {
        self.encode().map_or(0, |bytes| bytes.len())
    }
}
