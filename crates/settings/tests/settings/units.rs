//! Durations and sizes: numbers without a unit are rejected, and units have the documented values.

use std::time::Duration;

use quillhatch_settings::units::{parse_duration, parse_size, UnitError};
use test_case::test_case;

#[test_case("250 ms", 250; "milliseconds")]
#[test_case("1m 30s", 90_000; "minutes and seconds")]
#[test_case("1 h", 3_600_000; "an hour")]
fn durations_with_units_are_parsed(text: &str, milliseconds: u64) {
    assert_eq!(parse_duration(text), Ok(Duration::from_millis(milliseconds)));
}

#[test_case("512 B", 512; "bytes")]
#[test_case("64 KiB", 65_536; "kibibytes")]
#[test_case("10 MB", 10_000_000; "megabytes")]
fn sizes_with_units_are_parsed(text: &str, bytes: u64) {
    assert_eq!(parse_size(text), Ok(bytes));
}

#[test_case("0")]
#[test_case("250")]
#[test_case(" ")]
fn numbers_without_unit_are_rejected(text: &str) {
    assert_eq!(parse_duration(text), Err(UnitError::MissingUnit { text: text.to_string() }));
    assert_eq!(parse_size(text), Err(UnitError::MissingUnit { text: text.to_string() }));
}

#[test_case("-5 KiB"; "negative")]
#[test_case("5 parsecs"; "an unknown unit")]
#[test_case("99999999999 PiB"; "beyond the exact range")]
fn invalid_sizes_are_rejected(text: &str) {
    assert_eq!(parse_size(text), Err(UnitError::InvalidSize { text: text.to_string() }));
}
