//! What an adapter to a platform translates.

use derive_more::{
    Display,
    Error, //
};

use crate::core::steering::{
    packet::{
        Packet,
        Reset,
        Target, //
    },
    store::{
        StoreAnswer,
        StoreCall, //
    },
};

/// A datagram is no packet of a client.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum PacketError {
    /// It ends before the header does, or before the data.
    #[display("the datagram is {got} bytes, its header asks for {want}; check who sends it")]
    Length {
        /// The length of the datagram in bytes.
        got: usize,
        /// The length that there should be.
        want: usize,
    },
    /// Its flags name no packet that a client sends.
    #[display("the flags {flags:#04x} are no packet of a client; check who sends it")]
    Flags {
        /// The flags.
        flags: u8,
    },
}

/// The method of an HTTP request to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// Reads.
    Get,
    /// Creates.
    Post,
    /// Replaces.
    Put,
}

/// An HTTP request to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The JSON body, if there is one.
    pub body: Option<serde_json::Value>,
}

/// The names and forms of one platform. An implementation translates; it
/// decides nothing and keeps nothing.
pub trait PlatformFormat {
    /// The path of the readiness probe.
    fn readiness_path(&self) -> &'static str;

    /// Reads the datagram of a client.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is no packet of a client.
    fn read_packet(&self, datagram: &[u8]) -> Result<Packet, PacketError>;

    /// Writes to `buf` the datagram for the backend server `target` that
    /// carries the packet of a client on.
    fn write_forward(&self, datagram: &[u8], target: &Target, buf: &mut Vec<u8>);

    /// Writes to `buf` the datagram that tells a client that its flow is over.
    fn write_reset(&self, reset: &Reset, buf: &mut Vec<u8>);

    /// Returns the HTTP request of a call.
    fn store_request(&self, call: &StoreCall) -> StoreRequest;

    /// Reads the answer to a call from its status and body.
    fn read_answer(&self, call: &StoreCall, status: u16, body: &[u8]) -> StoreAnswer;
}
