//! Tests of the adaptive limit alone, with a back end whose latency is a function of concurrency.

use std::time::Duration;

use quillhatch_types::{ClassName, Timestamp};

use crate::gate::limit::{AdaptiveLimit, ConcurrencyLimit, LimitBounds};

const TICK: Duration = Duration::from_millis(1);
const LATENCY: f64 = 0.05;

struct LimitDriver {
    limit: AdaptiveLimit,
    now: Timestamp,
    class: ClassName,
}

impl LimitDriver {
    fn new() -> Self {
        let limit = AdaptiveLimit::new(LimitBounds { initial_limit: 10, maximum: 20 });
        LimitDriver { limit, now: Timestamp::ZERO, class: ClassName::new("look").expect("a valid name") }
    }

    /// Keeps as many calls running as the limit allows; `latency` returns the seconds that a call takes at a
    /// concurrency.
    fn run(&mut self, seconds: u64, latency: impl Fn(f64) -> f64) -> u32 {
        let end = self.now + Duration::from_secs(seconds);
        let mut completions = 0.0;
        while self.now < end {
            self.now = self.now + TICK;
            let running = self.limit.limit();
            self.limit.running_changed(self.now, running);
            self.limit.blocked();
            let seconds_per_call = latency(f64::from(running));
            completions += f64::from(running) * TICK.as_secs_f64() / seconds_per_call;
            while completions >= 1.0 {
                completions -= 1.0;
                self.limit.measured(self.now, &self.class, Duration::from_secs_f64(seconds_per_call));
            }
        }
        self.limit.limit()
    }
}

/// Constant latency up to `capacity` running calls, and queueing beyond.
fn knee(capacity: f64) -> impl Fn(f64) -> f64 {
    move |running| LATENCY * (running / capacity).max(1.0)
}

#[test]
fn the_limit_rises_again_when_its_baseline_is_too_low() {
    let mut driver = LimitDriver::new();
    driver.run(2, knee(8.0));
    assert!(driver.run(5, knee(3.0)) < 6);
    assert!(driver.run(8, |_| 1.7 * LATENCY) >= 10);
}

#[test]
fn a_baseline_that_was_measured_under_load_is_corrected() {
    let mut driver = LimitDriver::new();
    assert!(driver.run(5, knee(4.0)) >= 10);
    assert!(driver.run(60, knee(4.0)) < 8);
}

#[test]
fn a_slow_phase_does_not_hide_the_overload_that_follows() {
    let mut driver = LimitDriver::new();
    driver.run(2, |_| LATENCY);
    driver.run(5, |_| 5.0 * LATENCY);
    driver.run(1, |_| LATENCY);
    assert!(driver.run(2, knee(4.0)) < 8);
}
