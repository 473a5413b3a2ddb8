//! The promise on requests that crash targets.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::checks::{violation, Guarantee, Violation, SETTLE, SLACK};
use crate::layout::{MachineAddrs, RouteKind};
use crate::record::SoakRecord;

/// The ends that show that a request crashes targets.
const SHOWN_BY: usize = 3;
/// The targets that it may still reach later than the bound after.
const MOST_LATER: usize = 3;
/// Within this time of each other processes may start without having learnt what the ones before them knew.
const LEARNS_WITHIN: Duration = Duration::from_secs(5);

/// Looks whether the harmful request reached too many targets after three had ended.
///
/// What is known of it lies in the processes beside the targets of its service. If all of them were started anew shortly after each other,
/// nobody knows it any more, and it is counted from there.
pub(crate) fn check(record: &SoakRecord) -> Option<Violation> {
    let mut runs = record.crashes.clone();
    runs.sort_unstable();
    let losses = losses(record);
    let mut from = 0;
    for loss in losses.iter().copied().map(Some).chain([None]) {
        let until = loss.map_or(runs.len(), |loss| runs.partition_point(|at| *at < loss));
        let known = runs.get(from..until).unwrap_or_default();
        if let Some(violation) = check_span(record, known) {
            return Some(violation);
        }
        from = until;
    }
    None
}

fn check_span(record: &SoakRecord, runs: &[Instant]) -> Option<Violation> {
    let shown = runs.get(SHOWN_BY - 1)?;
    let bound = *shown + SETTLE + SLACK;
    let later = runs.iter().filter(|at| **at > bound && record.is_fault_free(SETTLE, **at, **at)).count();
    (later > MOST_LATER)
        .then(|| violation(Guarantee::BoundedCrashes, format!("{later} more targets, {} in all", runs.len())))
}

/// When nobody knew any more what the request had done.
fn losses(record: &SoakRecord) -> Vec<Instant> {
    let service = RouteKind::Crashing.service();
    let is_holder = |machine: usize| Some(MachineAddrs::service_of(machine)) == service;
    let holders: BTreeSet<usize> = record.runs.iter().map(|run| run.machine).filter(|one| is_holder(*one)).collect();
    let starts: Vec<_> = record.starts.iter().filter(|start| is_holder(start.machine)).collect();
    let mut losses: Vec<Instant> = Vec::new();
    for start in &starts {
        let lately = starts.iter().filter(|one| one.at <= start.at && start.at - one.at < LEARNS_WITHIN);
        let anew: BTreeSet<usize> = lately.map(|one| one.machine).collect();
        if anew.is_superset(&holders) {
            losses.push(start.at);
        }
    }
    losses.sort_unstable();
    losses
}
