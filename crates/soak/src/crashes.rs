//! Checks the guarantee on requests that crash targets ([`Guarantee::BoundedCrashes`]).

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::checks::{violation, Guarantee, Violation, SCHEDULING_SLACK, SETTLE_TIME};
use crate::layout::{MachineAddrs, RouteKind};
use crate::record::SoakRecord;

/// The number of crashes after which the crashing request counts as detected.
const DETECTION_CRASHES: usize = 3;
/// The maximum number of targets that the request may reach after the time bound that follows its detection.
const MAX_LATER_CRASHES: usize = 3;
/// The time that a restarted process may need to receive the state of the other processes. If all processes restart
/// within this time, their state is lost.
const STATE_TRANSFER_TIME: Duration = Duration::from_secs(5);

/// Checks whether the crashing request reached too many targets after it had crashed three.
///
/// The state on the request is held by the processes beside the targets of its service. If all of them restart shortly
/// after each other, this state is lost, and the crashes are counted anew.
pub(crate) fn check(record: &SoakRecord) -> Option<Violation> {
    let mut runs = record.crashes.clone();
    runs.sort_unstable();
    let losses = state_losses(record);
    let mut from = 0;
    for loss in losses.iter().copied().map(Some).chain([None]) {
        let until = loss.map_or(runs.len(), |loss| runs.partition_point(|at| *at < loss));
        let span = runs.get(from..until).unwrap_or_default();
        if let Some(violation) = check_span(record, span) {
            return Some(violation);
        }
        from = until;
    }
    None
}

fn check_span(record: &SoakRecord, runs: &[Instant]) -> Option<Violation> {
    let detected = runs.get(DETECTION_CRASHES - 1)?;
    let bound = *detected + SETTLE_TIME + SCHEDULING_SLACK;
    let later = runs.iter().filter(|at| **at > bound && record.is_fault_free(SETTLE_TIME, **at, **at)).count();
    (later > MAX_LATER_CRASHES).then(|| {
        violation(Guarantee::BoundedCrashes, format!("{later} targets after the bound, {} in total", runs.len()))
    })
}

/// The times at which the processes had lost the state on the request.
fn state_losses(record: &SoakRecord) -> Vec<Instant> {
    let service = RouteKind::Crashing.service();
    let is_holder = |machine: usize| Some(MachineAddrs::service_of(machine)) == service;
    let holders: BTreeSet<usize> =
        record.runs.iter().map(|run| run.machine).filter(|machine| is_holder(*machine)).collect();
    let starts: Vec<_> = record.restarts.iter().filter(|start| is_holder(start.machine)).collect();
    let mut losses: Vec<Instant> = Vec::new();
    for start in &starts {
        let recent = starts.iter().filter(|other| other.at <= start.at && start.at - other.at < STATE_TRANSFER_TIME);
        let restarted: BTreeSet<usize> = recent.map(|other| other.machine).collect();
        if restarted.is_superset(&holders) {
            losses.push(start.at);
        }
    }
    losses.sort_unstable();
    losses
}
