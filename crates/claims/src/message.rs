//! Messages between the owners and voters of one service.

use derive_more::Display;
use quillhatch_types::{Epoch, RequestKey, ServiceName, SlotId};

use crate::claim::{ClaimEntry, ClaimOrigin};

/// The maximum total size of the claims in one message, which leaves headroom in a frame of 64 KiB.
pub const MAX_PAGE_BYTES: usize = 56 * 1024;

/// The maximum number of claims in one message.
pub const MAX_PAGE_CLAIMS: usize = 512;

/// The maximum size of a recorded answer, in bytes: one claim with its answer must fit into a page.
pub const MAX_ANSWER_BYTES: usize = 48 * 1024;

/// The maximum size of an encoded claim without its key and its answer.
const MAX_ENTRY_OVERHEAD_BYTES: usize = 96;

/// The component of a node that a message is addressed to.
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
    /// The epoch of the slot's assignment under which the owner acts; replies echo it.
    pub epoch: Epoch,
    /// The request, reply or notification.
    pub body: ClaimBody,
}

/// The kinds of messages.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimBody {
    /// From an owner to a voter: store these claims.
    #[display("record {id}")]
    Record {
        /// Identifies the record; the reply echoes it.
        id: RecordId,
        /// The claims.
        claims: Vec<ClaimEntry>,
    },
    /// A voter's reply to [`ClaimBody::Record`].
    #[display("{verdict} {id}")]
    RecordReply {
        /// The record that this replies to.
        id: RecordId,
        /// Whether the voter stored the claims.
        verdict: Verdict,
    },
    /// From a new owner or an exporter to a voter: promise the epoch, and return the slot's claims.
    #[display("collect")]
    Collect {
        /// Whether to seal the slot because it moves to another site: no owner at or below the epoch can add claims
        /// then.
        export: bool,
        /// Return only claims with a greater key.
        after: Option<RequestKey>,
    },
    /// A voter's reply to [`ClaimBody::Collect`].
    #[display("collected {verdict} {} claims", claims.len())]
    CollectReply {
        /// The cursor of the request.
        after: Option<RequestKey>,
        /// Whether the voter promised the epoch.
        verdict: Verdict,
        /// The claims in ascending order of their keys.
        claims: Vec<ClaimEntry>,
        /// Whether the slot has claims after the last one in this page.
        more: bool,
    },
    /// From the owner that granted a claim and has since lost the slot, to the current owner: how the call ended.
    #[display("settled {}", _0.origin)]
    Settled(ClaimEntry),
}

/// Whether a record creates a claim or reports its outcome.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKind {
    /// Creates a claim.
    #[display("new")]
    New,
    /// Reports that a claim was finished or released.
    #[display("settle")]
    Settle,
}

/// Identifies one record, so that a late or duplicate reply is not counted for another one.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordId {
    /// A single claim.
    #[display("{kind} {origin}")]
    Claim {
        /// Whether the claim is created or settled.
        kind: RecordKind,
        /// The grant that identifies the claim.
        origin: ClaimOrigin,
    },
    /// A page of claims, when all claims of a slot are recorded.
    #[display("page {number} of round {round}")]
    Page {
        /// The epoch of the table under which the transfer started; zero for an import.
        round: Epoch,
        /// The zero-based number of the page.
        number: u32,
        /// The last key of the page, if it has any claims.
        through: Option<RequestKey>,
    },
}

/// A voter's decision on a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// The request was carried out.
    #[display("accepted")]
    Accepted,
    /// The voter promised the slot to another owner, or sealed it, under this epoch.
    #[display("fenced by {promised}")]
    Fenced {
        /// The promised epoch.
        promised: Epoch,
    },
    /// The voter's store is full.
    #[display("full")]
    Full,
}

impl ClaimMessage {
    /// The component of the receiving node that handles the message.
    pub fn role(&self) -> ClaimRole {
        match self.body {
            ClaimBody::Record { .. } | ClaimBody::Collect { .. } => ClaimRole::Voter,
            ClaimBody::RecordReply { .. } | ClaimBody::CollectReply { .. } | ClaimBody::Settled(_) => ClaimRole::Owner,
        }
    }
}

/// An upper bound on the encoded size of a claim, in bytes.
pub fn entry_size(entry: &ClaimEntry) -> usize {
    let answer = match &entry.status {
        crate::ClaimStatus::Finished(Some(answer)) => {
            crate::claim::recorded_size(answer) + answer.headers.len() * MAX_HEADER_OVERHEAD_BYTES
        }
        _ => 0,
    };
    entry.key.as_str().len() + answer + MAX_ENTRY_OVERHEAD_BYTES
}

/// The maximum size that the encoding adds to a header field, in bytes.
const MAX_HEADER_OVERHEAD_BYTES: usize = 16;

/// Splits claims into pages that each fit into a message, to transfer them between sites.
pub fn pages_of(claims: Vec<ClaimEntry>) -> Vec<Vec<ClaimEntry>> {
    let mut pages: Vec<Vec<ClaimEntry>> = Vec::new();
    let mut bytes = 0;
    for entry in claims {
        let size = entry_size(&entry);
        let fits = pages.last().is_some_and(|page| bytes + size <= MAX_PAGE_BYTES && page.len() < MAX_PAGE_CLAIMS);
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
