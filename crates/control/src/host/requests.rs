//! Operators' requests at the leader of the group that they concern.

use std::collections::BTreeMap;

use quillhatch_types::{PlanId, SiteName, Timestamp};

use crate::host::planning::PlanningProblem;
use crate::host::progress::PlanWork;
use crate::host::{Asker, HostStep, ServiceHost};
use crate::message::GroupBody;
use crate::operator::{HistoryEntry, Intent, OperatorReply, OperatorRequest, Plan, PlanState, PlanSummary};
use crate::state::{Command, PlanNote, Rejection};

/// Unconfirmed plans that a leader remembers.
const MAXIMUM_PROPOSED: usize = 64;

/// Requests that wait for another site's answer at once.
const MAXIMUM_WAITING: usize = 64;

/// Unconfirmed plans, waiting requests and the work on the active plan; all lost with the leadership.
#[derive(Clone, Debug, Default)]
pub(crate) struct Desk {
    proposed: BTreeMap<PlanId, (Plan, Timestamp)>,
    waiting: Vec<(Asker, OperatorRequest, SiteName, Timestamp)>,
    pub work: PlanWork,
}

impl Desk {
    pub fn clear(&mut self) {
        *self = Desk::default();
    }
}

impl ServiceHost {
    pub(crate) fn on_request(&mut self, step: &mut HostStep<'_>, asker: Asker, request: OperatorRequest) {
        if !self.leads(step.now) || !self.state.is_founded() {
            self.answer_not_leader(step, asker.node);
            return;
        }
        match &request {
            OperatorRequest::Plan { intent } => self.on_plan(step, asker, intent),
            OperatorRequest::Confirm { plan } => self.on_confirm(step, asker, plan),
            OperatorRequest::Cancel { plan } => self.on_cancel(step, asker, plan),
            OperatorRequest::Explain { id } => {
                let reply = self.explain(step.now, id);
                self.reply(step, asker, reply);
            }
            OperatorRequest::AcceptLoss { .. } => self.on_accept_loss(step, asker),
            // Answered by the node that was asked.
            OperatorRequest::Plans | OperatorRequest::Status { .. } => {}
        }
        self.lead(step);
    }

    fn on_plan(&mut self, step: &mut HostStep<'_>, asker: Asker, intent: &Intent) {
        match self.make_plan(step, intent) {
            Ok(plan) => {
                self.remember(step.now, &plan);
                self.reply(step, asker, OperatorReply::Planned { plan: Box::new(plan) });
            }
            Err(PlanningProblem::Refused(findings)) => {
                self.reply(step, asker, OperatorReply::Refused { findings });
            }
            Err(PlanningProblem::AwaitsReadiness(site)) => {
                let request = OperatorRequest::Plan { intent: intent.clone() };
                self.wait_for_site(step, asker, request, site);
            }
        }
    }

    fn remember(&mut self, now: Timestamp, plan: &Plan) {
        let proposed = &mut self.desk.proposed;
        if proposed.len() >= MAXIMUM_PROPOSED {
            let oldest = proposed.iter().min_by_key(|(_, (_, at))| *at).map(|(id, _)| id.clone());
            oldest.and_then(|id| proposed.remove(&id));
        }
        proposed.insert(plan.id.clone(), (plan.clone(), now));
    }

    fn wait_for_site(&mut self, step: &mut HostStep<'_>, asker: Asker, request: OperatorRequest, site: SiteName) {
        self.probe(step, &site);
        let known = self.desk.waiting.iter().any(|(waiting, ..)| *waiting == asker);
        if !known && self.desk.waiting.len() < MAXIMUM_WAITING {
            self.desk.waiting.push((asker, request, site, step.now));
        }
    }

    /// The other site has answered: go on with the requests that waited for it.
    pub(crate) fn resume_requests(&mut self, step: &mut HostStep<'_>, site: &SiteName) {
        let waiting = std::mem::take(&mut self.desk.waiting);
        let (ready, rest) = waiting.into_iter().partition(|(_, _, awaited, _)| awaited == site);
        self.desk.waiting = rest;
        for (asker, request, _, _) in ready {
            self.on_request(step, asker, request);
        }
    }

    pub(crate) fn expire_requests(&mut self, step: &mut HostStep<'_>) {
        let patience = self.settings.timing.request_timeout / 2;
        let waiting = std::mem::take(&mut self.desk.waiting);
        for (asker, request, site, since) in waiting {
            if step.now.since(since) < patience {
                self.probe(step, &site);
                self.desk.waiting.push((asker, request, site, since));
                continue;
            }
            if self.confirm_without(step, asker, &request) {
                continue;
            }
            let problem = format!("the group of {} at {site} does not answer", self.service);
            let advice = "check the link and the site; nothing can move there now";
            self.reply(step, asker, OperatorReply::refused("intent.to", problem, advice));
        }
    }

    fn on_confirm(&mut self, step: &mut HostStep<'_>, asker: Asker, id: &PlanId) {
        if self.join_pending_confirmation(asker, id) {
            return;
        }
        if self.state.plan(id).is_some() {
            self.reply(step, asker, OperatorReply::Confirmed { plan: id.clone(), already: true });
            return;
        }
        let Some((plan, _)) = self.desk.proposed.get(id).cloned() else {
            self.reply(step, asker, unknown_plan(id));
            return;
        };
        if let Some(site) = self.site_to_ask(step) {
            self.wait_for_site(step, asker, OperatorRequest::Confirm { plan: id.clone() }, site);
            return;
        }
        self.confirm_unless_busy_elsewhere(step, asker, plan);
    }

    /// A plan of the same service may be at work at another site.
    fn confirm_unless_busy_elsewhere(&mut self, step: &mut HostStep<'_>, asker: Asker, plan: Plan) {
        if let Some((site, other)) = self.plan_elsewhere(step) {
            let problem = format!("plan {other} of the same service is at work at {site}");
            self.reply(step, asker, OperatorReply::refused("plan", problem, "wait until it is done, or cancel it"));
            return;
        }
        if let Err(rejection) = self.state.check_confirmation(&plan) {
            self.reply(step, asker, refusal_of(&rejection));
            return;
        }
        self.propose_or_refuse(step, asker, Command::Confirm(Box::new(plan)));
    }

    fn join_pending_confirmation(&mut self, asker: Asker, id: &PlanId) -> bool {
        let Some(pending) = &mut self.pending else {
            return false;
        };
        let same = matches!(&pending.command, Command::Confirm(plan) if plan.id == *id);
        if same && !pending.askers.contains(&asker) {
            pending.askers.push(asker);
        }
        same
    }

    fn site_to_ask(&self, step: &HostStep<'_>) -> Option<SiteName> {
        let service = step.configuration.services.get(&self.service)?;
        let mut silent = self.other_sites(service).filter(|site| self.fresh_readiness(step.now, site).is_none());
        silent.next().cloned()
    }

    fn plan_elsewhere(&self, step: &HostStep<'_>) -> Option<(SiteName, PlanId)> {
        let service = step.configuration.services.get(&self.service)?;
        let mut busy = self.other_sites(service).filter_map(|site| {
            let other = self.fresh_readiness(step.now, site)?.plan.clone()?;
            Some((site.clone(), other))
        });
        busy.next()
    }

    /// Nothing but a move needs the other site: the rest goes on although its link is cut.
    fn confirm_without(&mut self, step: &mut HostStep<'_>, asker: Asker, request: &OperatorRequest) -> bool {
        let OperatorRequest::Confirm { plan } = request else {
            return false;
        };
        let Some((plan, _)) = self.desk.proposed.get(plan).cloned() else {
            return false;
        };
        if matches!(plan.draft.intent, Intent::MoveShare { .. }) {
            return false;
        }
        self.confirm_unless_busy_elsewhere(step, asker, plan);
        true
    }

    fn propose_or_refuse(&mut self, step: &mut HostStep<'_>, asker: Asker, command: Command) {
        if self.pending.is_some() {
            // The node that was asked sends the request again shortly.
            return;
        }
        self.propose(step, command, vec![asker]);
    }

    fn on_cancel(&mut self, step: &mut HostStep<'_>, asker: Asker, id: &PlanId) {
        if self.desk.proposed.remove(id).is_some() && self.state.plan(id).is_none() {
            self.reply(step, asker, OperatorReply::Cancelled { plan: id.clone(), undoing: false });
            return;
        }
        let Some(record) = self.state.plan(id) else {
            self.reply(step, asker, unknown_plan(id));
            return;
        };
        match &record.state {
            PlanState::Undoing { .. } => {
                self.reply(step, asker, OperatorReply::Cancelled { plan: id.clone(), undoing: true });
            }
            PlanState::Undone { .. } | PlanState::Proposed => {
                self.reply(step, asker, OperatorReply::Cancelled { plan: id.clone(), undoing: false });
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
                self.propose_or_refuse(step, asker, Command::Progress(note));
            }
        }
    }

    fn on_accept_loss(&mut self, step: &mut HostStep<'_>, asker: Asker) {
        if !self.state.claims_lost {
            self.reply(step, asker, OperatorReply::LossAccepted { service: self.service.clone() });
            return;
        }
        self.propose_or_refuse(step, asker, Command::AcceptLoss);
    }

    /// The reply to an operator whose command is agreed, or was rejected by the state.
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

    /// The plans that this member knows of.
    pub(crate) fn plan_summaries(&self) -> Vec<PlanSummary> {
        let confirmed = self.state.plans.values().map(|record| self.summary(record));
        let unconfirmed = self.desk.proposed.values().filter(|(plan, _)| self.state.plan(&plan.id).is_none());
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
        let waiting_for = self.desk.work.waiting_for.clone().filter(|_| record.state.is_active());
        PlanSummary { waiting_for, ..record.summary() }
    }

    fn explain(&self, now: Timestamp, id: &str) -> OperatorReply {
        let record = PlanId::new(id).ok().and_then(|id| self.state.plan(&id));
        let Some(record) = record else {
            return OperatorReply::refused("id", format!("no confirmed plan {id} is known"), "list them with `plans`");
        };
        let mine = self.state.history.iter().filter(|entry| entry.plan.as_ref() == Some(&record.plan.id));
        let history = mine.map(|entry| HistoryEntry {
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
