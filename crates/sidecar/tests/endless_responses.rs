//! Targets that send bytes without end.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use quillhatch_sidecar::local_target::mark_unverified;
use support::caller::{call, request, Caller};
use support::limits::{document_with_timeout, pay, read, two_machines, HOST};
use support::store::StandInStore;
use support::target::{send_endless, EndlessPart, EndlessResponse, TargetBehaviour};
use support::{eventually, run, start_sidecar, Machine};
use test_case::test_case;
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};

/// The timeout of all routes, in seconds.
const TIMEOUT_S: u32 = 2;
const TIMEOUT: Duration = Duration::from_secs(TIMEOUT_S as u64);
/// How much later than at its timeout a call may end.
const TOLERANCE: Duration = Duration::from_millis(500);
/// The pause of a target that sends slowly: shorter than any silence that ends a response.
const SLOW: Duration = Duration::from_millis(50);
const FAST: Duration = Duration::ZERO;
/// The maximum number of bytes that are taken of a message that nobody needs, including those in kernel buffers.
const MAX_USELESS_BYTES: u64 = 16 * 1024 * 1024;
/// The same of a response of the store, the longest of which are some megabytes long.
const MAX_STORE_BYTES: u64 = 48 * 1024 * 1024;
/// The length of a response that is read slowly.
const SLOWLY_READ_BYTES: usize = 8_000_000;

async fn set_timeout(store: &StandInStore, machines: &[&Machine]) {
    store.write_configuration(&document_with_timeout(2, TIMEOUT_S));
    for machine in machines {
        eventually("the configuration changes", || machine.node().configuration.borrow().version() == 2).await;
    }
}

/// Guards against this failure: callers got bytes of a response until they left, and its slot was held as long.
#[test_case(EndlessPart::ChunkedBody, FAST; "chunked, fast")]
#[test_case(EndlessPart::ChunkedBody, SLOW; "chunked, slow")]
#[test_case(EndlessPart::BodyWithLength, FAST; "with a length, fast")]
#[test_case(EndlessPart::BodyWithLength, SLOW; "with a length, slow")]
#[test_case(EndlessPart::BodyUntilClose, FAST; "until the connection closes, fast")]
#[test_case(EndlessPart::BodyUntilClose, SLOW; "until the connection closes, slow")]
fn a_response_body_without_end_is_cut_at_the_timeout(part: EndlessPart, pause: Duration) {
    run(async move {
        let (store, alpha, beta) = two_machines().await;
        set_timeout(&store, &[&alpha, &beta]).await;
        alpha.target.set_behaviour(TargetBehaviour::Endless(EndlessResponse { part, pause }));
        let started = Instant::now();
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&pay("endless")).await;
        assert!(caller.is_closed_within(TIMEOUT + 4 * TOLERANCE).await, "no end after {:?}", started.elapsed());
        assert!(started.elapsed() < TIMEOUT + TOLERANCE, "ended after {:?}", started.elapsed());
        eventually("its slot is free", || alpha.node().gate.borrow().load().running == 0).await;
    });
}

/// Guards against this failure: a response that its target has sent in time was cut, since its caller reads it slowly.
#[test_case(TargetBehaviour::LongBody(SLOWLY_READ_BYTES); "with a length")]
#[test_case(TargetBehaviour::LongBodyUntilClose(SLOWLY_READ_BYTES); "until the connection closes")]
fn a_long_response_that_is_read_slowly_arrives_after_the_timeout(behaviour: TargetBehaviour) {
    run(async move {
        let (store, alpha, beta) = two_machines().await;
        set_timeout(&store, &[&alpha, &beta]).await;
        alpha.target.set_behaviour(behaviour);
        let started = Instant::now();
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.limit_read_rate(SLOWLY_READ_BYTES as f64 / 5.0);
        caller.send(&request("GET", HOST, "/read/x", "slow", 20_000, "")).await;
        let response = caller.next_response_within(6 * TIMEOUT).await.expect("a complete response");
        assert_eq!((response.status, response.body.len()), (200, SLOWLY_READ_BYTES));
        assert!(started.elapsed() > TIMEOUT + TOLERANCE, "read too fast: {:?}", started.elapsed());
    });
}

/// Guards against this failure: the node kept the whole body in memory, 200 MB/s and more.
#[test_case(FAST; "fast")]
#[test_case(SLOW; "slow")]
fn a_health_check_body_without_end_hides_no_identity_and_is_not_kept(pause: Duration) {
    run(async move {
        let (_store, alpha, beta) = two_machines().await;
        let response = EndlessResponse { part: EndlessPart::BodyUntilClose, pause };
        alpha.target.set_endless_health_checks(Some(response));
        mark_unverified(alpha.node());
        let started = Instant::now();
        assert_eq!(call(beta.outbound(), &pay("one")).await.expect("a response").status, 200);
        assert!(started.elapsed() < Duration::from_millis(200), "served after {:?}", started.elapsed());
        assert!(alpha.node().identity_verified.get());
        sleep(TOLERANCE).await;
        assert!(alpha.target.endless_bytes() < MAX_USELESS_BYTES, "{} bytes", alpha.target.endless_bytes());
    });
}

/// Guards against this failure: the node kept the whole response of the store in memory.
#[test]
fn a_response_of_the_store_without_end_is_not_kept() {
    run(async {
        let machine = support::unused_address();
        let listener = TcpListener::bind((machine, 0)).await.expect("a free port");
        let store = listener.local_addr().expect("an address");
        let taken = Rc::new(Cell::new(0));
        let sent = Rc::clone(&taken);
        tokio::task::spawn_local(async move {
            let response = EndlessResponse { part: EndlessPart::BodyUntilClose, pause: FAST };
            let (mut stream, _) = listener.accept().await.expect("a connection");
            send_endless(&mut stream, "", response, &sent).await;
            std::future::pending::<()>().await;
        });
        let sidecar = start_sidecar(machine, "beta", (machine, 9).into(), store);
        sleep(Duration::from_millis(1700)).await;
        assert!(taken.get() < MAX_STORE_BYTES, "{} bytes", taken.get());
        drop(sidecar);
    });
}

/// Guards against this failure: a decision that was known waited for bytes that nobody needs until the deadline.
#[test_case(FAST; "fast")]
#[test_case(SLOW; "slow")]
fn a_refusal_whose_body_has_no_end_is_passed_on_at_once(pause: Duration) {
    run(async move {
        let (store, alpha, beta) = two_machines().await;
        set_timeout(&store, &[&alpha, &beta]).await;
        let response = EndlessResponse { part: EndlessPart::RefusalBody, pause };
        alpha.target.set_behaviour(TargetBehaviour::Endless(response));
        let started = Instant::now();
        let response = call(beta.outbound(), &pay("refused")).await.expect("a response");
        assert_eq!(response.status, 503);
        assert!(started.elapsed() < Duration::from_millis(400), "refused after {:?}", started.elapsed());
        assert_eq!(alpha.node().gate.borrow().load().running, 0);
    });
}

/// Guards against this failure: the node read on until the deadline, and its caller got an error although another target
/// was idle.
#[test_case(EndlessPart::ChunkSize)]
#[test_case(EndlessPart::InterimResponses)]
#[test_case(EndlessPart::Head)]
#[test_case(EndlessPart::Field)]
#[test_case(EndlessPart::Garbage)]
#[test_case(EndlessPart::EmptyLines)]
fn a_call_whose_response_makes_no_progress_is_served_by_another_target(part: EndlessPart) {
    run(async move {
        let (store, alpha, beta) = two_machines().await;
        let sound = Machine::start(&store, "alpha", 4).await;
        set_timeout(&store, &[&alpha, &beta, &sound]).await;
        eventually("all are listed", || beta.node().targets.borrow().len() == 3).await;
        for number in 0..40 {
            let response = call(beta.outbound(), &read(&format!("before-{number}"))).await.expect("a response");
            assert_eq!(response.status, 200);
        }
        alpha.target.set_behaviour(TargetBehaviour::Endless(EndlessResponse { part, pause: FAST }));
        let before = alpha.target.received_count();
        for number in 0.. {
            let started = Instant::now();
            let response = call(beta.outbound(), &read(&format!("during-{number}"))).await.expect("a response");
            assert_eq!(response.status, 200, "call {number}");
            assert!(started.elapsed() < TIMEOUT / 2, "call {number} was served after {:?}", started.elapsed());
            if alpha.target.received_count() >= before + 2 {
                break;
            }
        }
        assert!(alpha.target.endless_bytes() < MAX_USELESS_BYTES, "{} bytes", alpha.target.endless_bytes());
    });
}

/// Guards against this failure: a target that sends without end filled all its slots again and again, while the other
/// targets of its service were idle.
#[test_case(4; "few slots")]
#[test_case(100; "many slots")]
fn calls_are_served_by_other_targets_while_one_sends_without_end(slots: u32) {
    run(async move {
        const CALLS: usize = 300;
        let store = StandInStore::start().await;
        store.write_configuration(&document_with_timeout(1, TIMEOUT_S));
        let beta = Machine::start(&store, "beta", 4).await;
        let alpha = Machine::start(&store, "alpha", slots).await;
        let others = [Machine::start(&store, "alpha", slots).await, Machine::start(&store, "alpha", slots).await];
        eventually("all are listed", || beta.node().targets.borrow().len() == others.len() + 2).await;
        for sound in &others {
            sound.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(100)));
        }
        let response = EndlessResponse { part: EndlessPart::ChunkedBody, pause: SLOW };
        alpha.target.set_behaviour(TargetBehaviour::Endless(response));
        let mut calls = Vec::new();
        for number in 0..CALLS {
            let to = beta.outbound();
            calls.push(tokio::task::spawn_local(async move {
                let mut caller = Caller::connect(to).await;
                caller.send(&read(&format!("call-{number}"))).await;
                caller.next_response_within(2 * TIMEOUT).await.map(|response| response.status)
            }));
            sleep(Duration::from_millis(30)).await;
        }
        let mut served = 0;
        for call in calls {
            served += usize::from(call.await.expect("no caller fails") == Some(200));
        }
        // Its share of the calls until the first one is cut, and then one call at a time.
        let first_share = CALLS * TIMEOUT_S as usize / 9 / 3;
        let lost_at_most = first_share + first_share / 2 + 9 / TIMEOUT_S as usize;
        assert!(served + lost_at_most >= CALLS, "{served} of {CALLS} served");
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        let before = alpha.target.received_count();
        let started = Instant::now();
        while alpha.target.received_count() < before + 10 {
            assert!(started.elapsed() < 5 * TIMEOUT, "the target gets no calls again");
            let calls = (0..3).map(|number| {
                let to = beta.outbound();
                tokio::task::spawn_local(async move { call(to, &read(&format!("after-{number}"))).await })
            });
            for call in calls.collect::<Vec<_>>() {
                assert_eq!(call.await.expect("no caller fails").expect("a response").status, 200);
            }
        }
    });
}

/// Sends calls to three targets, one of which behaves like this, and returns how many of them it received.
async fn calls_at_faulty_target(behaviour: TargetBehaviour) -> usize {
    let (store, alpha, beta) = two_machines().await;
    set_timeout(&store, &[&alpha, &beta]).await;
    let others = [Machine::start(&store, "alpha", 4).await, Machine::start(&store, "alpha", 4).await];
    eventually("all are listed", || beta.node().targets.borrow().len() == others.len() + 2).await;
    for sound in &others {
        sound.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(20)));
    }
    alpha.target.set_behaviour(behaviour);
    let before = alpha.target.received_count();
    for number in 0..200 {
        let to = beta.outbound();
        let text = read(&format!("call-{number}"));
        tokio::task::spawn_local(async move {
            let mut caller = Caller::connect(to).await;
            caller.send(&text).await;
            caller.next_response_within(TIMEOUT).await
        });
        sleep(Duration::from_millis(20)).await;
    }
    alpha.target.received_count() - before
}

#[test]
fn a_target_whose_long_responses_break_off_receives_no_more_calls_than_one_whose_short_ones_do() {
    run(async {
        let short = calls_at_faulty_target(TargetBehaviour::TruncatedBody).await;
        let long = calls_at_faulty_target(TargetBehaviour::TruncatedLongBody(200_000)).await;
        println!("{short} calls with short responses, {long} with long ones");
        assert!(long <= short + short / 2 + 2, "{long} calls, {short} with short responses");
    });
}

/// Guards against this failure: the reset of a response without end discarded the rest of the response before it.
#[test]
fn a_response_that_is_read_slowly_survives_one_without_end_behind_it() {
    run(async {
        const LENGTH: usize = 2_000_000;
        let (store, alpha, beta) = two_machines().await;
        set_timeout(&store, &[&alpha, &beta]).await;
        alpha.target.set_behaviour(TargetBehaviour::LongBody(LENGTH));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&request("GET", HOST, "/read/x", "sound", 20_000, "")).await;
        eventually("it runs", || alpha.target.received_count() == 1).await;
        let response = EndlessResponse { part: EndlessPart::BodyUntilClose, pause: FAST };
        alpha.target.set_behaviour(TargetBehaviour::Endless(response));
        caller.send(&request("GET", HOST, "/read/x", "endless", 20_000, "")).await;
        sleep(TIMEOUT + TOLERANCE).await;
        let response = caller.next_response_within(3 * TIMEOUT).await.expect("the first response");
        assert_eq!((response.status, response.body.len()), (200, LENGTH));
    });
}
