//! Identities of nodes, and the counters that order the state they agree on.

use std::net::SocketAddr;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// The peer address of a node: the address at which other nodes reach it.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeAddress(pub SocketAddr);

/// A random number generated when a process starts and never reused.
///
/// A machine that lost its state restarts with a new incarnation, so it cannot contradict a vote that it no longer
/// remembers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);

/// One run of a node: its address and its incarnation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{address}#{incarnation}")]
pub struct NodeId {
    /// The peer address of the node.
    pub address: NodeAddress,
    /// The run of the node.
    pub incarnation: Incarnation,
}

macro_rules! counter_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The value that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

counter_type!(
    /// Counts changes of slot ownership within a service; a higher epoch fences a lower one.
    Epoch
);
counter_type!(
    /// Counts how often a service's group at a site was formed without an earlier group's state.
    Generation
);
counter_type!(
    /// The revision of a configuration document, assigned by the platform.
    Revision
);

/// One of the fixed number of slots that a service's keys are hashed to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotId(pub u16);
