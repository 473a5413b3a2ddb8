//! Graceful shutdown: moves the node's slots to other nodes, refuses new calls, finishes those in flight, then exits.

use std::time::Duration;

use tokio::time::Instant;

use super::RunningNode;
use crate::decisions::NodeInput;
use crate::driver::ActiveRequest;

/// The time limit for closing connections, and again for sending queued messages, after the node has finished or its grace
/// period has expired.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval at which the requests in flight are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The result of a graceful shutdown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StopReport {
    /// The requests that were aborted because they were still active at the end of the grace period.
    pub aborted: Vec<ActiveRequest>,
}

impl RunningNode {
    /// Shuts the node down gracefully within the grace period of its settings: it moves its slots to other nodes, refuses new
    /// calls and finishes those in flight.
    pub async fn stop(self) -> StopReport {
        let grace = self.grace;
        self.stop_within(grace).await
    }

    /// Like [`RunningNode::stop`], with a different grace period.
    pub async fn stop_within(mut self, grace: Duration) -> StopReport {
        log::info!(grace_milliseconds = milliseconds(grace); "the node is stopping");
        let deadline = Instant::now() + grace;
        self.driver.input(NodeInput::Stop { grace });
        // The listeners stay open in the meantime: new callers get a refusal instead of a failed connection, and peers can
        // still reach the node.
        let _ = tokio::time::timeout_at(deadline, self.wait_until_finished()).await;
        self.stop_listeners.send_replace(true);
        let close_deadline = deadline.max(Instant::now() + FLUSH_TIMEOUT);
        let closing = async { while self.servers.join_next().await.is_some() {} };
        let _ = tokio::time::timeout_at(close_deadline, closing).await;
        // A background run, whose edge has disconnected, may still be active after all connections have closed.
        let aborted = self.driver.active_requests();
        self.background_runs.shutdown().await;
        self.servers.shutdown().await;
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, self.sender.flush()).await;
        self.background.shutdown().await;
        self.operators.stop().await;
        let report = StopReport { aborted };
        record_aborted(&report, &self.counters);
        report
    }

    /// Waits until the decision code reports that it is ready to exit and no call or attempt is in flight.
    async fn wait_until_finished(&self) {
        let mut ready = self.driver.ready_to_exit();
        // This fails only if the watch's sender is dropped; the driver owns it.
        let _ = ready.wait_for(|ready| *ready).await;
        while !self.driver.active_requests().is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn record_aborted(report: &StopReport, counters: &crate::metrics::Counters) {
    counters.cut_at_stop.inc_by(report.aborted.len() as u64);
    for request in &report.aborted {
        let running = request.to_string();
        log::error!(running = running.as_str(); "cut because the grace of the stop had passed");
    }
    log::info!(cut = report.aborted.len(); "the node has stopped");
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
