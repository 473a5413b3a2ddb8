//! Dispatches messages about the group to the tasks that they concern.

use std::sync::Arc;

use quillhatch_types::{Epoch, Generation, NodeId, ServiceTable, SiteName, SlotState};

use crate::host::{HostStep, Requester, ServiceHost};
use crate::message::GroupBody;
use crate::operator::{ServiceStatus, SlotCounts};
use crate::state::Command;

impl ServiceHost {
    /// Handles a message to this group.
    pub(crate) fn on_message(&mut self, step: &mut HostStep<'_>, from: NodeId, body: GroupBody) {
        match body {
            GroupBody::AskTable { generation, epoch } => self.on_ask_table(step, from, generation, epoch),
            GroupBody::Heartbeat(heartbeat) => self.on_heartbeat(step, from, heartbeat),
            GroupBody::SlotImported { slot, epoch } => self.on_slot_imported(step, from, slot, epoch),
            GroupBody::VotersSettled { epoch } => self.on_settled(step, from, epoch),
            GroupBody::Exported(claims) => self.on_exported(step, claims),
            GroupBody::Probe { asked, .. } => self.on_probe(step, from, asked),
            GroupBody::Offer { from: site, claims } => self.on_offer(step, from, &site, claims),
            GroupBody::Withdraw { slot, seal_epoch, .. } => self.on_withdraw(step, from, slot, seal_epoch),
            GroupBody::ReturnSlots { to, slots } => self.on_return_slots(step, from, &to, &slots),
            GroupBody::SetRetries { plan, limits } => self.on_set_retries(step, from, plan, limits),
            GroupBody::Request { number, request } => {
                self.on_request(step, Requester { node: from, number }, *request);
            }
            _ => {}
        }
    }

    /// Handles an answer from the same service's group at another site.
    pub(crate) fn on_other_site(&mut self, step: &mut HostStep<'_>, from: NodeId, site: &SiteName, body: GroupBody) {
        if let GroupBody::NotLeader { leader } = body {
            self.remote.on_not_leader(site, leader);
            return;
        }
        if let GroupBody::Table { table, .. } = &body {
            self.on_other_sites_table(table);
            self.lead(step);
            return;
        }
        self.remote.on_answer(site, from);
        match body {
            GroupBody::ProbeAnswer(readiness) => {
                self.remote.on_readiness(site, readiness);
                self.resume_requests(step, site);
                self.lead(step);
            }
            GroupBody::OfferAnswer { slot, seal_epoch, outcome } => {
                self.on_offer_answer(step, slot, seal_epoch, outcome);
            }
            GroupBody::SetRetriesAnswer { plan, limits } => self.on_retries_set(step, site, plan, limits),
            _ => {}
        }
    }

    fn on_settled(&mut self, step: &mut HostStep<'_>, from: NodeId, epoch: Epoch) {
        if !self.leads(step.now) {
            return;
        }
        let known = self.state.settled.get(&from).copied().unwrap_or_default();
        let obsolete = self.state.previous_voters.is_empty() || epoch < self.state.voters_epoch;
        if known >= epoch || obsolete {
            self.answer(step, from, GroupBody::SettledKnown { epoch });
        } else if self.pending.is_none() {
            self.propose(step, Command::Settled { owner: from, epoch }, Vec::new());
        }
        self.lead(step);
    }

    fn on_ask_table(&mut self, step: &mut HostStep<'_>, from: NodeId, generation: Generation, epoch: Epoch) {
        if !self.state.is_founded() {
            // Only the leader can tell that there is no table; other members may not have received it yet.
            if self.leads(step.now) {
                let table = Arc::new(self.state.table());
                self.answer(step, from, GroupBody::Table { table, retries: Vec::new() });
            }
            return;
        }
        if (self.state.generation, self.state.epoch) > (generation, epoch) {
            let table = Arc::new(self.state.table());
            self.answer(step, from, GroupBody::Table { table, retries: self.retries() });
        }
    }
}

/// The status of a service for an operator, derived from its table.
pub(crate) fn status_of(table: &ServiceTable, leader: Option<NodeId>) -> ServiceStatus {
    let with_status = |status| {
        let gates = table.gates.iter().filter(move |gate| gate.status == status);
        gates.map(|gate| gate.node.address).collect()
    };
    ServiceStatus {
        service: table.service.clone(),
        site: table.site.clone(),
        generation: table.generation,
        epoch: table.epoch,
        leader,
        voters: table.voters.clone(),
        serving: with_status(quillhatch_types::GateStatus::Serving),
        draining: with_status(quillhatch_types::GateStatus::Draining),
        slots: count_slots(table),
        claims_lost: table.claims_lost,
    }
}

fn count_slots(table: &ServiceTable) -> SlotCounts {
    let mut counts = SlotCounts::default();
    for assignment in &table.slots {
        match &assignment.state {
            SlotState::Owned { owner } => *counts.owned.entry(owner.address).or_default() += 1,
            SlotState::Sealed { .. } => counts.sealed += 1,
            SlotState::Elsewhere { .. } => counts.elsewhere += 1,
            SlotState::Vacant => counts.vacant += 1,
        }
    }
    counts
}
