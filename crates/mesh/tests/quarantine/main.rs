//! Simulations of requests that crash targets, over all gates of a service, on a virtual clock.

mod fleet;

use fleet::{EvidenceHolder, Exchange, Fleet, Outcome, Scenario};
use test_case::test_case;

const SCENARIO: Scenario = Scenario {
    holder: EvidenceHolder::Gates,
    exchange: Exchange::Datagrams,
    nodes: 4,
    rate: 150.0,
    run_time_s: (0.05, 0.15),
    attempts: 2,
    crashing_rate: 8.0,
    datagram_loss: 0.02,
    partition: None,
    gate_restarts: &[],
    unrelated_crashes: &[],
    seed: 1,
    seconds: 30.0,
};

/// After the third crash all gates must know of it within this time, in seconds; then at most three more may follow.
const MAX_PROPAGATION_S: f64 = 3.0;
const MAX_LATER_CRASHES: usize = 3;
/// The maximum number of copies in transit at the third crash: 8 arrive a second, each runs for up to 0.3 s and is sent
/// twice.
const MAX_COPIES_IN_TRANSIT: usize = 8;

fn later_crashes(outcome: &Outcome) -> usize {
    let Some(third) = outcome.crashes.get(2) else { return 0 };
    outcome.crashes.iter().filter(|crash| **crash > third + MAX_PROPAGATION_S).count()
}

fn seeds() -> impl Iterator<Item = u64> {
    1..=10
}

#[test_case(Scenario { ..SCENARIO }; "four gates")]
#[test_case(Scenario { nodes: 34, rate: 400.0, ..SCENARIO }; "34 gates")]
#[test_case(Scenario { datagram_loss: 0.3, ..SCENARIO }; "a third of the datagrams lost")]
#[test_case(Scenario { crashing_rate: 1.0, ..SCENARIO }; "one copy per second")]
#[test_case(Scenario { gate_restarts: &[(0, 5.0), (1, 8.0), (2, 11.0), (0, 20.0)], ..SCENARIO }; "gates that restart")]
#[test_case(Scenario { partition: Some((1, 1.0, 20.0)), ..SCENARIO }; "one gate partitioned")]
fn crashes_are_bounded(scenario: Scenario) {
    for seed in seeds() {
        let outcome = Fleet::run(Scenario { seed, ..scenario });
        assert!(outcome.crashes.len() >= 3, "seed {seed}: the request is not refused before");
        // Each part counts for itself until it learns of the other.
        let parts = 1 + usize::from(scenario.partition.is_some());
        let max = (3 + MAX_COPIES_IN_TRANSIT) * parts;
        assert!(outcome.crashes.len() <= max, "seed {seed}: {} crashes", outcome.crashes.len());
        if scenario.partition.is_none() {
            assert!(later_crashes(&outcome) <= MAX_LATER_CRASHES, "seed {seed}: {:?}", outcome.crashes);
        }
    }
}

#[test_case(Scenario { ..SCENARIO }; "beside the crashing request")]
#[test_case(Scenario { nodes: 12, run_time_s: (0.3, 0.6), attempts: 4, ..SCENARIO }; "long calls with many attempts")]
#[test_case(Scenario { crashing_rate: 0.0, unrelated_crashes: &[(0, 5.0), (1, 5.0), (2, 5.0), (3, 5.0)], ..SCENARIO }; "all at once")]
#[test_case(Scenario { crashing_rate: 0.0, unrelated_crashes: &[(0, 5.0), (1, 7.0), (2, 9.0), (3, 11.0), (0, 13.0), (1, 15.0)], ..SCENARIO }; "one after the other")]
#[test_case(Scenario { crashing_rate: 0.0, unrelated_crashes: &[(0, 5.0), (1, 5.1), (2, 5.2), (3, 5.3), (0, 7.0), (1, 7.1)], ..SCENARIO }; "shortly after each other")]
fn other_requests_are_not_refused(scenario: Scenario) {
    for seed in seeds() {
        let outcome = Fleet::run(Scenario { seed, ..scenario });
        assert_eq!(outcome.refused_others, 0, "seed {seed}: of {}", outcome.others);
    }
}

/// Compares where evidence is stored and how it is exchanged. The figures are printed by
/// `cargo test -p quillhatch-mesh --test quarantine -- --nocapture broadcasts`.
#[test]
fn immediate_broadcasts_between_gates_bound_crashes_best() {
    let mut crashes = Vec::new();
    for (nodes, rate) in [(4, 150.0), (34, 400.0)] {
        for (holder, exchange) in [
            (EvidenceHolder::Nobody, Exchange::Datagrams),
            (EvidenceHolder::Edges, Exchange::Datagrams),
            (EvidenceHolder::Gates, Exchange::WithCalls),
            (EvidenceHolder::Gates, Exchange::Datagrams),
        ] {
            let mut sums = (0, 0, 0, 0);
            for seed in seeds() {
                let outcome = Fleet::run(Scenario { holder, exchange, nodes, rate, seed, ..SCENARIO });
                sums.0 += outcome.crashes.len();
                sums.1 += later_crashes(&outcome);
                sums.2 += outcome.refused_others;
                sums.3 += outcome.datagrams;
            }
            println!("{nodes} gates, {holder:?}, {exchange:?}: crashes {}, later than 3 s after the third {}, others refused {}, datagrams {}, in 10 runs", sums.0, sums.1, sums.2, sums.3);
            crashes.push((holder, exchange, sums.0));
        }
    }
    // Edges that inform all other edges do as well. But they count a lost response as a crash, and a fleet has many
    // more edges than a service has gates.
    for group in crashes.chunks(4) {
        let [nobody, edges, with_calls, broadcast] = [0, 1, 2, 3].map(|index| group[index].2);
        assert!(broadcast < nobody && broadcast < with_calls && broadcast * 4 <= edges * 5, "{group:?}");
    }
}
