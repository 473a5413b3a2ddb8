//! Failure detection and membership between nodes.
//!
//! Every node probes one member of its zone per interval: directly first, then indirectly through other members. A member
//! that does not answer is suspected and can refute the suspicion. A few delegates of each zone probe the other zones.
//! The bytes that a node sends per second do not depend on the size of the fleet; see `docs/design/membership.md`.

pub mod error;
pub mod member;
pub mod membership;
pub mod message;
pub mod probe;
pub mod rumor;
pub mod settings;
pub mod table;
pub mod wire;
pub mod zones;

pub use error::MessageError;
pub use member::{MemberInfo, MemberRecord, MemberStatus, ZoneId};
pub use membership::{MemberChange, Membership, MembershipInput, MembershipOutput};
pub use message::{MembershipMessage, MessageBody};
pub use settings::{MembershipMechanisms, MembershipSettings};
