//! A host with three routes and limits on callers, and one machine for each of two services.

use super::caller::request;
use super::store::StandInStore;
use super::{eventually, Machine};

/// The host of the routes.
pub const HOST: &str = "shop.example";

/// A configuration with limits on callers.
pub fn document(version: u32) -> String {
    document_with_timeout(version, 1)
}

/// The same with another timeout of all routes, in seconds.
pub fn document_with_timeout(version: u32, timeout_s: u32) -> String {
    format!(
        r#"{{"version":"r{version}","limits":{{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_s":3,"idle_timeout_s":15}},
        "listeners":[{{"host":"{HOST}","rules":[
          {{"name":"read","kind":"safe","aim_s":1,"priority":2,"match":{{"prefix":"/read/"}},"action":{{"service":"alpha","timeout_s":{timeout_s},"max_attempts":2}}}},
          {{"name":"read-deep","kind":"safe","aim_s":1,"priority":2,"match":{{"prefix":"/read/deep/"}},"action":{{"service":"beta","timeout_s":{timeout_s},"max_attempts":2}}}},
          {{"name":"pay","kind":"unsafe","aim_s":1,"priority":0,"match":{{"prefix":"/pay/"}},"action":{{"service":"alpha","timeout_s":{timeout_s},"max_attempts":2}}}}]}}],
        "clusters":[{{"name":"alpha","health_path":"/health","max_connections":100}},{{"name":"beta","health_path":"/health","max_connections":100}}]}}"#
    )
}

/// A request that may be retried.
pub fn read(id: &str) -> String {
    request("GET", HOST, "/read/x?q=1", id, 5000, "")
}

/// A request that must run at most once.
pub fn pay(id: &str) -> String {
    request("POST", HOST, "/pay/", id, 5000, "amount=7")
}

/// Starts a store, a machine of `alpha` and one of `beta`. Callers use the machine of `beta`.
pub async fn two_machines() -> (StandInStore, Machine, Machine) {
    let store = StandInStore::start().await;
    store.write_configuration(&document(1));
    let alpha = Machine::start(&store, "alpha", 4).await;
    let beta = Machine::start(&store, "beta", 4).await;
    eventually("both are listed at beta", || beta.node().targets.borrow().len() == 2).await;
    (store, alpha, beta)
}
