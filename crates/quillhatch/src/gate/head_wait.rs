//! Waits for the head of a back end's answer, and goes on waiting in the background if the run must come to its end.

use std::sync::Arc;

use futures::future::BoxFuture;
use hyper::Method;
use quillhatch_calls::gate::io::AnswerEnd;

use super::attempt::AttemptTask;
use super::backend::BackendOutcome;
use super::background::MAX_BACKGROUND_RUN;
use super::relay::BackendBody;

/// A request at the back end whose answer has not begun.
struct Sending {
    task: AttemptTask,
    method: Method,
    request: BoxFuture<'static, BackendOutcome>,
}

/// How the wait came out.
pub enum HeadOutcome {
    /// There is an answer to read.
    Answer(Box<BackendBody>),
    /// The attempt ended without an answer.
    Ended(Box<AttemptTask>, AnswerEnd),
}

impl Sending {
    async fn wait(&mut self) -> Option<BackendOutcome> {
        tokio::select! {
            outcome = &mut self.request => Some(outcome),
            // The only command after the dispatch is to stop.
            _ = self.task.guard.command() => None,
        }
    }

    fn judge(self, outcome: Option<BackendOutcome>) -> HeadOutcome {
        match outcome {
            Some(outcome) => self.task.judge(&self.method, outcome),
            None => HeadOutcome::Ended(Box::new(self.task), AnswerEnd::Cancelled),
        }
    }

    /// Lets the run come to its end without a reader.
    async fn run_on(mut self) {
        // What is not at its end by then is dropped, and its guard reports it as stopped.
        let Ok(outcome) = tokio::time::timeout(MAX_BACKGROUND_RUN, self.wait()).await else {
            return;
        };
        match self.judge(outcome) {
            HeadOutcome::Answer(body) => body.read_to_end().await,
            HeadOutcome::Ended(mut task, end) => task.guard.end(end),
        }
    }
}

/// Waits for the head of an answer on behalf of an edge.
pub struct HeadWait(Option<Sending>);

impl HeadWait {
    /// Waits for `request`, a request with `method` that `task` dispatched.
    pub fn new(task: AttemptTask, method: Method, request: BoxFuture<'static, BackendOutcome>) -> Self {
        HeadWait(Some(Sending { task, method, request }))
    }

    /// Waits; if the returned future is dropped, the decision code says whether the run goes on.
    pub async fn wait(mut self) -> HeadOutcome {
        let outcome = match &mut self.0 {
            Some(sending) => sending.wait().await,
            None => None,
        };
        match self.0.take() {
            Some(sending) => sending.judge(outcome),
            None => unreachable!("only this function and the drop take the request"),
        }
    }
}

impl Drop for HeadWait {
    fn drop(&mut self) {
        let Some(mut sending) = self.0.take() else {
            return;
        };
        if sending.task.guard.continues_without_edge() {
            let background = Arc::clone(&sending.task.gate.background);
            background.spawn(sending.run_on());
        }
    }
}
