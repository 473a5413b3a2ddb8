//! Encodes and decodes generated message types. Malformed bytes can't crash the node.
//!
//! quick-protobuf 0.8 does not check the length of a nested field against the length of its message, so its reader
//! panics on malformed bytes by arithmetic overflow. The workspace enables overflow checks in release builds, because
//! without them the reader could loop instead. [`decode`] returns an error for such bytes. Always decode with it, and
//! only authenticated bytes.

use std::panic::{catch_unwind, AssertUnwindSafe};

use derive_more::{Display, Error};
use quick_protobuf::{BytesReader, MessageRead, MessageWrite, Writer};

/// The error of [`decode`]: the bytes are not an encoding of the expected message.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the bytes are not an encoding of the expected message")]
pub struct MalformedMessage;

/// Encodes a generated message.
pub fn encode<M: MessageWrite>(message: &M) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(message.get_size());
    // Writing to a vector can't fail, because it grows as needed.
    let written = message.write_message(&mut Writer::new(&mut bytes));
    debug_assert!(written.is_ok(), "writing to a vector cannot fail");
    bytes
}

/// Decodes a generated message.
///
/// # Errors
///
/// Returns [`MalformedMessage`] if `bytes` is not a valid encoding of `M`.
pub fn decode<'a, M: MessageRead<'a>>(bytes: &'a [u8]) -> Result<M, MalformedMessage> {
    let read = || M::from_reader(&mut BytesReader::from_bytes(bytes), bytes);
    match catch_unwind(AssertUnwindSafe(read)) {
        Ok(Ok(message)) => Ok(message),
        Ok(Err(_)) | Err(_) => Err(MalformedMessage),
    }
}
