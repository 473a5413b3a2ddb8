//! Targets that send bytes without end.

mod support;

use std::time::Duration;

use support::caller::{request, Caller};
use support::limits::{document_with_timeout, pay, two_machines, HOST};
use support::store::StandInStore;
use support::target::{EndlessPart, EndlessResponse, TargetBehaviour};
use support::{eventually, run, Machine};
use test_case::test_case;
use tokio::time::Instant;

/// The timeout of all routes, in seconds.
const TIMEOUT_S: u32 = 2;
const TIMEOUT: Duration = Duration::from_secs(TIMEOUT_S as u64);
/// How much later than at its timeout a call may end.
const TOLERANCE: Duration = Duration::from_millis(500);
/// The pause of a target that sends slowly: shorter than any silence that ends a response.
const SLOW: Duration = Duration::from_millis(50);
const FAST: Duration = Duration::ZERO;

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
#[test]
fn a_long_response_that_is_read_slowly_arrives_after_the_timeout() {
    run(async {
        const LENGTH: usize = 6_000_000;
        let (store, alpha, beta) = two_machines().await;
        set_timeout(&store, &[&alpha, &beta]).await;
        alpha.target.set_behaviour(TargetBehaviour::LongBody(LENGTH));
        let started = Instant::now();
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.limit_read_rate(LENGTH as f64 / 5.0);
        caller.send(&request("GET", HOST, "/read/x", "slow", 20_000, "")).await;
        let response = caller.next_response_within(6 * TIMEOUT).await.expect("a complete response");
        assert_eq!((response.status, response.body.len()), (200, LENGTH));
        assert!(started.elapsed() > TIMEOUT + TOLERANCE, "read too fast: {:?}", started.elapsed());
    });
}
