//! Which gate owns which slot: balanced, and with as few moves as that allows.

use std::collections::BTreeMap;

use quillhatch_types::{Epoch, NodeId, SlotId, SlotState};

use crate::state::ServiceState;

impl ServiceState {
    /// Gives every slot of this site to a serving gate and evens out the numbers; raises the epoch if anything changed.
    ///
    /// Slots on their way between sites are left alone.
    pub(crate) fn rebalance(&mut self) {
        let changes = self.wanted_changes();
        if changes.is_empty() {
            return;
        }
        let epoch = self.raise();
        for (slot, state) in changes {
            let record = &mut self.slots[usize::from(slot.0)];
            record.state = state;
            record.epoch = epoch;
        }
    }

    /// Moves on to the next epoch.
    pub(crate) fn raise(&mut self) -> Epoch {
        self.epoch = self.epoch.next();
        self.epoch
    }

    fn wanted_changes(&self) -> BTreeMap<SlotId, SlotState> {
        let mut owned = self.slots_by_serving_gate();
        let mut changes = BTreeMap::new();
        for slot in self.slots_without_serving_owner() {
            let state = match least_loaded(&owned) {
                Some(owner) => {
                    owned.entry(owner).or_default().push(slot);
                    SlotState::Owned { owner }
                }
                None => SlotState::Vacant,
            };
            changes.insert(slot, state);
        }
        even_out(&mut owned, &mut changes);
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

fn least_loaded(owned: &BTreeMap<NodeId, Vec<SlotId>>) -> Option<NodeId> {
    owned.iter().min_by_key(|(node, slots)| (slots.len(), **node)).map(|(node, _)| *node)
}

fn most_loaded(owned: &BTreeMap<NodeId, Vec<SlotId>>) -> Option<NodeId> {
    owned.iter().max_by_key(|(node, slots)| (slots.len(), **node)).map(|(node, _)| *node)
}

// Each round moves one slot from the fullest to the emptiest gate, so no slot moves that does not have to.
fn even_out(owned: &mut BTreeMap<NodeId, Vec<SlotId>>, changes: &mut BTreeMap<SlotId, SlotState>) {
    while let (Some(full), Some(empty)) = (most_loaded(owned), least_loaded(owned)) {
        if owned[&full].len() <= owned[&empty].len() + 1 {
            return;
        }
        let Some(slot) = owned.get_mut(&full).and_then(Vec::pop) else {
            return;
        };
        owned.entry(empty).or_default().push(slot);
        changes.insert(slot, SlotState::Owned { owner: empty });
    }
}
