//! Assigns slots to gates: balances the slot counts with as few moves as possible.

use std::collections::BTreeMap;

use quillhatch_types::{Epoch, NodeId, SlotId, SlotState};

use crate::state::ServiceState;

impl ServiceState {
    /// Assigns every slot of this site to a serving gate, balances the slot counts and advances the epoch if an
    /// assignment changed.
    ///
    /// Slots in transfer between sites are not touched.
    pub(crate) fn rebalance(&mut self) {
        let changes = self.assignment_changes();
        if changes.is_empty() {
            return;
        }
        let epoch = self.advance_epoch();
        for (slot, state) in changes {
            let record = &mut self.slots[usize::from(slot.0)];
            record.state = state;
            record.epoch = epoch;
        }
    }

    /// Advances to the next epoch and returns it.
    pub(crate) fn advance_epoch(&mut self) -> Epoch {
        self.epoch = self.epoch.next();
        self.epoch
    }

    fn assignment_changes(&self) -> BTreeMap<SlotId, SlotState> {
        let mut owned = self.slots_by_serving_gate();
        let mut changes = BTreeMap::new();
        for slot in self.slots_without_serving_owner() {
            let state = match gate_with_fewest_slots(&owned) {
                Some(owner) => {
                    owned.entry(owner).or_default().push(slot);
                    SlotState::Owned { owner }
                }
                None => SlotState::Vacant,
            };
            changes.insert(slot, state);
        }
        balance_slot_counts(&mut owned, &mut changes);
        changes.retain(|slot, state| self.slots[usize::from(slot.0)].state != *state);
        changes
    }

    fn slots_by_serving_gate(&self) -> BTreeMap<NodeId, Vec<SlotId>> {
        let mut owned: BTreeMap<NodeId, Vec<SlotId>> =
            self.serving_gates().map(|gate| (gate.node, Vec::new())).collect();
        for (slot, record) in self.numbered_slots() {
            if let SlotState::Owned { owner } = &record.state {
                if let Some(slots) = owned.get_mut(owner) {
                    slots.push(slot);
                }
            }
        }
        owned
    }

    fn slots_without_serving_owner(&self) -> Vec<SlotId> {
        let serving = |node: &NodeId| self.serving_gates().any(|gate| gate.node == *node);
        let needs_owner = |(slot, record): (SlotId, &crate::state::SlotRecord)| match &record.state {
            SlotState::Owned { owner } if !serving(owner) => Some(slot),
            SlotState::Vacant if record.pending_import().is_none() => Some(slot),
            _ => None,
        };
        self.numbered_slots().filter_map(needs_owner).collect()
    }
}

fn gate_with_fewest_slots(owned: &BTreeMap<NodeId, Vec<SlotId>>) -> Option<NodeId> {
    owned.iter().min_by_key(|(node, slots)| (slots.len(), **node)).map(|(node, _)| *node)
}

fn gate_with_most_slots(owned: &BTreeMap<NodeId, Vec<SlotId>>) -> Option<NodeId> {
    owned.iter().max_by_key(|(node, slots)| (slots.len(), **node)).map(|(node, _)| *node)
}

// Each iteration moves one slot from the gate with the most slots to the gate with the fewest, which minimizes the
// number of moves.
fn balance_slot_counts(owned: &mut BTreeMap<NodeId, Vec<SlotId>>, changes: &mut BTreeMap<SlotId, SlotState>) {
    while let (Some(fullest), Some(emptiest)) = (gate_with_most_slots(owned), gate_with_fewest_slots(owned)) {
        if owned[&fullest].len() <= owned[&emptiest].len() + 1 {
            return;
        }
        let Some(slot) = owned.get_mut(&fullest).and_then(Vec::pop) else {
            return;
        };
        owned.entry(emptiest).or_default().push(slot);
        changes.insert(slot, SlotState::Owned { owner: emptiest });
    }
}
