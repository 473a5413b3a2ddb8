//! Why an encoded message, command or snapshot is refused.

use derive_more::{Display, Error, From};
use quillhatch_messages::MalformedMessage;
use quillhatch_types::names::NameError;

/// Why bytes are no valid message, command or snapshot of this crate.
#[derive(Debug, Display, Error, From)]
pub enum DecodeError {
    /// The bytes are no protobuf encoding of the expected message.
    #[display("{_0}")]
    Malformed(MalformedMessage),
    /// A name in it is not valid.
    #[display("{_0}")]
    Name(NameError),
    /// An embedded JSON document does not fit its type.
    #[display("{_0}")]
    Document(serde_json::Error),
    /// A field that must be present is absent or out of its range.
    #[display("the field {field} is missing or out of range")]
    #[from(skip)]
    Field {
        /// The field.
        field: &'static str,
    },
}

/// An error about one field.
pub(crate) fn field(field: &'static str) -> DecodeError {
    DecodeError::Field { field }
}
