//! Consensus among a small group of nodes that keep their state in memory only.
//!
//! Use it where a few nodes must agree on a sequence of commands although each of them loses its state when its process
//! ends. It is a replicated log with terms, votes and majorities as in Raft (Ongaro and Ousterhout, "In Search of an
//! Understandable Consensus Algorithm", 2014; Ongaro's dissertation for pre-vote, check-quorum, leases and leadership
//! transfer), with three differences:
//!
//! - A voter is one run of a node (an incarnation), so a restarted node is a different voter.
//! - A change of voters is committed by a majority of the old voters and a majority of the new voters.
//! - A majority of the configured addresses can form a group without prior state. The new group sets a flag if commands
//!   that an earlier group committed may be lost.
//!
//! [`Group`] does no I/O: the driver passes in messages and the time, and executes the outputs. The driver must deliver
//! a message only to the run that it is addressed to; incarnation zero addresses any run at that address.

mod change;
mod election;
mod follower;
mod formation;
mod group;
mod io;
mod log;
mod member;
mod message;
mod random;
mod replication;
mod settings;
mod snapshot;
mod survey;
mod voters;
mod wire;

pub use group::Group;
pub use io::{FormRequirements, GroupInput, GroupOutput, ProposalRefusal, ProposalResult, Role};
pub use log::{Entry, Payload};
pub use message::{
    Answer, Append, AppendReply, FormReply, FormRequest, FormationRecord, GroupIdentity, GroupMessage, GroupView,
    SnapshotChunk, SnapshotReply, VoteReply, VoteRequest,
};
pub use settings::{GroupMechanisms, GroupSettings, SettingsError, MAX_BATCH_BYTES, MAX_VOTERS};
pub use voters::VoterSet;
pub use wire::GroupDecodeError;
