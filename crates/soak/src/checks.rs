//! The guarantees, checked against what callers and targets observed.

use std::collections::{HashMap, HashSet};
use std::fmt::Write;
use std::time::{Duration, Instant};

use derive_more::Display;
use quillhatch_platform_standins::target::{chained_id_at, ChainedRecord, RunningPeak};

use crate::crashes;
use crate::layout::{MachineAddrs, RouteKind, SERVICES, SLOTS};
use crate::lost;
use crate::record::{CallEnd, CallRecord, NestedCall, RunRecord, SoakRecord};
use crate::slow_calls::MAX_CHAINED_CALLS;
use crate::target_status;
use crate::tenancy;

/// The time without faults after which the time bounds of guarantees apply again.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The time within which a configuration must be in force, and a draining target must receive no more requests.
pub const APPLY_BOUND: Duration = Duration::from_secs(2);
/// The tolerance added to each time bound for scheduling delays of the test machine.
pub const SCHEDULING_SLACK: Duration = Duration::from_millis(500);
/// A connection that ends without a response within this time after a request may have been closed before the node read
/// the request.
pub const UNREAD_CLOSE_TOLERANCE: Duration = Duration::from_millis(200);
/// The minimum share of calls that must be served in fault-free periods.
const MIN_SERVED_SHARE: f64 = 0.95;
/// The number of retries that a service may receive in a window in addition to [`RETRY_RATIO`].
const RETRY_SLACK: f64 = 55.0;
/// The maximum ratio of retries to requests of a service.
const RETRY_RATIO: f64 = 0.2;
/// The maximum number of calls that a violation lists.
const MAX_DESCRIBED_CALLS: usize = 8;
/// The window in which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// A guarantee that the soak checks.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Guarantee {
    /// A response belongs to its request and is complete.
    #[display("own-answer")]
    OwnAnswer,
    /// Only requests that callers sent run, and they arrive unchanged.
    #[display("as-sent")]
    AsSent,
    /// A non-retryable request runs at most once.
    #[display("once")]
    Once,
    /// A refused request has not run.
    #[display("not-run")]
    NotRun,
    /// A request runs only at a service to which some configuration routes it.
    #[display("routed")]
    Routed,
    /// A target never receives more concurrent requests than it has slots.
    #[display("slots")]
    Slots,
    /// Retries stay within their budget.
    #[display("retry-budget")]
    RetryBudget,
    /// No API key reaches a target, and each call runs as the tenant of its key.
    #[display("keys")]
    Keys,
    /// No call runs whose key was revoked longer ago than the bound.
    #[display("revoked")]
    Revoked,
    /// The calls of a tenant stay within its rate limit.
    #[display("limits")]
    Limits,
    /// A target receives no more requests than the rate limit that it announces in its responses allows, from all
    /// machines that know of it.
    #[display("target-limits")]
    TargetLimits,
    /// A target that announces in its responses that it is draining receives no new requests after the bound from
    /// machines that know of it.
    #[display("announced-drain")]
    AnnouncedDrain,
    /// After a request has crashed three targets, it reaches only a few more.
    #[display("bounded-harm")]
    BoundedCrashes,
    /// In fault-free periods no call times out or loses its connection, even during planned stops.
    #[display("uncut")]
    Uncut,
    /// A planned stop costs no request the response of a target that is at work on it.
    #[display("lost")]
    Lost,
    /// In fault-free periods a configuration is in force within the bound.
    #[display("in-force")]
    InForce,
    /// In fault-free periods a draining or deregistered target receives no new requests after the bound.
    #[display("drained")]
    Drained,
    /// A call gets its final answer soon after the timeout of its route.
    #[display("final-answer")]
    FinalAnswer,
    /// A process stays within the memory of its machine.
    #[display("memory")]
    Memory,
    /// In fault-free periods nearly all calls are served.
    #[display("served")]
    Served,
}

/// A violation of a guarantee.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{guarantee}: {description}")]
pub struct Violation {
    /// The guarantee that was violated.
    pub guarantee: Guarantee,
    /// What was observed.
    pub description: String,
}

pub(crate) fn violation(guarantee: Guarantee, description: String) -> Violation {
    Violation { guarantee, description }
}

/// Checks all guarantees.
pub fn check_all(record: &SoakRecord) -> Vec<Violation> {
    let mut found = check_always(record);
    found.extend(check_fault_free(record));
    found
}

/// Checks the guarantees that hold at any time.
pub fn check_always(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut sent: HashMap<String, &CallRecord> = HashMap::new();
    for call in &record.calls {
        sent.insert(call.id.clone(), call);
        if call.kind == RouteKind::Chain {
            sent.extend((0..MAX_CHAINED_CALLS).map(|index| (chained_id_at(&call.id, index), call)));
        }
        if let CallEnd::Answered { is_own: false, status, .. } = call.end {
            found.push(violation(
                Guarantee::OwnAnswer,
                format!("{} received a foreign or incomplete response with status {status}", call.id),
            ));
        }
    }
    let mut run_counts: HashMap<&str, u32> = HashMap::new();
    for run in &record.runs {
        *run_counts.entry(&run.id).or_default() += 1;
        let Some(call) = sent.get(&run.id) else {
            found.push(violation(Guarantee::AsSent, format!("{} ran but was never sent", run.id)));
            continue;
        };
        let nested_kind = record.nested_kind.unwrap_or(RouteKind::Read);
        let kind = if run.id == call.id { call.kind } else { nested_kind };
        if let Some(description) = describe_change(run, kind, call) {
            found.push(violation(Guarantee::AsSent, description));
        }
        let service = MachineAddrs::service_of(run.machine);
        let is_routed = match kind.service() {
            Some(own) => own == service,
            None => record.configs.iter().any(|config| config.moving == service),
        };
        if !is_routed {
            found.push(violation(Guarantee::Routed, format!("{} ran at {service}", run.id)));
        }
    }
    for call in &record.calls {
        let runs = run_counts.get(call.id.as_str()).copied().unwrap_or(0);
        if call.kind.is_retryable() {
            continue;
        }
        if runs > 1 {
            found.push(violation(Guarantee::Once, format!("{} ran {runs} times", call.id)));
        }
        if runs > 0 && matches!(call.end, CallEnd::Answered { status: 408 | 421 | 429 | 503, .. }) {
            found.push(violation(Guarantee::NotRun, format!("{} was refused but ran", call.id)));
        }
    }
    for (machine, peak) in record.running_peaks.iter().filter(|(_, peak)| peak.requests.len() > SLOTS as usize) {
        found.push(violation(Guarantee::Slots, describe_peak(*machine, peak)));
    }
    found.extend(retry_budget_violations(record));
    found.extend(crashes::check(record));
    found.extend(tenancy::check(record));
    found.extend(target_status::check(record));
    found
}

fn describe_change(run: &RunRecord, kind: RouteKind, call: &CallRecord) -> Option<String> {
    let (method, path, body) = &run.request;
    if method != kind.method() || path != kind.path() || body != kind.body() {
        return Some(format!("{} arrived as {method} {path} {body:?}", run.id));
    }
    let caller = if run.id == call.id { MachineAddrs::service_of(call.machine) } else { "alpha" };
    (run.caller_service != caller)
        .then(|| format!("{} came from {caller} but was attributed to {}", run.id, run.caller_service))
}

/// Finds services that received more retries in a window than the budget allows. A chained call of a retried call
/// counts as a retry too, because it has the same id.
fn retry_budget_violations(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    for service in SERVICES {
        let mut runs: Vec<&RunRecord> =
            record.runs.iter().filter(|run| MachineAddrs::service_of(run.machine) == service).collect();
        runs.sort_by_key(|run| run.at);
        let requests = request_times(record, service, &runs);
        let mut seen: HashSet<&str> = HashSet::new();
        let retries: Vec<Instant> = runs.iter().filter(|run| !seen.insert(&run.id)).map(|run| run.at).collect();
        for begin in &retries {
            let retry_count = count_between(&retries, *begin, *begin + RETRY_WINDOW);
            let request_count = max_requests(&requests, *begin);
            if retry_count as f64 > RETRY_RATIO * request_count as f64 + RETRY_SLACK {
                let description =
                    format!("{service} received {retry_count} retries of {request_count} requests in a window");
                found.push(violation(Guarantee::RetryBudget, description));
                break;
            }
        }
    }
    found
}

/// The times of the requests for a service, in order: the send times of callers' requests, whether they arrived or not,
/// and the first arrival times of the other requests.
fn request_times(record: &SoakRecord, service: &str, runs: &[&RunRecord]) -> Vec<Instant> {
    let of_callers = record.calls.iter().filter(|call| call.kind.service() == Some(service));
    let mut times: HashMap<&str, Instant> = of_callers.map(|call| (call.id.as_str(), call.sent)).collect();
    for run in runs {
        times.entry(&run.id).or_insert(run.at);
    }
    let mut times: Vec<Instant> = times.into_values().collect();
    times.sort();
    times
}

/// The maximum number of requests in the windows that start at `begin`, half a window earlier and one window earlier.
fn max_requests(requests: &[Instant], begin: Instant) -> usize {
    let mut max = 0;
    for offset in [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW] {
        let Some(from) = begin.checked_sub(offset) else { continue };
        max = max.max(count_between(requests, from, from + RETRY_WINDOW));
    }
    max
}

fn count_between(times: &[Instant], from: Instant, until: Instant) -> usize {
    times.partition_point(|time| *time < until) - times.partition_point(|time| *time < from)
}

/// Checks the guarantees that hold only in periods without recent faults or crashes.
pub fn check_fault_free(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    let ran: HashSet<&str> = record.runs.iter().map(|run| run.id.as_str()).collect();
    let (mut served, mut counted) = (0_usize, 0_usize);
    let mut unserved: Vec<&CallRecord> = Vec::new();
    for call in &record.calls {
        if !record.is_fault_and_crash_free(SETTLE_TIME, call.sent, call.ended) {
            continue;
        }
        let is_counted = call.key.is_steady() && call.kind != RouteKind::Crashing && !may_lack_capacity(record, call);
        counted += usize::from(is_counted);
        match call.end {
            CallEnd::Answered { status: 200, .. } => served += usize::from(is_counted),
            CallEnd::Answered { .. } if is_counted => unserved.push(call),
            CallEnd::Answered { .. } => {}
            // A process that was asked to stop may have ended, so that connections to it are refused.
            CallEnd::Unreached => counted -= usize::from(is_counted && was_stopping(record, call)),
            CallEnd::Unread if !ran.contains(call.id.as_str()) => counted -= usize::from(is_counted),
            CallEnd::Cut if !ran.contains(call.id.as_str()) && call.ended - call.sent <= UNREAD_CLOSE_TOLERANCE => {}
            // `lost` has the exact bounds of series of stops, in which all machines of a service may stop at once.
            CallEnd::Cut | CallEnd::Unread if record.has_stop_series => {}
            CallEnd::Cut | CallEnd::Silent | CallEnd::Unread => {
                let description = format!(
                    "{} at machine {} ended as {:?} after {:?}",
                    call.id,
                    call.machine,
                    call.end,
                    call.ended - call.sent
                );
                found.push(violation(Guarantee::Uncut, description));
            }
        }
    }
    if !record.has_stop_series && (served as f64) < MIN_SERVED_SHARE * counted as f64 {
        let description = format!(
            "{served} of {counted} calls were served in fault-free periods; not served:{}",
            describe_unserved(&unserved)
        );
        found.push(violation(Guarantee::Served, description));
    }
    match record.has_stop_series {
        true => found.extend(lost::check(record)),
        false => found.extend(nested_call_violations(record, &ran)),
    }
    found.extend(stale_configuration_violations(record));
    found.extend(drain_violations(record));
    found
}

/// Finds calls of targets whose connection ended without a complete response. A target stops waiting at the deadline.
fn nested_call_violations(record: &SoakRecord, ran: &HashSet<&str>) -> Vec<Violation> {
    let mut found = Vec::new();
    for NestedCall { machine, call } in &record.nested_calls {
        let ChainedRecord { id, sent, ended, status, is_timed_out, .. } = call;
        let is_excused = !record.is_fault_and_crash_free(SETTLE_TIME, *sent, *ended)
            || (!ran.contains(id.as_str()) && *ended - *sent <= UNREAD_CLOSE_TOLERANCE);
        if status.is_some() || *is_timed_out || is_excused {
            continue;
        }
        let mut stops = record.stops.iter().filter(|stop| stop.machine == *machine && stop.requested <= *ended);
        let since_stop = stops.next_back().map(|stop| *ended - stop.requested);
        let description = format!(
            "{id}, a call of the target at machine {machine}, was cut after {:?}, {since_stop:?} after a stop",
            *ended - *sent
        );
        found.push(violation(Guarantee::Uncut, description));
    }
    found
}

/// Lists the requests that ran at the peak of a target: their ids, how long they had run, and whether they waited for
/// a call of their own.
fn describe_peak(machine: usize, peak: &RunningPeak) -> String {
    let mut text = format!("{} of {SLOTS} slots used at machine {machine}:", peak.requests.len());
    for request in &peak.requests {
        let calling = if request.is_calling { " calling" } else { "" };
        let _ = write!(text, " {} ({:?}{calling});", request.id, peak.at - request.started);
    }
    text
}

/// Lists the first calls that were not served, with what is needed to find them in the logs.
fn describe_unserved(calls: &[&CallRecord]) -> String {
    let mut text = String::new();
    for call in calls.iter().take(MAX_DESCRIBED_CALLS) {
        let CallRecord { id, machine, kind, end, .. } = call;
        let _ = write!(text, " {id} at machine {machine} ({kind:?}, {end:?});");
    }
    text
}

/// Whether no target may have had capacity for a call: while one target of a service that it needs had announced a rate
/// limit or a drain, planned work may have taken another one of that service away.
fn may_lack_capacity(record: &SoakRecord, call: &CallRecord) -> bool {
    let (begin, end) = (call.sent.checked_sub(SETTLE_TIME).unwrap_or(call.sent), call.ended);
    let overlaps = |from: Instant, until: Instant| from <= end && until >= begin;
    let announcing = record.announcements.iter().filter(|span| overlaps(span.from, span.until));
    let drained = record.drains.iter().filter(|drain| overlaps(drain.acked, drain.until)).map(|drain| drain.machine);
    let stops = record.stops.iter().filter(|stop| overlaps(stop.requested, stop.requested + stop.grace));
    let unavailable: Vec<usize> = drained.chain(stops.map(|stop| stop.machine)).collect();
    announcing.into_iter().any(|span| {
        let service = MachineAddrs::service_of(span.machine);
        let is_without_others =
            unavailable.iter().any(|machine| *machine != span.machine && MachineAddrs::service_of(*machine) == service);
        is_without_others && call.kind.may_need(service)
    })
}

fn was_stopping(record: &SoakRecord, call: &CallRecord) -> bool {
    record.stops.iter().any(|stop| {
        stop.machine == call.machine
            && call.ended >= stop.requested
            && call.sent <= stop.requested + stop.grace + SETTLE_TIME
    })
}

/// Finds requests that ran at a service to which only replaced configurations route them.
fn stale_configuration_violations(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    let sent: HashMap<&str, &CallRecord> = record.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    for run in &record.runs {
        let Some(call) = sent.get(run.id.as_str()).filter(|call| call.kind == RouteKind::Moving) else { continue };
        if !record.is_fault_and_crash_free(SETTLE_TIME, call.sent, call.ended) {
            continue;
        }
        let service = MachineAddrs::service_of(run.machine);
        let mut may_run = false;
        for (index, config) in record.configs.iter().enumerate() {
            let replaced = record.configs.get(index + 1).map(|next| next.acked);
            let is_replaced = replaced.is_some_and(|replaced| call.sent > replaced + APPLY_BOUND + SCHEDULING_SLACK);
            may_run |= config.moving == service && config.acked <= call.ended && !is_replaced;
        }
        if !may_run {
            found.push(violation(Guarantee::InForce, format!("{} ran at {service}", run.id)));
        }
    }
    found
}

/// Finds requests that reached a target longer than the bound after its drain or deregistration was acknowledged.
fn drain_violations(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    for run in &record.runs {
        for drain in record.drains.iter().filter(|drain| drain.machine == run.machine) {
            let is_late = run.at > drain.acked + APPLY_BOUND + SCHEDULING_SLACK && run.at < drain.until;
            if is_late && record.is_fault_and_crash_free(SETTLE_TIME, drain.acked, run.at) {
                found.push(violation(
                    Guarantee::Drained,
                    format!("{} ran {:?} after the drain", run.id, run.at - drain.acked),
                ));
            }
        }
    }
    found
}
