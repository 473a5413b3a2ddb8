//! Two tenants with API keys, routes that need a key and one public route, and one machine for each of two services.

use std::time::Duration;

use quillhatch_mesh::settings::{Bounds, SidecarSettings};

use super::caller::{call, request, Response};
use super::store::StandInStore;
use super::{eventually, Machine, BOUNDS};

/// The host of the routes.
pub const HOST: &str = "shop.example";
/// The key of the tenant without a rate limit.
pub const FREE_KEY: &str = "key-of-free";
/// The key of the tenant with a rate limit.
pub const LIMITED_KEY: &str = "key-of-limited";
/// The rate limit of that tenant, in calls per second.
pub const LIMITED_RATE: f64 = 3.0;
/// The burst that the tenant may send beyond the rate, in calls.
pub const LIMITED_BURST: f64 = 3.0;
/// The bound on revocation in tests that set one. Keys are accepted for 1.485 s after a proof.
pub const REVOCATION: Duration = Duration::from_millis(2500);

/// A configuration in which the tenant `free` has the API keys `keys`.
pub fn document(version: u32, keys: &[&str]) -> String {
    format!(
        r#"{{"version":"r{version}",
        "tenants":[{{"name":"free","api_keys":{keys:?},"priority":1}},
          {{"name":"limited","api_keys":["{LIMITED_KEY}"],"rate_per_s":{LIMITED_RATE},"burst":{LIMITED_BURST}}}],
        "listeners":[{{"host":"{HOST}","rules":[
          {{"name":"read","kind":"safe","aim_s":1,"match":{{"prefix":"/read/"}},"action":{{"service":"alpha","timeout_s":1,"max_attempts":2}}}},
          {{"name":"chain","kind":"safe","aim_s":1,"match":{{"prefix":"/chain/"}},"action":{{"service":"alpha","timeout_s":2,"max_attempts":1}}}},
          {{"name":"leaf","kind":"safe","aim_s":1,"match":{{"prefix":"/leaf/"}},"action":{{"service":"beta","timeout_s":1,"max_attempts":2}}}},
          {{"name":"open","kind":"safe","aim_s":1,"public":true,"match":{{"prefix":"/open/"}},"action":{{"service":"alpha","timeout_s":1,"max_attempts":2}}}}]}}],
        "clusters":[{{"name":"alpha","health_path":"/health"}},{{"name":"beta","health_path":"/health"}}]}}"#
    )
}

/// A request for a route with extra headers, each ended by a line break.
pub fn get(route: &str, id: &str, headers: &str) -> String {
    request("GET", HOST, &format!("/{route}/x"), id, 5000, "").replacen("\r\n\r\n", &format!("\r\n{headers}\r\n"), 1)
}

/// The header that contains an API key.
pub fn with_key(key: &str) -> String {
    format!("X-Api-Key: {key}\r\n")
}

/// Sends a read with an API key through `machine`.
pub async fn read(machine: &Machine, id: &str, key: &str) -> Response {
    call(machine.outbound(), &get("read", id, &with_key(key))).await.expect("a response")
}

/// Adds a bound on revocation to the settings.
pub fn with_strict_revocation(settings: SidecarSettings) -> SidecarSettings {
    SidecarSettings { bounds: Bounds { revocation: Some(REVOCATION), ..BOUNDS }, ..settings }
}

/// Configures the store and starts a machine of `alpha`, which reads it at `store`, and one of `beta`, which reads it
/// at `store_of_beta`.
pub async fn two_machines(
    change: impl Fn(SidecarSettings) -> SidecarSettings,
    store: &StandInStore,
    store_of_beta: &StandInStore,
) -> (Machine, Machine) {
    store.write_configuration(&document(5, &[FREE_KEY]));
    let alpha = Machine::start_with(store, "alpha", 8, &change).await;
    let beta = Machine::start_with(store_of_beta, "beta", 8, &change).await;
    for machine in [&alpha, &beta] {
        eventually("both are listed", || machine.node().targets.borrow().len() == 2).await;
    }
    (alpha, beta)
}
