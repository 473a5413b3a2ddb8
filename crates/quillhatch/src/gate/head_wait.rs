//! Waits for the head of a back end's answer. If the edge disconnects and the request must be completed, the wait
//! continues in the background.

use std::sync::Arc;

use futures::future::BoxFuture;
use hyper::Method;
use quillhatch_calls::gate::io::AnswerEnd;

use super::attempt::AttemptTask;
use super::backend::BackendOutcome;
use super::background::MAX_BACKGROUND_RUN;
use super::relay::BackendBody;

/// A request to the back end whose answer has not started.
struct PendingRequest {
    task: AttemptTask,
    method: Method,
    request: BoxFuture<'static, BackendOutcome>,
}

/// The outcome of waiting for the head.
pub enum HeadOutcome {
    /// The head arrived, and the body can be read.
    Answer(Box<BackendBody>),
    /// The attempt ended without an answer.
    Ended(Box<AttemptTask>, AnswerEnd),
}

impl PendingRequest {
    async fn wait(&mut self) -> Option<BackendOutcome> {
        tokio::select! {
            outcome = &mut self.request => Some(outcome),
            // After the dispatch, the only possible command is to cancel.
            _ = self.task.guard.next_command() => None,
        }
    }

    fn into_head_outcome(self, outcome: Option<BackendOutcome>) -> HeadOutcome {
        match outcome {
            Some(outcome) => self.task.interpret_outcome(&self.method, outcome),
            None => HeadOutcome::Ended(Box::new(self.task), AnswerEnd::Cancelled),
        }
    }

    /// Completes the request after the edge has disconnected; the answer is read but not relayed.
    async fn finish_in_background(mut self) {
        // A request that has not completed by then is dropped, and its guard reports it as cancelled.
        let Ok(outcome) = tokio::time::timeout(MAX_BACKGROUND_RUN, self.wait()).await else {
            return;
        };
        match self.into_head_outcome(outcome) {
            HeadOutcome::Answer(body) => body.read_to_end().await,
            HeadOutcome::Ended(mut task, end) => task.guard.end(end),
        }
    }
}

/// A wait for the head of an answer while the edge is connected.
pub struct HeadWait(Option<PendingRequest>);

impl HeadWait {
    /// Creates the wait for `request`, which has the method `method` and was dispatched by `task`.
    pub fn new(task: AttemptTask, method: Method, request: BoxFuture<'static, BackendOutcome>) -> Self {
        HeadWait(Some(PendingRequest { task, method, request }))
    }

    /// Waits for the head. If the returned future is dropped, the decision code decides whether the request continues
    /// in the background.
    pub async fn wait(mut self) -> HeadOutcome {
        let outcome = match &mut self.0 {
            Some(pending) => pending.wait().await,
            None => None,
        };
        match self.0.take() {
            Some(pending) => pending.into_head_outcome(outcome),
            None => unreachable!("only this function and `drop` take the request"),
        }
    }
}

impl Drop for HeadWait {
    fn drop(&mut self) {
        let Some(mut pending) = self.0.take() else {
            return;
        };
        if pending.task.guard.continues_without_edge() {
            let background = Arc::clone(&pending.task.gate.background);
            background.spawn(pending.finish_in_background());
        }
    }
}
