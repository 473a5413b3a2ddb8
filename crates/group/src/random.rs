//! The group's seeded random number generator.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// A generator that implements `Eq` and `Hash`, so that a whole group can be a state in the model checker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SeededRandom(Pcg64);

impl SeededRandom {
    pub fn from_seed(seed: u64) -> Self {
        Self(Pcg64::seed_from_u64(seed))
    }

    /// A random duration in the range. Does not advance the generator if the range is a single value, which keeps the
    /// number of model states low.
    pub fn duration_between(&mut self, minimum: Duration, maximum: Duration) -> Duration {
        if minimum >= maximum {
            return minimum;
        }
        self.0.gen_range(minimum..=maximum)
    }

    pub fn step_up_to(&mut self, maximum: u64) -> u64 {
        if maximum <= 1 {
            return 1;
        }
        self.0.gen_range(1..=maximum)
    }
}

impl Hash for SeededRandom {
    fn hash<H: Hasher>(&self, _: &mut H) {
        // The generator has no cheap hash. Hashing nothing satisfies the contract that equal values have equal hashes.
    }
}
