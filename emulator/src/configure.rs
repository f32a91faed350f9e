//! Writes the initial configuration of a new system to the platform.

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

/// Writes `cfg` as the initial configuration.
///
/// # Errors
///
/// Fails if the platform cannot be reached, refuses the write or already holds a
/// configuration.
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
            "the platform already holds a configuration; start with an empty platform",
        )),
        Ok(status) => Err(io::Error::other(format!(
            "the platform answered with status {status}"
        ))),
        Err(e) => Err(io::Error::other(format!(
            "request to the platform failed: {e}"
        ))),
    }
}
