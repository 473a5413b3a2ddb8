//! The rate limits of targets in a simulated fleet on a virtual clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::balance::{Choice, Exclusions, LoadBalancer, ZonePreference};
use quillhatch_mesh::target_limit::{
    AnnouncedLimit, KnownLimit, Precedence, RateLimitTable, RateLimited, TargetRateLimiter,
};
use quillhatch_mesh::targets::{Registration, RunningAt, Target, TargetId};
use quillhatch_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

/// The window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// How long a response takes, in milliseconds.
const RESPONSE_TIME_MS: u64 = 100;
/// The part of its limit that a target gets at least while more is wanted.
const MIN_USED_SHARE: f64 = 0.9;

/// The share of calls that a gate may refuse before another one accepts them.
const MAX_REFUSED_SHARE: f64 = 0.1;

fn target(number: usize) -> Arc<Target> {
    let registration = Registration {
        service: Arc::from("alpha"),
        address: SocketAddr::from(([10, 0, 0, number as u8], 80)),
        zone: Arc::from("zone"),
        slots: 1000,
        draining: false,
        cold_for: Duration::ZERO,
        started: 1,
        sequence: 1,
    };
    let id = TargetId::from(format!("t{number}"));
    Arc::new(Target { id, registration, cold_until: Timestamp::ZERO, listed_at: Timestamp::ZERO })
}

/// A report on its way to the edge.
struct Response {
    arrives: u64,
    edge: usize,
    target: usize,
    report: KnownLimit,
}

/// Edges that send calls to targets through their gates.
struct Fleet {
    now: u64,
    targets: Vec<Arc<Target>>,
    /// The limit that each target names.
    limits: Vec<Option<f64>>,
    gates: Vec<TargetRateLimiter>,
    edges: Vec<LoadBalancer>,
    responses: Vec<Response>,
    random: Pcg64,
    /// The times in milliseconds at which each target received requests.
    received: Vec<Vec<u64>>,
    /// The refusals of single gates, and of calls by all of them.
    gate_refusals: usize,
    refused: Vec<RateLimited>,
}

impl Fleet {
    fn new(edges: usize, limits: &[Option<f64>], seed: u64) -> Self {
        Fleet {
            now: 0,
            targets: (0..limits.len()).map(target).collect(),
            limits: limits.to_vec(),
            gates: limits.iter().map(|_| TargetRateLimiter::new(Timestamp::ZERO)).collect(),
            edges: vec![LoadBalancer::default(); edges],
            responses: Vec::new(),
            random: Pcg64::seed_from_u64(seed),
            received: vec![Vec::new(); limits.len()],
            gate_refusals: 0,
            refused: Vec::new(),
        }
    }

    /// Sends `rate` calls per second from the first `senders` edges.
    fn run(&mut self, ms: u64, rate: f64, senders: usize) {
        for _ in 0..ms {
            self.now += 1;
            self.deliver_responses();
            let mut expected_calls = rate / 1000.0;
            while expected_calls > 0.0 {
                if self.random.gen::<f64>() < expected_calls.min(1.0) {
                    let edge = self.random.gen_range(0..senders);
                    self.call(edge, 0);
                }
                expected_calls -= 1.0;
            }
        }
    }

    fn deliver_responses(&mut self) {
        let now = Timestamp::from_millis(self.now);
        let (arrived, pending) = std::mem::take(&mut self.responses).into_iter().partition(|it| it.arrives <= self.now);
        self.responses = pending;
        for Response { edge, target, report, .. } in arrived {
            let limit = self.limits[target];
            self.gates[target].record_response(&self.targets[target].id, limit, RunningAt(self.now), now);
            self.edges[edge].record_rate_limit(&self.targets[target].id, report, now);
        }
    }

    /// Sends a call to one gate after the other until one accepts it; returns the target.
    fn call(&mut self, edge: usize, priority: u8) -> Option<usize> {
        let now = Timestamp::from_millis(self.now);
        let preference = ZonePreference { local_zone: "zone", cross_zone_cost: 0.0 };
        let mut tried: Vec<TargetId> = Vec::new();
        let mut refusal: Option<RateLimited> = None;
        loop {
            let excluded = Exclusions { tried: &tried, over_limit: refusal.is_some() };
            let chosen = self.edges[edge].choose(&self.targets, excluded, preference, now, &mut self.random);
            let Some(chosen) = chosen else {
                self.refused.push(refusal.expect("a gate has refused the call"));
                return None;
            };
            let Choice { target: chosen, is_over_limit } = chosen;
            let number = self.targets.iter().position(|target| target.id == chosen.id).expect("a target");
            let gate = &mut self.gates[number];
            let precedence = Precedence::new(priority, true, 4);
            let admitted = gate.admit(precedence, is_over_limit, now).and_then(|()| gate.take(now));
            let report = gate.report(&chosen.id, now);
            match admitted {
                Ok(()) => {
                    self.received[number].push(self.now);
                    self.responses.push(Response {
                        arrives: self.now + RESPONSE_TIME_MS,
                        edge,
                        target: number,
                        report,
                    });
                    return Some(number);
                }
                Err(refused) => {
                    self.gate_refusals += 1;
                    self.edges[edge].record_rate_limit(&chosen.id, report, now);
                    refusal = Some(refused);
                    tried.push(chosen.id.clone());
                }
            }
        }
    }

    /// The most requests that a target received in any window that begins after `from`.
    fn max_in_window(&self, target: usize, from: u64) -> usize {
        let times: Vec<u64> = self.received[target].iter().copied().filter(|at| *at >= from).collect();
        let in_window = |first: &u64| times.iter().filter(|at| (*first..*first + WINDOW_MS).contains(at)).count();
        times.iter().map(in_window).max().unwrap_or(0)
    }

    fn received_between(&self, target: usize, from: u64, until: u64) -> f64 {
        self.received[target].iter().filter(|at| (from..until).contains(at)).count() as f64
    }
}

fn max_allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1000.0 + 5.0) as usize
}

#[test_case(1, 1; "one machine")]
#[test_case(14, 14; "few machines")]
#[test_case(300, 3; "three of many machines")]
#[test_case(300, 300; "many machines")]
#[test_case(985, 985; "the whole fleet")]
fn a_limited_target_gets_what_it_accepts_and_the_rest_goes_elsewhere(edges: usize, senders: usize) {
    for limit in [0.8, 4.1, 9.9, 60.0] {
        for seed in 0..5 {
            let mut fleet = Fleet::new(edges, &[Some(limit), None, None, None], seed);
            fleet.run(2_000, 400.0, senders);
            let from = fleet.now;
            fleet.run(20_000, 400.0, senders);
            let most = fleet.max_in_window(0, from);
            assert!(most <= max_allowed(limit), "{most} requests in a window with limit {limit}, seed {seed}");
            assert!(fleet.refused.is_empty(), "the others have room");
        }
    }
}

#[test_case(1, 1; "one machine")]
#[test_case(14, 14; "few machines")]
#[test_case(300, 3; "three of many machines")]
#[test_case(300, 300; "many machines")]
fn targets_get_nearly_all_that_they_accept_while_more_is_wanted(edges: usize, senders: usize) {
    for limits in [[4.1, 9.9], [0.8, 60.0], [25.0, 25.0]] {
        for seed in 0..5 {
            let mut fleet = Fleet::new(edges, &limits.map(Some), seed);
            fleet.run(3_000, 200.0, senders);
            let from = fleet.now;
            fleet.run(20_000, 200.0, senders);
            for (target, limit) in limits.iter().enumerate() {
                let most = fleet.max_in_window(target, from);
                assert!(most <= max_allowed(*limit), "{most} requests in a window with limit {limit}");
                let used = fleet.received_between(target, from, fleet.now) / (limit * 20.0);
                assert!(used >= MIN_USED_SHARE, "{used:.2} of {limit} calls per second used, seed {seed}");
            }
        }
    }
}

#[test_case(14; "few machines")]
#[test_case(300; "many machines")]
fn calls_that_exceed_a_limit_are_kept_away_from_its_gate(edges: usize) {
    for limit in [4.1, 9.9] {
        let mut fleet = Fleet::new(edges, &[Some(limit), None, None, None], 1);
        fleet.run(8_000, 400.0, edges);
        fleet.gate_refusals = 0;
        fleet.run(20_000, 400.0, edges);
        let refused_share = fleet.gate_refusals as f64 / (400.0 * 20.0);
        assert!(refused_share <= MAX_REFUSED_SHARE, "{refused_share:.3} of all calls, with a limit of {limit}");
    }
}

#[test]
fn a_limit_that_changes_holds_at_once_and_is_used_again_soon() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(30, &[Some(40.0), None], seed);
        fleet.run(6_000, 300.0, 30);
        fleet.limits[0] = Some(4.0);
        fleet.run(RESPONSE_TIME_MS + 100, 300.0, 30);
        let lowered = fleet.now;
        fleet.run(8_000, 300.0, 30);
        let most = fleet.max_in_window(0, lowered);
        assert!(most <= max_allowed(4.0), "{most} requests in a window, seed {seed}");
        fleet.limits[0] = Some(40.0);
        fleet.run(4_000, 300.0, 30);
        let raised = fleet.now;
        fleet.run(6_000, 300.0, 30);
        let used = fleet.received_between(0, raised, fleet.now) / (40.0 * 6.0);
        assert!(used >= MIN_USED_SHARE, "{used:.2} of the raised limit used, seed {seed}");
        fleet.limits[0] = None;
        fleet.run(4_000, 300.0, 30);
        let given_up = fleet.now;
        fleet.run(4_000, 300.0, 30);
        let received = fleet.received_between(0, given_up, fleet.now) / 4.0;
        assert!(received > 100.0, "{received} requests per second without a limit, seed {seed}");
    }
}

#[test]
fn greater_priorities_come_first_when_all_targets_are_limited() {
    let mut fleet = Fleet::new(14, &[Some(20.0), Some(20.0)], 3);
    let mut served = [0.0_f64; 4];
    for call in 0..6_000_u64 {
        fleet.run(10, 0.0, 14);
        let priority = (call % 4) as u8;
        let edge = (call % 14) as usize;
        served[usize::from(priority)] += f64::from(u8::from(fleet.call(edge, priority).is_some()));
    }
    let share = served.map(|served| served / 1_500.0);
    assert!(share[0] > 0.9 && share[3] < share[1], "{share:?}");
}

#[test]
fn a_refused_call_is_told_to_wait_for_its_turn() {
    let mut fleet = Fleet::new(14, &[Some(10.0)], 5);
    fleet.run(6_000, 100.0, 14);
    fleet.refused.clear();
    fleet.run(10_000, 100.0, 14);
    let waits: f64 = fleet.refused.iter().map(|refused| refused.wait.as_secs_f64()).sum();
    let mean = waits / fleet.refused.len() as f64;
    // Ten calls compete for each of ten tokens a second.
    assert!((0.3..3.0).contains(&mean), "{mean:.2} s on average");
}

fn per_second(limit: KnownLimit) -> Option<f64> {
    match limit {
        KnownLimit::Limited(report) => Some(report.limit.per_second),
        KnownLimit::Unknown | KnownLimit::Unlimited(_) => None,
    }
}

fn announced(per_second: f64, running_at: u64) -> AnnouncedLimit {
    AnnouncedLimit { per_second, running_at: RunningAt(running_at) }
}

#[test]
fn a_restarted_gate_takes_the_lowest_limit_of_edges_until_its_target_responds() {
    let now = Timestamp::from_millis;
    let mut gate = TargetRateLimiter::new(now(0));
    for (known, counts) in [(4.0, 4.0), (2.5, 2.5), (4.0, 2.5)] {
        gate.record_edge_knowledge("t", announced(known, 1), now(0));
        assert_eq!(per_second(gate.report("t", now(0))), Some(counts));
    }
    gate.record_response("t", None, RunningAt(10), now(10));
    gate.record_edge_knowledge("t", announced(4.0, 20), now(20));
    assert_eq!(gate.report("t", now(20)), KnownLimit::Unlimited(RunningAt(10)), "the target knows better");
    gate.record_edge_knowledge("other", announced(3.0, 30), now(30));
    assert_eq!(per_second(gate.report("other", now(30))), Some(3.0), "another target has not responded");
}

#[test]
fn a_gate_that_does_not_know_a_limit_does_not_make_edges_forget_it() {
    let now = Timestamp::from_millis;
    let (t, mut table) = (TargetId::from("t"), RateLimitTable::default());
    let mut gate = TargetRateLimiter::new(now(0));
    gate.record_response("t", Some(4.0), RunningAt(1), now(0));
    table.record(&t, gate.report("t", now(0)), now(0));
    let mut restarted = TargetRateLimiter::new(now(10));
    table.record(&t, restarted.report("t", now(10)), now(10));
    assert_eq!(
        table.limit("t").map(|limit| limit.per_second),
        Some(4.0),
        "it has refused a call without any response of the target"
    );
    restarted.record_response("other", None, RunningAt(20), now(20));
    table.record(&t, restarted.report("t", now(20)), now(20));
    assert_eq!(table.limit("t").map(|limit| limit.per_second), Some(4.0), "another target has responded");
    restarted.record_response("t", None, RunningAt(30), now(30));
    table.record(&t, restarted.report("t", now(30)), now(30));
    assert_eq!(table.limit("t"), None);
}

#[test]
fn a_limit_ends_only_with_a_process_that_started_after_it_was_announced() {
    let now = Timestamp::from_millis;
    let (t, mut table) = (TargetId::from("t"), RateLimitTable::default());
    let mut gate = TargetRateLimiter::new(now(0));
    gate.record_response("t", Some(4.0), RunningAt(20), now(0));
    table.record(&t, gate.report("t", now(0)), now(0));
    for (started, is_known) in [(15, true), (20, true), (21, false)] {
        gate.forget_before(started);
        table.forget_before("t", started);
        let known = (per_second(gate.report("t", now(10))).is_some(), table.limit("t").is_some());
        assert_eq!(known, (is_known, is_known), "process started at {started}");
    }
}

#[test]
fn a_late_report_does_not_replace_that_of_a_later_process() {
    let now = Timestamp::from_millis;
    let (t, mut table) = (TargetId::from("t"), RateLimitTable::default());
    let mut gate = TargetRateLimiter::new(now(0));
    gate.record_response("t", Some(9.0), RunningAt(10), now(0));
    gate.record_response("t", None, RunningAt(10), now(0));
    let late = gate.report("t", now(0));
    gate.record_response("t", Some(4.0), RunningAt(20), now(10));
    table.record(&t, gate.report("t", now(10)), now(10));
    table.record(&t, late, now(20));
    assert_eq!(table.limit("t"), Some(announced(4.0, 20)));
    table.record(&t, KnownLimit::Unlimited(RunningAt::default()), now(30));
    assert_eq!(table.limit("t"), None, "a gate of the former version reports no time");
}
