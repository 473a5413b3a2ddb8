//! Protobuf schema of the messages between nodes and the authenticated frame that carries them.
//!
//! The crates that own a protocol define its typed messages and convert them from and to [`generated`] types.

pub mod generated;
