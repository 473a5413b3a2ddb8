//! A host with one route, and one machine for each of two services.

use std::time::Duration;

use super::caller::request;
use super::store::StandInStore;
use super::target::TargetBehaviour;
use super::{eventually, Machine};

/// The host of the route.
pub const HOST: &str = "shop.example";

/// A configuration in which `service` serves the route.
pub fn document(version: u32, service: &str) -> String {
    format!(
        r#"{{"version":"r{version}","listeners":[{{"host":"{HOST}","rules":[
          {{"name":"read","kind":"safe","aim_s":1,"priority":2,"match":{{"prefix":"/read/"}},"action":{{"splits":[{{"service":"{service}","weight":1}}],"timeout_s":1,"max_attempts":2}}}}]}}],
        "clusters":[{{"name":"alpha","health_path":"/health"}},{{"name":"beta","health_path":"/health"}}]}}"#
    )
}

/// A configuration in which `alpha` serves calls of `/chain/`, and `beta` those of `/read/`.
pub fn chain_document() -> String {
    chain_document_with_timeout(2)
}

/// The same with another timeout of both routes, in seconds.
pub fn chain_document_with_timeout(timeout_s: u32) -> String {
    let rule = |name: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","kind":"safe","aim_s":1,"priority":1,"match":{{"prefix":"/{name}/"}},"action":{{"splits":[{{"service":"{service}","weight":1}}],"timeout_s":{timeout_s},"max_attempts":2}}}}"#
        )
    };
    format!(
        r#"{{"version":"r3","listeners":[{{"host":"{HOST}","rules":[{},{}]}}],"clusters":[{{"name":"alpha","health_path":"/health"}},{{"name":"beta","health_path":"/health"}}]}}"#,
        rule("chain", "alpha"),
        rule("read", "beta")
    )
}

/// A request for the route.
pub fn read(id: &str) -> String {
    request("GET", HOST, "/read/x", id, 5000, "")
}

/// How long the targets of [`start_fleet`] work on a call. With almost no work, a difference of a microsecond decides
/// which target gets nearly all calls.
pub const WORK_TIME: Duration = Duration::from_millis(4);

/// Starts a store and a machine with a target of each of these services; `alpha` serves the route.
pub async fn start_fleet(services: &[&str], slots: u32) -> (StandInStore, Vec<Machine>) {
    let store = StandInStore::start().await;
    store.write_configuration(&document(5, "alpha"));
    let mut machines = Vec::new();
    for service in services {
        let machine = Machine::start(&store, service, slots).await;
        machine.target.set_behaviour(TargetBehaviour::Slow(WORK_TIME));
        machines.push(machine);
    }
    let all_know = || machines.iter().all(|machine| machine.node().targets.borrow().len() == services.len());
    eventually("all are listed everywhere", all_know).await;
    (store, machines)
}

/// Starts a store, a machine of `alpha` and one of `beta`.
pub async fn two_machines() -> (StandInStore, Machine, Machine) {
    let store = StandInStore::start().await;
    store.write_configuration(&document(5, "alpha"));
    let alpha = Machine::start(&store, "alpha", 8).await;
    let beta = Machine::start(&store, "beta", 8).await;
    eventually("both are listed at beta", || beta.node().targets.borrow().len() == 2).await;
    (store, alpha, beta)
}
