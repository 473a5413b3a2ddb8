//! Connections from callers, between nodes and to targets.

mod support;

use std::time::Duration;

use quillhatch_mesh::settings::SidecarSettings;
use quillhatch_sidecar::node::Node;
use support::caller::{call, request, Caller};
use support::limits::{document, document_with_timeout, pay, read, two_machines, HOST};
use support::store::StandInStore;
use support::target::TargetBehaviour;
use support::{eventually, run, FullListener, Machine, OUTBOUND};
use test_case::test_case;
use tokio::time::{sleep, Instant};

#[test_case(10)]
#[test_case(70_000; "longer than the buffer limit")]
#[test_case(3_000_000; "much longer")]
fn responses_of_any_length_arrive_complete_and_keep_connections_open(length: usize) {
    run(async move {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::LongBody(length));
        for id in ["one", "two", "three"] {
            let response = call(beta.outbound(), &read(id)).await.expect("a response");
            assert_eq!((response.status, response.body.len()), (200, length));
        }
        assert_eq!(alpha.target.connections(), 1, "the connection to the target is reused");
    });
}

#[test]
fn pipelined_requests_start_at_once_and_are_answered_in_order() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(300)));
        let mut caller = Caller::connect(beta.outbound()).await;
        let started = Instant::now();
        caller.send(&read("one")).await;
        sleep(Duration::from_millis(20)).await;
        caller.send(&(read("two") + &read("three"))).await;
        for id in ["one", "two", "three"] {
            let response = caller.next_response().await.expect("a response");
            assert_eq!(response.body, format!("the answer to {id}").as_bytes());
        }
        assert!(
            started.elapsed() < Duration::from_millis(600),
            "sequential calls would take 900 ms: {:?}",
            started.elapsed()
        );
        assert_eq!(alpha.target.started_requests().len(), 3);
    });
}

#[test]
fn a_caller_that_disconnects_cancels_all_its_requests() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_secs(5)));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&(read("one") + &read("two"))).await;
        eventually("both run", || alpha.target.running() == 2).await;
        drop(caller);
        let disconnected_at = Instant::now();
        eventually("both calls are cancelled at the target", || alpha.target.abandoned() == 2).await;
        assert!(disconnected_at.elapsed() < Duration::from_millis(500));
        eventually("no slot is held", || alpha.node().gate.borrow().load().running == 0).await;
    });
}

#[test]
fn connections_that_a_target_closes_are_not_reused() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::ConnectionClose);
        for id in ["one", "two", "three"] {
            assert_eq!(call(beta.outbound(), &pay(id)).await.expect("a response").status, 200);
        }
        assert_eq!(alpha.target.started_requests().len(), 3);
    });
}

#[test]
fn an_incomplete_request_head_is_a_408() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send("GET /read/x HTTP/1.1\r\nHost: ").await;
        let response = caller.next_response().await.expect("a response");
        assert_eq!((response.status, response.header("connection")), (408, "close"));
        assert_eq!(caller.next_response().await, None);
        assert_eq!(alpha.target.received_count(), 0);
    });
}

/// Guards against this failure: a caller that sent one byte now and then held its connection for good.
#[test]
fn a_request_head_that_arrives_byte_by_byte_is_a_408() {
    run(async {
        let (_store, _alpha, beta) = two_machines().await;
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send("GET /read/x HTTP/1.1\r\nHost: ").await;
        for _ in 0..12 {
            sleep(Duration::from_millis(500)).await;
            caller.send("x").await;
        }
        let response = caller.next_response_within(Duration::from_millis(500)).await.expect("a response");
        assert_eq!((response.status, response.header("connection")), (408, "close"));
    });
}

#[test]
fn an_idle_connection_is_kept_for_the_configured_time() {
    run(async {
        let (_store, _alpha, beta) = two_machines().await;
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&read("one")).await;
        caller.next_response().await.expect("a response");
        sleep(Duration::from_secs(5)).await;
        caller.send(&read("two")).await;
        assert_eq!(caller.next_response().await.expect("a response").status, 200);
    });
}

#[test]
fn connections_that_only_a_burst_needed_are_closed_soon() {
    // Guards against this failure: edges kept the connections of a burst, so a gate ran out of file descriptors, and
    // calls waited unaccepted until their callers had disconnected.
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(150)));
        let before = alpha.sidecar.open_connections();
        let mut callers = Vec::new();
        for number in 0..12 {
            let mut caller = Caller::connect(beta.outbound()).await;
            caller.send(&read(&format!("burst-{number}"))).await;
            callers.push(caller);
        }
        for caller in &mut callers {
            caller.next_response().await.expect("a response");
        }
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        assert!(alpha.sidecar.open_connections() > before + 3);
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(6) {
            assert_eq!(call(beta.outbound(), &read("steady")).await.expect("a response").status, 200);
            sleep(Duration::from_millis(100)).await;
        }
        assert!(alpha.sidecar.open_connections() <= before + 2, "{}", alpha.sidecar.open_connections());
    });
}

#[test]
fn connections_close_after_a_response_while_descriptors_are_scarce() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(1));
        let alpha = Machine::start(&store, "alpha", 4).await;
        let address = support::unused_address();
        let settings = SidecarSettings {
            max_descriptors: 204,
            ..support::settings(address, "beta", (address, 1).into(), store.address)
        };
        let beta =
            quillhatch_sidecar::run::start(Node::new(settings, Default::default())).expect("its addresses are free");
        eventually("beta is ready", || beta.node.is_ready() && beta.node.targets.borrow().len() == 1).await;
        let to = (address, OUTBOUND).into();
        let mut callers = Vec::new();
        for number in 0..3 {
            let mut caller = Caller::connect(to).await;
            caller.send(&read(&format!("call-{number}"))).await;
            let response = caller.next_response().await.expect("a response");
            let closes = response.header("connection") == "close";
            assert_eq!((response.status, closes), (200, number == 2));
            callers.push(caller);
        }
        drop(alpha);
    });
}

#[test]
fn a_response_that_is_read_slowly_survives_requests_behind_its_closing_connection() {
    run(async {
        const LENGTH: usize = 1_000_000;
        let store = StandInStore::start().await;
        store.write_configuration(&document(1));
        let alpha = Machine::start(&store, "alpha", 4).await;
        // Without descriptors to spare, each connection closes after one response.
        let no_descriptors = |settings| SidecarSettings { max_descriptors: 200, ..settings };
        let beta = Machine::start_with(&store, "beta", 4, no_descriptors).await;
        eventually("both are listed", || beta.node().targets.borrow().len() == 2).await;
        alpha.target.set_behaviour(TargetBehaviour::LongBody(LENGTH));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&read("one")).await;
        eventually("the target has responded", || alpha.target.received_count() == 1).await;
        sleep(Duration::from_millis(1200)).await;
        caller.send(&read("two")).await;
        sleep(Duration::from_millis(300)).await;
        let response = caller.next_response().await.expect("a complete response");
        assert_eq!((response.status, response.header("connection"), response.body.len()), (200, "close", LENGTH));
        assert_eq!(caller.next_response().await, None);
        assert_eq!(alpha.target.received_count(), 1, "a request behind the last response is not passed on");
    });
}

#[test_case(0; "with a part of a request behind it")]
#[test_case(20; "with many whole requests behind it")]
fn the_header_timeout_writes_nothing_into_a_response(behind: usize) {
    run(async move {
        const LENGTH: usize = 200_000;
        let (store, alpha, beta) = two_machines().await;
        store.write_configuration(&document_with_timeout(2, 8));
        eventually("the configuration changes", || beta.node().configuration.borrow().version() == 2).await;
        alpha.target.set_behaviour(TargetBehaviour::PausedBody(LENGTH, Duration::from_millis(6500)));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&request("GET", HOST, "/read/x", "long", 8000, "")).await;
        eventually("it runs", || alpha.target.received_count() == 1).await;
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        let further: String = (0..behind).map(|number| read(&format!("behind-{number}"))).collect();
        caller.send(&(further + "GET /read/x HTTP/1.1\r\nHost: ")).await;
        let response = caller.next_response().await.expect("the response to the first request");
        assert_eq!((response.status, response.body.len()), (200, LENGTH));
        assert!(response.body.iter().all(|byte| *byte == b'x'), "foreign bytes in a body");
        for number in 0..behind {
            let response = caller.next_response().await.unwrap_or_else(|| panic!("no response to number {number}"));
            assert_eq!(response.body, format!("the answer to behind-{number}").as_bytes());
        }
    });
}

#[test]
fn a_connection_is_idle_from_the_end_of_its_last_response() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        store
            .write_configuration(&document_with_timeout(2, 8).replace("\"idle_timeout_s\":15", "\"idle_timeout_s\":4"));
        eventually("the configuration changes", || beta.node().configuration.borrow().version() == 2).await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(3900)));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&request("GET", HOST, "/read/x", "one", 8000, "")).await;
        assert_eq!(caller.next_response().await.expect("a response").status, 200);
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        sleep(Duration::from_millis(3200)).await;
        caller.send(&read("two")).await;
        assert_eq!(caller.next_response().await.expect("a response on the same connection").status, 200);
    });
}

/// The time until a call's deadline, in milliseconds: shorter than the connect timeout.
const SHORT_MS: u64 = 300;

#[test]
fn a_call_whose_node_accepts_no_connection_in_time_has_not_run() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        let unresponsive = FullListener::start((support::unused_address(), alpha.inbound().port()).into()).await;
        store.deregister(&alpha.target.id());
        let entry = format!(
            r#"{{"service":"alpha","address":"{}:9","zone":"zone-a","version":"v1","slots":4,"state":"ready","cold_remaining_s":0,"seq":1}}"#,
            unresponsive.address.ip()
        );
        store.write("servers/i-unreached", Some(&entry));
        eventually("the list changes", || beta.node().targets.borrow().get("i-unreached").is_some()).await;
        eventually("alpha is removed", || beta.node().targets.borrow().get(&alpha.target.id()).is_none()).await;
        let response = call(beta.outbound(), &request("GET", HOST, "/read/x", "one", SHORT_MS, "")).await;
        let response = response.expect("a response");
        assert_eq!(response.status, 503);
        assert_ne!(response.header("retry-after"), "", "the response has a Retry-After header");
    });
}

#[test_case(true; "known identity")]
#[test_case(false; "identity must be queried")]
fn a_call_whose_target_accepts_no_connection_in_time_has_not_run(is_known: bool) {
    run(async move {
        let (_store, alpha, beta) = two_machines().await;
        assert_eq!(call(beta.outbound(), &pay("known")).await.expect("a response").status, 200);
        let address = alpha.target.address;
        alpha.target.stop();
        let _full = FullListener::start(address).await;
        if !is_known {
            quillhatch_sidecar::local_target::mark_unverified(alpha.node());
        }
        let response = call(beta.outbound(), &request("POST", HOST, "/pay/", "one", SHORT_MS, "amount=7")).await;
        assert_eq!(response.expect("a response").status, 503);
    });
}
