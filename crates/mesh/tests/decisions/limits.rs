//! Limits of tenants, one decision at a time; `tests/limits` simulates a whole fleet on a virtual clock.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::limits::{
    coordinator_candidates, report_period, CoordinatorChoice, LimitBounds, LimitCoordinator, LocalLimits, TenantShare,
    TenantUsage,
};
use quillhatch_mesh::tenants::{RateLimit, Tenant};

use crate::milliseconds;

const BOUNDS: LimitBounds = LimitBounds { window: Duration::from_secs(5), tolerance: 0.25, slack: 20.0 };
const PERIOD: Duration = Duration::from_millis(300);

fn tenant(rate: f64) -> Tenant {
    Tenant { name: Arc::from("first"), priority: 0, limit: Some(RateLimit { rate, burst: rate }) }
}

fn machine(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

fn usage(arriving: f64, admitted: f64) -> Vec<TenantUsage> {
    vec![TenantUsage { tenant: Arc::from("first"), arriving, admitted }]
}

#[test]
fn all_calls_of_a_tenant_without_a_limit_are_admitted() {
    let mut limits = LocalLimits::new(BOUNDS);
    let tenant = Tenant { limit: None, ..tenant(1.0) };
    for at in 0..1000 {
        assert!(limits.admit(&tenant, 82, PERIOD, 0.5, milliseconds(at)).is_ok());
    }
}

#[test]
fn the_share_of_the_coordinator_is_admitted_evenly() {
    let mut limits = LocalLimits::new(BOUNDS);
    let tenant = tenant(100.0);
    let _ = limits.admit(&tenant, 82, PERIOD, 0.0, milliseconds(0));
    limits.apply_shares(&[TenantShare { tenant: tenant.name.clone(), share: 0.25 }], milliseconds(0));
    let admitted: Vec<bool> =
        (0..400).map(|at| limits.admit(&tenant, 82, PERIOD, 0.0, milliseconds(at)).is_ok()).collect();
    assert_eq!(admitted.iter().filter(|admitted| **admitted).count(), 100);
    assert!(admitted.chunks(8).all(|eight| eight.iter().filter(|admitted| **admitted).count() == 2));
}

#[test]
fn the_retry_delay_of_a_refusal_grows_with_the_excess_of_the_tenant() {
    let mut limits = LocalLimits::new(BOUNDS);
    let tenant = tenant(100.0);
    let _ = limits.admit(&tenant, 82, PERIOD, 0.0, milliseconds(0));
    let mut delays = Vec::new();
    for share in [0.9, 0.5, 0.0] {
        limits.apply_shares(&[TenantShare { tenant: tenant.name.clone(), share }], milliseconds(1));
        let refused = (0..20).find_map(|_| limits.admit(&tenant, 82, PERIOD, 0.5, milliseconds(1)).err());
        delays.push(refused.expect("a refusal").retry_after);
    }
    assert!(delays[0] < delays[1] && delays[1] < delays[2], "{delays:?}");
    assert!(delays[2] <= Duration::from_secs(7), "{delays:?}");
}

#[test]
fn a_node_without_a_coordinator_admits_its_part() {
    let tenant = tenant(164.0);
    let mut limits = LocalLimits::new(BOUNDS);
    let admitted = (0..10_000).filter(|at| limits.admit(&tenant, 82, PERIOD, 0.0, milliseconds(*at)).is_ok()).count();
    // Ten seconds at two calls per second plus the fraction of the tolerance, and the burst.
    assert!((22..=26).contains(&admitted), "{admitted}");
}

#[test]
fn a_share_expires_soon_after_the_last_response() {
    let tenant = tenant(82.0);
    let mut limits = LocalLimits::new(BOUNDS);
    let _ = limits.admit(&tenant, 82, PERIOD, 0.0, milliseconds(0));
    limits.apply_shares(&[], milliseconds(0));
    assert!(limits.has_coordinator(PERIOD, milliseconds(1300)));
    assert!(!limits.has_coordinator(PERIOD, milliseconds(1400)));
}

#[test]
fn a_call_that_did_not_run_is_refunded() {
    let tenant = tenant(100.0);
    let mut limits = LocalLimits::new(BOUNDS);
    for at in 0..50 {
        let _ = limits.admit(&tenant, 1, PERIOD, 0.5, milliseconds(at));
        limits.refund(&tenant.name, milliseconds(at));
    }
    let report = limits.report(milliseconds(50));
    assert!(report[0].arriving > 50.0 && report[0].admitted < 1.0, "{report:?}");
}

#[test]
fn the_share_of_a_coordinator_reduces_the_calls_to_the_limit() {
    let limit = RateLimit { rate: 100.0, burst: 0.0 };
    let mut coordinator = LimitCoordinator::new(BOUNDS);
    let mut share = 1.0;
    for round in 0..40 {
        for node in 0..10 {
            let now = milliseconds(round * 300 + u64::from(node) * 30);
            let shares =
                coordinator.apply_report(machine(node), usage(40.0, 40.0 * share), |_| Some(limit), (10, PERIOD), now);
            share = shares.first().map_or(1.0, |tenant| tenant.share);
        }
    }
    assert!((share - 0.25).abs() < 0.02, "{share}");
}

#[test]
fn a_coordinator_hands_out_the_part_of_the_nodes_that_report_to_it() {
    let limit = RateLimit { rate: 100.0, burst: 0.0 };
    let mut share = 1.0;
    let mut coordinator = LimitCoordinator::new(BOUNDS);
    for round in 0..40 {
        let now = milliseconds(round * 300);
        let shares =
            coordinator.apply_report(machine(1), usage(400.0, 400.0 * share), |_| Some(limit), (10, PERIOD), now);
        share = shares.first().map_or(1.0, |tenant| tenant.share);
    }
    // One of ten nodes: a tenth of the rate and of the fraction of the tolerance.
    assert!((share * 400.0 - 11.5).abs() < 1.0, "{share}");
}

#[test]
fn a_tenant_without_calls_has_its_burst_but_not_at_a_new_coordinator() {
    let limit = RateLimit { rate: 100.0, burst: 100.0 };
    let share_at = |coordinator: &mut LimitCoordinator, at: u64| {
        let shares =
            coordinator.apply_report(machine(1), usage(200.0, 0.0), |_| Some(limit), (1, PERIOD), milliseconds(at));
        shares.first().map_or(1.0, |tenant| tenant.share)
    };
    let mut new_coordinator = LimitCoordinator::new(BOUNDS);
    assert!((share_at(&mut new_coordinator, 0) - 0.5).abs() < 0.01);
    let mut settled_coordinator = LimitCoordinator::new(BOUNDS);
    for at in (0..3000).step_by(300) {
        settled_coordinator.apply_report(machine(1), Vec::new(), |_| Some(limit), (1, PERIOD), milliseconds(at));
    }
    assert!((share_at(&mut settled_coordinator, 3000) - 1.0).abs() < 0.01);
}

#[test]
fn the_next_candidate_is_selected_when_one_times_out_and_the_first_is_retried_later() {
    let order = coordinator_candidates(vec![machine(3), machine(1), machine(2), machine(1)]);
    assert_eq!(order.len(), 3, "each machine once");
    assert_eq!(order, coordinator_candidates(vec![machine(1), machine(2), machine(3)]), "the same at all nodes");
    let mut choice = CoordinatorChoice::default();
    let selected: Vec<_> = (0..4).map(|at| choice.next(&order, milliseconds(at * 300))).collect();
    assert_eq!(selected, [Some(order[0]), Some(order[0]), Some(order[0]), Some(order[1])]);
    choice.record_response();
    assert_eq!(choice.next(&order, milliseconds(1200)), Some(order[1]));
    choice.record_response();
    assert_eq!(choice.next(&order, milliseconds(2900)), Some(order[0]), "after two seconds");
    assert_eq!(choice.next(&[], milliseconds(2950)), None);
}

#[test]
fn larger_fleets_report_less_often() {
    assert_eq!(report_period(82), PERIOD);
    assert_eq!(report_period(300), Duration::from_millis(375));
}

#[test]
fn a_coordinator_sends_no_shares_before_all_nodes_had_time_to_report() {
    let mut coordinator = LimitCoordinator::new(BOUNDS);
    assert!(!coordinator.is_settled(PERIOD, milliseconds(0)), "no node has reported");
    let limit = RateLimit { rate: 10.0, burst: 10.0 };
    coordinator.apply_report(machine(1), Vec::new(), |_| Some(limit), (2, PERIOD), milliseconds(1_000));
    assert!(!coordinator.is_settled(PERIOD, milliseconds(1_000) + PERIOD.mul_f64(1.1)), "the slowest node reports now");
    assert!(coordinator.is_settled(PERIOD, milliseconds(1_000) + PERIOD.mul_f64(1.2)));
}
