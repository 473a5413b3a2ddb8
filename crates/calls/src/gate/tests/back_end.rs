//! A simulated back end with a known capacity behind a gate, on a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_types::{AdmissionLevel, AttemptId, CallContext, Priority, Timestamp};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::support::{context, QUEUE_TIMEOUT};
use crate::gate::{AnswerEnd, ClaimResolution, Gate, GateInput, GateOutput};

const TICK: Duration = Duration::from_millis(1);

/// The load on the back end and its performance during a part of a run.
#[derive(Clone, Copy, Debug)]
pub struct LoadCondition {
    /// The number of calls that arrive per second.
    pub rate: f64,
    /// The number of calls that the back end runs at full speed; more calls share that capacity.
    pub capacity: f64,
    /// The factor by which each call takes longer, regardless of concurrency.
    pub slowdown: f64,
    /// The relative loss of capacity per call beyond the capacity.
    pub thrash: f64,
}

#[derive(Clone, Debug)]
struct RunningCall {
    work_left: f64,
    deadline: Timestamp,
}

/// The results of calls in one period of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    pub served_in_time: u32,
    pub refused: u32,
    /// Calls refused after more than half of the queue timeout.
    pub refused_late: u32,
    pub protected_refused: u32,
    pub cancelled: u32,
}

/// A run of a gate in front of a simulated back end.
pub struct SimulatedRun {
    pub gate: Gate,
    /// The results of calls, by period of 100 ms.
    pub counts: BTreeMap<u64, CallCounts>,
    pub protected_share: f64,
    /// The variation of service times: zero for none, one for an exponential distribution.
    pub time_variation: f64,
    pub lowest_limit: u32,
    running: BTreeMap<AttemptId, RunningCall>,
    contexts: BTreeMap<AttemptId, (CallContext, Timestamp)>,
    random: Pcg64,
    next_call: u128,
    now: Timestamp,
}

pub const SERVICE_SECONDS: f64 = 0.05;

impl SimulatedRun {
    pub fn new(gate: Gate) -> Self {
        SimulatedRun {
            gate,
            counts: BTreeMap::new(),
            protected_share: 0.1,
            time_variation: 0.5,
            lowest_limit: u32::MAX,
            running: BTreeMap::new(),
            contexts: BTreeMap::new(),
            random: Pcg64::seed_from_u64(11),
            next_call: 0,
            now: Timestamp::ZERO,
        }
    }

    /// Runs for `span` under one condition.
    pub fn run(&mut self, span: Duration, condition: LoadCondition) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.step(GateInput::Tick);
            self.serve(condition);
            let expected = condition.rate * TICK.as_secs_f64();
            let arrivals = expected as u32 + u32::from(self.random.gen_bool(expected.fract()));
            for _ in 0..arrivals {
                self.arrive();
            }
            self.lowest_limit = self.lowest_limit.min(self.gate.concurrency_limit(self.now));
        }
    }

    pub fn limit(&mut self) -> u32 {
        self.gate.concurrency_limit(self.now)
    }

    /// The admission level in the feedback to edges.
    pub fn level(&mut self) -> AdmissionLevel {
        self.gate.feedback(self.now, None).level
    }

    /// The number of calls per second served in time, from second `from` to second `to`.
    pub fn goodput(&self, from: f64, to: f64) -> f64 {
        f64::from(self.sum(from, to, |counts| counts.served_in_time)) / (to - from)
    }

    /// The share of completed calls that were served in time; unlike goodput, it does not vary with random arrivals.
    pub fn served_share(&self, from: f64, to: f64) -> f64 {
        let served_in_time = self.sum(from, to, |counts| counts.served_in_time);
        f64::from(served_in_time)
            / f64::from(self.sum(from, to, |counts| counts.served_in_time + counts.refused + counts.cancelled))
    }

    pub fn sum(&self, from: f64, to: f64, count: impl Fn(&CallCounts) -> u32) -> u32 {
        let periods = (from * 10.0) as u64..(to * 10.0) as u64;
        self.counts.range(periods).map(|(_, counts)| count(counts)).sum()
    }

    fn arrive(&mut self) {
        let sample: f64 = self.random.gen();
        let class = if sample < self.protected_share {
            "charge"
        } else if sample < 0.6 {
            "look"
        } else {
            "scan"
        };
        self.next_call += 1;
        let position = self.random.gen_range(0..1024);
        let context = context(self.next_call, class, position);
        self.contexts.insert(context.attempt_id(), (context.clone(), self.now));
        self.step(GateInput::Arrived(Box::new(context)));
    }

    fn serve(&mut self, condition: LoadCondition) {
        let count = self.running.len() as f64;
        let lost = 1.0 / (1.0 + condition.thrash * (count - condition.capacity).max(0.0));
        let speed = (condition.capacity * lost / count.max(1.0)).min(1.0) / condition.slowdown;
        for running in self.running.values_mut() {
            running.work_left -= speed * TICK.as_secs_f64();
        }
        let done: Vec<_> =
            self.running.iter().filter(|(_, running)| running.work_left <= 0.0).map(|(id, _)| *id).collect();
        for attempt in done {
            let in_time = self.running.remove(&attempt).is_some_and(|running| running.deadline >= self.now);
            self.count(|counts| counts.served_in_time += u32::from(in_time));
            self.step(GateInput::AnswerEnded {
                attempt,
                end: AnswerEnd::Whole { status: 200, bytes: 0, record: None },
            });
        }
    }

    fn count(&mut self, change: impl Fn(&mut CallCounts)) {
        change(self.counts.entry(self.now.0 / 100_000).or_default());
    }

    fn step(&mut self, input: GateInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = vec![];
            self.gate.step(self.now, input, &mut outputs);
            for output in outputs {
                inputs.extend(self.execute(output));
            }
        }
    }

    fn execute(&mut self, output: GateOutput) -> Option<GateInput> {
        match output {
            GateOutput::RequestClaim(context) => {
                let attempt = context.attempt_id();
                return Some(GateInput::ClaimResolved { attempt, resolution: ClaimResolution::Granted });
            }
            GateOutput::Dispatch { attempt, remaining } => {
                let sample: f64 = self.random.gen_range(1e-9..1.0);
                let work_left = SERVICE_SECONDS * (1.0 - self.time_variation - self.time_variation * sample.ln());
                self.running.insert(attempt, RunningCall { work_left, deadline: self.now + remaining });
            }
            GateOutput::CancelDispatched { attempt } => {
                self.running.remove(&attempt);
                self.count(|counts| counts.cancelled += 1);
                return Some(GateInput::AnswerEnded { attempt, end: AnswerEnd::Cancelled });
            }
            GateOutput::Refuse { attempt, .. } => {
                let (context, arrived) = self.contexts.remove(&attempt)?;
                let protected = context.priority == Priority::Protected;
                let late = self.now.since(arrived) > QUEUE_TIMEOUT / 2;
                self.count(|counts| counts.refused_late += u32::from(late));
                self.count(|counts| counts.refused += 1);
                self.count(|counts| counts.protected_refused += u32::from(protected));
            }
            _ => {}
        }
        None
    }
}
