//! Controls the admission level: edges refuse calls of this rank or above before they send them.
//!
//! In short periods the controller compares arrivals by rank with the calls that got a slot. After a period with
//! refusals at the gate it lowers the level to the rank up to which the arrivals would have fitted. After a period
//! without overload it raises the level by a step that doubles from period to period, so that the level is fully open
//! again about a second after an overload, whatever its history. (The method follows "Overload Control for Scaling
//! WeChat Microservices", SoCC 2018.)

use std::time::Duration;

use quillhatch_types::admission::{BANDS, RANKS_PER_BAND};
use quillhatch_types::{AdmissionLevel, AdmissionRank, Timestamp};

use super::attempt::PROTECTED_RANKS;

/// The length of one period of the controller.
pub(super) const CONTROL_PERIOD: Duration = Duration::from_millis(100);
const BUCKET_RANKS: u16 = 64;
const BUCKETS: usize = (BANDS * RANKS_PER_BAND / BUCKET_RANKS) as usize;
/// The factor applied to the counts of earlier periods at the end of each period.
const COUNT_RETENTION: f64 = 0.8;
/// Bounds of the decrease of the level in one period, in ranks.
const MIN_DECREASE: u16 = 16;
const MAX_DECREASE: u16 = RANKS_PER_BAND;
/// The first and the maximum step by which the level rises in one period, in ranks.
const INITIAL_STEP: u16 = 32;
const MAX_STEP: u16 = RANKS_PER_BAND;
/// The growth of the step from one period without overload to the next.
const STEP_FACTOR: u16 = 2;
/// The growth of the step while slots are free and no call waits, which means that the overload is over.
const IDLE_STEP_FACTOR: u16 = 4;
/// The maximum number of elapsed periods applied at once after a gate was not stepped for a long time.
const MAX_ELAPSED_PERIODS: u64 = 64;
/// How long after a refusal the gate counts as overloaded.
const OVERLOAD_DURATION: Duration = Duration::from_millis(500);

/// The gate's state at the end of a period, as input to the controller.
#[derive(Clone, Copy, Debug)]
pub(super) struct GateState {
    /// Whether unprotected calls wait or run.
    pub(super) unprotected_present: bool,
    /// Whether slots are free and no call waits.
    pub(super) idle: bool,
}

/// The controller of one gate's admission level.
#[derive(Clone, Debug)]
pub(super) struct AdmissionController {
    level: u16,
    arrivals: [f64; BUCKETS],
    served: f64,
    period_start: Timestamp,
    under_pressure: bool,
    unprotected_served: bool,
    step: u16,
    last_pressure: Option<Timestamp>,
}

impl AdmissionController {
    pub(super) fn new() -> Self {
        AdmissionController {
            level: AdmissionLevel::OPEN.0,
            arrivals: [0.0; BUCKETS],
            served: 0.0,
            period_start: Timestamp::ZERO,
            under_pressure: false,
            unprotected_served: false,
            step: INITIAL_STEP,
            last_pressure: None,
        }
    }

    pub(super) fn level(&self) -> AdmissionLevel {
        AdmissionLevel(self.level)
    }

    /// Whether the level is so low that it refuses even some protected calls; no less important call may then start.
    pub(super) fn only_protected(&self) -> bool {
        self.level < PROTECTED_RANKS
    }

    /// Whether the gate refused calls within [`OVERLOAD_DURATION`], or its level still makes edges refuse some.
    pub(super) fn overloaded(&self, now: Timestamp) -> bool {
        let recent = self.last_pressure.is_some_and(|at| now.since(at) < OVERLOAD_DURATION);
        recent || self.level < AdmissionLevel::OPEN.0
    }

    pub(super) fn arrived(&mut self, rank: AdmissionRank) {
        let bucket = usize::from(rank.0 / BUCKET_RANKS).min(BUCKETS - 1);
        self.arrivals[bucket] += 1.0;
    }

    /// Records that a call got a slot.
    pub(super) fn served(&mut self, protected: bool) {
        self.served += 1.0;
        self.unprotected_served |= !protected;
    }

    /// Records that the gate refused a call for lack of capacity, or that calls wait too long in the queue.
    pub(super) fn record_pressure(&mut self, now: Timestamp) {
        self.under_pressure = true;
        self.last_pressure = Some(now);
    }

    /// When the current period ends, if that can change the level.
    pub(super) fn next_wake(&self) -> Option<Timestamp> {
        let level_may_change = self.under_pressure || self.level < AdmissionLevel::OPEN.0;
        level_may_change.then(|| self.period_start + CONTROL_PERIOD)
    }

    /// Ends the periods that have elapsed.
    pub(super) fn advance(&mut self, now: Timestamp, state: GateState) {
        let periods = now.since(self.period_start).as_micros() as u64 / CONTROL_PERIOD.as_micros() as u64;
        if periods == 0 {
            return;
        }
        if self.under_pressure {
            self.lower(state.unprotected_present || self.unprotected_served);
            self.step = INITIAL_STEP;
        } else {
            self.raise(if state.idle { IDLE_STEP_FACTOR } else { STEP_FACTOR });
        }
        for _ in 1..periods.min(MAX_ELAPSED_PERIODS) {
            self.raise(STEP_FACTOR);
        }
        let retention = COUNT_RETENTION.powi(periods.min(MAX_ELAPSED_PERIODS) as i32);
        self.arrivals.iter_mut().for_each(|count| *count *= retention);
        self.served *= retention;
        self.under_pressure = false;
        self.unprotected_served = false;
        self.period_start = now;
    }

    fn raise(&mut self, factor: u16) {
        self.level = self.level.saturating_add(self.step).min(AdmissionLevel::OPEN.0);
        self.step = (self.step * factor).min(MAX_STEP);
        if self.level == AdmissionLevel::OPEN.0 {
            self.step = INITIAL_STEP;
        }
    }

    fn lower(&mut self, unprotected_present: bool) {
        // Edges must not refuse protected calls while this gate serves less important ones.
        let floor = if unprotected_present { PROTECTED_RANKS } else { 0 };
        let lowest = self.level.saturating_sub(MAX_DECREASE);
        let highest = self.level.saturating_sub(MIN_DECREASE);
        let target = self.fitting_rank().clamp(lowest, highest);
        self.level = target.max(floor.min(self.level));
    }

    /// The rank below which the number of arrivals equals the number of calls served.
    fn fitting_rank(&self) -> u16 {
        let capacity = self.served;
        let mut sum = 0.0;
        for (bucket, count) in self.arrivals.iter().enumerate() {
            if sum + count > capacity {
                let part = f64::from(BUCKET_RANKS) * (capacity - sum) / count;
                return bucket as u16 * BUCKET_RANKS + part as u16;
            }
            sum += count;
        }
        AdmissionLevel::OPEN.0
    }
}
