//! What operators decided, as callers may learn it from the platform.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use actix_rt::time::sleep;
use awc::Client;
use serde::Deserialize;

use crate::configuration::{
    CONFIGURATION_KEY,
    Configuration, //
};

/// How often the configuration is read.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// How long the configuration in force may take to be seen here.
const SIGHT_LAG: Duration = Duration::from_secs(1);

/// The data centres that operators took out.
#[derive(Debug)]
pub(super) struct Outages {
    platform: Option<SocketAddr>,
    /// Maps a backend server to when its data centre was last seen out.
    last_out: RefCell<BTreeMap<String, Instant>>,
}

#[derive(Deserialize)]
struct Object {
    value: Configuration,
}

impl Outages {
    /// Knows of no data centre that is out.
    pub(super) fn new(platform: Option<SocketAddr>) -> Outages {
        Outages {
            platform,
            last_out: RefCell::default(),
        }
    }

    /// Reads the configuration again and again.
    pub(super) async fn follow(&self) {
        loop {
            self.read().await;
            sleep(READ_INTERVAL).await;
        }
    }

    /// Tells whether the data centre of `backend` was out at some time after
    /// `last_good`, when a flow to it was last seen to live.
    pub(super) async fn was_out(&self, backend: &str, last_good: Instant) -> bool {
        self.read().await;
        self.last_out
            .borrow()
            .get(backend)
            .is_some_and(|out| *out + SIGHT_LAG >= last_good)
    }

    async fn read(&self) {
        let Some(cfg) = self.configuration().await else {
            return;
        };
        let now = Instant::now();
        for backend in &cfg.backends {
            if cfg
                .data_centre_of(&backend.name)
                .is_some_and(|d| d.state == "out")
            {
                self.last_out.borrow_mut().insert(backend.name.clone(), now);
            }
        }
    }

    async fn configuration(&self) -> Option<Configuration> {
        let platform = self.platform?;
        let url = format!("http://{platform}/v1/objects/{CONFIGURATION_KEY}");
        let mut response = Client::default().get(url).send().await.ok()?;
        let object: Object = response.json().limit(1 << 20).await.ok()?;
        Some(object.value)
    }
}
