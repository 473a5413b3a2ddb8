//! Claims of slots on their way between sites, at the gates that collect and record them.

use std::collections::BTreeMap;

use quillhatch_types::{Epoch, NodeId, ServiceName, SlotId};

use crate::io::{ControlOutput, EncodedClaim, Recipient};
use crate::message::{GroupBody, SlotClaims, MAXIMUM_PAGE_BYTES};
use crate::node::ControlNode;

/// Slots whose claims are held at once, each way.
const MAXIMUM_PARCELS: usize = 64;

#[derive(Clone, Debug)]
struct Collection {
    epoch: Epoch,
    asker: NodeId,
    pages: Option<Vec<SlotClaims>>,
}

#[derive(Clone, Debug)]
struct Delivery {
    epoch: Epoch,
    pages: BTreeMap<u32, SlotClaims>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Parcels {
    collections: BTreeMap<SlotId, Collection>,
    deliveries: BTreeMap<SlotId, Delivery>,
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
    let numbered = pages.into_iter().zip(0..);
    numbered.map(|(claims, page)| SlotClaims { slot, epoch, page, pages: count, claims }).collect()
}

impl ControlNode {
    /// The leader has this gate collect the claims of a sealed slot.
    pub(crate) fn on_export(
        &mut self,
        from: NodeId,
        service: &ServiceName,
        slot: SlotId,
        epoch: Epoch,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let collections = &mut self.parcels.collections;
        let known = collections.get_mut(&slot).filter(|collection| collection.epoch == epoch);
        if let Some(collection) = known {
            collection.asker = from;
            if let Some(pages) = collection.pages.clone() {
                self.send_pages(from, service, pages, outputs);
                return;
            }
        }
        if collections.len() >= MAXIMUM_PARCELS {
            collections.pop_first();
        }
        collections.insert(slot, Collection { epoch, asker: from, pages: None });
        // Asked again, the claim owner is told again: it ignores what comes before the table that says sealed.
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
        let collections = &mut self.parcels.collections;
        let Some(collection) = collections.get_mut(&slot).filter(|collection| collection.epoch == epoch) else {
            return;
        };
        let pages = into_pages(slot, epoch, claims);
        collection.pages = Some(pages.clone());
        let asker = collection.asker;
        self.send_pages(asker, service, pages, outputs);
    }

    fn send_pages(&self, to: NodeId, service: &ServiceName, pages: Vec<SlotClaims>, outputs: &mut Vec<ControlOutput>) {
        for page in pages {
            let site = &self.settings.site;
            self.send_about(Recipient::Run(to), service, site, GroupBody::Exported(page), outputs);
        }
    }

    /// The leader has this gate take a slot over: a page of its claims.
    pub(crate) fn on_import(&mut self, service: &ServiceName, claims: SlotClaims, outputs: &mut Vec<ControlOutput>) {
        let (slot, epoch, count) = (claims.slot, claims.epoch, claims.pages);
        let deliveries = &mut self.parcels.deliveries;
        if deliveries.get(&slot).is_none_or(|known| known.epoch < epoch) {
            if deliveries.len() >= MAXIMUM_PARCELS {
                deliveries.pop_first();
            }
            deliveries.insert(slot, Delivery { epoch, pages: BTreeMap::new() });
        }
        let Some(delivery) = deliveries.get_mut(&slot).filter(|known| known.epoch == epoch) else {
            return;
        };
        delivery.pages.insert(claims.page, claims);
        let complete = delivery.pages.len() as u32 == count;
        if !complete {
            return;
        }
        // The leader sends again until it hears that the slot is open; the claim owner answers a repeated import.
        let pages = std::mem::take(&mut delivery.pages);
        let claims = pages.into_values().flat_map(|page| page.claims).collect();
        outputs.push(ControlOutput::ImportSlot { service: service.clone(), slot, epoch, claims });
    }
}
