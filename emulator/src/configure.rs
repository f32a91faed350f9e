//! Writes the first configuration to the platform, as the set-up of a system
//! does.

use std::{
    io,
    net::SocketAddr, //
};

use awc::{
    Client,
    http::StatusCode, //
};

use crate::configuration::{
    CONFIGURATION_KEY,
    Configuration, //
};

/// Writes `cfg` as the first configuration.
///
/// # Errors
///
/// Fails if the platform does not answer or holds a configuration already.
pub async fn configure(platform: SocketAddr, cfg: &Configuration) -> io::Result<()> {
    let url = format!("http://{platform}/v1/objects/{CONFIGURATION_KEY}");
    let sent = Client::default()
        .put(url)
        .insert_header(("if-none-match", "*"))
        .send_json(cfg)
        .await;
    match sent.map(|response| response.status()) {
        Ok(status) if status.is_success() => Ok(()),
        Ok(StatusCode::PRECONDITION_FAILED) => Err(io::Error::other(
            "the platform holds a configuration; start with an empty one",
        )),
        Ok(status) => Err(io::Error::other(format!("the platform answers {status}"))),
        Err(e) => Err(io::Error::other(format!("the platform fails: {e}"))),
    }
}
