//! Times and sizes as texts with units, such as `250 ms` and `64 KiB`.
//!
//! Use it wherever a setting or a flag gives a time or a size. Numbers without a unit are refused, because nobody can tell
//! whether `30` means seconds or milliseconds.

use std::time::Duration;

use bytesize::ByteSize;
use derive_more::{Display, Error};

/// Why a text is no time or size.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum UnitError {
    /// The text has no unit.
    #[display("{text:?} has no unit")]
    MissingUnit {
        /// The text.
        text: String,
    },
    /// The text is no time.
    #[display("{text:?} is no time")]
    InvalidDuration {
        /// The text.
        text: String,
    },
    /// The text is no size.
    #[display("{text:?} is no size")]
    InvalidSize {
        /// The text.
        text: String,
    },
}

/// Reads a time such as `250 ms`, `1m 30s` or `2 hours`.
///
/// # Errors
///
/// Returns an error if the text has no unit or is no time.
pub fn parse_duration(text: &str) -> Result<Duration, UnitError> {
    require_unit(text)?;
    humantime::parse_duration(text.trim()).map_err(|_| UnitError::InvalidDuration { text: text.to_string() })
}

/// Writes a time so that [`parse_duration`] reads the same value.
pub fn render_duration(time: Duration) -> String {
    humantime::format_duration(time).to_string()
}

/// Reads a size in bytes such as `512 B`, `64 KiB` or `1 MB`; `KiB` counts 1024 bytes and `kB` 1000.
///
/// # Errors
///
/// Returns an error if the text has no unit, is no size, or is not a whole number of bytes.
pub fn parse_size(text: &str) -> Result<u64, UnitError> {
    require_unit(text)?;
    let error = || UnitError::InvalidSize { text: text.to_string() };
    let size: ByteSize = text.trim().parse().map_err(|_| error())?;
    // The library computes in floating point: beyond this the value need not be what was written.
    if size.0 > MAXIMUM_EXACT_SIZE {
        return Err(error());
    }
    Ok(size.0)
}

/// The largest size that is read exactly, in bytes (2^53).
const MAXIMUM_EXACT_SIZE: u64 = 1 << 53;

/// Writes a size so that [`parse_size`] reads the same value.
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
