//! Which requests have run to their end lately.

use std::time::Duration;

use quillhatch_types::Timestamp;

use super::SignatureKey;

/// The runs that are remembered. A run takes the place of another one with the same last digits, so memory is bounded (32 KB) and a look-up
/// is one step; at 400 runs a second each is remembered for some seconds.
const PLACES: usize = 2048;
/// For how long a run that ended well speaks for its request: what ends several targets at once (a rack, a release) does so within less.
const SPEAKS_FOR: Duration = Duration::from_secs(2);

/// The runs that ended well a moment ago.
#[derive(Clone, Debug)]
pub struct CompletedRuns {
    places: Box<[Option<(SignatureKey, Timestamp)>]>,
}

impl Default for CompletedRuns {
    fn default() -> Self {
        CompletedRuns { places: vec![None; PLACES].into_boxed_slice() }
    }
}

impl CompletedRuns {
    /// A run of the request has ended well.
    pub fn add(&mut self, key: SignatureKey, now: Timestamp) {
        self.places[place_of(key)] = Some((key, now));
    }

    /// Whether one did so lately.
    pub fn completed_recently(&self, key: SignatureKey, now: Timestamp) -> bool {
        let known = self.places[place_of(key)].filter(|(known, _)| *known == key);
        known.is_some_and(|(_, at)| now.since(at) < SPEAKS_FOR)
    }
}

fn place_of(key: SignatureKey) -> usize {
    key.0 as usize % PLACES
}
