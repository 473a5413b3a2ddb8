//! What is known of a call and travels with it from node to node.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::admission::{AdmissionRank, Priority};
use crate::names::{ClassName, ServiceName};

/// One call from one edge to one service; attempts of the same call share it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0:032x}")]
pub struct CallId(#[serde(with = "crate::hexadecimal")] pub u128);

/// The first call of a tree of calls, as its first edge saw it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0:032x}")]
pub struct RootId(#[serde(with = "crate::hexadecimal")] pub u128);

/// A hash of a request's method, path and body, to tell a repeat from another request under the same key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0:032x}")]
pub struct Digest(#[serde(with = "crate::hexadecimal")] pub u128);

/// The longest request key accepted, in bytes.
pub const MAXIMUM_KEY_LENGTH: usize = 128;

/// Why a text is no valid request key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The key is empty.
    #[display("a request key must not be empty")]
    Empty,
    /// The key is longer than [`MAXIMUM_KEY_LENGTH`].
    #[display("a request key must not be longer than {MAXIMUM_KEY_LENGTH} bytes")]
    TooLong,
    /// The key has a character outside printable ASCII.
    #[display("a request key must consist of printable ASCII characters")]
    Character,
}

/// The key under which a request that may not be repeated runs at most once (`Idempotency-Key`).
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestKey(Arc<str>);

impl RequestKey {
    /// Checks `text` and makes a key of it.
    ///
    /// # Errors
    ///
    /// Returns why the text is no valid key.
    pub fn new(text: &str) -> Result<Self, KeyError> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAXIMUM_KEY_LENGTH {
            return Err(KeyError::TooLong);
        }
        if !text.bytes().all(|byte| (0x20..0x7f).contains(&byte)) {
            return Err(KeyError::Character);
        }
        Ok(RequestKey(Arc::from(text)))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The number of hops below the first edge that a call may reach.
pub const MAXIMUM_DEPTH: u8 = 16;

/// What an edge tells a gate about an attempt of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// The call that this is an attempt of.
    pub call: CallId,
    /// The first call of the tree.
    pub root: RootId,
    /// The number of the attempt, counted from zero.
    pub attempt: u8,
    /// The number of hops above this call; zero for a root call.
    pub depth: u8,
    /// Retry tokens handed to this attempt, for the calls made below it; see the retry budget in `quillhatch-calls`.
    pub tokens: u16,
    /// The service called.
    pub service: ServiceName,
    /// The class of the call in its service.
    pub class: ClassName,
    /// The more important of the class's priority and, for a child call, its root's priority.
    pub priority: Priority,
    /// The place in the order of refusal.
    pub rank: AdmissionRank,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// The key of a call that may not be repeated; drawn by the edge if the caller gave none.
    pub key: Option<RequestKey>,
    /// Whether `key` came from the caller, who may then repeat the request under the same key.
    pub key_from_caller: bool,
    /// A hash of the request, present when `key` came from the caller.
    pub digest: Option<Digest>,
    /// The time left until the caller gives up, measured when the attempt was sent.
    pub remaining: Duration,
}

/// One attempt of a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{call}/{attempt}")]
pub struct AttemptId {
    /// The call.
    pub call: CallId,
    /// The number of the attempt, counted from zero.
    pub attempt: u8,
}

impl CallContext {
    /// The attempt that this context belongs to.
    pub fn attempt_id(&self) -> AttemptId {
        AttemptId { call: self.call, attempt: self.attempt }
    }
}

/// One field of an answer's header.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HeaderField {
    /// The field's name in lower case.
    pub name: String,
    /// The field's value.
    pub value: String,
}

/// An answer that was recorded with its claim, to be given again to a repeat of the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The status code.
    pub status: u16,
    /// The header fields worth repeating.
    pub headers: Vec<HeaderField>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What the calls made below a call inherit from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParentContext {
    /// The call in progress at the local gate.
    pub call: CallId,
    /// The first call of the tree.
    pub root: RootId,
    /// The depth of the parent.
    pub depth: u8,
    /// The priority that the tree inherits.
    pub priority: Priority,
    /// Whether the parent, or a call above it, is itself a retry.
    pub retry: bool,
    /// Retry tokens lent to the child call; what is left goes back to the parent.
    pub tokens: u16,
    /// The time left for the parent.
    pub remaining: Duration,
}
