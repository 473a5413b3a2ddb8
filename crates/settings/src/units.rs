//! Parses and formats durations and sizes with units, such as `250 ms` and `64 KiB`.
//!
//! Use it for every setting or flag that holds a duration or a size. Numbers without a unit are rejected, because `30`
//! could mean seconds as well as milliseconds.

use std::time::Duration;

use bytesize::ByteSize;
use derive_more::{Display, Error};

/// Why a text is not a valid duration or size.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum UnitError {
    /// The text has no unit.
    #[display("{text:?} has no unit")]
    MissingUnit {
        /// The text.
        text: String,
    },
    /// The text is not a duration.
    #[display("{text:?} is not a duration")]
    InvalidDuration {
        /// The text.
        text: String,
    },
    /// The text is not a size.
    #[display("{text:?} is not a size")]
    InvalidSize {
        /// The text.
        text: String,
    },
}

/// Parses a duration such as `250 ms`, `1m 30s` or `2 hours`.
///
/// # Errors
///
/// Returns an error if the text has no unit or is not a duration.
pub fn parse_duration(text: &str) -> Result<Duration, UnitError> {
    require_unit(text)?;
    humantime::parse_duration(text.trim()).map_err(|_| UnitError::InvalidDuration { text: text.to_string() })
}

/// Formats a duration so that [`parse_duration`] returns the same value.
pub fn render_duration(duration: Duration) -> String {
    humantime::format_duration(duration).to_string()
}

/// Parses a size in bytes such as `512 B`, `64 KiB` or `1 MB`. `KiB` is 1024 bytes, `kB` is 1000 bytes.
///
/// # Errors
///
/// Returns an error if the text has no unit, is not a size, or is larger than what is parsed exactly (2^53 bytes).
pub fn parse_size(text: &str) -> Result<u64, UnitError> {
    require_unit(text)?;
    let error = || UnitError::InvalidSize { text: text.to_string() };
    let size: ByteSize = text.trim().parse().map_err(|_| error())?;
    // bytesize computes in floating point, so a larger value may differ from what was written.
    if size.0 > MAX_EXACT_SIZE {
        return Err(error());
    }
    Ok(size.0)
}

/// The largest size that is parsed exactly, in bytes.
const MAX_EXACT_SIZE: u64 = 1 << 53;

/// Formats a size so that [`parse_size`] returns the same value.
pub fn render_size(bytes: u64) -> String {
    let units = [(bytesize::GIB, "GiB"), (bytesize::MIB, "MiB"), (bytesize::KIB, "KiB")];
    match units.into_iter().find(|(unit, _)| bytes > 0 && bytes % unit == 0) {
        Some((unit, name)) => format!("{} {name}", bytes / unit),
        None => format!("{bytes} B"),
    }
}

fn require_unit(text: &str) -> Result<(), UnitError> {
    if text.chars().any(|character| character.is_alphabetic()) {
        return Ok(());
    }
    Err(UnitError::MissingUnit { text: text.to_string() })
}
