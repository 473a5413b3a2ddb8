//! Why a membership message cannot be read.

use derive_more::{Display, Error, From};
use quillhatch_messages::MalformedMessage;
use quillhatch_types::names::NameError;

/// Why the bytes of a membership message are refused.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum MessageError {
    /// The bytes are no membership message.
    #[display("malformed message")]
    #[from]
    Malformed(MalformedMessage),
    /// A name in it is not valid.
    #[display("invalid name: {_0}")]
    #[from]
    Name(NameError),
    /// An address in it is not valid.
    #[display("invalid address")]
    Address,
    /// A field that the message needs is missing or out of range.
    #[display("the field {field} is missing or out of range")]
    Field {
        /// The field's name in the schema.
        #[error(not(source))]
        field: &'static str,
    },
}
