//! What is known of requests that crash targets.

use std::time::Duration;

use quillhatch_mesh::quarantine::{
    CrashId, Quarantine, RequestParts, RequestSignature, RunTracker, SignatureKey, SuspectRecord, TargetCrash, Verdict,
};
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
        caller: "alpha",
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
#[test_case(RequestParts { caller: "beta", ..parts() }, true; "service at whose machine it began")]
fn requests_that_differ_have_other_signatures(other: RequestParts<'static>, is_widely_same: bool) {
    let (signature, other) = (RequestSignature::of(&parts()), RequestSignature::of(&other));
    assert_eq!(signature, RequestSignature::of(&parts()));
    assert_ne!(signature.narrow, other.narrow);
    assert_eq!(signature.wide == other.wide, is_widely_same);
}

#[test]
fn parts_do_not_run_into_each_other() {
    let one = RequestSignature::of(&RequestParts { host: "ab", path: "c", ..parts() });
    let other = RequestSignature::of(&RequestParts { host: "a", path: "bc", ..parts() });
    assert_ne!(one.wide, other.wide);
}

#[test]
fn calls_that_broke_off_before_a_restart_under_the_same_identity_were_running_when_it_ended() {
    let mut runs = RunTracker::default();
    let signature = RequestSignature::of(&parts());
    let first = runs.begin(signature, at(0));
    runs.connection_lost(first, Some("i-1".into()), at(10));
    assert_eq!(runs.target_identified("i-1"), None, "the target tells its identity, which it may have had before");
    // A call of the later life ends well before the registration tells of it.
    let second = runs.begin(signature, at(100));
    runs.completed(second);
    let end = runs.target_restarted(&"i-1".into(), at(2_000)).expect("it had ended");
    assert_eq!((&*end.target, end.signatures.len()), ("i-1", 1));
    assert_eq!(runs.target_restarted(&"i-1".into(), at(2_100)), None, "counted once");
}

#[test]
fn calls_that_broke_off_long_before_a_restart_are_not_laid_on_it() {
    let mut runs = RunTracker::default();
    let run = runs.begin(RequestSignature::of(&parts()), at(0));
    runs.connection_lost(run, Some("i-1".into()), at(10));
    runs.target_identified("i-1");
    assert_eq!(runs.target_restarted(&"i-1".into(), at(60_000)), None);
}

#[test]
fn all_calls_that_broke_off_with_the_target_were_running_when_it_ended() {
    let mut runs = RunTracker::default();
    let signature = RequestSignature::of(&parts());
    let (first, second) = (runs.begin(signature, at(0)), runs.begin(signature, at(1)));
    runs.connection_lost(first, Some("i-1".into()), at(10));
    assert!(runs.has_interrupted() && runs.has_survivors());
    runs.connection_lost(second, Some("i-1".into()), at(11));
    assert!(!runs.has_survivors());
    let end = runs.target_crashed().expect("a target has ended");
    assert_eq!((&*end.target, end.signatures.len()), ("i-1", 2));
    assert!(!runs.has_interrupted());
}

#[test]
fn a_lost_answer_of_a_target_that_lives_is_no_end() {
    let mut runs = RunTracker::default();
    let signature = RequestSignature::of(&parts());
    let lost = runs.begin(signature, at(0));
    runs.connection_lost(lost, Some("i-1".into()), at(10));
    let later = runs.begin(signature, at(11));
    assert_eq!(runs.completed(later), Some(signature));
    assert!(!runs.has_interrupted());
    let lost = runs.begin(signature, at(20));
    runs.connection_lost(lost, Some("i-1".into()), at(30));
    assert_eq!(runs.target_identified("i-1"), None);
    assert!(!runs.has_interrupted());
}

#[test]
fn a_call_that_was_answered_before_the_end_was_not_running() {
    let mut runs = RunTracker::default();
    let signature = RequestSignature::of(&parts());
    let (lost, answered) = (runs.begin(signature, at(0)), runs.begin(signature, at(1)));
    runs.connection_lost(lost, Some("i-1".into()), at(10));
    // Its answer was on its way when the target ended.
    runs.completed(answered);
    let end = runs.target_identified("i-2").expect("another target is there");
    assert_eq!((&*end.target, end.signatures.len()), ("i-1", 1));
}

fn of_path(path: &str) -> RequestSignature {
    RequestSignature::of(&RequestParts { path, ..parts() })
}

fn end(target: usize, signatures: &[RequestSignature]) -> TargetCrash {
    TargetCrash { target: format!("i-{target}").into(), signatures: signatures.to_vec() }
}

fn seconds(seconds: u64) -> Timestamp {
    at(seconds * 1000)
}

fn sorted(mut keys: [SignatureKey; 2]) -> [SignatureKey; 2] {
    keys.sort();
    keys
}

/// A quarantine in which `ends` targets have ended under one request, one a second from the tenth second on.
fn after_ends(ends: usize, draw: f64) -> (Quarantine, RequestSignature) {
    let (mut quarantine, signature) = (Quarantine::new(draw), of_path("/crash"));
    for number in 0..ends {
        quarantine.record_crash(&end(number, &[signature]), seconds(10 + number as u64));
    }
    (quarantine, signature)
}

#[test_case(2, 0.0, None; "two ends")]
#[test_case(3, 0.0, Some(120); "three ends")]
#[test_case(3, 1.0, Some(180); "three ends, the longest draw")]
#[test_case(4, 0.0, Some(240); "four ends")]
#[test_case(30, 0.0, Some(3840); "many ends")]
fn a_request_is_refused_from_the_third_end_on(ends: usize, draw: f64, refused_for: Option<u64>) {
    let (quarantine, signature) = after_ends(ends, draw);
    let last = seconds(9 + ends as u64);
    let expected = refused_for.map_or(Verdict::Runs, |time| Verdict::Refused(Duration::from_secs(time)));
    assert_eq!(quarantine.verdict(&signature, last), expected);
    let over = last + Duration::from_secs(refused_for.unwrap_or_default());
    assert_eq!(quarantine.verdict(&signature, over), Verdict::Runs);
    assert_eq!(quarantine.verdict(&of_path("/other"), last), Verdict::Runs);
}

#[test]
fn one_more_end_after_the_time_is_over_is_enough() {
    let (mut quarantine, signature) = after_ends(3, 0.0);
    quarantine.record_crash(&end(9, &[signature]), seconds(200));
    assert_eq!(quarantine.verdict(&signature, seconds(200)), Verdict::Refused(Duration::from_secs(240)));
}

#[test]
fn the_end_of_one_target_counts_once_however_often_it_is_told() {
    let (mut quarantine, signature) = (Quarantine::new(0.0), of_path("/crash"));
    let records = quarantine.record_crash(&end(1, &[signature, signature]), seconds(1));
    assert_eq!(records.len(), 2, "both grades, each once");
    let mut other = Quarantine::new(0.0);
    for _ in 0..5 {
        assert_eq!(other.merge(&records, seconds(2)), []);
    }
    assert!(!other.has_gossip());
    assert_eq!(other.verdict(&signature, seconds(2)), Verdict::Runs);
}

#[test]
fn ends_that_were_seen_apart_add_up() {
    let signature = of_path("/crash");
    let mut gates = [Quarantine::new(0.0), Quarantine::new(0.0)];
    for (number, gate) in gates.iter_mut().enumerate() {
        gate.record_crash(&end(2 * number, &[signature]), seconds(10));
        gate.record_crash(&end(2 * number + 1, &[signature]), seconds(11));
        assert_eq!(gate.verdict(&signature, seconds(12)), Verdict::Runs);
    }
    let told = gates[0].gossip_records(seconds(12));
    gates[1].merge(&told, seconds(12));
    assert!(matches!(gates[1].verdict(&signature, seconds(12)), Verdict::Refused(_)));
    // One that has just started is told all.
    let mut new = Quarantine::new(0.0);
    new.merge(&gates[1].all_records(seconds(13)), seconds(1));
    assert!(matches!(new.verdict(&signature, seconds(1)), Verdict::Refused(_)));
}

#[test]
fn what_is_told_again_and_again_does_not_make_the_time_longer() {
    let (mut one, signature) = after_ends(3, 0.0);
    let mut other = Quarantine::new(0.0);
    // Each message is under way for 200 ms.
    for round in 0..50 {
        let now = seconds(20 + round);
        let later = now + Duration::from_millis(200);
        other.merge(&one.gossip_records(now), later);
        one.merge(&other.gossip_records(later), later + Duration::from_millis(200));
    }
    let Verdict::Refused(left) = one.verdict(&signature, seconds(70)) else { panic!("it is refused") };
    assert_eq!(left, Duration::from_secs(12 + 120 - 70));
}

#[test]
fn a_run_that_ends_well_clears_its_request_everywhere() {
    let (mut one, signature) = after_ends(2, 0.0);
    let mut other = Quarantine::new(0.0);
    other.merge(&one.gossip_records(seconds(12)), seconds(12));
    let stale = one.gossip_records(seconds(12));
    let cleared = one.record_completion(&signature, seconds(13));
    assert_eq!(cleared, signature.keys());
    other.record_cleared(&cleared, seconds(13));
    assert!(one.is_empty() && other.is_empty());
    // News of before that comes late is answered, not believed.
    let mut harmless = other.merge(&stale, seconds(12));
    harmless.sort();
    assert_eq!(harmless, sorted(signature.keys()));
    assert!(other.is_empty());
}

#[test]
fn a_request_that_ran_well_a_moment_ago_is_not_suspect() {
    let (mut quarantine, signature) = (Quarantine::new(0.0), of_path("/popular"));
    for number in 0..5 {
        quarantine.record_completion(&signature, seconds(10));
        assert!(quarantine.record_crash(&end(number, &[signature]), at(11_900)).is_empty());
    }
    assert!(!quarantine.record_crash(&end(9, &[signature]), at(12_100)).is_empty(), "two seconds later it is");
}

#[test]
fn others_that_differ_in_the_query_or_the_caller_clear_only_the_wide_grade() {
    let harmful = RequestSignature::of(&RequestParts { query: "page=13", ..parts() });
    let mut quarantine = Quarantine::new(0.0);
    for number in 0..3 {
        quarantine.record_crash(&end(number, &[harmful]), seconds(10));
        quarantine.record_completion(&RequestSignature::of(&parts()), seconds(10));
    }
    assert!(matches!(quarantine.verdict(&harmful, seconds(10)), Verdict::Refused(_)));
    assert_eq!(quarantine.verdict(&RequestSignature::of(&parts()), seconds(10)), Verdict::Runs);
}

#[test]
fn what_is_remembered_is_bounded_and_lapses() {
    let (mut quarantine, harmful) = after_ends(3, 0.0);
    for target in 100..140 {
        let others: Vec<RequestSignature> = (0..500).map(|number| of_path(&format!("/{target}/{number}"))).collect();
        let told = quarantine.record_crash(&end(target, &others), seconds(20));
        assert!(told.len() <= 512);
    }
    assert!(quarantine.len() <= 2048, "{}", quarantine.len());
    assert!(quarantine.all_records(seconds(20)).len() <= 512);
    assert!(matches!(quarantine.verdict(&harmful, seconds(20)), Verdict::Refused(_)), "it is among those that stay");
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
