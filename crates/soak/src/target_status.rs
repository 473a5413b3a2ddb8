//! Rate limits and drains that targets announce in their responses: the schedule, and the guarantees on them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use quillhatch_platform_standins::target::ResponderStatus;
use quillhatch_platform_standins::target::{chained_parent, Arrival};
use rand::Rng;
use rand_pcg::Pcg64;
use tokio::time::sleep;

use crate::checks::{violation, Guarantee, Violation, APPLY_BOUND, SETTLE_TIME};
use crate::machine::SoakMachine;
use crate::record::{CallRecord, SoakRecord};

/// The range of pauses between two announcements, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 500..3000;
/// The range of the durations of an announcement, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 4500..9000;
/// The range of rate limits in requests per second.
const RATE_LIMITS: std::ops::Range<f64> = 1.0..30.0;
/// The factors by which a target changes its rate limit while it has one.
const RATE_LIMIT_CHANGES: [f64; 3] = [0.4, 1.0, 2.5];
/// The probability that a target announces a drain instead of a rate limit.
const DRAIN_PROBABILITY: f64 = 0.3;

/// The window in which the requests of a target with a rate limit are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// By how much a target's rate limit may be exceeded, as a factor and as a number of requests added to it.
const RATE_LIMIT_TOLERANCE: (f64, f64) = (1.5, 5.0);
/// The time after a response with a rate limit from which the requests of its machine count.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// The step in which rate limits that change are integrated over a window.
const INTEGRATION_STEP: Duration = Duration::from_millis(50);

/// The rounding error of the integral.
const ROUNDING_ERROR: f64 = 1e-6;

/// The arrival of a request at a target, whether it ran or not.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    /// The request's id.
    pub id: String,
    /// The process of the target.
    pub process: String,
    /// When it arrived.
    pub at: Instant,
    /// Whether it was meant for another target, and was refused for that.
    pub is_misdirected: bool,
}

impl From<Arrival> for ArrivalRecord {
    fn from(arrival: Arrival) -> Self {
        let Arrival { id, process, at, is_misdirected } = arrival;
        ArrivalRecord { id, process, at, is_misdirected }
    }
}

/// The response to a call that a target made.
#[derive(Clone, Debug)]
pub struct NestedResponse {
    /// The machine of the target that had made the call.
    pub machine: usize,
    /// When the target received it.
    pub at: Instant,
    /// What the target that responded announced.
    pub responder: ResponderStatus,
}

/// A time span during which a target announced a rate limit.
#[derive(Clone, Debug)]
pub struct RateLimitSpan {
    /// The process of the target.
    pub process: String,
    /// The requests per second.
    pub per_second: f64,
    /// When the target began to announce the limit.
    pub from: Instant,
    /// When it announced another one or none.
    pub until: Instant,
}

/// A time span during which a target announced something.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncementSpan {
    /// The target's machine.
    pub machine: usize,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}

/// Lets one target after the other announce a rate limit or a drain, until `end`.
pub async fn play_announcements(
    machines: Vec<Rc<SoakMachine>>,
    record: Rc<RefCell<SoakRecord>>,
    mut random: Pcg64,
    end: Instant,
) {
    while Instant::now() < end {
        sleep(Duration::from_millis(random.gen_range(PAUSE_MS))).await;
        let machine = &machines[random.gen_range(0..machines.len())];
        let duration = Duration::from_millis(random.gen_range(DURATION_MS));
        if machine.is_announcing.replace(true) {
            continue;
        }
        let from = Instant::now();
        if random.gen_bool(DRAIN_PROBABILITY) {
            drain(machine, duration, random.gen()).await;
        } else {
            let limit = (random.gen_range(RATE_LIMITS) * 10.0).round() / 10.0;
            let change = RATE_LIMIT_CHANGES[random.gen_range(0..RATE_LIMIT_CHANGES.len())];
            let spans = announce_limits(machine, &[limit, limit * change], duration / 2).await;
            record.borrow_mut().rate_limits.extend(spans);
        }
        record.borrow_mut().announcements.push(AnnouncementSpan {
            machine: machine.addrs.number,
            from,
            until: Instant::now(),
        });
        machine.is_announcing.set(false);
    }
}

/// Lets a target announce a drain, then end, and start again with the same id or another one. It stays registered as
/// ready.
async fn drain(machine: &SoakMachine, duration: Duration, keeps_id: bool) {
    let process = machine.target.process();
    machine.target.set_leaving(true);
    sleep(duration).await;
    if machine.target.process() != process {
        // It has crashed in the meantime, which ended the drain.
        return;
    }
    if keeps_id {
        machine.target.restart_with_same_id();
    } else {
        machine.target.restart();
    }
}

/// Lets a target announce these limits one after the other, each for `duration`.
pub(crate) async fn announce_limits(machine: &SoakMachine, limits: &[f64], duration: Duration) -> Vec<RateLimitSpan> {
    let process = machine.target.process();
    let mut spans = Vec::new();
    for per_second in limits {
        if machine.target.process() != process {
            break;
        }
        machine.target.set_rate_limit(Some(&per_second.to_string()));
        let from = Instant::now();
        sleep(duration).await;
        spans.push(RateLimitSpan { process: process.clone(), per_second: *per_second, from, until: Instant::now() });
    }
    machine.target.set_rate_limit(None);
    spans
}

/// Checks the guarantees on what targets announce.
pub(crate) fn check(record: &SoakRecord) -> Vec<Violation> {
    let origins = Origins::new(record);
    let mut found = rate_limit_violations(record, &origins);
    found.extend(drain_violations(record, &origins));
    found
}

/// Where and when requests began.
struct Origins<'a> {
    calls: HashMap<&'a str, &'a CallRecord>,
    /// The machines of the targets that ran each request, and when.
    runs: HashMap<&'a str, Vec<(usize, Instant)>>,
}

impl<'a> Origins<'a> {
    fn new(record: &'a SoakRecord) -> Self {
        let mut runs: HashMap<&str, Vec<(usize, Instant)>> = HashMap::new();
        for run in &record.runs {
            runs.entry(&run.id).or_default().push((run.machine, run.at));
        }
        Origins { calls: record.calls.iter().map(|call| (call.id.as_str(), call)).collect(), runs }
    }

    /// The machine at which a request began and when it was sent. A call made by a target was sent after its parent
    /// had started to run there.
    fn of(&self, id: &str, arrived: Instant) -> Option<(usize, Instant)> {
        let Some(parent) = chained_parent(id) else {
            return self.calls.get(id).map(|call| (call.machine, call.sent));
        };
        let runs = self.runs.get(parent)?;
        runs.iter().copied().filter(|(_, at)| *at <= arrived).max_by_key(|(_, at)| *at)
    }
}

/// When machines passed on an announcement of a target's process. A node that was restarted has lost it.
struct Notices<'a> {
    record: &'a SoakRecord,
    /// The times of such responses, to callers or to targets that had made a call, in order, by machine.
    times: HashMap<usize, Vec<Instant>>,
}

impl<'a> Notices<'a> {
    fn new(record: &'a SoakRecord, is_notice: impl Fn(&ResponderStatus) -> bool) -> Self {
        let mut times: HashMap<usize, Vec<Instant>> = HashMap::new();
        for call in record.calls.iter().filter(|call| is_notice(&call.responder)) {
            times.entry(call.machine).or_default().push(call.ended);
        }
        for response in record.nested_responses.iter().filter(|response| is_notice(&response.responder)) {
            times.entry(response.machine).or_default().push(response.at);
        }
        times.values_mut().for_each(|times| times.sort_unstable());
        Notices { record, times }
    }

    fn known_since(&self, machine: usize, at: Instant) -> Option<Instant> {
        let starts = self.record.restarts.iter().filter(|start| start.machine == machine && start.at <= at);
        let started = starts.map(|start| start.at).max();
        let times = self.times.get(&machine)?;
        times.iter().copied().find(|time| started.is_none_or(|started| *time > started)).filter(|time| *time <= at)
    }
}

/// Finds targets that received more requests in a window than the rate limits that they announced allow, from machines
/// that knew of them.
fn rate_limit_violations(record: &SoakRecord, origins: &Origins) -> Vec<Violation> {
    let mut spans: HashMap<&str, Vec<&RateLimitSpan>> = HashMap::new();
    for span in &record.rate_limits {
        spans.entry(&span.process).or_default().push(span);
    }
    let mut found = Vec::new();
    for (process, spans) in spans {
        let notices = Notices::new(record, |responder| responder.process == process && responder.has_rate_limit);
        let counts = |at: Instant, id: &str| {
            let known_since = origins.of(id, at).and_then(|(machine, _)| notices.known_since(machine, at));
            known_since.is_some_and(|since| since + NOTICE_TIME <= at)
        };
        let of_process = record.arrivals.iter().filter(|arrival| arrival.process == process);
        let mut arrivals: Vec<Instant> =
            of_process.filter(|arrival| counts(arrival.at, &arrival.id)).map(|arrival| arrival.at).collect();
        arrivals.sort_unstable();
        found.extend(worst_window(process, &spans, &arrivals));
    }
    found
}

/// Checks the windows in which a process announced a limit all the time.
fn worst_window(process: &str, spans: &[&RateLimitSpan], arrivals: &[Instant]) -> Option<Violation> {
    let first_announced = spans.iter().map(|span| span.from).min()?;
    for end in arrivals.iter().copied().filter(|at| *at >= first_announced + SETTLE_TIME) {
        let begin = end.checked_sub(WINDOW)?;
        let Some(limit) = allowed_in(spans, begin.max(first_announced), end) else { continue };
        let unannounced = first_announced.saturating_duration_since(begin).as_secs_f64();
        let (factor, slack) = RATE_LIMIT_TOLERANCE;
        let allowed = factor * (limit + unannounced * spans[0].per_second) + slack;
        let count = arrivals.iter().filter(|at| **at > begin && **at <= end).count();
        if count as f64 > allowed + ROUNDING_ERROR {
            let description = format!("{process} received {count} requests in {WINDOW:?}, {allowed:.0} are allowed");
            return Some(violation(Guarantee::TargetLimits, description));
        }
    }
    None
}

/// The number of requests that the limits allow from `begin` to `end`; `None` if none was announced for some of that
/// time. For a short time after a change the greater one of both counts.
fn allowed_in(spans: &[&RateLimitSpan], begin: Instant, end: Instant) -> Option<f64> {
    let mut sum = 0.0;
    let mut at = begin;
    while at < end {
        let is_current = |span: &&&RateLimitSpan| span.from <= at && at <= span.until + INTEGRATION_STEP;
        let is_recent = |span: &&&RateLimitSpan| span.from <= at && at <= span.until + NOTICE_TIME;
        spans.iter().find(is_current)?;
        let limit = spans.iter().filter(is_recent).map(|span| span.per_second).fold(0.0, f64::max);
        sum += limit * INTEGRATION_STEP.as_secs_f64();
        at += INTEGRATION_STEP;
    }
    Some(sum)
}

/// Finds requests that reached a draining target although they were sent later than the bound after their machine had
/// passed on a response with its announcement.
fn drain_violations(record: &SoakRecord, origins: &Origins) -> Vec<Violation> {
    let mut notices: HashMap<&str, Notices> = HashMap::new();
    let of_calls = record.calls.iter().map(|call| &call.responder);
    let responders = of_calls.chain(record.nested_responses.iter().map(|response| &response.responder));
    for responder in responders.filter(|responder| responder.is_leaving) {
        let process = responder.process.as_str();
        notices
            .entry(process)
            .or_insert_with(|| Notices::new(record, |responder| responder.process == process && responder.is_leaving));
    }
    let mut found = Vec::new();
    for arrival in record.arrivals.iter().filter(|arrival| !arrival.is_misdirected) {
        let Some(notices) = notices.get(arrival.process.as_str()) else { continue };
        let Some((machine, sent)) = origins.of(&arrival.id, arrival.at) else { continue };
        let Some(known_since) = notices.known_since(machine, arrival.at) else { continue };
        if sent > known_since + APPLY_BOUND {
            let description = format!(
                "{} reached {}, which was draining, from machine {machine}, which had known for {:?}",
                arrival.id,
                arrival.process,
                sent - known_since
            );
            found.push(violation(Guarantee::AnnouncedDrain, description));
        }
    }
    found
}
