//! What a back end has run: the record that promises are checked against.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// The answer to a call that is no file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAnswer {
    /// The identity that the caller gave its request.
    pub identity: String,
    /// The back end.
    pub backend: String,
    /// Answers of the calls made below, in order; a refused one ends the list.
    pub children: Vec<String>,
}

/// How often one request was run here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Runs that began.
    pub started: u32,
    /// Runs that came to their end.
    pub finished: u32,
    /// The class's path.
    pub path: String,
}

/// All runs of one back end by the identity of the request.
#[derive(Debug, Default)]
pub struct Runs {
    runs: Mutex<BTreeMap<String, RunRecord>>,
}

impl Runs {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, RunRecord>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a run began.
    pub fn start(&self, identity: &str, path: &str) {
        let mut runs = self.lock();
        let record = runs.entry(identity.to_owned()).or_default();
        record.started += 1;
        record.path = path.to_owned();
    }

    /// Notes that a run came to its end.
    pub fn finish(&self, identity: &str) {
        if let Some(record) = self.lock().get_mut(identity) {
            record.finished += 1;
        }
    }

    /// A copy of all records.
    pub fn all(&self) -> BTreeMap<String, RunRecord> {
        self.lock().clone()
    }

    /// The number of runs that began.
    pub fn started(&self) -> u64 {
        self.lock().values().map(|record| u64::from(record.started)).sum()
    }
}
