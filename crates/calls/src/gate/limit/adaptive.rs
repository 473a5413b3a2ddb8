//! A limit that keeps the back end at its knee, by measured latency against a baseline and by trial.
//!
//! In periods of at least [`SHORTEST_PERIOD`] the limit compares latency with the latency without queueing. Little
//! inflation and waiting attempts raise it; much inflation cuts it, on trial ([`super::trial`]). A cut without effect on
//! latency is taken back, and the baseline is corrected instead. A limit in use is verified now and then by such a cut,
//! more often above the first guess, because a baseline that has drifted up hides queueing.

use std::time::Duration;

use quillhatch_types::{ClassName, Timestamp};

use super::baseline::{Baselines, Inflation, Load};
use super::period::Measurements;
use super::trial::{Period, Trial, TrialKind, Verdict};
use super::{ConcurrencyLimit, LimitBounds};

/// The shortest period.
const SHORTEST_PERIOD: Duration = Duration::from_millis(100);
/// The period that ends whatever few attempts were measured.
const LONGEST_PERIOD: Duration = Duration::from_secs(1);
/// Attempts measured in a period that may raise the limit.
const SAMPLES_TO_RAISE: u32 = 8;
/// Attempts measured in a period that may cut it: a wrong cut costs more than a wrong raise.
const SAMPLES_TO_CUT: u32 = 20;
/// Attempts measured in a period that may decide a trial.
const SAMPLES_TO_JUDGE: u32 = 40;
/// Inflation up to which the limit may rise.
const RAISE_BELOW: f64 = 1.2;
/// Inflation up to which the limit may rise beyond the first guess, which has some truth.
const GROW_BELOW: f64 = 1.1;
/// Inflation from which the limit is cut.
const CUT_ABOVE: f64 = 1.5;
/// Inflation from which one period is enough for a cut.
const CUT_AT_ONCE_ABOVE: f64 = 2.5;
const STRONGEST_CUT: f64 = 0.6;
const WEAKEST_CUT: f64 = 0.8;
const VERIFYING_CUT: f64 = 0.7;
/// The share of the first guess below which the limit does not fall.
const SMALLEST_SHARE: f64 = 0.25;
/// The step by which the limit grows beyond the first guess, as a share of it.
const GROWTH_STEP: f64 = 0.05;
/// The first step after a cut by which it returns to the first guess.
const SMALLEST_STEP: f64 = 0.1;
/// The largest step by which it returns to the first guess.
const LARGEST_STEP: f64 = 0.5;
/// The growth of the step from one raise to the next.
const STEP_FACTOR: f64 = 2.0;
/// Inflation in the period after a raise from which the raise is taken back.
const TAKE_BACK_ABOVE: f64 = 1.3;
/// Standard errors by which a measurement must differ before one period is believed.
const CERTAINTY: f64 = 2.0;
/// How long a raise that was taken back is not tried again; the wait doubles while raises fail.
const SHORTEST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// The share of the limit that must be in use for latency to say something about it.
const IN_USE: f64 = 0.75;
/// The share of the limit below which latency cannot come from concurrency.
const UNLOADED: f64 = 0.5;
/// The limit, as a multiple of the first guess, above which it is verified more often.
const VERIFY_ABOVE: f64 = 1.25;
const VERIFY_HIGH_EVERY: Duration = Duration::from_secs(10);
const VERIFY_EVERY: Duration = Duration::from_secs(30);
/// How soon a limit that is held down is raised on trial; the wait doubles while such trials fail.
const SHORTEST_RISE_INTERVAL: Duration = Duration::from_secs(1);
const LONGEST_RISE_INTERVAL: Duration = Duration::from_secs(16);
/// Inflation after a cut below which the baseline itself had been measured under load.
const BASELINE_DISPROVED: f64 = 0.9;
/// Share of attempts refused by the back end itself from which the limit is cut.
const REFUSED_SHARE: f64 = 0.1;

/// An adaptive limit; see the module's page.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    bounds: LimitBounds,
    limit: f64,
    baselines: Baselines,
    period: Measurements,
    started: bool,
    trial: Option<Trial>,
    inflated_periods: u32,
    step: f64,
    raised_from: Option<f64>,
    pause: Duration,
    raise_at: Timestamp,
    verified: Timestamp,
    rise_interval: Duration,
    rise_at: Timestamp,
}

impl AdaptiveLimit {
    /// A limit that begins at the first guess of `bounds`.
    pub fn new(bounds: LimitBounds) -> Self {
        let mut limit = AdaptiveLimit {
            bounds,
            limit: f64::from(bounds.first_guess),
            baselines: Baselines::default(),
            period: Measurements::default(),
            started: false,
            trial: None,
            inflated_periods: 0,
            step: SMALLEST_STEP,
            raised_from: None,
            pause: SHORTEST_PAUSE,
            raise_at: Timestamp::ZERO,
            verified: Timestamp::ZERO,
            rise_interval: SHORTEST_RISE_INTERVAL,
            rise_at: Timestamp::ZERO,
        };
        limit.set_limit(limit.limit);
        limit
    }

    fn first_guess(&self) -> f64 {
        f64::from(self.bounds.first_guess.max(1))
    }

    fn floor(&self) -> f64 {
        (self.first_guess() * SMALLEST_SHARE).max(1.0)
    }

    fn set_limit(&mut self, limit: f64) {
        let maximum = f64::from(self.bounds.maximum.max(1));
        self.limit = limit.max(self.floor()).min(maximum);
    }

    fn end_period_if_due(&mut self, now: Timestamp) {
        let length = now.since(self.period.start);
        if length < SHORTEST_PERIOD {
            return;
        }
        let measured = self.period.samples + self.period.refused;
        if measured < SAMPLES_TO_RAISE && length < LONGEST_PERIOD {
            return;
        }
        let inflation = self.baselines.inflation();
        if measured < self.samples_needed(inflation.ratio) && length < LONGEST_PERIOD {
            return;
        }
        self.end_period(now, inflation);
    }

    fn samples_needed(&self, inflation: f64) -> u32 {
        if self.trial.is_some() {
            SAMPLES_TO_JUDGE
        } else if inflation > RAISE_BELOW && self.raised_from.is_none() {
            SAMPLES_TO_CUT
        } else {
            SAMPLES_TO_RAISE
        }
    }

    fn load(&self, result: Period) -> Load {
        let guess = self.first_guess();
        if result.concurrency < UNLOADED * self.limit.min(guess) {
            Load::Low
        } else if self.limit <= VERIFY_ABOVE * guess && result.inflation <= GROW_BELOW && self.trial.is_none() {
            Load::Slight
        } else {
            Load::High
        }
    }

    fn end_period(&mut self, now: Timestamp, inflation: Inflation) {
        self.period.integrate(now);
        let result =
            Period { concurrency: self.period.concurrency(now), inflation: inflation.ratio, error: inflation.error };
        let load = self.load(result);
        if self.period.samples >= SAMPLES_TO_RAISE {
            self.decide(now, result);
            self.baselines.end_period(load, inflation.ratio);
            self.period.restart(now);
        } else if self.refused_too_often() {
            self.set_limit(self.limit * WEAKEST_CUT);
            self.period.restart(now);
        } else if now.since(self.period.start) >= LONGEST_PERIOD {
            self.baselines.end_period(load, inflation.ratio);
            self.period.restart(now);
        }
    }

    fn decide(&mut self, now: Timestamp, result: Period) {
        if self.trial.is_some() {
            self.continue_trial(now, result);
            return;
        }
        // Service times vary, and a period may hold only twenty of them: what may be chance is no inflation.
        let certain = result.inflation - result.error;
        self.count_inflated(certain);
        let in_use = result.concurrency >= IN_USE * self.limit;
        let raised_from = self.raised_from.take();
        if raised_from.is_some() && result.inflation <= GROW_BELOW {
            self.pause = SHORTEST_PAUSE;
        }
        if self.refused_too_often() {
            self.set_limit(self.limit * WEAKEST_CUT);
        } else if let Some(previous) = raised_from.filter(|_| in_use && raise_failed(result)) {
            self.take_back(now, previous);
        } else if in_use && self.must_cut(certain) {
            self.begin_cut(now, result);
        } else if in_use && self.must_verify(now) {
            self.begin_trial(now, TrialKind::Cut, self.limit * VERIFYING_CUT, result);
        } else if in_use || self.period.blocked {
            self.raise_if_possible(now, result);
        }
    }

    fn raise_if_possible(&mut self, now: Timestamp, result: Period) {
        let bound = if self.limit < self.first_guess() { RAISE_BELOW } else { GROW_BELOW };
        if result.inflation <= bound {
            self.rise_at = now + self.rise_interval;
            if now >= self.raise_at {
                self.raise();
            }
        } else if self.limit < self.first_guess() && now >= self.rise_at {
            // Held down between the two bounds: only a rise shows whether the baseline is too low.
            self.begin_rise(now, result);
        }
    }

    fn begin_rise(&mut self, now: Timestamp, result: Period) {
        self.rise_at = now + self.rise_interval;
        self.begin_trial(now, TrialKind::Rise, self.limit / STRONGEST_CUT + 1.0, result);
    }

    fn refused_too_often(&self) -> bool {
        let refused = f64::from(self.period.refused);
        refused > REFUSED_SHARE * (refused + f64::from(self.period.samples))
    }

    fn count_inflated(&mut self, inflation: f64) {
        self.inflated_periods = if inflation > CUT_ABOVE { self.inflated_periods + 1 } else { 0 };
    }

    fn must_cut(&self, inflation: f64) -> bool {
        inflation > CUT_AT_ONCE_ABOVE || self.inflated_periods >= 2
    }

    fn must_verify(&self, now: Timestamp) -> bool {
        let high = self.limit > VERIFY_ABOVE * self.first_guess();
        let interval = if high { VERIFY_HIGH_EVERY } else { VERIFY_EVERY };
        now >= self.verified + interval
    }

    fn begin_cut(&mut self, now: Timestamp, result: Period) {
        if self.limit > self.floor() {
            let factor = (RAISE_BELOW / result.inflation).clamp(STRONGEST_CUT, WEAKEST_CUT);
            self.begin_trial(now, TrialKind::Cut, self.limit * factor, result);
        } else if now >= self.rise_at {
            self.begin_rise(now, result);
        }
    }

    fn begin_trial(&mut self, now: Timestamp, kind: TrialKind, limit: f64, before: Period) {
        // The attempts running now were started under the old limit; their latency must not count for the new one.
        let mean_latency = self.period.latency_sum / f64::from(self.period.samples.max(1));
        let settled = now + Duration::from_secs_f64(mean_latency.min(LONGEST_PERIOD.as_secs_f64()));
        self.trial = Some(Trial::new(kind, self.limit, before, settled));
        self.verified = now;
        self.set_limit(limit);
    }

    fn continue_trial(&mut self, now: Timestamp, result: Period) {
        let Some(trial) = self.trial.as_mut() else { return };
        if !trial.is_settled(now) {
            return;
        }
        let verdict = trial.judge(result);
        let (kind, previous) = (trial.kind, trial.previous_limit);
        if verdict != Verdict::Open {
            self.trial = None;
            self.inflated_periods = 0;
        }
        match verdict {
            Verdict::Open | Verdict::Undecided => {}
            Verdict::Responsive if kind == TrialKind::Rise => self.end_rise(now, previous),
            Verdict::Responsive => self.keep_cut(now, result),
            Verdict::Unresponsive => {
                self.baselines.scale(result.inflation.max(1.0));
                self.set_limit(self.limit.max(previous));
                self.rise_interval = SHORTEST_RISE_INTERVAL;
            }
        }
    }

    fn end_rise(&mut self, now: Timestamp, previous: f64) {
        self.set_limit(previous);
        self.rise_interval = (self.rise_interval * 2).min(LONGEST_RISE_INTERVAL);
        self.rise_at = now + self.rise_interval;
    }

    /// Keeps a cut that lowered latency, and goes on cutting if it shows that the baseline was measured under load.
    fn keep_cut(&mut self, now: Timestamp, result: Period) {
        self.step = SMALLEST_STEP;
        if result.inflation + CERTAINTY * result.error >= BASELINE_DISPROVED {
            return;
        }
        self.baselines.scale(result.inflation);
        if self.limit > self.floor() {
            let before = Period { inflation: 1.0, ..result };
            self.begin_trial(now, TrialKind::Cut, self.limit * VERIFYING_CUT, before);
        }
    }

    /// The raise itself showed that the back end was at its knee before; no trial is needed.
    fn take_back(&mut self, now: Timestamp, previous: f64) {
        self.set_limit(previous);
        self.step = SMALLEST_STEP;
        self.inflated_periods = 0;
        self.raise_at = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Raises the limit: carefully next to the limit that was just too high, then faster, since the cause may be gone.
    fn raise(&mut self) {
        self.raised_from = Some(self.limit);
        let guess = self.first_guess();
        if self.limit >= guess {
            self.set_limit(self.limit + (self.limit * GROWTH_STEP).max(0.5));
            return;
        }
        let raised = self.limit + (self.limit * self.step).max(0.5);
        self.step = (self.step * STEP_FACTOR).min(LARGEST_STEP);
        self.set_limit(raised.min(guess));
    }
}

fn raise_failed(result: Period) -> bool {
    result.inflation - CERTAINTY * result.error > TAKE_BACK_ABOVE
}

impl ConcurrencyLimit for AdaptiveLimit {
    fn limit(&self) -> u32 {
        self.limit as u32
    }

    fn set_bounds(&mut self, bounds: LimitBounds) {
        if bounds.first_guess != self.bounds.first_guess {
            self.limit = f64::from(bounds.first_guess);
            self.trial = None;
        }
        self.bounds = bounds;
        self.set_limit(self.limit);
    }

    fn running_changed(&mut self, now: Timestamp, running: u32) {
        if !self.started || (self.period.running == 0 && self.period.samples == 0) {
            if !self.started {
                self.verified = now;
            }
            // An idle span says nothing about the concurrency at which the next latencies are measured.
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
