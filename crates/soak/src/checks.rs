//! The promises, checked on what callers and targets saw.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use derive_more::Display;
use quillhatch_platform_standins::target::chained_id;

use crate::crashes;
use crate::layout::{MachineAddrs, RouteKind, SERVICES, SLOTS};
use crate::record::{CallEnd, CallRecord, RunRecord, SoakRecord};
use crate::tenancy;

/// How long a machine must have been without fault_span for bounds in time to hold there.
pub const SETTLE: Duration = Duration::from_secs(3);
/// Within this time a configuration is in force, and a draining target is left.
pub const APPLY: Duration = Duration::from_secs(2);
/// What is left to the scheduling of this machine, beyond each bound.
pub const SLACK: Duration = Duration::from_millis(500);
/// A connection may end without an answer so soon after a request that has not been read.
const UNREAD: Duration = Duration::from_millis(200);
/// The share of calls in calm that must be served.
const MIN_SERVED_SHARE: f64 = 0.95;
/// Repeats that a service may get in a window beyond the share of its calls.
const RETRY_SLACK: f64 = 55.0;
/// The share of a service's calls that may be repeats.
const RETRY_RATIO: f64 = 0.2;
/// The window in which repeats are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// What is promised.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Guarantee {
    /// An answer belongs to its request and is whole.
    #[display("own-answer")]
    OwnAnswer,
    /// Only what callers sent runs, and unchanged.
    #[display("as-sent")]
    AsSent,
    /// What may not be repeated runs once at most.
    #[display("once")]
    Once,
    /// What was refused has not run.
    #[display("not-run")]
    NotRun,
    /// A request runs at a service to which some configuration sends it.
    #[display("routed")]
    Routed,
    /// A target is not given more than it can work on.
    #[display("slots")]
    Slots,
    /// Repeats stay within their budget.
    #[display("retry-budget")]
    RetryBudget,
    /// No key reaches a target, and each call runs as its tenant's.
    #[display("keys")]
    Keys,
    /// No call runs whose key was taken away long before.
    #[display("revoked")]
    Revoked,
    /// Calls of a tenant stay within its limit.
    #[display("limits")]
    Limits,
    /// A request that crashes targets reaches few more of them once three have ended.
    #[display("bounded-harm")]
    BoundedCrashes,
    /// In calm nothing is cut, planned stops included.
    #[display("uncut")]
    Uncut,
    /// In calm a configuration is in force in time.
    #[display("in-force")]
    InForce,
    /// In calm a target that is draining or has left gets nothing new.
    #[display("drained")]
    Drained,
    /// In calm nearly everything is served.
    #[display("served")]
    Served,
}

/// A broken promise.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{guarantee}: {description}")]
pub struct Violation {
    /// Which.
    pub guarantee: Guarantee,
    /// What was seen.
    pub description: String,
}

pub(crate) fn violation(guarantee: Guarantee, description: String) -> Violation {
    Violation { guarantee, description }
}

/// Checks everything.
pub fn check_all(record: &SoakRecord) -> Vec<Violation> {
    let mut found = check_always(record);
    found.extend(check_fault_free(record));
    found
}

/// The promises that hold at any moment.
pub fn check_always(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut sent: HashMap<String, &CallRecord> = HashMap::new();
    for call in &record.calls {
        sent.insert(call.id.clone(), call);
        if call.kind == RouteKind::Chain {
            sent.insert(chained_id(&call.id), call);
        }
        if let CallEnd::Answered { is_own: false, status } = call.end {
            found
                .push(violation(Guarantee::OwnAnswer, format!("{} got a foreign or partial answer {status}", call.id)));
        }
    }
    let mut times: HashMap<&str, u32> = HashMap::new();
    for run in &record.runs {
        *times.entry(&run.id).or_default() += 1;
        let Some(call) = sent.get(&run.id) else {
            found.push(violation(Guarantee::AsSent, format!("{} was never sent", run.id)));
            continue;
        };
        let kind = if run.id == call.id { call.kind } else { RouteKind::Read };
        if let Some(what) = changed(run, kind, call) {
            found.push(violation(Guarantee::AsSent, what));
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
        let runs = times.get(call.id.as_str()).copied().unwrap_or(0);
        if call.kind.is_repeatable() {
            continue;
        }
        if runs > 1 {
            found.push(violation(Guarantee::Once, format!("{} ran {runs} times", call.id)));
        }
        if runs > 0 && matches!(call.end, CallEnd::Answered { status: 408 | 421 | 429 | 503, .. }) {
            found.push(violation(Guarantee::NotRun, format!("{} was refused and ran", call.id)));
        }
    }
    if record.max_running > SLOTS {
        found.push(violation(Guarantee::Slots, format!("{} of {SLOTS} slots used", record.max_running)));
    }
    found.extend(over_budget(record));
    found.extend(crashes::check(record));
    found.extend(tenancy::check(record));
    found
}

fn changed(run: &RunRecord, kind: RouteKind, call: &CallRecord) -> Option<String> {
    let (method, path, body) = &run.request;
    if method != kind.method() || path != kind.path() || body != kind.body() {
        return Some(format!("{} arrived as {method} {path} {body:?}", run.id));
    }
    let caller = if run.id == call.id { MachineAddrs::service_of(call.machine) } else { "alpha" };
    (run.caller_service != caller).then(|| format!("{} came from {caller}, said to be {}", run.id, run.caller_service))
}

/// Windows in which a service got more repeats than the budget allows. A call made below a repeated one is a repeat too, as
/// it carries the same id.
fn over_budget(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    for service in SERVICES {
        let mut runs: Vec<&RunRecord> =
            record.runs.iter().filter(|run| MachineAddrs::service_of(run.machine) == service).collect();
        runs.sort_by_key(|run| run.at);
        let requests = request_times(record, service, &runs);
        let mut seen: HashSet<&str> = HashSet::new();
        let repeats: Vec<Instant> = runs.iter().filter(|run| !seen.insert(&run.id)).map(|run| run.at).collect();
        for begin in &repeats {
            let arrived = count_between(&repeats, *begin, *begin + RETRY_WINDOW);
            let asked = most_requests(&requests, *begin);
            if arrived as f64 > RETRY_RATIO * asked as f64 + RETRY_SLACK {
                let what = format!("{service} got {arrived} repeats in a window, of {asked} requests");
                found.push(violation(Guarantee::RetryBudget, what));
                break;
            }
        }
    }
    found
}

/// When the requests for a service were made, in order: those of callers when they were sent, whether they arrived or not,
/// and the others when they arrived first.
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

/// The requests of the window from `begin`, of the one before it or of the one half a window before it, whichever has most.
fn most_requests(requests: &[Instant], begin: Instant) -> usize {
    let mut most = 0;
    for earlier in [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW] {
        let Some(from) = begin.checked_sub(earlier) else { continue };
        most = most.max(count_between(requests, from, from + RETRY_WINDOW));
    }
    most
}

fn count_between(times: &[Instant], from: Instant, until: Instant) -> usize {
    times.partition_point(|time| *time < until) - times.partition_point(|time| *time < from)
}

/// The promises that hold for machines that no fault has struck lately.
pub fn check_fault_free(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    let ran: HashSet<&str> = record.runs.iter().map(|run| run.id.as_str()).collect();
    let (mut served, mut asked) = (0_usize, 0_usize);
    for call in &record.calls {
        if !record.is_fault_and_crash_free(SETTLE, call.sent, call.ended) {
            continue;
        }
        let counts = call.key.is_steady() && call.kind != RouteKind::Crashing;
        asked += usize::from(counts);
        match call.end {
            CallEnd::Answered { status: 200, .. } => served += usize::from(counts),
            CallEnd::Answered { .. } => {}
            // A process that was asked to stop may be gone, and its callers come to nobody.
            CallEnd::Unreached => asked -= usize::from(counts && was_stopping(record, call)),
            CallEnd::Cut if !ran.contains(call.id.as_str()) && call.ended - call.sent <= UNREAD => {}
            CallEnd::Cut | CallEnd::Silent => {
                let what = format!(
                    "{} at machine {} ended as {:?} after {:?}",
                    call.id,
                    call.machine,
                    call.end,
                    call.ended - call.sent
                );
                found.push(violation(Guarantee::Uncut, what));
            }
        }
    }
    if (served as f64) < MIN_SERVED_SHARE * asked as f64 {
        found.push(violation(Guarantee::Served, format!("{served} of {asked} in calm")));
    }
    found.extend(out_of_date(record));
    found.extend(not_left(record));
    found
}

fn was_stopping(record: &SoakRecord, call: &CallRecord) -> bool {
    record.stops.iter().any(|stop| {
        stop.machine == call.machine
            && call.ended >= stop.requested
            && call.sent <= stop.requested + stop.grace + SETTLE
    })
}

/// Requests that ran at a service to which only configurations send them that should be in force no longer.
fn out_of_date(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    let sent: HashMap<&str, &CallRecord> = record.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    for run in &record.runs {
        let Some(call) = sent.get(run.id.as_str()).filter(|call| call.kind == RouteKind::Moving) else { continue };
        if !record.is_fault_and_crash_free(SETTLE, call.sent, call.ended) {
            continue;
        }
        let service = MachineAddrs::service_of(run.machine);
        let mut may_run = false;
        for (index, config) in record.configs.iter().enumerate() {
            let replaced = record.configs.get(index + 1).map(|next| next.acked);
            let is_over = replaced.is_some_and(|replaced| call.sent > replaced + APPLY + SLACK);
            may_run |= config.moving == service && config.acked <= call.ended && !is_over;
        }
        if !may_run {
            found.push(violation(Guarantee::InForce, format!("{} ran at {service}", run.id)));
        }
    }
    found
}

/// Requests that reached a target long after its drain, or its end, was acknowledged.
fn not_left(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    for run in &record.runs {
        for drain in record.drains.iter().filter(|drain| drain.machine == run.machine) {
            let is_late = run.at > drain.acked + APPLY + SLACK && run.at < drain.until;
            if is_late && record.is_fault_and_crash_free(SETTLE, drain.acked, run.at) {
                found.push(violation(
                    Guarantee::Drained,
                    format!("{} ran {:?} after the drain", run.id, run.at - drain.acked),
                ));
            }
        }
    }
    found
}
