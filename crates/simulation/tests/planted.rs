//! Nodes that break a promise on purpose: the record must notice each of them.

use std::sync::Arc;

use quillhatch_calls::edge::io::{Answer, BodyState, EdgeInput, EdgeOutput};
use quillhatch_calls::gate::io::{AnswerEnd, GateInput, GateOutput};
use quillhatch_simulation::policy::{Direct, HostInput, HostOutput, NodeStart, Policy};
use quillhatch_simulation::{run_with, PolicyKind, Profile, Report, RunOptions, Scenario};
use quillhatch_types::{
    AttemptId, CallContext, CallId, Feedback, Outcome, ParentContext, RecordedAnswer, Refusal, Revision, Timestamp,
};
use test_case::test_case;

/// The promise that a node breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Breach {
    /// None: the control of the experiment.
    Nothing,
    /// Says `not-run` of calls whose outcome is unknown.
    ClaimNotRun,
    /// Gives recorded answers to whoever comes next.
    GiveForeignAnswers,
    /// Goes on with a broken download one byte too late.
    SkipBytes,
    /// Says that its configuration becomes older.
    ForgetConfiguration,
}

/// The direct policy with a breach.
struct Saboteur {
    inner: Direct,
    breach: Breach,
    last_answer: Option<RecordedAnswer>,
    last_sent: Option<(quillhatch_types::NodeId, CallContext)>,
    told_revision: u64,
}

impl Saboteur {
    fn new(start: NodeStart, breach: Breach) -> Self {
        Saboteur { inner: Direct::new(start), breach, last_answer: None, last_sent: None, told_revision: 100_000 }
    }

    fn foreign_answer(&mut self, input: &HostInput) -> Option<HostOutput> {
        match input {
            HostInput::Gate(GateInput::AnswerEnded { end: AnswerEnd::Whole { record, .. }, .. }) => {
                self.last_answer = record.clone().or(self.last_answer.take());
                None
            }
            HostInput::Gate(GateInput::Arrived(context)) => {
                let answer = self.last_answer.take()?;
                let (attempt, feedback) = (context.attempt_id(), Feedback::default());
                Some(HostOutput::Gate(GateOutput::Replay { attempt, answer, feedback }))
            }
            _ => None,
        }
    }

    fn resume_badly(&self, input: &HostInput) -> Option<HostOutput> {
        let HostInput::Edge(EdgeInput::BodyEnded { attempt, incomplete: Some(body) }) = input else { return None };
        let BodyState { received, validator: Some(validator), .. } = body.clone() else { return None };
        let (target, mut context) = self.last_sent.clone()?;
        context.call = attempt.call;
        context.attempt = attempt.attempt + 1;
        let context = Box::new(context);
        Some(HostOutput::Edge(EdgeOutput::Resume { target, context, offset: received + 1, validator }))
    }
}

impl Policy for Saboteur {
    fn step(&mut self, now: Timestamp, input: HostInput, outputs: &mut Vec<HostOutput>) {
        let replaced = match self.breach {
            Breach::GiveForeignAnswers => self.foreign_answer(&input),
            Breach::SkipBytes => self.resume_badly(&input),
            _ => None,
        };
        if let Some(output) = replaced {
            return outputs.push(output);
        }
        self.inner.step(now, input, outputs);
        for output in outputs {
            match output {
                HostOutput::Edge(EdgeOutput::Finish { answer: Answer::Refuse(refusal), .. })
                    if self.breach == Breach::ClaimNotRun =>
                {
                    *refusal = Refusal { outcome: Outcome::NotRun, ..*refusal };
                }
                HostOutput::Edge(EdgeOutput::Send { target, context }) if context.class.as_str() == "download" => {
                    self.last_sent = Some((*target, (**context).clone()));
                }
                _ => {}
            }
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.inner.next_wake()
    }

    fn feedback(&mut self, _now: Timestamp, _attempt: Option<AttemptId>) -> Option<Feedback> {
        if self.breach != Breach::ForgetConfiguration {
            return None;
        }
        self.told_revision -= 1;
        Some(Feedback { revision: Revision(self.told_revision), ..Feedback::default() })
    }

    fn lend_tokens(&mut self, now: Timestamp, parent: CallId) -> Option<ParentContext> {
        self.inner.lend_tokens(now, parent)
    }
}

fn report(breach: Breach, scenario: Scenario) -> Report {
    let policy = PolicyKind::Direct;
    let options = RunOptions { profile: Profile::Prairie, scenario, policy, disabled: None, seed: 2 };
    let factory = Arc::new(move |start| Box::new(Saboteur::new(start, breach)) as Box<dyn Policy>);
    run_with(options, factory).expect("the run reaches its end")
}

#[test_case(Breach::ClaimNotRun, Scenario::SlowDeep, |report| report.false_not_run)]
#[test_case(Breach::GiveForeignAnswers, Scenario::Steady, |report| report.foreign_or_partial_answers)]
#[test_case(Breach::SkipBytes, Scenario::Stop, |report| report.foreign_or_partial_answers)]
#[test_case(Breach::ForgetConfiguration, Scenario::Steady, |report| report.config_reversions)]
fn a_breach_is_counted(breach: Breach, scenario: Scenario, count: fn(&Report) -> u64) {
    assert_eq!(count(&report(Breach::Nothing, scenario)), 0);
    assert!(count(&report(breach, scenario)) > 0);
}
