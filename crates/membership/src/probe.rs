//! Probes that wait for their acknowledgement.

use std::collections::BTreeMap;

use quillhatch_types::{NodeAddress, Timestamp};

use crate::member::MemberInfo;

/// How far a probe has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStage {
    /// Pinged directly.
    Direct,
    /// Pinged through others as well.
    Indirect,
}

/// Why a probe was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbePurpose {
    /// To find out whether a member of this node's view is there.
    Own,
    /// In the place of another node, which is told of the answer.
    Relayed {
        /// Who asked.
        requester: NodeAddress,
        /// The requester's own sequence number.
        sequence: u64,
    },
}

/// A probe that waits.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Who was pinged.
    pub subject: MemberInfo,
    /// Why.
    pub purpose: ProbePurpose,
    /// How far it has come.
    pub stage: ProbeStage,
    /// When the stage ends.
    pub deadline: Timestamp,
}

/// All probes that wait, by sequence number.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    waiting: BTreeMap<u64, Probe>,
    last_sequence: u64,
}

impl Probes {
    /// Adds a probe and returns its sequence number.
    pub fn add(&mut self, probe: Probe) -> u64 {
        self.last_sequence += 1;
        self.waiting.insert(self.last_sequence, probe);
        self.last_sequence
    }

    /// Removes and returns the probe with this sequence number.
    pub fn acknowledge(&mut self, sequence: u64) -> Option<Probe> {
        self.waiting.remove(&sequence)
    }

    /// Removes and returns the probes whose stage ended.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<(u64, Probe)> {
        let expired: Vec<u64> =
            self.waiting.iter().filter(|(_, probe)| probe.deadline <= now).map(|(sequence, _)| *sequence).collect();
        expired.into_iter().filter_map(|sequence| Some((sequence, self.waiting.remove(&sequence)?))).collect()
    }

    /// Puts a probe back under its sequence number for its next stage.
    pub fn resume(&mut self, sequence: u64, probe: Probe) {
        self.waiting.insert(sequence, probe);
    }

    /// Forgets all probes.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// When the next stage ends.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.waiting.values().map(|probe| probe.deadline).min()
    }
}
