//! Encoding and checked decoding of group messages.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::{Display, Error};
use quillhatch_messages::generated::group as generated;
use quillhatch_messages::generated::group::mod_GroupMessage::OneOfbody as Body;
use quillhatch_messages::wire;
use quillhatch_types::{Epoch, Generation, Incarnation, NodeAddress, NodeId};

use crate::log::{Entry, Payload};
use crate::message::{
    Answer, Append, AppendReply, FormReply, FormRequest, FormationRecord, GroupIdentity, GroupMessage, GroupView,
    SnapshotChunk, SnapshotReply, VoteReply, VoteRequest,
};
use crate::settings::{MAX_BATCH_BYTES, MAX_VOTERS};
use crate::voters::VoterSet;

/// Maximum number of entries in one append. Each counts at least 64 bytes, so more would exceed `MAX_BATCH_BYTES`.
const MAX_ENTRIES: usize = 1_024;

/// Why bytes cannot be decoded as a group message.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum GroupDecodeError {
    /// The bytes do not follow the schema.
    #[display("the bytes do not follow the schema")]
    Malformed,
    /// The message has no body, or one that only a later release knows.
    #[display("the message has no known body")]
    UnknownBody,
    /// A field that must be present is absent.
    #[display("the field {field} is absent")]
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// An address is not an IP address with a port.
    #[display("an address is not an IP address with a port")]
    BadAddress,
    /// A list or a byte string exceeds its limit.
    #[display("the field {field} is too large")]
    TooLarge {
        /// Name of the field.
        field: &'static str,
    },
}

type Decoded<T> = Result<T, GroupDecodeError>;

impl GroupMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(&generated::GroupMessage { body: body_of(self) })
    }

    /// Decodes and checks a message.
    ///
    /// # Errors
    ///
    /// Returns the first error found; no part of such a message may be used.
    pub fn decode(bytes: &[u8]) -> Result<Self, GroupDecodeError> {
        let message: generated::GroupMessage = wire::decode(bytes).map_err(|_| GroupDecodeError::Malformed)?;
        message_from(message.body)
    }
}

fn body_of(message: &GroupMessage) -> Body {
    match message {
        GroupMessage::Inquiry { round } => Body::inquiry(generated::Inquiry { round: *round }),
        GroupMessage::Answer(answer) => Body::answer(generated::Answer {
            round: answer.round,
            free: answer.free,
            blank: answer.blank,
            generation: answer.generation.0,
            epoch: answer.epoch.0,
            view: answer.view.as_ref().map(write_view),
        }),
        GroupMessage::FormRequest(request) => Body::form_request(generated::FormRequest {
            formation: Some(write_record(request.record)),
            voters: Some(write_voters(&request.voters)),
        }),
        GroupMessage::FormReply(reply) => Body::form_reply(generated::FormReply {
            identity: Some(write_identity(reply.identity)),
            granted: reply.granted,
            generation: reply.generation.0,
        }),
        GroupMessage::VoteRequest(request) => Body::vote_request(generated::VoteRequest {
            identity: Some(write_identity(request.identity)),
            term: request.term,
            last_index: request.last_index,
            last_term: request.last_term,
            pre_vote: request.pre_vote,
            transfer: request.transfer,
        }),
        GroupMessage::VoteReply(reply) => Body::vote_reply(generated::VoteReply {
            identity: Some(write_identity(reply.identity)),
            term: reply.term,
            granted: reply.granted,
            pre_vote: reply.pre_vote,
        }),
        GroupMessage::Append(append) => Body::append(write_append(append)),
        GroupMessage::AppendReply(reply) => Body::append_reply(generated::AppendReply {
            identity: Some(write_identity(reply.identity)),
            term: reply.term,
            sent: reply.sent,
            success: reply.success,
            index: reply.index,
        }),
        GroupMessage::SnapshotChunk(chunk) => Body::snapshot_chunk(write_chunk(chunk)),
        GroupMessage::SnapshotReply(reply) => Body::snapshot_reply(generated::SnapshotReply {
            identity: Some(write_identity(reply.identity)),
            term: reply.term,
            sent: reply.sent,
            index: reply.index,
            received: reply.received,
        }),
        GroupMessage::ElectNow { identity, term } => {
            Body::elect_now(generated::ElectNow { identity: Some(write_identity(*identity)), term: *term })
        }
    }
}

fn message_from(body: Body) -> Decoded<GroupMessage> {
    Ok(match body {
        Body::None => return Err(GroupDecodeError::UnknownBody),
        Body::inquiry(inquiry) => GroupMessage::Inquiry { round: inquiry.round },
        Body::answer(answer) => GroupMessage::Answer(Answer {
            round: answer.round,
            free: answer.free,
            blank: answer.blank,
            generation: Generation(answer.generation),
            epoch: Epoch(answer.epoch),
            view: answer.view.map(read_view).transpose()?,
        }),
        Body::form_request(request) => GroupMessage::FormRequest(FormRequest {
            record: read_record(request.formation)?,
            voters: read_voters(request.voters)?,
        }),
        Body::form_reply(reply) => GroupMessage::FormReply(FormReply {
            identity: read_identity(reply.identity)?,
            granted: reply.granted,
            generation: Generation(reply.generation),
        }),
        Body::vote_request(request) => GroupMessage::VoteRequest(VoteRequest {
            identity: read_identity(request.identity)?,
            term: request.term,
            last_index: request.last_index,
            last_term: request.last_term,
            pre_vote: request.pre_vote,
            transfer: request.transfer,
        }),
        Body::vote_reply(reply) => GroupMessage::VoteReply(VoteReply {
            identity: read_identity(reply.identity)?,
            term: reply.term,
            granted: reply.granted,
            pre_vote: reply.pre_vote,
        }),
        Body::append(append) => GroupMessage::Append(read_append(append)?),
        Body::append_reply(reply) => GroupMessage::AppendReply(AppendReply {
            identity: read_identity(reply.identity)?,
            term: reply.term,
            sent: reply.sent,
            success: reply.success,
            index: reply.index,
        }),
        Body::snapshot_chunk(chunk) => GroupMessage::SnapshotChunk(read_chunk(chunk)?),
        Body::snapshot_reply(reply) => GroupMessage::SnapshotReply(SnapshotReply {
            identity: read_identity(reply.identity)?,
            term: reply.term,
            sent: reply.sent,
            index: reply.index,
            received: reply.received,
        }),
        Body::elect_now(elect) => GroupMessage::ElectNow { identity: read_identity(elect.identity)?, term: elect.term },
    })
}

fn write_node(node: NodeId) -> generated::Member {
    generated::Member { address: node.address.to_string(), incarnation: node.incarnation.0 }
}

fn read_node(node: generated::Member) -> Decoded<NodeId> {
    let address = read_address(&node.address)?;
    Ok(NodeId { address, incarnation: Incarnation(node.incarnation) })
}

fn read_address(text: &str) -> Decoded<NodeAddress> {
    let address: SocketAddr = text.parse().map_err(|_| GroupDecodeError::BadAddress)?;
    Ok(NodeAddress(address))
}

fn write_identity(identity: GroupIdentity) -> generated::Identity {
    generated::Identity { generation: identity.generation.0, founder: Some(write_node(identity.founder)) }
}

fn read_identity(identity: Option<generated::Identity>) -> Decoded<GroupIdentity> {
    let identity = identity.ok_or(GroupDecodeError::Missing { field: "identity" })?;
    let founder = identity.founder.ok_or(GroupDecodeError::Missing { field: "founder" })?;
    Ok(GroupIdentity { generation: Generation(identity.generation), founder: read_node(founder)? })
}

fn write_record(record: FormationRecord) -> generated::Formation {
    generated::Formation {
        identity: Some(write_identity(record.identity)),
        claims_lost: record.claims_lost,
        epoch: record.epoch.0,
    }
}

fn read_record(record: Option<generated::Formation>) -> Decoded<FormationRecord> {
    let record = record.ok_or(GroupDecodeError::Missing { field: "formation" })?;
    let identity = read_identity(record.identity)?;
    Ok(FormationRecord { identity, claims_lost: record.claims_lost, epoch: Epoch(record.epoch) })
}

fn write_voters(set: &VoterSet) -> generated::Voters {
    generated::Voters {
        voters: set.voters.iter().copied().map(write_node).collect(),
        electorate: set.electorate.iter().map(ToString::to_string).collect(),
    }
}

fn read_voters(set: Option<generated::Voters>) -> Decoded<VoterSet> {
    let set = set.ok_or(GroupDecodeError::Missing { field: "voters" })?;
    if set.voters.len() > MAX_VOTERS || set.electorate.len() > MAX_VOTERS {
        return Err(GroupDecodeError::TooLarge { field: "voters" });
    }
    let voters: Decoded<BTreeSet<NodeId>> = set.voters.into_iter().map(read_node).collect();
    let electorate: Decoded<BTreeSet<NodeAddress>> = set.electorate.iter().map(|text| read_address(text)).collect();
    Ok(VoterSet { voters: voters?, electorate: electorate? })
}

fn write_view(view: &GroupView) -> generated::View {
    generated::View {
        identity: Some(write_identity(view.identity)),
        term: view.term,
        leader: view.leader.map(write_node),
        voters: Some(write_voters(&view.voters)),
        commit_index: view.commit_index,
    }
}

fn read_view(view: generated::View) -> Decoded<GroupView> {
    Ok(GroupView {
        identity: read_identity(view.identity)?,
        term: view.term,
        leader: view.leader.map(read_node).transpose()?,
        voters: read_voters(view.voters)?,
        commit_index: view.commit_index,
    })
}

fn write_append(append: &Append) -> generated::Append {
    generated::Append {
        formation: Some(write_record(append.record)),
        term: append.term,
        sent: append.sent,
        previous_index: append.previous_index,
        previous_term: append.previous_term,
        commit_index: append.commit_index,
        entries: append.entries.iter().map(write_entry).collect(),
    }
}

fn read_append(append: generated::Append) -> Decoded<Append> {
    if append.entries.len() > MAX_ENTRIES {
        return Err(GroupDecodeError::TooLarge { field: "entries" });
    }
    let entries: Decoded<Vec<Entry>> = append.entries.into_iter().map(read_entry).collect();
    Ok(Append {
        record: read_record(append.formation)?,
        term: append.term,
        sent: append.sent,
        previous_index: append.previous_index,
        previous_term: append.previous_term,
        commit_index: append.commit_index,
        entries: entries?,
    })
}

fn write_entry(entry: &Entry) -> generated::Entry {
    let mut written = generated::Entry { term: entry.term, ..generated::Entry::default() };
    match &entry.payload {
        Payload::Opening => {}
        Payload::Command(command) => {
            written.is_command = true;
            written.command.clone_from(command);
        }
        Payload::Voters(set) => written.voters = Some(write_voters(set)),
    }
    written
}

fn read_entry(entry: generated::Entry) -> Decoded<Entry> {
    if entry.command.len() > MAX_BATCH_BYTES {
        return Err(GroupDecodeError::TooLarge { field: "command" });
    }
    let payload = match (entry.is_command, entry.voters) {
        (true, _) => Payload::Command(entry.command),
        (false, Some(set)) => Payload::Voters(read_voters(Some(set))?),
        (false, None) => Payload::Opening,
    };
    Ok(Entry { term: entry.term, payload })
}

fn write_chunk(chunk: &SnapshotChunk) -> generated::SnapshotChunk {
    generated::SnapshotChunk {
        formation: Some(write_record(chunk.record)),
        term: chunk.term,
        sent: chunk.sent,
        index: chunk.index,
        index_term: chunk.index_term,
        voters: Some(write_voters(&chunk.voters)),
        offset: chunk.offset,
        total: chunk.total,
        bytes: chunk.bytes.clone(),
    }
}

fn read_chunk(chunk: generated::SnapshotChunk) -> Decoded<SnapshotChunk> {
    if chunk.bytes.len() > MAX_BATCH_BYTES {
        return Err(GroupDecodeError::TooLarge { field: "bytes" });
    }
    Ok(SnapshotChunk {
        record: read_record(chunk.formation)?,
        term: chunk.term,
        sent: chunk.sent,
        index: chunk.index,
        index_term: chunk.index_term,
        voters: read_voters(chunk.voters)?,
        offset: chunk.offset,
        total: chunk.total,
        bytes: chunk.bytes,
    })
}
