//! Tickets that each permit one run of a non-idempotent request.

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

/// Maximum length of a ticket's text form, in bytes.
const MAX_TICKET_LEN: usize = 512;

/// One run of a VM, as the issuer or holder of a ticket table.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{vm}/{incarnation}")]
pub struct Issuer {
    /// VM of the run.
    pub vm: VmId,
    /// Distinguishes the runs of the VM.
    pub incarnation: Incarnation,
}

/// Permission to run one non-idempotent request once.
///
/// Only the holder of the issuer's ticket table redeems it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// Run that issued the ticket.
    pub issuer: Issuer,
    /// Sequence number among the issuer's tickets.
    pub number: u64,
    /// Keyed with the issuer's secret; detects damaged or forged tickets.
    checksum: [u8; 8],
}

/// Hash of a request's service, method, path and body.
///
/// Headers are left out, so a retry may carry different ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Digest(u64);

impl Ticket {
    /// Creates the ticket `number` of `issuer` with a checksum keyed by `secret`.
    pub fn issue(issuer: Issuer, number: u64, secret: u64) -> Ticket {
        let checksum = keyed_checksum(&issuer, number, secret);
        Ticket {
            issuer,
            number,
            checksum,
        }
    }

    /// Returns whether the ticket was issued with `secret`.
    pub fn is_authentic(&self, secret: u64) -> bool {
        self.checksum == keyed_checksum(&self.issuer, self.number, secret)
    }

    /// Parses the text form of a ticket. Returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Ticket> {
        if text.len() > MAX_TICKET_LEN {
            return None;
        }
        let bytes = from_hex(text.as_bytes())?;
        let (ticket, rest) = postcard::take_from_bytes(&bytes).ok()?;
        rest.is_empty().then_some(ticket)
    }

    /// Encodes the ticket as hexadecimal text for a header value.
    pub fn to_text(&self) -> String {
        // Encoding cannot fail for any field type of a ticket.
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

fn keyed_checksum(issuer: &Issuer, number: u64, secret: u64) -> [u8; 8] {
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
