//! Runs one attempt at the gate: waits for the decision, then refuses, replays or hands it to the back end.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use quillhatch_calls::gate::io::{AnswerEnd, GateInput};
use quillhatch_types::{AttemptId, CallContext, Feedback, RecordedAnswer, Refusal, RefusalReason};
use tokio::sync::mpsc;

use super::backend::BackendOutcome;
use super::head_wait::{HeadOutcome, HeadWait};
use super::relay::{self, BackendBody};
use super::{refusal_answer, Gate};
use crate::call_header;
use crate::driver::{AttemptCommand, Driver};
use crate::http::headers::{append_recorded_fields, content_length, FEEDBACK};
use crate::http::problem::Rejection;
use crate::http::{body, Answer};

#[cfg(test)]
mod tests;

/// Tells the decision code how an attempt ended, whatever becomes of its task.
pub struct AttemptGuard {
    driver: Arc<Driver>,
    attempt: AttemptId,
    commands: mpsc::UnboundedReceiver<AttemptCommand>,
    phase: Phase,
    /// Whether the decision code knows that the edge has gone.
    told_gone: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Dispatched,
    Ended,
}

impl AttemptGuard {
    /// Hands an attempt that arrived to the decision code; `None` if the same attempt is here already.
    pub fn arrived(driver: &Arc<Driver>, context: &CallContext) -> Option<Self> {
        let attempt = context.attempt_id();
        let commands = driver.open_attempt(attempt, context.service.clone())?;
        let driver = Arc::clone(driver);
        driver.gate_input(GateInput::Arrived(Box::new(context.clone())));
        Some(AttemptGuard { driver, attempt, commands, phase: Phase::Waiting, told_gone: false })
    }

    /// The next command about the attempt. After the dispatch the only one is to stop.
    pub async fn command(&mut self) -> Option<AttemptCommand> {
        self.commands.recv().await
    }

    /// The back end's part has ended.
    pub fn end(&mut self, end: AnswerEnd) {
        if self.phase == Phase::Ended {
            return;
        }
        self.phase = Phase::Ended;
        self.driver.gate_input(GateInput::AnswerEnded { attempt: self.attempt, end });
    }

    /// The edge has gone. Returns whether the back end's run goes on, which is for the decision code to say: it stops a
    /// run that may be repeated, and lets one that may not come to its end.
    pub fn continues_without_edge(&mut self) -> bool {
        if self.phase != Phase::Dispatched {
            return false;
        }
        self.tell_gone();
        // Outputs are handed on before the input returns, so the command to stop would be here by now.
        let stopped = self.commands.try_recv().is_ok();
        if stopped {
            self.end(AnswerEnd::Cancelled);
        }
        !stopped
    }

    fn tell_gone(&mut self) {
        if self.phase != Phase::Ended && !std::mem::replace(&mut self.told_gone, true) {
            self.driver.gate_input(GateInput::Cancelled { attempt: self.attempt });
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.tell_gone();
        match self.phase {
            Phase::Waiting => {
                // A dispatch that no task took up: the decision code counts the attempt as running, and would for ever.
                let dispatch = |command| matches!(command, AttemptCommand::Dispatch { .. });
                if self.commands.try_recv().is_ok_and(dispatch) {
                    self.end(AnswerEnd::ConnectFailed);
                }
            }
            // The request to the back end is dropped together with this guard, which closes its connection.
            Phase::Dispatched => self.end(AnswerEnd::Cancelled),
            Phase::Ended => {}
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
    /// Tells when the edge leaves, and takes commands.
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
    // The same attempt twice is a replayed request; the first one goes on undisturbed.
    let guard = AttemptGuard::arrived(&gate.driver, &context);
    let guard = guard.ok_or_else(|| Rejection::from(Refusal::unknown(RefusalReason::KeyInProgress)))?;
    let task = AttemptTask { gate, context, guard };
    Ok(task.run(head, body).await)
}

impl AttemptTask {
    async fn run(mut self, head: Parts, body: Incoming) -> Answer {
        match self.guard.command().await {
            Some(AttemptCommand::Dispatch { remaining }) => self.dispatch(head, body, remaining).await,
            Some(AttemptCommand::Refuse { refusal, feedback }) => self.refuse(refusal, feedback),
            Some(AttemptCommand::Replay { answer, feedback }) => self.replay(&answer, &feedback),
            Some(AttemptCommand::Cancel) | None => self.cancelled(),
        }
    }

    async fn dispatch(mut self, head: Parts, body: Incoming, remaining: Duration) -> Answer {
        self.guard.phase = Phase::Dispatched;
        let method = head.method.clone();
        let (gate, call) = (Arc::clone(&self.gate), self.context.call);
        let sending = Box::pin(async move {
            match gate.backend.as_ref() {
                Some(backend) => backend.send(call, head, body, remaining).await,
                None => BackendOutcome::ConnectFailed,
            }
        });
        match HeadWait::new(self, method, sending).wait().await {
            HeadOutcome::Answer(body) => relay::answer(*body),
            HeadOutcome::Ended(task, end) => task.ended_without_answer(end),
        }
    }

    /// What the outcome of a request means: an answer to read, or the end of the attempt.
    pub fn judge(self, method: &Method, outcome: BackendOutcome) -> HeadOutcome {
        match outcome {
            BackendOutcome::Answered(response) if self.refused_before_running(response.status()) => {
                let status = response.status().as_u16();
                HeadOutcome::Ended(Box::new(self), AnswerEnd::RefusedBeforeRunning { status })
            }
            BackendOutcome::Answered(response) => {
                let status = response.status().as_u16();
                let length = content_length(response.headers());
                self.gate.driver.gate_input(GateInput::AnswerStarted { attempt: self.guard.attempt, status, length });
                HeadOutcome::Answer(Box::new(BackendBody::new(self, method, response)))
            }
            BackendOutcome::ConnectFailed => HeadOutcome::Ended(Box::new(self), AnswerEnd::ConnectFailed),
            BackendOutcome::Broken => HeadOutcome::Ended(Box::new(self), AnswerEnd::Broken),
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
            // Before the back end's answer, nobody knows how far it came.
            AnswerEnd::Cancelled => Refusal::unknown(RefusalReason::Cancelled),
            _ => Refusal::unknown(RefusalReason::ConnectionLost),
        };
        self.guard.end(end);
        // Outputs are handed on before the input returns, so a refusal would be here by now.
        while let Ok(command) = self.guard.commands.try_recv() {
            if let AttemptCommand::Refuse { refusal, feedback } = command {
                return self.refuse(refusal, feedback);
            }
        }
        let feedback = self.feedback();
        self.refuse(proven, feedback)
    }

    /// The attempt was stopped before the back end saw it.
    fn cancelled(self) -> Answer {
        refusal_answer(&Refusal::not_run(RefusalReason::Cancelled).into())
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
        append_recorded_fields(answer.headers_mut(), &recorded.headers);
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
