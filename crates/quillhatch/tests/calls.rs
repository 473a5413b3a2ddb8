//! Calls over real nodes: the whole path, keys, replay, and callers that leave.

mod support;

use quillhatch_standins::backend::RunAnswer;
use quillhatch_standins::content::GeneratedFile;
use reqwest::Response;
use sha2::{Digest, Sha256};
use support::client;
use support::fleet::{eventually, Fleet};
use tokio::task::JoinHandle;

/// Longer than a caller takes to leave, or to send the next request, also on a busy machine.
const LONG_RUN_MILLISECONDS: u64 = 1_500;

const DOWNLOAD_BYTES: u64 = 20_000_000;

async fn assert_problem(answer: Response, status: u16, outcome: &str, reason: &str) {
    assert_eq!(answer.status(), status);
    assert_eq!(answer.headers()["outcome"], outcome);
    let problem: serde_json::Value = serde_json::from_slice(&answer.bytes().await.expect("body")).expect("a problem");
    assert_eq!((problem["outcome"].as_str(), problem["reason"].as_str()), (Some(outcome), Some(reason)));
}

/// Sends the first request under the key and waits until the back end runs it.
async fn start_first(fleet: &Fleet) -> JoinHandle<reqwest::Result<Response>> {
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

async fn run_answer(answer: Response) -> RunAnswer {
    assert_eq!(answer.status(), 200);
    serde_json::from_slice(&answer.bytes().await.expect("body")).expect("a back end's answer")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_download_arrives_whole() {
    let fleet = Fleet::start(1).await;
    let answer = fleet.get(&format!("/files/7/{DOWNLOAD_BYTES}")).await;
    let received = answer.bytes().await.expect("the whole body");
    let file = GeneratedFile { seed: 7, length: DOWNLOAD_BYTES };
    let mut sent = Sha256::new();
    let mut blocks = (0..).map(|index| file.block(index)).take_while(|block| !block.is_empty());
    blocks.by_ref().for_each(|block| sent.update(block));
    assert_eq!((received.len() as u64, Sha256::digest(&received)), (DOWNLOAD_BYTES, sent.finalize()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_and_its_answer_is_repeated() {
    let fleet = Fleet::start(1).await;
    let gate = &fleet.gates[0];
    gate.set_delay(LONG_RUN_MILLISECONDS);
    let first = start_first(&fleet).await;
    let meanwhile = fleet.post("a-key", "meanwhile", "one pledge").send().await.expect("answer");
    assert_problem(meanwhile, 409, "unknown", "key-in-progress").await;
    let first = run_answer(first.await.expect("task").expect("answer")).await;
    gate.set_delay(0);
    let repeat = run_answer(fleet.post("a-key", "repeat", "one pledge").send().await.expect("answer")).await;
    assert_eq!((first.identity.as_str(), &first), ("first", &repeat));
    let other = fleet.post("a-key", "other", "another pledge").send().await.expect("answer");
    assert_problem(other, 422, "unknown", "key-conflict").await;
    let runs: Vec<_> = ["first", "meanwhile", "repeat", "other"].map(|identity| gate.runs(identity)).into();
    assert_eq!(runs, [(1, 1), (0, 0), (0, 0), (0, 0)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_that_may_not_be_repeated_outlives_its_caller() {
    let fleet = Fleet::start(1).await;
    let gate = &fleet.gates[0];
    gate.set_delay(LONG_RUN_MILLISECONDS);
    let caller = start_first(&fleet).await;
    caller.abort();
    eventually("the edge has forgotten it", || async {
        fleet.edge.driver().active_requests().is_empty().then_some(())
    })
    .await;
    eventually("the run ends", || async { gate.node.driver().active_requests().is_empty().then_some(()) }).await;
    assert_eq!(gate.runs("first"), (1, 1));
    let repeat = run_answer(fleet.post("a-key", "repeat", "one pledge").send().await.expect("answer")).await;
    assert_eq!((repeat.identity.as_str(), gate.runs("repeat")), ("first", (0, 0)));
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_go_on_when_a_gate_dies() {
    let mut fleet = Fleet::start(3).await;
    let dead = fleet.gates.remove(0);
    dead.node.kill().await;
    for call in 0..20 {
        let answer = run_answer(fleet.get(&format!("/lookups/{call}")).await).await;
        assert_ne!(answer.backend, "backend-0");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_of_a_back_end_without_context_are_counted() {
    let fleet = Fleet::start(1).await;
    let node = &fleet.gates[0].node;
    let counted = || {
        let statistics = node.driver().statistics();
        statistics.iter().find(|one| one.name == "calls_without_context").map(|one| one.value)
    };
    for (address, total) in [(Some(node.addresses.callers), 0.0), (node.addresses.outgoing, 1.0)] {
        let url = format!("http://{}/giving/lookups/child", address.expect("the listener"));
        run_answer(client().get(url).send().await.expect("answer")).await;
        assert_eq!(counted(), Some(total));
    }
}
