//! Runs one attempt at the gate: waits for the decision, then refuses it, replays an answer or sends it to the back
//! end.

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

/// Reports to the decision code how an attempt ended, even if its task is dropped.
pub struct AttemptGuard {
    driver: Arc<Driver>,
    attempt: AttemptId,
    commands: mpsc::UnboundedReceiver<AttemptCommand>,
    phase: Phase,
    /// Whether the edge's disconnect was reported to the decision code.
    disconnect_reported: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Dispatched,
    Ended,
}

impl AttemptGuard {
    /// Passes a new attempt to the decision code; `None` if the same attempt is already in progress.
    pub fn arrived(driver: &Arc<Driver>, context: &CallContext) -> Option<Self> {
        let attempt = context.attempt_id();
        let commands = driver.register_attempt(attempt, context.service.clone())?;
        let driver = Arc::clone(driver);
        driver.gate_input(GateInput::Arrived(Box::new(context.clone())));
        Some(AttemptGuard { driver, attempt, commands, phase: Phase::Waiting, disconnect_reported: false })
    }

    /// Waits for the next command for the attempt. After the dispatch, the only possible command is to cancel.
    pub async fn next_command(&mut self) -> Option<AttemptCommand> {
        self.commands.recv().await
    }

    /// Reports that the back end's part of the attempt has ended.
    pub fn end(&mut self, end: AnswerEnd) {
        if self.phase == Phase::Ended {
            return;
        }
        self.phase = Phase::Ended;
        self.driver.gate_input(GateInput::AnswerEnded { attempt: self.attempt, end });
    }

    /// Reports that the edge has disconnected. Returns whether the request at the back end continues; the decision code
    /// cancels a repeatable request and lets one that is not repeatable complete.
    pub fn continues_without_edge(&mut self) -> bool {
        if self.phase != Phase::Dispatched {
            return false;
        }
        self.report_disconnect();
        // Outputs are delivered before the input returns, so a cancel command would already be in the channel.
        let cancelled = self.commands.try_recv().is_ok();
        if cancelled {
            self.end(AnswerEnd::Cancelled);
        }
        !cancelled
    }

    fn report_disconnect(&mut self) {
        if self.phase != Phase::Ended && !std::mem::replace(&mut self.disconnect_reported, true) {
            self.driver.gate_input(GateInput::Cancelled { attempt: self.attempt });
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.report_disconnect();
        match self.phase {
            Phase::Waiting => {
                // If the attempt was dispatched but its task is dropped before it receives the command, the decision
                // code would count the attempt as running forever without this report.
                let is_dispatch = |command| matches!(command, AttemptCommand::Dispatch { .. });
                if self.commands.try_recv().is_ok_and(is_dispatch) {
                    self.end(AnswerEnd::ConnectFailed);
                }
            }
            // The request to the back end is dropped together with this guard, which closes the connection.
            Phase::Dispatched => self.end(AnswerEnd::Cancelled),
            Phase::Ended => {}
        }
        self.driver.unregister_attempt(self.attempt);
    }
}

/// The state of an attempt's task.
pub struct AttemptTask {
    /// The gate.
    pub gate: Arc<Gate>,
    /// The context that the edge sent.
    pub context: CallContext,
    /// Receives commands and reports the end of the attempt.
    pub guard: AttemptGuard,
}

/// Runs the attempt and returns its answer, with a streaming body.
///
/// # Errors
///
/// Returns the refusal of an attempt for a service that this node does not serve, or of an attempt that is already in
/// progress.
pub async fn run(gate: Arc<Gate>, context: CallContext, head: Parts, body: Incoming) -> Result<Answer, Rejection> {
    let serves_service = gate.backend.as_ref().is_some_and(|backend| backend.service == context.service);
    if !serves_service {
        return Err(Refusal::not_run(RefusalReason::NoTarget).into());
    }
    // A second request with the same attempt is a replay of the first, which continues unaffected.
    let guard = AttemptGuard::arrived(&gate.driver, &context);
    let guard = guard.ok_or_else(|| Rejection::from(Refusal::unknown(RefusalReason::KeyInProgress)))?;
    let task = AttemptTask { gate, context, guard };
    Ok(task.run(head, body).await)
}

impl AttemptTask {
    async fn run(mut self, head: Parts, body: Incoming) -> Answer {
        match self.guard.next_command().await {
            Some(AttemptCommand::Dispatch { remaining }) => self.dispatch(head, body, remaining).await,
            Some(AttemptCommand::Refuse { refusal, feedback }) => self.refuse(refusal, feedback),
            Some(AttemptCommand::Replay { answer, feedback }) => self.replay(&answer, &feedback),
            Some(AttemptCommand::Cancel) | None => self.answer_cancelled(),
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
            HeadOutcome::Ended(task, end) => task.answer_failure(end),
        }
    }

    /// Interprets the outcome of a request: an answer to read, or the end of the attempt.
    pub fn interpret_outcome(self, method: &Method, outcome: BackendOutcome) -> HeadOutcome {
        match outcome {
            BackendOutcome::Answered(response) if self.is_refusal_status(response.status()) => {
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

    fn is_refusal_status(&self, status: StatusCode) -> bool {
        let configuration = self.gate.driver.configuration();
        let service =
            configuration.as_ref().and_then(|configuration| configuration.services.get(&self.context.service));
        service.is_some_and(|service| service.refused_before_running.contains(&status.as_u16()))
    }

    /// Reports the end of an attempt without an answer and returns the refusal that the decision code issues, or, if it
    /// issues none, the refusal that follows from `end`.
    fn answer_failure(mut self, end: AnswerEnd) -> Answer {
        let fallback = match end {
            AnswerEnd::ConnectFailed => Refusal::not_run(RefusalReason::ConnectFailed),
            AnswerEnd::RefusedBeforeRunning { .. } => Refusal::not_run(RefusalReason::Overloaded),
            // Without an answer from the back end, it is unknown how far the request got.
            AnswerEnd::Cancelled => Refusal::unknown(RefusalReason::Cancelled),
            _ => Refusal::unknown(RefusalReason::ConnectionLost),
        };
        self.guard.end(end);
        // Outputs are delivered before the input returns, so a refusal would already be in the channel.
        while let Ok(command) = self.guard.commands.try_recv() {
            if let AttemptCommand::Refuse { refusal, feedback } = command {
                return self.refuse(refusal, feedback);
            }
        }
        let feedback = self.feedback();
        self.refuse(fallback, feedback)
    }

    /// The answer to an attempt that was cancelled before it was sent to the back end.
    fn answer_cancelled(self) -> Answer {
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

    /// The feedback to send to the edge with the attempt's answer.
    pub fn feedback(&self) -> Feedback {
        self.gate.driver.feedback(Some(self.guard.attempt))
    }
}

/// Adds the feedback header to `answer`.
pub fn write_feedback(answer: &mut Answer, feedback: &Feedback) {
    if let Some(value) = call_header::encode_feedback(feedback) {
        answer.headers_mut().insert(FEEDBACK, value);
    }
}
