//! Complete nodes: the operator listener, messages between nodes, and graceful shutdown.

mod support;

use std::time::Duration;

use quillhatch::decisions::NodeInput;
use quillhatch_calls::edge::io::EdgeInput;
use quillhatch_calls::gate::io::{GateInput, LoadHint};
use quillhatch_control::operator::OperatorRequest;
use quillhatch_messages::{Payload, PayloadKind};
use quillhatch_standins::backend::{Backend, BackendFaults, BackendOptions};
use quillhatch_standins::server::any_loopback;
use support::backend::{start_raw, start_rocket, AfterAnswer};
use support::node::{settings, start, TOKEN};
use support::{client, SERVICE, TEST_TIMEOUT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test(flavor = "multi_thread")]
async fn operator_requests_require_the_token() {
    let (node, log) = start(settings(None), Vec::new()).await;
    let url = |path: &str| format!("http://{}{path}", node.addresses.operators);
    for public_path in ["/health", "/ready"] {
        assert_eq!(client().get(url(public_path)).send().await.expect("answer").status(), 200);
    }
    for token in ["", "another-operators-token"] {
        let metrics = client().get(url("/metrics")).bearer_auth(token).send().await.expect("answer");
        assert_eq!(metrics.status(), 401);
        let request = client().post(url("/operator")).bearer_auth(token).json(&OperatorRequest::Plans);
        assert_eq!(request.send().await.expect("answer").status(), 401);
    }
    assert!(!log.inputs().iter().any(|input| matches!(input, NodeInput::Operator { .. })));
    let metrics = client().get(url("/metrics")).bearer_auth(TOKEN).send().await.expect("answer");
    let page = metrics.text().await.expect("page");
    assert!(page.contains("quillhatch_rejected_frames_total 0") && page.ends_with("# EOF\n"), "{page}");
    let malformed = client().post(url("/operator")).bearer_auth(TOKEN).header("content-type", "application/json");
    assert_eq!(malformed.body("{\"request\":\"dance\"}").send().await.expect("answer").status(), 400);
    node.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_are_delivered_and_forged_frames_are_rejected() {
    let (sender, _) = start(settings(None), Vec::new()).await;
    let (receiver, log) = start(settings(None), Vec::new()).await;
    let payload = Payload { kind: PayloadKind::Membership, service: None, bytes: vec![1, 2, 3] };
    sender.driver().send(receiver.node.address, Some(receiver.node.incarnation), payload.clone());
    let arrived = |input: &NodeInput| matches!(input, NodeInput::Message { from, payload: received, .. } if *from == sender.node && *received == payload);
    log.wait_for("the message", arrived).await;
    let url = format!("http://{}/frames", receiver.addresses.peers);
    let forged = [&40_u32.to_be_bytes()[..], &[7; 40]].concat();
    assert_eq!(client().post(url).body(forged).send().await.expect("answer").status(), 204);
    assert_eq!(receiver.counters().rejected_frames.get(), 1);
    sender.kill().await;
    receiver.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_finishes_an_answer_in_flight() {
    let (gate, gate_log) = start(settings(Some(start_rocket().await)), Vec::new()).await;
    let (edge, edge_log) = start(settings(None), vec![gate.node]).await;
    let url = format!("http://{}/giving/download", edge.addresses.callers);
    let answer = client().get(url).send().await.expect("head");
    let (edge, gate) = (tokio::spawn(edge.stop()), tokio::spawn(gate.stop()));
    for log in [&edge_log, &gate_log] {
        log.wait_for("the stop", |input| matches!(input, NodeInput::Stop { .. })).await;
    }
    assert_eq!(answer.bytes().await.expect("the complete body").len(), support::backend::DOWNLOAD_BYTES);
    for node in [edge, gate] {
        let report = tokio::time::timeout(TEST_TIMEOUT, node).await.expect("the node stops").expect("no panic");
        assert!(report.aborted.is_empty(), "{report:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_still_active_after_the_grace_period_are_aborted_and_reported() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
    let (backend, _) = start_raw(head.as_bytes().to_vec(), AfterAnswer::Hold).await;
    let (gate, log) = start(settings(Some(backend)), Vec::new()).await;
    let (edge, _) = start(settings(None), vec![gate.node]).await;
    let mut caller = TcpStream::connect(edge.addresses.callers).await.expect("connect");
    caller.write_all(b"GET /giving/file HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("write");
    log.wait_for("the answer", |input| matches!(input, NodeInput::Gate(GateInput::AnswerStarted { .. }))).await;
    let mut received = Vec::new();
    while !received.ends_with(b"part\r\n") {
        assert!(caller.read_buf(&mut received).await.expect("read") > 0);
    }
    let report =
        tokio::time::timeout(TEST_TIMEOUT, edge.stop_within(Duration::from_millis(1))).await.expect("the node stops");
    assert_eq!(report.aborted.len(), 1, "{report:?}");
    assert!(report.aborted[0].to_string().contains("giving"), "{report:?}");
    let reading = async { while caller.read_buf(&mut received).await.unwrap_or(0) > 0 {} };
    tokio::time::timeout(TEST_TIMEOUT, reading).await.expect("the caller's connection closes");
    assert!(!received.ends_with(b"0\r\n\r\n"), "an aborted body ended as if it were complete");
    gate.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn health_and_load_of_the_back_end_reach_the_gate() {
    let options = BackendOptions {
        service: SERVICE.to_owned(),
        name: "backend".to_owned(),
        slots: 4,
        service_time: Duration::ZERO,
        edge: None,
        children: Vec::new(),
    };
    let backend = Backend::start(any_loopback(), options).await.expect("the back end starts");
    let mut settings = settings(Some(backend.address()));
    if let Some(backend) = &mut settings.backend {
        (backend.load_path, backend.poll_interval) = (Some("/load".to_owned()), Duration::from_millis(50));
    }
    let (node, log) = start(settings, Vec::new()).await;
    let hint = |healthy, load| move |input: &NodeInput| *input == GateInput::Hint(LoadHint { healthy, load }).into();
    log.wait_for("a healthy, idle back end", hint(true, Some(0.0))).await;
    let unhealthy =
        BackendFaults { shedding: true, always_healthy: false, claimed_load: Some(0.5), ..BackendFaults::default() };
    backend.behaviour.set_faults(unhealthy);
    log.wait_for("an unhealthy back end", hint(false, Some(0.5))).await;
    backend.stop().await;
    log.wait_for("an unreachable back end", hint(false, None)).await;
    node.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_on_the_outgoing_listener_are_marked_as_outgoing() {
    let mut settings = settings(Some(start_rocket().await));
    if let Some(backend) = &mut settings.backend {
        backend.outgoing_address = Some(any_loopback());
    }
    let (node, log) = start(settings, Vec::new()).await;
    let outgoing = node.addresses.outgoing.expect("the listener");
    let context = "0123456789abcdef0123456789abcdef";
    for (address, context) in
        [(node.addresses.callers, None), (node.addresses.callers, Some(context)), (outgoing, None)]
    {
        let mut request = client().get(format!("http://{address}/giving/x"));
        if let Some(context) = context {
            request = request.header("quillhatch-context", context);
        }
        request.send().await.expect("answer");
    }
    let arrivals = log.inputs().into_iter().filter_map(|input| match input {
        NodeInput::Edge(EdgeInput::Arrived(arrival)) => Some((arrival.outgoing, arrival.parent.is_some())),
        _ => None,
    });
    assert_eq!(arrivals.collect::<Vec<_>>(), [(false, false), (true, false), (true, false)]);
    node.kill().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_background_run_is_aborted_when_its_node_stops() {
    let (backend, record) =
        start_raw(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart".to_vec(), AfterAnswer::Hold).await;
    let (gate, log) = start(settings(Some(backend)), Vec::new()).await;
    let (edge, edge_log) = start(settings(None), vec![gate.node]).await;
    let url = format!("http://{}/giving/x", edge.addresses.callers);
    let answer = client().post(url).header("idempotency-key", "a-key").send().await.expect("head");
    drop(answer);
    edge_log
        .wait_for("the caller disconnected", |input| {
            matches!(input, NodeInput::Edge(EdgeInput::CallerDisconnected { .. }))
        })
        .await;
    log.wait_for("the edge disconnected", |input| matches!(input, NodeInput::Gate(GateInput::Cancelled { .. }))).await;
    let ended = |input: &NodeInput| matches!(input, NodeInput::Gate(GateInput::AnswerEnded { .. }));
    assert!(!log.inputs().iter().any(ended), "the background run ended too early");
    let report =
        tokio::time::timeout(TEST_TIMEOUT, gate.stop_within(Duration::from_millis(1))).await.expect("the node stops");
    assert_eq!(report.aborted.len(), 1, "{report:?}");
    tokio::time::timeout(TEST_TIMEOUT, record.disconnected.notified()).await.expect("the back end's connection closes");
    log.wait_for("the end", ended).await;
    edge.kill().await;
}
