//! The report of a run, worked out from its [`Record`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::engine::Instant;
use crate::options::RunOptions;
use crate::record::Record;
use crate::timeline::{ARRIVALS_END, BASELINE_START, BUCKET, CAUSE_END, CAUSE_START, MILLISECOND, SECOND};

#[cfg(test)]
mod tests;

/// Whole requests per second in the three parts of a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Goodput {
    /// Under normal load, before any cause of trouble.
    pub before: f64,
    /// While a cause of trouble lasts.
    pub during: f64,
    /// After the last cause ended.
    pub after: f64,
}

/// Latencies of whole requests, from the first try on, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LatencyPercentiles {
    /// The median.
    pub p50: f64,
    /// 90 in 100 are faster.
    pub p90: f64,
    /// 99 in 100 are faster.
    pub p99: f64,
    /// 999 in 1000 are faster.
    pub p999: f64,
}

/// Something that happened during a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportEvent {
    /// Milliseconds since the start.
    pub at_ms: f64,
    /// What happened.
    pub text: String,
}

/// The report of one run; the same options give the same report, byte for byte.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The profile.
    pub profile: String,
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// The mechanism left out.
    pub disabled: Option<String>,
    /// Requests offered by outside callers.
    pub offered: u64,
    /// Requests whose caller got the whole, right answer.
    pub completed_whole: u64,
    /// Whole requests per second.
    pub goodput_per_s: Goodput,
    /// The share of protected requests completed whole.
    pub protected_served_ratio: f64,
    /// Tries of outside callers that ended with a refusal.
    pub refused_by_class: BTreeMap<String, u64>,
    /// The same tries, by what the caller was told.
    pub refused_by_reason: BTreeMap<String, u64>,
    /// Milliseconds from the end of the last cause until goodput was back; null if it never was.
    pub recovery_ms: Option<f64>,
    /// The share of back ends' work that no completed request used.
    pub wasted_work_ratio: f64,
    /// Runs beyond the first of requests that may run only once.
    pub duplicate_runs: u64,
    /// Calls told `not-run` that a back end saw.
    pub false_not_run: u64,
    /// Answers given as whole that were not.
    pub foreign_or_partial_answers: u64,
    /// The most attempts below one try of an outside caller.
    pub max_attempts_per_root: u32,
    /// Trees with more attempts than first tries and budget.
    pub attempt_bound_violations: u64,
    /// Nodes seen going back to an older configuration.
    pub config_reversions: u64,
    /// Milliseconds until a new configuration was in force everywhere; null if none was published or it never was.
    pub config_in_force_ms: Option<f64>,
    /// Nodes that never had the new configuration in force.
    pub config_never_in_force: u64,
    /// Attempts handed to a back end more than two seconds after its drain was in force.
    pub new_work_after_drain: u64,
    /// Calls in flight cut off by a planned stop.
    pub cut_by_planned_stop: u64,
    /// Protected calls refused while less important work waited or was preferred at the same back end.
    pub protected_refused_first: u64,
    /// Latencies of whole requests.
    pub latency_ms: LatencyPercentiles,
    /// Whole requests per time bucket of [`BUCKET`], by class.
    pub goodput_timeline: BTreeMap<String, Vec<u32>>,
    /// The width of a time bucket in milliseconds.
    pub timeline_bucket_ms: u64,
    /// When the first cause began, in milliseconds.
    pub cause_start_ms: u64,
    /// When the last cause ended, in milliseconds.
    pub cause_end_ms: u64,
    /// What happened.
    pub events: Vec<ReportEvent>,
}

impl Report {
    /// The sum of the counts of broken promises.
    pub fn broken_promises(&self) -> u64 {
        self.duplicate_runs
            + self.false_not_run
            + self.foreign_or_partial_answers
            + self.attempt_bound_violations
            + self.config_reversions
            + self.config_never_in_force
            + self.new_work_after_drain
            + self.cut_by_planned_stop
            + self.protected_refused_first
    }
}

/// Goodput of all classes together, and what was offered, by time bucket.
struct Level {
    whole: Vec<u32>,
    offered: Vec<u32>,
}

impl Level {
    fn of(record: &Record) -> Self {
        let buckets = (ARRIVALS_END / BUCKET) as usize;
        let mut whole = vec![0; buckets];
        for class in record.goodput.values() {
            for (sum, count) in whole.iter_mut().zip(class) {
                *sum += count;
            }
        }
        let mut offered = record.offered_timeline.clone();
        offered.resize(buckets, 0);
        Level { whole, offered }
    }

    /// Whole requests per second from `from` to `to`.
    fn goodput(&self, from: Instant, to: Instant) -> f64 {
        per_second(&self.whole, from, to)
    }

    /// Whether goodput from `from` to `to` is at least `share` of its normal level, or of the part of it that callers
    /// offered: their number varies by chance.
    fn is_normal(&self, normal: &Normal, share: f64, from: Instant, to: Instant) -> bool {
        let offered_share = per_second(&self.offered, from, to) / normal.offered;
        self.goodput(from, to) >= share * normal.goodput * offered_share.min(1.0)
    }

    /// The first moment after `from` at which goodput has come back and stays for [`HELD_FOR`].
    fn recovered(&self, normal: &Normal, from: Instant) -> Option<Instant> {
        const HELD_FOR: Instant = 3 * SECOND;
        const SHARE: f64 = 0.95;
        // A single second varies by chance; it may fall a little lower than the whole time.
        const SHARE_OF_EACH_SECOND: f64 = 0.9;
        let mut starts = (from..=ARRIVALS_END - HELD_FOR).step_by(BUCKET as usize);
        starts.find(|&start| {
            let end = start + HELD_FOR;
            let mut seconds = (start..end).step_by(SECOND as usize);
            self.is_normal(normal, SHARE, start, end)
                && seconds.all(|second| self.is_normal(normal, SHARE_OF_EACH_SECOND, second, second + SECOND))
        })
    }
}

/// The level under normal load, per second.
struct Normal {
    goodput: f64,
    offered: f64,
}

impl Normal {
    fn of(level: &Level) -> Self {
        Normal {
            goodput: level.goodput(BASELINE_START, CAUSE_START),
            offered: per_second(&level.offered, BASELINE_START, CAUSE_START),
        }
    }
}

fn per_second(buckets: &[u32], from: Instant, to: Instant) -> f64 {
    let range = (from / BUCKET) as usize..(to / BUCKET) as usize;
    let Some(buckets) = buckets.get(range) else { return 0.0 };
    let sum: u32 = buckets.iter().sum();
    f64::from(sum) * SECOND as f64 / (to - from) as f64
}

fn milliseconds(time: Instant) -> f64 {
    time as f64 / MILLISECOND as f64
}

fn percentile(sorted: &[Instant], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let position = (share * last as f64).round() as usize;
    sorted.get(position).map_or(0.0, |&latency| milliseconds(latency))
}

/// Works the report out of the record.
pub fn report(options: &RunOptions, record: &Record) -> Report {
    let level = Level::of(record);
    let normal = Normal::of(&level);
    let latencies = record.latencies();
    let names = |counts: &BTreeMap<&'static str, u64>| {
        counts.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect()
    };
    Report {
        profile: options.profile.to_string(),
        scenario: options.scenario.to_string(),
        policy: options.policy.to_string(),
        seed: options.seed,
        disabled: options.disabled.map(|mechanism| mechanism.to_string()),
        offered: record.offered_count(),
        completed_whole: record.whole_count(),
        goodput_per_s: Goodput {
            before: normal.goodput,
            during: level.goodput(CAUSE_START, CAUSE_END),
            after: level.goodput(CAUSE_END, ARRIVALS_END),
        },
        protected_served_ratio: record.protected_served_ratio(),
        refused_by_class: names(&record.refused),
        refused_by_reason: record.refused_because.clone(),
        recovery_ms: level.recovered(&normal, CAUSE_END).map(|moment| milliseconds(moment - CAUSE_END)),
        wasted_work_ratio: record.wasted_work_ratio(),
        duplicate_runs: record.duplicate_runs,
        false_not_run: record.false_not_run(),
        foreign_or_partial_answers: record.foreign_or_partial_answers,
        max_attempts_per_root: record.maximum_attempts(),
        attempt_bound_violations: record.attempt_bound_violations(),
        config_reversions: record.config_reversions,
        config_in_force_ms: record.config_in_force.map(milliseconds),
        config_never_in_force: record.config_never_in_force,
        new_work_after_drain: record.new_work_after_drain,
        cut_by_planned_stop: record.cut_by_planned_stop,
        protected_refused_first: record.protected_refused_first,
        latency_ms: LatencyPercentiles {
            p50: percentile(&latencies, 0.5),
            p90: percentile(&latencies, 0.9),
            p99: percentile(&latencies, 0.99),
            p999: percentile(&latencies, 0.999),
        },
        goodput_timeline: record.goodput.iter().map(|(name, buckets)| ((*name).to_owned(), buckets.clone())).collect(),
        timeline_bucket_ms: BUCKET / MILLISECOND,
        cause_start_ms: CAUSE_START / MILLISECOND,
        cause_end_ms: CAUSE_END / MILLISECOND,
        events: record
            .events
            .iter()
            .map(|(at, text)| ReportEvent { at_ms: milliseconds(*at), text: text.clone() })
            .collect(),
    }
}
