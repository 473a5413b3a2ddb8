//! Communicates with the groups of the same service at other sites: tracks their leaders and their readiness for slots.

use std::collections::BTreeMap;

use quillhatch_types::{Epoch, NodeId, SiteName, SlotId, SlotState, Timestamp};

use crate::host::planning::MAX_SLOTS_PER_STEP;
use crate::host::{nth_member, HostStep, ServiceHost};
use crate::io::Recipient;
use crate::message::{GroupBody, Readiness};
use crate::operator::PlanState;
use crate::state::{Command, SlotRecord};

/// The number of unanswered messages after which another member of the site's group is tried.
const ATTEMPTS_PER_MEMBER: u32 = 2;

#[derive(Clone, Debug, Default)]
struct RemoteSite {
    leader: Option<NodeId>,
    attempt: usize,
    unanswered: u32,
    probed_at: Option<Timestamp>,
    readiness: Option<Readiness>,
}

/// The leader's volatile state about the other sites.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteSites {
    sites: BTreeMap<SiteName, RemoteSite>,
}

impl RemoteSites {
    /// Handles an answer from the leader of the site's group.
    pub fn on_answer(&mut self, site: &SiteName, from: NodeId) {
        let remote = self.sites.entry(site.clone()).or_default();
        remote.leader = Some(from);
        remote.unanswered = 0;
    }

    /// Handles an answer from a member that does not lead but may name the leader.
    pub fn on_not_leader(&mut self, site: &SiteName, leader: Option<NodeId>) {
        let remote = self.sites.entry(site.clone()).or_default();
        remote.leader = leader;
        remote.attempt += usize::from(leader.is_none());
        // The named leader is probed at once.
        remote.probed_at = None;
    }

    pub fn on_readiness(&mut self, site: &SiteName, readiness: Readiness) {
        let remote = self.sites.entry(site.clone()).or_default();
        // Answers may arrive out of order; the answer to the latest probe is the most recent.
        if remote.readiness.as_ref().is_none_or(|known| known.asked < readiness.asked) {
            remote.readiness = Some(readiness);
        }
    }

    /// The latest readiness report of the site.
    pub fn readiness(&self, site: &SiteName) -> Option<&Readiness> {
        self.sites.get(site)?.readiness.as_ref()
    }

    fn recipient(&mut self, site: &SiteName, member: impl Fn(usize) -> Option<Recipient>) -> Option<Recipient> {
        let remote = self.sites.entry(site.clone()).or_default();
        if remote.unanswered >= ATTEMPTS_PER_MEMBER {
            remote.leader = None;
            remote.attempt += 1;
            remote.unanswered = 0;
        }
        remote.unanswered += 1;
        remote.leader.map(Recipient::Run).or_else(|| member(remote.attempt))
    }
}

impl ServiceHost {
    /// Sends to the leader of the service's group at another site, or to one of its members if the leader is unknown.
    pub(crate) fn send_to_site(&mut self, step: &mut HostStep<'_>, site: &SiteName, body: GroupBody) {
        let (configuration, service) = (step.configuration, &self.service);
        let member = |attempt| nth_member(configuration, service, site, attempt).map(Recipient::Address);
        if let Some(recipient) = self.remote.recipient(site, member) {
            self.send(step, recipient, site, body);
        }
    }

    /// Probes the readiness of a site, unless it was probed within the resend interval.
    pub(crate) fn probe(&mut self, step: &mut HostStep<'_>, site: &SiteName) {
        let remote = self.remote.sites.entry(site.clone()).or_default();
        let interval = self.settings.timing.resend;
        if remote.probed_at.is_some_and(|at| step.now.since(at) < interval) {
            return;
        }
        remote.probed_at = Some(step.now);
        let from = self.site().clone();
        self.send_to_site(step, site, GroupBody::Probe { from, asked: step.now });
    }

    /// The readiness report of a site, if it is recent enough for a decision.
    pub(crate) fn fresh_readiness(&self, now: Timestamp, site: &SiteName) -> Option<&Readiness> {
        let readiness = self.remote.readiness(site)?;
        let age = now.since(readiness.asked);
        (age <= self.settings.timing.readiness_age).then_some(readiness)
    }

    pub(crate) fn on_probe(&mut self, step: &mut HostStep<'_>, from: NodeId, asked: Timestamp) {
        if !self.leads(step.now) || !self.state.is_founded() {
            self.answer_not_leader(step, from);
            return;
        }
        let timing = &self.settings.timing;
        let fresh: Vec<NodeId> = self
            .state
            .serving_gates()
            .map(|gate| gate.node)
            .filter(|node| self.gates.is_fresh(step.now, *node, timing))
            .collect();
        let active = self.state.active_plan();
        let readiness = Readiness {
            asked,
            epoch: self.state.epoch(),
            serving: u32::try_from(fresh.len()).unwrap_or(u32::MAX),
            protected_refusals: self.gates.protected_refusals(step.now, timing.readiness_age * 2),
            plan: active.map(|record| record.plan.id.clone()),
            // A plan that is being undone is not reported as started: otherwise the other site's plan would abort as
            // well instead of waiting for the end of the undo.
            started: active.is_some_and(|record| record.begun && record.state == PlanState::Running),
            loads: fresh.iter().filter_map(|node| Some((node.address, self.gates.load(*node)?))).collect(),
        };
        self.answer(step, from, GroupBody::ProbeAnswer(readiness));
    }

    pub(crate) fn answer_not_leader(&self, step: &mut HostStep<'_>, to: NodeId) {
        let leader = self.leader_hint().filter(|leader| *leader != self.own_node());
        self.answer(step, to, GroupBody::NotLeader { leader });
    }

    /// Handles another site's request to return slots that it moved here, by sealing a limited batch at a time.
    pub(crate) fn on_return_slots(
        &mut self,
        step: &mut HostStep<'_>,
        from: NodeId,
        to: &SiteName,
        slots: &[(SlotId, Epoch)],
    ) {
        if !self.leads(step.now) {
            self.answer_not_leader(step, from);
            return;
        }
        let is_sealed = |record: &SlotRecord| matches!(record.state, SlotState::Sealed { .. });
        let busy = self.state.slots.iter().any(is_sealed);
        if busy || self.pending.is_some() {
            return;
        }
        // The seal epoch distinguishes a delayed duplicate from a request about the slot's latest import.
        let returnable = |(slot, seal_epoch): &(SlotId, Epoch)| {
            let import = self.state.slot(*slot).and_then(|record| record.import.as_ref());
            import.is_some_and(|import| import.opened && import.from == *to && import.seal_epoch == *seal_epoch)
        };
        let wanted = slots.iter().filter(|pair| returnable(pair)).map(|(slot, _)| *slot);
        let batch: Vec<SlotId> = wanted.take(MAX_SLOTS_PER_STEP).collect();
        if !batch.is_empty() {
            let command = Command::Seal { plan: None, slots: batch, destination: to.clone() };
            self.propose(step, command, Vec::new());
        }
        self.lead(step);
    }
}
