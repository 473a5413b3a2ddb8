//! A limit that keeps the back end at the knee of its latency curve, by comparing latency with a baseline and by
//! trials.
//!
//! In periods of at least [`MIN_PERIOD`] the limit compares the latency with a baseline, the latency without queueing.
//! Their ratio is the *inflation*. Low inflation raises the limit if it is in use or attempts wait; high inflation cuts
//! it as a trial ([`super::trial`]). A cut without effect on latency is reverted, and the baseline is corrected
//! instead. A limit in use is verified by such a cut from time to time, more often well above the initial limit,
//! because a baseline that has drifted up hides queueing.

use std::time::Duration;

use quillhatch_types::{ClassName, Timestamp};

use super::baseline::{Baselines, Inflation, LoadLevel};
use super::period::PeriodMeasurements;
use super::trial::{LimitTrial, PeriodResult, TrialKind, Verdict};
use super::{ConcurrencyLimit, LimitBounds};

/// The minimum length of a period.
const MIN_PERIOD: Duration = Duration::from_millis(100);
/// The length at which a period ends even if too few attempts were measured.
const MAX_PERIOD: Duration = Duration::from_secs(1);
/// The minimum number of attempts measured in a period that may raise the limit.
const MIN_SAMPLES_TO_RAISE: u32 = 8;
/// The minimum number of attempts measured in a period that may cut it: a wrong cut costs more than a wrong raise.
const MIN_SAMPLES_TO_CUT: u32 = 20;
/// The minimum number of attempts measured in a period that may decide a trial.
const MIN_SAMPLES_TO_JUDGE: u32 = 40;
/// The maximum inflation at which the limit is raised.
const MAX_INFLATION_TO_RAISE: f64 = 1.2;
/// The maximum inflation at which the limit is raised above the initial limit. It is stricter, because the configured
/// slots are assumed to be roughly right.
const MAX_INFLATION_TO_GROW: f64 = 1.1;
/// The inflation above which the limit is cut.
const INFLATION_TO_CUT: f64 = 1.5;
/// The inflation above which one period is enough for a cut.
const INFLATION_TO_CUT_IMMEDIATELY: f64 = 2.5;
/// The range of factors by which the limit is cut.
const MIN_CUT_FACTOR: f64 = 0.6;
const MAX_CUT_FACTOR: f64 = 0.8;
/// The factor by which the limit is cut to verify it.
const VERIFY_CUT_FACTOR: f64 = 0.7;
/// The minimum limit, as a share of the initial limit.
const MIN_LIMIT_SHARE: f64 = 0.25;
/// The step by which the limit grows above the initial limit, as a share of the current limit.
const GROWTH_STEP: f64 = 0.05;
/// The first step after a cut by which the limit returns to the initial limit, as a share of the current limit.
const MIN_STEP: f64 = 0.1;
/// The maximum step by which the limit returns to the initial limit.
const MAX_STEP: f64 = 0.5;
/// The growth of the step from one raise to the next.
const STEP_FACTOR: f64 = 2.0;
/// The inflation in the period after a raise above which the raise is reverted.
const INFLATION_TO_REVERT: f64 = 1.3;
/// The number of standard errors by which a measurement must differ for one period to be significant.
const CONFIDENCE_STANDARD_ERRORS: f64 = 2.0;
/// How long no raise is made after one was reverted; the pause doubles from the minimum to the maximum while raises
/// fail.
const MIN_RAISE_PAUSE: Duration = Duration::from_millis(250);
const MAX_RAISE_PAUSE: Duration = Duration::from_millis(500);
/// The share of the limit that must be in use for latency to be evidence about the limit.
const IN_USE_SHARE: f64 = 0.75;
/// The share of the limit in use below which concurrency cannot be the cause of latency.
const UNLOADED_SHARE: f64 = 0.5;
/// The multiple of the initial limit above which the limit is verified more often.
const FREQUENT_VERIFY_FACTOR: f64 = 1.25;
const FREQUENT_VERIFY_INTERVAL: Duration = Duration::from_secs(10);
const VERIFY_INTERVAL: Duration = Duration::from_secs(30);
/// The interval between trial raises of a low limit; it doubles from the minimum to the maximum while such trials fail.
const MIN_RAISE_TRIAL_INTERVAL: Duration = Duration::from_secs(1);
const MAX_RAISE_TRIAL_INTERVAL: Duration = Duration::from_secs(16);
/// The inflation after a cut below which the baseline must have been measured under load.
const LOADED_BASELINE_INFLATION: f64 = 0.9;
/// The share of attempts refused by the back end itself above which the limit is cut.
const MAX_REFUSED_SHARE: f64 = 0.1;

/// A concurrency limit that adapts to measured latency; see the documentation of its module.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    bounds: LimitBounds,
    limit: f64,
    baselines: Baselines,
    period: PeriodMeasurements,
    /// Whether an attempt has run yet.
    started: bool,
    trial: Option<LimitTrial>,
    /// The number of periods in a row with inflation above [`INFLATION_TO_CUT`].
    inflated_periods: u32,
    /// The next step towards the initial limit, as a share of the limit.
    step: f64,
    /// The limit before the raise that the current period tests, if there was one.
    raised_from: Option<f64>,
    raise_pause: Duration,
    raise_allowed_at: Timestamp,
    /// The start of the last trial; before the first trial, that of the first attempt.
    verified_at: Timestamp,
    raise_trial_interval: Duration,
    /// The earliest time of the next trial raise.
    raise_trial_at: Timestamp,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at the initial limit of `bounds`.
    pub fn new(bounds: LimitBounds) -> Self {
        let mut limit = AdaptiveLimit {
            bounds,
            limit: f64::from(bounds.initial_limit),
            baselines: Baselines::default(),
            period: PeriodMeasurements::default(),
            started: false,
            trial: None,
            inflated_periods: 0,
            step: MIN_STEP,
            raised_from: None,
            raise_pause: MIN_RAISE_PAUSE,
            raise_allowed_at: Timestamp::ZERO,
            verified_at: Timestamp::ZERO,
            raise_trial_interval: MIN_RAISE_TRIAL_INTERVAL,
            raise_trial_at: Timestamp::ZERO,
        };
        limit.set_limit(limit.limit);
        limit
    }

    fn initial_limit(&self) -> f64 {
        f64::from(self.bounds.initial_limit.max(1))
    }

    /// The minimum limit.
    fn floor(&self) -> f64 {
        (self.initial_limit() * MIN_LIMIT_SHARE).max(1.0)
    }

    fn set_limit(&mut self, limit: f64) {
        let maximum = f64::from(self.bounds.maximum.max(1));
        self.limit = limit.max(self.floor()).min(maximum);
    }

    fn end_period_if_due(&mut self, now: Timestamp) {
        let length = now.since(self.period.start);
        if length < MIN_PERIOD {
            return;
        }
        let measured = self.period.samples + self.period.refused;
        if measured < MIN_SAMPLES_TO_RAISE && length < MAX_PERIOD {
            return;
        }
        let inflation = self.baselines.inflation();
        if measured < self.samples_needed(inflation.ratio) && length < MAX_PERIOD {
            return;
        }
        self.end_period(now, inflation);
    }

    fn samples_needed(&self, inflation: f64) -> u32 {
        if self.trial.is_some() {
            MIN_SAMPLES_TO_JUDGE
        } else if inflation > MAX_INFLATION_TO_RAISE && self.raised_from.is_none() {
            MIN_SAMPLES_TO_CUT
        } else {
            MIN_SAMPLES_TO_RAISE
        }
    }

    fn load(&self, result: PeriodResult) -> LoadLevel {
        let initial = self.initial_limit();
        if result.concurrency < UNLOADED_SHARE * self.limit.min(initial) {
            LoadLevel::Low
        } else if self.limit <= FREQUENT_VERIFY_FACTOR * initial
            && result.inflation <= MAX_INFLATION_TO_GROW
            && self.trial.is_none()
        {
            LoadLevel::Slight
        } else {
            LoadLevel::High
        }
    }

    fn end_period(&mut self, now: Timestamp, inflation: Inflation) {
        self.period.integrate(now);
        let result = PeriodResult {
            concurrency: self.period.concurrency(now),
            inflation: inflation.ratio,
            error: inflation.error,
        };
        let load = self.load(result);
        if self.period.samples >= MIN_SAMPLES_TO_RAISE {
            self.decide(now, result);
            self.baselines.end_period(load, inflation.ratio);
            self.period.restart(now);
        } else if self.refused_too_often() {
            self.set_limit(self.limit * MAX_CUT_FACTOR);
            self.period.restart(now);
        } else if now.since(self.period.start) >= MAX_PERIOD {
            self.baselines.end_period(load, inflation.ratio);
            self.period.restart(now);
        }
    }

    fn decide(&mut self, now: Timestamp, result: PeriodResult) {
        if self.trial.is_some() {
            self.continue_trial(now, result);
            return;
        }
        // Service times vary and a period may have only 20 samples, so one standard error does not count as inflation.
        let inflation_lower_bound = result.inflation - result.error;
        self.update_inflated_periods(inflation_lower_bound);
        let in_use = result.concurrency >= IN_USE_SHARE * self.limit;
        let raised_from = self.raised_from.take();
        if raised_from.is_some() && result.inflation <= MAX_INFLATION_TO_GROW {
            self.raise_pause = MIN_RAISE_PAUSE;
        }
        if self.refused_too_often() {
            self.set_limit(self.limit * MAX_CUT_FACTOR);
        } else if let Some(previous) = raised_from.filter(|_| in_use && raise_failed(result)) {
            self.revert_raise(now, previous);
        } else if in_use && self.should_cut(inflation_lower_bound) {
            self.begin_cut_trial(now, result);
        } else if in_use && self.should_verify(now) {
            self.begin_trial(now, TrialKind::Cut, self.limit * VERIFY_CUT_FACTOR, result);
        } else if in_use || self.period.blocked {
            self.raise_if_possible(now, result);
        }
    }

    fn raise_if_possible(&mut self, now: Timestamp, result: PeriodResult) {
        let bound = if self.limit < self.initial_limit() { MAX_INFLATION_TO_RAISE } else { MAX_INFLATION_TO_GROW };
        if result.inflation <= bound {
            self.raise_trial_at = now + self.raise_trial_interval;
            if now >= self.raise_allowed_at {
                self.raise();
            }
        } else if self.limit < self.initial_limit() && now >= self.raise_trial_at {
            // Inflation is too high for a raise and too low for a cut: only a trial raise shows whether the baseline is
            // too low.
            self.begin_raise_trial(now, result);
        }
    }

    fn begin_raise_trial(&mut self, now: Timestamp, result: PeriodResult) {
        self.raise_trial_at = now + self.raise_trial_interval;
        self.begin_trial(now, TrialKind::Raise, self.limit / MIN_CUT_FACTOR + 1.0, result);
    }

    fn refused_too_often(&self) -> bool {
        let refused = f64::from(self.period.refused);
        refused > MAX_REFUSED_SHARE * (refused + f64::from(self.period.samples))
    }

    fn update_inflated_periods(&mut self, inflation: f64) {
        self.inflated_periods = if inflation > INFLATION_TO_CUT { self.inflated_periods + 1 } else { 0 };
    }

    fn should_cut(&self, inflation: f64) -> bool {
        inflation > INFLATION_TO_CUT_IMMEDIATELY || self.inflated_periods >= 2
    }

    fn should_verify(&self, now: Timestamp) -> bool {
        let high = self.limit > FREQUENT_VERIFY_FACTOR * self.initial_limit();
        let interval = if high { FREQUENT_VERIFY_INTERVAL } else { VERIFY_INTERVAL };
        now >= self.verified_at + interval
    }

    fn begin_cut_trial(&mut self, now: Timestamp, result: PeriodResult) {
        if self.limit > self.floor() {
            let factor = (MAX_INFLATION_TO_RAISE / result.inflation).clamp(MIN_CUT_FACTOR, MAX_CUT_FACTOR);
            self.begin_trial(now, TrialKind::Cut, self.limit * factor, result);
        } else if now >= self.raise_trial_at {
            self.begin_raise_trial(now, result);
        }
    }

    fn begin_trial(&mut self, now: Timestamp, kind: TrialKind, limit: f64, before: PeriodResult) {
        // Attempts that are running now started under the old limit, so their latency must not count for the new one.
        let mean_latency = self.period.latency_sum / f64::from(self.period.samples.max(1));
        let settled = now + Duration::from_secs_f64(mean_latency.min(MAX_PERIOD.as_secs_f64()));
        self.trial = Some(LimitTrial::new(kind, self.limit, before, settled));
        self.verified_at = now;
        self.set_limit(limit);
    }

    fn continue_trial(&mut self, now: Timestamp, result: PeriodResult) {
        let Some(trial) = self.trial.as_mut() else { return };
        if !trial.is_settled(now) {
            return;
        }
        let verdict = trial.judge(result);
        let (kind, previous) = (trial.kind, trial.previous_limit);
        if verdict != Verdict::Pending {
            self.trial = None;
            self.inflated_periods = 0;
        }
        match verdict {
            Verdict::Pending | Verdict::Inconclusive => {}
            Verdict::Responsive if kind == TrialKind::Raise => self.end_raise_trial(now, previous),
            Verdict::Responsive => self.keep_cut(now, result),
            Verdict::Unresponsive => {
                self.baselines.scale(result.inflation.max(1.0));
                self.set_limit(self.limit.max(previous));
                self.raise_trial_interval = MIN_RAISE_TRIAL_INTERVAL;
            }
        }
    }

    fn end_raise_trial(&mut self, now: Timestamp, previous: f64) {
        self.set_limit(previous);
        self.raise_trial_interval = (self.raise_trial_interval * 2).min(MAX_RAISE_TRIAL_INTERVAL);
        self.raise_trial_at = now + self.raise_trial_interval;
    }

    /// Keeps a cut that lowered latency, and cuts again if the result shows that the baseline was measured under load.
    fn keep_cut(&mut self, now: Timestamp, result: PeriodResult) {
        self.step = MIN_STEP;
        if result.inflation + CONFIDENCE_STANDARD_ERRORS * result.error >= LOADED_BASELINE_INFLATION {
            return;
        }
        self.baselines.scale(result.inflation);
        if self.limit > self.floor() {
            let before = PeriodResult { inflation: 1.0, ..result };
            self.begin_trial(now, TrialKind::Cut, self.limit * VERIFY_CUT_FACTOR, before);
        }
    }

    /// Reverts a failed raise. No trial is needed: the raise itself showed that the back end was already at its knee.
    fn revert_raise(&mut self, now: Timestamp, previous: f64) {
        self.set_limit(previous);
        self.step = MIN_STEP;
        self.inflated_periods = 0;
        self.raise_allowed_at = now + self.raise_pause;
        self.raise_pause = (self.raise_pause * 2).min(MAX_RAISE_PAUSE);
    }

    /// Raises the limit: in small steps near a limit that was too high, then faster, because the cause may have ended.
    fn raise(&mut self) {
        self.raised_from = Some(self.limit);
        let initial = self.initial_limit();
        if self.limit >= initial {
            self.set_limit(self.limit + (self.limit * GROWTH_STEP).max(0.5));
            return;
        }
        let raised = self.limit + (self.limit * self.step).max(0.5);
        self.step = (self.step * STEP_FACTOR).min(MAX_STEP);
        self.set_limit(raised.min(initial));
    }
}

fn raise_failed(result: PeriodResult) -> bool {
    result.inflation - CONFIDENCE_STANDARD_ERRORS * result.error > INFLATION_TO_REVERT
}

impl ConcurrencyLimit for AdaptiveLimit {
    fn limit(&self) -> u32 {
        self.limit as u32
    }

    fn set_bounds(&mut self, bounds: LimitBounds) {
        if bounds.initial_limit != self.bounds.initial_limit {
            self.limit = f64::from(bounds.initial_limit);
            self.trial = None;
        }
        self.bounds = bounds;
        self.set_limit(self.limit);
    }

    fn running_changed(&mut self, now: Timestamp, running: u32) {
        if !self.started || (self.period.running == 0 && self.period.samples == 0) {
            if !self.started {
                self.verified_at = now;
            }
            // Idle time must not lower the mean concurrency at which the next latencies are measured.
            self.started = true;
            self.period.restart(now);
        }
        self.period.integrate(now);
        self.period.running = running;
    }

    fn blocked(&mut self) {
        self.period.blocked = true;
    }

    fn measured(&mut self, now: Timestamp, class: &ClassName, latency: Duration) {
        let under_trial = self.trial.is_some_and(|trial| !trial.is_settled(now));
        if under_trial {
            self.period.restart(now);
            return;
        }
        self.baselines.record(class, latency);
        self.period.samples += 1;
        self.period.latency_sum += latency.as_secs_f64();
        self.end_period_if_due(now);
    }

    fn refused_by_back_end(&mut self, now: Timestamp) {
        self.period.refused += 1;
        self.end_period_if_due(now);
    }

    fn congested(&self) -> bool {
        self.inflated_periods > 0 || self.trial.is_some()
    }
}
