//! Graceful shutdown.

mod support;

use std::time::Duration;

use support::caller::{call, request, Caller};
use support::shop::{chain_document_with_timeout, document, read, two_machines, HOST};
use support::store::StandInStore;
use support::target::{ChainedCall, ChainedRecord, TargetBehaviour, WORK_HEADER};
use support::{eventually, run, Machine};
use tokio::time::sleep;

#[test]
fn a_stop_answers_all_requests_read_and_drains_callers() {
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(400)));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&read("one")).await;
        sleep(Duration::from_millis(20)).await;
        caller.send(&read("two")).await;
        eventually("both run", || alpha.target.running() == 2).await;
        let (outbound, ready) = (beta.outbound(), beta.ready());
        let stopping = tokio::task::spawn_local(beta.sidecar.stop());
        sleep(Duration::from_millis(50)).await;
        let probe = call(ready, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await.expect("a response");
        assert_eq!(probe.status, 503);
        let first = caller.next_response().await.expect("the first response");
        assert_eq!((first.status, first.header("connection")), (200, ""), "another pipelined call is pending");
        let second = caller.next_response().await.expect("the second response");
        assert_eq!((second.status, second.header("connection")), (200, "close"));
        assert_eq!(caller.next_response().await, None);
        let late = call(outbound, &read("three")).await.expect("a call in transit is still answered");
        assert_eq!((late.status, late.header("connection")), (200, "close"));
        stopping.await.expect("it stops");
    });
}

#[test]
fn a_stop_answers_a_caller_whose_next_request_is_unread() {
    // Guards against this failure: hyper closed the connection without having written the response.
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(300)));
        let mut caller = Caller::connect(beta.outbound()).await;
        // A request with a body, so that the bytes after it are passed to hyper as they arrive.
        caller.send(&request("POST", HOST, "/read/x", "one", 5000, "body")).await;
        eventually("it runs", || alpha.target.running() == 1).await;
        let stopping = tokio::task::spawn_local(beta.sidecar.stop());
        sleep(Duration::from_millis(50)).await;
        caller.send(&read("two")).await;
        let first = caller.next_response().await.expect("the response to the first request");
        assert_eq!(first.body, b"the answer to one");
        stopping.await.expect("it stops");
    });
}

#[test]
fn a_stop_interrupts_no_call_while_callers_keep_connecting() {
    // While most of a zone is down, callers are not moved to other nodes, so they keep calling a stopping node (see
    // `days/roll-term`).
    run(async {
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(300)));
        let outbound = beta.outbound();
        let stopping = tokio::task::spawn_local(beta.sidecar.stop());
        let mut callers = Vec::new();
        for number in 0_u32.. {
            if stopping.is_finished() {
                break;
            }
            let id = format!("call-{number}");
            callers.push(tokio::task::spawn_local(async move {
                let mut caller = Caller::try_connect(outbound).await?;
                caller.send(&read(&id)).await;
                Some((id, caller.next_response().await.map(|response| response.status)))
            }));
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(stopping.await.expect("it stops"), 0, "calls unfinished at the end of the process");
        let ran: Vec<String> = alpha
            .target
            .started_requests()
            .iter()
            .map(|seen| seen.header("quillhatch-request-id").to_owned())
            .collect();
        let (mut served, mut refused) = (0, 0);
        for caller in callers {
            let Some((id, status)) = caller.await.expect("the caller ends") else { continue };
            assert!(status.is_some() || !ran.contains(&id), "{id} was forwarded and interrupted");
            served += usize::from(status == Some(200));
            refused += usize::from(status == Some(503));
        }
        assert!(served > 50, "{served} served, {refused} refused");
    });
}

/// How long the target works on the calls, one after the other.
const WORK_TIMES_MS: [u64; 5] = [20, 500, 1500, 3000, 5500];

#[test]
fn a_stop_loses_no_call_that_arrives_late_and_must_run_at_most_once() {
    run(async {
        let store = StandInStore::start().await;
        let rule = r#""kind":"safe","#;
        store.write_configuration(
            &document(5, "alpha").replace(rule, r#""kind":"unsafe","#).replace(r#""timeout_s":1"#, r#""timeout_s":7"#),
        );
        let alpha = Machine::start(&store, "alpha", 64).await;
        let beta = Machine::start(&store, "beta", 8).await;
        eventually("both are listed at beta", || beta.node().targets.borrow().len() == 2).await;
        let outbound = beta.outbound();
        let mut open = Vec::new();
        for _ in 0..40 {
            open.push(Caller::connect(outbound).await);
        }
        let stopping = tokio::task::spawn_local(beta.sidecar.stop());
        let mut callers = Vec::new();
        for (number, work_ms) in (0..).zip(WORK_TIMES_MS.iter().cycle()) {
            if stopping.is_finished() {
                break;
            }
            let id = format!("call-{number}");
            let work = format!("\r\n{WORK_HEADER}: {work_ms}\r\n\r\n");
            let text = request("GET", HOST, "/read/x", &id, 7000, "").replacen("\r\n\r\n", &work, 1);
            let caller = if number % 2 == 0 { open.pop() } else { None };
            callers.push(tokio::task::spawn_local(async move {
                let mut caller = match caller {
                    Some(caller) => caller,
                    None => Caller::try_connect(outbound).await?,
                };
                caller.send(&text).await;
                Some((id, caller.next_response().await))
            }));
            sleep(Duration::from_millis(80)).await;
        }
        assert_eq!(stopping.await.expect("it stops"), 0, "calls unfinished at the end of the process");
        let started = alpha.target.started_requests();
        let ran: Vec<&str> = started.iter().map(|request| request.id()).collect();
        let (mut answered, mut late) = (0, 0);
        for caller in callers {
            let Some((id, response)) = caller.await.expect("the caller ends") else { continue };
            if !ran.contains(&id.as_str()) {
                let status = response.map_or(503, |response| response.status);
                assert_eq!(status, 503, "{id} has not run");
                continue;
            }
            let response = response.unwrap_or_else(|| panic!("{id} ran and got no response"));
            assert!(response.is_signed() && [200, 504].contains(&response.status), "{id}: {response:?}");
            answered += 1;
            late += usize::from(response.status == 504);
        }
        assert!(answered > 20, "{answered} answered");
        assert_eq!(alpha.target.abandoned(), 0, "{answered} answered, {late} of them by 504");
    });
}

#[test]
fn a_stop_delivers_the_responses_behind_one_that_is_read_slowly() {
    run(async {
        // More than the buffers of a connection can hold.
        const LENGTH: usize = 12_000_000;
        let (_store, alpha, beta) = two_machines().await;
        alpha.target.set_behaviour(TargetBehaviour::LongBody(LENGTH));
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&[read("one"), read("two"), read("three")].concat()).await;
        eventually("all run", || alpha.target.started_requests().len() == 3).await;
        let stopping = tokio::task::spawn_local(beta.sidecar.stop());
        // Until after the time in which the node drains its callers, when idle connections are closed.
        sleep(Duration::from_millis(3000)).await;
        for id in ["one", "two", "three"] {
            let response = caller.next_response().await.unwrap_or_else(|| panic!("the response to {id} is lost"));
            assert_eq!((response.status, response.body.len()), (200, LENGTH), "{id}");
        }
        stopping.await.expect("it stops");
    });
}

/// Starts a machine of `alpha`, whose target makes `count` calls in a row to `beta` for each of its requests, and one of
/// `beta`, whose target works on each for a time in this range.
async fn machines_with_nested_calls(count: usize, work: (Duration, Duration)) -> (StandInStore, Machine, Machine) {
    let store = StandInStore::start().await;
    store.write_configuration(&chain_document_with_timeout(6));
    let alpha = Machine::start(&store, "alpha", 64).await;
    let beta = Machine::start(&store, "beta", 64).await;
    for machine in [&alpha, &beta] {
        eventually("both are listed", || machine.node().targets.borrow().len() == 2).await;
    }
    let outbound = alpha.outbound();
    alpha.target.set_chained_call(ChainedCall { outbound, host: HOST.to_owned(), path: "/read/x".to_owned() });
    alpha.target.set_chained_count(count);
    beta.target.set_behaviour(TargetBehaviour::SlowUntilDeadline(work.0, work.1));
    (store, alpha, beta)
}

fn chain(id: &str) -> String {
    request("GET", HOST, "/chain/x", id, 6000, "")
}

#[test]
fn a_stop_passes_on_no_nested_call_that_its_end_cuts_off() {
    run(async {
        let work = (Duration::from_millis(300), Duration::from_millis(500));
        let (_store, alpha, beta) = machines_with_nested_calls(6, work).await;
        let (to, own) = (beta.outbound(), alpha.outbound());
        let warm_up: Vec<_> = (0..8)
            .map(|number| tokio::task::spawn_local(async move { call(to, &chain(&format!("warm-{number}"))).await }))
            .collect();
        for parent in warm_up {
            let response = parent.await.expect("the caller ends").expect("a response");
            assert_eq!(response.status, 200);
        }
        alpha.target.take_chained_records();
        let stopping = tokio::task::spawn_local(alpha.sidecar.stop());
        let mut parents = Vec::new();
        for number in 0_u32.. {
            if stopping.is_finished() {
                break;
            }
            for (to, name) in [(to, "other"), (own, "own")] {
                let id = format!("{name}-{number}");
                parents.push(tokio::task::spawn_local(async move {
                    let mut caller = Caller::try_connect(to).await?;
                    caller.send(&chain(&id)).await;
                    caller.next_response().await.map(|response| response.status)
                }));
            }
            sleep(Duration::from_millis(80)).await;
        }
        let cut = stopping.await.expect("it stops");
        let nested = alpha.target.take_chained_records();
        let with_status = |status: u16| nested.iter().filter(|call| call.status == Some(status)).count();
        let (served, refused) = (with_status(200), with_status(503));
        let mut parents_served = 0;
        for parent in parents {
            parents_served += usize::from(parent.await.expect("the caller ends") == Some(200));
        }
        println!(
            "{cut} cut; {served} of {} nested calls served, {refused} refused; {parents_served} parents served",
            nested.len()
        );
        assert_eq!(cut, 0, "calls cut off by the end of the process");
        assert!(served > 100, "{served} served, {refused} refused");
    });
}

#[test]
fn a_target_ends_a_nested_call_before_the_stop_of_its_caller_does() {
    run(async {
        let work = (Duration::from_millis(3500), Duration::from_millis(3500));
        let (_store, alpha, beta) = machines_with_nested_calls(1, work).await;
        let to = beta.outbound();
        let stopping = tokio::task::spawn_local(alpha.sidecar.stop());
        sleep(Duration::from_millis(2100)).await;
        let parent = tokio::task::spawn_local(async move { call(to, &chain("parent")).await });
        assert_eq!(stopping.await.expect("it stops"), 0, "calls cut off by the end of the process");
        let nested = alpha.target.take_chained_records();
        let statuses: Vec<_> = nested.iter().map(|call: &ChainedRecord| call.status).collect();
        assert_eq!(statuses, [Some(504)], "the target's own response at its deadline");
        parent.await.expect("the caller ends");
    });
}
