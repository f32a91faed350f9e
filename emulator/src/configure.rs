//! Writes configurations to the platform, as the first set-up of a system
//! does.

use std::{
    io,
    net::SocketAddr, //
};

use awc::Client;

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
        .insert_header(("if-match", "0"))
        .send_json(cfg)
        .await;
    match sent {
        Ok(response) if response.status().is_success() => Ok(()),
        Ok(response) => Err(io::Error::other(format!(
            "the platform answers {}; is a configuration there already?",
            response.status()
        ))),
        Err(e) => Err(io::Error::other(format!("the platform fails: {e}"))),
    }
}
