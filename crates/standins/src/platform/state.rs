//! What the stand-in platform answers, and how it misbehaves.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Whether the platform lists a machine as live.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineStatus {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}

/// An entry of the list of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The peer address of the machine's node.
    pub address: SocketAddr,
    /// What the platform says of it.
    pub status: MachineStatus,
}

/// How the platform misbehaves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every answer is 503.
    pub down: bool,
    /// Every answer is delayed by this many milliseconds.
    pub delay_milliseconds: u64,
    /// The first configuration document is answered whatever came later.
    pub stale: bool,
}

#[derive(Default)]
struct Contents {
    documents: Vec<String>,
    machines: Vec<Machine>,
    faults: PlatformFaults,
}

/// The state of the stand-in.
#[derive(Default)]
pub struct PlatformState {
    contents: Mutex<Contents>,
}

/// A configuration document as it is answered.
pub struct Document {
    /// The text.
    pub text: String,
    /// Its entity tag.
    pub entity_tag: String,
}

impl PlatformState {
    /// A state with one document and no machines.
    pub fn new(configuration: String) -> Self {
        let state = PlatformState::default();
        state.set_configuration(configuration);
        state
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the document; earlier ones are kept for [`PlatformFaults::stale`].
    pub fn set_configuration(&self, document: String) {
        self.contents().documents.push(document);
    }

    /// Replaces the list of machines.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        self.contents().machines = machines;
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.contents().faults = faults;
    }

    /// The faults in force.
    pub fn faults(&self) -> PlatformFaults {
        self.contents().faults.clone()
    }

    /// The time by which answers are delayed.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.contents().faults.delay_milliseconds)
    }

    /// The document answered now.
    pub fn document(&self) -> Document {
        let contents = self.contents();
        let chosen = if contents.faults.stale { contents.documents.first() } else { contents.documents.last() };
        let text = chosen.cloned().unwrap_or_default();
        let entity_tag = format!("\"{:x}\"", Sha256::digest(&text));
        Document { text, entity_tag }
    }

    /// The machines listed now.
    pub fn machines(&self) -> Vec<Machine> {
        self.contents().machines.clone()
    }
}
