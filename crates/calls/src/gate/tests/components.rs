use std::time::Duration;

use quillhatch_types::{AdmissionRank, Timestamp};
use test_case::test_case;

use super::support::{at, id};
use crate::gate::admission::{AdmissionController, GateState};
use crate::gate::hint::{HintWeight, MAX_REDUCTION};
use crate::gate::io::LoadHint;
use crate::gate::queue::{QueueOrder, WaitingAttempt, WaitingQueue};
use crate::gate::service_time::ServiceTime;

/// The calls of a queue in the order in which they leave it.
fn drain_queue(mut queue: WaitingQueue, overloaded: bool) -> Vec<u128> {
    let mut order = vec![];
    while let Some((ticket, waiting)) = queue.peek(overloaded) {
        queue.remove(ticket);
        order.push(waiting.attempt.call.0);
    }
    order
}

#[test_case(QueueOrder::Rank, false => vec![3, 1, 2, 4]; "no overload: by band, then by arrival")]
#[test_case(QueueOrder::Rank, true => vec![3, 4, 2, 1]; "overloaded: by rank, then the newest first")]
#[test_case(QueueOrder::Arrival, true => vec![1, 2, 3, 4])]
fn attempts_leave_in_order(order: QueueOrder, overloaded: bool) -> Vec<u128> {
    let mut queue = WaitingQueue::new(order);
    for (call, rank) in [(1, 2900), (2, 2100), (3, 7), (4, 2100)] {
        let waiting = WaitingAttempt { attempt: id(call), rank: AdmissionRank(rank), since: at(0), expires: at(9) };
        queue.push(waiting);
    }
    drain_queue(queue, overloaded)
}

/// A high estimate refuses every call, so no new sample can correct it: without decay, calls would be refused forever.
#[test]
fn the_service_time_estimate_decays_without_samples() {
    let deadline = Duration::from_secs(10);
    let mut time = ServiceTime::default();
    for sample in 0..200 {
        time.record(at(sample), Duration::from_secs(4));
    }
    assert!(time.estimate(at(200), deadline) > Duration::from_secs(3));
    assert!(time.estimate(at(200), Duration::from_secs(2)) <= Duration::from_secs(1), "bounded by the deadline");
    assert!(time.estimate(at(10_200), deadline) < Duration::from_millis(20));
}

#[test_case(LoadHint { healthy: false, load: None }, 10, true => 1.0 - MAX_REDUCTION; "unhealthy")]
#[test_case(LoadHint { healthy: true, load: Some(1e9) }, 10, true => 1.0 - MAX_REDUCTION; "absurd load")]
#[test_case(LoadHint { healthy: true, load: Some(f64::NAN) }, 10, true => 1.0; "not a number")]
#[test_case(LoadHint { healthy: false, load: None }, 10, false => 1.0; "no congestion measured")]
#[test_case(LoadHint { healthy: false, load: None }, 9_000, true => 1.0; "stale")]
fn a_load_hint_has_a_bounded_effect(hint: LoadHint, age: u64, congested: bool) -> f64 {
    let mut weight = HintWeight::default();
    weight.record(Timestamp::ZERO, hint);
    weight.factor(at(age), congested)
}

const BUSY: GateState = GateState { unprotected_present: true, idle: false };
const ONLY_PROTECTED: GateState = GateState { unprotected_present: false, idle: false };

/// Edges must not refuse protected calls while the gate serves less important ones.
#[test_case(BUSY => true; "less important work is served")]
#[test_case(ONLY_PROTECTED => false; "only protected calls")]
fn the_level_refuses_protected_calls_only_if_they_alone_are_too_many(state: GateState) -> bool {
    let mut controller = AdmissionController::new();
    for period in 1..40 {
        (0..20).for_each(|_| controller.arrived(AdmissionRank(1000)));
        controller.record_pressure(at(period * 100));
        controller.advance(at(period * 100), state);
    }
    controller.level().admits(AdmissionRank(1000))
}
