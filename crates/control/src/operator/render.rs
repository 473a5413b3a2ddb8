//! Plans, lists and status as text for a terminal.

use std::fmt::{Display, Formatter, Result};

use crate::operator::{
    ExpectedLoad, HistoryEntry, Intent, OperatorReply, Plan, PlanSummary, ServiceStatus, StatusReport,
};

impl Display for Intent {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        match self {
            Intent::MoveShare { service, from, to, percent } => {
                write!(formatter, "move {percent} percent of {service} from {from} to {to}")
            }
            Intent::Retire { target } => write!(formatter, "retire {target}"),
            Intent::ChangeRetries { service, class, budget, ratio } => {
                write!(formatter, "retries of {service}/{class}: budget {budget}, ratio {ratio} percent")
            }
            Intent::CancelPlan { id } => write!(formatter, "cancel plan {id}"),
        }
    }
}

fn measured(value: Option<u32>) -> String {
    value.map_or_else(|| "not measured".to_owned(), |number| number.to_string())
}

impl Display for ExpectedLoad {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let (now, expected, limit) = (measured(self.running), measured(self.expected), measured(self.limit));
        let warning = if self.exceeds_limit() { "  ABOVE ITS LIMIT" } else { "" };
        write!(formatter, "{} {}: now {now}, expected {expected}, limit {limit}{warning}", self.site, self.target)
    }
}

impl Display for Plan {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let draft = &self.draft;
        writeln!(formatter, "plan {}", self.id)?;
        writeln!(formatter, "{}", draft.intent)?;
        writeln!(formatter, "run by the group of {} at {}, based on {}", draft.service, draft.site, draft.basis)?;
        writeln!(formatter, "steps:")?;
        for step in &draft.steps {
            writeln!(formatter, "  {step}")?;
        }
        writeln!(formatter, "expected load (calls running):")?;
        for load in &draft.loads {
            writeln!(formatter, "  {load}")?;
        }
        writeln!(formatter, "risks:")?;
        for risk in &draft.risks {
            writeln!(formatter, "  - {risk}")?;
        }
        writeln!(formatter, "undo: {}", draft.undo)?;
        write!(formatter, "nothing has changed; confirm {} to begin", self.id)
    }
}

impl Display for PlanSummary {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let (done, all) = (self.steps_done, self.steps);
        write!(formatter, "{}  {}  {} ({done} of {all} steps)", self.id, self.intent, self.state)?;
        match &self.waiting_for {
            Some(reason) => write!(formatter, ", waiting: {reason}"),
            None => Ok(()),
        }
    }
}

impl Display for HistoryEntry {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        match self.age {
            Some(age) => write!(formatter, "{} s ago: {}", age.as_secs(), self.what),
            None => write!(formatter, "before this node joined: {}", self.what),
        }
    }
}

impl Display for ServiceStatus {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let leader = self.leader.map_or_else(|| "unknown".to_owned(), |node| node.address.to_string());
        let owned: u32 = self.slots.owned.values().sum();
        write!(formatter, "{} at {}: generation {}, epoch {}, ", self.service, self.site, self.generation, self.epoch)?;
        write!(formatter, "leader {leader}, {} voters, ", self.voters.len())?;
        write!(formatter, "{} gates serving, {} draining, ", self.serving.len(), self.draining.len())?;
        let slots = &self.slots;
        write!(formatter, "slots: {owned} owned, {} sealed, ", slots.sealed)?;
        write!(formatter, "{} elsewhere, {} vacant", slots.elsewhere, slots.vacant)?;
        if self.claims_lost {
            write!(formatter, "; CLAIMS LOST: calls with a caller's key are refused")?;
        }
        Ok(())
    }
}

impl Display for StatusReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let revision = self.revision.map_or_else(|| "none".to_owned(), |revision| revision.to_string());
        writeln!(formatter, "node {} at {}, configuration revision {revision}", self.node, self.site)?;
        write!(formatter, "ready: {}, stopping: {}", self.ready, self.stopping)?;
        for service in &self.services {
            write!(formatter, "\n{service}")?;
        }
        Ok(())
    }
}

fn write_lines<T: Display>(formatter: &mut Formatter<'_>, lines: &[T]) -> Result {
    for line in lines {
        writeln!(formatter, "{line}")?;
    }
    Ok(())
}

impl Display for OperatorReply {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        match self {
            OperatorReply::Planned { plan } => write!(formatter, "{plan}"),
            OperatorReply::Confirmed { plan, already: false } => write!(formatter, "plan {plan} is confirmed"),
            OperatorReply::Confirmed { plan, already: true } => write!(formatter, "plan {plan} was confirmed before"),
            OperatorReply::Cancelled { plan, undoing: true } => write!(formatter, "plan {plan} is being undone"),
            OperatorReply::Cancelled { plan, undoing: false } => write!(formatter, "plan {plan} is dropped"),
            OperatorReply::Plans { plans } => write_lines(formatter, plans),
            OperatorReply::Status { report } => write!(formatter, "{report}"),
            OperatorReply::Export { configuration } => {
                write!(formatter, "{}", serde_json::to_string_pretty(configuration).unwrap_or_default())
            }
            OperatorReply::Explained { plan, history } => {
                writeln!(formatter, "{plan}")?;
                write_lines(formatter, history)
            }
            OperatorReply::RefusalExplained { call, refusal, age } => {
                write!(formatter, "call {call} was refused {} ms ago: {refusal}", age.as_millis())
            }
            OperatorReply::LossAccepted { service } => write!(formatter, "keyed calls of {service} are taken again"),
            OperatorReply::Undecided { problem } => write!(formatter, "not decided: {problem}"),
            OperatorReply::Refused { findings } => write!(formatter, "refused, nothing changed:\n{findings}"),
        }
    }
}
