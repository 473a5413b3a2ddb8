//! Agreement of a small group of nodes that keep no disk.
//!
//! Use it where a handful of nodes must agree on a sequence of commands although every one of them forgets everything
//! when its process ends. It is a replicated log with terms, votes and majorities as in Raft (Ongaro and Ousterhout, "In
//! Search of an Understandable Consensus Algorithm", 2014; Ongaro's dissertation for pre-vote, check-quorum, leases
//! and leadership transfer), changed in three ways: a voter is one run of a node, so a restarted node is another
//! voter; a change of voters is agreed by a majority of the old voters and of the new; and a group can be formed from
//! nothing by a majority of configured addresses, which says so when agreements of an earlier group may be lost.
//!
//! [`Group`] is sans-I/O: the driver hands in messages and time and carries out the outputs. It must deliver a message
//! only to the run that it is addressed to; an incarnation of zero stands for any run at the address.

mod change;
mod election;
mod follower;
mod forming;
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
