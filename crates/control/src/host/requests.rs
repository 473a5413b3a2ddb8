//! Handles operators' requests at the leader of the group that they concern.

use std::collections::BTreeMap;

use quillhatch_types::{PlanId, SiteName, Timestamp};

use crate::host::planning::PlanningProblem;
use crate::host::progress::PlanProgress;
use crate::host::{HostStep, Requester, ServiceHost};
use crate::message::GroupBody;
use crate::operator::{HistoryEntry, Intent, OperatorReply, OperatorRequest, Plan, PlanState, PlanSummary};
use crate::state::{Command, PlanNote, Rejection};

/// The maximum number of unconfirmed plans that a leader retains.
const MAX_PROPOSED_PLANS: usize = 64;

/// The maximum number of requests that await another site's answer.
const MAX_WAITING_REQUESTS: usize = 64;

/// Unconfirmed plans, waiting requests and the progress of the active plan; discarded when the leadership is lost.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestQueue {
    proposed: BTreeMap<PlanId, (Plan, Timestamp)>,
    waiting: Vec<(Requester, OperatorRequest, SiteName, Timestamp)>,
    pub plan_progress: PlanProgress,
}

impl RequestQueue {
    pub fn clear(&mut self) {
        *self = RequestQueue::default();
    }
}

impl ServiceHost {
    pub(crate) fn on_request(&mut self, step: &mut HostStep<'_>, requester: Requester, request: OperatorRequest) {
        if !self.leads(step.now) || !self.state.is_founded() {
            self.answer_not_leader(step, requester.node);
            return;
        }
        match &request {
            OperatorRequest::Plan { intent } => self.on_plan(step, requester, intent),
            OperatorRequest::Confirm { plan } => self.on_confirm(step, requester, plan),
            OperatorRequest::Cancel { plan } => self.on_cancel(step, requester, plan),
            OperatorRequest::Explain { id } => {
                let reply = self.explain(step.now, id);
                self.reply(step, requester, reply);
            }
            OperatorRequest::AcceptLoss { .. } => self.on_accept_loss(step, requester),
            // Answered by the node that received the request.
            OperatorRequest::Plans | OperatorRequest::Status { .. } => {}
        }
        self.lead(step);
    }

    fn on_plan(&mut self, step: &mut HostStep<'_>, requester: Requester, intent: &Intent) {
        match self.make_plan(step, intent) {
            Ok(plan) => {
                self.store_proposed_plan(step.now, &plan);
                self.reply(step, requester, OperatorReply::Planned { plan: Box::new(plan) });
            }
            Err(PlanningProblem::Refused(findings)) => {
                self.reply(step, requester, OperatorReply::Refused { findings });
            }
            Err(PlanningProblem::AwaitsReadiness(site)) => {
                let request = OperatorRequest::Plan { intent: intent.clone() };
                self.wait_for_site(step, requester, request, site);
            }
        }
    }

    fn store_proposed_plan(&mut self, now: Timestamp, plan: &Plan) {
        let proposed = &mut self.requests.proposed;
        if proposed.len() >= MAX_PROPOSED_PLANS {
            let oldest = proposed.iter().min_by_key(|(_, (_, at))| *at).map(|(id, _)| id.clone());
            oldest.and_then(|id| proposed.remove(&id));
        }
        proposed.insert(plan.id.clone(), (plan.clone(), now));
    }

    fn wait_for_site(
        &mut self,
        step: &mut HostStep<'_>,
        requester: Requester,
        request: OperatorRequest,
        site: SiteName,
    ) {
        self.probe(step, &site);
        let known = self.requests.waiting.iter().any(|(waiting, ..)| *waiting == requester);
        if !known && self.requests.waiting.len() < MAX_WAITING_REQUESTS {
            self.requests.waiting.push((requester, request, site, step.now));
        }
    }

    /// Resumes the requests that awaited an answer from `site`.
    pub(crate) fn resume_requests(&mut self, step: &mut HostStep<'_>, site: &SiteName) {
        let waiting = std::mem::take(&mut self.requests.waiting);
        let (ready, rest) = waiting.into_iter().partition(|(_, _, awaited, _)| awaited == site);
        self.requests.waiting = rest;
        for (requester, request, _, _) in ready {
            self.on_request(step, requester, request);
        }
    }

    pub(crate) fn expire_requests(&mut self, step: &mut HostStep<'_>) {
        let timeout = self.settings.timing.request_timeout / 2;
        let waiting = std::mem::take(&mut self.requests.waiting);
        for (requester, request, site, since) in waiting {
            if step.now.since(since) < timeout {
                self.probe(step, &site);
                self.requests.waiting.push((requester, request, site, since));
                continue;
            }
            if self.confirm_without_other_site(step, requester, &request) {
                continue;
            }
            let problem = format!("the group of {} at {site} does not answer", self.service);
            let advice = "check the link and the site; nothing can move there now";
            self.reply(step, requester, OperatorReply::refused("intent.to", problem, advice));
        }
    }

    fn on_confirm(&mut self, step: &mut HostStep<'_>, requester: Requester, id: &PlanId) {
        if self.join_pending_confirmation(requester, id) {
            return;
        }
        if self.state.plan(id).is_some() {
            self.reply(step, requester, OperatorReply::Confirmed { plan: id.clone(), already: true });
            return;
        }
        let Some((plan, _)) = self.requests.proposed.get(id).cloned() else {
            self.reply(step, requester, unknown_plan(id));
            return;
        };
        if let Some(site) = self.site_without_fresh_readiness(step) {
            self.wait_for_site(step, requester, OperatorRequest::Confirm { plan: id.clone() }, site);
            return;
        }
        self.confirm_unless_busy_elsewhere(step, requester, plan);
    }

    /// Proposes the confirmation of a plan unless another plan of the service is active, here or at another site.
    fn confirm_unless_busy_elsewhere(&mut self, step: &mut HostStep<'_>, requester: Requester, plan: Plan) {
        if let Some((site, other)) = self.active_plan_at_other_site(step) {
            let problem = format!("plan {other} of the same service is at work at {site}");
            self.reply(step, requester, OperatorReply::refused("plan", problem, "wait until it is done, or cancel it"));
            return;
        }
        if let Err(rejection) = self.state.check_confirmation(&plan) {
            self.reply(step, requester, refusal_of(&rejection));
            return;
        }
        self.propose_if_idle(step, requester, Command::Confirm(Box::new(plan)));
    }

    fn join_pending_confirmation(&mut self, requester: Requester, id: &PlanId) -> bool {
        let Some(pending) = &mut self.pending else {
            return false;
        };
        let same = matches!(&pending.command, Command::Confirm(plan) if plan.id == *id);
        if same && !pending.requesters.contains(&requester) {
            pending.requesters.push(requester);
        }
        same
    }

    fn site_without_fresh_readiness(&self, step: &HostStep<'_>) -> Option<SiteName> {
        let service = step.configuration.services.get(&self.service)?;
        let mut unanswered = self.other_sites(service).filter(|site| self.fresh_readiness(step.now, site).is_none());
        unanswered.next().cloned()
    }

    fn active_plan_at_other_site(&self, step: &HostStep<'_>) -> Option<(SiteName, PlanId)> {
        let service = step.configuration.services.get(&self.service)?;
        let mut busy = self.other_sites(service).filter_map(|site| {
            let other = self.fresh_readiness(step.now, site)?.plan.clone()?;
            Some((site.clone(), other))
        });
        busy.next()
    }

    /// Confirms a plan although another site is unreachable. Only a move needs the other site.
    fn confirm_without_other_site(
        &mut self,
        step: &mut HostStep<'_>,
        requester: Requester,
        request: &OperatorRequest,
    ) -> bool {
        let OperatorRequest::Confirm { plan } = request else {
            return false;
        };
        let Some((plan, _)) = self.requests.proposed.get(plan).cloned() else {
            return false;
        };
        if matches!(plan.draft.intent, Intent::MoveShare { .. }) {
            return false;
        }
        self.confirm_unless_busy_elsewhere(step, requester, plan);
        true
    }

    fn propose_if_idle(&mut self, step: &mut HostStep<'_>, requester: Requester, command: Command) {
        if self.pending.is_some() {
            // The node that forwarded the request resends it shortly.
            return;
        }
        self.propose(step, command, vec![requester]);
    }

    fn on_cancel(&mut self, step: &mut HostStep<'_>, requester: Requester, id: &PlanId) {
        if self.requests.proposed.remove(id).is_some() && self.state.plan(id).is_none() {
            self.reply(step, requester, OperatorReply::Cancelled { plan: id.clone(), undoing: false });
            return;
        }
        let Some(record) = self.state.plan(id) else {
            self.reply(step, requester, unknown_plan(id));
            return;
        };
        match &record.state {
            PlanState::Undoing { .. } => {
                self.reply(step, requester, OperatorReply::Cancelled { plan: id.clone(), undoing: true });
            }
            PlanState::Undone { .. } | PlanState::Proposed => {
                self.reply(step, requester, OperatorReply::Cancelled { plan: id.clone(), undoing: false });
            }
            PlanState::Running | PlanState::Done => {
                let reason = "cancelled by an operator".to_owned();
                let note = PlanNote {
                    plan: id.clone(),
                    state: Some(PlanState::Undoing { reason: reason.clone() }),
                    steps_done: 0,
                    begun: record.begun,
                    note: reason,
                };
                self.propose_if_idle(step, requester, Command::Progress(note));
            }
        }
    }

    fn on_accept_loss(&mut self, step: &mut HostStep<'_>, requester: Requester) {
        if !self.state.claims_lost {
            self.reply(step, requester, OperatorReply::LossAccepted { service: self.service.clone() });
            return;
        }
        self.propose_if_idle(step, requester, Command::AcceptLoss);
    }

    /// The reply to an operator whose command was committed and then applied or rejected.
    pub(crate) fn reply_to_command(&self, command: &Command, rejection: Option<&Rejection>) -> OperatorReply {
        let service = self.service.clone();
        match (command, rejection) {
            (Command::Confirm(plan), None) => OperatorReply::Confirmed { plan: plan.id.clone(), already: false },
            (Command::Confirm(plan), Some(Rejection::AlreadyConfirmed)) => {
                OperatorReply::Confirmed { plan: plan.id.clone(), already: true }
            }
            (Command::Progress(note), None) => OperatorReply::Cancelled { plan: note.plan.clone(), undoing: true },
            (Command::AcceptLoss, None) => OperatorReply::LossAccepted { service },
            (_, Some(rejection)) => refusal_of(rejection),
            (_, None) => OperatorReply::refused("request", "nothing was asked for", "report this as a fault"),
        }
    }

    /// The confirmed and proposed plans known to this member.
    pub(crate) fn plan_summaries(&self) -> Vec<PlanSummary> {
        let confirmed = self.state.plans.values().map(|record| self.summary(record));
        let unconfirmed = self.requests.proposed.values().filter(|(plan, _)| self.state.plan(&plan.id).is_none());
        let proposed = unconfirmed.map(|(plan, _)| PlanSummary {
            id: plan.id.clone(),
            service: plan.draft.service.clone(),
            site: plan.draft.site.clone(),
            intent: plan.draft.intent.clone(),
            state: PlanState::Proposed,
            steps_done: 0,
            steps: plan.draft.steps.len() as u32,
            waiting_for: None,
        });
        confirmed.chain(proposed).collect()
    }

    fn summary(&self, record: &crate::state::PlanRecord) -> PlanSummary {
        let waiting_for = self.requests.plan_progress.waiting_for.clone().filter(|_| record.state.is_active());
        PlanSummary { waiting_for, ..record.summary() }
    }

    fn explain(&self, now: Timestamp, id: &str) -> OperatorReply {
        let record = PlanId::new(id).ok().and_then(|id| self.state.plan(&id));
        let Some(record) = record else {
            return OperatorReply::refused("id", format!("no confirmed plan {id} is known"), "list them with `plans`");
        };
        let own = self.state.history.iter().filter(|entry| entry.plan.as_ref() == Some(&record.plan.id));
        let history = own.map(|entry| HistoryEntry {
            sequence: entry.sequence,
            plan: entry.plan.clone(),
            what: entry.what.clone(),
            age: self.applied_at.get(&entry.sequence).map(|at| now.since(*at)),
        });
        OperatorReply::Explained { plan: Box::new(self.summary(record)), history: history.collect() }
    }

    pub(crate) fn on_set_retries(
        &mut self,
        step: &mut HostStep<'_>,
        from: quillhatch_types::NodeId,
        plan: PlanId,
        limits: crate::state::RetryLimits,
    ) {
        if !self.leads(step.now) || !self.state.is_founded() {
            self.answer_not_leader(step, from);
            return;
        }
        if self.state.retries.get(&limits.class) == Some(&limits) {
            self.answer(step, from, GroupBody::SetRetriesAnswer { plan, limits });
        } else if self.pending.is_none() {
            self.propose(step, Command::SetRetries { plan, limits }, Vec::new());
        }
    }
}

fn unknown_plan(id: &PlanId) -> OperatorReply {
    let problem = format!("plan {id} is not known: it was never made, is too old, or the group's leader has changed");
    OperatorReply::refused("plan", problem, "make the plan again")
}

fn refusal_of(rejection: &Rejection) -> OperatorReply {
    OperatorReply::refused("plan", rejection.to_string(), "look at `status` and make the plan again")
}
