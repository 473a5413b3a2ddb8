//! Inputs that the host passes to a group, and outputs that the host must execute.

use derive_more::{Display, Error};
use quillhatch_types::{Epoch, Formation, Generation, NodeAddress, NodeId, Timestamp};

use crate::message::GroupMessage;
use crate::voters::VoterSet;

/// The role of a node in its group.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Role {
    /// Not a member: has no vote and no replicated log.
    Outsider,
    /// Follows a leader or waits for one.
    Follower,
    /// Requests votes or pre-votes.
    Candidate,
    /// Leads the group in the current term.
    Leader,
}

/// The nodes that may form a group, and what the host remembers of earlier groups.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FormRequirements {
    /// The configured addresses, preferably three or five. A majority of them must take part in the formation.
    pub electorate: Vec<NodeAddress>,
    /// Whether the service has ever served calls.
    pub formation: Formation,
    /// The highest generation that the host remembers; zero if none.
    pub minimum_generation: Generation,
    /// The highest epoch that the host remembers; zero if none.
    pub minimum_epoch: Epoch,
}

/// An input to [`Group::step`](crate::Group::step).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum GroupInput {
    /// Runs the timers that are due.
    Tick,
    /// A message that was addressed to this run of the node or to any run at its address.
    Message {
        /// The authenticated sender.
        from: NodeId,
        /// The message.
        message: GroupMessage,
    },
    /// Proposes a command.
    Propose {
        /// Given back with the result.
        ticket: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Adds a voter, removes one, or both in one change.
    ChangeVoters {
        /// Given back with the result.
        ticket: u64,
        /// The node to add; an older run at its address is removed in the same change.
        add: Option<NodeId>,
        /// The node to remove.
        remove: Option<NodeId>,
    },
    /// The host's state after the command at `index`; the log up to it can be compacted.
    Snapshot {
        /// Up to and with this index.
        index: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// The nodes that may form a group. Sent again when the configuration changes.
    Form(FormRequirements),
    /// The node will stop: it transfers leadership and starts an election only if the other voters elect no leader.
    Stop,
}

/// An output of [`Group::step`](crate::Group::step).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum GroupOutput {
    /// Send a message; an incarnation of zero means any run at the address.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: GroupMessage,
    },
    /// A committed command; emitted once, in the order of the log.
    Committed {
        /// Its log index.
        index: u64,
        /// The term in which it was proposed.
        term: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// A proposal or a change of voters was appended to the log or refused. An appended entry is not committed yet.
    Proposed {
        /// The ticket of the proposal.
        ticket: u64,
        /// Whether it was appended.
        result: ProposalResult,
    },
    /// The role, the term or the leader changed.
    RoleChanged {
        /// The new role.
        role: Role,
        /// The new term.
        term: u64,
        /// The new leader, if known.
        leader: Option<NodeId>,
    },
    /// Replaces the host's state with a snapshot.
    InstallSnapshot {
        /// Up to and with this index.
        index: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// The log has reached its limit: the host should send [`GroupInput::Snapshot`] at this index or later.
    NeedSnapshot {
        /// The last index that was emitted to the host.
        index: u64,
    },
    /// The node became a member of a group; the host must discard its state.
    Formed {
        /// The generation of the group.
        generation: Generation,
        /// Whether commands that an earlier group committed may be lost.
        claims_lost: bool,
        /// The highest epoch that any node reported during the formation.
        epoch: Epoch,
    },
    /// A change of voters was committed, or came with a snapshot.
    VotersChanged {
        /// The new voters.
        voters: VoterSet,
    },
    /// On the leader: a node that is not a member asks to join. It was alive after the last change of voters.
    JoinRequested {
        /// The node.
        node: NodeId,
    },
    /// The node left its group, because it was removed or because of a newer group, and is an outsider.
    Removed,
    /// On a leader: its lease lasts until then. On a follower: it grants no vote to another candidate until then.
    LeaseGranted {
        /// End of the lease on this node's clock.
        until: Timestamp,
    },
}

/// The result of a proposal or of a change of voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalResult {
    /// It was appended to the leader's log; it is committed if it is emitted with the same index and term.
    Accepted {
        /// Its log index.
        index: u64,
        /// The leader's term.
        term: u64,
    },
    /// It was not appended and never will be.
    Refused(ProposalRefusal),
}

/// Why a proposal or a change of voters was refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum ProposalRefusal {
    /// This node does not lead the group.
    #[display("this node does not lead the group")]
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
    /// The leader is stopping and transfers its leadership.
    #[display("the leader is handing leadership on")]
    TransferringLeadership,
    /// The command is above the size limit.
    #[display("the command is too large")]
    CommandTooLarge,
    /// The log is full until the host sends a snapshot.
    #[display("the log is full")]
    LogFull,
    /// An earlier change of voters is not committed yet.
    #[display("an earlier change of voters is not agreed yet")]
    ChangePending,
    /// The change would alter nothing.
    #[display("the change would alter nothing")]
    NothingToChange,
    /// The node to be added has not recently asked to join.
    #[display("the node has not asked to be taken in")]
    NotJoining,
    /// The new voters would cover no majority of the electorate, or there would be none or too many of them.
    #[display("the voters left could not decide")]
    InvalidVoters,
}
