//! Short calls and large answers at one back end: who gives way to whom.

use quillhatch_types::AttemptId;
use test_case::test_case;

use super::support::{arrive, configuration, context, gate_with, id, settings, step, warm, SLOTS};
use crate::gate::{AnswerEnd, Gate, GateInput, GateMechanisms, GateOutput, GateSettings};

/// A gate whose limit stays at [`SLOTS`], of which half may go to large answers, and without claims.
fn gate(maximum_waiting: usize) -> Gate {
    let mechanisms = GateMechanisms { adaptive_limit: false, claims: false, protected_reserve: false, ..warm() };
    gate_with(GateSettings { maximum_waiting, ..settings(mechanisms) }, configuration(true))
}

fn fill(gate: &mut Gate, first: u128, count: u32, class: &str) {
    for call in (first..).take(count as usize) {
        arrive(gate, 0, context(call, class, 0));
    }
}

fn ended(call: u128) -> GateInput {
    GateInput::AnswerEnded { attempt: id(call), end: AnswerEnd::Whole { status: 200, bytes: 1, record: None } }
}

fn dispatched(outputs: &[GateOutput]) -> Vec<AttemptId> {
    let dispatched = outputs.iter().filter_map(|output| match output {
        GateOutput::Dispatch { attempt, .. } => Some(*attempt),
        _ => None,
    });
    dispatched.collect()
}

fn refused(outputs: &[GateOutput]) -> Vec<AttemptId> {
    let refused = outputs.iter().filter_map(|output| match output {
        GateOutput::Refuse { attempt, .. } => Some(*attempt),
        _ => None,
    });
    refused.collect()
}

/// Slots that no download uses are not kept empty: a service with a download class has all of them for short calls.
#[test_case(0 => SLOTS; "no download")]
#[test_case(2 => SLOTS - 2; "some")]
#[test_case(SLOTS => SLOTS / 2; "as many as there may be")]
fn short_calls_use_what_large_answers_leave(downloads: u32) -> u32 {
    let mut gate = gate(64);
    fill(&mut gate, 100, downloads, "fetch");
    (1..=2 * u128::from(SLOTS))
        .map(|call| dispatched(&arrive(&mut gate, 1, context(call, "charge", 0))).len() as u32)
        .sum()
}

#[test]
fn a_large_answer_begins_only_when_no_more_important_short_call_waits() {
    let mut gate = gate(64);
    fill(&mut gate, 100, 1, "fetch");
    fill(&mut gate, 1, SLOTS - 1, "look");
    arrive(&mut gate, 1, context(200, "fetch", 0));
    arrive(&mut gate, 2, context(50, "charge", 9));
    assert_eq!(dispatched(&step(&mut gate, 3, ended(1))), [id(50)], "though the download came first");
    assert_eq!(dispatched(&step(&mut gate, 4, ended(2))), [id(200)]);
}

/// One waiting place for short calls is taken by a protected one; the next protected call must not push that out, nor be
/// refused itself, while a download waits.
#[test]
fn no_protected_call_is_refused_while_a_large_answer_waits() {
    let mut gate = gate(1);
    fill(&mut gate, 100, 1, "fetch");
    fill(&mut gate, 1, SLOTS - 1, "charge");
    arrive(&mut gate, 1, context(200, "fetch", 0));
    assert_eq!(refused(&arrive(&mut gate, 2, context(50, "charge", 9))), []);
    assert_eq!(refused(&arrive(&mut gate, 3, context(51, "charge", 5))), [id(200)]);
    assert_eq!(refused(&arrive(&mut gate, 4, context(52, "charge", 7))), [id(50)], "only protected calls are left");
}

#[test]
fn a_protected_call_outlasts_a_waiting_large_answer() {
    let mut gate = gate(64);
    fill(&mut gate, 100, 1, "fetch");
    fill(&mut gate, 1, SLOTS - 1, "charge");
    arrive(&mut gate, 1, context(50, "charge", 9));
    arrive(&mut gate, 100, context(200, "fetch", 0));
    assert_eq!(refused(&step(&mut gate, 201, GateInput::Tick)), [id(200)]);
}

#[test]
fn a_started_download_is_not_stopped_for_a_protected_call() {
    let mut gate = gate(1);
    fill(&mut gate, 100, SLOTS, "fetch");
    fill(&mut gate, 1, SLOTS, "charge");
    let outputs = step(&mut gate, 150, GateInput::Tick);
    assert!(!outputs.iter().any(|output| matches!(output, GateOutput::CancelDispatched { .. })), "{outputs:?}");
    assert_eq!(gate.feedback(super::support::at(150), None).running, SLOTS);
}
