//! Asks the back end's health and load endpoints and hands the answers to the gate as a hint.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_calls::gate::io::{GateInput, LoadHint};

use crate::driver::Driver;
use crate::metrics::Counters;

/// The largest answer of the load endpoint that is read, in bytes.
const MAXIMUM_LOAD_BYTES: u64 = 64;

/// Where and how often the endpoints are asked.
#[derive(Clone, Debug)]
pub struct HealthEndpoints {
    /// The URL of the health endpoint: any success means healthy.
    pub health: String,
    /// The URL of the load endpoint, which answers with a number: the load as a share of the capacity.
    pub load: Option<String>,
    /// The time between two looks, and the longest time of one.
    pub interval: Duration,
}

/// Asks the endpoints for ever.
pub async fn run(client: reqwest::Client, endpoints: HealthEndpoints, driver: Arc<Driver>, counters: Arc<Counters>) {
    let mut was_healthy = None;
    loop {
        let healthy = is_healthy(&client, &endpoints).await;
        if !healthy {
            counters.failed_health_checks.inc();
        }
        if was_healthy.replace(healthy) != Some(healthy) {
            log::info!(healthy; "the back end's health endpoint changed its answer");
        }
        let load = load(&client, &endpoints).await;
        driver.gate_input(GateInput::Hint(LoadHint { healthy, load }));
        tokio::time::sleep(endpoints.interval).await;
    }
}

async fn is_healthy(client: &reqwest::Client, endpoints: &HealthEndpoints) -> bool {
    let answer = client.get(&endpoints.health).timeout(endpoints.interval).send().await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

async fn load(client: &reqwest::Client, endpoints: &HealthEndpoints) -> Option<f64> {
    let url = endpoints.load.as_ref()?;
    let answer = client.get(url).timeout(endpoints.interval).send().await.ok()?;
    let short = answer.content_length().is_some_and(|length| length <= MAXIMUM_LOAD_BYTES);
    if !answer.status().is_success() || !short {
        return None;
    }
    let load: f64 = answer.text().await.ok()?.trim().parse().ok()?;
    (load.is_finite() && load >= 0.0).then_some(load)
}
