//! Connections that fall silent after the beginning of a message.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use quillhatch_mesh::parents::{InheritedContext, ALL_ADMITTED_PERMILLE};
use quillhatch_sidecar::feed::FEED_PATH;
use quillhatch_sidecar::hop::{HopContext, HopReport, HOP_HEADER};
use quillhatch_sidecar::liveness::LIVENESS_PATH;
use quillhatch_sidecar::store_view::own_store_view;
use support::caller::{call, request, Caller};
use support::hop::report;
use support::limits::{document_with_timeout, pay, two_machines, HOST};
use support::target::TargetBehaviour;
use support::{eventually, run, unused_address};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, Instant};

/// The timeout of all routes, in seconds.
const TIMEOUT_S: u32 = 2;
const TIMEOUT: Duration = Duration::from_secs(TIMEOUT_S as u64);
/// How much later than at its timeout a call may end.
const TOLERANCE: Duration = Duration::from_millis(500);

/// Answers liveness probes, and to all other requests with the head of a response and half of its body.
async fn serve_half_responses(address: SocketAddr, length: usize, report: HopReport) {
    let listener = TcpListener::bind(address).await.expect("a free address");
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let report = report.encode();
        tokio::task::spawn_local(async move {
            let mut buffer = vec![0; 16 * 1024];
            while let Ok(count @ 1..) = stream.read(&mut buffer).await {
                let text = String::from_utf8_lossy(&buffer[..count]).into_owned();
                if text.contains(LIVENESS_PATH) {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
                    continue;
                }
                let id = text.lines().find_map(|line| line.strip_prefix("quillhatch-request-id: ")).unwrap_or_default();
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{HOP_HEADER}: {report}\r\nQuillhatch-Request-Id: {id}\r\nQuillhatch-Server-Stamp: s\r\nContent-Length: {length}\r\n\r\n"
                );
                let _ = stream.write_all((head + &"x".repeat(length / 2)).as_bytes()).await;
            }
        });
    }
}

#[test_case(1_000; "buffered")]
#[test_case(200_000; "streamed")]
fn a_response_that_falls_silent_ends_at_the_timeout(length: usize) {
    run(async move {
        let (store, alpha, beta) = two_machines().await;
        store.write_configuration(&document_with_timeout(2, TIMEOUT_S));
        eventually("the configuration changes", || beta.node().configuration.borrow().version() == 2).await;
        store.deregister(&alpha.target.id());
        let silent = unused_address();
        let address = (silent, alpha.inbound().port()).into();
        tokio::task::spawn_local(serve_half_responses(address, length, report(&beta)));
        let entry = format!(
            r#"{{"service":"alpha","address":"{silent}:9","zone":"zone-a","version":"v1","slots":4,"state":"ready","cold_remaining_s":0,"seq":1}}"#
        );
        store.write("servers/i-silent", Some(&entry));
        eventually("the list changes", || beta.node().targets.borrow().get("i-silent").is_some()).await;
        eventually("alpha is removed", || beta.node().targets.borrow().get(&alpha.target.id()).is_none()).await;
        let started = Instant::now();
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&pay("one")).await;
        let response = caller.next_response_within(TIMEOUT + 2 * TOLERANCE).await;
        let took = started.elapsed();
        assert!(took < TIMEOUT + TOLERANCE, "no end after {took:?}");
        // What was streamed can only be broken off.
        let expected = if length == 1_000 { Some(504) } else { None };
        assert_eq!(response.map(|response| response.status), expected);
    });
}

#[test]
fn a_stream_that_nobody_reads_releases_its_slot() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        store.write_configuration(&document_with_timeout(2, TIMEOUT_S));
        let node = alpha.node();
        eventually("the configuration changes", || node.configuration.borrow().version() == 2).await;
        alpha.target.set_behaviour(TargetBehaviour::LongBody(30_000_000));
        let inherited =
            InheritedContext { priority: 0, position: 0, is_retry: false, admitted_permille: ALL_ADMITTED_PERMILLE };
        let context = HopContext {
            is_root: true,
            inherited,
            max_wait: TIMEOUT,
            store_view: own_store_view(beta.node()),
            edge_ip: beta.address.into(),
            is_over_limit: false,
            rate_limit: None,
            work_time: None,
        };
        let headers = format!(
            "\r\n{HOP_HEADER}: {}\r\nQuillhatch-Expect-Instance: {}\r\nQuillhatch-Caller-Service: beta\r\n\r\n",
            context.encode(),
            alpha.target.id()
        );
        let text = request("GET", HOST, "/read/x", "unread", 1000, "").replacen("\r\n\r\n", &headers, 1);
        let mut silent = Caller::connect(alpha.inbound()).await;
        silent.send(&text).await;
        eventually("it runs", || node.gate.borrow().load().running == 1).await;
        // A reader that pauses for some seconds still gets the rest.
        sleep(Duration::from_secs(5) + TOLERANCE).await;
        assert_eq!(node.gate.borrow().load().running, 0, "slots in use for a reader that has stalled");
        alpha.target.set_behaviour(TargetBehaviour::Normal);
        assert_eq!(call(beta.outbound(), &pay("after")).await.expect("a response").status, 200);
    });
}

#[test]
fn a_caller_that_reads_nothing_loses_its_connection_after_the_idle_timeout() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        let document = document_with_timeout(2, TIMEOUT_S).replace("\"idle_timeout_s\":15", "\"idle_timeout_s\":2");
        store.write_configuration(&document);
        eventually("the configuration changes", || beta.node().configuration.borrow().version() == 2).await;
        alpha.target.set_behaviour(TargetBehaviour::LongBody(30_000_000));
        let before = beta.sidecar.open_connections();
        let mut caller = Caller::connect(beta.outbound()).await;
        caller.send(&request("GET", HOST, "/read/x", "unread", 1000, "")).await;
        eventually("it is open", || beta.sidecar.open_connections() > before).await;
        sleep(Duration::from_secs(7)).await;
        assert_eq!(beta.sidecar.open_connections(), before);
    });
}

#[test]
fn a_request_body_that_falls_silent_is_refused_at_the_timeout() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        store.write_configuration(&document_with_timeout(2, TIMEOUT_S));
        eventually("the configuration changes", || beta.node().configuration.borrow().version() == 2).await;
        let started = Instant::now();
        let mut caller = Caller::connect(beta.outbound()).await;
        let text = pay("half");
        caller.send(&text[..text.len() - 3]).await;
        let response = caller.next_response_within(TIMEOUT + 2 * TOLERANCE).await.expect("a response");
        assert_eq!(response.status, 408);
        assert!(started.elapsed() < TIMEOUT + TOLERANCE);
        assert_eq!(alpha.target.received_count(), 0);
    });
}

/// Guards against this failure: a query of another node whose body never came held its connection for good.
#[test]
fn a_feed_query_whose_body_falls_silent_is_refused() {
    run(async {
        let (_store, alpha, _beta) = two_machines().await;
        let mut silent = Caller::connect(alpha.inbound()).await;
        silent.send(&format!("POST {FEED_PATH} HTTP/1.1\r\nHost: node\r\nContent-Length: 100\r\n\r\n")).await;
        let response = silent.next_response_within(Duration::from_secs(3)).await.expect("a response");
        assert_eq!(response.status, 400);
    });
}
