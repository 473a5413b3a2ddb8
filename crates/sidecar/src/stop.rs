//! Graceful shutdown of a sidecar, which aborts no call that can finish within the grace period.

use std::time::Duration;

use quillhatch_mesh::shutdown::ShutdownSchedule;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::calls_in_progress::{CallInProgress, CallPart, CallsInProgress};
use crate::gate;
use crate::listener::ConnectionPhase;
use crate::logging::JsonText;
use crate::node::{Node, Stage};
use crate::run::Running;

/// How long connections may take to write their last responses.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(60);
/// The timeout for writing the last log lines.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval at which the node checks whether they are written.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The maximum number of aborted calls of each part that are logged one by one; `stopped` has their totals.
const MAX_CUT_CALL_LINES: usize = 50;
/// The interval at which a stopping process checks whether its calls and connections have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Logs the calls that the exit of the process aborts.
fn log_cut_calls(node: &Node) {
    log_cut_part(node, CallPart::Request, &node.calls);
    log_cut_part(node, CallPart::Waiting, &node.waiting_responses);
    log_cut_part(node, CallPart::Response, &node.responses);
    log_cut_part(node, CallPart::Target, &node.runs);
}

fn log_cut_part(node: &Node, part: CallPart, calls: &CallsInProgress) {
    let now = node.now();
    for CallInProgress { id, began, target } in calls.oldest(MAX_CUT_CALL_LINES) {
        let (id, target) = (JsonText(id), JsonText(target.as_deref().unwrap_or_default()));
        let ms = now.since(began).as_millis();
        node.log(&format!("\"event\":\"cut\",\"id\":{id},\"part\":\"{part}\",\"target\":{target},\"ms\":{ms}"));
    }
}

impl Running {
    /// The number of open connections from callers and other nodes.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Drains callers, finishes the running calls and stops all tasks. Returns the number of calls that are still
    /// unfinished, which the exit of the process aborts.
    pub async fn stop(mut self) -> usize {
        let node = &self.node;
        let schedule = ShutdownSchedule::new(node.now(), node.settings.bounds.stop_grace);
        node.stage.set(Stage::Stopping(schedule));
        self.draining.set(true);
        node.log("\"event\":\"stopping\"");
        sleep(node.now().until(schedule.callers_drained_at())).await;
        // The gate stays open while calls that entered at this node finish. Meanwhile the target serves calls of other
        // nodes too.
        while node.now() < schedule.gate_closes_at() && node.calls.root_count() > 0 {
            sleep(STOP_POLL_INTERVAL).await;
        }
        // New callers are refused at once from here on, so that the running calls can finish in the remaining time.
        node.refuses_callers.set(true);
        node.log("\"event\":\"gate-closed\"");
        node.gate.borrow_mut().close();
        gate::evict_waiting_calls(node);
        while node.now() < schedule.process_end() && (!node.calls.is_empty() || node.gate.borrow().load().running > 0) {
            if node.now() >= schedule.unblocks_at() {
                self.connection_phase.send_replace(ConnectionPhase::Unblocking);
            }
            sleep(STOP_POLL_INTERVAL).await;
        }
        // Stop accepting connections; the open ones close after their current response.
        self.accepting.iter().for_each(AbortHandle::abort);
        self.connection_phase.send_replace(ConnectionPhase::Closing);
        while node.now() < schedule.process_end() && self.open_connections.get() > 0 {
            sleep(STOP_POLL_INTERVAL).await;
        }
        sleep(RESPONSE_FLUSH_TIME).await;
        log_cut_calls(node);
        let (calls, connections) = (node.calls.len(), self.open_connections.get());
        let dropped = self.dropped_connections.get();
        let (running, responses) = (node.gate.borrow().load().running, node.responses.len());
        let waiting = node.waiting_responses.len();
        node.log(&format!(
            "\"event\":\"stopped\",\"edge_calls\":{calls},\"waiting\":{waiting},\"responses\":{responses},\"running\":{running},\"connections\":{connections},\"dropped_connections\":{dropped},\"ms\":{}",
            node.now().since(schedule.requested()).as_millis()
        ));
        node.log_state().flush_without_delay();
        let flush_deadline = node.now() + LOG_FLUSH_TIMEOUT;
        while !node.log_state().is_written() && node.now() < flush_deadline {
            sleep(LOG_POLL_INTERVAL).await;
        }
        self.tasks.shutdown().await;
        self.node.calls.len()
    }
}
