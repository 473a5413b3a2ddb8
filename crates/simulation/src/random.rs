//! Random numbers: one generator per purpose, so that one part drawing more does not change another.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// What a generator is for; each purpose has its own stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Arrivals and behaviour of callers.
    Callers = 1,
    /// Service times and choices of back ends.
    BackEnds = 2,
    /// Latency and loss.
    Network = 3,
    /// Times and places of faults.
    Faults = 4,
    /// Identities of calls, keys and nodes.
    Identities = 5,
    /// Seeds of the nodes under test.
    Nodes = 6,
    /// Callers that ask again for what they were given.
    Repeats = 7,
}

/// The generator of `stream` in a run with `seed`.
pub fn generator(seed: u64, stream: Stream) -> Pcg64 {
    const STREAM_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
    Pcg64::seed_from_u64(seed.wrapping_add((stream as u64).wrapping_mul(STREAM_SPREAD)))
}

/// An exponentially distributed number with `mean`.
pub fn exponential(generator: &mut Pcg64, mean: f64) -> f64 {
    let uniform: f64 = generator.gen();
    -mean * (1.0 - uniform).ln()
}

/// Whether an event of probability `percent` in a hundred happens.
pub fn chance(generator: &mut Pcg64, percent: u32) -> bool {
    generator.gen_range(0..100) < percent
}
