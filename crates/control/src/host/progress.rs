//! Executes the steps of the confirmed plan. Each is retried until the replicated state shows that it is done.

use std::collections::BTreeSet;

use quillhatch_types::{ClassName, GateStatus, NodeAddress, PlanId, SiteName, SlotId, SlotState, Timestamp};

use crate::host::{HostStep, ServiceHost};
use crate::message::GroupBody;
use crate::operator::{Intent, PlanState, StepAction};
use crate::state::{Command, PlanNote, PlanRecord, RetryLimits};

/// The leader's volatile state about the active plan; a new leader rebuilds it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlanProgress {
    pub waiting_for: Option<String>,
    /// The active plan and when this leader began to execute it.
    plan: Option<(PlanId, Timestamp)>,
    pub step_done_at: Option<Timestamp>,
    refused_since: Option<Timestamp>,
    acknowledged: BTreeSet<(PlanId, SiteName, RetryLimits)>,
    sent_at: Option<Timestamp>,
}

/// Whether the next slots of a move may be sealed.
enum SealDecision {
    Open,
    Wait(String),
    Abort(String),
}

impl ServiceHost {
    pub(crate) fn is_retired_by_active_plan(&self, address: NodeAddress) -> bool {
        let retires = |record: &PlanRecord| {
            record.state == PlanState::Running && record.plan.draft.intent == Intent::Retire { target: address }
        };
        self.state.active_plan().is_some_and(retires)
    }

    pub(crate) fn on_retries_set(
        &mut self,
        step: &mut HostStep<'_>,
        site: &SiteName,
        plan: PlanId,
        limits: RetryLimits,
    ) {
        self.requests.plan_progress.acknowledged.insert((plan, site.clone(), limits));
        self.lead(step);
    }

    /// The next command of the active plan, if one is due.
    pub(crate) fn plan_command(&mut self, step: &HostStep<'_>) -> Option<Command> {
        let record = self.state.active_plan()?.clone();
        self.requests.plan_progress.waiting_for = None;
        match &record.state {
            PlanState::Running => self.running_command(step, &record),
            PlanState::Undoing { reason } => self.undo_command(&record, reason),
            _ => None,
        }
    }

    fn running_command(&mut self, step: &HostStep<'_>, record: &PlanRecord) -> Option<Command> {
        let id = &record.plan.id;
        let Some(next) = record.plan.draft.steps.get(record.steps_done as usize) else {
            return Some(note(id, Some(PlanState::Done), record.steps_done, "every step is done"));
        };
        if self.is_done(id, &next.action) {
            self.requests.plan_progress.step_done_at = Some(step.now);
            let what = format!("step {} is done: {}", next.number, next.action);
            return Some(note(id, None, next.number, &what));
        }
        if !record.begun && !matches!(next.action, StepAction::MoveSlots { .. }) {
            return Some(note(id, None, 0, "begun"));
        }
        self.step_command(step, record, &next.action)
    }

    fn is_done(&self, plan: &PlanId, action: &StepAction) -> bool {
        match action {
            StepAction::MoveSlots { slots, to } => slots.iter().all(|slot| self.is_elsewhere(*slot, to)),
            StepAction::CloseGate { target } => {
                let gate = self.state.gates.get(target);
                self.state.retired.contains(target) && gate.is_none_or(|gate| gate.status == GateStatus::Draining)
            }
            StepAction::HandSlotsOn { target } => {
                let gate = self.state.gates.get(target);
                gate.is_none_or(|gate| !self.state.owns_slots(gate.node))
            }
            StepAction::RemoveGate { target } => !self.state.gates.contains_key(target),
            StepAction::SetRetries { site, class, budget, ratio, .. } => {
                self.has_limits(plan, site, &limits(class, *budget, *ratio))
            }
            StepAction::UndoPlan { .. } => true,
        }
    }

    fn is_elsewhere(&self, slot: SlotId, site: &SiteName) -> bool {
        let elsewhere = SlotState::Elsewhere { site: site.clone() };
        self.state.slot(slot).is_some_and(|record| record.state == elsewhere)
    }

    fn has_limits(&self, plan: &PlanId, site: &SiteName, wanted: &RetryLimits) -> bool {
        if site == self.site() {
            return self.state.retries.get(&wanted.class) == Some(wanted);
        }
        self.requests.plan_progress.acknowledged.contains(&(plan.clone(), site.clone(), wanted.clone()))
    }

    fn step_command(&mut self, step: &HostStep<'_>, record: &PlanRecord, action: &StepAction) -> Option<Command> {
        match action {
            StepAction::MoveSlots { slots, to } => self.move_command(step, record, slots, to),
            StepAction::CloseGate { target } => {
                let retired = self.state.retired.contains(target);
                (!retired).then_some(Command::SetRetired { target: *target, retired: true })
            }
            StepAction::HandSlotsOn { target } => self.wait(format!("{target} still owns slots")),
            StepAction::RemoveGate { target } => {
                let node = self.state.gates.get(target)?.node;
                if self.gates.is_idle(node) {
                    return Some(Command::RemoveGate(node));
                }
                self.wait(format!("calls still run at {target}"))
            }
            StepAction::SetRetries { site, class, budget, ratio, .. } if site == self.site() => {
                let plan = record.plan.id.clone();
                Some(Command::SetRetries { plan, limits: limits(class, *budget, *ratio) })
            }
            StepAction::SetRetries { site, .. } => self.wait(format!("{site} has not agreed yet")),
            StepAction::UndoPlan { .. } => None,
        }
    }

    fn wait(&mut self, reason: String) -> Option<Command> {
        self.requests.plan_progress.waiting_for = Some(reason);
        None
    }

    fn move_command(
        &mut self,
        step: &HostStep<'_>,
        record: &PlanRecord,
        slots: &[SlotId],
        to: &SiteName,
    ) -> Option<Command> {
        let sealed =
            |slot: &SlotId| self.state.slot(*slot).is_some_and(|slot| matches!(slot.state, SlotState::Sealed { .. }));
        if slots.iter().any(sealed) {
            return self.wait(format!("sealed slots are on their way to {to}"));
        }
        let id = &record.plan.id;
        match self.seal_decision(step, record, to) {
            SealDecision::Open if !record.begun => Some(note(id, None, 0, "begun")),
            SealDecision::Open => {
                let slots = slots.iter().copied().filter(|slot| !self.is_elsewhere(*slot, to)).collect();
                Some(Command::Seal { plan: Some(id.clone()), slots, destination: to.clone() })
            }
            SealDecision::Wait(reason) => self.wait(reason),
            SealDecision::Abort(reason) => {
                let state = PlanState::Undoing { reason: reason.clone() };
                Some(note(id, Some(state), record.steps_done, &reason))
            }
        }
    }

    /// Decides whether a step may seal slots: only while the new site answers, is healthy and has no active plan of its
    /// own.
    fn seal_decision(&mut self, step: &HostStep<'_>, record: &PlanRecord, to: &SiteName) -> SealDecision {
        // The probe must be sent after the confirmation: if two sites confirm plans at the same time, at least one of
        // them then learns of the other's plan.
        let since = self.requests.plan_progress.plan.as_ref().map_or(step.now, |(_, since)| *since);
        let fresh = self.fresh_readiness(step.now, to).filter(|readiness| readiness.asked > since);
        let Some(readiness) = fresh.cloned() else {
            return SealDecision::Wait(format!("{to} does not answer"));
        };
        if let Some(other) = &readiness.plan {
            // Of two plans confirmed at the same time only one continues: the one that has begun, else the one with the
            // lower id.
            if !record.begun && (readiness.started || *other < record.plan.id) {
                return SealDecision::Abort(format!("plan {other} of the same service is at work at {to}"));
            }
            return SealDecision::Wait(format!("plan {other} of the same service is at work at {to}"));
        }
        if readiness.serving == 0 {
            return SealDecision::Wait(format!("no target takes calls at {to}"));
        }
        let settle = self.settings.timing.settle;
        if self.requests.plan_progress.step_done_at.is_some_and(|at| step.now.since(at) < settle) {
            return SealDecision::Wait("watching protected calls after the last step".into());
        }
        if readiness.protected_refusals == 0 || !self.settings.mechanisms.hold_on_refusals {
            self.requests.plan_progress.refused_since = None;
            return SealDecision::Open;
        }
        let since = *self.requests.plan_progress.refused_since.get_or_insert(step.now);
        let reason = format!("protected calls are refused at {to}");
        if step.now.since(since) >= self.settings.timing.hold {
            return SealDecision::Abort(reason);
        }
        SealDecision::Wait(reason)
    }

    fn undo_command(&mut self, record: &PlanRecord, reason: &str) -> Option<Command> {
        let id = &record.plan.id;
        let undone = note(id, Some(PlanState::Undone { reason: reason.to_owned() }), 0, "undone");
        match &record.plan.draft.intent {
            Intent::MoveShare { to, .. } => {
                if self.moved_slots(record).is_empty() {
                    return Some(undone);
                }
                self.wait(format!("slots come back from {to}"))
            }
            Intent::Retire { target } if self.state.retired.contains(target) => {
                Some(Command::SetRetired { target: *target, retired: false })
            }
            Intent::ChangeRetries { .. } => self.undo_retries(record).unwrap_or(Some(undone)),
            Intent::Retire { .. } | Intent::CancelPlan { .. } => Some(undone),
        }
    }

    /// The plan's slots that are sealed, at another site or not yet reopened here, each with its epoch.
    fn moved_slots(&self, record: &PlanRecord) -> Vec<(SlotId, quillhatch_types::Epoch)> {
        let moved = |slot: &SlotId| {
            let record = self.state.slot(*slot)?;
            let away = matches!(record.state, SlotState::Sealed { .. } | SlotState::Elsewhere { .. });
            (away || record.pending_import().is_some()).then_some((*slot, record.epoch))
        };
        let slots = record.plan.draft.steps.iter().flat_map(|step| match &step.action {
            StepAction::MoveSlots { slots, .. } => slots.as_slice(),
            _ => &[],
        });
        slots.filter_map(moved).collect()
    }

    /// `None` if all previous limits are restored; otherwise the next command, or `Some(None)` while another site must
    /// commit.
    fn undo_retries(&mut self, record: &PlanRecord) -> Option<Option<Command>> {
        let plan = record.plan.id.clone();
        let (site, wanted) =
            previous_limits(record).into_iter().find(|(site, wanted)| !self.has_limits(&plan, site, wanted))?;
        if site == *self.site() {
            return Some(Some(Command::SetRetries { plan, limits: wanted }));
        }
        Some(self.wait(format!("{site} has not agreed yet")))
    }

    /// Sends the messages of the active plan to other sites.
    pub(crate) fn send_for_plan(&mut self, step: &mut HostStep<'_>) {
        let Some(record) = self.state.active_plan().cloned() else {
            self.requests.plan_progress = PlanProgress::default();
            self.exports.clear_withdrawals();
            return;
        };
        let id = &record.plan.id;
        if self.requests.plan_progress.plan.as_ref().is_none_or(|(known, _)| known != id) {
            self.requests.plan_progress =
                PlanProgress { plan: Some((id.clone(), step.now)), ..PlanProgress::default() };
        }
        if let Intent::MoveShare { to, .. } = &record.plan.draft.intent {
            self.probe(step, to);
        }
        let due =
            self.requests.plan_progress.sent_at.is_none_or(|at| step.now.since(at) >= self.settings.timing.resend);
        if !due {
            return;
        }
        self.requests.plan_progress.sent_at = Some(step.now);
        match (&record.state, &record.plan.draft.intent) {
            (PlanState::Undoing { .. }, Intent::MoveShare { to, .. }) => self.request_slot_return(step, &record, to),
            (state, Intent::ChangeRetries { .. }) => {
                let undoing = matches!(state, PlanState::Undoing { .. });
                self.send_retries(step, &record, undoing);
            }
            _ => {}
        }
    }

    fn request_slot_return(&mut self, step: &mut HostStep<'_>, record: &PlanRecord, to: &SiteName) {
        let moved = self.moved_slots(record);
        let is_away = |slot: &SlotId| self.is_elsewhere(*slot, to);
        let (away, sealed): (Vec<_>, Vec<_>) = moved.into_iter().partition(|(slot, _)| is_away(slot));
        self.exports.withdraw(sealed.into_iter().map(|(slot, _)| slot));
        if !away.is_empty() {
            let back = GroupBody::ReturnSlots { to: self.site().clone(), slots: away };
            self.send_to_site(step, to, back);
        }
    }

    fn send_retries(&mut self, step: &mut HostStep<'_>, record: &PlanRecord, undoing: bool) {
        let wanted = if undoing { previous_limits(record) } else { planned_limits(record) };
        let plan = &record.plan.id;
        let missing = wanted.into_iter().find(|(site, limits)| !self.has_limits(plan, site, limits));
        let Some((site, limits)) = missing.filter(|(site, _)| site != self.site()) else {
            return;
        };
        self.send_to_site(step, &site, GroupBody::SetRetries { plan: plan.clone(), limits });
    }
}

fn limits(class: &ClassName, budget: u16, ratio_percent: u8) -> RetryLimits {
    RetryLimits { class: class.clone(), budget, ratio_percent }
}

fn planned_limits(record: &PlanRecord) -> Vec<(SiteName, RetryLimits)> {
    let planned = record.plan.draft.steps.iter().filter_map(|step| match &step.action {
        StepAction::SetRetries { site, class, budget, ratio, .. } => {
            Some((site.clone(), limits(class, *budget, *ratio)))
        }
        _ => None,
    });
    planned.collect()
}

fn previous_limits(record: &PlanRecord) -> Vec<(SiteName, RetryLimits)> {
    let previous = record.plan.draft.steps.iter().filter_map(|step| match &step.action {
        StepAction::SetRetries { site, class, previous_budget, previous_ratio, .. } => {
            Some((site.clone(), limits(class, *previous_budget, *previous_ratio)))
        }
        _ => None,
    });
    previous.collect()
}

fn note(plan: &PlanId, state: Option<PlanState>, steps_done: u32, what: &str) -> Command {
    Command::Progress(PlanNote { plan: plan.clone(), state, steps_done, begun: true, note: what.to_owned() })
}
