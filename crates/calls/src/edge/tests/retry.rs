//! Which results are retried, and the final answer to the caller.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillhatch_types::{
    AttemptId, CallId, Outcome, ParentContext, Priority, Refusal, RefusalReason, RootId, Timestamp,
};
use test_case::test_case;

use super::harness::{arrival, at, feedback, keyed, refused, Harness, ANSWERED};
use crate::edge::{Answer, AttemptResult, BodyState, CallArrival, EdgeInput, EdgeOutput};

fn unknown(reason: RefusalReason) -> AttemptResult {
    AttemptResult::Refused(Refusal::unknown(reason))
}

#[test_case("lookup", AttemptResult::ConnectFailed, true; "nothing left the edge")]
#[test_case("lookup", AttemptResult::Lost, true; "lost, may run again")]
#[test_case("lookup", refused(RefusalReason::Overloaded), true; "overloaded elsewhere")]
#[test_case("lookup", unknown(RefusalReason::ConnectionLost), true; "lost behind the gate, may run again")]
#[test_case("lookup", refused(RefusalReason::BadRequest), false; "bad everywhere")]
#[test_case("lookup", refused(RefusalReason::DeadlineTooShort), false; "no time anywhere")]
#[test_case("pledge", AttemptResult::ConnectFailed, true; "pledge proven not run")]
#[test_case("pledge", refused(RefusalReason::ClaimNotRecorded), true; "pledge without a claim")]
#[test_case("pledge", AttemptResult::Lost, false; "pledge may have run")]
#[test_case("pledge", unknown(RefusalReason::ConnectionLost), false; "pledge may have reached the back end")]
#[test_case("pledge", AttemptResult::Refused(Refusal::failed(RefusalReason::AnswerBroken)), false; "pledge ran")]
fn retries_only_if_safe_and_useful(class: &str, result: AttemptResult, retried: bool) {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, arrival(1, class));
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), result);
    assert_eq!(harness.refusals().is_empty(), retried, "{:?}", harness.outputs);
    let later = harness.run_until(1_000);
    let sent = later.iter().filter(|output| matches!(output, EdgeOutput::Send { .. })).count();
    assert_eq!(sent, usize::from(retried));
}

#[test]
fn an_answered_call_is_never_retried() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, arrival(1, "lookup"));
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), AttemptResult::Answered { status: 503 });
    assert!(harness.is_relayed());
    harness.answer(3, first.attempt_id(), AttemptResult::Lost);
    assert!(harness.run_until(10_000).is_empty());
}

#[test]
fn a_call_without_a_replayable_body_is_not_retried() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, CallArrival { replayable_body: false, ..arrival(1, "lookup") });
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), refused(RefusalReason::Overloaded));
    assert_eq!(harness.refusal().outcome, Outcome::NotRun);
}

#[test]
fn a_lost_attempt_makes_a_later_refusal_unknown() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, arrival(1, "lookup"));
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), AttemptResult::Lost);
    harness.run_until(500);
    let (_, second) = harness.sent_one();
    harness.answer(501, second.attempt_id(), refused(RefusalReason::BadRequest));
    assert_eq!(harness.refusal().outcome, Outcome::Unknown);
}

#[test]
fn a_retry_ranks_behind_first_attempts_and_goes_to_another_target() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, arrival(1, "lookup"));
    let (target, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), refused(RefusalReason::Overloaded));
    harness.run_until(500);
    let (other, second) = harness.sent_one();
    assert_ne!(target, other);
    assert!(second.rank > first.rank);
    assert_eq!(second.priority, Priority::Interactive);
}

fn child(call: u128, tokens: u16) -> CallArrival {
    let parent = ParentContext {
        call: CallId(77),
        root: RootId(5),
        depth: 3,
        priority: Priority::Protected,
        retry: true,
        tokens,
        remaining: Duration::from_millis(300),
    };
    CallArrival { parent: Some(parent), outgoing: true, ..arrival(call, "lookup") }
}

#[test]
fn a_child_call_inherits_from_its_parent_and_returns_tokens() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, child(1, 4));
    let (_, context) = harness.sent_one();
    assert_eq!((context.root, context.depth, context.priority), (RootId(5), 4, Priority::Protected));
    assert_eq!((context.tokens, context.remaining), (3, Duration::from_millis(300)));
    assert_eq!(context.rank.0 / 1024, 1, "a child of a retry ranks as a retry");
    let mut excessive = feedback();
    excessive.tokens_left = 500;
    let attempt = context.attempt_id();
    let answered = EdgeInput::AttemptAnswered { attempt, result: ANSWERED, feedback: Some(excessive) };
    harness.step(at(2), answered);
    let outputs = harness.step(at(3), EdgeInput::BodyEnded { attempt, incomplete: None });
    assert_eq!(outputs, [EdgeOutput::ReturnTokens { parent: CallId(77), tokens: 4 }]);
}

#[test]
fn the_ratio_limits_retries_over_all_calls() {
    let retries_of = |limited: bool| {
        let mut harness = Harness::new(|settings, _| {
            settings.mechanisms.retry_ratio = limited;
            settings.mechanisms.ejection = false;
        });
        for call in 0..500 {
            harness.arrive(call, arrival(u128::from(call), "lookup"));
            for output in harness.outputs.clone() {
                if let EdgeOutput::Send { context, .. } = output {
                    harness.answer(call, context.attempt_id(), AttemptResult::ConnectFailed);
                }
            }
        }
        harness.run_until(5_000);
        harness.edge.statistics().retries
    };
    let limited = retries_of(true);
    assert!(limited <= 10 + 500 / 10, "{limited} retries of 500 first attempts at 10 percent");
    assert!(retries_of(false) > 400);
}

#[test]
fn backoff_is_bounded_by_the_time_left() {
    let mut harness = Harness::new(|settings, _| {
        settings.backoff.base = Duration::from_secs(60);
        settings.mechanisms.retry_ratio = false;
    });
    for call in 0..20_u64 {
        let mut short = arrival(u128::from(call), "lookup");
        short.remaining = Some(Duration::from_millis(50));
        let start = call * 1_000;
        harness.arrive(start, short);
        let (_, first) = harness.sent_one();
        harness.answer(start + 1, first.attempt_id(), refused(RefusalReason::Overloaded));
        let wake = harness.edge.next_wake().expect("a retry is scheduled");
        assert!(wake <= at(start + 48), "the service needs two of the 50 milliseconds");
        harness.run_until(start + 60);
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrive { class: usize, key: Option<u8>, remaining: Option<u64>, child: bool },
    Answer { call: u128, attempt: u8, result: usize },
    BodyEnd { call: u128, attempt: u8, broken: bool },
    Disconnect { call: u128 },
    Stop,
    Advance { milliseconds: u64 },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let call = 0_u128..40;
    let attempt = 0_u8..4;
    let event = prop_oneof![
        6 => (0_usize..3, proptest::option::of(0_u8..3), proptest::option::of(0_u64..50), any::<bool>())
            .prop_map(|(class, key, remaining, child)| Event::Arrive { class, key, remaining, child }),
        10 => (call.clone(), attempt.clone(), 0_usize..8).prop_map(|(call, attempt, result)| Event::Answer { call, attempt, result }),
        4 => (call.clone(), attempt, any::<bool>()).prop_map(|(call, attempt, broken)| Event::BodyEnd { call, attempt, broken }),
        1 => call.prop_map(|call| Event::Disconnect { call }),
        1 => Just(Event::Stop),
        4 => (0_u64..40).prop_map(|milliseconds| Event::Advance { milliseconds }),
    ];
    proptest::collection::vec(event, 1..200)
}

const CLASSES: [&str; 3] = ["lookup", "pledge", "archive"];

fn results() -> [AttemptResult; 8] {
    [
        ANSWERED,
        ANSWERED,
        AttemptResult::Lost,
        AttemptResult::ConnectFailed,
        AttemptResult::ResumeRefused,
        refused(RefusalReason::Overloaded),
        refused(RefusalReason::NotOwner),
        unknown(RefusalReason::ConnectionLost),
    ]
}

/// The observed state of a call: what its caller received and whether an attempt can have run.
#[derive(Default)]
struct ObservedCall {
    finishes: usize,
    may_have_run: bool,
    in_flight: Option<u8>,
    non_repeatable: bool,
    refusal: Option<Refusal>,
}

proptest! {
    #![proptest_config(Config {
        cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(2), ..Config::default()
    })]

    /// For random events in random order: one answer per call, no retry of a non-repeatable call that may have run, and
    /// `not-run` only if no attempt can have run.
    #[test]
    fn each_call_gets_one_correct_answer(events in events()) {
        let mut harness = Harness::new(|_, _| {});
        let mut calls: Vec<ObservedCall> = Vec::new();
        let mut now = Timestamp::ZERO;
        for event in events {
            let input = match event {
                Event::Arrive { class, key, remaining, child: is_child } => {
                    let call = calls.len() as u128;
                    let mut arrived = match key {
                        Some(key) => keyed(call, CLASSES[class], &format!("key-{key}")),
                        None => arrival(call, CLASSES[class]),
                    };
                    arrived.remaining = remaining.map(Duration::from_millis);
                    arrived.parent = if is_child { child(call, 2).parent } else { None };
                    calls.push(ObservedCall { non_repeatable: class == 1, ..ObservedCall::default() });
                    EdgeInput::Arrived(arrived)
                }
                Event::Answer { call, attempt, result } => {
                    let attempt = AttemptId { call: CallId(call), attempt };
                    let result = results()[result].clone();
                    let has_not_run = match &result {
                        AttemptResult::ConnectFailed => true,
                        AttemptResult::Refused(refusal) => refusal.outcome == Outcome::NotRun,
                        _ => false,
                    };
                    if let Some(state) =
                        calls.get_mut(call as usize).filter(|state| state.in_flight == Some(attempt.attempt))
                    {
                        state.in_flight = None;
                        state.may_have_run |= !has_not_run;
                    }
                    EdgeInput::AttemptAnswered { attempt, result, feedback: Some(feedback()) }
                }
                Event::BodyEnd { call, attempt, broken } => EdgeInput::BodyEnded {
                    attempt: AttemptId { call: CallId(call), attempt },
                    incomplete: broken.then_some(BodyState { received: 5, length: None, validator: None }),
                },
                Event::Disconnect { call } => EdgeInput::CallerDisconnected { call: CallId(call) },
                Event::Stop => EdgeInput::Stop,
                Event::Advance { milliseconds } => {
                    now = now + Duration::from_millis(milliseconds);
                    EdgeInput::Tick
                }
            };
            harness.step(now, input);
            for (_, context) in harness.sent() {
                let state = &mut calls[context.call.0 as usize];
                prop_assert!(!(state.non_repeatable && state.may_have_run), "a call that may have run was sent again");
                prop_assert!(state.in_flight.is_none(), "two attempts at once");
                state.in_flight = Some(context.attempt);
            }
            for output in harness.outputs.clone() {
                if let EdgeOutput::Finish { call, answer } = output {
                    let state = &mut calls[call.0 as usize];
                    state.finishes += 1;
                    if let Answer::Refuse(refusal) = answer {
                        state.may_have_run |= state.in_flight.is_some();
                        state.refusal = Some(refusal);
                    }
                }
            }
        }
        // The deadlines of all unanswered calls pass.
        harness.run_until(10_000_000);
        for output in harness.outputs.clone() {
            if let EdgeOutput::Finish { call, answer: Answer::Refuse(refusal) } = output {
                let state = &mut calls[call.0 as usize];
                state.finishes += 1;
                state.refusal = Some(refusal);
                state.may_have_run |= state.in_flight.is_some();
            }
        }
        for (call, state) in calls.iter().enumerate() {
            prop_assert_eq!(state.finishes, 1, "call {}", call);
            let refused_not_run = state.refusal.is_some_and(|refusal| refusal.outcome == Outcome::NotRun);
            prop_assert!(!(refused_not_run && state.may_have_run), "call {} was refused as `not-run`", call);
        }
        // Only calls with relayed answers remain, each with one attempt in flight.
        let in_flight: u32 = harness.edge.targets(now).iter().map(|target| target.in_flight).sum();
        prop_assert_eq!(in_flight as usize, harness.edge.calls_in_progress());
    }
}
