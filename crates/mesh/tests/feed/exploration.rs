//! All schedules of a small fleet: two readers that fail in any two ways at any of some moments, with or without the third one, an outage
//! before an era change, and a drain.
//!
//! The decisions are those of the product, on a virtual clock with its real times. A wrong rule is caught by some schedule.

use std::time::Duration;

use quillhatch_mesh::replica::{Change, Position};
use test_case::test_case;

use crate::fleet::{Fleet, WrongRule, BOUNDS};
use crate::node::{Access, Ailment};

const NODES: usize = 8;
const ZONES: usize = 2;
/// When the second reader fails after the first one, and when the target leaves, in milliseconds.
const MOMENTS: [u64; 3] = [0, 350, 1_100];
/// How long the store is away before an era change, in milliseconds.
const OUTAGES: [u64; 2] = [0, 2_600];
/// The changes that the copy lacks from which the store comes back.
const LOST_CHANGES: usize = 1;
/// How long after its return the targets write again what the copy lacks, in milliseconds.
const WRITTEN_AGAIN_AFTER: u64 = 600;

/// How a reader fails.
type Failure = (Ailment, Access);

const FAILURES: [Failure; 6] = [
    (Ailment::None, Access::Served),
    (Ailment::None, Access::Refused),
    (Ailment::None, Access::Silent),
    (Ailment::Dead, Access::Served),
    (Ailment::Silent, Access::Served),
    (Ailment::Lies, Access::Served),
];

/// How the third reader fails, with the first one.
const THIRD_FAILURES: [Failure; 3] =
    [(Ailment::None, Access::Served), (Ailment::None, Access::Silent), (Ailment::Dead, Access::Served)];

/// Whether the store comes back from an older copy, and when.
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
    third: Failure,
    /// How long the store is away before it comes back, in milliseconds.
    outage: u64,
    second_after: u64,
    drain_after: u64,
    era_change: EraChange,
}

fn schedules() -> Vec<Schedule> {
    let mut all = Vec::new();
    for (first, second) in pairs(&FAILURES, &FAILURES) {
        for (third, outage) in pairs(&THIRD_FAILURES, &OUTAGES) {
            for (second_after, drain_after) in pairs(&MOMENTS, &MOMENTS) {
                for era_change in ERA_CHANGES {
                    let failures = [first, second];
                    all.push(Schedule { failures, third, outage, second_after, drain_after, era_change });
                }
            }
        }
    }
    all
}

fn pairs<A: Copy, B: Copy>(firsts: &[A], seconds: &[B]) -> Vec<(A, B)> {
    firsts.iter().flat_map(|first| seconds.iter().map(|second| (*first, *second))).collect()
}

/// What a schedule has shown to be wrong.
type Wrong = String;

/// A fleet, and what its nodes must not unlearn.
struct Watched {
    fleet: Fleet,
    reached: Vec<Position>,
    drained: Vec<bool>,
    leaving: usize,
}

impl Watched {
    fn new(rule: Option<WrongRule>) -> Self {
        let mut fleet = Fleet::new(NODES, ZONES, 11);
        fleet.wrong_rule = rule;
        let readers = fleet.readers();
        let leaving = (0..NODES).find(|number| !readers.contains(number)).expect("few nodes read");
        let reached = fleet.nodes.iter().map(|node| node.position()).collect();
        Watched { fleet, reached, drained: vec![false; NODES], leaving }
    }

    fn is_drained_at(&self, number: usize) -> bool {
        let node = &self.fleet.nodes[number];
        let everything = node.replica.update_since(Position::default(), self.fleet.now);
        let id = format!("t-{}", self.leaving);
        everything.is_some_and(|update| {
            update.changes.iter().any(|revised| match &revised.change {
                Change::Target(target, registration) => **target == *id && registration.draining,
                _ => false,
            })
        })
    }

    /// Plays on, and looks whether any node goes back.
    fn play(&mut self, ms: u64) -> Result<(), Wrong> {
        let end = self.fleet.now + Duration::from_millis(ms);
        while self.fleet.now < end {
            self.fleet.tick();
            for number in 0..NODES {
                let position = self.fleet.nodes[number].position();
                if position == self.reached[number] {
                    continue;
                }
                if position < self.reached[number] {
                    return Err(format!("node {number} goes back from {:?} to {position:?}", self.reached[number]));
                }
                self.reached[number] = position;
                let is_drained = self.is_drained_at(number);
                if self.drained[number] && !is_drained {
                    return Err(format!("node {number} unlearns the drain"));
                }
                self.drained[number] = is_drained;
            }
        }
        Ok(())
    }

    fn strike(&mut self, reader: usize, (ailment, access): Failure) {
        let node = &mut self.fleet.nodes[reader];
        (node.ailment, node.access) = (ailment, access);
    }

    fn change_era(&mut self, outage: u64, is_drain_lost: bool) -> Result<(), Wrong> {
        let (leaving, other) = (self.leaving, (self.leaving + 1) % NODES);
        self.fleet.set_down(true);
        self.play(outage)?;
        self.fleet.set_down(false);
        self.fleet.restore(LOST_CHANGES);
        self.play(WRITTEN_AGAIN_AFTER)?;
        let (number, draining) = if is_drain_lost { (leaving, true) } else { (other, false) };
        self.fleet.drain(number, draining, 9);
        Ok(())
    }

    /// All nodes in touch know the drain in time, counted from its last writing.
    fn all_know_in(&mut self, longest: Duration) -> Result<(), Wrong> {
        let begun = self.fleet.now;
        loop {
            let behind =
                (0..NODES).find(|number| self.fleet.nodes[*number].is_in_touch() && !self.is_drained_at(*number));
            let Some(behind) = behind else { return Ok(()) };
            if self.fleet.now.since(begun) > longest {
                return Err(format!("node {behind} does not know the drain after {longest:?}"));
            }
            self.play(50)?;
        }
    }
}

fn play(schedule: Schedule, rule: Option<WrongRule>) -> Result<(), Wrong> {
    let mut watched = Watched::new(rule);
    let readers = watched.fleet.readers();
    watched.fleet.drain((watched.leaving + 1) % NODES, false, 8);
    watched.play(1_500)?;
    watched.strike(readers[0], schedule.failures[0]);
    watched.strike(readers[2], schedule.third);
    watched.play(schedule.second_after)?;
    watched.strike(readers[1], schedule.failures[1]);
    watched.play(schedule.drain_after)?;
    if schedule.era_change == EraChange::BeforeDrain {
        watched.change_era(schedule.outage, false)?;
    }
    watched.fleet.drain(watched.leaving, true, 9);
    if schedule.era_change == EraChange::AfterDrain {
        watched.play(200)?;
        watched.change_era(schedule.outage, true)?;
    }
    // In another era everything is read anew by whoever reads next.
    let longest = if schedule.era_change == EraChange::None { BOUNDS.drain } else { BOUNDS.recovery };
    watched.all_know_in(longest - Duration::from_millis(500))?;
    // The readers are well again, and soon nobody takes itself or the store for lost.
    for reader in &readers {
        watched.strike(*reader, FAILURES[0]);
    }
    watched.play(BOUNDS.recovery.as_millis() as u64)?;
    let lost = watched.fleet.nodes.iter().position(|node| node.own_call_failed || node.loss.since().is_some());
    lost.map_or(Ok(()), |number| Err(format!("node {number} still reports a loss")))
}

impl Schedule {
    /// Whether a reader that calls itself well and is not is the only one that answers.
    fn has_only_a_lying_reader(&self) -> bool {
        let readers = [self.failures[0], self.failures[1], self.third];
        let is_well = |reader: &Failure| *reader == FAILURES[0];
        let lies = |(ailment, _): &Failure| *ailment == Ailment::Lies;
        readers.iter().any(lies) && !readers.iter().any(is_well)
    }
}

fn play_all(schedules: impl Iterator<Item = Schedule>) {
    for schedule in schedules {
        if let Err(wrong) = play(schedule, None) {
            panic!("{wrong}: {schedule:?}");
        }
    }
}

#[test]
fn no_schedule_of_failing_readers_an_era_change_and_a_drain_breaks_a_promise() {
    play_all(schedules().into_iter().filter(|schedule| !schedule.has_only_a_lying_reader()));
}

#[test]
fn a_reader_that_lies_holds_back_no_drain_when_the_other_readers_fail() {
    play_all(schedules().into_iter().filter(Schedule::has_only_a_lying_reader));
}

#[test_case(WrongRule::ForgetsOnNewEra; "a new era makes a node forget")]
#[test_case(WrongRule::TakesEarlierEras; "answers of an earlier era are taken")]
#[test_case(WrongRule::BelievesAnySource; "any source that calls itself well is followed")]
#[test_case(WrongRule::WaitsForReaders; "readers that hang are waited for")]
#[test_case(WrongRule::NeverVerifiesAccess; "a failed call is believed for ever")]
fn some_schedule_catches_a_wrong_rule(rule: WrongRule) {
    let mut schedules = schedules().into_iter().filter(|schedule| !schedule.has_only_a_lying_reader());
    let caught = schedules.any(|schedule| play(schedule, Some(rule)).is_err());
    assert!(caught, "{rule:?} breaks no promise in any schedule");
}
