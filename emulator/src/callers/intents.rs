//! What operators decided, as callers may learn it from the platform.

use std::net::SocketAddr;

use awc::Client;
use serde::Deserialize;

use crate::configuration::{
    CONFIGURATION_KEY,
    Configuration, //
};

#[derive(Deserialize)]
struct Object {
    value: Configuration,
}

/// Tells whether operators took out the data centre of `backend`.
pub(super) async fn is_taken_out(platform: Option<SocketAddr>, backend: &str) -> bool {
    let Some(platform) = platform else {
        return false;
    };
    let url = format!("http://{platform}/v1/objects/{CONFIGURATION_KEY}");
    let Ok(mut response) = Client::default().get(url).send().await else {
        return false;
    };
    match response.json::<Object>().limit(1 << 20).await {
        Ok(object) => object
            .value
            .data_centre_of(backend)
            .is_some_and(|d| d.state == "out"),
        Err(_) => false,
    }
}
