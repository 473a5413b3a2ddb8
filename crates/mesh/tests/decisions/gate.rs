//! The gate and its queue.

use std::time::Duration;

use crate::milliseconds;
use quillhatch_mesh::gate::{Gate, GateDecision, GateLoad, GateRefusal};
use quillhatch_mesh::queue::Rank;
use quillhatch_types::Timestamp;
use test_case::test_case;

const NESTED_CALL: Rank = Rank { is_root: false, priority: 0, position: 0 };

const HIGH_PRIORITY_ROOT: Rank = Rank { is_root: true, priority: 0, position: 0 };

const ROOT: Rank = Rank { is_root: true, priority: 2, position: 0 };

const MAX_WAIT: Duration = Duration::from_millis(100);

/// A gate of four slots that are all in use.
fn gate_without_free_slots() -> Gate {
    let mut gate = Gate::new(4);
    for _ in 0..4 {
        assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Runs);
    }
    gate
}

fn expect_wait(gate: &mut Gate, rank: Rank) -> quillhatch_mesh::queue::QueueTicket {
    match gate.admit(rank, MAX_WAIT, Timestamp::ZERO).0 {
        GateDecision::Waits(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn nested_calls_are_served_first_then_by_priority_then_in_order_of_arrival() {
    let mut gate = gate_without_free_slots();
    let roots = [expect_wait(&mut gate, ROOT), expect_wait(&mut gate, ROOT)];
    let high_priority = expect_wait(&mut gate, HIGH_PRIORITY_ROOT);
    let nested = expect_wait(&mut gate, NESTED_CALL);
    let mut order = Vec::new();
    for _ in 0..4 {
        assert_eq!(gate.admit_waiting(), None, "no slot is free");
        gate.release_slot();
        order.extend(gate.admit_waiting());
    }
    assert_eq!(order, [nested, high_priority, roots[0], roots[1]]);
    assert_eq!(gate.load(), GateLoad { running: 4, limit: 4, waiting: 0 });
}

/// During a shortage all gates serve the same roots first, whether their calls enter here or are made by targets.
#[test]
fn calls_of_one_priority_are_served_by_position() {
    let mut gate = gate_without_free_slots();
    let high_position = expect_wait(&mut gate, Rank { position: 200, ..NESTED_CALL });
    let root = expect_wait(&mut gate, Rank { position: 100, ..HIGH_PRIORITY_ROOT });
    let nested = expect_wait(&mut gate, Rank { position: 100, ..NESTED_CALL });
    let mut order = Vec::new();
    for _ in 0..3 {
        gate.release_slot();
        order.extend(gate.admit_waiting());
    }
    assert_eq!(order, [nested, root, high_position]);
}

#[test]
fn a_full_queue_displaces_the_last_call_in_rank_order() {
    let mut gate = gate_without_free_slots();
    let roots: Vec<_> = (0..16).map(|_| expect_wait(&mut gate, ROOT)).collect();
    assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO), (GateDecision::Refused(GateRefusal::Overloaded), None));
    let (admission, displaced) = gate.admit(HIGH_PRIORITY_ROOT, MAX_WAIT, Timestamp::ZERO);
    assert!(matches!(admission, GateDecision::Waits(_)));
    assert!(displaced.is_some_and(|ticket| roots.contains(&ticket)));
}

#[test]
fn waiting_calls_expire_or_are_cancelled() {
    let mut gate = gate_without_free_slots();
    let (first, second) = (expect_wait(&mut gate, ROOT), expect_wait(&mut gate, ROOT));
    assert!(gate.cancel_waiting(second));
    assert!(!gate.cancel_waiting(second));
    assert_eq!(gate.next_expiry(), Some(milliseconds(100)));
    assert_eq!(gate.pop_expired(milliseconds(99)), None);
    assert_eq!(gate.pop_expired(milliseconds(100)), Some(first));
    assert_eq!(gate.admit(ROOT, Duration::ZERO, Timestamp::ZERO).0, GateDecision::Refused(GateRefusal::Overloaded));
}

#[test]
fn a_closed_gate_refuses_new_and_waiting_calls() {
    let mut gate = gate_without_free_slots();
    let waiting = expect_wait(&mut gate, ROOT);
    assert_eq!(gate.pop_refused(), None);
    gate.close();
    assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Refused(GateRefusal::Closed));
    assert_eq!((gate.pop_refused(), gate.pop_refused()), (Some(waiting), None));
    gate.open();
    gate.release_slot();
    assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Runs);
}

#[test_case(1, 1)]
#[test_case(4, 4)]
#[test_case(8, 8)]
#[test_case(9, 8)]
#[test_case(16, 15)]
#[test_case(20, 19)]
#[test_case(38, 36)]
#[test_case(500, 475)]
fn the_last_slots_of_large_targets_stay_free(slots: u32, limit: u32) {
    let mut gate = Gate::new(9);
    gate.set_slots(slots);
    assert_eq!(gate.limit(), limit);
}

/// Guards against this failure: a target that finishes no response got as many calls as it has slots, again and again.
#[test]
fn a_target_with_an_unfinished_response_gets_one_call_at_a_time_until_it_completes_one() {
    let mut gate = Gate::new(4);
    assert!(gate.breaker_mut().response_unfinished());
    assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Runs);
    assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Refused(GateRefusal::Closed));
    assert!(!gate.breaker_mut().response_unfinished(), "it was known");
    gate.breaker_mut().trial_ended();
    gate.release_slot();
    assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Runs);
    assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Refused(GateRefusal::Closed));
    assert!(gate.breaker_mut().response_completed());
    gate.breaker_mut().trial_ended();
    gate.release_slot();
    for _ in 0..4 {
        assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Runs);
    }
}

/// Guards against this failure: a response that was read slowly kept a sound target from getting any call.
#[test]
fn calls_that_ran_before_keep_no_trial_from_a_target_with_an_unfinished_response() {
    let mut gate = Gate::new(4);
    for _ in 0..3 {
        assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Runs);
    }
    gate.breaker_mut().response_unfinished();
    gate.release_slot();
    assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Runs);
    assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Refused(GateRefusal::Closed));
}

#[test]
fn calls_that_wait_for_a_target_with_an_unfinished_response_are_refused() {
    let mut gate = gate_without_free_slots();
    let waiting = expect_wait(&mut gate, ROOT);
    gate.breaker_mut().response_unfinished();
    assert_eq!((gate.pop_refused(), gate.pop_refused()), (Some(waiting), None));
    assert_eq!(gate.admit(ROOT, MAX_WAIT, Timestamp::ZERO).0, GateDecision::Refused(GateRefusal::Closed));
}
