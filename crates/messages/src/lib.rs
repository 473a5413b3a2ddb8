//! Protobuf schema of the messages between nodes and the authenticated frame that carries them.
//!
//! The crates that own a protocol define its typed messages and convert them from and to [`generated`] types. The
//! drivers of a node pack what its parts say into [`Payload`]s, seal them with a [`FrameSealer`] and check what arrives
//! with a [`FrameOpener`].

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
