//! Plans the start times of the calls of a load.

use std::time::Duration;

use rand::distributions::{Distribution, WeightedIndex};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::options::{Arrivals, LoadOptions};

/// A call that will be made.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// The sequence number of the call.
    pub number: u64,
    /// The planned start, relative to the start of the load.
    pub after: Duration,
    /// The index of the call's traffic share.
    pub share: usize,
    /// A random number from which the call derives the file that it downloads.
    pub random: u64,
}

/// Returns all calls of a load in order of their start.
pub fn plan(options: &LoadOptions) -> Vec<PlannedCall> {
    let mut generator = Pcg64::seed_from_u64(options.seed);
    let Ok(shares) = WeightedIndex::new(options.shares.iter().map(|share| share.weight)) else { return Vec::new() };
    let mut calls = Vec::new();
    let mut start = next_interval(options, &mut generator);
    while start < options.duration.as_secs_f64() {
        calls.push(PlannedCall {
            number: calls.len() as u64,
            after: Duration::from_secs_f64(start),
            share: shares.sample(&mut generator),
            random: generator.gen(),
        });
        start += next_interval(options, &mut generator);
    }
    calls
}

/// Returns the seconds until the next call, infinity if the rate allows no calls.
fn next_interval(options: &LoadOptions, generator: &mut Pcg64) -> f64 {
    if options.rate <= 0.0 {
        return f64::INFINITY;
    }
    match options.arrivals {
        Arrivals::Steady => 1.0 / options.rate,
        Arrivals::Poisson => -(1.0 - generator.gen::<f64>()).ln() / options.rate,
    }
}
