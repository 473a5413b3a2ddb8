//! Explores all schedules of a small fleet: two readers fail, each in any way and at any of some moments, with or
//! without a failure of the third one, a restored store after an outage of any of some lengths, and a drain.
//!
//! The decisions and their timeouts are those of the product, on a virtual clock. Each broken rule is noticed in some
//! schedule.

use std::time::Duration;

use quillhatch_mesh::replica::{Change, Position};
use test_case::test_case;

use crate::fleet::{Fleet, Mutation, BOUNDS};
use crate::node::{NodeFault, StoreAccess};

const NODES: usize = 8;
const ZONES: usize = 2;
/// The delays in milliseconds from the failure of the first reader to that of the second, and from that to the drain.
const DELAYS_MS: [u64; 3] = [0, 350, 1_100];
/// The durations of the outage of the store before an era change, in milliseconds.
const OUTAGES_MS: [u64; 2] = [0, 2_600];
/// The number of changes that the backup lacks from which the store is restored.
const LOST_CHANGES: usize = 1;
/// How long after the store is restored the target registers again whose registration the backup lacks, in
/// milliseconds.
const REREGISTRATION_DELAY_MS: u64 = 600;

/// A failure of a reader: its own fault, and how the store responds to it.
type Failure = (NodeFault, StoreAccess);

const FAILURES: [Failure; 6] = [
    (NodeFault::None, StoreAccess::Available),
    (NodeFault::None, StoreAccess::Refused),
    (NodeFault::None, StoreAccess::Unresponsive),
    (NodeFault::Crashed, StoreAccess::Available),
    (NodeFault::Unresponsive, StoreAccess::Available),
    (NodeFault::FalseStatus, StoreAccess::Available),
];

/// The failures of the third reader, which fails at the same time as the first one.
const THIRD_FAILURES: [Failure; 3] = [
    (NodeFault::None, StoreAccess::Available),
    (NodeFault::None, StoreAccess::Unresponsive),
    (NodeFault::Crashed, StoreAccess::Available),
];

/// Whether the store is restored from a backup, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EraChange {
    None,
    BeforeDrain,
    AfterDrain,
}

const ERA_CHANGES: [EraChange; 3] = [EraChange::None, EraChange::BeforeDrain, EraChange::AfterDrain];

#[derive(Clone, Copy, Debug)]
struct Schedule {
    failures: [Failure; 2],
    third_failure: Failure,
    /// The duration of the store's outage before the era change, in milliseconds.
    outage_ms: u64,
    second_failure_after_ms: u64,
    drain_after_ms: u64,
    era_change: EraChange,
}

fn schedules() -> Vec<Schedule> {
    let mut all = Vec::new();
    for (first, second) in pairs(&FAILURES, &FAILURES) {
        for (third_failure, outage_ms) in pairs(&THIRD_FAILURES, &OUTAGES_MS) {
            for (second_failure_after_ms, drain_after_ms) in pairs(&DELAYS_MS, &DELAYS_MS) {
                for era_change in ERA_CHANGES {
                    let failures = [first, second];
                    all.push(Schedule {
                        failures,
                        third_failure,
                        outage_ms,
                        second_failure_after_ms,
                        drain_after_ms,
                        era_change,
                    });
                }
            }
        }
    }
    all
}

fn pairs<A: Copy, B: Copy>(firsts: &[A], seconds: &[B]) -> Vec<(A, B)> {
    firsts.iter().flat_map(|first| seconds.iter().map(|second| (*first, *second))).collect()
}

/// The description of a violated promise.
type Violation = String;

/// A fleet, and what its nodes know and must not lose.
struct ObservedFleet {
    fleet: Fleet,
    /// The position that each node has reached.
    positions: Vec<Position>,
    /// Whether each node knows that the target drains.
    knows_drain: Vec<bool>,
    /// The node whose target drains.
    draining_node: usize,
}

impl ObservedFleet {
    fn new(mutation: Option<Mutation>, has_standby_watches: bool) -> Self {
        let mut fleet = Fleet::new(NODES, ZONES, 11);
        fleet.mutation = mutation;
        fleet.has_standby_watches = has_standby_watches;
        let readers = fleet.readers();
        let draining_node = (0..NODES).find(|number| !readers.contains(number)).expect("few nodes read");
        let positions = fleet.nodes.iter().map(|node| node.position()).collect();
        ObservedFleet { fleet, positions, knows_drain: vec![false; NODES], draining_node }
    }

    fn knows_drain_at(&self, number: usize) -> bool {
        let node = &self.fleet.nodes[number];
        let everything = node.replica.update_since(Position::default(), self.fleet.now);
        let id = format!("t-{}", self.draining_node);
        everything.is_some_and(|update| {
            update.changes.iter().any(|revised| match &revised.change {
                Change::Target(target, registration) => **target == *id && registration.draining,
                _ => false,
            })
        })
    }

    /// Runs the fleet, and checks that no node goes back to an earlier position or loses the drain.
    fn run(&mut self, ms: u64) -> Result<(), Violation> {
        let end = self.fleet.now + Duration::from_millis(ms);
        while self.fleet.now < end {
            self.fleet.tick();
            for number in 0..NODES {
                let position = self.fleet.nodes[number].position();
                if position == self.positions[number] {
                    continue;
                }
                if position < self.positions[number] {
                    return Err(format!(
                        "node {number} goes back from position {:?} to {position:?}",
                        self.positions[number]
                    ));
                }
                self.positions[number] = position;
                let knows_drain = self.knows_drain_at(number);
                if self.knows_drain[number] && !knows_drain {
                    return Err(format!("node {number} loses the drain"));
                }
                self.knows_drain[number] = knows_drain;
            }
        }
        Ok(())
    }

    fn inject(&mut self, reader: usize, (fault, access): Failure) {
        let node = &mut self.fleet.nodes[reader];
        (node.fault, node.store_access) = (fault, access);
    }

    fn change_era(&mut self, outage_ms: u64, is_drain_lost: bool) -> Result<(), Violation> {
        let (drained, other) = (self.draining_node, (self.draining_node + 1) % NODES);
        self.fleet.set_down(true);
        self.run(outage_ms)?;
        self.fleet.set_down(false);
        self.fleet.restore(LOST_CHANGES);
        self.run(REREGISTRATION_DELAY_MS)?;
        let (number, draining) = if is_drain_lost { (drained, true) } else { (other, false) };
        self.fleet.set_draining(number, draining, 9);
        Ok(())
    }

    /// Checks that all connected nodes learn of the drain within `bound` from now.
    fn all_know_drain_within(&mut self, bound: Duration) -> Result<(), Violation> {
        let start = self.fleet.now;
        loop {
            let behind =
                (0..NODES).find(|number| self.fleet.nodes[*number].is_connected() && !self.knows_drain_at(*number));
            let Some(behind) = behind else { return Ok(()) };
            if self.fleet.now.since(start) > bound {
                return Err(format!("node {behind} does not know the drain after {bound:?}"));
            }
            self.run(50)?;
        }
    }
}

/// Runs a schedule, and checks all promises.
fn run(schedule: Schedule, mutation: Option<Mutation>, has_standby_watches: bool) -> Result<(), Violation> {
    let mut observed = ObservedFleet::new(mutation, has_standby_watches);
    let readers = observed.fleet.readers();
    observed.fleet.set_draining((observed.draining_node + 1) % NODES, false, 8);
    observed.run(1_500)?;
    observed.inject(readers[0], schedule.failures[0]);
    observed.inject(readers[2], schedule.third_failure);
    observed.run(schedule.second_failure_after_ms)?;
    observed.inject(readers[1], schedule.failures[1]);
    observed.run(schedule.drain_after_ms)?;
    if schedule.era_change == EraChange::BeforeDrain {
        observed.change_era(schedule.outage_ms, false)?;
    }
    observed.fleet.set_draining(observed.draining_node, true, 9);
    if schedule.era_change == EraChange::AfterDrain {
        observed.run(200)?;
        observed.change_era(schedule.outage_ms, true)?;
    }
    // In a new era, the next node that reads the store must list everything.
    let bound = if schedule.era_change == EraChange::None { BOUNDS.drain } else { BOUNDS.recovery };
    observed.all_know_drain_within(bound - Duration::from_millis(500))?;
    // The readers recover. Soon after that no node reports a loss of access any more.
    for reader in &readers {
        observed.inject(*reader, FAILURES[0]);
    }
    observed.run(BOUNDS.recovery.as_millis() as u64)?;
    let lost = observed.fleet.nodes.iter().position(|node| node.own_call_failed || node.loss.since().is_some());
    lost.map_or(Ok(()), |number| Err(format!("node {number} still reports a loss")))
}

impl Schedule {
    /// Whether no reader works, and at least one of them responds with a false status.
    fn depends_on_false_status(&self) -> bool {
        let readers = [self.failures[0], self.failures[1], self.third_failure];
        let is_working = |reader: &Failure| *reader == FAILURES[0];
        let has_false_status = |(fault, _): &Failure| *fault == NodeFault::FalseStatus;
        readers.iter().any(has_false_status) && !readers.iter().any(is_working)
    }
}

fn run_all(schedules: impl Iterator<Item = Schedule>, has_standby_watches: bool) {
    for schedule in schedules {
        if let Err(violation) = run(schedule, None, has_standby_watches) {
            panic!("{violation}: {schedule:?}");
        }
    }
}

#[test_case(true; "with standby watches")]
#[test_case(false; "without standby watches")]
fn no_schedule_of_failing_readers_an_era_change_and_a_drain_breaks_a_promise(has_standby_watches: bool) {
    run_all(schedules().into_iter().filter(|schedule| !schedule.depends_on_false_status()), has_standby_watches);
}

#[test]
fn a_reader_with_a_false_status_delays_no_drain_when_the_other_readers_fail() {
    run_all(schedules().into_iter().filter(Schedule::depends_on_false_status), true);
}

#[test]
fn some_schedule_detects_missing_standby_watches() {
    let mut schedules = schedules().into_iter().filter(Schedule::depends_on_false_status);
    assert!(schedules.any(|schedule| run(schedule, None, false).is_err()));
}

#[test_case(Mutation::ForgetsOnNewEra; "a node discards its replica in a new era")]
#[test_case(Mutation::AppliesEarlierEras; "updates of an earlier era are applied")]
#[test_case(Mutation::FollowsAnySource; "any source that reports access to the store is followed")]
#[test_case(Mutation::WaitsForReaders; "nodes wait for readers that hang")]
#[test_case(Mutation::NeverVerifiesAccess; "a failed call counts forever")]
fn some_schedule_detects_a_broken_rule(mutation: Mutation) {
    let mut schedules = schedules().into_iter().filter(|schedule| !schedule.depends_on_false_status());
    // Standby watches make up for some broken rules of the others, so these are shown without them.
    let is_detected = schedules.any(|schedule| run(schedule, Some(mutation), false).is_err());
    assert!(is_detected, "{mutation:?} breaks no promise in any schedule");
}
