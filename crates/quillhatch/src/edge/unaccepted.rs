//! Notices gates that do not accept this node's attempts, which mostly means that their fleet keys differ.
//!
//! To a call such a gate is one more target that cannot be used, so that nothing else would tell an operator.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use hyper::header::HeaderMap;
use quillhatch_types::NodeAddress;

use crate::call_header::CallHeaderError;
use crate::http::headers::UNACCEPTED;
use crate::metrics::{Counters, UnacceptedLabels};

/// The largest number of gates that are remembered; of more, the log says nothing.
const MAXIMUM_GATES: usize = 1024;

/// The gates that did not accept the last attempt.
#[derive(Debug, Default)]
pub struct UnacceptedAttempts {
    gates: Mutex<BTreeSet<NodeAddress>>,
    /// Whether there are any, so that the lock is not needed while all is well.
    any: AtomicBool,
}

impl UnacceptedAttempts {
    /// Counts an answer of the gate at `gate` that says that it does not accept the attempt, and logs when that begins and
    /// when it ends.
    pub fn note(&self, gate: NodeAddress, headers: &HeaderMap, counters: &Counters) {
        match headers.get(UNACCEPTED) {
            Some(word) => {
                let reason = reason(word.as_bytes());
                counters.unaccepted_attempts.get_or_create(&UnacceptedLabels { reason }).inc();
                self.begins(gate, reason);
            }
            None if self.any.load(Ordering::Acquire) => self.ends(gate),
            None => {}
        }
    }

    fn begins(&self, gate: NodeAddress, reason: &str) {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let news = gates.len() < MAXIMUM_GATES && gates.insert(gate);
        self.any.store(true, Ordering::Release);
        if news {
            let gate = gate.to_string();
            log::warn!(gate = gate.as_str(), reason; "a gate does not accept this node's attempts");
        }
    }

    fn ends(&self, gate: NodeAddress) {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        let news = gates.remove(&gate);
        self.any.store(!gates.is_empty(), Ordering::Release);
        if news {
            let gate = gate.to_string();
            log::info!(gate = gate.as_str(); "the gate accepts this node's attempts again");
        }
    }
}

/// The word is another node's, or a stranger's: only those known here become labels.
fn reason(word: &[u8]) -> &'static str {
    let known = CallHeaderError::ALL.map(CallHeaderError::code);
    known.into_iter().find(|code| code.as_bytes() == word).unwrap_or("other")
}
