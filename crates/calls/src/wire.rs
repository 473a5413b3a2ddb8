//! Encodes and decodes the messages between an edge and a gate as protobuf.
//!
//! Use [`encode_context`] and [`decode_context`] for the context that an edge sends with an attempt, and
//! [`encode_feedback`] and [`decode_feedback`] for the feedback that a gate returns with the answer. Decoding trusts no
//! input: it checks the size before it reads anything, and rejects fields that contradict each other.

use std::time::Duration;

use derive_more::{Display, Error, From};
use quillhatch_messages::generated::calls as proto;
use quillhatch_messages::{decode, encode, MalformedMessage};
use quillhatch_types::admission::{BANDS, RANKS_PER_BAND};
use quillhatch_types::call::{KeyError, MAXIMUM_DEPTH};
use quillhatch_types::names::NameError;
use quillhatch_types::{
    AdmissionLevel, AdmissionRank, CallContext, CallId, ClassName, Digest, Epoch, Feedback, Priority, RequestKey,
    Revision, RootId, ServiceName,
};

/// The maximum length of an encoded message in bytes; longer than any message encoded here.
pub const MAXIMUM_MESSAGE_LENGTH: usize = 1024;

/// The maximum remaining time that is accepted; encoding reduces longer ones to it.
pub const MAXIMUM_REMAINING: Duration = Duration::from_secs(24 * 60 * 60);

const DIGEST_BYTES: usize = 16;

/// The error returned for bytes that are not a valid context or feedback.
#[derive(Clone, Debug, Display, Error, From, PartialEq, Eq)]
pub enum WireError {
    /// The message is longer than [`MAXIMUM_MESSAGE_LENGTH`].
    #[from(ignore)]
    #[display("the message has {length} bytes, more than the {MAXIMUM_MESSAGE_LENGTH} allowed")]
    TooLong {
        /// The length of the message in bytes.
        length: usize,
    },
    /// The bytes are not a protobuf message of the expected type.
    Malformed(MalformedMessage),
    /// The service or class is not a valid name.
    Name(NameError),
    /// The key is not a valid request key.
    Key(KeyError),
    /// A field has a value outside its range.
    #[from(ignore)]
    #[display("the field `{field}` is out of range")]
    OutOfRange {
        /// The field.
        field: &'static str,
    },
    /// A field contradicts another one, or is missing although another one requires it.
    #[from(ignore)]
    #[display("the field `{field}` contradicts the rest of the message")]
    Contradiction {
        /// The field.
        field: &'static str,
    },
}

/// Encodes the context that an edge sends to a gate with an attempt.
pub fn encode_context(context: &CallContext) -> Vec<u8> {
    let remaining = context.remaining.min(MAXIMUM_REMAINING);
    encode(&proto::CallContext {
        call_high: high_bits(context.call.0),
        call_low: context.call.0 as u64,
        root_high: high_bits(context.root.0),
        root_low: context.root.0 as u64,
        attempt: u32::from(context.attempt),
        depth: u32::from(context.depth),
        tokens: u32::from(context.tokens),
        service: context.service.as_str().to_owned(),
        class: context.class.as_str().to_owned(),
        priority: context.priority.index() as u32,
        rank: u32::from(context.rank.0),
        repeatable: context.repeatable,
        key: context.key.as_ref().map(|key| key.as_str().to_owned()).unwrap_or_default(),
        key_from_caller: context.key_from_caller,
        digest: context.digest.map(|digest| digest.0.to_le_bytes().to_vec()).unwrap_or_default(),
        remaining: remaining.as_micros() as u64,
    })
}

/// Decodes the context that an edge sends to a gate with an attempt.
///
/// # Errors
///
/// Returns an error if the message is too long or malformed, or for its first invalid field.
pub fn decode_context(bytes: &[u8]) -> Result<CallContext, WireError> {
    check_length(bytes)?;
    let message: proto::CallContext = decode(bytes)?;
    let priority = priority(message.priority)?;
    let repeatable = message.repeatable;
    let key = key(&message)?;
    Ok(CallContext {
        call: CallId(join_bits(message.call_high, message.call_low)),
        root: RootId(join_bits(message.root_high, message.root_low)),
        attempt: narrow(message.attempt, "attempt")?,
        depth: depth(message.depth)?,
        tokens: narrow(message.tokens, "tokens")?,
        service: ServiceName::new(&message.service)?,
        class: ClassName::new(&message.class)?,
        priority,
        rank: rank(message.rank, priority)?,
        repeatable,
        key_from_caller: message.key_from_caller,
        digest: digest(&message)?,
        remaining: remaining(message.remaining)?,
        key,
    })
}

/// Encodes the feedback that a gate sends to an edge with an answer.
pub fn encode_feedback(feedback: &Feedback) -> Vec<u8> {
    encode(&proto::Feedback {
        level: u32::from(feedback.level.0),
        running: feedback.running,
        waiting: feedback.waiting,
        limit: feedback.limit,
        tokens_left: u32::from(feedback.tokens_left),
        epoch: feedback.epoch.0,
        revision: feedback.revision.0,
    })
}

/// Decodes the feedback that a gate sends to an edge with an answer.
///
/// # Errors
///
/// Returns an error if the message is too long or malformed, or for its first invalid field.
pub fn decode_feedback(bytes: &[u8]) -> Result<Feedback, WireError> {
    check_length(bytes)?;
    let message: proto::Feedback = decode(bytes)?;
    let level = narrow(message.level, "level")?;
    if level > AdmissionLevel::OPEN.0 {
        return Err(WireError::OutOfRange { field: "level" });
    }
    Ok(Feedback {
        level: AdmissionLevel(level),
        running: message.running,
        waiting: message.waiting,
        limit: message.limit,
        tokens_left: narrow(message.tokens_left, "tokens_left")?,
        epoch: Epoch(message.epoch),
        revision: Revision(message.revision),
    })
}

fn check_length(bytes: &[u8]) -> Result<(), WireError> {
    if bytes.len() > MAXIMUM_MESSAGE_LENGTH {
        return Err(WireError::TooLong { length: bytes.len() });
    }
    Ok(())
}

fn high_bits(value: u128) -> u64 {
    (value >> 64) as u64
}

fn join_bits(high: u64, low: u64) -> u128 {
    u128::from(high) << 64 | u128::from(low)
}

fn narrow<Narrow: TryFrom<u32>>(value: u32, field: &'static str) -> Result<Narrow, WireError> {
    Narrow::try_from(value).map_err(|_| WireError::OutOfRange { field })
}

fn depth(value: u32) -> Result<u8, WireError> {
    let depth = narrow(value, "depth")?;
    if depth > MAXIMUM_DEPTH {
        return Err(WireError::OutOfRange { field: "depth" });
    }
    Ok(depth)
}

fn priority(value: u32) -> Result<Priority, WireError> {
    let known = Priority::ALL.into_iter().find(|priority| priority.index() as u32 == value);
    known.ok_or(WireError::OutOfRange { field: "priority" })
}

fn rank(value: u32, priority: Priority) -> Result<AdmissionRank, WireError> {
    let rank: u16 = narrow(value, "rank")?;
    if rank >= BANDS * RANKS_PER_BAND {
        return Err(WireError::OutOfRange { field: "rank" });
    }
    // With a rank better than its priority allows, a call would be refused later than it should be.
    if usize::from(rank / RANKS_PER_BAND / 2) != priority.index() {
        return Err(WireError::Contradiction { field: "rank" });
    }
    Ok(AdmissionRank(rank))
}

/// Reads the key: a non-repeatable call must have one, and a repeatable call must not.
fn key(message: &proto::CallContext) -> Result<Option<RequestKey>, WireError> {
    if message.repeatable {
        let has_none = message.key.is_empty() && !message.key_from_caller;
        return if has_none { Ok(None) } else { Err(WireError::Contradiction { field: "key" }) };
    }
    Ok(Some(RequestKey::new(&message.key)?))
}

/// Reads the digest of the request: it must be present with a key from the caller, and absent otherwise.
fn digest(message: &proto::CallContext) -> Result<Option<Digest>, WireError> {
    if message.digest.is_empty() == message.key_from_caller {
        return Err(WireError::Contradiction { field: "digest" });
    }
    if message.digest.is_empty() {
        return Ok(None);
    }
    let bytes: [u8; DIGEST_BYTES] =
        message.digest.as_slice().try_into().map_err(|_| WireError::OutOfRange { field: "digest" })?;
    Ok(Some(Digest(u128::from_le_bytes(bytes))))
}

fn remaining(microseconds: u64) -> Result<Duration, WireError> {
    let remaining = Duration::from_micros(microseconds);
    if remaining > MAXIMUM_REMAINING {
        return Err(WireError::OutOfRange { field: "remaining" });
    }
    Ok(remaining)
}
