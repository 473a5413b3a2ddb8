//! Feeds a gate with random inputs, out of order, late and duplicated, and checks its guarantees to callers and the
//! back end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use quillhatch_types::{AttemptId, CallContext, CallId, Outcome, Priority, RefusalReason};
use test_case::test_case;

use super::support::{at, configuration, context, gate_with, id, settings, step, warm, SLOTS};
use crate::gate::{AnswerEnd, ClaimResolution, Gate, GateInput, GateMechanisms, GateOutput, GateSettings};

#[derive(Clone, Copy, Debug)]
enum Action {
    Arrive { class: usize, position: u16, remaining: u16 },
    ResolveClaim { call: u8, kind: u8 },
    StartAnswer { call: u8 },
    EndAnswer { call: u8, kind: u8 },
    Cancel { call: u8 },
    Close { open: bool },
    LendTokens { call: u8, wanted: u16 },
    ReturnTokens { call: u8, tokens: u16 },
    Wait { milliseconds: u16 },
}

fn action() -> impl Strategy<Value = Action> {
    let call = 0..120_u8;
    prop_oneof![
        8 => (0..4_usize, 0..1024_u16, 0..2000_u16)
            .prop_map(|(class, position, remaining)| Action::Arrive { class, position, remaining }),
        4 => (call.clone(), 0..4_u8).prop_map(|(call, kind)| Action::ResolveClaim { call, kind }),
        2 => call.clone().prop_map(|call| Action::StartAnswer { call }),
        5 => (call.clone(), 0..5_u8).prop_map(|(call, kind)| Action::EndAnswer { call, kind }),
        1 => call.clone().prop_map(|call| Action::Cancel { call }),
        1 => prop::bool::weighted(0.9).prop_map(|open| Action::Close { open }),
        1 => (call.clone(), 0..5_u16).prop_map(|(call, wanted)| Action::LendTokens { call, wanted }),
        1 => (call, 0..5_u16).prop_map(|(call, tokens)| Action::ReturnTokens { call, tokens }),
        3 => (0..80_u16).prop_map(|milliseconds| Action::Wait { milliseconds }),
    ]
}

/// Tracks the gate's outputs and checks its guarantees after each step.
struct InvariantChecker {
    gate: Gate,
    now: u64,
    arrived: BTreeMap<AttemptId, CallContext>,
    waiting: BTreeSet<AttemptId>,
    claimed: BTreeSet<AttemptId>,
    dispatched: BTreeSet<AttemptId>,
    running: BTreeSet<AttemptId>,
    refused: BTreeSet<AttemptId>,
    issued_tokens: u32,
}

const CLASSES: [&str; 4] = ["charge", "look", "scan", "fetch"];

impl InvariantChecker {
    fn new(mechanisms: GateMechanisms) -> Self {
        let limits = GateSettings { maximum_waiting: 6, maximum_waiting_large: 3, ..settings(mechanisms) };
        let gate = gate_with(limits, configuration(true));
        let empty = BTreeSet::new;
        InvariantChecker {
            gate,
            now: 0,
            arrived: BTreeMap::new(),
            waiting: empty(),
            claimed: empty(),
            dispatched: empty(),
            running: empty(),
            refused: empty(),
            issued_tokens: 0,
        }
    }

    fn act(&mut self, action: Action) -> Result<(), String> {
        let input = match action {
            Action::Arrive { class, position, remaining } => {
                let call = self.arrived.len() as u128;
                let remaining = Duration::from_millis(remaining.into());
                let context = CallContext { remaining, ..context(call, CLASSES[class], position) };
                self.arrived.insert(id(call), context.clone());
                self.waiting.insert(id(call));
                GateInput::Arrived(Box::new(context))
            }
            Action::ResolveClaim { call, kind } => {
                GateInput::ClaimResolved { attempt: id(call.into()), resolution: resolution(kind) }
            }
            Action::StartAnswer { call } => {
                GateInput::AnswerStarted { attempt: id(call.into()), status: 200, length: Some(1_000_000) }
            }
            Action::EndAnswer { call, kind } => {
                // A faulty driver may report an end for an attempt that was never dispatched.
                self.running.remove(&id(call.into()));
                GateInput::AnswerEnded { attempt: id(call.into()), end: end(kind) }
            }
            Action::Cancel { call } => GateInput::Cancelled { attempt: id(call.into()) },
            Action::Close { open: true } => GateInput::Open,
            Action::Close { open: false } => GateInput::Close { reason: RefusalReason::Draining },
            Action::LendTokens { call, wanted } => {
                let lent = self.gate.lend_tokens(at(self.now), CallId(call.into()), wanted);
                self.issued_tokens += lent.map_or(0, |parent| u32::from(parent.tokens));
                return Ok(());
            }
            Action::ReturnTokens { call, tokens } => {
                let tokens = tokens.min(self.issued_tokens as u16);
                self.issued_tokens -= u32::from(tokens);
                self.gate.return_tokens(CallId(call.into()), tokens);
                return Ok(());
            }
            Action::Wait { milliseconds } => {
                self.now += u64::from(milliseconds);
                GateInput::Tick
            }
        };
        let answered_attempt = match &input {
            GateInput::AnswerStarted { attempt, .. } => Some(*attempt),
            _ => None,
        };
        let outputs = step(&mut self.gate, self.now, input);
        if answered_attempt.is_some() {
            // A driver that reports the same head twice must not duplicate tokens.
            self.issued_tokens += u32::from(self.gate.feedback(at(self.now), answered_attempt).tokens_left);
        }
        outputs.iter().try_for_each(|output| self.check(output))?;
        self.check_state()
    }

    fn check(&mut self, output: &GateOutput) -> Result<(), String> {
        match output {
            GateOutput::RequestClaim(context) => {
                let attempt = context.attempt_id();
                self.waiting.remove(&attempt);
                self.claimed.insert(attempt);
            }
            GateOutput::Dispatch { attempt, .. } => {
                self.waiting.remove(attempt);
                self.running.insert(*attempt);
                let duplicate = !self.dispatched.insert(*attempt);
                let unclaimed = !self.arrived[attempt].repeatable && !self.claimed.contains(attempt);
                if duplicate || unclaimed || self.refused.contains(attempt) {
                    return Err(format!("invalid dispatch: {attempt}"));
                }
            }
            GateOutput::Refuse { attempt, refusal, feedback } => {
                self.issued_tokens += u32::from(feedback.tokens_left);
                self.check_refusal(*attempt, refusal.outcome, refusal.reason)?;
            }
            GateOutput::Replay { attempt, feedback, .. } => {
                self.issued_tokens += u32::from(feedback.tokens_left);
                self.refused.insert(*attempt);
            }
            _ => {}
        }
        Ok(())
    }

    fn check_refusal(&mut self, attempt: AttemptId, outcome: Outcome, reason: RefusalReason) -> Result<(), String> {
        self.waiting.remove(&attempt);
        if !self.refused.insert(attempt) {
            return Err(format!("answered twice: {attempt}"));
        }
        if outcome == Outcome::NotRun && self.running.contains(&attempt) {
            return Err(format!("reported as not run while running at the back end: {attempt}"));
        }
        let context = &self.arrived[&attempt];
        let for_load = matches!(reason, RefusalReason::Overloaded | RefusalReason::QueueTimeout);
        let by_gate = !self.dispatched.contains(&attempt);
        if by_gate && for_load && context.priority == Priority::Protected {
            let mut others = self.waiting.iter().map(|other| &self.arrived[other]);
            if others.any(|other| other.priority != Priority::Protected) {
                return Err(format!("refused a protected call while less important work waits: {attempt}"));
            }
        }
        Ok(())
    }

    fn check_state(&mut self) -> Result<(), String> {
        let feedback = self.gate.feedback(at(self.now), None);
        if self.running.len() > SLOTS as usize || feedback.waiting > 9 {
            return Err(format!("a bound is exceeded: {feedback:?}"));
        }
        if self.issued_tokens > 3 * self.arrived.len() as u32 {
            return Err("the number of tokens has grown".into());
        }
        Ok(())
    }

    /// Ends all running attempts and checks that each attempt was dispatched or refused.
    fn end(&mut self) -> Result<(), String> {
        for _ in 0..200 {
            for attempt in self.running.clone() {
                self.act(Action::EndAnswer { call: attempt.call.0 as u8, kind: 0 })?;
            }
            let next = self.gate.next_wake().map_or(self.now + 1, |wake| wake.0.div_ceil(1_000));
            self.now = self.now.max(next);
            self.act(Action::Wait { milliseconds: 0 })?;
        }
        let unanswered = self.arrived.keys().find(|id| !self.dispatched.contains(id) && !self.refused.contains(id));
        unanswered.map_or(Ok(()), |attempt| Err(format!("never answered: {attempt}")))
    }
}

fn resolution(kind: u8) -> ClaimResolution {
    match kind {
        0 => ClaimResolution::Refused(quillhatch_types::Refusal::not_run(RefusalReason::NotOwner)),
        1 => {
            let answer = quillhatch_types::RecordedAnswer { status: 200, headers: vec![], body: vec![] };
            ClaimResolution::Replay(answer)
        }
        _ => ClaimResolution::Granted,
    }
}

fn end(kind: u8) -> AnswerEnd {
    match kind {
        1 => AnswerEnd::RefusedBeforeRunning { status: 503 },
        2 => AnswerEnd::ConnectFailed,
        3 => AnswerEnd::Broken,
        4 => AnswerEnd::Cancelled,
        _ => AnswerEnd::Whole { status: 200, bytes: 1, record: None },
    }
}

fn check(mechanisms: GateMechanisms, cases: u32) -> Result<(), String> {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(17),
        max_shrink_iters: 500,
        ..ProptestConfig::default()
    };
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let result = runner.run(&prop::collection::vec(action(), 1..160), |actions| {
        let mut checker = InvariantChecker::new(mechanisms);
        let outcome = actions.iter().try_for_each(|action| checker.act(*action)).and_then(|()| checker.end());
        outcome.map_err(TestCaseError::fail)
    });
    result.map_err(|failure| failure.to_string())
}

fn fixed() -> GateMechanisms {
    GateMechanisms { adaptive_limit: false, ..warm() }
}

#[test]
fn every_invariant_holds_under_random_inputs() {
    assert_eq!(check(fixed(), 400), Ok(()));
}

/// With a mechanism disabled, the checker reports the failure that this mechanism prevents.
#[test_case(GateMechanisms { priority_queue: false, ..fixed() }, "while less important work waits"; "priorities")]
#[test_case(GateMechanisms { claims: false, ..fixed() }, "invalid dispatch"; "claims")]
#[test_case(GateMechanisms { concurrency_limit: false, ..fixed() }, "a bound is exceeded"; "limit")]
fn the_checker_detects_a_disabled_mechanism(mechanisms: GateMechanisms, expected: &str) {
    let failure = check(mechanisms, 400).expect_err("a mechanism is off");
    assert!(failure.contains(expected), "{failure}");
}
