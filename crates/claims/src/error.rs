//! Errors of decoding messages about claims.

use derive_more::{Display, Error, From};
use quillhatch_messages::MalformedMessage;
use quillhatch_types::call::KeyError;
use quillhatch_types::names::NameError;

/// The reason why bytes do not decode to a message about claims.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum ClaimMessageError {
    /// The bytes are not a valid encoding of the message.
    #[display("{_0}")]
    Malformed(MalformedMessage),
    /// The service name is invalid.
    #[display("invalid service name: {_0}")]
    Service(NameError),
    /// A claim's key is invalid.
    #[display("invalid claim key: {_0}")]
    Key(KeyError),
    /// A required field is missing.
    #[from(ignore)]
    #[display("the field {field} is missing")]
    Missing {
        /// The name of the field.
        field: &'static str,
    },
    /// The value of a field is out of range, or fields contradict each other.
    #[from(ignore)]
    #[display("the field {field} is out of range")]
    OutOfRange {
        /// The name of the field.
        field: &'static str,
    },
    /// The message, the number of its claims or a recorded answer exceeds its limit.
    #[display("the message, the number of its claims or an answer exceeds its limit")]
    #[from(ignore)]
    Oversized,
}
