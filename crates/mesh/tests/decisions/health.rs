//! The share of good responses of a target.

use crate::milliseconds;
use quillhatch_mesh::health::TargetHealth;
use quillhatch_types::Timestamp;

#[test]
fn failures_of_a_target_are_detected_within_a_second_and_decay() {
    let mut health = TargetHealth::new(Timestamp::ZERO);
    for step in 0..100 {
        let now = milliseconds(step * 10);
        if step % 5 < 2 {
            health.record_bad(now);
        } else {
            health.record_good(now);
        }
    }
    let share = health.good_share(milliseconds(1_000));
    assert!((0.55..0.7).contains(&share), "{share}");
    assert!(health.good_share(milliseconds(6_000)) > 0.95);
}

#[test]
fn one_failure_among_few_responses_is_little_evidence() {
    let mut health = TargetHealth::new(Timestamp::ZERO);
    health.record_bad(Timestamp::ZERO);
    assert!(health.good_share(Timestamp::ZERO) > 0.8);
}

#[test]
fn errors_after_failed_calls_are_not_counted_against_the_target() {
    let mut health = TargetHealth::new(Timestamp::ZERO);
    for step in 0..100 {
        let now = milliseconds(step * 10);
        health.record_good(now);
        health.record_downstream_failure(now);
        health.record_error(now);
    }
    assert!(health.good_share(milliseconds(1_000)) > 0.98);
    for step in 100..200 {
        health.record_good(milliseconds(step * 10));
        health.record_error(milliseconds(step * 10));
    }
    assert!(health.good_share(milliseconds(2_000)) < 0.65);
}
