//! A socket address as an argument of the command line.

use std::{
    net::{
        AddrParseError,
        Ipv4Addr,
        SocketAddr, //
    },
    str::FromStr,
};

/// A socket address with the default that the argument parser asks for.
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
