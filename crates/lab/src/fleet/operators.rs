//! Asks nodes as an operator does, over their operator listener.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error, From};
use quillhatch_control::operator::{Intent, OperatorReply, OperatorRequest, Plan, PlanState, PlanSummary};
use quillhatch_types::PlanId;

/// The pause between two looks at a plan.
const PLAN_PAUSE: Duration = Duration::from_millis(100);

/// Why an operator did not get what was asked for.
#[derive(Debug, Display, Error, From)]
pub enum OperatorError {
    /// The node could not be asked.
    Client(reqwest::Error),
    /// The node answered something else.
    #[display("the node answered {reply}")]
    #[from(ignore)]
    Unexpected {
        /// The reply.
        reply: String,
    },
    /// The plan did not come to its end in time.
    #[display("the plan was not done within {within:?}: {state}")]
    #[from(ignore)]
    NotDone {
        /// The time given to it.
        within: Duration,
        /// What it was doing.
        state: String,
    },
}

/// An operator at one node.
pub struct Operator {
    client: reqwest::Client,
    node: SocketAddr,
}

impl Operator {
    /// An operator that talks to the operator listener `node`.
    pub fn new(node: SocketAddr) -> Self {
        Operator { client: reqwest::Client::new(), node }
    }

    async fn ask(&self, request: OperatorRequest) -> Result<OperatorReply, OperatorError> {
        let url = format!("http://{}/operator", self.node);
        Ok(self.client.post(url).json(&request).send().await?.json().await?)
    }

    /// Asks for a plan; nothing changes.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn plan(&self, intent: Intent) -> Result<Plan, OperatorError> {
        match self.ask(OperatorRequest::Plan { intent }).await? {
            OperatorReply::Planned { plan } => Ok(*plan),
            other => Err(unexpected(&other)),
        }
    }

    /// Confirms a plan.
    ///
    /// # Errors
    ///
    /// Returns why it was not agreed.
    pub async fn confirm(&self, plan: &PlanId) -> Result<(), OperatorError> {
        match self.ask(OperatorRequest::Confirm { plan: plan.clone() }).await? {
            OperatorReply::Confirmed { .. } => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    /// Waits until a plan is done.
    ///
    /// # Errors
    ///
    /// Returns an error if the plan was undone or takes longer than `within`.
    pub async fn wait_until_done(&self, plan: &PlanId, within: Duration) -> Result<PlanSummary, OperatorError> {
        let end = tokio::time::Instant::now() + within;
        loop {
            let summary = self.plan_summary(plan).await?;
            match &summary.state {
                PlanState::Done => return Ok(summary),
                PlanState::Undone { .. } => return Err(OperatorError::Unexpected { reply: summary.state.to_string() }),
                state if tokio::time::Instant::now() >= end => {
                    let waiting = summary.waiting_for.as_deref().unwrap_or("nothing");
                    let steps = format!("{} of {} steps", summary.steps_done, summary.steps);
                    let state = format!("{state}, {steps}, waiting for {waiting}");
                    return Err(OperatorError::NotDone { within, state });
                }
                _ => tokio::time::sleep(PLAN_PAUSE).await,
            }
        }
    }

    async fn plan_summary(&self, plan: &PlanId) -> Result<PlanSummary, OperatorError> {
        match self.ask(OperatorRequest::Explain { id: plan.to_string() }).await? {
            OperatorReply::Explained { plan, .. } => Ok(*plan),
            other => Err(unexpected(&other)),
        }
    }
}

fn unexpected(reply: &OperatorReply) -> OperatorError {
    let reply = serde_json::to_string(reply).unwrap_or_else(|_| format!("{reply:?}"));
    OperatorError::Unexpected { reply }
}
