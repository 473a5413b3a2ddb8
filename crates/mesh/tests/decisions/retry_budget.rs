//! The limit on retries.

use std::time::Duration;

use crate::milliseconds;
use quillhatch_mesh::admission_level::AdmissionLevel;
use quillhatch_mesh::retry_budget::RetryBudget;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

#[test]
fn a_budget_grants_its_share_and_nothing_without_calls() {
    let mut budget = RetryBudget::new(0.2, Duration::from_secs(10));
    assert!(!budget.try_retry(milliseconds(1)), "a new process does not know what the previous one has spent");
    for _ in 0..100 {
        budget.record_call(milliseconds(10));
    }
    let granted = |budget: &mut RetryBudget, now| (0..100).filter(|_| budget.try_retry(now)).count();
    assert_eq!(granted(&mut budget, milliseconds(20)), 15, "three quarters of the share");
    assert_eq!(granted(&mut budget, milliseconds(9_000)), 0, "the share is granted once");
    assert_eq!(granted(&mut budget, milliseconds(10_015)), 0, "the calls are out of the window");
    assert_eq!(granted(&mut budget, milliseconds(25_000)), 0, "no window grants more than the share of its calls");
}

#[test]
fn calls_that_arrive_again_after_a_retry_above_are_subtracted_from_the_budget() {
    let mut budget = RetryBudget::new(0.2, Duration::from_secs(10));
    for _ in 0..100 {
        budget.record_call(milliseconds(10));
    }
    for _ in 0..12 {
        budget.record_inherited_retry(milliseconds(15));
    }
    let granted = (0..100).filter(|_| budget.try_retry(milliseconds(20))).count();
    assert_eq!(granted, 3, "fifteen minus the twelve inherited ones");
}

/// A chain of services, each called once for a call of the one above; every call at every level fails once.
#[test]
fn retries_stay_within_their_share_at_every_depth_of_a_chain() {
    let (ratio, calls) = (0.2, 1_000);
    let mut retries = 0;
    for depth in 0..16 {
        let mut budget = RetryBudget::new(ratio, Duration::from_secs(10));
        for _ in 0..calls {
            budget.record_call(milliseconds(10));
        }
        for _ in 0..retries {
            budget.record_inherited_retry(milliseconds(10));
        }
        retries += (0..calls).filter(|_| budget.try_retry(milliseconds(20))).count();
        assert!(retries as f64 <= ratio * f64::from(calls), "{retries} at depth {depth}");
    }
}

#[test]
fn retries_at_the_two_ends_of_a_window_are_within_one_share() {
    let mut budget = RetryBudget::new(0.2, Duration::from_secs(10));
    let granted = |budget: &mut RetryBudget, now| (0..100).filter(|_| budget.try_retry(now)).count();
    let mut retries = 0;
    for (call_at, retry_at) in [(10, 950), (9_900, 10_020)] {
        for _ in 0..100 {
            budget.record_call(milliseconds(call_at));
        }
        retries += granted(&mut budget, milliseconds(retry_at));
    }
    assert!(retries <= 20, "{retries} retries within 9.1 s, of 100 calls in any window of 10 s");
}

#[test]
fn the_services_above_reduce_their_retries_before_a_budget_is_exceeded() {
    let mut budget = RetryBudget::new(0.2, Duration::from_secs(10));
    assert_eq!(budget.level_above(milliseconds(5)), AdmissionLevel::FULL, "nothing was retried");
    for _ in 0..100 {
        budget.record_call(milliseconds(10));
    }
    let mut levels = Vec::new();
    for _ in 0..20 {
        budget.record_inherited_retry(milliseconds(15));
        levels.push(budget.level_above(milliseconds(20)));
    }
    assert!(levels[..14].iter().all(|level| *level == AdmissionLevel::FULL), "{levels:?}");
    assert!(levels[14..18].is_sorted_by(|one, next| one > next), "{levels:?}");
    assert_eq!(levels[18].priority_share(), 0.0, "{levels:?}");
    assert_eq!(budget.level_above(milliseconds(25_000)), AdmissionLevel::FULL, "all is out of the window");
}

/// Few calls at many nodes, some of which are killed at each step and start anew; most calls fail for some seconds.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn all_processes_together_stay_within_the_bound_while_they_are_killed_and_started(seed: u64) {
    const NODES: usize = 15;
    const SLACK: f64 = 49.0;
    let window = Duration::from_secs(10);
    let mut random = Pcg64::seed_from_u64(seed);
    let mut budgets = vec![RetryBudget::new(0.2, window); NODES];
    let (mut calls, mut retries) = (Vec::new(), Vec::new());
    for step in 0..600_u64 {
        let now = milliseconds(step * 100);
        for budget in &mut budgets {
            if random.gen_bool(0.01) || (step % 150 == 0 && random.gen_bool(0.8)) {
                *budget = RetryBudget::new(0.2, window);
            }
            if random.gen_bool(0.2) {
                budget.record_call(now);
                calls.push(step);
                let fails = (120..260).contains(&(step % 300));
                let attempts = if fails { 4 } else { 0 };
                retries.extend((0..attempts).filter(|_| budget.try_retry(now)).map(|_| step));
            }
        }
    }
    let count = |events: &[u64], from: u64| events.iter().filter(|at| (from..from + 100).contains(*at)).count();
    for from in 100..500 {
        let most_calls = [from, from - 50, from - 100].map(|begin| count(&calls, begin)).into_iter().max();
        let allowed = 0.2 * most_calls.unwrap_or_default() as f64 + SLACK;
        let retried = count(&retries, from);
        assert!(retried as f64 <= allowed, "{retried} of {allowed} from step {from}");
    }
}
