//! Streaming through an edge and a gate over real HTTP, as callers and back ends observe it.

mod support;

use std::sync::Arc;

use quillhatch::decisions::NodeInput;
use quillhatch_calls::edge::io::EdgeInput;
use quillhatch_calls::gate::io::{AnswerEnd, GateInput};
use support::backend::{hex_digest, pattern, start_raw, start_rocket, AfterAnswer, DOWNLOAD_BYTES};
use support::{client, start_edge, start_gate, TEST_TIMEOUT};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

#[tokio::test(flavor = "multi_thread")]
async fn a_large_download_arrives_complete() {
    let gate = start_gate(start_rocket().await).await;
    let edge = start_edge(vec![gate.node]).await;
    let answer = client().get(edge.url("/download")).send().await.expect("answer");
    assert_eq!(answer.status(), 200);
    let body = answer.bytes().await.expect("body");
    assert_eq!(hex_digest(&body), hex_digest(&pattern(0, DOWNLOAD_BYTES)));
    let ended = |input: &NodeInput| matches!(input, NodeInput::Edge(EdgeInput::BodyEnded { incomplete: None, .. }));
    edge.log.wait_for("complete body at the edge", ended).await;
    gate.log
        .wait_for("complete body at the gate", |input| matches!(answer_end(input), Some(AnswerEnd::Whole { .. })))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_upload_arrives_complete() {
    let gate = start_gate(start_rocket().await).await;
    let edge = start_edge(vec![gate.node]).await;
    let body = pattern(0, DOWNLOAD_BYTES);
    let expected = format!("{} {}", body.len(), hex_digest(&body));
    let chunks: Vec<std::io::Result<Vec<u8>>> = body.chunks(10_000).map(|chunk| Ok(chunk.to_vec())).collect();
    let streamed = reqwest::Body::wrap_stream(futures::stream::iter(chunks));
    let answer = client().post(edge.url("/upload")).body(streamed).send().await.expect("answer");
    assert_eq!(answer.text().await.expect("text"), expected);
}

/// Sends a request as raw bytes and reads the response until the connection closes. Notifies `part_arrived` when the
/// response contains "part".
async fn exchange_raw(address: std::net::SocketAddr, request: &str, part_arrived: &Notify) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(request.as_bytes()).await.expect("write");
    let mut answer = Vec::new();
    let reading = async {
        // A connection reset is one way to end a broken response; the bytes before it are checked.
        while stream.read_buf(&mut answer).await.unwrap_or(0) > 0 {
            if String::from_utf8_lossy(&answer).contains("part") {
                part_arrived.notify_one();
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, reading).await.expect("the connection closes");
    String::from_utf8_lossy(&answer).into_owned()
}

fn assert_incomplete(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    assert!(!answer.contains("0\r\n\r\n"), "a broken body ended as if it were complete: {answer}");
    let body = answer.split_once("\r\n\r\n").expect("head").1;
    assert!(body.len() < "4\r\npart\r\n0\r\n\r\n".len() && !answer.contains("content-length: 4"), "{answer}");
}

#[test_case("transfer-encoding: chunked\r\n\r\n4\r\npart\r\n"; "chunked without its terminator")]
#[test_case("content-length: 9\r\n\r\npart"; "shorter than announced")]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_does_not_look_complete(rest: &str) {
    let part_arrived = Arc::new(Notify::new());
    let after = AfterAnswer::CloseOn(Arc::clone(&part_arrived));
    let (backend, _) = start_raw(format!("HTTP/1.1 200 OK\r\n{rest}").into_bytes(), after).await;
    let gate = start_gate(backend).await;
    let edge = start_edge(vec![gate.node]).await;
    let request = "GET /giving/file HTTP/1.1\r\nhost: a\r\n\r\n";
    let answer = exchange_raw(edge.address, request, &part_arrived).await;
    assert_incomplete(&answer);
    edge.log
        .wait_for("a broken body", |input| {
            matches!(input, NodeInput::Edge(EdgeInput::BodyEnded { incomplete: Some(_), .. }))
        })
        .await;
    gate.log.wait_for("a broken answer", |input| answer_end(input) == Some(&AnswerEnd::Broken)).await;
}

// A node that reads head, part and end at once closes its connection before it has passed anything on.
#[test_case("transfer-encoding: chunked\r\n\r\n4\r\npart\r\n"; "chunked without its terminator")]
#[test_case("content-length: 9\r\n\r\npart"; "shorter than announced")]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_at_once_does_not_look_complete(rest: &str) {
    let (backend, _) = start_raw(format!("HTTP/1.1 200 OK\r\n{rest}").into_bytes(), AfterAnswer::Close).await;
    let gate = start_gate(backend).await;
    let edge = start_edge(vec![gate.node]).await;
    let request = "GET /giving/file HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let answer = exchange_raw(edge.address, request, &Notify::new()).await;
    if answer.starts_with("HTTP/1.1 502") {
        assert!(answer.contains("outcome: unknown") && answer.contains("may have run"), "{answer}");
    } else if !answer.is_empty() {
        assert_incomplete(&answer);
    }
    gate.log.wait_for("a broken answer", |input| answer_end(input) == Some(&AnswerEnd::Broken)).await;
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "GET", 200)]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", "GET", 204)]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n", "HEAD", 200)]
#[test_case("HTTP/1.1 304 Not Modified\r\ncontent-length: 500\r\n\r\n", "GET", 304)]
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_a_body_are_complete(answer: &str, method: &str, status: u16) {
    let (backend, _) = start_raw(answer.as_bytes().to_vec(), AfterAnswer::Hold).await;
    let gate = start_gate(backend).await;
    let edge = start_edge(vec![gate.node]).await;
    let method = method.parse().expect("method");
    let response = client().request(method, edge.url("/x")).send().await.expect("answer");
    assert_eq!(response.status(), status);
    gate.log
        .wait_for("complete answer", |input| matches!(answer_end(input), Some(AnswerEnd::Whole { bytes: 0, .. })))
        .await;
    let caller_gone = |input: &NodeInput| matches!(input, NodeInput::Edge(EdgeInput::CallerDisconnected { .. }));
    assert!(!edge.log.inputs().iter().any(caller_gone));
}

#[test_case(""; "before the head of the answer")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n"; "in the middle of the body")]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_the_request_at_the_back_end(answer: &str) {
    let (backend, record) = start_raw(answer.as_bytes().to_vec(), AfterAnswer::Hold).await;
    let gate = start_gate(backend).await;
    let edge = start_edge(vec![gate.node]).await;
    let mut caller = TcpStream::connect(edge.address).await.expect("connect");
    caller.write_all(b"GET /giving/file HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("write");
    if answer.is_empty() {
        gate.log.wait_for("arrival", |input| matches!(input, NodeInput::Gate(GateInput::Arrived(_)))).await;
    } else {
        let mut byte = [0];
        caller.read_exact(&mut byte).await.expect("the answer begins");
    }
    drop(caller);
    tokio::time::timeout(TEST_TIMEOUT, record.disconnected.notified()).await.expect("the back end's connection closes");
    edge.log
        .wait_for("caller gone", |input| matches!(input, NodeInput::Edge(EdgeInput::CallerDisconnected { .. })))
        .await;
    gate.log.wait_for("cancelled", |input| answer_end(input) == Some(&AnswerEnd::Cancelled)).await;
}

#[test_case("\"v1\"", true; "the same strong validator")]
#[test_case("\"v2\"", false; "another validator")]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_download_resumes_only_with_the_same_validator(validator: &str, resumes: bool) {
    let first = "HTTP/1.1 200 OK\r\naccept-ranges: bytes\r\netag: \"v1\"\r\ncontent-length: 8\r\n\r\nabcd";
    let rest = format!(
        "HTTP/1.1 206 Partial Content\r\netag: {validator}\r\ncontent-range: bytes 4-7/8\r\ncontent-length: 4\r\n\r\nefgh"
    );
    let head_arrived = Arc::new(Notify::new());
    let after = AfterAnswer::CloseOn(Arc::clone(&head_arrived));
    let (first, _) = start_raw(first.as_bytes().to_vec(), after).await;
    let (second, record) = start_raw(rest.into_bytes(), AfterAnswer::Close).await;
    let (gate, other) = (start_gate(first).await, start_gate(second).await);
    let edge = start_edge(vec![gate.node, other.node]).await;
    let head = client().get(edge.url("/file")).send().await.expect("head");
    head_arrived.notify_one();
    let body = head.bytes().await;
    assert_eq!(body.ok().as_deref(), resumes.then_some(b"abcdefgh".as_slice()));
    let request = record.requests.lock().expect("requests").concat();
    assert!(request.contains("range: bytes=4-") && request.contains("if-range: \"v1\""), "{request}");
}

fn answer_end(input: &NodeInput) -> Option<&AnswerEnd> {
    match input {
        NodeInput::Gate(GateInput::AnswerEnded { end, .. }) => Some(end),
        _ => None,
    }
}
