//! Confirms plans and records their progress.

use quillhatch_types::PlanId;

use crate::operator::{Plan, PlanBasis, PlanState};
use crate::state::{PlanNote, PlanRecord, Rejection, RetryLimits, ServiceState, MAX_FINISHED_PLANS};

impl ServiceState {
    /// The generation, epoch and revision that a plan made now is based on.
    pub fn basis(&self) -> PlanBasis {
        PlanBasis { generation: self.generation, epoch: self.epoch, revision: self.revision }
    }

    /// Checks whether `plan` can be confirmed in the current state.
    ///
    /// # Errors
    ///
    /// Returns why the plan cannot be confirmed.
    pub fn check_confirmation(&self, plan: &Plan) -> Result<(), Rejection> {
        if self.plans.contains_key(&plan.id) {
            return Err(Rejection::AlreadyConfirmed);
        }
        let cancels = plan.cancelled_plan();
        if let Some(active) = self.active_plan().filter(|active| Some(&active.plan.id) != cancels) {
            return Err(Rejection::OtherPlan { plan: active.plan.id.clone() });
        }
        let (planned, current) = (plan.draft.basis, self.basis());
        // The basis of a cancellation is not compared: the steps of the plan that it cancels keep changing the epoch.
        let checked = self.mechanisms.confirm_checks_base && cancels.is_none();
        if checked && planned != current {
            return Err(Rejection::BasisChanged { planned: planned.to_string(), current: current.to_string() });
        }
        Ok(())
    }

    pub(crate) fn confirm(&mut self, plan: &Plan) -> Result<(), Rejection> {
        self.check_confirmation(plan)?;
        let order = self.next_sequence;
        self.record(Some(plan.id.clone()), format!("confirmed: {}", plan.draft.intent));
        // A cancellation is done as soon as it is confirmed: the plan that it cancels is being undone from here on.
        let state = match plan.cancelled_plan() {
            Some(cancelled) => {
                self.begin_undo(cancelled, "cancelled by an operator")?;
                PlanState::Done
            }
            None => PlanState::Running,
        };
        let steps_done = if state == PlanState::Done { plan.draft.steps.len() as u32 } else { 0 };
        let record = PlanRecord { plan: plan.clone(), state, steps_done, begun: false, order };
        self.plans.insert(plan.id.clone(), record);
        self.drop_oldest_finished_plans();
        Ok(())
    }

    fn begin_undo(&mut self, id: &PlanId, reason: &str) -> Result<(), Rejection> {
        let record = self.plans.get_mut(id).ok_or(Rejection::MovedOn)?;
        if matches!(record.state, PlanState::Undoing { .. } | PlanState::Undone { .. }) {
            return Err(Rejection::MovedOn);
        }
        record.state = PlanState::Undoing { reason: reason.to_owned() };
        self.record(Some(id.clone()), format!("undo begins: {reason}"));
        Ok(())
    }

    pub(crate) fn progress(&mut self, note: &PlanNote) -> Result<(), Rejection> {
        let active = self.active_plan().map(|record| record.plan.id.clone());
        let record = self.plans.get_mut(&note.plan).ok_or(Rejection::MovedOn)?;
        if !is_valid_transition(&record.state, note.state.as_ref(), active.is_none()) {
            return Err(Rejection::MovedOn);
        }
        record.steps_done = record.steps_done.max(note.steps_done);
        record.begun |= note.begun;
        if let Some(state) = &note.state {
            record.state = state.clone();
        }
        if !note.note.is_empty() {
            self.record(Some(note.plan.clone()), note.note.clone());
        }
        Ok(())
    }

    pub(crate) fn set_retries(&mut self, plan: &PlanId, limits: &RetryLimits) -> Result<(), Rejection> {
        if self.retries.get(&limits.class) == Some(limits) {
            return Err(Rejection::MovedOn);
        }
        self.retries.insert(limits.class.clone(), limits.clone());
        // Edges receive the limits with the routing table, so the table needs a newer epoch.
        self.advance_epoch();
        let what = format!("retries of {}: budget {}, ratio {}", limits.class, limits.budget, limits.ratio_percent);
        self.record(Some(plan.clone()), what);
        Ok(())
    }

    fn drop_oldest_finished_plans(&mut self) {
        let finished = |record: &&PlanRecord| !record.state.is_active();
        while self.plans.values().filter(finished).count() > MAX_FINISHED_PLANS {
            let oldest = self.plans.values().filter(finished).min_by_key(|record| record.order);
            let Some(id) = oldest.map(|record| record.plan.id.clone()) else {
                return;
            };
            self.plans.remove(&id);
        }
    }
}

// A progress note that a former leader proposed may be applied after the plan was cancelled. It must not reactivate the
// plan.
fn is_valid_transition(from: &PlanState, to: Option<&PlanState>, none_active: bool) -> bool {
    match (from, to) {
        (PlanState::Running, _) => true,
        (PlanState::Undoing { .. }, Some(PlanState::Undone { .. }) | None) => true,
        (PlanState::Done, Some(PlanState::Undoing { .. })) => none_active,
        _ => false,
    }
}
