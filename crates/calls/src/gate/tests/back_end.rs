//! A simulated back end with a known knee, driven through a gate on a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_types::{AdmissionLevel, AttemptId, CallContext, Priority, Timestamp};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::support::{context, QUEUE_TIMEOUT};
use crate::gate::{AnswerEnd, ClaimResolution, Gate, GateInput, GateOutput};

const TICK: Duration = Duration::from_millis(1);

/// How the back end is at one time.
#[derive(Clone, Copy, Debug)]
pub struct Condition {
    /// Calls per second that arrive.
    pub rate: f64,
    /// Calls that the back end runs at full speed; more share its speed.
    pub capacity: f64,
    /// The factor by which a call takes longer, however few run.
    pub slowdown: f64,
    /// The share of capacity lost per call beyond capacity.
    pub thrash: f64,
}

#[derive(Clone, Debug)]
struct Running {
    work_left: f64,
    deadline: Timestamp,
}

/// What callers saw in one period of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    pub good: u32,
    pub refused: u32,
    /// Refused after more than half of the queue timeout.
    pub refused_late: u32,
    pub protected_refused: u32,
    pub cancelled: u32,
}

/// A run of a gate before a back end.
pub struct Run {
    pub gate: Gate,
    /// What callers saw, by period of 100 ms.
    pub seen: BTreeMap<u64, Seen>,
    pub protected_share: f64,
    /// The variation of service times: zero for none, one for an exponential distribution.
    pub spread: f64,
    pub slowest_limit: u32,
    running: BTreeMap<AttemptId, Running>,
    contexts: BTreeMap<AttemptId, (CallContext, Timestamp)>,
    random: Pcg64,
    next_call: u128,
    now: Timestamp,
}

pub const SERVICE_SECONDS: f64 = 0.05;

impl Run {
    pub fn new(gate: Gate) -> Self {
        Run {
            gate,
            seen: BTreeMap::new(),
            protected_share: 0.1,
            spread: 0.5,
            slowest_limit: u32::MAX,
            running: BTreeMap::new(),
            contexts: BTreeMap::new(),
            random: Pcg64::seed_from_u64(11),
            next_call: 0,
            now: Timestamp::ZERO,
        }
    }

    /// Runs for a span under one condition.
    pub fn run(&mut self, span: Duration, condition: Condition) {
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
            self.slowest_limit = self.slowest_limit.min(self.gate.concurrency_limit(self.now));
        }
    }

    pub fn limit(&mut self) -> u32 {
        self.gate.concurrency_limit(self.now)
    }

    /// The admission level that edges are told.
    pub fn level(&mut self) -> AdmissionLevel {
        self.gate.feedback(self.now, None).level
    }

    /// Calls served in time per second, from `from` to `to` seconds.
    pub fn goodput(&self, from: f64, to: f64) -> f64 {
        f64::from(self.sum(from, to, |seen| seen.good)) / (to - from)
    }

    /// The share of answered calls that were served in time; unlike goodput it does not vary with chance arrivals.
    pub fn served_share(&self, from: f64, to: f64) -> f64 {
        let good = self.sum(from, to, |seen| seen.good);
        f64::from(good) / f64::from(self.sum(from, to, |seen| seen.good + seen.refused + seen.cancelled))
    }

    pub fn sum(&self, from: f64, to: f64, count: impl Fn(&Seen) -> u32) -> u32 {
        let periods = (from * 10.0) as u64..(to * 10.0) as u64;
        self.seen.range(periods).map(|(_, seen)| count(seen)).sum()
    }

    fn arrive(&mut self) {
        let draw: f64 = self.random.gen();
        let class = if draw < self.protected_share {
            "charge"
        } else if draw < 0.6 {
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

    fn serve(&mut self, condition: Condition) {
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
            self.count(|seen| seen.good += u32::from(in_time));
            self.step(GateInput::AnswerEnded {
                attempt,
                end: AnswerEnd::Whole { status: 200, bytes: 0, record: None },
            });
        }
    }

    fn count(&mut self, change: impl Fn(&mut Seen)) {
        change(self.seen.entry(self.now.0 / 100_000).or_default());
    }

    fn step(&mut self, input: GateInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = vec![];
            self.gate.step(self.now, input, &mut outputs);
            for output in outputs {
                inputs.extend(self.follow(output));
            }
        }
    }

    fn follow(&mut self, output: GateOutput) -> Option<GateInput> {
        match output {
            GateOutput::RequestClaim(context) => {
                let attempt = context.attempt_id();
                return Some(GateInput::ClaimResolved { attempt, resolution: ClaimResolution::Granted });
            }
            GateOutput::Dispatch { attempt, remaining } => {
                let draw: f64 = self.random.gen_range(1e-9..1.0);
                let work_left = SERVICE_SECONDS * (1.0 - self.spread - self.spread * draw.ln());
                self.running.insert(attempt, Running { work_left, deadline: self.now + remaining });
            }
            GateOutput::CancelDispatched { attempt } => {
                self.running.remove(&attempt);
                self.count(|seen| seen.cancelled += 1);
                return Some(GateInput::AnswerEnded { attempt, end: AnswerEnd::Cancelled });
            }
            GateOutput::Refuse { attempt, .. } => {
                let (context, arrived) = self.contexts.remove(&attempt)?;
                let protected = context.priority == Priority::Protected;
                let late = self.now.since(arrived) > QUEUE_TIMEOUT / 2;
                self.count(|seen| seen.refused_late += u32::from(late));
                self.count(|seen| seen.refused += 1);
                self.count(|seen| seen.protected_refused += u32::from(protected));
            }
            _ => {}
        }
        None
    }
}
