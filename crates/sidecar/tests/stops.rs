//! Graceful shutdown.

mod support;

use std::time::Duration;

use support::caller::{call, request, Caller};
use support::shop::{read, two_machines, HOST};
use support::target::TargetBehaviour;
use support::{eventually, run};
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
