//! Errors of decoding messages, commands and snapshots.

use derive_more::{Display, Error, From};
use quillhatch_messages::MalformedMessage;
use quillhatch_types::names::NameError;

/// Why bytes are not a valid message, command or snapshot of this crate.
#[derive(Debug, Display, Error, From)]
pub enum DecodeError {
    /// The bytes are not a protobuf encoding of the expected message.
    #[display("{_0}")]
    Malformed(MalformedMessage),
    /// A decoded name is not valid.
    #[display("{_0}")]
    Name(NameError),
    /// An embedded JSON document does not match the expected type.
    #[display("{_0}")]
    Document(serde_json::Error),
    /// A field that must be present is absent or out of its range.
    #[display("the field {field} is missing or out of range")]
    #[from(skip)]
    Field {
        /// The name of the field.
        field: &'static str,
    },
}

/// Creates the error for a missing or invalid field.
pub(crate) fn field(field: &'static str) -> DecodeError {
    DecodeError::Field { field }
}
