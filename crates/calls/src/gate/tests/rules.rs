use std::time::Duration;

use quillhatch_types::{CallId, Outcome, RecordedAnswer, Refusal, RefusalReason};
use test_case::test_case;

use super::support::{
    arrive, at, configuration, context, fixed_gate, gate, gate_with, id, settings, step, warm, SLOTS,
};
use crate::gate::{AnswerEnd, ClaimResolution, Gate, GateInput, GateMechanisms, GateOutput, GateSettings, LoadHint};

/// Short descriptions of outputs, without the values that differ from call to call.
fn describe(outputs: &[GateOutput]) -> Vec<String> {
    outputs
        .iter()
        .map(|output| match output {
            GateOutput::RequestClaim(_) => "claim".into(),
            GateOutput::Dispatch { .. } => "dispatch".into(),
            GateOutput::Refuse { refusal, .. } => format!("{}: {}", refusal.outcome, refusal.reason),
            GateOutput::Replay { .. } => "replay".into(),
            GateOutput::CancelDispatched { .. } => "cancel".into(),
            GateOutput::ClaimFinished { record, .. } => format!("finished {}", record.is_some()),
            GateOutput::ClaimReleased { .. } => "released".into(),
            GateOutput::Idle => "idle".into(),
        })
        .collect()
}

fn answer() -> RecordedAnswer {
    RecordedAnswer { status: 201, headers: vec![], body: vec![1] }
}

fn granted(call: u128) -> GateInput {
    GateInput::ClaimResolved { attempt: id(call), resolution: ClaimResolution::Granted }
}

fn ended(call: u128) -> GateInput {
    let end = AnswerEnd::Whole { status: 201, bytes: 1, record: Some(answer()) };
    GateInput::AnswerEnded { attempt: id(call), end }
}

/// Fills all slots with calls of `class`, numbered from one.
fn fill(gate: &mut Gate, milliseconds: u64, class: &str) {
    for call in 1..=u128::from(SLOTS) {
        arrive(gate, milliseconds, context(call, class, 0));
    }
}

#[test_case(AnswerEnd::Whole { status: 201, bytes: 1, record: Some(answer()) }, false => vec!["finished true"]; "whole")]
#[test_case(AnswerEnd::RefusedBeforeRunning { status: 503 }, false => vec!["released", "not-run: overloaded"]; "refused")]
#[test_case(AnswerEnd::ConnectFailed, false => vec!["released", "not-run: connect-failed"]; "connect failed")]
#[test_case(AnswerEnd::Broken, false => vec!["finished false", "unknown: connection-lost"]; "broken before its head")]
#[test_case(AnswerEnd::Broken, true => vec!["finished false"]; "broken after its head")]
#[test_case(AnswerEnd::ConnectFailed, true => vec!["finished false"]; "connect failed after its head")]
#[test_case(AnswerEnd::Cancelled, false => vec!["finished false", "unknown: cancelled"]; "cancelled")]
fn an_end_reports_only_what_is_known_about_the_run(end: AnswerEnd, head_first: bool) -> Vec<String> {
    let mut gate = gate(warm());
    arrive(&mut gate, 0, context(1, "charge", 0));
    step(&mut gate, 1, granted(1));
    if head_first {
        step(&mut gate, 2, GateInput::AnswerStarted { attempt: id(1), status: 200, length: None });
    }
    let outputs = step(&mut gate, 3, GateInput::AnswerEnded { attempt: id(1), end });
    assert_eq!(step(&mut gate, 4, ended(1)), vec![], "a second end");
    describe(&outputs)
}

#[test_case(ClaimResolution::Granted => vec!["dispatch"])]
#[test_case(ClaimResolution::Replay(answer()) => vec!["replay"])]
#[test_case(ClaimResolution::Refused(Refusal::unknown(RefusalReason::KeyInProgress)) => vec!["unknown: key-in-progress"])]
fn a_claim_is_decided_once(resolution: ClaimResolution) -> Vec<String> {
    let mut gate = gate(warm());
    assert_eq!(describe(&arrive(&mut gate, 0, context(1, "charge", 0))), ["claim"]);
    let outputs = step(&mut gate, 1, GateInput::ClaimResolved { attempt: id(1), resolution });
    assert_eq!(step(&mut gate, 2, granted(1)), vec![], "decided again");
    describe(&outputs)
}

#[test_case(true => vec!["claim"])]
#[test_case(false => vec!["dispatch"]; "claims off")]
fn a_call_that_may_not_be_repeated_runs_after_a_claim(claims: bool) -> Vec<String> {
    describe(&arrive(&mut gate(GateMechanisms { claims, ..warm() }), 0, context(1, "charge", 0)))
}

#[test]
fn an_undecided_claim_frees_its_slot_and_a_late_grant_has_no_effect() {
    let mut gate = gate(warm());
    arrive(&mut gate, 0, ContextWithRemaining(context(1, "charge", 0), 5_000).into());
    let wake = gate.next_wake().expect("a timeout");
    assert_eq!(wake, at(1_000));
    let outputs = step(&mut gate, 1_000, GateInput::Tick);
    assert_eq!(describe(&outputs), ["released", "not-run: claim-not-recorded"]);
    assert_eq!(step(&mut gate, 1_001, granted(1)), vec![]);
    assert_eq!(gate.feedback(at(1_002), None).running, 0);
}

struct ContextWithRemaining(quillhatch_types::CallContext, u64);

impl From<ContextWithRemaining> for quillhatch_types::CallContext {
    fn from(ContextWithRemaining(context, milliseconds): ContextWithRemaining) -> Self {
        quillhatch_types::CallContext { remaining: Duration::from_millis(milliseconds), ..context }
    }
}

/// A gate whose process was paused between requesting a claim and receiving the grant must not run the call if too
/// little time remains.
#[test_case(true => vec!["released", "not-run: deadline-too-short"])]
#[test_case(false => vec!["dispatch"]; "check off")]
fn a_claim_granted_after_a_pause_is_released(deadline_check: bool) -> Vec<String> {
    let mut gate = gate(GateMechanisms { deadline_check, ..warm() });
    arrive(&mut gate, 0, context(1, "charge", 0));
    describe(&step(&mut gate, 996, granted(1)))
}

#[test_case("scan", 0 => vec!["not-run: cancelled"]; "waiting")]
#[test_case("charge", 1 => vec!["released", "not-run: cancelled"]; "claiming")]
#[test_case("charge", 2 => Vec::<String>::new(); "running but not repeatable")]
#[test_case("scan", 2 => vec!["cancel"]; "running")]
fn cancellation_depends_on_the_phase(class: &str, phase: u8) -> Vec<String> {
    let mut gate = fixed_gate(warm());
    if phase == 0 {
        fill(&mut gate, 0, "look");
    }
    arrive(&mut gate, 0, context(99, class, 0));
    if phase == 2 {
        step(&mut gate, 1, granted(99));
    }
    let outputs = step(&mut gate, 2, GateInput::Cancelled { attempt: id(99) });
    assert_eq!(step(&mut gate, 3, GateInput::Cancelled { attempt: id(99) }), vec![], "cancelled again");
    describe(&outputs)
}

#[test]
fn duplicate_and_unknown_attempts_have_no_effect() {
    let mut gate = gate(warm());
    arrive(&mut gate, 0, context(1, "look", 0));
    assert_eq!(arrive(&mut gate, 1, context(1, "look", 0)), vec![]);
    step(&mut gate, 2, ended(1));
    assert_eq!(arrive(&mut gate, 3, context(1, "look", 0)), vec![]);
    assert_eq!(step(&mut gate, 4, ended(2)), vec![]);
    assert_eq!(gate.feedback(at(5), None).running, 0);
}

#[test_case(true => vec!["not-run: overloaded", "claim"]; "evicts")]
#[test_case(false => vec!["not-run: overloaded"]; "first in first out refuses the new call")]
fn a_protected_call_evicts_the_least_important_one(priority_queue: bool) -> Vec<String> {
    let mechanisms = GateMechanisms { priority_queue, adaptive_limit: false, protected_reserve: false, ..warm() };
    let limits = GateSettings { maximum_waiting: 2, ..settings(mechanisms) };
    let mut gate = gate_with(limits, configuration(false));
    fill(&mut gate, 0, "scan");
    arrive(&mut gate, 1, context(50, "look", 5));
    arrive(&mut gate, 1, context(51, "scan", 5));
    let mut outputs = arrive(&mut gate, 2, context(99, "charge", 1));
    outputs.extend(step(&mut gate, 3, ended(1)));
    outputs.retain(|output| !matches!(output, GateOutput::Dispatch { .. }));
    describe(&outputs)
}

#[test]
fn a_protected_call_at_its_queue_timeout_evicts_a_less_important_one() {
    let mut gate = fixed_gate(GateMechanisms { protected_reserve: false, ..warm() });
    fill(&mut gate, 0, "scan");
    arrive(&mut gate, 1, context(99, "charge", 1));
    arrive(&mut gate, 150, context(50, "look", 5));
    let outputs = step(&mut gate, 201, GateInput::Tick);
    assert!(matches!(outputs[..], [GateOutput::Refuse { attempt, .. }] if attempt == id(50)), "{outputs:?}");
    assert_eq!(describe(&step(&mut gate, 401, GateInput::Tick)), ["not-run: queue-timeout"]);
}

#[test_case(true => 1; "reserved")]
#[test_case(false => 0; "off")]
fn a_slot_is_reserved_for_protected_calls(protected_reserve: bool) -> usize {
    let mut gate = fixed_gate(GateMechanisms { protected_reserve, ..warm() });
    arrive(&mut gate, 0, context(98, "charge", 0));
    step(&mut gate, 0, granted(98));
    step(&mut gate, 0, ended(98));
    fill(&mut gate, 1, "scan");
    arrive(&mut gate, 2, context(99, "charge", 0)).len()
}

#[test_case(4, true => vec!["not-run: deadline-too-short"]; "too short")]
#[test_case(4, false => vec!["dispatch"]; "check off")]
#[test_case(6, true => vec!["dispatch"]; "enough")]
fn a_call_with_too_little_time_is_refused(remaining: u64, deadline_check: bool) -> Vec<String> {
    let mut gate = gate(GateMechanisms { deadline_check, ..warm() });
    describe(&arrive(&mut gate, 0, ContextWithRemaining(context(1, "look", 0), remaining).into()))
}

#[test]
fn a_waiting_call_is_refused_when_it_has_too_little_time_left() {
    let mut gate = fixed_gate(warm());
    fill(&mut gate, 0, "look");
    arrive(&mut gate, 0, ContextWithRemaining(context(99, "look", 9), 50).into());
    assert_eq!(gate.next_wake(), Some(at(45)));
    assert_eq!(describe(&step(&mut gate, 45, GateInput::Tick)), ["not-run: deadline-too-short"]);
}

#[test_case(true => vec!["not-run: draining"])]
#[test_case(false => vec!["dispatch"]; "drain off")]
fn a_draining_gate_finishes_and_then_reports_idle_once(drain: bool) -> Vec<String> {
    let mut gate = fixed_gate(GateMechanisms { drain, ..warm() });
    arrive(&mut gate, 0, context(1, "look", 0));
    step(&mut gate, 1, GateInput::Close { reason: RefusalReason::Draining });
    let refused = arrive(&mut gate, 2, context(2, "look", 0));
    let end = step(&mut gate, 3, ended(1));
    if drain {
        assert_eq!(describe(&end), ["idle"]);
        assert_eq!(step(&mut gate, 4, GateInput::Close { reason: RefusalReason::Draining }), vec![]);
        step(&mut gate, 5, GateInput::Open);
        assert_eq!(describe(&arrive(&mut gate, 6, context(3, "look", 0))), ["dispatch"]);
    }
    describe(&refused)
}

#[test]
fn a_draining_back_end_gets_no_new_work_after_the_grace_period() {
    let limits = GateSettings { drain_grace: Duration::from_millis(50), ..settings(warm()) };
    let mut gate = gate_with(limits, configuration(false));
    fill(&mut gate, 0, "look");
    arrive(&mut gate, 0, context(98, "look", 0));
    arrive(&mut gate, 0, context(99, "look", 0));
    step(&mut gate, 1, GateInput::Close { reason: RefusalReason::Draining });
    assert_eq!(describe(&step(&mut gate, 40, ended(1))), ["dispatch"]);
    assert_eq!(gate.next_wake(), Some(at(51)));
    assert_eq!(describe(&step(&mut gate, 51, GateInput::Tick)), ["not-run: draining"]);
}

#[test]
fn a_claim_granted_after_the_grace_period_of_a_drain_is_released() {
    let limits = GateSettings { drain_grace: Duration::from_millis(50), ..settings(warm()) };
    let mut gate = gate_with(limits, configuration(false));
    arrive(&mut gate, 0, context(1, "charge", 0));
    step(&mut gate, 1, GateInput::Close { reason: RefusalReason::Draining });
    assert_eq!(describe(&step(&mut gate, 51, granted(1))), ["released", "not-run: draining", "idle"]);
}

/// Without a separate limit, large answers take all slots of short calls.
#[test_case(true => vec!["dispatch"]; "separate limit")]
#[test_case(false => Vec::<String>::new(); "shared limit")]
fn large_answers_do_not_block_short_calls(large_answer_limit: bool) -> Vec<String> {
    let mechanisms = GateMechanisms { large_answer_limit, adaptive_limit: false, ..warm() };
    let mut gate = gate(mechanisms);
    fill(&mut gate, 0, "fetch");
    fill(&mut gate, 0, "fetch");
    describe(&arrive(&mut gate, 1, context(99, "look", 0)))
}

#[test]
fn large_answers_are_limited_by_bytes_and_not_stopped_after_their_start() {
    let limits = GateSettings { large_answer_bytes: 10_000_000, ..settings(warm()) };
    let mut gate = gate_with(limits, configuration(true));
    arrive(&mut gate, 0, context(1, "fetch", 0));
    step(&mut gate, 1, GateInput::AnswerStarted { attempt: id(1), status: 200, length: Some(20_000_000) });
    assert_eq!(arrive(&mut gate, 2, context(2, "fetch", 0)), vec![]);
    assert_eq!(describe(&step(&mut gate, 300, GateInput::Tick)), ["not-run: queue-timeout"]);
    assert_eq!(step(&mut gate, 2_000, GateInput::Tick), vec![], "the started answer continues past its deadline");
    step(&mut gate, 2_001, ended(1));
    assert_eq!(describe(&arrive(&mut gate, 2_002, context(3, "fetch", 0))), ["dispatch"]);
}

#[test_case(true => SLOTS / 4)]
#[test_case(false => SLOTS; "off")]
fn a_cold_back_end_starts_with_a_lower_limit(cold_start: bool) -> u32 {
    let mut gate = fixed_gate(GateMechanisms { cold_start, ..warm() });
    arrive(&mut gate, 0, context(1, "look", 0));
    let first = gate.concurrency_limit(at(0));
    assert_eq!(gate.concurrency_limit(at(3_000)), SLOTS);
    first
}

#[test]
fn a_wrong_health_report_alone_does_not_lower_the_limit() {
    let mut gate = gate_with(settings(warm()), configuration(false));
    step(&mut gate, 0, GateInput::Hint(LoadHint { healthy: false, load: Some(f64::NAN) }));
    assert_eq!(gate.concurrency_limit(at(1)), SLOTS, "the gate has measured no congestion");
}

#[test]
fn tokens_are_lent_returned_and_reported_once() {
    let mut gate = gate(warm());
    arrive(&mut gate, 0, context(1, "look", 0));
    let lent = gate.lend_tokens(at(1), CallId(1), 2).expect("a running parent");
    assert_eq!((lent.tokens, lent.retry, lent.remaining), (2, false, Duration::from_millis(999)));
    gate.return_tokens(CallId(1), 9);
    assert_eq!(gate.feedback(at(2), Some(id(1))).tokens_left, 3, "at most the lent tokens are accepted");
    assert_eq!(gate.feedback(at(3), Some(id(1))).tokens_left, 0);
    assert_eq!(gate.lend_tokens(at(4), CallId(1), 2).map(|parent| parent.tokens), Some(0));
    assert_eq!(gate.lend_tokens(at(4), CallId(2), 2), None);
}

#[test]
fn a_gate_without_configuration_is_not_ready() {
    let outputs = arrive(&mut Gate::new(settings(warm()), 1), 0, context(1, "look", 0));
    let [GateOutput::Refuse { refusal, feedback, .. }] = &outputs[..] else { panic!("{outputs:?}") };
    assert_eq!((refusal.outcome, refusal.reason), (Outcome::NotRun, RefusalReason::NotReady));
    assert_eq!(feedback.tokens_left, 3, "the tokens are returned");
}
