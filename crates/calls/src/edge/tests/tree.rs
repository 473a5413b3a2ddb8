//! The attempts of a whole call tree are at most its first attempts plus the root's budget.
//!
//! Every call of the tree is made through the real edge. A fake gate passes tokens between a call and its children,
//! loses answers and fails at random from the seed, and counts every attempt sent to it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quillhatch_types::{
    AttemptId, CallContext, CallId, Feedback, ParentContext, Refusal, RefusalReason, Revision, Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::harness::{arrival, feedback, Harness, ANSWERED};
use crate::edge::{Answer, AttemptResult, EdgeInput, EdgeOutput};

const STEP: Duration = Duration::from_millis(1);
const ROOT: CallId = CallId(1);
/// Stops a run with an unbounded budget, whose attempts multiply.
const MAX_ATTEMPTS: usize = 3_000;

#[derive(Clone, Debug)]
struct Shape {
    depth: u8,
    fan_out: u16,
    budget: u16,
    failure: f64,
    bounded: bool,
    seed: u64,
}

/// An attempt that runs at the fake gate.
struct Running {
    tokens: u16,
    open_children: u16,
}

struct Tree {
    shape: Shape,
    harness: Harness,
    random: Pcg64,
    events: BinaryHeap<Reverse<(Timestamp, u64, usize)>>,
    inputs: Vec<Option<EdgeInput>>,
    running: BTreeMap<AttemptId, Running>,
    parents: BTreeMap<CallId, AttemptId>,
    calls: usize,
    attempts: usize,
    leaf_runs: usize,
    finished: BTreeMap<CallId, usize>,
}

impl Tree {
    fn run(shape: Shape) -> Self {
        let harness = Harness::new(|settings, configuration| {
            settings.mechanisms.retry_budget = shape.bounded;
            settings.mechanisms.retry_ratio = false;
            settings.mechanisms.admission_levels = false;
            for service in configuration.services.values_mut() {
                for class in &mut service.classes {
                    class.retry_budget = shape.budget;
                    class.deadline = Duration::from_secs(1_000);
                }
            }
        });
        let random = Pcg64::seed_from_u64(shape.seed);
        let mut tree = Tree {
            shape,
            harness,
            random,
            events: BinaryHeap::new(),
            inputs: Vec::new(),
            running: BTreeMap::new(),
            parents: BTreeMap::new(),
            calls: 1,
            attempts: 0,
            leaf_runs: 0,
            finished: BTreeMap::new(),
        };
        tree.schedule(Timestamp::ZERO, EdgeInput::Arrived(arrival(ROOT.0, "lookup")));
        tree.drive();
        tree
    }

    fn schedule(&mut self, at: Timestamp, input: EdgeInput) {
        self.events.push(Reverse((at, self.inputs.len() as u64, self.inputs.len())));
        self.inputs.push(Some(input));
    }

    fn drive(&mut self) {
        while self.attempts < MAX_ATTEMPTS {
            let event = self.events.peek().map(|Reverse((at, _, _))| *at);
            let wake = self.harness.edge.next_wake();
            let Some(now) = event.into_iter().chain(wake).min() else {
                return;
            };
            let input = match event {
                Some(at) if at == now => {
                    let Reverse((_, _, index)) = self.events.pop().expect("peeked");
                    self.inputs[index].take().expect("each event happens once")
                }
                _ => EdgeInput::Tick,
            };
            let outputs = self.harness.step(now, input).to_vec();
            for output in outputs {
                self.apply(now, output);
            }
        }
    }

    fn apply(&mut self, now: Timestamp, output: EdgeOutput) {
        match output {
            EdgeOutput::Send { context, .. } => self.attempt(now, &context),
            EdgeOutput::Finish { call, answer } => {
                *self.finished.entry(call).or_default() += 1;
                if let Answer::Relay(attempt) = answer {
                    self.end_body(now, attempt);
                }
                self.child_finished(now, call);
            }
            EdgeOutput::ReturnTokens { parent, tokens } => self.return_tokens(parent, tokens),
            _ => {}
        }
    }

    fn attempt(&mut self, now: Timestamp, context: &CallContext) {
        self.attempts += 1;
        let attempt = context.attempt_id();
        if self.random.gen_bool(self.shape.failure) {
            let failure = match self.random.gen_range(0..3) {
                0 => (AttemptResult::ConnectFailed, None),
                1 => {
                    let refusal = Refusal::not_run(RefusalReason::Overloaded);
                    (AttemptResult::Refused(refusal), Some(tokens_left(context.tokens)))
                }
                _ => (AttemptResult::Lost, None),
            };
            let may_run = failure.0 == AttemptResult::Lost && self.random.gen();
            self.answer(now, attempt, failure.0, failure.1);
            // Some of the lost attempts still run, and their child calls run concurrently with those of the retry.
            if !may_run {
                return;
            }
        }
        let children = if context.depth < self.shape.depth { self.shape.fan_out } else { 0 };
        self.leaf_runs += usize::from(children == 0);
        self.running.insert(attempt, Running { tokens: context.tokens, open_children: children });
        if children == 0 {
            return self.complete(now, attempt);
        }
        for child in 0..children {
            self.start_child(now, context, child, children);
        }
    }

    fn start_child(&mut self, now: Timestamp, context: &CallContext, child: u16, children: u16) {
        let attempt = context.attempt_id();
        self.calls += 1;
        let call = CallId(self.calls as u128);
        self.parents.insert(call, attempt);
        let running = self.running.get_mut(&attempt).expect("the parent runs");
        let tokens = running.tokens / (children - child);
        running.tokens -= tokens;
        let parent = ParentContext {
            call: context.call,
            root: context.root,
            depth: context.depth,
            priority: context.priority,
            retry: false,
            tokens,
            remaining: context.remaining,
        };
        let mut arrived = arrival(call.0, "lookup");
        arrived.parent = Some(parent);
        arrived.outgoing = true;
        self.schedule(now + STEP, EdgeInput::Arrived(arrived));
    }

    /// Ends the body of a relayed answer at once and reports the end twice.
    fn end_body(&mut self, now: Timestamp, attempt: AttemptId) {
        for _ in 0..2 {
            let outputs = self.harness.step(now, EdgeInput::BodyEnded { attempt, incomplete: None }).to_vec();
            for output in outputs {
                self.apply(now, output);
            }
        }
    }

    fn child_finished(&mut self, now: Timestamp, call: CallId) {
        let Some(parent) = self.parents.get(&call).copied() else {
            return;
        };
        let Some(running) = self.running.get_mut(&parent) else {
            return;
        };
        running.open_children -= 1;
        if running.open_children == 0 {
            self.complete(now, parent);
        }
    }

    fn return_tokens(&mut self, parent: CallId, tokens: u16) {
        // The gate finds the attempt by its running call; tokens returned after the attempt's answer are lost.
        let running = self.running.iter_mut().filter(|(attempt, _)| attempt.call == parent).last();
        if let Some((_, running)) = running {
            running.tokens += tokens;
        }
    }

    /// Completes an attempt; its answer may be lost in transit or interrupted between back end and gate.
    fn complete(&mut self, now: Timestamp, attempt: AttemptId) {
        let running = self.running.remove(&attempt).expect("the attempt runs");
        let feedback = Some(tokens_left(running.tokens));
        if !self.random.gen_bool(self.shape.failure) {
            return self.answer(now, attempt, ANSWERED, feedback);
        }
        if self.random.gen() {
            return self.answer(now, attempt, AttemptResult::Lost, None);
        }
        let refusal = Refusal::failed(RefusalReason::AnswerBroken);
        self.answer(now, attempt, AttemptResult::Refused(refusal), feedback);
    }

    /// Delivers the answer to the edge, sometimes twice.
    fn answer(&mut self, now: Timestamp, attempt: AttemptId, result: AttemptResult, feedback: Option<Feedback>) {
        let copies = 1 + u64::from(self.random.gen_bool(0.1));
        for copy in 0..copies {
            let result = result.clone();
            let at = now + STEP * (1 + copy as u32);
            self.schedule(at, EdgeInput::AttemptAnswered { attempt, result, feedback });
        }
    }

    fn first_attempts(&self) -> usize {
        self.calls
    }
}

fn tokens_left(tokens_left: u16) -> Feedback {
    Feedback { tokens_left, revision: Revision(1), ..feedback() }
}

fn shapes() -> impl Strategy<Value = Shape> {
    let sizes = prop_oneof![(1_u8..=16, Just(1_u16)), (1_u8..=5, Just(2_u16)), (1_u8..=3, Just(4_u16)),];
    (sizes, 0_u16..=12, 0.0..0.6, any::<u64>()).prop_map(|((depth, fan_out), budget, failure, seed)| Shape {
        depth,
        fan_out,
        budget,
        failure,
        bounded: true,
        seed,
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default()
    })]

    #[test]
    fn attempts_are_bounded_by_first_attempts_and_budget(shape in shapes()) {
        let budget = usize::from(shape.budget);
        let leaves = usize::from(shape.fan_out).pow(u32::from(shape.depth));
        let tree = Tree::run(shape);
        prop_assert!(tree.attempts <= tree.first_attempts() + budget,
            "{} attempts, {} first attempts, budget {budget}", tree.attempts, tree.first_attempts());
        // A stricter bound: each token retries at most one subtree, so work at the leaves does not multiply with the
        // depth.
        prop_assert!(tree.leaf_runs <= leaves * (1 + budget), "{} runs of {leaves} leaves", tree.leaf_runs);
        prop_assert_eq!(tree.finished.len(), tree.calls);
        prop_assert!(tree.finished.values().all(|count| *count == 1));
        prop_assert_eq!(tree.harness.edge.calls_in_progress(), 0);
    }
}

#[test]
fn without_the_budget_attempts_multiply() {
    let shape = Shape { depth: 8, fan_out: 1, budget: 3, failure: 0.3, bounded: false, seed: 5 };
    let bounded = Tree::run(Shape { bounded: true, ..shape.clone() });
    assert!(bounded.attempts <= bounded.first_attempts() + 3);
    let unbounded = Tree::run(shape);
    assert!(unbounded.attempts > unbounded.first_attempts() + 3, "{} attempts", unbounded.attempts);
}
