//! Connections of callers, of nodes and of targets.

mod support;

use std::time::Duration;

use quillhatch_mesh::settings::SidecarSettings;
use quillhatch_sidecar::node::Node;
use support::caller::{call, request, Caller};
use support::limits::{document, pay, read, two_machines, HOST};
use support::store::StandInStore;
use support::target::TargetBehaviour;
use support::{eventually, run, FullListener, Machine, OUTBOUND};
use test_case::test_case;
use tokio::time::{sleep, Instant};

#[test_case(10)]
#[test_case(70_000; "longer than what is kept")]
#[test_case(3_000_000; "much longer")]
fn answers_of_any_length_come_whole_and_keep_connections(length: usize) {
    run(async move {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::LongBody(length));
        for id in ["one", "two", "three"] {
            let answer = call(beta.outbound(), &read(id)).await.expect("an answer");
            assert_eq!((answer.status, answer.body.len()), (200, length));
        }
        assert_eq!(alpha.target.connections(), 1, "the connection to the target is used again");
    });
}

#[test]
fn requests_behind_another_begin_at_once_and_are_answered_in_order() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(300)));
        let mut caller = Caller::connect(beta.outbound()).await;
        let begun = Instant::now();
        caller.send(&read("one")).await;
        sleep(Duration::from_millis(20)).await;
        caller.send(&(read("two") + &read("three"))).await;
        for id in ["one", "two", "three"] {
            let answer = caller.answer().await.expect("an answer");
            assert_eq!(answer.body, format!("the answer to {id}").as_bytes());
        }
        assert!(
            begun.elapsed() < Duration::from_millis(600),
            "one after the other takes 900 ms: {:?}",
            begun.elapsed()
        );
        assert_eq!(alpha.target.started_requests().len(), 3);
    });
}

#[test]
fn a_caller_that_leaves_ends_the_work_of_all_its_requests() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_secs(5)));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&(read("one") + &read("two"))).await;
        eventually("both run", || alpha.target.running() == 2).await;
        drop(caller);
        let left = Instant::now();
        eventually("the target is told", || alpha.target.abandoned() == 2).await;
        assert!(left.elapsed() < Duration::from_millis(500));
        eventually("no slot is held", || alpha.node().gate.borrow().load().running == 0).await;
    });
}

#[test]
fn connections_of_targets_that_say_close_are_not_used_again() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::ConnectionClose);
        for id in ["one", "two", "three"] {
            assert_eq!(call(beta.outbound(), &pay(id)).await.expect("an answer").status, 200);
        }
        assert_eq!(alpha.target.started_requests().len(), 3);
    });
}

#[test]
fn a_head_that_does_not_come_is_a_408() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send("GET /read/x HTTP/1.1\r\nHost: ").await;
        let answer = caller.answer().await.expect("an answer");
        assert_eq!((answer.status, answer.header("connection")), (408, "close"));
        assert_eq!(caller.answer().await, None);
        assert_eq!(alpha.target.received_count(), 0);
    });
}

#[test]
fn a_resting_connection_is_kept_for_the_configured_time() {
    run(async {
        let (_store, _alpha, beta) = two_machines().await;
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&read("one")).await;
        caller.answer().await.expect("an answer");
        sleep(Duration::from_secs(5)).await;
        caller.send(&read("two")).await;
        assert_eq!(caller.answer().await.expect("an answer").status, 200);
    });
}

#[test]
fn connections_that_only_a_burst_needed_end_soon() {
    // Found on the users' bench: a gate whose callers kept the connections of their bursts ran out of descriptors, and calls
    // lay unaccepted until their callers had left.
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
            caller.answer().await.expect("an answer");
        }
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        assert!(alpha.sidecar.open_connections() > before + 3);
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(6) {
            assert_eq!(call(beta.outbound(), &read("steady")).await.expect("an answer").status, 200);
            sleep(Duration::from_millis(100)).await;
        }
        assert!(alpha.sidecar.open_connections() <= before + 2, "{}", alpha.sidecar.open_connections());
    });
}

#[test]
fn answers_end_their_connections_while_descriptors_are_short() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(1));
        let alpha = Machine::start(&store, "alpha", 4).await;
        let address = support::machine();
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
            let answer = caller.answer().await.expect("an answer");
            let closes = answer.header("connection") == "close";
            assert_eq!((answer.status, closes), (200, number == 2));
            callers.push(caller);
        }
        drop(alpha);
    });
}

/// The time that is left to a call which a connection would take longer to make.
const SHORT_MS: u64 = 300;

#[test]
fn a_call_whose_node_takes_no_connection_in_time_has_not_run() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        let unreached = FullListener::start((support::machine(), alpha.inbound().port()).into()).await;
        store.deregister(&alpha.target.id());
        let entry = format!(
            r#"{{"service":"alpha","address":"{}:9","zone":"zone-a","version":"v1","slots":4,"state":"ready","cold_remaining_s":0,"seq":1}}"#,
            unreached.address.ip()
        );
        store.write("servers/i-unreached", Some(&entry));
        eventually("the list changes", || beta.node().targets.borrow().get("i-unreached").is_some()).await;
        eventually("alpha has left", || beta.node().targets.borrow().get(&alpha.target.id()).is_none()).await;
        let answer = call(beta.outbound(), &request("GET", HOST, "/read/x", "one", SHORT_MS, "")).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 503);
        assert_ne!(answer.header("retry-after"), "", "the caller is told when to come back");
    });
}

#[test_case(true; "its identity is known")]
#[test_case(false; "it is to be asked who it is")]
fn a_call_whose_target_takes_no_connection_in_time_has_not_run(is_known: bool) {
    run(async move {
        let (_store, alpha, beta) = two_machines().await;
        assert_eq!(call(beta.outbound(), &pay("known")).await.expect("an answer").status, 200);
        let address = alpha.target.address;
        alpha.target.stop();
        let _full = FullListener::start(address).await;
        if !is_known {
            quillhatch_sidecar::present_target::out_of_reach(alpha.node());
        }
        let answer = call(beta.outbound(), &request("POST", HOST, "/pay/", "one", SHORT_MS, "amount=7")).await;
        assert_eq!(answer.expect("an answer").status, 503);
    });
}
