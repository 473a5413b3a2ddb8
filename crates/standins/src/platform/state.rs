//! The content that the stand-in platform serves, and its injected faults.

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
    /// About to be removed.
    Leaving,
}

/// An entry of the list of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The peer address of the machine's node.
    pub address: SocketAddr,
    /// The status that the platform reports for the machine.
    pub status: MachineStatus,
}

/// The faults injected into the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every response is 503.
    pub down: bool,
    /// Every response is delayed by this many milliseconds.
    pub delay_milliseconds: u64,
    /// The first configuration document is served, even after newer ones were set.
    pub stale: bool,
}

#[derive(Default)]
struct Contents {
    documents: Vec<String>,
    machines: Vec<Machine>,
    faults: PlatformFaults,
}

/// The state of the stand-in platform.
#[derive(Default)]
pub struct PlatformState {
    contents: Mutex<Contents>,
}

/// A configuration document as served.
pub struct Document {
    /// The text.
    pub text: String,
    /// Its entity tag.
    pub entity_tag: String,
}

impl PlatformState {
    /// Creates a state with one document and no machines.
    pub fn new(configuration: String) -> Self {
        let state = PlatformState::default();
        state.set_configuration(configuration);
        state
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the document; earlier ones are retained for [`PlatformFaults::stale`].
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

    /// Returns the active faults.
    pub fn faults(&self) -> PlatformFaults {
        self.contents().faults.clone()
    }

    /// Returns the delay of each response.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.contents().faults.delay_milliseconds)
    }

    /// Returns the document that is served now.
    pub fn document(&self) -> Document {
        let contents = self.contents();
        let selected = if contents.faults.stale { contents.documents.first() } else { contents.documents.last() };
        let text = selected.cloned().unwrap_or_default();
        let entity_tag = format!("\"{:x}\"", Sha256::digest(&text));
        Document { text, entity_tag }
    }

    /// Returns the current list of machines.
    pub fn machines(&self) -> Vec<Machine> {
        self.contents().machines.clone()
    }
}
