//! A stand-in for claim owners and their voters: one store per site that promises epochs and keeps keys.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use quillhatch_control::io::EncodedClaim;
use quillhatch_control::ControlInput;
use quillhatch_types::{Epoch, NodeId, ServiceTable, SlotId, SlotState, Timestamp};

/// What a majority of a site's voters has promised and recorded.
#[derive(Default)]
pub struct SiteClaims {
    promised: BTreeMap<SlotId, Epoch>,
    keys: BTreeMap<SlotId, BTreeSet<u64>>,
}

impl SiteClaims {
    fn promise(&mut self, slot: SlotId, epoch: Epoch) -> bool {
        let promised = self.promised.entry(slot).or_default();
        let allowed = epoch >= *promised;
        *promised = epoch.max(*promised);
        allowed
    }

    /// Records a key under an epoch, unless it is recorded or a newer epoch is promised.
    pub fn claim(&mut self, slot: SlotId, epoch: Epoch, key: u64) -> bool {
        let fenced = self.promised.get(&slot).is_some_and(|promised| *promised > epoch);
        !fenced && self.keys.entry(slot).or_default().insert(key)
    }
}

#[derive(Default)]
pub struct ClaimStandIn {
    pub lease: Option<Timestamp>,
    pub open: BTreeMap<SlotId, Epoch>,
}

impl ClaimStandIn {
    pub fn owns(&self, now: Timestamp, slot: SlotId) -> bool {
        self.lease.is_some_and(|until| now < until) && self.open.contains_key(&slot)
    }

    pub fn on_table(&mut self, me: NodeId, table: &Arc<ServiceTable>, claims: &mut SiteClaims) -> Vec<ControlInput> {
        for assignment in &table.slots {
            let mine = assignment.state == SlotState::Owned { owner: me };
            let opened = self.open.get(&assignment.slot) == Some(&assignment.epoch);
            if !mine {
                self.open.remove(&assignment.slot);
            } else if !opened && claims.promise(assignment.slot, assignment.epoch) {
                self.open.insert(assignment.slot, assignment.epoch);
            }
        }
        if table.previous_voters.is_empty() {
            return Vec::new();
        }
        vec![ControlInput::VotersSettled { service: table.service.clone(), epoch: table.epoch }]
    }

    pub fn export(
        &self,
        table: Option<&Arc<ServiceTable>>,
        slot: SlotId,
        epoch: Epoch,
        claims: &mut SiteClaims,
    ) -> Option<Vec<EncodedClaim>> {
        let assignment = table?.slot(slot)?;
        let sealed = assignment.epoch == epoch;
        if !sealed || !claims.promise(slot, epoch) {
            return None;
        }
        let keys = claims.keys.entry(slot).or_default();
        Some(keys.iter().map(|key| EncodedClaim(key.to_le_bytes().to_vec())).collect())
    }

    pub fn import(&mut self, slot: SlotId, epoch: Epoch, imported: &[EncodedClaim], claims: &mut SiteClaims) -> bool {
        if !claims.promise(slot, epoch) {
            return false;
        }
        let keys = imported.iter().map(|claim| u64::from_le_bytes(claim.0[..8].try_into().expect("eight bytes")));
        claims.keys.entry(slot).or_default().extend(keys);
        true
    }
}
