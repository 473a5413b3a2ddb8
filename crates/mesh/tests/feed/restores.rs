//! Explores schedules in which the store is restored from a backup, nodes start again, and what the backup lacks is
//! written again, in fleets in which most nodes follow others.
//!
//! The backup lacks a configuration, the removal of a target and the drain of another one.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::configuration::Configuration;
use quillhatch_mesh::replica::{Change, Position};
use test_case::test_case;

use crate::fleet::{Fleet, Mutation, BOUNDS};
use crate::store::target_id;

/// The number of nodes and of zones. Five nodes read or watch the store.
const FLEETS: [(usize, usize); 2] = [(14, 2), (24, 3)];
/// When nodes start again after the store is restored, in milliseconds. Not all nodes have noticed the restore at first.
const RESTART_DELAYS_MS: [u64; 3] = [0, 300, 1_200];
/// How long after that the lost writes are repeated, in milliseconds.
const REWRITE_DELAYS_MS: [u64; 3] = [50, 700, 2_500];
const OUTAGE_MS: u64 = 500;
/// The versions of the configuration before and after the backup.
const VERSIONS: [u64; 2] = [6, 7];

/// Which nodes start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restarted {
    OneFollower,
    HalfOfFollowers,
    OneReader,
    AllHeads,
}

const RESTARTED: [Restarted; 4] =
    [Restarted::OneFollower, Restarted::HalfOfFollowers, Restarted::OneReader, Restarted::AllHeads];

#[derive(Clone, Copy, Debug)]
struct Schedule {
    fleet: (usize, usize),
    restarted: Restarted,
    /// Whether nodes that start read all of the store, or get its contents from others where they can.
    reads_store: bool,
    restart_delay_ms: u64,
    rewrite_delay_ms: u64,
    /// Whether the store is restored from the same backup again before the lost writes are repeated.
    has_second_restore: bool,
}

fn schedules() -> Vec<Schedule> {
    let mut all = Vec::new();
    for fleet in FLEETS {
        for restarted in RESTARTED {
            for restart_delay_ms in RESTART_DELAYS_MS {
                for rewrite_delay_ms in REWRITE_DELAYS_MS {
                    for (reads_store, has_second_restore) in
                        [(false, false), (false, true), (true, false), (true, true)]
                    {
                        all.push(Schedule {
                            fleet,
                            restarted,
                            reads_store,
                            restart_delay_ms,
                            rewrite_delay_ms,
                            has_second_restore,
                        });
                    }
                }
            }
        }
    }
    all
}

/// The description of a violated promise.
type Violation = String;

/// A fleet, and the targets whose last writes the backup lacks.
struct RestoredFleet {
    fleet: Fleet,
    removed: usize,
    draining: usize,
    versions: Vec<u64>,
}

impl RestoredFleet {
    /// A fleet in which all nodes know what the backup will lack.
    fn new(schedule: Schedule, mutation: Option<Mutation>) -> Self {
        let (nodes, zones) = schedule.fleet;
        let mut fleet = Fleet::new(nodes, zones, 21);
        fleet.mutation = mutation;
        let mut followers = followers(&fleet).into_iter().rev();
        let (removed, draining) = (followers.next().expect("a follower"), followers.next().expect("another one"));
        fleet.store.write(configuration(VERSIONS[0]));
        fleet.run(1_000);
        let mut restored = RestoredFleet { versions: vec![0; nodes], fleet, removed, draining };
        restored.write_lost();
        restored.fleet.run(1_500);
        restored
    }

    /// Writes what the backup lacks; returns the number of writes.
    fn write_lost(&mut self) -> usize {
        self.fleet.store.write(configuration(VERSIONS[1]));
        self.fleet.store.write(Change::TargetRemoved(target_id(self.removed)));
        self.fleet.set_draining(self.draining, true, 9);
        3
    }

    fn restore(&mut self) {
        let after_backup = self.fleet.store.writes_after(|change| *change == configuration(VERSIONS[0]));
        self.fleet.restore(after_backup);
    }

    /// Runs the fleet, and checks that no process goes back to an older configuration.
    fn run(&mut self, ms: u64) -> Result<(), Violation> {
        let end = self.fleet.now + Duration::from_millis(ms);
        while self.fleet.now < end {
            self.fleet.tick();
            for (number, known) in self.versions.iter_mut().enumerate() {
                let version = version_at(&self.fleet, number);
                if version < *known {
                    return Err(format!("node {number} goes back from version {known} to {version}"));
                }
                *known = version;
            }
        }
        Ok(())
    }

    fn restart(&mut self, schedule: Schedule) {
        let heads = (0..self.versions.len()).filter(|number| self.fleet.nodes[*number].role.is_head);
        let restarted: Vec<usize> = match schedule.restarted {
            Restarted::OneFollower => followers(&self.fleet)[..1].to_vec(),
            Restarted::HalfOfFollowers => followers(&self.fleet).into_iter().step_by(2).collect(),
            Restarted::OneReader => self.fleet.readers()[..1].to_vec(),
            Restarted::AllHeads => heads.collect(),
        };
        for number in restarted {
            self.fleet.restart(number, schedule.reads_store);
            self.versions[number] = 0;
        }
    }

    /// Checks that a node knows the configuration, the removal and the drain.
    fn check(&self, number: usize) -> Result<(), Violation> {
        let version = version_at(&self.fleet, number);
        if version != VERSIONS[1] {
            return Err(format!("node {number} has version {version}"));
        }
        let everything = self.fleet.nodes[number].replica.update_since(Position::default(), self.fleet.now);
        for revised in everything.into_iter().flat_map(|update| update.changes) {
            let Change::Target(id, registration) = revised.change else { continue };
            if id == target_id(self.removed) {
                return Err(format!("node {number} has the removed target"));
            }
            if id == target_id(self.draining) && !registration.draining {
                return Err(format!("node {number} does not know the drain"));
            }
        }
        Ok(())
    }

    fn check_all(&self) -> Result<(), Violation> {
        (0..self.versions.len()).try_for_each(|number| self.check(number))
    }
}

/// The nodes that neither read nor watch the store.
fn followers(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.nodes.len()).filter(|number| !fleet.nodes[*number].role.is_head).collect()
}

fn configuration(version: u64) -> Change {
    Change::Configuration(Arc::new(Configuration { version, ..Configuration::default() }))
}

/// The version of the configuration that a node would send to another one.
fn version_at(fleet: &Fleet, number: usize) -> u64 {
    let everything = fleet.nodes[number].replica.update_since(Position::default(), fleet.now);
    let versions =
        everything.into_iter().flat_map(|update| update.changes).filter_map(|revised| match revised.change {
            Change::Configuration(configuration) => Some(configuration.version),
            _ => None,
        });
    versions.max().unwrap_or(0)
}

/// Runs a schedule. With `before_rewrite`, all nodes must have the newer configuration soon after the restarts, else
/// within the bounds after the lost writes are repeated.
fn run(schedule: Schedule, mutation: Option<Mutation>, before_rewrite: bool) -> Result<(), Violation> {
    let mut restored = RestoredFleet::new(schedule, mutation);
    restored.check_all()?;
    restored.fleet.set_down(true);
    restored.run(OUTAGE_MS)?;
    restored.fleet.set_down(false);
    restored.restore();
    restored.run(schedule.restart_delay_ms)?;
    restored.restart(schedule);
    if schedule.has_second_restore {
        restored.run(schedule.rewrite_delay_ms / 2)?;
        restored.restore();
    }
    if before_rewrite {
        restored.run(BOUNDS.apply.as_millis() as u64)?;
        let behind = (0..restored.versions.len()).find(|number| version_at(&restored.fleet, *number) != VERSIONS[1]);
        return behind.map_or(Ok(()), |number| Err(format!("node {number} lacks the newer version")));
    }
    restored.run(schedule.rewrite_delay_ms)?;
    restored.write_lost();
    restored.run(BOUNDS.recovery.as_millis() as u64)?;
    restored.check_all()
}

// Nodes that had started after a restore never learned what was written again, if the nodes that they followed
// remembered it.
#[test_case(None)]
#[test_case(Some(Mutation::IgnoresVersions); "without an exchange of configurations by their versions")]
fn what_is_written_again_after_a_restore_reaches_nodes_that_started_in_between(mutation: Option<Mutation>) {
    for schedule in schedules() {
        if let Err(violation) = run(schedule, mutation, false) {
            panic!("{violation}: {schedule:?}");
        }
    }
}

#[test]
fn nodes_that_start_after_a_restore_get_the_newer_configuration_that_others_remember() {
    for schedule in schedules() {
        if let Err(violation) = run(schedule, None, true) {
            panic!("{violation}: {schedule:?}");
        }
    }
}

#[test_case(Mutation::IgnoresVersions; "configurations are replicated by their revisions only")]
fn some_restore_detects_a_broken_rule(mutation: Mutation) {
    let is_detected = schedules().into_iter().any(|schedule| run(schedule, Some(mutation), true).is_err());
    assert!(is_detected, "{mutation:?} breaks no promise in any schedule");
}
