//! The state of one slot at a node.

use quillhatch_types::{Epoch, Timestamp};

use super::paging::Paging;

/// Why claims are collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Purpose {
    /// This node takes over the slot.
    Takeover,
    /// The slot moves to another site.
    Export,
}

/// The current phase of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// Claims are collected from the voters.
    Collecting { purpose: Purpose, paging: Paging },
    /// The collected claims are recorded under the new epoch.
    Recording { paging: Paging },
    /// Claims are granted; `settling` tracks the recording of existing claims on new voters.
    Open { settling: Option<Paging> },
    /// All claims are collected, ready for the transfer to another site.
    Exported,
    /// The claims of another site are being recorded on this site's voters.
    Importing { paging: Paging },
    /// The claims of another site are recorded on a majority; no owner is assigned yet.
    Imported,
    /// A voter has promised the slot to another owner.
    Fenced,
}

/// A slot at a node that owns it, takes it over, or exports or imports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Slot {
    pub epoch: Epoch,
    pub phase: Phase,
}

impl Slot {
    pub fn paging(&self) -> Option<&Paging> {
        match &self.phase {
            Phase::Collecting { paging, .. } | Phase::Recording { paging } | Phase::Importing { paging } => {
                Some(paging)
            }
            Phase::Open { settling } => settling.as_ref(),
            Phase::Exported | Phase::Imported | Phase::Fenced => None,
        }
    }

    pub fn paging_mut(&mut self) -> Option<&mut Paging> {
        match &mut self.phase {
            Phase::Collecting { paging, .. } | Phase::Recording { paging } | Phase::Importing { paging } => {
                Some(paging)
            }
            Phase::Open { settling } => settling.as_mut(),
            Phase::Exported | Phase::Imported | Phase::Fenced => None,
        }
    }

    pub fn next_due(&self) -> Option<Timestamp> {
        self.paging().and_then(Paging::next_due)
    }

    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Open { .. })
    }
}
