//! Which results are tried again, and what the caller is told in the end.

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
fn retries_only_what_is_safe_and_helps(class: &str, result: AttemptResult, retried: bool) {
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
fn an_answered_call_is_never_sent_again() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, arrival(1, "lookup"));
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), AttemptResult::Answered { status: 503 });
    assert!(harness.is_relayed());
    harness.answer(3, first.attempt_id(), AttemptResult::Lost);
    assert!(harness.run_until(10_000).is_empty());
}

#[test]
fn a_body_that_cannot_be_sent_again_is_not() {
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
fn a_retry_ranks_behind_first_tries_and_goes_elsewhere() {
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
fn a_child_call_inherits_and_gives_back() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, child(1, 4));
    let (_, context) = harness.sent_one();
    assert_eq!((context.root, context.depth, context.priority), (RootId(5), 4, Priority::Protected));
    assert_eq!((context.tokens, context.remaining), (3, Duration::from_millis(300)));
    assert_eq!(context.rank.0 / 1024, 1, "a child of a retry ranks as a retry");
    let mut generous = feedback();
    generous.tokens_left = 500;
    let attempt = context.attempt_id();
    let answered = EdgeInput::AttemptAnswered { attempt, result: ANSWERED, feedback: Some(generous) };
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
    assert!(limited <= 10 + 500 / 10, "{limited} retries of 500 first tries at 10 percent");
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
    Gone { call: u128 },
    Stop,
    Pass { milliseconds: u64 },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let call = 0_u128..40;
    let attempt = 0_u8..4;
    let event = prop_oneof![
        6 => (0_usize..3, proptest::option::of(0_u8..3), proptest::option::of(0_u64..50), any::<bool>())
            .prop_map(|(class, key, remaining, child)| Event::Arrive { class, key, remaining, child }),
        10 => (call.clone(), attempt.clone(), 0_usize..8).prop_map(|(call, attempt, result)| Event::Answer { call, attempt, result }),
        4 => (call.clone(), attempt, any::<bool>()).prop_map(|(call, attempt, broken)| Event::BodyEnd { call, attempt, broken }),
        1 => call.prop_map(|call| Event::Gone { call }),
        1 => Just(Event::Stop),
        4 => (0_u64..40).prop_map(|milliseconds| Event::Pass { milliseconds }),
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

/// What a caller and a gate see of a call over its whole life.
#[derive(Default)]
struct Seen {
    finishes: usize,
    may_have_run: bool,
    open: Option<u8>,
    once: bool,
    told: Option<Refusal>,
}

proptest! {
    #![proptest_config(Config {
        cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(2), ..Config::default()
    })]

    /// Whatever happens in whatever order: one answer per call, no second run of what may run only once, and `not-run`
    /// only when no attempt can have run.
    #[test]
    fn each_call_gets_one_true_answer(events in events()) {
        let mut harness = Harness::new(|_, _| {});
        let mut seen: Vec<Seen> = Vec::new();
        let mut now = Timestamp::ZERO;
        for event in events {
            let input = match event {
                Event::Arrive { class, key, remaining, child: is_child } => {
                    let call = seen.len() as u128;
                    let mut arrived = match key {
                        Some(key) => keyed(call, CLASSES[class], &format!("key-{key}")),
                        None => arrival(call, CLASSES[class]),
                    };
                    arrived.remaining = remaining.map(Duration::from_millis);
                    arrived.parent = if is_child { child(call, 2).parent } else { None };
                    seen.push(Seen { once: class == 1, ..Seen::default() });
                    EdgeInput::Arrived(arrived)
                }
                Event::Answer { call, attempt, result } => {
                    let attempt = AttemptId { call: CallId(call), attempt };
                    let result = results()[result].clone();
                    let harmless = match &result {
                        AttemptResult::ConnectFailed => true,
                        AttemptResult::Refused(refusal) => refusal.outcome == Outcome::NotRun,
                        _ => false,
                    };
                    if let Some(state) = seen.get_mut(call as usize).filter(|state| state.open == Some(attempt.attempt)) {
                        state.open = None;
                        state.may_have_run |= !harmless;
                    }
                    EdgeInput::AttemptAnswered { attempt, result, feedback: Some(feedback()) }
                }
                Event::BodyEnd { call, attempt, broken } => EdgeInput::BodyEnded {
                    attempt: AttemptId { call: CallId(call), attempt },
                    incomplete: broken.then_some(BodyState { received: 5, length: None, validator: None }),
                },
                Event::Gone { call } => EdgeInput::CallerDisconnected { call: CallId(call) },
                Event::Stop => EdgeInput::Stop,
                Event::Pass { milliseconds } => {
                    now = now + Duration::from_millis(milliseconds);
                    EdgeInput::Tick
                }
            };
            harness.step(now, input);
            for (_, context) in harness.sent() {
                let state = &mut seen[context.call.0 as usize];
                prop_assert!(!(state.once && state.may_have_run), "a call that may have run was sent again");
                prop_assert!(state.open.is_none(), "two attempts at once");
                state.open = Some(context.attempt);
            }
            for output in harness.outputs.clone() {
                if let EdgeOutput::Finish { call, answer } = output {
                    let state = &mut seen[call.0 as usize];
                    state.finishes += 1;
                    if let Answer::Refuse(refusal) = answer {
                        state.may_have_run |= state.open.is_some();
                        state.told = Some(refusal);
                    }
                }
            }
        }
        // Everything that is still open runs out of time.
        harness.run_until(10_000_000);
        for output in harness.outputs.clone() {
            if let EdgeOutput::Finish { call, answer: Answer::Refuse(refusal) } = output {
                let state = &mut seen[call.0 as usize];
                state.finishes += 1;
                state.told = Some(refusal);
                state.may_have_run |= state.open.is_some();
            }
        }
        for (call, state) in seen.iter().enumerate() {
            prop_assert_eq!(state.finishes, 1, "call {}", call);
            let told_not_run = state.told.is_some_and(|refusal| refusal.outcome == Outcome::NotRun);
            prop_assert!(!(told_not_run && state.may_have_run), "call {} was told `not-run`", call);
        }
        // Only relayed answers are left, each with one attempt in flight.
        let in_flight: u32 = harness.edge.targets(now).iter().map(|target| target.in_flight).sum();
        prop_assert_eq!(in_flight as usize, harness.edge.calls_in_progress());
    }
}
