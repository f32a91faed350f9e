//! A socket address as a command-line argument.

use std::{
    net::{
        AddrParseError,
        Ipv4Addr,
        SocketAddr, //
    },
    str::FromStr,
};

/// A socket address with the `Default` that gumdrop requires of arguments.
#[derive(Clone, Copy, Debug)]
pub struct Address(pub SocketAddr);

impl Default for Address {
    fn default() -> Address {
        Address(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)))
    }
}

impl FromStr for Address {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Address, AddrParseError> {
        text.parse().map(Address)
    }
}
