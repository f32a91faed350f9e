//! Data centres that operators took out of service, read from the platform.

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

/// The interval between two reads of the configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long a configuration may be in force before it is read here.
const VISIBILITY_DELAY: Duration = Duration::from_secs(1);

/// The backend servers whose data centre is or was out of service.
#[derive(Debug)]
pub(super) struct Outages {
    platform: Option<SocketAddr>,
    /// The time at which the data centre of each backend server was last out.
    last_out: RefCell<BTreeMap<String, Instant>>,
}

#[derive(Deserialize)]
struct Object {
    value: Configuration,
}

impl Outages {
    /// Creates a tracker that has seen no outage. Without a `platform` it never
    /// sees one.
    pub(super) fn new(platform: Option<SocketAddr>) -> Outages {
        Outages {
            platform,
            last_out: RefCell::default(),
        }
    }

    /// Reads the configuration periodically and never returns.
    pub(super) async fn poll(&self) {
        loop {
            self.read().await;
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether the data centre of `backend` was out of service after
    /// `last_answered`, the time of the last answer on a flow to it.
    pub(super) async fn was_out(&self, backend: &str, last_answered: Instant) -> bool {
        self.read().await;
        self.last_out
            .borrow()
            .get(backend)
            .is_some_and(|out| *out + VISIBILITY_DELAY >= last_answered)
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
