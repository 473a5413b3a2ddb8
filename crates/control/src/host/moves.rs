//! Talk with the groups of the same service at other sites: who leads there, and whether it can take slots.

use std::collections::BTreeMap;

use quillhatch_types::{Epoch, NodeId, SiteName, SlotId, SlotState, Timestamp};

use crate::host::planning::LARGEST_STEP;
use crate::host::{nth_member, HostStep, ServiceHost};
use crate::io::Recipient;
use crate::message::{GroupBody, Readiness};
use crate::operator::PlanState;
use crate::state::{Command, SlotRecord};

/// Unanswered messages after which another member of the site's group is tried.
const TRIES_PER_MEMBER: u32 = 2;

#[derive(Clone, Debug, Default)]
struct RemoteSite {
    leader: Option<NodeId>,
    attempt: usize,
    unanswered: u32,
    probed_at: Option<Timestamp>,
    readiness: Option<Readiness>,
}

/// What the leader knows of the other sites.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteSites {
    sites: BTreeMap<SiteName, RemoteSite>,
}

impl RemoteSites {
    /// A member of the site's group answered as its leader.
    pub fn on_answer(&mut self, site: &SiteName, from: NodeId) {
        let remote = self.sites.entry(site.clone()).or_default();
        remote.leader = Some(from);
        remote.unanswered = 0;
    }

    /// A member of the site's group named the leader.
    pub fn on_not_leader(&mut self, site: &SiteName, leader: Option<NodeId>) {
        let remote = self.sites.entry(site.clone()).or_default();
        remote.leader = leader;
        remote.attempt += usize::from(leader.is_none());
        // The named leader is asked at once.
        remote.probed_at = None;
    }

    pub fn on_readiness(&mut self, site: &SiteName, readiness: Readiness) {
        let remote = self.sites.entry(site.clone()).or_default();
        // Answers may overtake each other; a later question's answer knows more.
        if remote.readiness.as_ref().is_none_or(|known| known.asked < readiness.asked) {
            remote.readiness = Some(readiness);
        }
    }

    /// What the site said last.
    pub fn readiness(&self, site: &SiteName) -> Option<&Readiness> {
        self.sites.get(site)?.readiness.as_ref()
    }

    fn recipient(&mut self, site: &SiteName, member: impl Fn(usize) -> Option<Recipient>) -> Option<Recipient> {
        let remote = self.sites.entry(site.clone()).or_default();
        if remote.unanswered >= TRIES_PER_MEMBER {
            remote.leader = None;
            remote.attempt += 1;
            remote.unanswered = 0;
        }
        remote.unanswered += 1;
        remote.leader.map(Recipient::Run).or_else(|| member(remote.attempt))
    }
}

impl ServiceHost {
    /// Sends to the leader of the service's group at another site, as far as it is known.
    pub(crate) fn send_to_site(&mut self, step: &mut HostStep<'_>, site: &SiteName, body: GroupBody) {
        let (configuration, service) = (step.configuration, &self.service);
        let member = |attempt| nth_member(configuration, service, site, attempt).map(Recipient::Address);
        if let Some(recipient) = self.remote.recipient(site, member) {
            self.send(step, recipient, site, body);
        }
    }

    /// Asks a site about its readiness, unless it was asked just now.
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

    /// A readiness that is young enough to rest a decision on.
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
            // A plan that gives way is undone in a moment: the other one waits for that instead of giving way too.
            started: active.is_some_and(|record| record.begun && record.state == PlanState::Running),
            loads: fresh.iter().filter_map(|node| Some((node.address, self.gates.load(*node)?))).collect(),
        };
        self.answer(step, from, GroupBody::ProbeAnswer(readiness));
    }

    pub(crate) fn answer_not_leader(&self, step: &mut HostStep<'_>, to: NodeId) {
        let leader = self.leader_hint().filter(|leader| *leader != self.me());
        self.answer(step, to, GroupBody::NotLeader { leader });
    }

    /// Another site wants back what it gave: seal a few of those slots at a time.
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
        // The epoch of the seal tells a late copy of this request from one about the present stay of the slot here.
        let returnable = |(slot, seal_epoch): &(SlotId, Epoch)| {
            let import = self.state.slot(*slot).and_then(|record| record.import.as_ref());
            import.is_some_and(|import| import.opened && import.from == *to && import.seal_epoch == *seal_epoch)
        };
        let wanted = slots.iter().filter(|pair| returnable(pair)).map(|(slot, _)| *slot);
        let batch: Vec<SlotId> = wanted.take(LARGEST_STEP).collect();
        if !batch.is_empty() {
            let command = Command::Seal { plan: None, slots: batch, destination: to.clone() };
            self.propose(step, command, Vec::new());
        }
        self.lead(step);
    }
}
