//! Steps the decision code at the times that it requests.

use std::sync::Arc;
use std::time::Duration;

use crate::decisions::NodeInput;

use super::Driver;

/// The pause after a tick, so that decision code that keeps requesting a wake time in the past can't occupy a
/// processor.
const PAUSE_AFTER_TICK: Duration = Duration::from_micros(200);

impl Driver {
    /// Steps the node with [`NodeInput::Tick`] whenever its next wake time is reached; runs until the future is
    /// dropped.
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
                tokio::time::sleep(PAUSE_AFTER_TICK).await;
                continue;
            }
            // A notification means that the next wake time may have changed.
            tokio::select! {
                () = self.timer.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }
}
