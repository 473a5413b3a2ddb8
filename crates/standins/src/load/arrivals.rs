//! The planned calls of a load.

use std::time::Duration;

use rand::distributions::{Distribution, WeightedIndex};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::options::{Arrivals, LoadOptions};

/// A call that is going to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// Its number.
    pub number: u64,
    /// Its start, from the start of the load.
    pub after: Duration,
    /// The index of its traffic share.
    pub share: usize,
    /// A random number for what the call makes up.
    pub random: u64,
}

/// All calls of a load, by start.
pub fn plan(options: &LoadOptions) -> Vec<PlannedCall> {
    let mut generator = Pcg64::seed_from_u64(options.seed);
    let Ok(shares) = WeightedIndex::new(options.shares.iter().map(|share| share.weight)) else { return Vec::new() };
    let mut calls = Vec::new();
    let mut start = gap(options, &mut generator);
    while start < options.duration.as_secs_f64() {
        calls.push(PlannedCall {
            number: calls.len() as u64,
            after: Duration::from_secs_f64(start),
            share: shares.sample(&mut generator),
            random: generator.gen(),
        });
        start += gap(options, &mut generator);
    }
    calls
}

/// The seconds between one call and the next; infinite for a load without calls.
fn gap(options: &LoadOptions, generator: &mut Pcg64) -> f64 {
    if options.rate <= 0.0 {
        return f64::INFINITY;
    }
    match options.arrivals {
        Arrivals::Steady => 1.0 / options.rate,
        Arrivals::Poisson => -(1.0 - generator.gen::<f64>()).ln() / options.rate,
    }
}
