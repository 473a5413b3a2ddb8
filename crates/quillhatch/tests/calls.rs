//! Calls through real nodes: the path through edge and gate, idempotency keys, replayed answers, and callers that disconnect.

mod support;

use quillhatch_standins::backend::RunAnswer;
use quillhatch_standins::content::GeneratedFile;
use reqwest::Response;
use sha2::{Digest, Sha256};
use support::client;
use support::fleet::{eventually, Fleet};
use tokio::task::JoinHandle;

/// Longer than a caller needs to disconnect or to send the next request, even on a busy machine.
const SLOW_REQUEST_MILLISECONDS: u64 = 1_500;

const DOWNLOAD_BYTES: u64 = 20_000_000;

async fn assert_problem(answer: Response, status: u16, outcome: &str, reason: &str) {
    assert_eq!(answer.status(), status);
    assert_eq!(answer.headers()["outcome"], outcome);
    let problem: serde_json::Value = serde_json::from_slice(&answer.bytes().await.expect("body")).expect("a problem");
    assert_eq!((problem["outcome"].as_str(), problem["reason"].as_str()), (Some(outcome), Some(reason)));
}

/// Sends the first request with the key and waits until the back end runs it.
async fn start_first_request(fleet: &Fleet) -> JoinHandle<reqwest::Result<Response>> {
    let mut first = tokio::spawn(fleet.post("a-key", "first", "one pledge").send());
    let runs = async || (fleet.gates[0].runs("first").0 == 1).then_some(());
    tokio::select! {
        () = eventually("the first request runs", runs) => first,
        answer = &mut first => {
            let answer = answer.expect("task").expect("answer");
            panic!("the first request did not run: {answer:?}");
        }
    }
}

async fn expect_run_answer(answer: Response) -> RunAnswer {
    assert_eq!(answer.status(), 200);
    serde_json::from_slice(&answer.bytes().await.expect("body")).expect("a back end's answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_download_arrives_complete() {
    let fleet = Fleet::start(1).await;
    let answer = fleet.get(&format!("/files/7/{DOWNLOAD_BYTES}")).await;
    let received = answer.bytes().await.expect("the complete body");
    let file = GeneratedFile { seed: 7, length: DOWNLOAD_BYTES };
    let mut sent = Sha256::new();
    let mut blocks = (0..).map(|index| file.block(index)).take_while(|block| !block.is_empty());
    blocks.by_ref().for_each(|block| sent.update(block));
    assert_eq!((received.len() as u64, Sha256::digest(&received)), (DOWNLOAD_BYTES, sent.finalize()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_key_runs_once_and_its_answer_is_replayed() {
    let fleet = Fleet::start(1).await;
    let gate = &fleet.gates[0];
    gate.set_delay(SLOW_REQUEST_MILLISECONDS);
    let first = start_first_request(&fleet).await;
    let concurrent = fleet.post("a-key", "concurrent", "one pledge").send().await.expect("answer");
    assert_problem(concurrent, 409, "unknown", "key-in-progress").await;
    let first = expect_run_answer(first.await.expect("task").expect("answer")).await;
    gate.set_delay(0);
    let retry = expect_run_answer(fleet.post("a-key", "retry", "one pledge").send().await.expect("answer")).await;
    assert_eq!((first.identity.as_str(), &first), ("first", &retry));
    let other = fleet.post("a-key", "other", "another pledge").send().await.expect("answer");
    assert_problem(other, 422, "unknown", "key-conflict").await;
    let runs: Vec<_> = ["first", "concurrent", "retry", "other"].map(|identity| gate.runs(identity)).into();
    assert_eq!(runs, [(1, 1), (0, 0), (0, 0), (0, 0)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_repeatable_request_continues_after_its_caller_disconnects() {
    let fleet = Fleet::start(1).await;
    let gate = &fleet.gates[0];
    gate.set_delay(SLOW_REQUEST_MILLISECONDS);
    let caller = start_first_request(&fleet).await;
    caller.abort();
    eventually("the call at the edge ends", || async {
        fleet.edge.driver().active_requests().is_empty().then_some(())
    })
    .await;
    eventually("the attempt at the gate ends", || async {
        gate.node.driver().active_requests().is_empty().then_some(())
    })
    .await;
    assert_eq!(gate.runs("first"), (1, 1));
    let retry = expect_run_answer(fleet.post("a-key", "retry", "one pledge").send().await.expect("answer")).await;
    assert_eq!((retry.identity.as_str(), gate.runs("retry")), ("first", (0, 0)));
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_succeed_after_a_gate_fails() {
    let mut fleet = Fleet::start(3).await;
    let failed_gate = fleet.gates.remove(0);
    failed_gate.node.kill().await;
    for call in 0..20 {
        let answer = expect_run_answer(fleet.get(&format!("/lookups/{call}")).await).await;
        assert_ne!(answer.backend, "backend-0");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_of_a_back_end_without_context_are_counted() {
    let fleet = Fleet::start(1).await;
    let node = &fleet.gates[0].node;
    let count = || {
        let statistics = node.driver().statistics();
        statistics.iter().find(|statistic| statistic.name == "calls_without_context").map(|statistic| statistic.value)
    };
    for (address, total) in [(Some(node.addresses.callers), 0.0), (node.addresses.outgoing, 1.0)] {
        let url = format!("http://{}/giving/lookups/child", address.expect("the listener"));
        expect_run_answer(client().get(url).send().await.expect("answer")).await;
        assert_eq!(count(), Some(total));
    }
}
