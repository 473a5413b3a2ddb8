//! Why a message about claims is not understood.

use derive_more::{Display, Error, From};
use quillhatch_messages::MalformedMessage;
use quillhatch_types::call::KeyError;
use quillhatch_types::names::NameError;

/// Why bytes are no message about claims.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum ClaimMessageError {
    /// The bytes are no encoding of the message.
    #[display("{_0}")]
    Malformed(MalformedMessage),
    /// The service's name is not valid.
    #[display("the service's name is not valid: {_0}")]
    Service(NameError),
    /// A key is not valid.
    #[display("a claim's key is not valid: {_0}")]
    Key(KeyError),
    /// A field is missing.
    #[from(ignore)]
    #[display("the field {field} is missing")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field is outside its range.
    #[from(ignore)]
    #[display("the field {field} is out of range")]
    OutOfRange {
        /// The field.
        field: &'static str,
    },
    /// The message has more claims or bytes than one may carry.
    #[display("the message carries more claims than allowed")]
    #[from(ignore)]
    Oversized,
}
