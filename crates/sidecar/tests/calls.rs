//! Calls through two sidecars: the responses that callers get and the requests that targets receive.

mod support;

use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::admission_level::AdmissionLevel;
use quillhatch_mesh::shutdown::ShutdownSchedule;
use quillhatch_sidecar::node::Node;
use quillhatch_sidecar::node::Stage;
use support::caller::{call, request, Caller, Response};
use support::limits::{pay, read, two_machines, HOST};
use support::shop::chain_document;
use support::store::StandInStore;
use support::target::{ChainedCall, TargetBehaviour};
use support::{eventually, run, Machine, BOUNDS};
use test_case::test_case;
use tokio::time::{sleep, Instant};

#[test]
fn a_call_reaches_its_target_unaltered() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        let response = call(beta.outbound(), &pay("one")).await.expect("a response");
        assert_eq!((response.status, response.body.as_slice()), (200, b"the answer to one".as_slice()));
        assert_eq!(response.header("quillhatch-server-stamp"), "stamp-one");
        assert_eq!(response.header("quillhatch-hop"), "", "the hop header is not sent to callers");
        let seen = alpha.target.started_requests().remove(0);
        assert_eq!(
            (seen.method.as_str(), seen.path.as_str(), seen.body.as_slice()),
            ("POST", "/pay/", b"amount=7".as_slice())
        );
        assert_eq!(seen.header("quillhatch-request-id"), "one");
        assert_eq!(seen.header("quillhatch-caller-service"), "beta");
        assert_eq!(seen.header("quillhatch-expect-instance"), alpha.target.id());
        assert_eq!(seen.header("quillhatch-hop"), "");
        let remaining_ms: u64 = seen.header("quillhatch-deadline-ms").parse().expect("a deadline");
        assert!(
            (900..=1000).contains(&remaining_ms),
            "the route's timeout overrides the caller's longer one: {remaining_ms}"
        );
    });
}

#[test]
fn callers_cannot_set_internal_headers() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        let forged = read("one").replace(
            "\r\n\r\n",
            "\r\nQuillhatch-Caller-Service: forged\r\nQuillhatch-Expect-Instance: forged\r\nQuillhatch-Hop: 1;0;1\r\n\r\n",
        );
        assert_eq!(call(beta.outbound(), &forged).await.expect("a response").status, 200);
        let seen = alpha.target.started_requests().remove(0);
        assert_eq!(seen.header("quillhatch-caller-service"), "beta");
        assert_eq!(seen.header("quillhatch-expect-instance"), alpha.target.id());
    });
}

#[test]
fn the_longest_prefix_wins_and_an_unknown_route_is_404() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        let deep = request("GET", HOST, "/read/deep/x", "one", 5000, "");
        assert_eq!(call(beta.outbound(), &deep).await.expect("a response").status, 200);
        assert_eq!((alpha.target.started_requests().len(), beta.target.started_requests().len()), (0, 1));
        for (host, path) in [(HOST, "/none/"), ("other.example", "/read/")] {
            let unknown = request("GET", host, path, "two", 5000, "");
            assert_eq!(call(beta.outbound(), &unknown).await.expect("a response").status, 404);
        }
    });
}

#[test_case(TargetBehaviour::WrongRequestId; "response to another request")]
#[test_case(TargetBehaviour::TruncatedBody; "response that ends early")]
#[test_case(TargetBehaviour::Unsigned; "response without a server stamp")]
#[test_case(TargetBehaviour::Garbage; "bytes that are no HTTP response")]
#[test_case(TargetBehaviour::NoResponse; "no response")]
fn an_invalid_response_is_a_502_and_is_not_retried(behaviour: TargetBehaviour) {
    run(async move {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(behaviour);
        let response = call(beta.outbound(), &pay("one")).await.expect("a response");
        assert_eq!(response.status, 502);
        assert_eq!(response.header("quillhatch-server-stamp"), "", "an error of the node itself has no server stamp");
        assert_eq!(alpha.target.started_requests().len(), 1);
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        let next = call(beta.outbound(), &pay("two")).await.expect("a response");
        assert_eq!(next.body, b"the answer to two", "no bytes are left over from the previous connection");
    });
}

#[test]
fn a_surplus_response_reaches_no_caller() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::SecondResponse);
        let mut caller = Caller::connect(beta.outbound()).await;
        for number in 0..6 {
            let id = format!("call-{number}");
            caller.send(&read(&id)).await;
            let response = caller.next_response().await.expect("a response");
            if response.status == 200 {
                assert_eq!(response.body, format!("the answer to {id}").as_bytes());
            }
            sleep(Duration::from_millis(if number % 2 == 0 { 0 } else { 60 })).await;
        }
    });
}

#[test]
fn a_response_without_a_length_arrives_complete() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::NoContentLength);
        let response = call(beta.outbound(), &read("one")).await.expect("a response");
        assert_eq!((response.status, response.body.as_slice()), (200, b"the answer to one".as_slice()));
    });
}

#[test]
fn an_error_response_of_a_target_is_returned_unchanged() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::ServerError);
        let response = call(beta.outbound(), &read("one")).await.expect("a response");
        assert_eq!((response.status, response.header("quillhatch-server-stamp")), (500, "stamp-one"));
        assert_eq!(alpha.target.started_requests().len(), 1, "a call that has run and failed is not retried here");
    });
}

/// The value of `Retry-After` in a response, in seconds.
fn retry_after_s(response: &Response) -> f64 {
    response.header("retry-after").parse().expect("a time")
}

/// The expected range of `Retry-After`, in seconds, for routes with a latency objective of one second.
const RETRY_AFTER_S: std::ops::RangeInclusive<f64> = 0.14..=0.41;

#[test]
fn a_call_refused_at_entry_gets_a_retry_after_within_its_objective() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        let mut refused = 0;
        for number in 0..40 {
            let node = beta.node();
            node.admission_levels.borrow_mut().record_report(
                &Arc::from("read"),
                AdmissionLevel::from_priority_share(0.0),
                node.now(),
            );
            let response = call(beta.outbound(), &read(&format!("r{number}"))).await.expect("a response");
            if response.status == 503 {
                assert!(RETRY_AFTER_S.contains(&retry_after_s(&response)), "{}", retry_after_s(&response));
                refused += 1;
            }
        }
        assert!(refused > 0, "no call was refused");
        assert_eq!(alpha.target.received_count(), 40 - refused);
    });
}

#[test]
fn a_shedding_target_results_in_a_503_with_retry_after() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::RefusesRequests);
        let response = call(beta.outbound(), &pay("one")).await.expect("a response");
        assert_eq!(response.status, 503);
        assert!(RETRY_AFTER_S.contains(&retry_after_s(&response)), "{}", retry_after_s(&response));
        assert!(alpha.target.started_requests().is_empty());
    });
}

#[test]
fn a_call_times_out_at_its_route_timeout() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_secs(5)));
        let started = Instant::now();
        let response = call(beta.outbound(), &read("one")).await.expect("a response");
        assert_eq!(response.status, 504);
        assert!((950..1200).contains(&started.elapsed().as_millis()), "{:?}", started.elapsed());
    });
}

#[test]
fn a_target_never_runs_more_calls_than_its_slots() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(100)));
        let calls = (0..12).map(|number| {
            let outbound = beta.outbound();
            tokio::task::spawn_local(async move { call(outbound, &read(&format!("call-{number}"))).await })
        });
        let calls: Vec<_> = calls.collect();
        let mut refused = 0;
        for call in calls {
            let response = call.await.expect("the caller ends").expect("a response");
            refused += usize::from(response.status == 503);
        }
        assert!(alpha.target.max_running() <= 4, "{}", alpha.target.max_running());
        assert_eq!(alpha.target.started_requests().len() + refused, 12, "a call that does not run is refused");
    });
}

#[test_case(&read("one").replace("\r\n\r\n", "\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400; "two lengths")]
#[test_case(&read("one").replace("Quillhatch-Request-Id: one\r\n", ""), 400; "no identity")]
#[test_case(&read("one").replace("\r\n\r\n", &format!("\r\nX: {}\r\n\r\n", "x".repeat(5000))), 431; "a head that is too long")]
#[test_case(&request("POST", HOST, "/pay/", "one", 5000, "x").replace("Content-Length: 1", "Content-Length: 200000"), 413; "a body that is too long")]
#[test_case("NONSENSE\r\n\r\n", 400; "no request at all")]
fn malformed_requests_are_refused(text: &str, status: u16) {
    let text = text.to_owned();
    run(async move {
        let (_store, alpha, beta) = two_machines().await;
        assert_eq!(call(beta.outbound(), &text).await.expect("a response").status, status);
        assert_eq!(alpha.target.received_count(), 0);
    });
}

#[test]
fn a_retryable_call_is_retried_when_its_node_does_not_respond() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        // A machine that accepts connections and never responds simulates a frozen one.
        let frozen = support::unused_address();
        let listener = tokio::net::TcpListener::bind((frozen, beta.inbound().port())).await.expect("a free port");
        let acceptor = tokio::task::spawn_local(async move {
            let mut streams = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                streams.push(stream);
            }
        });
        // Retries need a budget, which is a share of the calls made.
        for number in 0..60 {
            call(beta.outbound(), &read(&format!("before-{number}"))).await.expect("a response");
        }
        let entry = format!(
            r#"{{"service":"alpha","address":"{frozen}:9","zone":"zone-a","version":"v1","slots":400,"state":"ready","cold_remaining_s":0,"seq":1}}"#
        );
        store.write("servers/i-frozen", Some(&entry));
        eventually("the frozen one is listed", || beta.node().targets.borrow().len() == 3).await;
        // The load balancer prefers a target without measurements to one that has become slower, whatever noise there
        // was before.
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(20)));
        let mut slowest = Duration::ZERO;
        for number in 0..60 {
            let started = Instant::now();
            let response = call(beta.outbound(), &read(&format!("call-{number}"))).await.expect("a response");
            assert_eq!(response.status, 200);
            slowest = slowest.max(started.elapsed());
        }
        assert!(slowest > Duration::from_millis(100), "no call was sent to the unresponsive node");
        assert!(slowest < Duration::from_millis(800), "{slowest:?}");
        for number in 0..20 {
            let response = call(beta.outbound(), &pay(&format!("pay-{number}"))).await.expect("a response");
            assert_eq!(response.status, 200, "an at-most-once call is not sent to an unresponsive node");
        }
        acceptor.abort();
        drop(alpha);
    });
}

#[test_case(200; "short")]
#[test_case(90_000; "longer than the buffer limit")]
fn request_bodies_arrive_complete(length: usize) {
    run(async move {
        let (_store, alpha, beta) = two_machines().await;
        let body = "y".repeat(length);
        let whole = request("POST", HOST, "/pay/", "one", 5000, &body);
        assert_eq!(call(beta.outbound(), &whole).await.expect("a response").status, 200);
        let (half, rest) = body.split_at(length / 2);
        let chunked = request("POST", HOST, "/pay/", "two", 5000, "")
            .replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n");
        let chunks = format!("{:x}\r\n{half}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n", half.len(), rest.len());
        let response = call(beta.outbound(), &(chunked + &chunks)).await.expect("a response");
        let ran = alpha.target.started_requests();
        assert!(ran[0].body == body.as_bytes(), "{} of {length} bytes", ran[0].body.len());
        if length < 64 * 1024 {
            assert_eq!(response.status, 200);
            assert!(ran[1].body == body.as_bytes(), "{} of {length} bytes", ran[1].body.len());
        }
    });
}

#[test]
fn calls_nested_in_a_retry_spend_the_retry_budget_of_their_service() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&chain_document());
        let beta = Machine::start(&store, "beta", 8).await;
        let alphas = [Machine::start(&store, "alpha", 8).await, Machine::start(&store, "alpha", 8).await];
        for alpha in &alphas {
            let call = ChainedCall { outbound: alpha.outbound(), host: HOST.to_owned(), path: "/read/x".to_owned() };
            alpha.target.set_chained_call(call);
            eventually("all are listed", || alpha.node().targets.borrow().len() == 3).await;
        }
        eventually("all are listed", || beta.node().targets.borrow().len() == 3).await;
        let chain = |id: &str| request("GET", HOST, "/chain/x", id, 3000, "");
        for number in 0..16 {
            let response = call(beta.outbound(), &chain(&format!("good-{number}"))).await.expect("a response");
            assert_eq!(response.status, 200);
        }
        let counted = || {
            let retries = |node: &Node| {
                node.retry_budgets.borrow().get("beta").map_or(0, |budget| budget.usage(node.now()).inherited)
            };
            alphas.iter().map(|alpha| retries(alpha.node())).sum::<u32>()
        };
        assert_eq!(counted(), 0);
        alphas.iter().for_each(|alpha| alpha.target.set_behaviour(TargetBehaviour::NoResponse));
        assert_eq!(call(beta.outbound(), &chain("twice")).await.expect("a response").status, 502);
        assert_eq!(counted(), 1, "the call nested in the second attempt");
        let nested_calls = beta
            .target
            .started_requests()
            .iter()
            .filter(|seen| seen.header("quillhatch-request-id") == "twice-chained")
            .count();
        assert_eq!(nested_calls, 2);
    });
}

fn chain(id: &str) -> String {
    request("GET", HOST, "/chain/x", id, 3000, "")
}

/// One machine of alpha, whose target calls beta for each request, and two machines of beta. Warm-up calls have reached
/// all of them.
async fn chained_machines() -> (StandInStore, Machine, [Machine; 2]) {
    let store = StandInStore::start().await;
    let rule = |name: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","kind":"safe","aim_s":1,"match":{{"prefix":"/{name}/"}},"action":{{"service":"{service}","timeout_s":2,"max_attempts":2}}}}"#
        )
    };
    store.write_configuration(&format!(
        r#"{{"version":"r3","listeners":[{{"host":"{HOST}","rules":[{},{}]}}],"clusters":[{{"name":"alpha","health_path":"/health"}},{{"name":"beta","health_path":"/health"}}]}}"#,
        rule("chain", "alpha"),
        rule("read", "beta")
    ));
    let betas = [Machine::start(&store, "beta", 8).await, Machine::start(&store, "beta", 8).await];
    let alpha = Machine::start(&store, "alpha", 8).await;
    let outbound = alpha.outbound();
    alpha.target.set_chained_call(ChainedCall { outbound, host: HOST.to_owned(), path: "/read/x".to_owned() });
    eventually("all are listed", || betas[0].node().targets.borrow().len() == 3).await;
    for number in 0..40 {
        let response = call(betas[0].outbound(), &chain(&format!("good-{number}"))).await.expect("a response");
        assert_eq!(response.status, 200);
    }
    (store, alpha, betas)
}

#[test]
fn a_nested_call_abandons_a_slow_target_while_time_remains() {
    // Guards against this failure: each edge learned by itself which targets were slow, at the cost of two failed calls
    // and their parents.
    run(async {
        let (_store, _alpha, betas) = chained_machines().await;
        // The target that is chosen now is made slow: which of the two is faster depends on the machine that runs the
        // test.
        betas.iter().for_each(|beta| drop(beta.target.take_started_requests()));
        assert_eq!(call(betas[0].outbound(), &chain("last")).await.expect("a response").status, 200);
        let slow = betas.iter().find(|beta| !beta.target.started_requests().is_empty()).expect("one has run it");
        slow.target.set_behaviour(TargetBehaviour::Slow(Duration::from_secs(4)));
        let started = Instant::now();
        for number in 0..20 {
            let response = call(betas[0].outbound(), &chain(&format!("slow-{number}"))).await.expect("a response");
            assert_eq!(response.status, 200, "call {number} after {:?}", started.elapsed());
        }
        assert!(slow.target.abandoned() > 0, "the slow target was tried");
        assert!(slow.target.abandoned() <= 8, "the slow target is avoided afterwards: {}", slow.target.abandoned());
    });
}

#[test]
fn a_nested_call_is_not_lost_if_the_target_that_is_tried_beside_a_slow_one_fails() {
    run(async {
        let (_store, _alpha, betas) = chained_machines().await;
        betas.iter().for_each(|beta| drop(beta.target.take_started_requests()));
        assert_eq!(call(betas[0].outbound(), &chain("last")).await.expect("a response").status, 200);
        for beta in &betas {
            let is_next = !beta.target.started_requests().is_empty();
            let slow = TargetBehaviour::Slow(Duration::from_millis(900));
            beta.target.set_behaviour(if is_next { slow } else { TargetBehaviour::NoResponse });
        }
        let response = call(betas[0].outbound(), &chain("slow")).await.expect("a response");
        assert_eq!(response.status, 200);
    });
}

#[test]
fn a_stopping_node_abandons_no_slow_attempt() {
    run(async {
        let (_store, alpha, betas) = chained_machines().await;
        betas.iter().for_each(|beta| beta.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(900))));
        let stops = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            alpha.node().stage.set(Stage::Stopping(ShutdownSchedule::new(alpha.node().now(), BOUNDS.stop_grace)));
        };
        let (response, ()) = tokio::join!(async { call(betas[0].outbound(), &chain("slow")).await }, stops);
        assert_eq!(response.expect("a response").status, 200);
        let abandoned: usize = betas.iter().map(|beta| beta.target.abandoned()).sum();
        assert_eq!(abandoned, 0, "an attempt was abandoned while its target worked on it");
    });
}

#[test_case(1_000; "buffered body")]
#[test_case(90_000; "streamed body")]
fn a_target_that_responds_before_reading_the_body_receives_no_foreign_bytes(length: usize) {
    run(async move {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::EarlyResponse);
        for number in 0..3 {
            let body = "b".repeat(length - number);
            let text = request("POST", HOST, "/pay/", &format!("early-{number}"), 5000, &body);
            let response = call(beta.outbound(), &text).await.expect("a response");
            assert_eq!((response.status, response.body), (200, format!("the answer to early-{number}").into_bytes()));
        }
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        assert_eq!(call(beta.outbound(), &pay("after")).await.expect("a response").status, 200);
        let read = alpha.target.late_bodies();
        assert!(read.iter().all(|body| body.iter().all(|byte| *byte == b'b')), "foreign bytes in a body");
        assert_eq!(alpha.target.received_count(), 4);
    });
}
