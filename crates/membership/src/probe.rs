//! Probes that await an acknowledgement.

use std::collections::BTreeMap;

use quillhatch_types::{NodeAddress, Timestamp};

use crate::member::MemberInfo;

/// The stage of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStage {
    /// Only this node pings the member.
    Direct,
    /// Other members ping it as well. A probe relayed for another node is always in this stage.
    Indirect,
}

/// Why a probe was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbePurpose {
    /// To check for this node whether a member is alive or its zone reachable.
    Own,
    /// On behalf of another node, to which the acknowledgement is forwarded.
    Relayed {
        /// The node that requested the probe.
        requester: NodeAddress,
        /// The requester's sequence number of the probe.
        sequence: u64,
    },
}

/// A probe that awaits an acknowledgement.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The probed member.
    pub subject: MemberInfo,
    /// Why it was sent.
    pub purpose: ProbePurpose,
    /// Its current stage.
    pub stage: ProbeStage,
    /// When the current stage times out.
    pub deadline: Timestamp,
}

/// All pending probes by sequence number.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    pending: BTreeMap<u64, Probe>,
    last_sequence: u64,
}

impl Probes {
    /// Adds a probe and returns its sequence number.
    pub fn add(&mut self, probe: Probe) -> u64 {
        self.last_sequence += 1;
        self.pending.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Removes and returns the probe with this sequence number.
    pub fn acknowledge(&mut self, sequence: u64) -> Option<Probe> {
        self.pending.remove(&sequence)
    }

    /// Removes and returns the probes whose current stage timed out.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<(u64, Probe)> {
        let expired: Vec<u64> =
            self.pending.iter().filter(|(_, probe)| probe.deadline <= now).map(|(sequence, _)| *sequence).collect();
        expired.into_iter().filter_map(|sequence| Some((sequence, self.pending.remove(&sequence)?))).collect()
    }

    /// Puts a probe back under its sequence number for its next stage.
    pub fn resume(&mut self, sequence: u64, probe: Probe) {
        self.pending.insert(sequence, probe);
    }

    /// Drops all pending probes.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// The earliest deadline of a pending probe.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.pending.values().map(|probe| probe.deadline).min()
    }
}
