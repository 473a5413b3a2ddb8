//! Brings a sidecar to its planned end without cutting a call.

use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::gate;
use crate::node::Stage;
use crate::run::Running;

/// How long callers are given to be led away once the process is asked to stop.
///
/// The platform asks once a second whether the node is ready, and two misses lead callers away.
const LEAD_AWAY: Duration = Duration::from_millis(2200);
/// The part of the grace that is left unused at its end.
const GRACE_LEFT: Duration = Duration::from_millis(800);
/// The part of the grace that is kept for the calls at the target.
const GATE_TIME: Duration = Duration::from_millis(2200);
/// How long connections get to write their last answers.
const LAST_ANSWERS: Duration = Duration::from_millis(60);
/// How long the last log lines get to be written.
const LAST_LINES: Duration = Duration::from_millis(250);
/// How often it is looked whether they are.
const LOG_CHECK: Duration = Duration::from_millis(10);
/// How often a stopping process looks whether it has finished.
const STOP_CHECK: Duration = Duration::from_millis(50);

impl Running {
    /// The connections of callers and of other nodes that are open.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Leads callers away, finishes what was begun, and ends. Returns the calls that are still unfinished, which the end of
    /// the process cuts.
    pub async fn stop(mut self) -> usize {
        let node = &self.node;
        let begun = node.now();
        node.stage.set(Stage::Stopping);
        self.leading_away.set(true);
        node.log("\"event\":\"stopping\"");
        let grace = node.settings.bounds.stop_grace.saturating_sub(GRACE_LEFT);
        sleep(LEAD_AWAY.min(grace)).await;
        // The gate stays open while calls that entered here are finished: its target serves others meanwhile.
        while node.now().since(begun) < grace.saturating_sub(GATE_TIME) && node.root_calls.get() > 0 {
            sleep(STOP_CHECK).await;
        }
        // Whoever still comes is refused at once, so that what was begun before can end in the time that is left.
        node.refuses_callers.set(true);
        node.log("\"event\":\"gate-closed\"");
        node.gate.borrow_mut().close();
        gate::evict_waiting_calls(node);
        while node.now().since(begun) < grace && (node.edge_calls.get() > 0 || node.gate.borrow().load().running > 0) {
            sleep(STOP_CHECK).await;
        }
        // Nobody can connect any more; connections end after their current answer.
        self.accepting.iter().for_each(AbortHandle::abort);
        let _ = self.end_connections.send(true);
        while node.now().since(begun) < grace && self.open.get() > 0 {
            sleep(STOP_CHECK).await;
        }
        sleep(LAST_ANSWERS).await;
        let (calls, connections) = (node.edge_calls.get(), self.open.get());
        node.log(&format!("\"event\":\"stopped\",\"edge_calls\":{calls},\"connections\":{connections}"));
        node.log_state().write_at_once();
        let written_until = node.now() + LAST_LINES;
        while !node.log_state().is_written() && node.now() < written_until {
            sleep(LOG_CHECK).await;
        }
        self.tasks.shutdown().await;
        self.node.edge_calls.get()
    }
}
