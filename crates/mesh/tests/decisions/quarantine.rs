//! Evidence against requests that crash targets, and the quarantine that follows.

use std::time::Duration;

use quillhatch_mesh::quarantine::{
    CrashId, Quarantine, RequestParts, RequestSignature, RunTracker, RunVerdict, SignatureKey, SuspectRecord,
    TargetCrash,
};
use quillhatch_mesh::targets::TargetProcess;
use quillhatch_types::Timestamp;
use test_case::test_case;

fn parts() -> RequestParts<'static> {
    RequestParts {
        method: "GET",
        host: "shop.example",
        path: "/read/x",
        query: "page=1",
        body: b"",
        tenant: "",
        caller_service: "alpha",
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[test_case(RequestParts { method: "POST", ..parts() }, false; "method")]
#[test_case(RequestParts { host: "other.example", ..parts() }, false; "host")]
#[test_case(RequestParts { path: "/read/y", ..parts() }, false; "path")]
#[test_case(RequestParts { body: b"x", ..parts() }, false; "body")]
#[test_case(RequestParts { tenant: "office", ..parts() }, true; "tenant")]
#[test_case(RequestParts { query: "page=2", ..parts() }, true; "query")]
#[test_case(RequestParts { caller_service: "beta", ..parts() }, true; "service at whose machine it entered")]
fn different_requests_have_different_signatures(second: RequestParts<'static>, has_same_wide_key: bool) {
    let (signature, second) = (RequestSignature::of(&parts()), RequestSignature::of(&second));
    assert_eq!(signature, RequestSignature::of(&parts()));
    assert_ne!(signature.narrow, second.narrow);
    assert_eq!(signature.wide == second.wide, has_same_wide_key);
}

#[test]
fn parts_are_hashed_separately() {
    let first = RequestSignature::of(&RequestParts { host: "ab", path: "c", ..parts() });
    let second = RequestSignature::of(&RequestParts { host: "a", path: "bc", ..parts() });
    assert_ne!(first.wide, second.wide);
}

#[test]
fn calls_interrupted_before_a_restart_under_the_same_identity_count_as_running_at_the_crash() {
    let mut runs = RunTracker::default();
    let signature = RequestSignature::of(&parts());
    let first = runs.begin(signature, at(0));
    runs.connection_lost(first, Some(process("i-1", 1)), at(10));
    assert_eq!(runs.target_identified("i-1", at(30)), None, "the target may have restarted under the same identity");
    // A later call completes at the restarted target before its registration shows the restart.
    let second = runs.begin(signature, at(100));
    runs.completed(second);
    let crash = runs.target_restarted(&"i-1".into(), at(2_000)).expect("it had crashed");
    assert_eq!((&*crash.target.id, crash.signatures.len()), ("i-1", 1));
    assert_eq!(runs.target_restarted(&"i-1".into(), at(2_100)), None, "counted once");
}

#[test]
fn crashes_of_a_target_whose_restart_is_not_listed_yet_are_told_apart() {
    let mut runs = RunTracker::default();
    let signature = RequestSignature::of(&parts());
    let mut crash = |begun: u64, listed: u64| {
        let run = runs.begin(signature, at(begun));
        runs.connection_lost(run, Some(process("i-1", listed)), at(begun + 10));
        runs.target_crashed(at(begun + 20)).expect("a target has crashed").target
    };
    let (first, second, third) = (crash(100, 7), crash(200, 7), crash(300, 7));
    assert!(first != second && second != third && first != third, "{first:?} {second:?} {third:?}");
    let listed = crash(400, 5_000);
    assert_eq!(listed, process("i-1", 5_000), "the list shows the restart");
}

#[test]
fn a_crash_whose_calls_are_lost_one_after_the_other_is_one_crash() {
    let mut runs = RunTracker::default();
    let signature = RequestSignature::of(&parts());
    let (first, second) = (runs.begin(signature, at(0)), runs.begin(signature, at(1)));
    runs.connection_lost(first, Some(process("i-1", 7)), at(10));
    let crash = runs.target_crashed(at(20)).expect("a target has crashed");
    runs.connection_lost(second, Some(process("i-1", 7)), at(25));
    assert_eq!(runs.target_crashed(at(30)).expect("the rest of its calls").target, crash.target);
}

#[test]
fn calls_interrupted_long_before_a_restart_are_not_counted() {
    let mut runs = RunTracker::default();
    let run = runs.begin(RequestSignature::of(&parts()), at(0));
    runs.connection_lost(run, Some(process("i-1", 1)), at(10));
    runs.target_identified("i-1", at(30));
    assert_eq!(runs.target_restarted(&"i-1".into(), at(60_000)), None);
}

#[test]
fn all_calls_interrupted_with_the_target_count_as_running_at_the_crash() {
    let mut runs = RunTracker::default();
    let signature = RequestSignature::of(&parts());
    let (first, second) = (runs.begin(signature, at(0)), runs.begin(signature, at(1)));
    runs.connection_lost(first, Some(process("i-1", 1)), at(10));
    assert!(runs.has_interrupted() && runs.has_survivors());
    runs.connection_lost(second, Some(process("i-1", 1)), at(11));
    assert!(!runs.has_survivors());
    let crash = runs.target_crashed(at(30)).expect("a target has crashed");
    assert_eq!((&*crash.target.id, crash.signatures.len()), ("i-1", 2));
    assert!(!runs.has_interrupted());
}

#[test]
fn a_lost_response_of_a_running_target_is_no_crash() {
    let mut runs = RunTracker::default();
    let signature = RequestSignature::of(&parts());
    let lost = runs.begin(signature, at(0));
    runs.connection_lost(lost, Some(process("i-1", 1)), at(10));
    let later = runs.begin(signature, at(11));
    assert_eq!(runs.completed(later), Some(signature));
    assert!(!runs.has_interrupted());
    let lost = runs.begin(signature, at(20));
    runs.connection_lost(lost, Some(process("i-1", 1)), at(30));
    assert_eq!(runs.target_identified("i-1", at(30)), None);
    assert!(!runs.has_interrupted());
}

#[test]
fn a_call_answered_before_the_crash_does_not_count_as_running() {
    let mut runs = RunTracker::default();
    let signature = RequestSignature::of(&parts());
    let (lost, answered) = (runs.begin(signature, at(0)), runs.begin(signature, at(1)));
    runs.connection_lost(lost, Some(process("i-1", 1)), at(10));
    // Its response was on its way when the target crashed.
    runs.completed(answered);
    let crash = runs.target_identified("i-2", at(30)).expect("another target is identified");
    assert_eq!((&*crash.target.id, crash.signatures.len()), ("i-1", 1));
}

fn signature_of_path(path: &str) -> RequestSignature {
    RequestSignature::of(&RequestParts { path, ..parts() })
}

fn process(id: &str, started: u64) -> TargetProcess {
    TargetProcess { id: id.into(), started }
}

fn crash(target: usize, signatures: &[RequestSignature]) -> TargetCrash {
    TargetCrash { target: process(&format!("i-{target}"), 1), signatures: signatures.to_vec() }
}

fn seconds(seconds: u64) -> Timestamp {
    at(seconds * 1000)
}

fn sorted(mut keys: [SignatureKey; 2]) -> [SignatureKey; 2] {
    keys.sort();
    keys
}

/// A quarantine in which `crashes` targets have crashed under one request, one a second from the tenth second on.
fn after_crashes(crashes: usize, jitter: f64) -> (Quarantine, RequestSignature) {
    let (mut quarantine, signature) = (Quarantine::new(jitter), signature_of_path("/crash"));
    for number in 0..crashes {
        quarantine.record_crash(&crash(number, &[signature]), seconds(10 + number as u64));
    }
    (quarantine, signature)
}

#[test_case(2, 0.0, None; "two crashes")]
#[test_case(3, 0.0, Some(120); "three crashes")]
#[test_case(3, 1.0, Some(180); "three crashes, the maximum jitter")]
#[test_case(4, 0.0, Some(240); "four crashes")]
#[test_case(30, 0.0, Some(3840); "many crashes")]
fn a_request_is_refused_from_the_third_crash_on(crashes: usize, jitter: f64, refused_for: Option<u64>) {
    let (quarantine, signature) = after_crashes(crashes, jitter);
    let last = seconds(9 + crashes as u64);
    let expected = refused_for.map_or(RunVerdict::Runs, |time| RunVerdict::Refused(Duration::from_secs(time)));
    assert_eq!(quarantine.verdict(&signature, last), expected);
    let over = last + Duration::from_secs(refused_for.unwrap_or_default());
    assert_eq!(quarantine.verdict(&signature, over), RunVerdict::Runs);
    assert_eq!(quarantine.verdict(&signature_of_path("/other"), last), RunVerdict::Runs);
}

#[test]
fn one_more_crash_after_a_quarantine_is_enough() {
    let (mut quarantine, signature) = after_crashes(3, 0.0);
    quarantine.record_crash(&crash(9, &[signature]), seconds(200));
    assert_eq!(quarantine.verdict(&signature, seconds(200)), RunVerdict::Refused(Duration::from_secs(240)));
}

#[test]
fn one_crash_counts_once_however_often_it_is_reported() {
    let (mut quarantine, signature) = (Quarantine::new(0.0), signature_of_path("/crash"));
    let records = quarantine.record_crash(&crash(1, &[signature, signature]), seconds(1));
    assert_eq!(records.len(), 2, "both keys, each once");
    let mut second = Quarantine::new(0.0);
    for _ in 0..5 {
        assert_eq!(second.merge(&records, seconds(2)), []);
    }
    assert!(!second.has_gossip());
    assert_eq!(second.verdict(&signature, seconds(2)), RunVerdict::Runs);
}

#[test]
fn crashes_seen_by_different_gates_add_up() {
    let signature = signature_of_path("/crash");
    let mut gates = [Quarantine::new(0.0), Quarantine::new(0.0)];
    for (number, gate) in gates.iter_mut().enumerate() {
        gate.record_crash(&crash(2 * number, &[signature]), seconds(10));
        gate.record_crash(&crash(2 * number + 1, &[signature]), seconds(11));
        assert_eq!(gate.verdict(&signature, seconds(12)), RunVerdict::Runs);
    }
    let records = gates[0].gossip_records(seconds(12));
    gates[1].merge(&records, seconds(12));
    assert!(matches!(gates[1].verdict(&signature, seconds(12)), RunVerdict::Refused(_)));
    // A gate that has just started receives all evidence.
    let mut new = Quarantine::new(0.0);
    new.merge(&gates[1].all_records(seconds(13)), seconds(1));
    assert!(matches!(new.verdict(&signature, seconds(1)), RunVerdict::Refused(_)));
}

#[test]
fn repeated_evidence_does_not_extend_a_quarantine() {
    let (mut first, signature) = after_crashes(3, 0.0);
    let mut second = Quarantine::new(0.0);
    // Each message takes 200 ms.
    for round in 0..50 {
        let now = seconds(20 + round);
        let later = now + Duration::from_millis(200);
        second.merge(&first.gossip_records(now), later);
        first.merge(&second.gossip_records(later), later + Duration::from_millis(200));
    }
    let RunVerdict::Refused(left) = first.verdict(&signature, seconds(70)) else { panic!("it is refused") };
    assert_eq!(left, Duration::from_secs(12 + 120 - 70));
}

#[test]
fn a_completed_run_clears_its_request_everywhere() {
    let (mut first, signature) = after_crashes(2, 0.0);
    let mut second = Quarantine::new(0.0);
    second.merge(&first.gossip_records(seconds(12)), seconds(12));
    let stale = first.gossip_records(seconds(12));
    let cleared = first.record_completion(&signature, seconds(13));
    assert_eq!(cleared, signature.keys());
    second.record_cleared(&cleared, seconds(13));
    assert!(first.is_empty() && second.is_empty());
    // Old evidence that arrives late is not counted; the cleared keys are returned to its sender.
    let mut completed_there = second.merge(&stale, seconds(12));
    completed_there.sort();
    assert_eq!(completed_there, sorted(signature.keys()));
    assert!(second.is_empty());
}

#[test]
fn a_request_that_completed_recently_is_not_suspected() {
    let (mut quarantine, signature) = (Quarantine::new(0.0), signature_of_path("/popular"));
    for number in 0..5 {
        quarantine.record_completion(&signature, seconds(10));
        assert!(quarantine.record_crash(&crash(number, &[signature]), at(11_900)).is_empty());
    }
    assert!(
        !quarantine.record_crash(&crash(9, &[signature]), at(12_100)).is_empty(),
        "it is suspected after two seconds"
    );
}

#[test]
fn requests_with_another_query_or_caller_clear_only_the_wide_key() {
    let crashing = RequestSignature::of(&RequestParts { query: "page=13", ..parts() });
    let mut quarantine = Quarantine::new(0.0);
    for number in 0..3 {
        quarantine.record_crash(&crash(number, &[crashing]), seconds(10));
        quarantine.record_completion(&RequestSignature::of(&parts()), seconds(10));
    }
    assert!(matches!(quarantine.verdict(&crashing, seconds(10)), RunVerdict::Refused(_)));
    assert_eq!(quarantine.verdict(&RequestSignature::of(&parts()), seconds(10)), RunVerdict::Runs);
}

#[test]
fn evidence_is_bounded_and_expires() {
    let (mut quarantine, crashing) = after_crashes(3, 0.0);
    for target in 100..140 {
        let others: Vec<RequestSignature> =
            (0..500).map(|number| signature_of_path(&format!("/{target}/{number}"))).collect();
        let records = quarantine.record_crash(&crash(target, &others), seconds(20));
        assert!(records.len() <= 512);
    }
    assert!(quarantine.len() <= 2048, "{}", quarantine.len());
    assert!(quarantine.all_records(seconds(20)).len() <= 512);
    assert!(
        matches!(quarantine.verdict(&crashing, seconds(20)), RunVerdict::Refused(_)),
        "suspects with most crashes are retained"
    );
    let forged = (0..5000).map(|key| SuspectRecord {
        key: SignatureKey(key),
        crashes: (0..100).map(CrashId).collect(),
        age: Duration::MAX,
    });
    quarantine.merge(&forged.collect::<Vec<_>>(), seconds(21));
    assert!(quarantine.len() <= 2048, "{}", quarantine.len());
    quarantine.remove_expired(seconds(21) + Duration::from_secs(2 * 3840));
    assert!(quarantine.is_empty());
}

#[test]
fn each_process_of_a_target_that_keeps_its_identity_counts_as_a_crash_of_its_own() {
    let (mut quarantine, signature) = (Quarantine::new(0.0), signature_of_path("/crash"));
    for started in [1, 1, 2] {
        let crash = TargetCrash { target: process("i-1", started), signatures: vec![signature] };
        quarantine.record_crash(&crash, seconds(10));
        assert_eq!(quarantine.verdict(&signature, seconds(10)), RunVerdict::Runs);
    }
    quarantine.record_crash(&TargetCrash { target: process("i-1", 3), signatures: vec![signature] }, seconds(10));
    assert!(matches!(quarantine.verdict(&signature, seconds(10)), RunVerdict::Refused(_)));
}
