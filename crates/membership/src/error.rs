//! Errors of decoding membership messages.

use derive_more::{Display, Error, From};
use quillhatch_messages::MalformedMessage;
use quillhatch_types::names::NameError;

/// An error of decoding a membership message.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum MessageError {
    /// The bytes are not a valid membership message.
    #[display("malformed message")]
    #[from]
    Malformed(MalformedMessage),
    /// A service, site or zone name is not valid.
    #[display("invalid name: {_0}")]
    #[from]
    Name(NameError),
    /// A node address is not valid.
    #[display("invalid address")]
    Address,
    /// A required field is missing, or a field is out of range.
    #[display("the field {field} is missing or out of range")]
    Field {
        /// The field's name in the protobuf schema.
        #[error(not(source))]
        field: &'static str,
    },
}
