//! A fake of the users' platform: its store over HTTP, and backend servers and
//! clients over UDP, as its documentation describes them. Simplified: a list is
//! one page, a watch returns all newer events at once, and each datagram
//! carries one packet.

pub use self::{
    backend::BackendServer,
    client::{
        Client,
        Flow,
        Reply, //
    },
    packet::{
        Packet,
        flag, //
    },
    store::{
        Store,
        StoreState, //
    },
};

mod backend;
mod client;
mod packet;
mod store;
