//! Routing of the outputs of the edge, the gate and the claim owner.

use quillhatch_calls::edge::{Answer, EdgeInput, EdgeOutput};
use quillhatch_calls::gate::{AnswerEnd, ClaimResolution, GateInput, GateOutput};
use quillhatch_claims::{encode_claims, ClaimDecision, OwnerInput, OwnerOutput};
use quillhatch_control::io::{EncodedClaim, LoadReport};
use quillhatch_control::operator::{OperatorReply, OperatorRequest};
use quillhatch_control::ControlInput;
use quillhatch_types::{CallId, Outcome, Priority, Refusal, RefusalReason, Timestamp};

use crate::inbox::Inbox;
use crate::io::NodeOutput;
use crate::node::{GatePart, LoadCounts, Node, LOAD_REPORT_INTERVAL};
use crate::refusals::RefusalEntry;

impl Node {
    pub(crate) fn step_edge(
        &mut self,
        now: Timestamp,
        input: EdgeInput,
        inbox: &mut Inbox,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let mut edge_outputs = Vec::new();
        self.edge.step(now, input, &mut edge_outputs);
        for output in edge_outputs {
            match output {
                EdgeOutput::ReturnTokens { parent, tokens } => {
                    if let Some(part) = &mut self.gate {
                        part.gate.return_tokens(parent, tokens);
                    }
                }
                EdgeOutput::FetchTable { service, site } => inbox.push(ControlInput::FetchTable { service, site }),
                output => {
                    self.record_refusal(now, &output);
                    outputs.push(NodeOutput::Edge(output));
                }
            }
        }
    }

    fn record_refusal(&mut self, now: Timestamp, output: &EdgeOutput) {
        if let EdgeOutput::Finish { call, answer: Answer::Refuse(refusal) } = output {
            self.refusals.push(RefusalEntry { call: *call, at: now, refusal: *refusal });
        }
    }

    /// The reply to a request to explain a refusal, if the refusal of the call it names is retained.
    pub(crate) fn explain_refusal(&self, now: Timestamp, request: &OperatorRequest) -> Option<OperatorReply> {
        let OperatorRequest::Explain { id } = request else { return None };
        let call = CallId(u128::from_str_radix(id, 16).ok()?);
        let entry = self.refusals.find(call)?;
        Some(OperatorReply::RefusalExplained { call, refusal: entry.refusal, age: now.since(entry.at) })
    }

    pub(crate) fn step_gate(
        &mut self,
        now: Timestamp,
        input: GateInput,
        inbox: &mut Inbox,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let Some(part) = &mut self.gate else { return };
        part.record_answer_end(&input);
        let mut gate_outputs = Vec::new();
        part.gate.step(now, input, &mut gate_outputs);
        for output in gate_outputs {
            part.route(now, output, inbox, outputs);
        }
    }

    pub(crate) fn step_owner(
        &mut self,
        now: Timestamp,
        input: OwnerInput,
        inbox: &mut Inbox,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let Some(part) = &mut self.gate else { return };
        let service = part.service.clone();
        let owner_outputs = part.claims.step(now, input);
        for output in owner_outputs {
            match output {
                OwnerOutput::Send { to, message } => self.send_claim_message(to, message, inbox, outputs),
                OwnerOutput::Resolved { ticket, resolution } => {
                    if let Some(part) = self.gate.as_mut().filter(|_| resolution != ClaimDecision::Granted) {
                        part.claims.forget_attempt(ticket);
                    }
                    let resolution = to_gate_resolution(resolution);
                    inbox.push(GateInput::ClaimResolved { attempt: ticket, resolution });
                }
                OwnerOutput::SlotExported { slot, epoch, claims } => {
                    let claims = claims.iter().map(|claim| EncodedClaim(encode_claims(std::slice::from_ref(claim))));
                    let claims = claims.collect();
                    inbox.push(ControlInput::SlotExported { service: service.clone(), slot, epoch, claims });
                }
                OwnerOutput::SlotImported { slot, epoch } => {
                    inbox.push(ControlInput::SlotImported { service: service.clone(), slot, epoch });
                }
                OwnerOutput::VotersSettled { epoch } => {
                    inbox.push(ControlInput::VotersSettled { service: service.clone(), epoch });
                }
                OwnerOutput::SlotOpened { .. } | OwnerOutput::SlotLost { .. } => {}
            }
        }
    }
}

fn to_gate_resolution(decision: ClaimDecision) -> ClaimResolution {
    match decision {
        ClaimDecision::Granted => ClaimResolution::Granted,
        ClaimDecision::Replay(answer) => ClaimResolution::Replay(answer),
        ClaimDecision::Refused(refusal) => ClaimResolution::Refused(refusal),
    }
}

impl GatePart {
    fn record_answer_end(&mut self, input: &GateInput) {
        self.claims.record_answer_end(input);
        if let GateInput::AnswerEnded { attempt, end } = input {
            self.priorities.remove(attempt);
            if matches!(end, AnswerEnd::Whole { .. }) {
                self.load.completions += 1;
            }
        }
    }

    fn route(&mut self, now: Timestamp, output: GateOutput, inbox: &mut Inbox, outputs: &mut Vec<NodeOutput>) {
        match output {
            GateOutput::RequestClaim(context) => match self.claims.request(&context) {
                Some(request) => inbox.push(request),
                None => {
                    let resolution = ClaimResolution::Refused(Refusal::not_run(RefusalReason::BadRequest));
                    inbox.push(GateInput::ClaimResolved { attempt: context.attempt_id(), resolution });
                }
            },
            // The last check of the monotonic clock before the attempt is sent to the back end: a process that was paused
            // since the claim was granted must not dispatch after its deadline or lease has expired.
            GateOutput::Dispatch { attempt, .. } if !self.claims.may_dispatch(now, attempt) => {
                inbox.push(GateInput::AnswerEnded { attempt, end: AnswerEnd::ConnectFailed });
            }
            GateOutput::ClaimFinished { attempt, record } => inbox.push(self.claims.finished(attempt, record)),
            GateOutput::ClaimReleased { attempt } => inbox.push(self.claims.released(attempt)),
            GateOutput::Idle => inbox.push(ControlInput::GateIdle),
            GateOutput::Refuse { attempt, refusal, feedback } => {
                self.count_refusal(attempt, &refusal);
                outputs.push(NodeOutput::Gate(GateOutput::Refuse { attempt, refusal, feedback }));
            }
            output => {
                if let GateOutput::Replay { attempt, .. } = &output {
                    self.priorities.remove(attempt);
                }
                outputs.push(NodeOutput::Gate(output));
            }
        }
    }

    fn count_refusal(&mut self, attempt: quillhatch_types::AttemptId, refusal: &Refusal) {
        let protected = self.priorities.remove(&attempt) == Some(Priority::Protected);
        let overloaded = matches!(refusal.reason, RefusalReason::Overloaded | RefusalReason::QueueTimeout);
        if protected && overloaded && refusal.outcome == Outcome::NotRun {
            self.load.protected_refusals += 1;
        }
    }

    /// The gate's load since the last report, or `None` until [`LOAD_REPORT_INTERVAL`] has passed.
    pub(crate) fn load_report(&mut self, now: Timestamp) -> Option<LoadReport> {
        let span = now.since(self.load.since);
        if span < LOAD_REPORT_INTERVAL {
            return None;
        }
        let counts = std::mem::replace(&mut self.load, LoadCounts { since: now, ..LoadCounts::default() });
        let feedback = self.gate.feedback(now, None);
        Some(LoadReport {
            running: feedback.running,
            limit: feedback.limit,
            completions_per_second: f64::from(counts.completions) / span.as_secs_f64(),
            protected_refusals: counts.protected_refusals,
        })
    }
}
