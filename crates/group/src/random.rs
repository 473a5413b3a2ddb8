//! The group's seeded random source.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// A generator that takes part in comparisons, so that a whole group can be a state of the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Random(Pcg64);

impl Random {
    pub fn from_seed(seed: u64) -> Self {
        Self(Pcg64::seed_from_u64(seed))
    }

    /// A span within the range; draws nothing if it is a single value, which keeps model states few.
    pub fn span(&mut self, minimum: Duration, maximum: Duration) -> Duration {
        if minimum >= maximum {
            return minimum;
        }
        self.0.gen_range(minimum..=maximum)
    }

    pub fn stride(&mut self, maximum: u64) -> u64 {
        if maximum <= 1 {
            return 1;
        }
        self.0.gen_range(1..=maximum)
    }
}

impl Hash for Random {
    fn hash<H: Hasher>(&self, _: &mut H) {
        // The generator has no cheap digest; equal values still hash alike, which is all that is asked.
    }
}
