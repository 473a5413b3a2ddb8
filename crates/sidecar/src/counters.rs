//! Counters and the latency histogram of a sidecar, in the Prometheus text format.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// The upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// A latency histogram.
#[derive(Clone, Debug, Default)]
struct Histogram {
    buckets: [u64; LATENCY_BOUNDS.len()],
    count: u64,
    sum: f64,
}

/// All counters of the process.
#[derive(Debug, Default)]
pub struct Counters {
    edge: RefCell<BTreeMap<&'static str, u64>>,
    gate: RefCell<BTreeMap<&'static str, u64>>,
    latency: RefCell<Histogram>,
    /// Retries of calls whose previous attempt a target may have received.
    pub retries: Cell<u64>,
    /// Retries that the retry budget of their service did not allow.
    pub denied_retries: Cell<u64>,
    /// Calls that arrived once more since a call above them was retried.
    pub inherited_retries: Cell<u64>,
    /// Calls forwarded to the local target, whether it ran them or not.
    pub target_requests: Cell<u64>,
    /// Calls that the node answered itself after it had ended an attempt whose target may have been working on it.
    pub given_up_at_work: Cell<u64>,
    /// Streamed responses that were aborted.
    pub aborted_streams: Cell<u64>,
    /// Requests to the platform's store.
    pub store_requests: Cell<u64>,
    /// Requests to the platform's store without a usable response.
    pub store_failures: Cell<u64>,
    /// Tasks of the process that ended or panicked.
    pub task_failures: Cell<u64>,
}

impl Counters {
    /// Counts how a call ended at the edge, and how long it took.
    pub fn count_edge_call(&self, outcome: &'static str, took: Duration) {
        *self.edge.borrow_mut().entry(outcome).or_default() += 1;
        let mut histogram = self.latency.borrow_mut();
        let seconds = took.as_secs_f64();
        for (bucket, bound) in histogram.buckets.iter_mut().zip(LATENCY_BOUNDS) {
            *bucket += u64::from(seconds <= bound);
        }
        histogram.count += 1;
        histogram.sum += seconds;
    }

    /// Counts how a call ended at the gate.
    pub fn count_gate_call(&self, outcome: &'static str) {
        *self.gate.borrow_mut().entry(outcome).or_default() += 1;
    }

    /// Increments a counter by one.
    pub fn increment(counter: &Cell<u64>) {
        counter.set(counter.get() + 1);
    }

    /// Renders the counters and the current values of `gauges` in the Prometheus text format.
    pub fn render(&self, gauges: &[(&str, f64)], dropped_lines: u64) -> String {
        let mut text = String::new();
        for (name, counts) in [("edge", &self.edge), ("gate", &self.gate)] {
            let _ = writeln!(text, "# TYPE quillhatch_{name}_calls_total counter");
            for (outcome, count) in counts.borrow().iter() {
                let _ = writeln!(text, "quillhatch_{name}_calls_total{{outcome=\"{outcome}\"}} {count}");
            }
        }
        let counters = [
            ("repeats", self.retries.get()),
            ("denied_retries", self.denied_retries.get()),
            ("inherited_retries", self.inherited_retries.get()),
            ("target_requests", self.target_requests.get()),
            ("given_up_at_work", self.given_up_at_work.get()),
            ("aborted_streams", self.aborted_streams.get()),
            ("store_requests", self.store_requests.get()),
            ("store_failures", self.store_failures.get()),
            ("task_failures", self.task_failures.get()),
            ("log_lines_dropped", dropped_lines),
        ];
        for (name, count) in counters {
            let _ = writeln!(text, "# TYPE quillhatch_{name}_total counter\nquillhatch_{name}_total {count}");
        }
        for (name, value) in gauges {
            let _ = writeln!(text, "# TYPE quillhatch_{name} gauge\nquillhatch_{name} {value}");
        }
        self.render_latency(&mut text);
        text
    }

    fn render_latency(&self, text: &mut String) {
        let histogram = self.latency.borrow();
        let _ = writeln!(text, "# TYPE quillhatch_edge_call_seconds histogram");
        for (bound, count) in LATENCY_BOUNDS.iter().zip(histogram.buckets) {
            let _ = writeln!(text, "quillhatch_edge_call_seconds_bucket{{le=\"{bound}\"}} {count}");
        }
        let _ = writeln!(text, "quillhatch_edge_call_seconds_bucket{{le=\"+Inf\"}} {}", histogram.count);
        let _ = writeln!(text, "quillhatch_edge_call_seconds_sum {}", histogram.sum);
        let _ = writeln!(text, "quillhatch_edge_call_seconds_count {}", histogram.count);
    }
}
