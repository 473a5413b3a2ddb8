//! Refusals on arrival: closed admission levels, short deadlines, malformed calls, limits per caller.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{AdmissionLevel, Feedback, Outcome, ParentContext, Priority, RefusalReason, Revision, RootId};
use test_case::test_case;

use super::harness::{arrival, at, configuration, feedback, keyed, name, refused, Harness, ANSWERED};
use crate::edge::{AttemptResult, CallArrival, EdgeInput, EdgeMechanisms};

/// Makes every target of the old site report `level`.
fn close(harness: &mut Harness, now: u64, level: u16) {
    let closed = Feedback { level: AdmissionLevel(level), ..feedback() };
    let mut reported = std::collections::BTreeSet::new();
    let mut call = 1_000_000;
    while reported.len() < 3 {
        call += 1;
        harness.arrive(now, arrival(call, "pledge-everywhere"));
        let (target, context) = harness.sent_one();
        reported.insert(target);
        let attempt = context.attempt_id();
        harness.step(at(now), EdgeInput::AttemptAnswered { attempt, result: ANSWERED, feedback: Some(closed) });
    }
}

/// An edge with a protected class that any target serves.
fn harness(change: impl FnOnce(&mut EdgeMechanisms)) -> Harness {
    Harness::new(|settings, configuration| {
        settings.level.probe_share = 0.0;
        settings.mechanisms.zone_preference = false;
        settings.mechanisms.balancing = false;
        change(&mut settings.mechanisms);
        let classes = configuration.services.values_mut().map(|service| &mut service.classes);
        classes.for_each(|classes| {
            classes.push(super::harness::class("pledge-everywhere", Priority::Protected, true));
        });
    })
}

#[test]
fn a_closed_level_refuses_at_once_and_reopens_without_reports() {
    let mut harness = harness(|_| {});
    close(&mut harness, 1, 1024);
    harness.arrive(2, arrival(1, "lookup"));
    let refusal = harness.refusal();
    assert_eq!((refusal.outcome, refusal.reason), (Outcome::NotRun, RefusalReason::Overloaded));
    assert!(refusal.retry_after.is_some() && harness.sent().is_empty());
    harness.arrive(2, arrival(2, "pledge-everywhere"));
    assert_eq!(harness.sent().len(), 1, "the level admits protected calls");
    harness.arrive(2_010, arrival(3, "archive"));
    assert_eq!(harness.sent().len(), 1, "the level is open after two seconds without a report");
}

#[test]
fn a_closed_level_is_ignored_when_levels_are_disabled() {
    let mut harness = harness(|mechanisms| mechanisms.admission_levels = false);
    close(&mut harness, 1, 1024);
    harness.arrive(2, arrival(1, "lookup"));
    assert_eq!(harness.sent().len(), 1);
}

#[test]
fn probes_go_through_a_closed_level() {
    let mut harness = Harness::new(|settings, _| settings.level.probe_share = 0.05);
    let closed = Feedback { level: AdmissionLevel(0), ..feedback() };
    let mut sent = 0;
    for call in 0..2_000 {
        harness.arrive(1, arrival(call, "lookup"));
        for (_, context) in harness.sent() {
            sent += 1;
            let attempt = context.attempt_id();
            let result = refused(RefusalReason::BadRequest);
            harness.step(at(1), EdgeInput::AttemptAnswered { attempt, result, feedback: Some(closed) });
        }
    }
    assert!((50..250).contains(&sent), "{sent} probes of 2000 calls");
}

#[test]
fn all_hops_rank_the_same_root_alike_and_the_salt_changes_the_rank() {
    let rank = |salt: u64, seed_call: u128, consistent: bool| {
        let mut harness = harness(|mechanisms| mechanisms.consistent_ranks = consistent);
        harness.edge.set_rank_salt(salt);
        for other in 0..seed_call {
            harness.arrive(1, arrival(100 + other, "lookup"));
        }
        harness.arrive(1, CallArrival { root: RootId(42), ..arrival(1, "lookup") });
        harness.sent_one().1.rank
    };
    assert_eq!(rank(1, 0, true), rank(1, 5, true));
    assert_ne!(rank(1, 0, true), rank(2, 0, true));
    assert_ne!(rank(1, 0, false), rank(1, 5, false));
}

#[test_case(Some(1), None, RefusalReason::DeadlineTooShort; "the caller's time")]
#[test_case(Some(0), None, RefusalReason::DeadlineTooShort; "no time at all")]
#[test_case(None, Some(1), RefusalReason::DeadlineTooShort; "the parent's time")]
fn too_little_time_is_refused_before_any_work(caller: Option<u64>, parent: Option<u64>, reason: RefusalReason) {
    let call = || {
        let mut call = arrival(1, "lookup");
        call.remaining = caller.map(Duration::from_millis);
        call.parent = parent.map(|remaining| parent_at(0, remaining));
        call
    };
    let mut checked = Harness::new(|_, _| {});
    checked.arrive(1, call());
    assert!(checked.sent().is_empty());
    assert_eq!((checked.refusal().outcome, checked.refusal().reason), (Outcome::NotRun, reason));
    if caller != Some(0) {
        let mut unchecked = Harness::new(|settings, _| settings.mechanisms.deadline_check = false);
        unchecked.arrive(1, call());
        assert_eq!(unchecked.sent().len(), 1);
    }
}

fn parent_at(depth: u8, remaining: u64) -> ParentContext {
    ParentContext {
        call: quillhatch_types::CallId(9),
        root: RootId(9),
        depth,
        priority: Priority::Bulk,
        retry: false,
        tokens: 2,
        remaining: Duration::from_millis(remaining),
    }
}

#[test]
fn a_retry_carries_the_remaining_time() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(0, arrival(1, "lookup"));
    let (_, first) = harness.sent_one();
    harness.answer(700, first.attempt_id(), refused(RefusalReason::Overloaded));
    harness.run_until(1_500);
    let (_, second) = harness.sent_one();
    assert!(second.remaining <= Duration::from_millis(1_300), "{:?} of 2 s", second.remaining);
}

#[test]
fn malformed_arrivals_are_refused_by_reason() {
    let mut harness = Harness::new(|_, _| {});
    let with = |change: fn(&mut CallArrival)| {
        let mut call = arrival(1, "lookup");
        change(&mut call);
        call
    };
    let deep = CallArrival { parent: Some(parent_at(16, 1_000)), ..arrival(1, "lookup") };
    let cases = [
        (deep, RefusalReason::TooDeep),
        (with(|call| call.service = name("nowhere")), RefusalReason::NoRoute),
        (with(|call| call.class = name("nothing")), RefusalReason::NoRoute),
        (CallArrival { digest: None, ..keyed(1, "pledge", "key") }, RefusalReason::BadRequest),
    ];
    for (call, reason) in cases {
        harness.arrive(1, call);
        assert_eq!((harness.refusal().outcome, harness.refusal().reason), (Outcome::NotRun, reason));
    }
    assert_eq!(harness.edge.calls_in_progress(), 0);
}

#[test]
fn a_stopping_node_refuses_root_calls_but_accepts_child_calls() {
    let mut harness = Harness::new(|_, _| {});
    harness.step(at(0), EdgeInput::Stop);
    harness.arrive(1, arrival(1, "lookup"));
    assert_eq!(harness.refusal().reason, RefusalReason::Stopping);
    harness.arrive(1, CallArrival { parent: Some(parent_at(0, 100)), outgoing: true, ..arrival(2, "lookup") });
    assert_eq!(harness.sent().len(), 1);
}

#[test]
fn a_call_of_a_back_end_without_context_gets_no_retry_budget() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, CallArrival { outgoing: true, ..arrival(1, "lookup") });
    let (_, context) = harness.sent_one();
    harness.answer(2, context.attempt_id(), AttemptResult::ConnectFailed);
    assert_eq!(harness.refusal().reason, RefusalReason::ConnectFailed);
    assert_eq!(harness.edge.statistics().without_context, 1);
}

#[test]
fn a_callers_own_retries_are_limited_and_rank_as_retries() {
    let admitted = |limited: bool| {
        let mut harness = Harness::new(|settings, _| settings.mechanisms.caller_limit = limited);
        let mut admitted = 0;
        for call in 0..40 {
            harness.arrive(call * 10, keyed(u128::from(call), "pledge", "same"));
            for (_, context) in harness.sent() {
                admitted += 1;
                assert_eq!(context.rank.0 / 1024 == 1, call > 0, "all but the first rank as retries");
                harness.answer(call * 10, context.attempt_id(), refused(RefusalReason::KeyInProgress));
            }
            if let Some(refusal) = harness.refusals().first().filter(|_| harness.sent().is_empty()) {
                assert!(refusal.reason != RefusalReason::CallerRate || refusal.retry_after.is_some());
            }
        }
        // The limits of another caller are not affected.
        harness.arrive(500, CallArrival { caller: name("other"), ..keyed(1_000, "pledge", "same") });
        assert_eq!(harness.sent().len(), 1);
        admitted
    };
    assert_eq!(admitted(true), 6, "the first call and a burst of five retries");
    assert_eq!(admitted(false), 40);
}

#[test]
fn a_retry_of_a_key_is_unknown_while_the_first_call_may_have_run() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, keyed(1, "pledge", "key"));
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), AttemptResult::Lost);
    assert_eq!(harness.refusal().outcome, Outcome::Unknown);
    harness.arrive(3, keyed(2, "pledge", "key"));
    let (_, retry) = harness.sent_one();
    harness.answer(4, retry.attempt_id(), refused(RefusalReason::BadRequest));
    assert_eq!(harness.refusal().outcome, Outcome::Unknown, "for the caller both are the same request");

    harness.arrive(5, keyed(3, "pledge", "fresh"));
    let (_, first) = harness.sent_one();
    harness.answer(6, first.attempt_id(), refused(RefusalReason::BadRequest));
    assert_eq!(harness.refusal().outcome, Outcome::NotRun);
    harness.arrive(7, keyed(4, "pledge", "fresh"));
    let (_, retry) = harness.sent_one();
    harness.answer(8, retry.attempt_id(), refused(RefusalReason::BadRequest));
    assert_eq!(harness.refusal().outcome, Outcome::NotRun, "both are known not to have run");
}

#[test]
fn calls_callers_and_keys_are_bounded() {
    let mut harness = Harness::new(|settings, _| {
        settings.maximum_calls = 50;
        settings.caller.maximum_callers = 100;
        settings.caller.maximum_keys = 100;
    });
    for call in 0..5_000 {
        let caller = name(&format!("caller-{call}"));
        harness.arrive(1, CallArrival { caller, ..keyed(call, "lookup", &format!("key-{call}")) });
    }
    assert_eq!(harness.edge.calls_in_progress(), 50);
    let (callers, keys) = harness.edge.tracked_callers_and_keys();
    assert!(callers <= 100 && keys <= 100, "{callers} callers, {keys} keys");
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut harness = Harness::new(|_, _| {});
    let mut newer = configuration();
    newer.revision = Revision(5);
    newer.services.clear();
    harness.step(at(1), EdgeInput::Configuration(Arc::new(newer)));
    harness.step(at(2), EdgeInput::Configuration(Arc::new(configuration())));
    harness.arrive(3, arrival(1, "lookup"));
    assert_eq!(harness.refusal().reason, RefusalReason::NoRoute);
    assert_eq!(harness.edge.revision(), Some(Revision(5)));
}

#[test]
fn mechanisms_are_disabled_by_name() {
    for name in EdgeMechanisms::NAMES {
        let mut mechanisms = EdgeMechanisms::default();
        mechanisms.disable(name).expect("a known name");
        assert_ne!(mechanisms, EdgeMechanisms::default());
    }
    assert!(EdgeMechanisms::default().disable("nonsense").is_err());
}
