//! Requests that a planned stop costs the response of a target that is at work on them.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use quillhatch_sidecar::hop::{HopReport, HOP_HEADER};
use support::caller::{call, request, Caller};
use support::hop::report;
use support::shop::{chain_document_with_timeout, read, HOST};
use support::store::StandInStore;
use support::target::{ChainedCall, TargetBehaviour};
use support::{eventually, run, unused_address, FullListener, Machine};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

const TIMEOUT_S: u32 = 6;

fn chain(id: &str) -> String {
    request("GET", HOST, "/chain/x", id, u64::from(TIMEOUT_S) * 1000, "")
}

/// Starts a machine of `alpha`, whose target makes one call to `beta` for each of its requests, and one of `beta`.
async fn two_machines() -> (StandInStore, Machine, Machine) {
    let store = StandInStore::start().await;
    store.write_configuration(&chain_document_with_timeout(TIMEOUT_S));
    let alpha = Machine::start(&store, "alpha", 64).await;
    let beta = Machine::start(&store, "beta", 64).await;
    for machine in [&alpha, &beta] {
        eventually("both are listed", || machine.node().targets.borrow().len() == 2).await;
    }
    let outbound = alpha.outbound();
    alpha.target.set_chained_call(ChainedCall { outbound, host: HOST.to_owned(), path: "/read/x".to_owned() });
    (store, alpha, beta)
}

/// Sends short calls, so that the nodes know their route as a fast one.
async fn warm_up(to: SocketAddr, text: impl Fn(&str) -> String) {
    for number in 0..10 {
        let response = call(to, &text(&format!("warm-{number}"))).await.expect("a response");
        assert_eq!(response.status, 200);
    }
}

#[test]
fn a_stopping_node_does_not_answer_a_nested_call_whose_target_responds_soon_after_the_shortened_deadline() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        let work = Duration::from_millis(5500);
        beta.target.set_behaviour(TargetBehaviour::SlowUntilDeadline(work, work));
        beta.target.set_deadline_delay(Duration::from_millis(90));
        let to = beta.outbound();
        alpha.target.set_chained_delay(Duration::from_millis(800));
        let parent = spawn_local(async move { call(to, &chain("parent")).await });
        eventually("the parent runs", || alpha.target.running() == 1).await;
        alpha.sidecar.stop().await;
        let nested = alpha.target.take_chained_records();
        let ends: Vec<_> = nested.iter().map(|call| (call.status, call.is_signed)).collect();
        assert_eq!(ends, [(Some(504), true)], "the target's own response");
        parent.await.expect("the caller ends");
    });
}

/// Responds to each call after `work`, and to no liveness probe.
async fn serve_without_probes(address: SocketAddr, work: Duration, report: HopReport) {
    let listener = TcpListener::bind(address).await.expect("a free address");
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let report = report.encode();
        spawn_local(async move {
            let mut buffer = vec![0; 16 * 1024];
            while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
                let Some(id) = text.lines().find_map(|line| line.strip_prefix("quillhatch-request-id: ")) else {
                    continue;
                };
                sleep(work).await;
                let response = format!(
                    "HTTP/1.1 200 OK\r\n{HOP_HEADER}: {report}\r\nQuillhatch-Request-Id: {id}\r\nQuillhatch-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
                );
                let _ = stream.write_all(response.as_bytes()).await;
            }
        });
    }
}

/// Lists a target of `beta` that works for 1.45 s, behind a node that answers no probes.
async fn list_silent_node(store: &StandInStore, alpha: &Machine) {
    let silent = unused_address();
    let address = (silent, alpha.inbound().port()).into();
    spawn_local(serve_without_probes(address, Duration::from_millis(1450), report(alpha)));
    list_target_of_beta(store, alpha, silent).await;
}

/// Lists a target of `beta` on this machine.
async fn list_target_of_beta(store: &StandInStore, alpha: &Machine, silent: Ipv4Addr) {
    let entry = format!(
        r#"{{"service":"beta","address":"{silent}:9","zone":"zone-a","version":"v1","slots":4,"state":"ready","cold_remaining_s":0,"seq":1}}"#
    );
    store.write("servers/i-silent", Some(&entry));
    eventually("it is listed", || alpha.node().targets.borrow().get("i-silent").is_some()).await;
}

#[test]
fn a_stopping_node_does_not_answer_a_call_whose_only_target_is_behind_a_node_that_stands_still() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&chain_document_with_timeout(TIMEOUT_S));
        let alpha = Machine::start(&store, "alpha", 64).await;
        list_silent_node(&store, &alpha).await;
        let mut caller = Caller::connect(alpha.outbound()).await;
        caller.send(&read("waits")).await;
        sleep(Duration::from_millis(50)).await;
        let stopping = spawn_local(alpha.sidecar.stop());
        let response = caller.next_response().await.expect("a response");
        assert_eq!((response.status, response.is_signed()), (200, true));
        stopping.await.expect("it stops");
    });
}

#[test]
fn a_call_that_can_not_be_retried_survives_a_node_that_stands_still_for_a_moment() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&chain_document_with_timeout(TIMEOUT_S));
        let alpha = Machine::start(&store, "alpha", 64).await;
        list_silent_node(&store, &alpha).await;
        let response = call(alpha.outbound(), &read("waits")).await.expect("a response");
        assert_eq!((response.status, response.is_signed()), (200, true));
    });
}

/// Sends a call to a target behind a silent node, while there is another one with this behaviour, and returns the status
/// and the body of the response.
async fn call_beside_silent_node(behaviour: TargetBehaviour, is_stopping: bool) -> (u16, String) {
    let (store, alpha, beta) = two_machines().await;
    // These calls are the budget for the retry. A target that was not measured yet is preferred to a measured one.
    beta.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(20)));
    warm_up(alpha.outbound(), read).await;
    list_silent_node(&store, &alpha).await;
    beta.target.set_behaviour(behaviour);
    let mut caller = Caller::connect(alpha.outbound()).await;
    caller.send(&read("waits")).await;
    sleep(Duration::from_millis(20)).await;
    let node = alpha.node().clone();
    let stopping = is_stopping.then(|| spawn_local(alpha.sidecar.stop()));
    let response = caller.next_response().await.expect("a response");
    assert_eq!(node.counters.retries.get(), 1, "the first target is the one behind the silent node");
    if let Some(stopping) = stopping {
        stopping.await.expect("it stops");
    }
    (response.status, String::from_utf8_lossy(&response.body).into_owned())
}

#[test]
fn a_call_that_its_silent_node_has_not_received_is_sent_to_another_target_without_a_retry() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        beta.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(20)));
        warm_up(alpha.outbound(), read).await;
        let silent = unused_address();
        let _listener = FullListener::start((silent, alpha.inbound().port()).into()).await;
        list_target_of_beta(&store, &alpha, silent).await;
        let response = call(alpha.outbound(), &read("waits")).await.expect("a response");
        assert_eq!((response.status, response.is_signed()), (200, true));
        let states = alpha.node().probe_results.borrow().len();
        assert_eq!((states, alpha.node().counters.retries.get()), (1, 0), "silent nodes, retries");
    });
}

#[test]
fn a_call_whose_node_stands_still_is_served_by_another_target() {
    run(async {
        let served = call_beside_silent_node(TargetBehaviour::Normal, false).await;
        assert_eq!(served, (200, "the answer to waits".to_owned()));
    });
}

#[test]
fn a_stopping_node_waits_for_a_node_that_stands_still_if_the_second_target_fails() {
    run(async {
        let served = call_beside_silent_node(TargetBehaviour::NoResponse, true).await;
        assert_eq!(served, (200, "ok".to_owned()));
    });
}

#[test]
fn the_end_of_a_gate_cuts_no_call_that_it_let_in_while_stopping() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        let own = alpha.outbound();
        warm_up(own, read).await;
        let work = Duration::from_millis(5500);
        beta.target.set_behaviour(TargetBehaviour::SlowUntilDeadline(work, work));
        let node = beta.node().clone();
        let stopping = spawn_local(beta.sidecar.stop());
        sleep(Duration::from_millis(600)).await;
        let mut caller = Caller::connect(own).await;
        caller.send(&request("GET", HOST, "/read/x", "long", 6000, "")).await;
        stopping.await.expect("it stops");
        assert_eq!(node.runs.len(), 0, "calls at the target when the process ends");
        let response = caller.next_response().await.expect("a response");
        assert_eq!((response.status, response.is_signed()), (504, true), "the target's own response");
    });
}

#[test]
fn a_stopping_node_sends_no_nested_call_whose_response_its_end_cuts_off() {
    run(async {
        const LENGTH: usize = 20_000_000;
        let (_store, alpha, beta) = two_machines().await;
        let to = beta.outbound();
        beta.target.set_behaviour(TargetBehaviour::LongBody(LENGTH));
        alpha.target.set_chained_read_rate(Some(16_000_000.0));
        for number in 0..3 {
            call(to, &chain(&format!("warm-{number}"))).await.expect("a response");
        }
        alpha.target.take_chained_records();
        let node = alpha.node().clone();
        // The target makes its call when the node hardly has the time left for its response.
        alpha.target.set_chained_delay(Duration::from_millis(4300));
        let parent = spawn_local(async move { call(to, &chain("parent")).await });
        eventually("the parent runs", || alpha.target.running() == 1).await;
        alpha.sidecar.stop().await;
        assert_eq!(node.responses.len(), 0, "responses that have begun when the process ends");
        parent.await.expect("the caller ends");
    });
}

#[test]
fn a_call_that_a_stopping_gate_ends_early_is_served_by_another_target() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        let own = alpha.outbound();
        warm_up(own, read).await;
        let work = Duration::from_millis(5500);
        beta.target.set_behaviour(TargetBehaviour::SlowUntilDeadline(work, work));
        let stopping = spawn_local(beta.sidecar.stop());
        sleep(Duration::from_millis(600)).await;
        let mut caller = Caller::connect(own).await;
        caller.send(&request("GET", HOST, "/read/x", "long", 6000, "")).await;
        eventually("it runs", || beta.target.running() == 1).await;
        let other = Machine::start(&store, "beta", 64).await;
        eventually("it is listed", || alpha.node().targets.borrow().get(&other.target.id()).is_some()).await;
        stopping.await.expect("it stops");
        let response = caller.next_response().await.expect("a response");
        assert_eq!((response.status, response.is_signed()), (200, true));
    });
}
