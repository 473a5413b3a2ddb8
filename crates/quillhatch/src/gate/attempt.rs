//! Runs one attempt at the gate: waits for the decision, then refuses, replays or hands it to the back end.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use quillhatch_calls::gate::io::{AnswerEnd, GateInput};
use quillhatch_types::{AttemptId, CallContext, Feedback, RecordedAnswer, Refusal, RefusalReason};
use tokio::sync::mpsc;

use super::backend::BackendOutcome;
use super::{refusal_answer, relay, Gate};
use crate::call_header;
use crate::driver::{AttemptCommand, Driver};
use crate::http::headers::{append_recorded, content_length, FEEDBACK};
use crate::http::problem::Rejection;
use crate::http::{body, Answer};

/// Tells the decision code that the edge has gone, unless the attempt ended before.
pub struct AttemptGuard {
    driver: Arc<Driver>,
    attempt: AttemptId,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Dispatched,
    Ended,
}

impl AttemptGuard {
    /// The attempt.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// The back end's part has ended.
    pub fn end(&mut self, end: AnswerEnd) {
        if self.phase == Phase::Ended {
            return;
        }
        self.phase = Phase::Ended;
        self.driver.gate(GateInput::AnswerEnded { attempt: self.attempt, end });
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.phase != Phase::Ended {
            self.driver.gate(GateInput::Cancelled { attempt: self.attempt });
        }
        if self.phase == Phase::Dispatched {
            // The request to the back end is dropped together with this guard, which closes its connection.
            self.driver.gate(GateInput::AnswerEnded { attempt: self.attempt, end: AnswerEnd::Cancelled });
        }
        self.driver.close_attempt(self.attempt);
    }
}

/// What the task of an attempt works with.
pub struct AttemptTask {
    /// The gate.
    pub gate: Arc<Gate>,
    /// What the edge said.
    pub context: CallContext,
    /// The commands about the attempt.
    pub commands: mpsc::UnboundedReceiver<AttemptCommand>,
    /// Tells when the edge leaves.
    pub guard: AttemptGuard,
}

/// Runs the attempt and returns the head of its answer, with a body that streams the rest.
///
/// # Errors
///
/// Returns the refusal of an attempt that does not belong here.
pub async fn run(gate: Arc<Gate>, context: CallContext, head: Parts, body: Incoming) -> Result<Answer, Rejection> {
    let serves = gate.backend.as_ref().is_some_and(|backend| backend.service == context.service);
    if !serves {
        return Err(Refusal::not_run(RefusalReason::NoTarget).into());
    }
    let attempt = context.attempt_id();
    let commands = gate.driver.open_attempt(attempt, context.service.clone());
    // The same attempt twice is a replayed request; the first one goes on undisturbed.
    let commands = commands.ok_or_else(|| Rejection::from(Refusal::unknown(RefusalReason::KeyInProgress)))?;
    let guard = AttemptGuard { driver: Arc::clone(&gate.driver), attempt, phase: Phase::Waiting };
    gate.driver.gate(GateInput::Arrived(Box::new(context.clone())));
    let task = AttemptTask { gate, context, commands, guard };
    Ok(task.run(head, body).await)
}

impl AttemptTask {
    async fn run(mut self, head: Parts, body: Incoming) -> Answer {
        match self.commands.recv().await {
            Some(AttemptCommand::Dispatch { remaining }) => self.dispatch(head, body, remaining).await,
            Some(AttemptCommand::Refuse { refusal, feedback }) => self.refuse(refusal, feedback),
            Some(AttemptCommand::Replay { answer, feedback }) => self.replay(&answer, &feedback),
            Some(AttemptCommand::Cancel) | None => self.cancelled(),
        }
    }

    async fn dispatch(mut self, head: Parts, body: Incoming, remaining: Duration) -> Answer {
        self.guard.phase = Phase::Dispatched;
        let gate = Arc::clone(&self.gate);
        let Some(backend) = gate.backend.as_ref() else {
            return self.ended_without_answer(AnswerEnd::ConnectFailed);
        };
        let method = head.method.clone();
        let sending = backend.send(self.context.call, head, body, remaining);
        let outcome = tokio::select! {
            outcome = sending => outcome,
            _ = self.commands.recv() => return self.cancelled(),
        };
        match outcome {
            BackendOutcome::Answered(response) if self.refused_before_running(response.status()) => {
                let status = response.status().as_u16();
                self.ended_without_answer(AnswerEnd::RefusedBeforeRunning { status })
            }
            BackendOutcome::Answered(response) => {
                let status = response.status().as_u16();
                let length = content_length(response.headers());
                self.gate.driver.gate(GateInput::AnswerStarted { attempt: self.guard.attempt, status, length });
                relay::answer(self, &method, response)
            }
            BackendOutcome::ConnectFailed => self.ended_without_answer(AnswerEnd::ConnectFailed),
            BackendOutcome::Broken | BackendOutcome::TimedOut => self.ended_without_answer(AnswerEnd::Broken),
        }
    }

    fn refused_before_running(&self, status: StatusCode) -> bool {
        let configuration = self.gate.driver.configuration();
        let service =
            configuration.as_ref().and_then(|configuration| configuration.services.get(&self.context.service));
        service.is_some_and(|service| service.refused_before_running.contains(&status.as_u16()))
    }

    /// Reports the end, and answers as the decision code says; if it says nothing, with what the end proves.
    fn ended_without_answer(mut self, end: AnswerEnd) -> Answer {
        let proven = match end {
            AnswerEnd::ConnectFailed => Refusal::not_run(RefusalReason::ConnectFailed),
            AnswerEnd::RefusedBeforeRunning { .. } => Refusal::not_run(RefusalReason::Overloaded),
            _ => Refusal::unknown(RefusalReason::ConnectionLost),
        };
        self.guard.end(end);
        // Outputs are handed on before the input returns, so a refusal would be here by now.
        while let Ok(command) = self.commands.try_recv() {
            if let AttemptCommand::Refuse { refusal, feedback } = command {
                return self.refuse(refusal, feedback);
            }
        }
        let feedback = self.feedback();
        self.refuse(proven, feedback)
    }

    /// The attempt was stopped from here: before the back end's answer, nobody knows how far it came.
    fn cancelled(self) -> Answer {
        let not_dispatched = self.guard.phase == Phase::Waiting;
        let refusal = if not_dispatched { Refusal::not_run } else { Refusal::unknown };
        refusal_answer(&refusal(RefusalReason::Cancelled).into())
    }

    fn refuse(mut self, refusal: Refusal, feedback: Feedback) -> Answer {
        self.guard.phase = Phase::Ended;
        let mut answer = refusal_answer(&refusal.into());
        write_feedback(&mut answer, &feedback);
        answer
    }

    fn replay(mut self, recorded: &RecordedAnswer, feedback: &Feedback) -> Answer {
        self.guard.phase = Phase::Ended;
        let mut answer = Response::new(body::full(recorded.body.clone()));
        *answer.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
        append_recorded(answer.headers_mut(), &recorded.headers);
        answer.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(recorded.body.len()));
        write_feedback(&mut answer, feedback);
        answer
    }

    /// What the edge is told with the attempt's answer.
    pub fn feedback(&self) -> Feedback {
        self.gate.driver.feedback(Some(self.guard.attempt))
    }
}

/// Writes what the edge is told into the head of `answer`.
pub fn write_feedback(answer: &mut Answer, feedback: &Feedback) {
    if let Some(value) = call_header::seal_feedback(feedback) {
        answer.headers_mut().insert(FEEDBACK, value);
    }
}
