//! Encodes and decodes generated message types without a way to crash the node.
//!
//! The reader of quick-protobuf 0.8 does not check the length of a nested field against its message, so malformed bytes
//! make it panic on an arithmetic overflow (the workspace keeps overflow checks on in release builds, where it could
//! otherwise loop). [`decode`] turns that into an error; use it for every decoding, and only on authenticated bytes.

use std::panic::{catch_unwind, AssertUnwindSafe};

use derive_more::{Display, Error};
use quick_protobuf::{BytesReader, MessageRead, MessageWrite, Writer};

/// The bytes are not an encoding of the expected message.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the bytes are not an encoding of the expected message")]
pub struct MalformedMessage;

/// Encodes a generated message.
pub fn encode<M: MessageWrite>(message: &M) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(message.get_size());
    // Writing into a vector cannot fail: it grows as needed.
    let written = message.write_message(&mut Writer::new(&mut bytes));
    debug_assert!(written.is_ok(), "writing into a vector cannot fail");
    bytes
}

/// Decodes a generated message.
///
/// # Errors
///
/// Returns [`MalformedMessage`] if `bytes` is no encoding of `M`.
pub fn decode<'a, M: MessageRead<'a>>(bytes: &'a [u8]) -> Result<M, MalformedMessage> {
    let read = || M::from_reader(&mut BytesReader::from_bytes(bytes), bytes);
    match catch_unwind(AssertUnwindSafe(read)) {
        Ok(Ok(message)) => Ok(message),
        Ok(Err(_)) | Err(_) => Err(MalformedMessage),
    }
}
