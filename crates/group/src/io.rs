//! What the host hands to a group and what the group asks of its host.

use derive_more::{Display, Error};
use quillhatch_types::{Epoch, Formation, Generation, NodeAddress, NodeId, Timestamp};

use crate::message::GroupMessage;
use crate::voters::VoterSet;

/// The part that a node plays in its group.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Role {
    /// Without state: no vote, nothing replicated.
    Outsider,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// From which nodes a group may be formed, and what the host remembers of earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FormRequirements {
    /// The configured addresses; a majority of them must take part. Best three or five.
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
    /// Time has passed.
    Tick,
    /// A message arrived that was meant for this run of the node or for any run at its address.
    Message {
        /// The authenticated sender.
        from: NodeId,
        /// What it says.
        message: GroupMessage,
    },
    /// Agree on a command.
    Propose {
        /// Given back with the result.
        ticket: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Take a voter in, out, or both in one change.
    ChangeVoters {
        /// Given back with the result.
        ticket: u64,
        /// The node to take in; an older run at its address is taken out along with it.
        add: Option<NodeId>,
        /// The node to take out.
        remove: Option<NodeId>,
    },
    /// The host's state after the command at `index`, so that the log before it can go.
    Snapshot {
        /// Up to and with this index.
        index: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// From which nodes a group may be formed. May be given again when the configuration changes.
    Form(FormRequirements),
    /// The node will stop: hand leadership on and campaign no more.
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
    /// A command is agreed; handed out once, in the order of the log.
    Committed {
        /// Its place in the log.
        index: u64,
        /// The term that it was proposed in.
        term: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// A proposal or change was taken into the log or refused. Being in the log is not being agreed.
    Proposed {
        /// Of the proposal.
        ticket: u64,
        /// What became of it.
        result: ProposalResult,
    },
    /// Role, term or leader are others than before.
    RoleChanged {
        /// The role now.
        role: Role,
        /// The term now.
        term: u64,
        /// The leader now, if known.
        leader: Option<NodeId>,
    },
    /// Replace the state by a snapshot of it.
    InstallSnapshot {
        /// Up to and with this index.
        index: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// The log has grown past its bound: hand in a snapshot at this index or later.
    NeedSnapshot {
        /// Up to where everything is committed.
        index: u64,
    },
    /// The node is a member of a group now; its log starts anew.
    Formed {
        /// The generation of the group.
        generation: Generation,
        /// Whether an earlier group's agreements may have been lost.
        claims_lost: bool,
        /// The highest epoch that anyone asked during the forming remembered.
        epoch: Epoch,
    },
    /// The voters that are agreed from now on.
    VotersChanged {
        /// The set.
        voters: VoterSet,
    },
    /// To the leader: a node without state asks to be taken in; it was alive after the last change of voters.
    JoinRequested {
        /// The node.
        node: NodeId,
    },
    /// The node left its group, by removal or for a newer group, and is without state.
    Removed,
    /// The leader may act alone until then; a follower will help no other leader until then.
    LeaseGranted {
        /// On this node's clock.
        until: Timestamp,
    },
}

/// What became of a proposal or of a change of voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalResult {
    /// It is in the leader's log; it is agreed when it is handed out with the same index and term.
    Accepted {
        /// Its place in the log.
        index: u64,
        /// The leader's term.
        term: u64,
    },
    /// It is not in the log and never will be.
    Refused(ProposalRefusal),
}

/// Why a proposal or a change of voters was refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum ProposalRefusal {
    /// Another node leads, or none.
    #[display("this node does not lead the group")]
    NotLeader {
        /// The leader, if known.
        leader: Option<NodeId>,
    },
    /// The leader is handing leadership on.
    #[display("the leader is handing leadership on")]
    HandingOver,
    /// The command is above the size limit.
    #[display("the command is too large")]
    CommandTooLarge,
    /// The log is full until the host has handed in a snapshot.
    #[display("the log is full")]
    LogFull,
    /// An earlier change of voters is not agreed yet.
    #[display("an earlier change of voters is not agreed yet")]
    ChangePending,
    /// The change would alter nothing.
    #[display("the change would alter nothing")]
    NothingToChange,
    /// The node to be added has not asked to be taken in lately.
    #[display("the node has not asked to be taken in")]
    NotAsking,
    /// The voters left would not be a majority of the electorate, or there would be too many.
    #[display("the voters left could not decide")]
    CannotDecide,
}
