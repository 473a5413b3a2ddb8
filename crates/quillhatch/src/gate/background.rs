//! Keeps the runs of back ends that go on although the edge has gone.
//!
//! Use it where the decision code lets a run go on: a call that may not be repeated is read to its end, so that a repeat
//! under its key gets the answer. The runs belong to the node, not to a connection, and end with the node.

use std::future::Future;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::task::JoinSet;

/// The longest time that an answer is read for nobody. The decision code ends most runs earlier; it has no bound for a
/// large answer that has begun, which only its reader may give up.
pub const MAX_BACKGROUND_RUN: Duration = Duration::from_secs(300);

/// The runs that go on without a reader.
#[derive(Debug)]
pub struct BackgroundRuns(Mutex<Option<JoinSet<()>>>);

impl Default for BackgroundRuns {
    fn default() -> Self {
        BackgroundRuns(Mutex::new(Some(JoinSet::new())))
    }
}

impl BackgroundRuns {
    /// Lets `run` go on. After [`BackgroundRuns::shutdown`], and outside a runtime, it is dropped instead.
    pub fn spawn(&self, run: impl Future<Output = ()> + Send + 'static) {
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(runs) = runs.as_mut() else {
            return;
        };
        // Those that have ended must not pile up.
        while runs.try_join_next().is_some() {}
        runs.spawn_on(run, &runtime);
    }

    /// Ends all runs at once and takes no more.
    pub async fn shutdown(&self) {
        let runs = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(mut runs) = runs {
            runs.shutdown().await;
        }
    }
}
