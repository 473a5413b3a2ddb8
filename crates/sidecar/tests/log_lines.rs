//! The lines that docs/OPERATIONS.md tells on-call engineers to look for are written.

mod support;

use std::sync::Mutex;
use std::time::Duration;

use quillhatch_mesh::cut::Cut;
use quillhatch_sidecar::reach::{heard, own_reach};
use support::caller::{call, request};
use support::store::{StandInStore, StoreMode};
use support::target::{CrashRule, HealthStatus, TargetBehaviour};
use support::{eventually, run, start_sidecar, Machine};
use tokio::time::sleep;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Collecting;

impl log::Log for Collecting {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target().starts_with("quillhatch_sidecar") {
            LINES.lock().expect("no test panicked").push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

fn lines_of(event: &str, containing: &str) -> Vec<serde_json::Value> {
    let lines = LINES.lock().expect("no test panicked");
    let parsed = lines.iter().map(|line| serde_json::from_str::<serde_json::Value>(line).expect("each line is JSON"));
    let wanted = parsed.filter(|line| line["event"] == event && line.to_string().contains(containing));
    wanted.collect()
}

fn one(event: &str, containing: &str) -> serde_json::Value {
    let found = lines_of(event, containing);
    assert!(!found.is_empty(), "no line {event:?} with {containing:?}");
    found[0].clone()
}

const HOST: &str = "shop.example";

fn document(version: u32) -> String {
    format!(
        r#"{{"version":"r{version}","listeners":[{{"host":"{HOST}","rules":[
          {{"name":"pay","kind":"unsafe","aim_s":1,"priority":0,"match":{{"prefix":"/pay/"}},"action":{{"service":"alpha","timeout_s":1,"max_attempts":2}}}},
          {{"name":"read","kind":"safe","aim_s":1,"priority":2,"match":{{"prefix":"/read/"}},"action":{{"service":"alpha","timeout_s":1,"max_attempts":2}}}}]}}],
        "clusters":[{{"name":"alpha","health_path":"/health"}},{{"name":"beta","health_path":"/health"}}]}}"#
    )
}

#[test]
fn the_lines_named_in_the_operations_page_are_written() {
    log::set_boxed_logger(Box::new(Collecting)).expect("no logger yet");
    log::set_max_level(log::LevelFilter::Info);
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5));
        let alpha = Machine::start(&store, "alpha", 2).await;
        let beta = Machine::start(&store, "beta", 2).await;
        eventually("both are listed", || beta.node().targets.borrow().len() == 2).await;
        let pay = |id: &str| request("POST", HOST, "/pay/", id, 5000, "x");
        let read = |id: &str| request("GET", HOST, "/read/", id, 5000, "");

        // A call that failed with its target.
        alpha.target.set_behaviour(TargetBehaviour::NoAnswer);
        call(beta.outbound(), &pay("lost-call")).await;
        let gate = one("gate", "lost-call");
        assert_eq!(gate["outcome"], "broken");
        assert_eq!(gate["expected"], alpha.target.id());
        assert_eq!(one("attempt-failed", "lost-call")["target"], alpha.target.id());
        let given_up = one("given-up", "lost-call");
        assert_eq!(
            (&given_up["why"], &given_up["may_have_run"], &given_up["version"]),
            (&"broken".into(), &true.into(), &5.into())
        );

        // A call that was refused under load.
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(700)));
        let calls: Vec<_> = (0..12)
            .map(|number| {
                tokio::task::spawn_local({
                    let (outbound, text) = (beta.outbound(), read(&format!("load-{number}")));
                    async move { call(outbound, &text).await }
                })
            })
            .collect();
        for call in calls {
            call.await.expect("the caller ends");
        }
        let full = lines_of("gate", "load-");
        assert!(full.iter().any(|line| line["outcome"] == "full" && line["limit"] == 2), "{full:?}");
        assert!(lines_of("given-up", "load-").iter().any(|line| line["may_have_run"] == false));
        for route in ["read"] {
            for _ in 0..200 {
                beta.node().cuts.borrow_mut().report(&route.into(), Cut::after(0.0), beta.node().now());
            }
        }
        let mut number = 0;
        while lines_of("refused", "shed-").is_empty() {
            call(beta.outbound(), &read(&format!("shed-{number}"))).await;
            number += 1;
            assert!(number < 50, "a cut at zero refuses most calls");
        }
        let refused = one("refused", "shed-");
        for field in ["share", "share_age_ms", "position", "version", "route"] {
            assert!(!refused[field].is_null(), "{field} of {refused}");
        }

        // A call that was late, and one without a route.
        call(beta.outbound(), &request("GET", HOST, "/none/", "astray", 5000, "")).await;
        assert_eq!(one("no-route", "astray")["version"], 5);
        alpha.target.set_behaviour(TargetBehaviour::ServerError);
        sleep(Duration::from_secs(5)).await;
        call(beta.outbound(), &pay("failing")).await;
        assert_eq!(one("answered", "failing")["status"], 500);

        // A target that ended, and the call that it was working on.
        let rule = CrashRule {
            path: "/pay/crash".to_owned(),
            after: Duration::from_millis(5),
            down_for: Duration::from_millis(200),
            keeps_id: false,
        };
        alpha.target.set_crash_rule(rule);
        let ended = alpha.target.id();
        call(beta.outbound(), &request("POST", HOST, "/pay/crash", "crashing", 5000, "x")).await;
        eventually("the end is told", || !lines_of("target-ended", &ended).is_empty()).await;
        let line = one("target-ended", &ended);
        assert_eq!(line["running"], 1);
        let signature = line["signatures"][0].as_str().expect("a signature").to_owned();
        assert!(one("gate", "crashing")["why"].as_str().is_some_and(|why| why.contains(&signature)));
        eventually("the target is back", || alpha.target.id() != ended).await;
        store.deregister(&ended);
        store.register(&alpha.target, "ready");

        // What changes a node's belief.
        store.write_configuration(&document(6));
        eventually("version 6", || beta.node().configuration.borrow().version() == 6).await;
        assert_eq!(one("configuration", "\"version\":6")["taken"], true);
        alpha.target.restart_with_same_id();
        store.register(&alpha.target, "ready");
        eventually("the new life is told", || !lines_of("target-restarted", &alpha.target.id()).is_empty()).await;
        store.write("servers/odd", Some("{}"));
        eventually("the odd entry is told", || !lines_of("target-unusable", "odd").is_empty()).await;
        sleep(Duration::from_millis(50)).await;
        store.restore_backup(Duration::ZERO);
        eventually("the new era is told", || !lines_of("store-era", "\"era\":2").is_empty()).await;
        let position = quillhatch_mesh::replica::Position { era: 9, revision: 1_000_000 };
        let later = quillhatch_sidecar::hop::StoreView { position, store_unreachable: false };
        heard(beta.node(), alpha.address.into(), later);
        eventually("another node is asked", || !lines_of("caught-up", "\"heard\":\"9.1000000\"").is_empty()).await;
        store.write_configuration("{");
        eventually("the broken one is told", || !lines_of("configuration-unusable", "").is_empty()).await;
        store.set_mode(StoreMode::Unresponsive);
        let (address, local) = (alpha.address, alpha.target.address);
        alpha.sidecar.stop().await;
        for event in ["stopping", "gate-closed", "stopped"] {
            one(event, &address.to_string());
        }
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        let turned_away = store.add_listener().await;
        turned_away.set_mode(StoreMode::Unresponsive);
        let restarted = start_sidecar(address, "alpha", local, turned_away.address);
        sleep(Duration::from_millis(300)).await;
        call(beta.outbound(), &read("after-restart")).await;
        eventually("the view is taken", || !lines_of("caught-up", &format!("sidecar-{address}")).is_empty()).await;
        eventually("the loss of the store is told", || !lines_of("store-lost", "").is_empty()).await;
        eventually("its own access is told", || !lines_of("store-access", "\"lost\":true").is_empty()).await;
        let beta_lost = quillhatch_sidecar::hop::StoreView { store_unreachable: true, ..own_reach(beta.node()) };
        heard(beta.node(), address.into(), beta_lost);
        one("peer-store-access", &address.to_string());
        let reached = || lines_of("store-reached", "").len();
        let before = reached();
        store.set_mode(StoreMode::Normal);
        turned_away.set_mode(StoreMode::Normal);
        eventually("its own access is back", || !lines_of("store-access", "\"lost\":false").is_empty()).await;
        eventually("the store is reached", || reached() > before).await;
        one("started", &address.to_string());
        one("target", &alpha.target.id());

        // A target that is gone while its machine reports that it can't read the store.
        let id = alpha.target.id();
        eventually("it is listed", || beta.node().targets.borrow().get(&id).is_some()).await;
        alpha.target.set_health(HealthStatus::Draining);
        turned_away.set_mode(StoreMode::Unresponsive);
        store.deregister(&id);
        eventually("that it leaves is told", || !lines_of("target-leaving", &address.to_string()).is_empty()).await;
        store.register(&alpha.target, "ready");
        eventually("it is listed", || beta.node().targets.borrow().get(&id).is_some()).await;
        let beta_lost = quillhatch_sidecar::hop::StoreView { store_unreachable: true, ..own_reach(beta.node()) };
        heard(beta.node(), address.into(), beta_lost);
        store.deregister(&id);
        let is_kept = || lines_of("target-gone", &id).iter().any(|line| line["why"] == "its machine is cut off");
        eventually("why it is kept is told", is_kept).await;
        eventually("that it is dropped is told", || !lines_of("target-dropped", &id).is_empty()).await;
        drop(restarted);
    });
}
