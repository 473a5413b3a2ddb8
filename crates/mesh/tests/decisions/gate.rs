//! The gate and its queue.

use std::time::Duration;

use crate::milliseconds;
use quillhatch_mesh::gate::{Admission, Gate, Load, Refusal};
use quillhatch_mesh::queue::Rank;
use quillhatch_types::Timestamp;
use test_case::test_case;

const CALL_OF_A_TARGET: Rank = Rank { is_root: false, priority: 0, position: 0 };

const IMPORTANT_ROOT: Rank = Rank { is_root: true, priority: 0, position: 0 };

const ROOT: Rank = Rank { is_root: true, priority: 2, position: 0 };

const PATIENCE: Duration = Duration::from_millis(100);

/// A gate of four slots that are all in use.
fn full_gate() -> Gate {
    let mut gate = Gate::new(4);
    for _ in 0..4 {
        assert_eq!(gate.admit(ROOT, PATIENCE, Timestamp::ZERO).0, Admission::Runs);
    }
    gate
}

fn waits(gate: &mut Gate, rank: Rank) -> quillhatch_mesh::queue::Ticket {
    match gate.admit(rank, PATIENCE, Timestamp::ZERO).0 {
        Admission::Waits(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_gate_serves_work_already_begun_first_then_by_priority_then_in_order() {
    let mut gate = full_gate();
    let roots = [waits(&mut gate, ROOT), waits(&mut gate, ROOT)];
    let important = waits(&mut gate, IMPORTANT_ROOT);
    let inner = waits(&mut gate, CALL_OF_A_TARGET);
    let mut order = Vec::new();
    for _ in 0..4 {
        assert_eq!(gate.admit_waiting(), None, "no slot is free");
        gate.release_slot();
        order.extend(gate.admit_waiting());
    }
    assert_eq!(order, [inner, important, roots[0], roots[1]]);
    assert_eq!(gate.load(), Load { running: 4, limit: 4, waiting: 0 });
}

/// In a shortage all gates serve the same roots first, whether their calls enter here or are made by targets.
#[test]
fn of_one_importance_the_lower_positions_go_first() {
    let mut gate = full_gate();
    let late = waits(&mut gate, Rank { position: 200, ..CALL_OF_A_TARGET });
    let root = waits(&mut gate, Rank { position: 100, ..IMPORTANT_ROOT });
    let early = waits(&mut gate, Rank { position: 100, ..CALL_OF_A_TARGET });
    let mut order = Vec::new();
    for _ in 0..3 {
        gate.release_slot();
        order.extend(gate.admit_waiting());
    }
    assert_eq!(order, [early, root, late]);
}

#[test]
fn a_full_queue_gives_the_place_of_the_least_important() {
    let mut gate = full_gate();
    let roots: Vec<_> = (0..16).map(|_| waits(&mut gate, ROOT)).collect();
    assert_eq!(gate.admit(ROOT, PATIENCE, Timestamp::ZERO), (Admission::Refused(Refusal::Overloaded), None));
    let (arrival, displaced) = gate.admit(IMPORTANT_ROOT, PATIENCE, Timestamp::ZERO);
    assert!(matches!(arrival, Admission::Waits(_)));
    assert!(displaced.is_some_and(|ticket| roots.contains(&ticket)));
}

#[test]
fn waiting_calls_expire_and_leave() {
    let mut gate = full_gate();
    let (first, second) = (waits(&mut gate, ROOT), waits(&mut gate, ROOT));
    assert!(gate.cancel_waiting(second));
    assert!(!gate.cancel_waiting(second));
    assert_eq!(gate.next_expiry(), Some(milliseconds(100)));
    assert_eq!(gate.pop_expired(milliseconds(99)), None);
    assert_eq!(gate.pop_expired(milliseconds(100)), Some(first));
    assert_eq!(gate.admit(ROOT, Duration::ZERO, Timestamp::ZERO).0, Admission::Refused(Refusal::Overloaded));
}

#[test]
fn a_closed_gate_refuses_and_sends_away_who_waits() {
    let mut gate = full_gate();
    let waiting = waits(&mut gate, ROOT);
    assert_eq!(gate.pop_refused(), None);
    gate.close();
    assert_eq!(gate.admit(ROOT, PATIENCE, Timestamp::ZERO).0, Admission::Refused(Refusal::Closed));
    assert_eq!((gate.pop_refused(), gate.pop_refused()), (Some(waiting), None));
    gate.open();
    gate.release_slot();
    assert_eq!(gate.admit(ROOT, PATIENCE, Timestamp::ZERO).0, Admission::Runs);
}

#[test_case(1, 1)]
#[test_case(4, 4)]
#[test_case(8, 8)]
#[test_case(9, 8)]
#[test_case(16, 15)]
#[test_case(20, 19)]
#[test_case(38, 36)]
#[test_case(500, 475)]
fn a_gate_leaves_the_last_slots_of_large_targets_free(slots: u32, limit: u32) {
    let mut gate = Gate::new(9);
    gate.set_slots(slots);
    assert_eq!(gate.limit(), limit);
}
