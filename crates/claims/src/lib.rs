//! At-most-once execution of calls that are not safe to retry, by claims recorded on a majority of a service's voters.
//!
//! Gates own the slots of a service and run a [`ClaimOwner`]; the voters that the service's table lists run a
//! [`ClaimVoter`]. Both are sans-I/O. `docs/design/at-most-once.md` explains the protocol and why it is safe.

pub mod claim;
mod codec;
#[cfg(test)]
mod codec_tests;
pub mod error;
mod expiry;
pub mod mechanisms;
pub mod message;
pub mod owner;
mod quorum;
pub mod settings;
mod store;
pub mod voter;
mod voters_change;

pub use claim::{ClaimEntry, ClaimOrigin, ClaimStatus, HeldClaim};
pub use codec::{decode_claims, encode_claims};
pub use error::ClaimMessageError;
pub use mechanisms::{ClaimMechanisms, UnknownMechanism};
pub use message::{pages_of, ClaimBody, ClaimMessage, ClaimRole, RecordId, RecordKind, Verdict};
pub use owner::io::{ClaimDecision, OwnerInput, OwnerOutput};
pub use owner::ClaimOwner;
pub use settings::{OwnerSettings, VoterSettings};
pub use voter::ClaimVoter;
pub use voters_change::can_drop_previous_voters;
