//! Estimates the latency of each class without queueing at the back end.
//!
//! Each class has its own baseline, so that a change in the mix of classes does not look like congestion.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_types::ClassName;

/// Weight of a period clearly below the baseline: a slow phase has ended.
const DOWNWARD_GAIN: f64 = 0.3;
/// Weight of a period slightly below the baseline, which may be chance.
const SLIGHT_DOWNWARD_GAIN: f64 = 0.05;
/// The ratio to the baseline under which a period counts as clearly below it.
const CLEARLY_BELOW_RATIO: f64 = 0.7;
/// Weight of a period above the baseline while the back end runs far below its limit.
const UPWARD_GAIN: f64 = 0.1;
/// Weight of a period slightly above the baseline while the limit is about the configured one or below. It compensates
/// for downward steps that are due to chance; a higher weight would let queueing raise the baseline.
const SLIGHT_UPWARD_GAIN: f64 = 0.02;
/// The minimum number of measurements of a class that change its baseline; fewer would lower it by chance.
const MIN_SAMPLES_TO_UPDATE: u32 = 20;
/// The maximum number of classes measured; the mean inflation of these stands in for further ones. The configuration
/// lists far fewer.
const MAX_CLASSES: usize = 64;
/// Latencies are raised to at least this, in seconds; the gate cannot measure shorter ones.
const MIN_LATENCY_SECONDS: f64 = 20e-6;

#[derive(Clone, Copy, Debug, Default)]
struct ClassBaseline {
    seconds: Option<f64>,
    count: u32,
    sum: f64,
    sum_of_squares: f64,
    pending: PendingSamples,
}

/// The measurements of several periods, collected until they suffice to change the baseline.
#[derive(Clone, Copy, Debug, Default)]
struct PendingSamples {
    count: u32,
    sum: f64,
    load: LoadLevel,
}

/// The baselines and the measurements of the current period.
#[derive(Clone, Debug, Default)]
pub(super) struct Baselines {
    classes: BTreeMap<ClassName, ClassBaseline>,
}

/// How loaded the back end was in a period, which decides how far its latencies may raise the baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LoadLevel {
    /// The back end ran far below its limit.
    #[default]
    Low,
    /// The back end was in use, with a limit of about the configured one or below, and latencies were hardly inflated.
    Slight,
    /// Latencies may include queueing.
    High,
}

/// The measured latency divided by the baseline; one means no queueing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inflation {
    pub(super) ratio: f64,
    /// The standard error of the ratio.
    pub(super) error: f64,
}

impl Baselines {
    pub(super) fn record(&mut self, class: &ClassName, latency: Duration) {
        let latency = latency.as_secs_f64().max(MIN_LATENCY_SECONDS);
        if let Some(entry) = self.classes.get_mut(class) {
            entry.count += 1;
            entry.sum += latency;
            entry.sum_of_squares += latency * latency;
        } else if self.classes.len() < MAX_CLASSES {
            let sum_of_squares = latency * latency;
            let entry = ClassBaseline { count: 1, sum: latency, sum_of_squares, ..ClassBaseline::default() };
            self.classes.insert(class.clone(), entry);
        }
    }

    /// The inflation over all classes that have a baseline; one if no class has.
    pub(super) fn inflation(&self) -> Inflation {
        let mut measured = 0.0;
        let mut expected = 0.0;
        let mut variance = 0.0;
        for (class, seconds) in self.classes.values().filter_map(|class| Some((class, class.seconds?))) {
            measured += class.sum;
            expected += f64::from(class.count) * seconds;
            variance += class.sum_of_squares - class.sum * class.sum / f64::from(class.count.max(1));
        }
        if expected <= 0.0 {
            return Inflation { ratio: 1.0, error: 0.0 };
        }
        Inflation { ratio: measured / expected, error: variance.max(0.0).sqrt() / expected }
    }

    /// Updates the baselines with the period's means and starts a new period.
    ///
    /// A class without a baseline gets its mean divided by `inflation` as the first one.
    pub(super) fn end_period(&mut self, load: LoadLevel, inflation: f64) {
        for class in self.classes.values_mut().filter(|class| class.count > 0) {
            class.end_period(load, inflation);
        }
    }

    /// Multiplies all baselines by `factor`, because the latency changed for a reason other than concurrency.
    pub(super) fn scale(&mut self, factor: f64) {
        for class in self.classes.values_mut() {
            class.seconds = class.seconds.map(|seconds| (seconds * factor).max(MIN_LATENCY_SECONDS));
            class.pending = PendingSamples::default();
        }
    }
}

impl ClassBaseline {
    fn end_period(&mut self, load: LoadLevel, inflation: f64) {
        self.pending.count += self.count;
        self.pending.sum += self.sum;
        self.pending.load = self.pending.load.max(load);
        self.count = 0;
        self.sum = 0.0;
        self.sum_of_squares = 0.0;
        let mean = self.pending.sum / f64::from(self.pending.count);
        match self.seconds {
            None => self.seconds = Some(mean / inflation.max(1.0)),
            Some(_) if self.pending.count < MIN_SAMPLES_TO_UPDATE => return,
            Some(old) => self.seconds = Some(old + gain(mean / old, self.pending.load) * (mean - old)),
        }
        self.pending = PendingSamples::default();
    }
}

fn gain(ratio: f64, load: LoadLevel) -> f64 {
    match load {
        _ if ratio < CLEARLY_BELOW_RATIO => DOWNWARD_GAIN,
        _ if ratio < 1.0 => SLIGHT_DOWNWARD_GAIN,
        LoadLevel::Low => UPWARD_GAIN,
        LoadLevel::Slight => SLIGHT_UPWARD_GAIN,
        LoadLevel::High => 0.0,
    }
}
