//! The interface of a platform adapter.

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
        Era,
        Malformed,
        StoreAnswer,
        StoreCall, //
    },
};

/// An error in a datagram that should be a client packet.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum PacketError {
    /// The length does not match the header.
    #[display("the datagram has {got} bytes but its header requires {want}; check the sender")]
    Length {
        /// The actual length in bytes.
        got: usize,
        /// The required length in bytes.
        want: usize,
    },
    /// The combination of flags is not one that a client sends.
    #[display("the flags {flags:#04x} are not valid for a client packet; check the sender")]
    Flags {
        /// The flag byte of the header.
        flags: u8,
    },
}

/// An HTTP method that the store supports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Method {
    /// Reads or watches objects.
    Get,
    /// Creates an object.
    Post,
    /// Replaces an object.
    Put,
}

/// An HTTP request to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The JSON body, if there is one.
    pub body: Option<serde_json::Value>,
}

/// A parsed response of the store.
#[derive(Debug)]
pub struct ParsedAnswer {
    /// What can be used.
    pub answer: StoreAnswer,
    /// What cannot, in the order of the response.
    pub malformed: Vec<Malformed>,
}

impl From<StoreAnswer> for ParsedAnswer {
    fn from(answer: StoreAnswer) -> ParsedAnswer {
        ParsedAnswer {
            answer,
            malformed: Vec::new(),
        }
    }
}

/// The wire formats of a platform. Implementations only translate: they are
/// stateless and make no steering decisions.
pub trait PlatformFormat {
    /// Returns the HTTP path of the readiness probe.
    fn readiness_path(&self) -> &'static str;

    /// Parses a client packet.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is not a valid client packet.
    fn read_packet(&self, datagram: &[u8]) -> Result<Packet, PacketError>;

    /// Replaces the contents of `buf` with the datagram that forwards a client
    /// packet to the backend server `target`.
    fn write_forward(&self, datagram: &[u8], target: &Target, buf: &mut Vec<u8>);

    /// Replaces the contents of `buf` with the datagram that resets a client's flow.
    fn write_reset(&self, reset: &Reset, buf: &mut Vec<u8>);

    /// Builds the HTTP request for a store call.
    fn store_request(&self, call: &StoreCall) -> StoreRequest;

    /// Returns the name of the HTTP header in which the store gives its era, a
    /// decimal number.
    fn era_header(&self) -> &'static str;

    /// Parses the HTTP status and body of the response to a store call. `era` is
    /// that of the response.
    fn read_answer(&self, call: &StoreCall, status: u16, era: Era, body: &[u8]) -> ParsedAnswer;
}
