//! How long the calls of each route take.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::Retryability;

/// The weight of one duration in the smoothed mean (RFC 6298).
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// The weight of one duration in the mean deviation (RFC 6298).
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// The number of mean deviations above the mean within which nearly all calls end (RFC 6298).
const DEVIATIONS_ABOVE_MEAN: f64 = 4.0;

/// The smoothed mean of durations and their mean deviation, in seconds, as TCP estimates them for round trips.
#[derive(Clone, Copy, Debug)]
struct DurationEstimate {
    mean: f64,
    deviation: f64,
}

impl DurationEstimate {
    fn first(seconds: f64) -> Self {
        DurationEstimate { mean: seconds, deviation: seconds / 2.0 }
    }

    fn add(&mut self, seconds: f64) {
        self.deviation += DEVIATION_GAIN * ((seconds - self.mean).abs() - self.deviation);
        self.mean += MEAN_GAIN * (seconds - self.mean);
    }

    fn upper_bound(self) -> Duration {
        Duration::from_secs_f64(self.mean + DEVIATIONS_ABOVE_MEAN * self.deviation)
    }
}

type RouteEstimates = HashMap<Arc<str>, DurationEstimate>;

fn add_to(estimates: &mut RouteEstimates, route: &Arc<str>, duration: Duration) {
    let seconds = duration.as_secs_f64();
    match estimates.get_mut(route) {
        Some(estimate) => estimate.add(seconds),
        None => {
            estimates.insert(route.clone(), DurationEstimate::first(seconds));
        }
    }
}

/// The durations of the calls of each route, the calls that they make included.
#[derive(Clone, Debug, Default)]
pub struct RouteDurations {
    estimates: RouteEstimates,
    streamed: RouteEstimates,
}

impl RouteDurations {
    /// Records how long a call took from its arrival to its response.
    pub fn record(&mut self, route: &Arc<str>, duration: Duration) {
        add_to(&mut self.estimates, route, duration);
    }

    /// Records how long a call with a streamed response took from its arrival to the end of its response.
    pub fn record_streamed(&mut self, route: &Arc<str>, duration: Duration) {
        add_to(&mut self.streamed, route, duration);
    }

    /// The time that calls of a route take on average, if any has been measured.
    pub fn mean(&self, route: &str) -> Option<Duration> {
        self.estimates.get(route).map(|estimate| Duration::from_secs_f64(estimate.mean))
    }

    /// The time within which nearly all calls of a route end, if any has been measured.
    pub fn upper_bound(&self, route: &str) -> Option<Duration> {
        self.estimates.get(route).map(|estimate| estimate.upper_bound())
    }

    /// The time that a stopping node must have left for a call of a route, if any has been measured: the mean for one
    /// that may be retried, and for one that runs at most once the time within which nearly all end. Responses that are
    /// streamed must nearly all end too, since no deadline of the target ends a response that has begun.
    pub fn needed(&self, route: &str, retryability: Retryability) -> Option<Duration> {
        let until_response = match retryability {
            Retryability::Retryable => self.mean(route),
            Retryability::AtMostOnce => self.upper_bound(route),
        };
        let until_end = self.streamed.get(route).map(|estimate| estimate.upper_bound());
        until_response.into_iter().chain(until_end).max()
    }
}
