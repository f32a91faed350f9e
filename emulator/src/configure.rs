//! Writes configurations to the platform: the first one, as the set-up of a
//! system does, and later ones behind the load balancer's back.

use std::{
    io,
    net::SocketAddr, //
};

use awc::{
    Client,
    http::StatusCode, //
};
use serde::Deserialize;
use serde_json::Value;

use crate::configuration::{
    CONFIGURATION_KEY,
    Configuration, //
};

/// A change of the configuration.
#[derive(Clone, Debug)]
pub enum Change {
    /// Drains this backend server.
    Drain(String),
    /// Takes this data centre out.
    Out(String),
    /// Returns this data centre at once.
    Return(String),
}

#[derive(Deserialize)]
struct Object {
    version: u64,
    value: Configuration,
}

/// Writes `cfg` as the first configuration.
///
/// # Errors
///
/// Fails if the platform does not answer or holds a configuration already.
pub async fn configure(platform: SocketAddr, cfg: &Configuration) -> io::Result<()> {
    write(platform, 0, cfg).await
}

/// Makes `change` to the configuration that the platform holds.
///
/// # Errors
///
/// Fails if the platform does not answer or another write came between.
pub async fn amend(platform: SocketAddr, change: &Change) -> io::Result<()> {
    let mut object = read(platform).await?;
    let cfg = &mut object.value;
    match change {
        Change::Drain(name) => {
            let backend = cfg.backends.iter_mut().find(|b| b.name == *name);
            backend.ok_or_else(|| missing(name))?.state = "draining".to_owned();
        }
        Change::Out(name) => set_data_centre(cfg, name, "out", 0)?,
        Change::Return(name) => set_data_centre(cfg, name, "in", 100)?,
    }
    let generation = cfg.rest.get("generation").and_then(Value::as_u64);
    let next = generation.unwrap_or(0) + 1;
    cfg.rest.insert("generation".to_owned(), next.into());
    write(platform, object.version, cfg).await
}

fn set_data_centre(cfg: &mut Configuration, name: &str, state: &str, share: u8) -> io::Result<()> {
    let data_centre = cfg.data_centres.iter_mut().find(|d| d.name == name);
    let data_centre = data_centre.ok_or_else(|| missing(name))?;
    data_centre.state = state.to_owned();
    data_centre.rest.insert("share".to_owned(), share.into());
    Ok(())
}

fn missing(name: &str) -> io::Error {
    io::Error::other(format!("the configuration has no {name}"))
}

async fn read(platform: SocketAddr) -> io::Result<Object> {
    const MAX_OBJECT: usize = 1 << 20;
    let request = Client::default().get(url(platform)).send().await;
    let mut response = request.map_err(|e| io::Error::other(e.to_string()))?;
    let object = response.json().limit(MAX_OBJECT).await;
    object.map_err(|e| io::Error::other(e.to_string()))
}

async fn write(platform: SocketAddr, version: u64, cfg: &Configuration) -> io::Result<()> {
    let precondition = match version {
        0 => ("if-none-match", "*".to_owned()),
        _ => ("if-match", format!("\"{version}\"")),
    };
    let sent = Client::default()
        .put(url(platform))
        .insert_header(precondition)
        .send_json(cfg)
        .await;
    match sent.map(|response| response.status()) {
        Ok(StatusCode::OK) => Ok(()),
        Ok(status) => Err(io::Error::other(format!("the platform answers {status}"))),
        Err(e) => Err(io::Error::other(format!("the platform fails: {e}"))),
    }
}

fn url(platform: SocketAddr) -> String {
    format!("http://{platform}/v1/objects/{CONFIGURATION_KEY}")
}
