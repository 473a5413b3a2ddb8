//! The record of the calls that a back end has run, against which tests check the product's guarantees.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// The response to a call other than a file download.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAnswer {
    /// The identity of the request.
    pub identity: String,
    /// The name of the back end.
    pub backend: String,
    /// The responses of the child calls in order; the list ends before the first one that failed.
    pub children: Vec<String>,
}

/// How often a back end ran one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The number of started runs.
    pub started: u32,
    /// The number of finished runs.
    pub finished: u32,
    /// The path of the latest run.
    pub path: String,
}

/// All runs of one back end by request identity.
#[derive(Debug, Default)]
pub struct Runs {
    runs: Mutex<BTreeMap<String, RunRecord>>,
}

impl Runs {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, RunRecord>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a run.
    pub fn start(&self, identity: &str, path: &str) {
        let mut runs = self.lock();
        let record = runs.entry(identity.to_owned()).or_default();
        record.started += 1;
        record.path = path.to_owned();
    }

    /// Records the end of a run.
    pub fn finish(&self, identity: &str) {
        if let Some(record) = self.lock().get_mut(identity) {
            record.finished += 1;
        }
    }

    /// Returns a copy of all records.
    pub fn all(&self) -> BTreeMap<String, RunRecord> {
        self.lock().clone()
    }

    /// Returns the number of started runs.
    pub fn started(&self) -> u64 {
        self.lock().values().map(|record| u64::from(record.started)).sum()
    }
}
