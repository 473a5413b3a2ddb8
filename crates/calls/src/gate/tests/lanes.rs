//! Tests of the priority between short calls and large answers at one back end.

use quillhatch_types::AttemptId;
use test_case::test_case;

use super::support::{arrive, configuration, context, gate_with, id, settings, step, warm, SLOTS};
use crate::gate::{AnswerEnd, Gate, GateInput, GateMechanisms, GateOutput, GateSettings};

/// A gate without claims and with a fixed limit of [`SLOTS`], half of which large answers may take.
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

/// Short calls may use every slot that no large answer uses, even if the service has a class with large answers.
#[test_case(0 => SLOTS; "no download")]
#[test_case(2 => SLOTS - 2; "some")]
#[test_case(SLOTS => SLOTS / 2; "as many as allowed")]
fn short_calls_use_the_slots_that_large_answers_leave(downloads: u32) -> u32 {
    let mut gate = gate(64);
    fill(&mut gate, 100, downloads, "fetch");
    (1..=2 * u128::from(SLOTS))
        .map(|call| dispatched(&arrive(&mut gate, 1, context(call, "charge", 0))).len() as u32)
        .sum()
}

#[test]
fn a_large_answer_starts_only_if_no_more_important_short_call_waits() {
    let mut gate = gate(64);
    fill(&mut gate, 100, 1, "fetch");
    fill(&mut gate, 1, SLOTS - 1, "look");
    arrive(&mut gate, 1, context(200, "fetch", 0));
    arrive(&mut gate, 2, context(50, "charge", 9));
    assert_eq!(dispatched(&step(&mut gate, 3, ended(1))), [id(50)], "although the large answer arrived first");
    assert_eq!(dispatched(&step(&mut gate, 4, ended(2))), [id(200)]);
}

/// The only place in the queue of short calls is taken by a protected call. While a large answer waits, the next
/// protected call must evict the large answer, instead of evicting the waiting protected call or being refused itself.
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
fn a_protected_call_at_its_queue_timeout_evicts_a_waiting_large_answer() {
    let mut gate = gate(64);
    fill(&mut gate, 100, 1, "fetch");
    fill(&mut gate, 1, SLOTS - 1, "charge");
    arrive(&mut gate, 1, context(50, "charge", 9));
    arrive(&mut gate, 100, context(200, "fetch", 0));
    assert_eq!(refused(&step(&mut gate, 201, GateInput::Tick)), [id(200)]);
}

#[test]
fn a_started_large_answer_is_not_stopped_for_a_protected_call() {
    let mut gate = gate(1);
    fill(&mut gate, 100, SLOTS, "fetch");
    fill(&mut gate, 1, SLOTS, "charge");
    let outputs = step(&mut gate, 150, GateInput::Tick);
    assert!(!outputs.iter().any(|output| matches!(output, GateOutput::CancelDispatched { .. })), "{outputs:?}");
    assert_eq!(gate.feedback(super::support::at(150), None).running, SLOTS);
}
