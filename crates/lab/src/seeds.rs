//! Ranges of seeds, and which of them are for tuning and which for reported figures.

use std::ops::RangeInclusive;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::Serialize;

/// Seeds from the first to the last, both included; written `A..B`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{first}..{last}")]
pub struct SeedRange {
    /// The first seed.
    pub first: u64,
    /// The last seed.
    pub last: u64,
}

/// The seeds on which settings are tuned; never reported on.
pub const TUNING_SEEDS: SeedRange = SeedRange { first: 1_001, last: 1_010 };

/// The seeds of reported figures; never tuned on.
pub const REPORTING_SEEDS: SeedRange = SeedRange { first: 1, last: 10 };

/// The most seeds of one range, so that a slip of the pen does not fill the machine.
const MOST_SEEDS: u64 = 10_000;

/// A text that is no range of seeds.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SeedRangeError {
    /// The text has another form.
    #[display("expected A..B, two numbers, both included")]
    Form,
    /// The last seed comes before the first.
    #[display("the last seed comes before the first")]
    Empty,
    /// The range is longer than allowed.
    #[display("more than {MOST_SEEDS} seeds")]
    TooLong,
}

impl SeedRange {
    /// A single seed.
    pub fn single(seed: u64) -> Self {
        SeedRange { first: seed, last: seed }
    }

    /// The seeds, ascending.
    pub fn seeds(self) -> RangeInclusive<u64> {
        self.first..=self.last
    }
}

impl FromStr for SeedRange {
    type Err = SeedRangeError;

    fn from_str(text: &str) -> Result<Self, SeedRangeError> {
        let (first, last) = text.split_once("..").ok_or(SeedRangeError::Form)?;
        let number = |text: &str| text.parse::<u64>().map_err(|_| SeedRangeError::Form);
        let range = SeedRange { first: number(first)?, last: number(last)? };
        if range.last < range.first {
            return Err(SeedRangeError::Empty);
        }
        if range.last - range.first >= MOST_SEEDS {
            return Err(SeedRangeError::TooLong);
        }
        Ok(range)
    }
}
