//! Protobuf schema of the messages between nodes and the authenticated frame that carries them.
//!
//! The crate that owns a protocol defines its typed messages and converts them from and to the [`generated`] types. The
//! driver of a node puts encoded messages into [`Payload`]s, builds frames from them with a [`FrameSealer`], and
//! verifies and decodes received frames with a [`FrameOpener`].

pub mod error;
pub mod frame;
pub mod generated;
pub mod key;
pub mod payload;
pub mod replay;
pub mod version;
pub mod wire;

pub use error::FrameError;
pub use frame::{FrameOpener, FrameSealer, OpenedFrame, MAX_FRAME_BYTES, MAX_PAYLOAD_BYTES};
pub use key::{FleetKey, FleetKeys, KeyId, KeySetError, MIN_SECRET_BYTES};
pub use payload::{Payload, PayloadKind};
pub use version::{ProtocolVersion, NEWEST_VERSION, OLDEST_VERSION};
pub use wire::{decode, encode, MalformedMessage};
