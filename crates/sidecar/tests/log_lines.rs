//! The log lines that docs/OPERATIONS.md names for on-call engineers are written.

mod support;

use std::sync::Mutex;
use std::time::Duration;

use quillhatch_mesh::admission_level::AdmissionLevel;
use quillhatch_sidecar::store_view::{own_store_view, record_peer_view};
use support::caller::{call, request, Caller};
use support::store::{StandInStore, StoreMode};
use support::target::{CrashRule, EndlessPart, EndlessResponse, HealthStatus, TargetBehaviour};
use support::{eventually, run, start_sidecar, unused_address, Machine};
use tokio::time::sleep;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// A logger that collects the lines of this crate.
struct CollectingLogger;

impl log::Log for CollectingLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target().starts_with("quillhatch_sidecar") {
            println!("{}", record.args());
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

fn first_line(event: &str, containing: &str) -> serde_json::Value {
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
fn the_log_lines_named_in_the_operations_page_are_written() {
    log::set_boxed_logger(Box::new(CollectingLogger)).expect("no logger yet");
    log::set_max_level(log::LevelFilter::Info);
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5));
        let alpha = Machine::start(&store, "alpha", 2).await;
        let beta = Machine::start(&store, "beta", 2).await;
        eventually("both are listed", || beta.node().targets.borrow().len() == 2).await;
        let follows = || !lines_of("source", &format!("\"peer\":\"{}\"", alpha.address)).is_empty();
        eventually("the node that beta follows is logged", follows).await;
        // A response that goes on beyond the deadline of its target, and whole ones.
        let endless = EndlessResponse { part: EndlessPart::ChunkedBody, pause: Duration::from_millis(20) };
        alpha.target.set_behaviour(TargetBehaviour::Endless(endless));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&request("GET", HOST, "/read/", "endless", 5000, "")).await;
        assert!(caller.is_closed_within(Duration::from_secs(3)).await);
        let aborted = first_line("stream-aborted", "endless");
        assert_eq!(aborted["why"], "source sends beyond its deadline");
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        let whole = call(beta.outbound(), &request("GET", HOST, "/read/", "whole", 5000, "")).await;
        assert_eq!(whole.expect("a response").status, 200);
        first_line("circuit-breaker", "\"tripped\":true");
        first_line("circuit-breaker", "\"tripped\":false");

        // A process that ends with a call in progress.
        let ended = start_sidecar(unused_address(), "beta", alpha.target.address, store.address);
        let cut_call = ended.node.calls.begin("cut-call", ended.node.now());
        cut_call.set_target(Some(&"i-cut".into()));
        let _cut_response = ended.node.responses.begin("cut-response", ended.node.now());
        let _cut_run = ended.node.runs.begin("cut-run", ended.node.now());
        let stopping = tokio::task::spawn_local(ended.stop());

        let pay = |id: &str| request("POST", HOST, "/pay/", id, 5000, "x");
        let read = |id: &str| request("GET", HOST, "/read/", id, 5000, "");

        // A call whose target closes the connection without a response.
        alpha.target.set_behaviour(TargetBehaviour::NoResponse);
        call(beta.outbound(), &pay("lost-call")).await;
        let gate_line = first_line("gate", "lost-call");
        assert_eq!(gate_line["outcome"], "broken");
        assert_eq!(gate_line["expected"], alpha.target.id());
        assert_eq!(first_line("attempt-failed", "lost-call")["target"], alpha.target.id());
        let given_up = first_line("given-up", "lost-call");
        assert_eq!(
            (&given_up["why"], &given_up["may_have_run"], &given_up["version"]),
            (&"broken".into(), &true.into(), &5.into())
        );
        assert_eq!((&given_up["at_work"], &given_up["stopping"]), (&"".into(), &false.into()));

        // A target that names a rate limit, and then one that is no number.
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        for (limit, id) in
            [(Some("9000.5"), "limited"), (Some("many"), "unusable"), (Some("many"), "again"), (None, "free")]
        {
            alpha.target.set_rate_limit(limit);
            assert_eq!(call(beta.outbound(), &read(id)).await.expect("a response").status, 200);
        }
        let limits = lines_of("target-rate-limit", &alpha.target.id());
        let named: Vec<_> = limits.iter().map(|line| &line["per_second"]).collect();
        assert_eq!(named, [&serde_json::json!(9000.5), &serde_json::Value::Null]);
        assert_eq!(lines_of("target-rate-limit-unusable", &alpha.target.id()).len(), 1);

        // A call that is refused because the gate is full, and one that is refused at entry.
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
                beta.node().admission_levels.borrow_mut().record_report(
                    &route.into(),
                    AdmissionLevel::from_priority_share(0.0),
                    beta.node().now(),
                );
            }
        }
        let mut number = 0;
        while lines_of("refused", "shed-").is_empty() {
            call(beta.outbound(), &read(&format!("shed-{number}"))).await;
            number += 1;
            assert!(number < 50, "an admission level of zero refuses most calls");
        }
        let refused = first_line("refused", "shed-");
        for field in ["share", "share_age_ms", "position", "version", "route"] {
            assert!(!refused[field].is_null(), "{field} of {refused}");
        }

        // A call without a route, and one to which the target responds with an error.
        call(beta.outbound(), &request("GET", HOST, "/none/", "astray", 5000, "")).await;
        assert_eq!(first_line("no-route", "astray")["version"], 5);
        alpha.target.set_behaviour(TargetBehaviour::ServerError);
        sleep(Duration::from_secs(5)).await;
        call(beta.outbound(), &pay("failing")).await;
        assert_eq!(first_line("answered", "failing")["status"], 500);

        // A target that crashes, and the call that it was working on.
        let rule = CrashRule {
            path: "/pay/crash".to_owned(),
            after: Duration::from_millis(5),
            down_for: Duration::from_millis(200),
            keeps_id: false,
        };
        alpha.target.set_crash_rule(rule);
        let crashed_id = alpha.target.id();
        call(beta.outbound(), &request("POST", HOST, "/pay/crash", "crashing", 5000, "x")).await;
        eventually("the crash is logged", || !lines_of("target-ended", &crashed_id).is_empty()).await;
        let line = first_line("target-ended", &crashed_id);
        assert_eq!(line["running"], 1);
        let signature = line["signatures"][0].as_str().expect("a signature").to_owned();
        assert!(first_line("gate", "crashing")["why"].as_str().is_some_and(|why| why.contains(&signature)));
        eventually("the target is back", || alpha.target.id() != crashed_id).await;
        store.deregister(&crashed_id);
        store.register(&alpha.target, "ready");

        // Changes of a node's view of the platform: the configuration, targets and the store.
        store.write_configuration(&document(6));
        eventually("version 6", || beta.node().configuration.borrow().version() == 6).await;
        assert_eq!(first_line("configuration", "\"version\":6")["taken"], true);
        alpha.target.restart_with_same_id();
        store.register(&alpha.target, "ready");
        eventually("the restart is logged", || !lines_of("target-restarted", &alpha.target.id()).is_empty()).await;
        let restarted = first_line("target-restarted", &alpha.target.id());
        assert_eq!(
            (&restarted["started"], &restarted["draining"]),
            (&alpha.target.start_time_ms().into(), &false.into())
        );
        store.write("servers/odd", Some("{}"));
        eventually("the invalid entry is logged", || !lines_of("target-unusable", "odd").is_empty()).await;
        // Texts of other writers, callers and targets that need escapes in JSON.
        let service = "al\"pha\r\n\u{1}\\";
        let written = serde_json::json!({
            "service": service, "address": "127.0.0.1:9", "zone": "zone-a", "version": "v1", "slots": 1,
            "state": "ready", "cold_remaining_s": 0, "seq": 1
        });
        store.write("servers/escaped", Some(&written.to_string()));
        store.write("servers/a\r\n\u{1}\"b", Some("{}"));
        store.write("servers/unescaped", Some(r#"{"state":"\u0001\u0000"}"#));
        eventually("the entry is logged", || !lines_of("target", "escaped").is_empty()).await;
        assert_eq!(first_line("target", "escaped")["service"], service);
        eventually("the name is logged", || !lines_of("store-item-invalid", "").is_empty()).await;
        eventually("the last entry is logged", || !lines_of("target-unusable", "unescaped").is_empty()).await;
        call(beta.outbound(), &request("GET", "\"a\tb\"", "/none/", "id-\"\t\"", 5000, "")).await;
        assert_eq!(first_line("no-route", "id-\\\"")["id"], "id-\"\t\"");
        store.deregister("escaped");
        sleep(Duration::from_millis(50)).await;
        store.restore_backup(Duration::ZERO);
        eventually("the new era is logged", || !lines_of("store-era", "\"era\":2").is_empty()).await;
        let position = quillhatch_mesh::replica::Position { era: 9, revision: 1_000_000 };
        let later = quillhatch_sidecar::hop::StoreView {
            replica: quillhatch_mesh::replica::ReplicaState { position, version: 0 },
            store_unreachable: false,
        };
        record_peer_view(beta.node(), alpha.address.into(), later);
        eventually("another node is queried", || !lines_of("caught-up", "\"heard\":\"9.1000000\"").is_empty()).await;
        store.write_configuration("{");
        eventually("the invalid configuration is logged", || !lines_of("configuration-unusable", "").is_empty()).await;
        store.set_mode(StoreMode::Unresponsive);
        let (address, local) = (alpha.address, alpha.target.address);
        alpha.sidecar.stop().await;
        for event in ["stopping", "gate-closed", "stopped"] {
            first_line(event, &address.to_string());
        }
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        let restarted_store = store.add_listener().await;
        restarted_store.set_mode(StoreMode::Unresponsive);
        let restarted = start_sidecar(address, "alpha", local, restarted_store.address);
        sleep(Duration::from_millis(300)).await;
        call(beta.outbound(), &read("after-restart")).await;
        eventually("another node's view is adopted", || {
            !lines_of("caught-up", &format!("sidecar-{address}")).is_empty()
        })
        .await;
        eventually("the loss of the store is logged", || !lines_of("store-lost", "").is_empty()).await;
        eventually("the loss of its own access is logged", || !lines_of("store-access", "\"lost\":true").is_empty())
            .await;
        let beta_lost = quillhatch_sidecar::hop::StoreView { store_unreachable: true, ..own_store_view(beta.node()) };
        record_peer_view(beta.node(), address.into(), beta_lost);
        first_line("peer-store-access", &address.to_string());
        let reached = || lines_of("store-reached", "").len();
        let before = reached();
        store.set_mode(StoreMode::Normal);
        restarted_store.set_mode(StoreMode::Normal);
        eventually("the recovery of its own access is logged", || {
            !lines_of("store-access", "\"lost\":false").is_empty()
        })
        .await;
        eventually("the store is reached", || reached() > before).await;
        first_line("started", &address.to_string());
        first_line("target", &alpha.target.id());

        // A target whose registration ends while its machine reports that it can't read the store.
        let id = alpha.target.id();
        eventually("it is listed", || beta.node().targets.borrow().get(&id).is_some()).await;
        alpha.target.set_health(HealthStatus::Draining);
        restarted_store.set_mode(StoreMode::Unresponsive);
        store.deregister(&id);
        eventually("its draining is logged", || !lines_of("target-leaving", &address.to_string()).is_empty()).await;
        store.register(&alpha.target, "ready");
        eventually("it is listed", || beta.node().targets.borrow().get(&id).is_some()).await;
        // Until then beta would retain it because of its own outage.
        let is_outage_over = || beta.node().now() >= beta.node().reregistration_deadline.get();
        eventually("the outage is over for beta", is_outage_over).await;
        let beta_lost = quillhatch_sidecar::hop::StoreView { store_unreachable: true, ..own_store_view(beta.node()) };
        record_peer_view(beta.node(), address.into(), beta_lost);
        store.deregister(&id);
        let is_retained = || lines_of("target-gone", &id).iter().any(|line| line["why"] == "its machine is cut off");
        eventually("the reason for retaining it is logged", is_retained).await;
        eventually("its removal is logged", || !lines_of("target-dropped", &id).is_empty()).await;
        drop(restarted);

        quillhatch_sidecar::logging::log_panics("the node".to_owned());
        std::thread::spawn(|| panic!("a \"panic\"")).join().expect_err("it panics");
        let panicked = first_line("panic", "the node");
        assert_eq!(panicked["why"], "a \"panic\"");
        assert!(panicked["at"].as_str().is_some_and(|place| place.contains("log_lines.rs")), "{panicked}");
        let _ = std::panic::take_hook();

        assert_eq!(stopping.await.expect("it stops"), 1);
        let cut_line = first_line("cut", "cut-call");
        assert_eq!((&cut_line["target"], &cut_line["part"]), (&"i-cut".into(), &"request".into()));
        assert_eq!(first_line("cut", "cut-response")["part"], "response");
        assert_eq!(first_line("cut", "cut-run")["part"], "target");
        assert!(cut_line["ms"].as_u64().is_some_and(|ms| ms >= 5_000), "{cut_line}");
    });
}
