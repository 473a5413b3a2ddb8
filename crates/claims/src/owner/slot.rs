//! The state of one slot at a node.

use quillhatch_types::{Epoch, Timestamp};

use super::paging::PagedTransfer;

/// Why claims are collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CollectPurpose {
    /// This node takes over the slot.
    Takeover,
    /// The slot moves to another site.
    Export,
}

/// The current phase of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum SlotPhase {
    /// Claims are collected from the voters.
    Collecting { purpose: CollectPurpose, transfer: PagedTransfer },
    /// The collected claims are recorded under the new epoch.
    Recording { transfer: PagedTransfer },
    /// Claims are granted; `settling` tracks the recording of existing claims on new voters.
    Open { settling: Option<PagedTransfer> },
    /// All claims are collected, ready for the transfer to another site.
    Exported,
    /// The claims of another site are being recorded on this site's voters.
    Importing { transfer: PagedTransfer },
    /// The claims of another site are recorded on a majority; no owner is assigned yet.
    Imported,
    /// A voter has promised the slot to another owner, or sealed it.
    Fenced,
}

/// A slot at a node that owns it, takes it over, or exports or imports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LocalSlot {
    pub epoch: Epoch,
    pub phase: SlotPhase,
}

impl LocalSlot {
    pub fn transfer(&self) -> Option<&PagedTransfer> {
        match &self.phase {
            SlotPhase::Collecting { transfer, .. }
            | SlotPhase::Recording { transfer }
            | SlotPhase::Importing { transfer } => Some(transfer),
            SlotPhase::Open { settling } => settling.as_ref(),
            SlotPhase::Exported | SlotPhase::Imported | SlotPhase::Fenced => None,
        }
    }

    pub fn transfer_mut(&mut self) -> Option<&mut PagedTransfer> {
        match &mut self.phase {
            SlotPhase::Collecting { transfer, .. }
            | SlotPhase::Recording { transfer }
            | SlotPhase::Importing { transfer } => Some(transfer),
            SlotPhase::Open { settling } => settling.as_mut(),
            SlotPhase::Exported | SlotPhase::Imported | SlotPhase::Fenced => None,
        }
    }

    pub fn next_due(&self) -> Option<Timestamp> {
        self.transfer().and_then(PagedTransfer::next_due)
    }

    pub fn is_open(&self) -> bool {
        matches!(self.phase, SlotPhase::Open { .. })
    }
}
