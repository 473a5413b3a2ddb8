//! The schedule of a shutdown, and the durations by which it accepts calls.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::configuration::Retryability;
use quillhatch_mesh::durations::RouteDurations;
use quillhatch_mesh::shutdown::ShutdownSchedule;
use quillhatch_types::Timestamp;
use test_case::test_case;

const GRACE: Duration = Duration::from_secs(6);
const REQUESTED: Timestamp = Timestamp::from_millis(100_000);

fn schedule() -> ShutdownSchedule {
    ShutdownSchedule::new(REQUESTED, GRACE)
}

fn after(milliseconds: u64) -> Timestamp {
    REQUESTED + Duration::from_millis(milliseconds)
}

#[test_case(2_000, Some(500), 6_000, true; "early")]
#[test_case(4_500, Some(500), 6_000, true; "just in time")]
#[test_case(4_600, Some(500), 6_000, false; "too late")]
#[test_case(4_600, Some(500), 400, true; "its deadline ends it in time")]
#[test_case(2_800, None, 6_000, true; "unmeasured and early")]
#[test_case(2_900, None, 6_000, false; "unmeasured and late")]
fn a_call_is_accepted_if_it_can_finish(at_ms: u64, duration_ms: Option<u64>, time_left_ms: u64, accepted: bool) {
    let now = after(at_ms);
    let duration = duration_ms.map(Duration::from_millis);
    let deadline = now + Duration::from_millis(time_left_ms);
    assert_eq!(schedule().can_finish(duration, deadline, now), accepted);
}

#[test]
fn the_deadline_of_a_target_ends_before_the_process_does() {
    let schedule = schedule();
    let now = after(1_000);
    let work_time = schedule.work_time(after(20_000), now).expect("it is limited");
    assert!(now + work_time < schedule.process_end() && schedule.process_end() < REQUESTED + GRACE);
    assert_eq!(schedule.work_time(after(2_000), now), None);
}

#[test]
fn the_steps_of_a_stop_come_in_order_even_in_a_short_grace_period() {
    for grace_ms in [0, 500, 1_000, 3_000, 6_000, 10_000] {
        let schedule = ShutdownSchedule::new(REQUESTED, Duration::from_millis(grace_ms));
        assert!(REQUESTED <= schedule.callers_drained_at() && schedule.callers_drained_at() <= schedule.process_end());
        assert!(REQUESTED <= schedule.gate_closes_at() && schedule.gate_closes_at() <= schedule.process_end());
    }
}

#[test]
fn nearly_all_calls_end_within_the_upper_bound_of_their_route() {
    let (route, mut durations): (Arc<str>, _) = (Arc::from("chain"), RouteDurations::default());
    assert_eq!(durations.upper_bound(&route), None);
    let sample = |number: u64| Duration::from_millis(1_500 + number * 37 % 600);
    (0..50).for_each(|number| durations.record(&route, sample(number)));
    let bound = durations.upper_bound(&route).expect("it was measured");
    let within = (50..250).filter(|number| sample(*number) <= bound).count();
    assert!(within >= 198 && bound < Duration::from_secs(3), "{within} of 200 within {bound:?}");
    assert_eq!(durations.upper_bound("other"), None);
    let mean = durations.mean(&route).expect("it was measured");
    assert!(mean > Duration::from_millis(1_600) && mean < Duration::from_millis(2_000), "{mean:?}");
    assert_eq!(durations.needed(&route, Retryability::Retryable), Some(mean));
    assert_eq!(durations.needed(&route, Retryability::AtMostOnce), Some(bound));
    durations.record_streamed(&route, Duration::from_secs(4));
    let until_end = durations.needed(&route, Retryability::Retryable).expect("it was measured");
    assert!(until_end >= Duration::from_secs(4), "{until_end:?}");
}

// A response may be given up only in the last sixth of the grace period, and those behind it need time to be written.
#[test_case(2_000, 1_600; "a grace period that leaves no such time")]
#[test_case(6_000, 5_200)]
#[test_case(30_000, 29_200)]
fn responses_are_given_up_for_those_behind_them_shortly_before_the_end(grace_ms: u64, expected_ms: u64) {
    let grace = Duration::from_millis(grace_ms);
    let schedule = ShutdownSchedule::new(REQUESTED, grace);
    assert_eq!(schedule.unblocks_at(), after(expected_ms));
}
