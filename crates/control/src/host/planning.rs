//! Makes a plan from an operator's intent: its steps, the expected load and the risks.

use std::collections::BTreeMap;

use quillhatch_types::{
    Configuration, Findings, NodeAddress, NodeId, ServiceConfiguration, SiteName, SlotId, SlotState,
};

use crate::host::{HostStep, ServiceHost};
use crate::io::LoadReport;
use crate::operator::{finding, ExpectedLoad, Intent, Plan, PlanDraft, PlanStep, StepAction};

/// The maximum number of slots that one step moves.
pub(crate) const MAX_SLOTS_PER_STEP: usize = 8;

/// The number of steps that a move is split into, unless the steps would exceed [`MAX_SLOTS_PER_STEP`] slots.
const STEPS_PER_MOVE: usize = 8;

/// Why no plan was made.
pub(crate) enum PlanningProblem {
    /// The other site has not yet reported its readiness.
    AwaitsReadiness(SiteName),
    /// The intent is refused.
    Refused(Findings),
}

fn refused(path: &str, problem: impl Into<String>, advice: impl Into<String>) -> PlanningProblem {
    PlanningProblem::Refused(Findings(vec![finding(path, problem, advice)]))
}

type PlanningResult<T> = Result<T, PlanningProblem>;

struct PlanParts {
    actions: Vec<StepAction>,
    loads: Vec<ExpectedLoad>,
    risks: Vec<String>,
    undo: String,
}

impl ServiceHost {
    pub(crate) fn make_plan(&self, step: &HostStep<'_>, intent: &Intent) -> PlanningResult<Plan> {
        if let Some(active) = self.state.active_plan() {
            let cancels = matches!(intent, Intent::CancelPlan { id } if *id == active.plan.id);
            if !cancels {
                let problem = format!("plan {} of the same service is at work", active.plan.id);
                return Err(refused("intent", problem, "wait until it is done, or cancel it"));
            }
        }
        let configuration: &Configuration = step.configuration;
        let Some(service) = configuration.services.get(&self.service) else {
            return Err(refused("intent.service", "the service is not configured", "check its name"));
        };
        let mut parts = match intent {
            Intent::MoveShare { to, percent, .. } => self.move_parts(step, service, to, *percent)?,
            Intent::Retire { target } => self.retire_parts(*target)?,
            Intent::ChangeRetries { class, budget, ratio, .. } => self.retry_parts(service, class, *budget, *ratio)?,
            Intent::CancelPlan { id } => self.cancel_parts(id)?,
        };
        parts.risks.extend(load_risks(&parts.loads));
        Ok(self.draft(intent, parts).seal())
    }

    fn draft(&self, intent: &Intent, parts: PlanParts) -> PlanDraft {
        let numbered = parts.actions.into_iter().zip(1..).map(|(action, number)| PlanStep { number, action });
        PlanDraft {
            intent: intent.clone(),
            service: self.service.clone(),
            site: self.site().clone(),
            basis: self.state.basis(),
            steps: numbered.collect(),
            loads: parts.loads,
            risks: parts.risks,
            undo: parts.undo,
        }
    }

    fn move_parts(
        &self,
        step: &HostStep<'_>,
        service: &ServiceConfiguration,
        to: &SiteName,
        percent: u32,
    ) -> PlanningResult<PlanParts> {
        let slot_count = service.slot_count as usize;
        let wanted = (slot_count * percent as usize + 50) / 100;
        let owned = self.slots_by_owner();
        let held: usize = owned.values().map(Vec::len).sum();
        if wanted == 0 {
            return Err(refused("intent.percent", "the share is less than one slot", "move a larger share"));
        }
        if wanted > held {
            let problem = format!("{wanted} slots would move, but {} owns {held} of {slot_count}", self.site());
            return Err(refused("intent.percent", problem, "move a smaller share"));
        }
        let Some(readiness) = self.fresh_readiness(step.now, to) else {
            return Err(PlanningProblem::AwaitsReadiness(to.clone()));
        };
        if readiness.serving == 0 {
            let problem = format!("no target of the service takes calls at {to}");
            return Err(refused("intent.to", problem, "start targets there first"));
        }
        let slots = choose_slots(owned, wanted);
        let size = wanted.div_ceil(STEPS_PER_MOVE).clamp(1, MAX_SLOTS_PER_STEP);
        let batch = |slots: &[SlotId]| StepAction::MoveSlots { slots: slots.to_vec(), to: to.clone() };
        let share = wanted as f64 / held as f64;
        let mut loads = self.loads_with(|running| f64::from(running) * (1.0 - share));
        let moved: f64 = loads.iter().filter_map(|load| load.running).map(|running| f64::from(running) * share).sum();
        loads.extend(arriving_loads(to, &readiness.loads, moved));
        Ok(PlanParts {
            actions: slots.chunks(size).map(batch).collect(),
            loads,
            risks: vec![
                "keyed calls of the slots of a step wait briefly, and may be refused as not-run, while it runs".into(),
                format!("while the link to {to} is cut, slots already sealed stay closed"),
            ],
            undo: format!("cancel the plan: slots already moved are moved back from {to} in the same way"),
        })
    }

    fn slots_by_owner(&self) -> BTreeMap<NodeId, Vec<SlotId>> {
        let mut owned: BTreeMap<NodeId, Vec<SlotId>> = BTreeMap::new();
        for (slot, record) in self.state.numbered_slots() {
            if let SlotState::Owned { owner } = &record.state {
                owned.entry(*owner).or_default().push(slot);
            }
        }
        owned
    }

    fn loads_with(&self, expected: impl Fn(u32) -> f64) -> Vec<ExpectedLoad> {
        let gates = self.state.serving_gates();
        gates
            .map(|gate| {
                let load = self.gates.load(gate.node);
                ExpectedLoad {
                    site: self.site().clone(),
                    target: gate.node.address,
                    running: load.map(|load| load.running),
                    expected: load.map(|load| expected(load.running).ceil() as u32),
                    limit: load.map(|load| load.limit),
                }
            })
            .collect()
    }

    fn retire_parts(&self, target: NodeAddress) -> PlanningResult<PlanParts> {
        let serving: Vec<NodeAddress> = self.state.serving_gates().map(|gate| gate.node.address).collect();
        if !serving.contains(&target) {
            let problem = format!("{target} takes no calls of {} at {}", self.service, self.site());
            return Err(refused("intent.target", problem, "check the address with `status`"));
        }
        if serving.len() == 1 {
            let problem = format!("{target} is the last target of {} at {}", self.service, self.site());
            return Err(refused("intent.target", problem, "move the service's share to another site first"));
        }
        let retired_load = self.loads_with(f64::from).into_iter().find(|load| load.target == target);
        let moved = retired_load.and_then(|load| load.running).map_or(0.0, f64::from);
        let extra = moved / (serving.len() - 1) as f64;
        let mut loads = self.loads_with(|running| f64::from(running) + extra);
        for load in loads.iter_mut().filter(|load| load.target == target) {
            load.expected = load.running.map(|_| 0);
        }
        Ok(PlanParts {
            actions: vec![
                StepAction::CloseGate { target },
                StepAction::HandSlotsOn { target },
                StepAction::RemoveGate { target },
            ],
            loads,
            risks: vec!["running calls of the target end by themselves; a long download delays the last step".into()],
            undo: "cancel the plan: the target takes calls again".into(),
        })
    }

    fn retry_parts(
        &self,
        service: &ServiceConfiguration,
        class: &quillhatch_types::ClassName,
        budget: u16,
        ratio: u8,
    ) -> PlanningResult<PlanParts> {
        let Some(configured) = service.class(class) else {
            let problem = format!("the service has no class {class}");
            return Err(refused("intent.class", problem, "check the class with the configuration"));
        };
        let before = self.state.retries.get(class);
        let previous_budget = before.map_or(configured.retry_budget, |limits| limits.budget);
        let previous_ratio = before.map_or(configured.retry_ratio_percent, |limits| limits.ratio_percent);
        let sites: std::collections::BTreeSet<&SiteName> = service.targets.iter().map(|target| &target.site).collect();
        let set = |site: &SiteName| StepAction::SetRetries {
            site: site.clone(),
            class: class.clone(),
            budget,
            ratio,
            previous_budget,
            previous_ratio,
        };
        Ok(PlanParts {
            actions: sites.into_iter().map(set).collect(),
            loads: self.loads_with(f64::from),
            risks: vec!["a larger budget lets more retries reach targets that are overloaded already".into()],
            undo: format!("cancel the plan: budget {previous_budget}, ratio {previous_ratio} percent again"),
        })
    }

    fn cancel_parts(&self, id: &quillhatch_types::PlanId) -> PlanningResult<PlanParts> {
        let Some(record) = self.state.plan(id) else {
            return Err(refused("intent.id", format!("no confirmed plan {id} is known"), "list them with `plans`"));
        };
        if !matches!(record.state, crate::operator::PlanState::Running | crate::operator::PlanState::Done) {
            return Err(refused("intent.id", format!("plan {id} is {}", record.state), "nothing is left to cancel"));
        }
        Ok(PlanParts {
            actions: vec![StepAction::UndoPlan { plan: id.clone() }],
            loads: self.loads_with(f64::from),
            risks: record.plan.draft.risks.clone(),
            undo: "make the plan that was cancelled once more".into(),
        })
    }
}

/// Selects each slot from the owner with the most remaining slots, so that the remaining slots stay balanced.
fn choose_slots(mut owned: BTreeMap<NodeId, Vec<SlotId>>, count: usize) -> Vec<SlotId> {
    let mut chosen = Vec::with_capacity(count);
    while chosen.len() < count {
        let fullest = owned.values_mut().max_by_key(|slots| slots.len());
        let Some(slot) = fullest.and_then(Vec::pop) else {
            break;
        };
        chosen.push(slot);
    }
    chosen
}

fn arriving_loads(site: &SiteName, loads: &[(NodeAddress, LoadReport)], moved: f64) -> Vec<ExpectedLoad> {
    let each = moved / loads.len().max(1) as f64;
    let expected = |(address, load): &(NodeAddress, LoadReport)| ExpectedLoad {
        site: site.clone(),
        target: *address,
        running: Some(load.running),
        expected: Some((f64::from(load.running) + each).ceil() as u32),
        limit: Some(load.limit),
    };
    loads.iter().map(expected).collect()
}

fn load_risks(loads: &[ExpectedLoad]) -> Vec<String> {
    let above = loads.iter().filter(|load| load.exceeds_limit());
    let mut risks: Vec<String> = above
        .map(|load| format!("the expected load of {} at {} is above its measured limit", load.target, load.site))
        .collect();
    let unmeasured = loads.iter().filter(|load| load.limit.is_none());
    risks.extend(unmeasured.map(|load| format!("the load of {} at {} is not measured yet", load.target, load.site)));
    risks
}
