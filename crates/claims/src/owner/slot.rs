//! The state of one slot at a node.

use quillhatch_types::{Epoch, Timestamp};

use super::paging::Paging;

/// Why claims are collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Purpose {
    /// To own the slot.
    Takeover,
    /// To hand it to another site.
    Export,
}

/// What is being done with the slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// Claims are collected from the voters.
    Collecting { purpose: Purpose, paging: Paging },
    /// The collected claims are recorded under the new epoch.
    Recording { paging: Paging },
    /// Claims are granted; `settling` records the claims held on new voters.
    Open { settling: Option<Paging> },
    /// All claims are collected, to be handed to another site.
    Exported,
    /// Claims of another site are recorded here.
    Importing { paging: Paging },
    /// Claims of another site are recorded here; no owner is named yet.
    Imported,
    /// Another owner holds the voters' promise.
    Fenced,
}

/// One slot at a node that owns it, opens it, or helps to move it.
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
