//! Log compaction, and snapshots for followers whose missing entries are already compacted.

use quillhatch_types::{NodeId, Timestamp};

use crate::group::Group;
use crate::io::GroupOutput;
use crate::log::ReplicatedLog;
use crate::member::{GroupMember, IncomingSnapshot, OutgoingSnapshot};
use crate::message::{GroupMessage, SnapshotChunk, SnapshotReply};
use crate::settings::MAX_BATCH_BYTES;

impl Group {
    /// Requests a snapshot from the host when the log has reached its limit and no earlier request is open.
    pub(crate) fn request_snapshot(&mut self, outputs: &mut Vec<GroupOutput>) {
        let (entries, bytes) = (self.settings.log_entries, self.settings.log_bytes);
        let Some(member) = &mut self.member else {
            return;
        };
        let over = member.log.len() >= entries || member.log.bytes() >= bytes;
        let index = member.last_applied;
        let asked = member.snapshot_requested.is_some_and(|wanted| wanted > member.log.base_index());
        if over && !asked && index > member.log.base_index() {
            member.snapshot_requested = Some(index);
            outputs.push(GroupOutput::NeedSnapshot { index });
        }
    }

    /// Compacts the log with the host's snapshot; ignores an index that is already compacted or not yet applied.
    pub(crate) fn on_host_snapshot(&mut self, index: u64, bytes: Vec<u8>) {
        let limit = self.settings.snapshot_bytes;
        let Some(member) = &mut self.member else {
            return;
        };
        let usable = index <= member.last_applied && index > member.log.base_index();
        if usable && bytes.len() <= limit {
            member.log.compact(index, bytes);
        }
    }

    pub(crate) fn send_snapshot_chunk(&mut self, now: Timestamp, peer: NodeId, outputs: &mut Vec<GroupOutput>) {
        let Some(member) = &mut self.member else {
            return;
        };
        let index = member.log.base_index();
        let snapshot = member.log.snapshot();
        let progress = member.leadership().and_then(|leadership| leadership.progress.get(&peer));
        let current = progress.and_then(|progress| progress.snapshot).filter(|outgoing| outgoing.index == index);
        let outgoing = current.unwrap_or(OutgoingSnapshot { index, offset: 0 });
        let start = (outgoing.offset as usize).min(snapshot.len());
        let end = (start + MAX_BATCH_BYTES).min(snapshot.len());
        let chunk = SnapshotChunk {
            record: member.record,
            term: member.term,
            sent: now.0,
            index,
            index_term: member.log.base_term(),
            voters: member.log.base_voters(),
            offset: start as u64,
            total: snapshot.len() as u64,
            bytes: snapshot[start..end].to_vec(),
        };
        self.send(peer, GroupMessage::SnapshotChunk(chunk), outputs);
        if let Some(progress) = self.progress_mut(peer) {
            progress.snapshot = Some(outgoing);
        }
    }

    pub(crate) fn on_snapshot_chunk(
        &mut self,
        now: Timestamp,
        from: NodeId,
        chunk: SnapshotChunk,
        outputs: &mut Vec<GroupOutput>,
    ) {
        let accepted = self.accept_leader(now, from, chunk.term, outputs);
        let limit = self.settings.snapshot_bytes as u64;
        let Some(member) = &mut self.member else {
            return;
        };
        // A term has only one leader, so another sender gets no reply. A leader of an older term gets the newer term.
        if !accepted && chunk.term >= member.term {
            return;
        }
        let mut received = 0;
        if accepted && chunk.total <= limit {
            received = append_chunk(member, &chunk, outputs);
        }
        let reply = SnapshotReply {
            identity: member.record.identity,
            term: member.term,
            sent: chunk.sent,
            index: chunk.index,
            received,
        };
        self.send(from, GroupMessage::SnapshotReply(reply), outputs);
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        now: Timestamp,
        from: NodeId,
        reply: SnapshotReply,
        outputs: &mut Vec<GroupOutput>,
    ) {
        if !self.accept_answer(now, from, reply.term, reply.sent, outputs) {
            return;
        }
        let Some(member) = &self.member else {
            return;
        };
        let total = member.log.snapshot().len() as u64;
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        let Some(outgoing) = progress.snapshot.filter(|outgoing| outgoing.index == reply.index) else {
            return;
        };
        if reply.received >= total {
            progress.snapshot = None;
            progress.match_index = progress.match_index.max(reply.index);
            progress.next_index = progress.match_index + 1;
        } else if reply.received > outgoing.offset || reply.received == 0 {
            progress.snapshot = Some(OutgoingSnapshot { index: reply.index, offset: reply.received });
        } else {
            // A reply to a duplicate chunk; the next heartbeat continues the transfer.
            return;
        }
        self.replicate_to(now, from, outputs);
    }
}

/// Appends the next chunk and installs the snapshot once it is complete; returns the number of bytes received.
fn append_chunk(member: &mut GroupMember, chunk: &SnapshotChunk, outputs: &mut Vec<GroupOutput>) -> u64 {
    if chunk.index <= member.commit {
        return chunk.total;
    }
    // Two leaders may encode the same state differently, so chunks of both must never be combined.
    let same = member.incoming.as_ref().is_some_and(|incoming| {
        incoming.index == chunk.index && incoming.leader_term == chunk.term && incoming.total == chunk.total
    });
    if !same {
        member.incoming = Some(IncomingSnapshot {
            index: chunk.index,
            leader_term: chunk.term,
            total: chunk.total,
            bytes: Vec::new(),
        });
    }
    let Some(incoming) = &mut member.incoming else {
        return 0;
    };
    if chunk.offset == incoming.bytes.len() as u64 {
        incoming.bytes.extend_from_slice(&chunk.bytes);
    }
    let held = incoming.bytes.len() as u64;
    if held < chunk.total {
        return held;
    }
    let bytes = std::mem::take(&mut incoming.bytes);
    member.incoming = None;
    install(member, chunk, bytes, outputs);
    chunk.total
}

fn install(member: &mut GroupMember, chunk: &SnapshotChunk, bytes: Vec<u8>, outputs: &mut Vec<GroupOutput>) {
    let fits = member.log.term_at(chunk.index) == Some(chunk.index_term);
    if fits {
        member.log.compact(chunk.index, bytes.clone());
    } else {
        member.log = ReplicatedLog::from_snapshot(chunk.index, chunk.index_term, chunk.voters.clone(), bytes.clone());
    }
    member.commit = chunk.index;
    member.last_applied = chunk.index;
    outputs.push(GroupOutput::InstallSnapshot { index: chunk.index, bytes });
    outputs.push(GroupOutput::VotersChanged { voters: chunk.voters.clone() });
}
