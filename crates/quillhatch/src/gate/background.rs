//! Runs requests at the back end that continue after the edge has disconnected.
//!
//! The decision code lets a call continue if it is not repeatable: its answer is read to the end, so that a retry with
//! the same key gets the answer. These tasks belong to the node, not to a connection, and end with the node.

use std::future::Future;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::task::JoinSet;

/// The maximum time for which an answer is read after its edge has disconnected. The decision code ends most requests
/// earlier, but it sets no time limit for a large answer that has started; only the reader may abandon such an answer.
pub const MAX_BACKGROUND_RUN: Duration = Duration::from_secs(300);

/// The tasks of requests whose edge has disconnected.
#[derive(Debug)]
pub struct BackgroundRuns(Mutex<Option<JoinSet<()>>>);

impl Default for BackgroundRuns {
    fn default() -> Self {
        BackgroundRuns(Mutex::new(Some(JoinSet::new())))
    }
}

impl BackgroundRuns {
    /// Spawns `run` as a task. After [`BackgroundRuns::shutdown`], and outside a runtime, `run` is dropped instead.
    pub fn spawn(&self, run: impl Future<Output = ()> + Send + 'static) {
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(runs) = runs.as_mut() else {
            return;
        };
        // Removes finished tasks, which would otherwise accumulate.
        while runs.try_join_next().is_some() {}
        runs.spawn_on(run, &runtime);
    }

    /// Aborts all tasks and accepts no more.
    pub async fn shutdown(&self) {
        let runs = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(mut runs) = runs {
            runs.shutdown().await;
        }
    }
}
