//! Polls the back end's health and load endpoints and passes the results to the gate as hints.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_calls::gate::io::{GateInput, LoadHint};

use crate::driver::Driver;
use crate::metrics::Counters;

/// The maximum size of the load endpoint's response, in bytes; a larger response, or one without a length, is ignored.
const MAX_LOAD_BYTES: u64 = 64;

/// The endpoints to poll, and how often.
#[derive(Clone, Debug)]
pub struct HealthEndpoints {
    /// The URL of the health endpoint; any success status means healthy.
    pub health: String,
    /// The URL of the load endpoint, which responds with a number: the load as a fraction of the capacity.
    pub load: Option<String>,
    /// The pause between polls, and the timeout of each request.
    pub interval: Duration,
}

/// Polls the endpoints until the future is dropped.
pub async fn run(client: reqwest::Client, endpoints: HealthEndpoints, driver: Arc<Driver>, counters: Arc<Counters>) {
    let mut was_healthy = None;
    loop {
        let healthy = is_healthy(&client, &endpoints).await;
        if !healthy {
            counters.failed_health_checks.inc();
        }
        if was_healthy.replace(healthy) != Some(healthy) {
            log::info!(healthy; "the result of the back end's health check changed");
        }
        let load = query_load(&client, &endpoints).await;
        driver.gate_input(GateInput::Hint(LoadHint { healthy, load }));
        tokio::time::sleep(endpoints.interval).await;
    }
}

async fn is_healthy(client: &reqwest::Client, endpoints: &HealthEndpoints) -> bool {
    let response = client.get(&endpoints.health).timeout(endpoints.interval).send().await;
    response.is_ok_and(|response| response.status().is_success())
}

async fn query_load(client: &reqwest::Client, endpoints: &HealthEndpoints) -> Option<f64> {
    let url = endpoints.load.as_ref()?;
    let response = client.get(url).timeout(endpoints.interval).send().await.ok()?;
    let is_short = response.content_length().is_some_and(|length| length <= MAX_LOAD_BYTES);
    if !response.status().is_success() || !is_short {
        return None;
    }
    let load: f64 = response.text().await.ok()?.trim().parse().ok()?;
    (load.is_finite() && load >= 0.0).then_some(load)
}
