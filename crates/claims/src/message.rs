//! What owners and voters of one service say to each other.

use derive_more::Display;
use quillhatch_types::{Epoch, RequestKey, ServiceName, SlotId};

use crate::claim::{ClaimEntry, ClaimOrigin};

/// The bytes of claims that one message carries, so that it fits well into a frame of 64 KiB.
pub const PAGE_BYTES: usize = 56 * 1024;

/// The number of claims that one message carries.
pub const PAGE_CLAIMS: usize = 512;

/// The largest recorded answer, in bytes: one claim with its answer must fit into a page.
pub const MAXIMUM_ANSWER_BYTES: usize = 48 * 1024;

/// The bytes of an encoded claim beside its key and its answer, at most.
const ENTRY_OVERHEAD_BYTES: usize = 96;

/// The part of a node that a message is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRole {
    /// The slot's owner.
    Owner,
    /// A voter of the service.
    Voter,
}

/// One message between an owner and a voter, or between two owners.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{body} slot {slot} epoch {epoch}")]
pub struct ClaimMessage {
    /// The service.
    pub service: ServiceName,
    /// The slot.
    pub slot: SlotId,
    /// The epoch of the slot's assignment under which the owner acts; replies repeat it.
    pub epoch: Epoch,
    /// What is said.
    pub body: ClaimBody,
}

/// The kinds of messages.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimBody {
    /// From an owner to a voter: keep these claims.
    #[display("record {id}")]
    Record {
        /// What is recorded; the reply repeats it.
        id: RecordId,
        /// The claims.
        claims: Vec<ClaimEntry>,
    },
    /// A voter's answer to [`ClaimBody::Record`].
    #[display("{verdict} {id}")]
    RecordReply {
        /// The record that is answered.
        id: RecordId,
        /// Whether the voter keeps the claims.
        verdict: Verdict,
    },
    /// From a new owner to a voter: promise the epoch, and tell the slot's claims.
    #[display("collect")]
    Collect {
        /// Seal the slot for every owner below the epoch without naming a new one: the slot leaves the site.
        export: bool,
        /// Only claims with a greater key are wanted.
        after: Option<RequestKey>,
    },
    /// A voter's answer to [`ClaimBody::Collect`].
    #[display("collected {verdict} {} claims", claims.len())]
    CollectReply {
        /// The cursor of the request.
        after: Option<RequestKey>,
        /// Whether the voter promised the epoch.
        verdict: Verdict,
        /// The claims, in the order of their keys.
        claims: Vec<ClaimEntry>,
        /// Whether claims remain after the last one here.
        more: bool,
    },
    /// From the owner that granted a claim, and lost its slot since, to the present owner: how the call ended.
    #[display("settled {}", _0.origin)]
    Settled(ClaimEntry),
}

/// Names one record, so that a late or repeated reply counts for nothing else.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKind {
    /// A new claim.
    #[display("new")]
    New,
    /// The end of a claim.
    #[display("settle")]
    Settle,
}

/// Which record a request or a reply speaks of.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordId {
    /// One claim of the sender.
    #[display("{kind} {origin}")]
    Claim {
        /// Whether it begins or ends.
        kind: RecordKind,
        /// Which claim.
        origin: ClaimOrigin,
    },
    /// A page of a transfer of all claims of a slot.
    #[display("page {number} of round {round}")]
    Page {
        /// The epoch of the table under which the transfer was started.
        round: Epoch,
        /// The number of the page, counted from zero.
        number: u32,
        /// The last key of the page.
        through: Option<RequestKey>,
    },
}

/// What a voter decided.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// Done.
    #[display("accepted")]
    Accepted,
    /// Another owner holds the voter's promise for the slot, under the epoch given.
    #[display("fenced by {promised}")]
    Fenced {
        /// The epoch promised.
        promised: Epoch,
    },
    /// The voter's store is full.
    #[display("full")]
    Full,
}

impl ClaimMessage {
    /// Which part of the receiving node the message is for.
    pub fn role(&self) -> ClaimRole {
        match self.body {
            ClaimBody::Record { .. } | ClaimBody::Collect { .. } => ClaimRole::Voter,
            ClaimBody::RecordReply { .. } | ClaimBody::CollectReply { .. } | ClaimBody::Settled(_) => ClaimRole::Owner,
        }
    }
}

/// An upper bound of a claim's encoded size in bytes.
pub fn entry_size(entry: &ClaimEntry) -> usize {
    let answer = match &entry.status {
        crate::ClaimStatus::Finished(Some(answer)) => {
            crate::claim::recorded_size(answer) + answer.headers.len() * HEADER_OVERHEAD_BYTES
        }
        _ => 0,
    };
    entry.key.as_str().len() + answer + ENTRY_OVERHEAD_BYTES
}

/// The bytes that the encoding adds to a header field, at most.
const HEADER_OVERHEAD_BYTES: usize = 16;

/// Splits claims into pages that each fit into a message, for handing them from site to site.
pub fn pages_of(claims: Vec<ClaimEntry>) -> Vec<Vec<ClaimEntry>> {
    let mut pages: Vec<Vec<ClaimEntry>> = Vec::new();
    let mut bytes = 0;
    for entry in claims {
        let size = entry_size(&entry);
        let fits = pages.last().is_some_and(|page| bytes + size <= PAGE_BYTES && page.len() < PAGE_CLAIMS);
        if fits {
            bytes += size;
            if let Some(page) = pages.last_mut() {
                page.push(entry);
            }
        } else {
            bytes = size;
            pages.push(vec![entry]);
        }
    }
    pages
}
