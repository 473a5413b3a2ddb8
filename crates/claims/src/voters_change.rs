//! Decides when the previous voters can be dropped from the table after a change of voters.

use std::collections::BTreeMap;

use quillhatch_types::{Epoch, NodeId, ServiceTable, SlotState};

/// Whether no claim depends on `table.previous_voters` any more.
///
/// `changed_at` is the epoch of the table that changed the voters, and `settled` is the highest epoch that each owner
/// reported in [`OwnerOutput::VotersSettled`](crate::OwnerOutput::VotersSettled). Every slot must be at another site or
/// be owned by a node that reported an epoch not below both that of the change and that of the slot's assignment. No
/// owner records the claims of a vacant or sealed slot on the new voters, so the previous voters must stay until the
/// slot is owned or has moved to another site.
pub fn can_drop_previous_voters(table: &ServiceTable, changed_at: Epoch, settled: &BTreeMap<NodeId, Epoch>) -> bool {
    table.slots.iter().all(|assignment| match assignment.state {
        SlotState::Owned { owner } => {
            let min_epoch = changed_at.max(assignment.epoch);
            settled.get(&owner).is_some_and(|epoch| *epoch >= min_epoch)
        }
        SlotState::Elsewhere { .. } => true,
        SlotState::Sealed { .. } | SlotState::Vacant => false,
    })
}
