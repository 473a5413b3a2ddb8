//! What operators ask of a node and what it answers; the same types travel as JSON between command line and node.

mod plan;
mod render;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use quillhatch_types::{
    CallId, ClassName, Configuration, Epoch, Finding, Findings, Generation, NodeAddress, NodeId, PlanId, Refusal,
    Revision, ServiceName, Severity, SiteName, SourceLocation,
};
use serde::{Deserialize, Serialize};

pub use plan::{group_prefix, ExpectedLoad, Plan, PlanBasis, PlanDraft, PlanStep, StepAction};

/// What an operator wants to be so.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "intent")]
pub enum Intent {
    /// Move a share of a service's slots, and with them its calls, to another site.
    MoveShare {
        /// The service.
        service: ServiceName,
        /// The site that gives slots away.
        from: SiteName,
        /// The site that takes them.
        to: SiteName,
        /// The share of all slots of the service that moves, in percent.
        percent: u32,
    },
    /// Take a target out of use: no new call, then no slots, then removed.
    Retire {
        /// The peer address of the target's node.
        target: NodeAddress,
    },
    /// Change how hard a class of calls may be retried.
    ChangeRetries {
        /// The service.
        service: ServiceName,
        /// The class.
        class: ClassName,
        /// Retry tokens that the first edge gives a root call.
        budget: u16,
        /// The largest share of retries in first tries, in percent.
        ratio: u8,
    },
    /// Stop a confirmed plan and undo what it did.
    CancelPlan {
        /// The plan.
        id: PlanId,
    },
}

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "request")]
pub enum OperatorRequest {
    /// Say what would be done; changes nothing.
    Plan {
        /// The intent.
        intent: Intent,
    },
    /// Do what a plan says.
    Confirm {
        /// The plan.
        plan: PlanId,
    },
    /// Drop a plan; a confirmed one is stopped and undone.
    Cancel {
        /// The plan.
        plan: PlanId,
    },
    /// List the plans of the services whose group this node is in.
    Plans,
    /// Say what is in force at this node.
    Status {
        /// Answer with a configuration document that holds what is in force.
        export: bool,
    },
    /// Say what a plan did, when and why, or why this node refused a call.
    Explain {
        /// The plan's id, or the call's.
        id: String,
    },
    /// Take keyed calls again although claims were lost: a key used before the loss may run twice.
    AcceptLoss {
        /// The service.
        service: ServiceName,
    },
}

/// What became of a plan.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum PlanState {
    /// Not confirmed; nothing was changed.
    #[display("not confirmed")]
    Proposed,
    /// At work on a step.
    #[display("running")]
    Running,
    /// Undoing what it did.
    #[display("undoing: {reason}")]
    Undoing {
        /// Why.
        reason: String,
    },
    /// Every step is done.
    #[display("done")]
    Done,
    /// What it did is undone.
    #[display("undone: {reason}")]
    Undone {
        /// Why.
        reason: String,
    },
}

impl PlanState {
    /// Whether the plan still changes something.
    pub fn is_active(&self) -> bool {
        matches!(self, PlanState::Running | PlanState::Undoing { .. })
    }
}

/// One line of the list of plans.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanSummary {
    /// The plan.
    pub id: PlanId,
    /// The service.
    pub service: ServiceName,
    /// The site whose group runs it.
    pub site: SiteName,
    /// What it is for.
    pub intent: Intent,
    /// What became of it.
    pub state: PlanState,
    /// Steps done.
    pub steps_done: u32,
    /// Steps in all.
    pub steps: u32,
    /// Why it waits at present, if it does.
    pub waiting_for: Option<String>,
}

/// Something that a plan did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The place in the history of the service's group.
    pub sequence: u64,
    /// The plan, if it was one.
    pub plan: Option<PlanId>,
    /// What happened and why.
    pub what: String,
    /// How long ago this node learned of it; absent if it came with a snapshot.
    pub age: Option<Duration>,
}

/// How many slots are in which state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCounts {
    /// Slots by owner.
    pub owned: BTreeMap<NodeAddress, u32>,
    /// Slots on their way to another site.
    pub sealed: u32,
    /// Slots of other sites.
    pub elsewhere: u32,
    /// Slots of this site without an owner.
    pub vacant: u32,
}

/// A group that the node is a member of, or whose table it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceName,
    /// The site.
    pub site: SiteName,
    /// How often the group was formed.
    pub generation: Generation,
    /// The epoch of the table.
    pub epoch: Epoch,
    /// The leader, as far as this node knows.
    pub leader: Option<NodeId>,
    /// The voters.
    pub voters: Vec<NodeId>,
    /// Gates that take calls.
    pub serving: Vec<NodeAddress>,
    /// Gates that take no new call.
    pub draining: Vec<NodeAddress>,
    /// The slots.
    pub slots: SlotCounts,
    /// Whether keyed calls are refused because claims were lost.
    pub claims_lost: bool,
}

/// What is in force at a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The node.
    pub node: NodeId,
    /// Its site.
    pub site: SiteName,
    /// Whether it is ready to take calls.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The configuration in force; absent before the first.
    pub revision: Option<Revision>,
    /// The groups and tables that it knows.
    pub services: Vec<ServiceStatus>,
}

/// The answer to an [`OperatorRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum OperatorReply {
    /// What would be done.
    Planned {
        /// The plan.
        plan: Box<Plan>,
    },
    /// The plan is agreed and at work.
    Confirmed {
        /// The plan.
        plan: PlanId,
        /// Whether it was confirmed before.
        already: bool,
    },
    /// The plan is dropped, or is being undone.
    Cancelled {
        /// The plan.
        plan: PlanId,
        /// Whether something is left to undo.
        undoing: bool,
    },
    /// The plans.
    Plans {
        /// One line each.
        plans: Vec<PlanSummary>,
    },
    /// What is in force.
    Status {
        /// The report.
        report: Box<StatusReport>,
    },
    /// A configuration document that holds what is in force.
    Export {
        /// The configuration, to be put into the platform's store under a higher revision.
        configuration: Box<Configuration>,
    },
    /// What a plan did.
    Explained {
        /// The plan as it stands.
        plan: Box<PlanSummary>,
        /// In order.
        history: Vec<HistoryEntry>,
    },
    /// Why a call was refused at this node.
    RefusalExplained {
        /// The call.
        call: CallId,
        /// What the caller was told.
        refusal: Refusal,
        /// How long ago.
        age: Duration,
    },
    /// Keyed calls are taken again.
    LossAccepted {
        /// The service.
        service: ServiceName,
    },
    /// Nobody can say yet whether the request was agreed; asking again is harmless.
    Undecided {
        /// What is known, and what to do.
        problem: String,
    },
    /// Nothing was changed.
    Refused {
        /// Why, and what to do.
        findings: Findings,
    },
}

impl OperatorReply {
    /// A refusal with one finding.
    pub fn refused(path: &str, problem: impl Into<String>, advice: impl Into<String>) -> Self {
        OperatorReply::Refused { findings: Findings(vec![finding(path, problem, advice)]) }
    }
}

/// A finding about an operator's request; `path` names the part of the request.
pub fn finding(path: &str, problem: impl Into<String>, advice: impl Into<String>) -> Finding {
    Finding {
        place: SourceLocation { source: "request".to_owned(), line: 0, column: 0, path: path.to_owned() },
        severity: Severity::Error,
        problem: problem.into(),
        advice: advice.into(),
    }
}
