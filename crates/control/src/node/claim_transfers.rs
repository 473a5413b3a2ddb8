//! Claims of slots in transfer between sites, at the gates that export and import them.

use std::collections::BTreeMap;

use quillhatch_types::{Epoch, NodeId, ServiceName, SlotId};

use crate::io::{ControlOutput, EncodedClaim, Recipient};
use crate::message::{GroupBody, SlotClaims, MAXIMUM_PAGE_BYTES};
use crate::node::ControlNode;

/// The maximum number of slots whose claims are held at once, for each direction.
const MAX_TRANSFERS: usize = 64;

#[derive(Clone, Debug)]
struct ClaimExport {
    epoch: Epoch,
    requester: NodeId,
    pages: Option<Vec<SlotClaims>>,
}

#[derive(Clone, Debug)]
struct ClaimImport {
    epoch: Epoch,
    pages: BTreeMap<u32, SlotClaims>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimTransfers {
    exports: BTreeMap<SlotId, ClaimExport>,
    imports: BTreeMap<SlotId, ClaimImport>,
}

fn into_pages(slot: SlotId, epoch: Epoch, claims: &[EncodedClaim]) -> Vec<SlotClaims> {
    let mut pages: Vec<Vec<EncodedClaim>> = vec![Vec::new()];
    let mut size = 0;
    for claim in claims {
        let full = size + claim.0.len() > MAXIMUM_PAGE_BYTES;
        if full && pages.last().is_some_and(|page| !page.is_empty()) {
            pages.push(Vec::new());
            size = 0;
        }
        size += claim.0.len();
        if let Some(page) = pages.last_mut() {
            page.push(claim.clone());
        }
    }
    let count = u32::try_from(pages.len()).unwrap_or(u32::MAX);
    let numbered_pages = pages.into_iter().zip(0..);
    numbered_pages.map(|(claims, page)| SlotClaims { slot, epoch, page, pages: count, claims }).collect()
}

impl ControlNode {
    /// Handles the leader's request to collect the claims of a sealed slot.
    pub(crate) fn on_export(
        &mut self,
        from: NodeId,
        service: &ServiceName,
        slot: SlotId,
        epoch: Epoch,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let exports = &mut self.claim_transfers.exports;
        let known = exports.get_mut(&slot).filter(|export| export.epoch == epoch);
        if let Some(export) = known {
            export.requester = from;
            if let Some(pages) = export.pages.clone() {
                self.send_pages(from, service, pages, outputs);
                return;
            }
        }
        if exports.len() >= MAX_TRANSFERS {
            exports.pop_first();
        }
        exports.insert(slot, ClaimExport { epoch, requester: from, pages: None });
        // Each retry is passed on: the claim owner ignores an export that arrives before the table with the seal.
        outputs.push(ControlOutput::ExportSlot { service: service.clone(), slot, epoch });
    }

    pub(crate) fn on_slot_exported(
        &mut self,
        service: &ServiceName,
        slot: SlotId,
        epoch: Epoch,
        claims: &[EncodedClaim],
        outputs: &mut Vec<ControlOutput>,
    ) {
        let exports = &mut self.claim_transfers.exports;
        let Some(export) = exports.get_mut(&slot).filter(|export| export.epoch == epoch) else {
            return;
        };
        let pages = into_pages(slot, epoch, claims);
        export.pages = Some(pages.clone());
        let requester = export.requester;
        self.send_pages(requester, service, pages, outputs);
    }

    fn send_pages(&self, to: NodeId, service: &ServiceName, pages: Vec<SlotClaims>, outputs: &mut Vec<ControlOutput>) {
        for page in pages {
            let site = &self.settings.site;
            self.send_about(Recipient::Run(to), service, site, GroupBody::Exported(page), outputs);
        }
    }

    /// Handles one page of the claims that the leader sends for the import of a slot.
    pub(crate) fn on_import(&mut self, service: &ServiceName, claims: SlotClaims, outputs: &mut Vec<ControlOutput>) {
        let (slot, epoch, count) = (claims.slot, claims.epoch, claims.pages);
        let imports = &mut self.claim_transfers.imports;
        if imports.get(&slot).is_none_or(|known| known.epoch < epoch) {
            if imports.len() >= MAX_TRANSFERS {
                imports.pop_first();
            }
            imports.insert(slot, ClaimImport { epoch, pages: BTreeMap::new() });
        }
        let Some(import) = imports.get_mut(&slot).filter(|known| known.epoch == epoch) else {
            return;
        };
        import.pages.insert(claims.page, claims);
        let complete = import.pages.len() as u32 == count;
        if !complete {
            return;
        }
        // The leader resends the claims until the slot is open, and the claim owner also answers a repeated import.
        let pages = std::mem::take(&mut import.pages);
        let claims = pages.into_values().flat_map(|page| page.claims).collect();
        outputs.push(ControlOutput::ImportSlot { service: service.clone(), slot, epoch, claims });
    }
}
