//! Counts and logs attempts whose call header a gate does not accept, usually because the fleet keys of the nodes
//! differ.
//!
//! A call treats such a gate like any other unusable target, so nothing else would show the problem to an operator.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use hyper::header::HeaderMap;
use quillhatch_types::NodeAddress;

use crate::call_header::CallHeaderError;
use crate::http::headers::UNACCEPTED;
use crate::metrics::{Counters, UnacceptedLabels};

/// The maximum number of rejecting gates that are tracked; further gates are counted but not logged.
const MAX_GATES: usize = 1024;

/// The gates that rejected this node's last attempt.
#[derive(Debug, Default)]
pub struct UnacceptedAttempts {
    gates: Mutex<BTreeSet<NodeAddress>>,
    /// Whether `gates` is not empty; avoids the lock in the common case that it is.
    any: AtomicBool,
}

impl UnacceptedAttempts {
    /// Checks whether a response of `gate` rejects the attempt. Counts each rejection, and logs the first one and the
    /// first accepted attempt after it.
    pub fn record(&self, gate: NodeAddress, headers: &HeaderMap, counters: &Counters) {
        match headers.get(UNACCEPTED) {
            Some(value) => {
                let reason = reason_label(value.as_bytes());
                counters.unaccepted_attempts.get_or_create(&UnacceptedLabels { reason }).inc();
                self.mark_rejecting(gate, reason);
            }
            None if self.any.load(Ordering::Acquire) => self.mark_accepting(gate),
            None => {}
        }
    }

    fn mark_rejecting(&self, gate: NodeAddress, reason: &str) {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = gates.len() < MAX_GATES && gates.insert(gate);
        self.any.store(true, Ordering::Release);
        if changed {
            let gate = gate.to_string();
            log::warn!(gate = gate.as_str(), reason; "a gate does not accept this node's attempts");
        }
    }

    fn mark_accepting(&self, gate: NodeAddress) {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = gates.remove(&gate);
        self.any.store(!gates.is_empty(), Ordering::Release);
        if changed {
            let gate = gate.to_string();
            log::info!(gate = gate.as_str(); "the gate accepts this node's attempts again");
        }
    }
}

/// The metric label for a reason that a gate sent. The value comes from the network, so that only known codes become
/// labels.
fn reason_label(value: &[u8]) -> &'static str {
    let known = CallHeaderError::ALL.map(CallHeaderError::code);
    known.into_iter().find(|code| code.as_bytes() == value).unwrap_or("other")
}
