//! Proposes commands to the group and handles their commit.

use std::time::Duration;

use quillhatch_group::{GroupInput, ProposalResult};
use quillhatch_types::{PlanId, Timestamp};

use crate::host::{HostStep, Requester, ServiceHost};
use crate::io::ControlEvent;
use crate::operator::OperatorReply;
use crate::state::{Command, Rejection, ServiceState, MAX_HISTORY_ENTRIES};

/// How long a leader waits before it proposes a rejected command again.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A proposed command that is not yet committed.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub ticket: u64,
    pub log_position: Option<(u64, u64)>,
    pub command: Command,
    pub requesters: Vec<Requester>,
}

impl ServiceHost {
    pub(super) fn abandon_pending(&mut self, step: &mut HostStep<'_>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let problem = "the group lost its majority before it could agree; ask `plans` once it has one again";
        for requester in pending.requesters {
            self.reply(step, requester, OperatorReply::Undecided { problem: problem.to_owned() });
        }
    }

    pub(super) fn on_snapshot(&mut self, step: &mut HostStep<'_>, index: u64, bytes: &[u8]) {
        let decoded = ServiceState::decode(bytes, self.service.clone(), self.site().clone(), self.settings.mechanisms);
        // The bytes come from a member of the same group. If they cannot be decoded, this node keeps its present state.
        let Ok(state) = decoded else {
            return;
        };
        self.state = state;
        self.committed_index = index;
        self.lost_since = self.state.claims_lost.then_some(step.now);
        self.publish_table(step);
    }

    pub(super) fn provide_snapshot(&mut self, step: &mut HostStep<'_>) {
        let input = GroupInput::Snapshot { index: self.committed_index, bytes: self.state.encode() };
        self.step_group(step, input);
    }

    pub(super) fn on_committed(&mut self, step: &mut HostStep<'_>, index: u64, term: u64, bytes: &[u8]) {
        self.committed_index = index;
        let epoch = self.state.epoch();
        let sequence = self.state.next_sequence;
        let result = Command::decode(bytes).map_err(|_| Rejection::MovedOn).and_then(|command| {
            self.state.apply(&command)?;
            Ok(command)
        });
        self.applied_at.insert(sequence, step.now);
        self.applied_at.retain(|known, _| known + MAX_HISTORY_ENTRIES as u64 > sequence);
        if let Ok(command) = &result {
            self.on_applied(step, command);
        }
        if self.state.epoch() != epoch {
            self.publish_table(step);
        }
        let is_own_proposal = self.pending.as_ref().is_some_and(|pending| pending.log_position == Some((index, term)));
        if is_own_proposal {
            self.on_pending_done(step, result.err());
        }
    }

    pub(super) fn on_applied(&mut self, step: &mut HostStep<'_>, command: &Command) {
        match command {
            Command::Found { claims_lost, .. } => {
                self.lost_since = claims_lost.then_some(step.now);
                let event = ControlEvent::GroupFormed {
                    service: self.service.clone(),
                    site: self.site().clone(),
                    claims_lost: *claims_lost,
                };
                self.event(step, event);
            }
            Command::SetRevision(revision) => {
                let same = step.configuration.revision == *revision;
                self.committed_service = step.configuration.services.get(&self.service).filter(|_| same).cloned();
            }
            Command::Confirm(plan) => self.plan_event(step, &plan.id, "confirmed".to_owned()),
            Command::Progress(note) => self.plan_event(step, &note.plan, note.note.clone()),
            _ => {}
        }
    }

    pub(super) fn plan_event(&self, step: &mut HostStep<'_>, plan: &PlanId, state: String) {
        self.event(step, ControlEvent::Plan { service: self.service.clone(), plan: plan.clone(), state });
    }

    pub(super) fn propose(&mut self, step: &mut HostStep<'_>, command: Command, requesters: Vec<Requester>) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let bytes = command.encode();
        self.pending = Some(Pending { ticket, log_position: None, command, requesters });
        self.step_group(step, GroupInput::Propose { ticket, command: bytes });
    }

    pub(super) fn on_proposed(&mut self, step: &mut HostStep<'_>, ticket: u64, result: ProposalResult) {
        self.voters.on_proposed(ticket);
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.ticket == ticket) else {
            return;
        };
        match result {
            ProposalResult::Accepted { index, term } => {
                pending.log_position = Some((index, term));
            }
            ProposalResult::Refused(refusal) => {
                self.proposals_refused += 1;
                let requesters = self.pending.take().map(|pending| pending.requesters).unwrap_or_default();
                let advice = "ask again in a moment";
                for requester in requesters {
                    self.reply(step, requester, OperatorReply::refused("group", refusal.to_string(), advice));
                }
            }
        }
    }

    pub(super) fn on_pending_done(&mut self, step: &mut HostStep<'_>, rejection: Option<Rejection>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if rejection.is_some() {
            self.rejected = Some((pending.command.clone(), step.now));
        }
        for requester in pending.requesters {
            let reply = self.reply_to_command(&pending.command, rejection.as_ref());
            self.reply(step, requester, reply);
        }
    }

    /// Whether the state rejected `command` recently. Prevents a task that retries it from keeping the group busy.
    pub(super) fn was_just_rejected(&self, now: Timestamp, command: &Command) -> bool {
        let recent =
            |(rejected, at): &(Command, Timestamp)| rejected == command && now.since(*at) < REJECTED_RETRY_DELAY;
        self.rejected.as_ref().is_some_and(recent)
    }
}
