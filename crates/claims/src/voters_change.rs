//! Tells when the voters before a change may be dropped from the table.

use std::collections::BTreeMap;

use quillhatch_types::{Epoch, NodeId, ServiceTable, SlotState};

/// Whether no claim depends on `table.previous_voters` any more.
///
/// `changed_at` is the epoch of the table with which the voters changed, and `settled` the highest epoch of
/// [`OwnerOutput::VotersSettled`](crate::OwnerOutput::VotersSettled) by owner. Every slot must be owned by a node that
/// settled after the change and after it got the slot, or be at another site. A vacant or sealed slot has claims that
/// nobody records anew, so the previous voters must stay until it is owned or gone.
pub fn can_drop_previous_voters(table: &ServiceTable, changed_at: Epoch, settled: &BTreeMap<NodeId, Epoch>) -> bool {
    table.slots.iter().all(|assignment| match assignment.state {
        SlotState::Owned { owner } => {
            let needed = changed_at.max(assignment.epoch);
            settled.get(&owner).is_some_and(|epoch| *epoch >= needed)
        }
        SlotState::Elsewhere { .. } => true,
        SlotState::Sealed { .. } | SlotState::Vacant => false,
    })
}
