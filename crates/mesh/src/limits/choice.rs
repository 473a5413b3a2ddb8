//! Selects the coordinator: the machine that a node reports to, which is the first candidate that responds.

use std::net::IpAddr;
use std::time::Duration;

use quillhatch_types::Timestamp;

/// The number of reports without a response after which a node switches to the next candidate. Single datagrams are
/// lost now and then, and a node that switches alone only gets one node's part of each limit from its new coordinator.
const MAX_UNANSWERED_REPORTS: u32 = 3;
/// The interval at which the first candidate is retried while another one is selected, so that all nodes return to the
/// same coordinator.
const FIRST_CANDIDATE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// The coordinator that a node has selected.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorChoice {
    /// The index of the selected candidate.
    current: usize,
    /// The reports sent since the last response.
    unanswered: u32,
    last_switch: Timestamp,
}

impl CoordinatorChoice {
    /// Returns the candidate to send a report to now, and counts that report as unanswered.
    pub fn next(&mut self, candidates: &[IpAddr], now: Timestamp) -> Option<IpAddr> {
        if self.unanswered >= MAX_UNANSWERED_REPORTS {
            self.unanswered = 0;
            self.current += 1;
            self.last_switch = now;
        } else if self.current > 0 && now.since(self.last_switch) >= FIRST_CANDIDATE_RETRY_INTERVAL {
            self.current = 0;
            self.last_switch = now;
        }
        self.unanswered += 1;
        if self.current >= candidates.len() {
            self.current = 0;
        }
        candidates.get(self.current).copied()
    }

    /// Records a response to a report.
    pub fn record_response(&mut self) {
        self.unanswered = 0;
    }
}
