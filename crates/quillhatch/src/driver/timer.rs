//! Steps the decision code when it asked to be woken.

use std::sync::Arc;
use std::time::Duration;

use crate::decisions::NodeInput;

use super::Driver;

/// The pause after a tick that asked to be woken in the past, so that it cannot keep a processor busy.
const PAUSE_WHEN_OVERDUE: Duration = Duration::from_micros(200);

impl Driver {
    /// Steps the node with [`NodeInput::Tick`] whenever its next wake has come; runs until it is dropped.
    pub async fn run_timer(self: Arc<Self>) {
        loop {
            let wake = self.lock().decisions.next_wake();
            let Some(wake) = wake else {
                self.timer.notified().await;
                continue;
            };
            let pause = self.now().until(wake);
            if pause.is_zero() {
                self.input(NodeInput::Tick);
                tokio::time::sleep(PAUSE_WHEN_OVERDUE).await;
                continue;
            }
            // A notification means that the next wake may have changed.
            tokio::select! {
                () = self.timer.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }
}
