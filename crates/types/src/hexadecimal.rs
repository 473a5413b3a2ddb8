//! Serializes 128-bit identifiers as hexadecimal digits, in the form in which they are displayed.
//!
//! JSON numbers are not exact at this size, and serde cannot deserialize 128-bit integers inside a tagged enum.

use serde::{de::Error, Deserialize, Deserializer, Serializer};

/// Serializes `value` as 32 hexadecimal digits.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(value: &u128, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("{value:032x}"))
}

/// Deserializes a number from hexadecimal digits.
///
/// # Errors
///
/// Returns an error if the text is not a hexadecimal number of at most 128 bits.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
    let text = String::deserialize(deserializer)?;
    u128::from_str_radix(&text, 16).map_err(D::Error::custom)
}
