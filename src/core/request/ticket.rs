//! Tickets: the right to run one non-idempotent request once.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::core::{
    names::{
        Incarnation,
        ServiceId,
        VmId, //
    },
    request::http::HttpRequest,
};

/// The longest ticket that is read, in characters.
const MAX_TICKET_TEXT: usize = 512;

/// The run of a VM that issued a ticket.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{vm}/{incarnation}")]
pub struct Issuer {
    /// The VM.
    pub vm: VmId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// The right to run one non-idempotent request once.
///
/// Only the holder of the issuer's ticket table runs it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// Who issued it.
    pub issuer: Issuer,
    /// Distinguishes the tickets of one issuer.
    pub number: u64,
    /// A hash with the issuer's secret, which finds damaged or invented tickets.
    check: [u8; 8],
}

/// Identifies what a request asks for. Two equal requests have equal digests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Digest(u64);

impl Ticket {
    /// Issues a ticket.
    pub fn issue(issuer: Issuer, number: u64, secret: u64) -> Ticket {
        let check = check(&issuer, number, secret);
        Ticket {
            issuer,
            number,
            check,
        }
    }

    /// Tells whether the ticket was issued with `secret`.
    pub fn is_genuine(&self, secret: u64) -> bool {
        self.check == check(&self.issuer, self.number, secret)
    }

    /// Reads a ticket. Returns `None` if `text` is not one.
    pub fn parse(text: &str) -> Option<Ticket> {
        if text.len() > MAX_TICKET_TEXT {
            return None;
        }
        let bytes = from_hex(text.as_bytes())?;
        let (ticket, rest) = postcard::take_from_bytes(&bytes).ok()?;
        rest.is_empty().then_some(ticket)
    }

    /// Writes the ticket as text that fits into a header.
    pub fn to_text(&self) -> String {
        // No field of a ticket can fail to be encoded.
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        bytes.iter().map(|b| format!("{b:02x}")).collect()
    }
}

impl Digest {
    /// Computes the digest of `request` to `service`.
    pub fn of(service: &ServiceId, request: &HttpRequest) -> Digest {
        let parts = (service, &request.method, &request.path);
        let head = postcard::to_stdvec(&parts).unwrap_or_default();
        Digest(xxh3_64_with_seed(&request.body, xxh3_64(&head)))
    }
}

fn check(issuer: &Issuer, number: u64, secret: u64) -> [u8; 8] {
    let parts = (issuer.vm.hash64(), issuer.incarnation, number);
    let bytes = postcard::to_stdvec(&parts).unwrap_or_default();
    xxh3_64_with_seed(&bytes, secret).to_le_bytes()
}

fn from_hex(text: &[u8]) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) {
        return None;
    }
    text.chunks_exact(2)
        .map(|pair| Some(hex_digit(pair[0])? << 4 | hex_digit(pair[1])?))
        .collect()
}

fn hex_digit(c: u8) -> Option<u8> {
    match c {
        b'0'..=b'9' => Some(c - b'0'),
        b'a'..=b'f' => Some(c - b'a' + 10),
        _ => None,
    }
}
