//! The planned stop: hand on, refuse new work, finish what runs, then exit.

use std::time::Duration;

use tokio::time::Instant;

use super::RunningNode;
use crate::decisions::NodeInput;
use crate::driver::ActiveRequest;

/// The time that the last bytes and messages get after the node is done, or after its grace has passed.
const LAST_BYTES: Duration = Duration::from_secs(1);

/// The pause between two looks at what still runs.
const PAUSE: Duration = Duration::from_millis(10);

/// What a planned stop came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StopReport {
    /// What was still running when the grace had passed, and was cut.
    pub aborted: Vec<ActiveRequest>,
}

impl RunningNode {
    /// Stops the node: it hands its slots on, refuses new calls, and finishes those in flight within the grace of its
    /// settings.
    pub async fn stop(self) -> StopReport {
        let grace = self.grace;
        self.stop_within(grace).await
    }

    /// Like [`RunningNode::stop`], with another grace.
    pub async fn stop_within(mut self, grace: Duration) -> StopReport {
        log::info!(grace_milliseconds = milliseconds(grace); "the node is stopping");
        let deadline = Instant::now() + grace;
        self.driver.input(NodeInput::Stop { grace });
        // While the node finishes, its listeners stay: late callers get an answer, and peers reach it.
        let _ = tokio::time::timeout_at(deadline, self.finished()).await;
        self.stop_listeners.send_replace(true);
        let last = deadline.max(Instant::now() + LAST_BYTES);
        let closing = async { while self.servers.join_next().await.is_some() {} };
        let _ = tokio::time::timeout_at(last, closing).await;
        // Also with every connection closed, a run without a reader may be left.
        let aborted = self.driver.active_requests();
        self.background_runs.shutdown().await;
        self.servers.shutdown().await;
        let _ = tokio::time::timeout(LAST_BYTES, self.sender.flush()).await;
        self.background.shutdown().await;
        self.operators.stop().await;
        let report = StopReport { aborted };
        report_cut(&report, &self.counters);
        report
    }

    /// Waits until the decision code is done and no call or attempt is left.
    async fn finished(&self) {
        let mut ready = self.driver.ready_to_exit();
        // The sender lives as long as the driver.
        let _ = ready.wait_for(|ready| *ready).await;
        while !self.driver.active_requests().is_empty() {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

fn report_cut(report: &StopReport, counters: &crate::metrics::Counters) {
    counters.cut_at_stop.inc_by(report.aborted.len() as u64);
    for running in &report.aborted {
        let running = running.to_string();
        log::error!(running = running.as_str(); "cut because the grace of the stop had passed");
    }
    log::info!(cut = report.aborted.len(); "the node has stopped");
}

fn milliseconds(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
