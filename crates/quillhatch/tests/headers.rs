//! Which header fields are forwarded, which requests are refused, and what callers receive.

mod support;

use quillhatch::decisions::NodeInput;
use quillhatch::metrics::UnacceptedLabels;
use quillhatch_calls::edge::io::EdgeInput;
use quillhatch_calls::gate::io::{AnswerEnd, GateInput};
use quillhatch_types::{Incarnation, NodeAddress, NodeId};
use support::backend::{start_raw, start_rocket, AfterAnswer};
use support::{client, keys, start_edge, start_edge_with, start_gate, HEADER_LIMIT, RETRY_BUFFER};
use test_case::test_case;

#[tokio::test(flavor = "multi_thread")]
async fn only_end_to_end_fields_reach_the_back_end() {
    let gate = start_gate(start_rocket().await).await;
    let edge = start_edge(vec![gate.node]).await;
    let request = client()
        .get(edge.url("/fields"))
        .header("host", "shop.example:81")
        .header("connection", "close, x-listed, host")
        .header("x-listed", "1")
        .header("keep-alive", "9")
        .header("proxy-authorization", "secret")
        .header("te", "trailers")
        .header("quillhatch-context", "forged")
        .header("quillhatch-call", "forged")
        .header("quillhatch-feedback", "forged")
        .header("x-end-to-end", "kept");
    let fields = request.send().await.expect("answer").text().await.expect("text");
    for absent in ["x-listed", "keep-alive", "proxy-authorization", "te:", "forged", "quillhatch-call"] {
        assert!(!fields.contains(absent), "{absent} in {fields}");
    }
    for present in ["host: shop.example:81", "x-end-to-end: kept", "quillhatch-context: ", "quillhatch-deadline-ms: "] {
        assert!(fields.contains(present), "{present} not in {fields}");
    }
    assert_eq!(edge.counters.unknown_contexts.get(), 1);
    let without_parent = |input: &NodeInput| matches!(input, NodeInput::Edge(EdgeInput::Arrived(arrival)) if arrival.outgoing && arrival.parent.is_none());
    edge.log.wait_for("an outgoing call without a parent", without_parent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reserved_and_hop_by_hop_fields_of_a_back_end_are_removed() {
    let answer = "HTTP/1.1 200 OK\r\nconnection: x-listed\r\nx-listed: 1\r\noutcome: not-run\r\n\
        quillhatch-refusal: not-run overloaded 0\r\nx-own: kept\r\ncontent-length: 2\r\n\r\nok";
    let (backend, _) = start_raw(answer.as_bytes().to_vec(), AfterAnswer::Close).await;
    let gate = start_gate(backend).await;
    let edge = start_edge(vec![gate.node]).await;
    let answer = client().get(edge.url("/x")).send().await.expect("answer");
    assert_eq!(answer.status(), 200);
    let names: Vec<String> = answer.headers().keys().map(ToString::to_string).collect();
    assert!(names.iter().all(|name| !name.starts_with("quillhatch-") && name != "outcome" && name != "x-listed"));
    assert!(names.contains(&"x-own".to_owned()));
}

#[test_case(&[("quillhatch-deadline-ms", "-5")], 400; "negative deadline")]
#[test_case(&[("quillhatch-deadline-ms", "+5")], 400; "signed deadline")]
#[test_case(&[("quillhatch-deadline-ms", "86400001")], 400; "deadline beyond a day")]
#[test_case(&[("quillhatch-deadline-ms", "1"), ("quillhatch-deadline-ms", "2")], 400; "two deadlines")]
#[test_case(&[("idempotency-key", "")], 400; "empty key")]
#[test_case(&[("idempotency-key", "a"), ("idempotency-key", "b")], 400; "two keys")]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused(fields: &[(&str, &str)], status: u16) {
    let edge = start_edge(Vec::new()).await;
    let request =
        fields.iter().fold(client().get(edge.url("/x")), |request, (name, value)| request.header(*name, *value));
    assert_refused(request.send().await.expect("answer"), status, "bad-request").await;
    assert!(edge.log.inputs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn header_and_body_sizes_are_limited() {
    let edge = start_edge_with(Vec::new(), keys(1), Some(40_000)).await;
    let long = "x".repeat(usize::try_from(HEADER_LIMIT).expect("size"));
    let answer = client().get(edge.url("/x")).header("x-long", long).send().await.expect("answer");
    assert_refused(answer, 431, "bad-request").await;
    let answer = client().post(edge.url("/x")).body(vec![0; 40_001]).send().await.expect("answer");
    assert_refused(answer, 413, "bad-request").await;
    let keyed = vec![0; usize::try_from(RETRY_BUFFER).expect("size") + 1];
    let answer = client().post(edge.url("/x")).header("idempotency-key", "k").body(keyed).send().await.expect("answer");
    assert_refused(answer, 413, "bad-request").await;
    assert!(edge.log.inputs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_body_without_a_length_is_limited() {
    let gate = start_gate(start_rocket().await).await;
    let edge = start_edge_with(vec![gate.node], keys(1), Some(40_000)).await;
    let chunks = (0..50).map(|_| Ok::<_, std::io::Error>(vec![0; 1_000]));
    let body = reqwest::Body::wrap_stream(futures::stream::iter(chunks));
    let answer = client().post(edge.url("/upload")).body(body).send().await.expect("answer");
    assert_eq!(answer.status(), 413);
    assert_eq!(answer.headers()["outcome"], "unknown");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_route_are_refused() {
    let edge = start_edge(Vec::new()).await;
    let url = format!("http://{}/nothing", edge.address);
    assert_refused(client().get(url).send().await.expect("answer"), 404, "no-route").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gate_accepts_attempts_of_its_own_fleet_only() {
    let (backend, record) = start_raw(Vec::new(), AfterAnswer::Close).await;
    let gate = start_gate(backend).await;
    let foreign_edge = start_edge_with(vec![gate.node], keys(2), None).await;
    assert_refused(client().get(foreign_edge.url("/x")).send().await.expect("answer"), 503, "no-target").await;
    let unaccepted = UnacceptedLabels { reason: "wrong-tag" };
    assert_eq!(foreign_edge.counters.unaccepted_attempts.get_or_create(&unaccepted).get(), 1);
    let direct = client().get(format!("http://{}/x", gate.node.address)).send().await.expect("answer");
    assert_eq!(direct.status(), 401);
    assert_eq!(gate.counters.rejected_call_headers.get(), 2);
    assert!(record.requests.lock().expect("requests").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_means_refused_before_running_gives_the_outcome_not_run() {
    let gate = start_gate(start_rocket().await).await;
    let edge = start_edge(vec![gate.node]).await;
    assert_refused(client().get(edge.url("/refuse")).send().await.expect("answer"), 503, "overloaded").await;
    let refused = AnswerEnd::RefusedBeforeRunning { status: 529 };
    let is_refused =
        |input: &NodeInput| matches!(input, NodeInput::Gate(GateInput::AnswerEnded { end, .. }) if *end == refused);
    gate.log.wait_for("refused before running", is_refused).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_has_the_same_digest_and_a_different_request_a_different_one() {
    let edge = start_edge(Vec::new()).await;
    for body in ["one", "one", "two"] {
        let request = client().post(edge.url("/x")).header("idempotency-key", "k").body(body);
        request.send().await.expect("answer");
    }
    let digests: Vec<_> = edge
        .log
        .inputs()
        .into_iter()
        .filter_map(|input| match input {
            NodeInput::Edge(EdgeInput::Arrived(arrival)) => arrival.digest,
            _ => None,
        })
        .collect();
    assert_eq!(digests.len(), 3);
    assert_eq!(digests[0], digests[1]);
    assert_ne!(digests[0], digests[2]);
}

async fn assert_refused(answer: reqwest::Response, status: u16, reason: &str) {
    assert_eq!(answer.status(), status);
    assert_eq!(answer.headers()["outcome"], "not-run");
    assert_eq!(answer.headers()["content-type"], "application/problem+json");
    let problem: serde_json::Value = answer.json().await.expect("problem document");
    assert_eq!((&problem["status"], &problem["reason"]), (&status.into(), &reason.into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_edge_drops_forged_fields_and_rejects_answers_of_a_foreign_server() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let (foreign_server, record) = start_raw(answer.as_bytes().to_vec(), AfterAnswer::Close).await;
    let target = NodeId { address: NodeAddress(foreign_server), incarnation: Incarnation(1) };
    let edge = start_edge(vec![target]).await;
    let request =
        client().get(edge.url("/x")).header("quillhatch-context", "forged").header("quillhatch-call", "forged");
    let answer = request.send().await.expect("answer");
    assert_eq!(answer.status(), 502);
    assert_eq!(answer.headers()["outcome"], "unknown");
    let sent = record.requests.lock().expect("requests").concat();
    assert!(sent.contains("quillhatch-call: 1.1.") && !sent.contains("forged"), "{sent}");
}
