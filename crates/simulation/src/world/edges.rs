//! Carries out what edges want, and hands them what comes back of their attempts.

use quillhatch_calls::edge::io::{Answer, AttemptResult, BodyState, EdgeInput, EdgeOutput, StrongValidator};
use quillhatch_types::{AttemptId, CallContext, CallId, Feedback, NodeId, Outcome, Refusal};

use super::callers::CallerNews;
use super::calls::{Attempt, AttemptIndex, CallIndex, CallPhase, EdgeNews, EdgeSide, GateSide, Origin, StreamState};
use super::machine::{MachineIndex, Presence};
use super::network::Passage;
use super::{Agenda, Event, World};
use crate::engine::Instant;
use crate::policy::HostInput;
use crate::record::{AnswerPart, RunNumber};
use crate::timeline::MILLISECOND;

/// How long an edge waits for a connection to open.
const CONNECT_TIMEOUT: Instant = 300 * MILLISECOND;

/// The validator of a content version.
fn validator_of(version: u32) -> StrongValidator {
    StrongValidator(format!("\"version-{version}\""))
}

/// The content version of a validator.
fn version_of(validator: &StrongValidator) -> Option<u32> {
    validator.0.strip_prefix("\"version-")?.strip_suffix('"')?.parse().ok()
}

/// The rest of an answer that an attempt asks for.
struct Rest {
    offset: u64,
    version: Option<u32>,
}

impl World {
    /// Carries out an output of an edge.
    pub(super) fn carry_out_edge(&mut self, index: MachineIndex, output: EdgeOutput, agenda: &mut Agenda) {
        match output {
            EdgeOutput::Send { target, context } => {
                let rest = Rest { offset: 0, version: None };
                self.send_attempt(index, target, context, rest, agenda);
            }
            EdgeOutput::Resume { target, context, offset, validator } => {
                let rest = Rest { offset, version: version_of(&validator) };
                self.send_attempt(index, target, context, rest, agenda);
            }
            EdgeOutput::CancelAttempt { attempt } => self.cancel_attempt(attempt, agenda),
            EdgeOutput::Finish { call, answer } => self.finish_call(call, answer, agenda),
            EdgeOutput::AbortStream { call } => self.break_off(call, agenda),
            // The node routes these inside itself.
            EdgeOutput::ReturnTokens { .. } | EdgeOutput::FetchTable { .. } => {}
        }
    }

    fn send_attempt(
        &mut self,
        edge: MachineIndex,
        target: NodeId,
        context: Box<CallContext>,
        rest: Rest,
        agenda: &mut Agenda,
    ) {
        let Some(call) = self.find_call(context.call) else { return };
        let Some(gate) = self.machine_at(target.address) else { return };
        let id = context.attempt_id();
        let attempt = AttemptIndex(self.attempts.len() as u32);
        let remaining = context.remaining;
        self.record.attempted(self.calls[call.at()].tree);
        self.calls[call.at()].attempts.push((id.attempt, attempt));
        if rest.offset > 0 {
            self.calls[call.at()].phase = CallPhase::Relaying(attempt);
        }
        self.attempts.push(Attempt {
            id,
            call,
            edge,
            edge_life: self.machines[edge.at()].life,
            gate,
            target,
            gate_life: self.machines[gate.at()].life,
            priority: context.priority,
            context: Some(context),
            offset: rest.offset,
            version_wanted: rest.version,
            at_edge: EdgeSide::Waiting,
            at_gate: GateSide::Absent,
            arrived: 0,
            run: None,
            stream: None,
        });
        self.see_probe(attempt, remaining, agenda.now());
        self.transmit(attempt, agenda);
        // The edge itself acts first when the time is over.
        agenda.after(remaining.as_micros() as Instant + MILLISECOND, Event::AttemptDeadline { attempt });
    }

    /// Puts an attempt on a connection, a new one if none is idle.
    fn transmit(&mut self, attempt: AttemptIndex, agenda: &mut Agenda) {
        let now = agenda.now();
        let (edge, gate) = (self.attempts[attempt.at()].edge, self.attempts[attempt.at()].gate);
        let is_down = self.machines[gate.at()].presence == Presence::Down;
        let reusable = !is_down && self.network.take_connection(edge, gate);
        let connect = if reusable { 0 } else { self.network.connect_time() };
        if !reusable && (is_down || !self.connected(edge, gate, now)) {
            let delay = if is_down { 2 * connect } else { CONNECT_TIMEOUT };
            return agenda.after(delay, Event::AtEdge { attempt, news: EdgeNews::ConnectFailed });
        }
        if let Passage::After(latency) = self.stream_passage(edge, gate, now) {
            agenda.after(connect + latency, Event::AtGate { attempt });
        }
    }

    fn cancel_attempt(&mut self, id: AttemptId, agenda: &mut Agenda) {
        let Some(attempt) = self.find_attempt(id) else { return };
        self.give_up_attempt(attempt, agenda);
    }

    /// The edge closes the connection of an attempt; the gate notices a little later.
    pub(super) fn give_up_attempt(&mut self, attempt: AttemptIndex, agenda: &mut Agenda) {
        let entry = &mut self.attempts[attempt.at()];
        if entry.at_edge == EdgeSide::Done {
            return;
        }
        entry.at_edge = EdgeSide::Done;
        let (edge, gate) = (entry.edge, entry.gate);
        if let Passage::After(latency) = self.stream_passage(edge, gate, agenda.now()) {
            agenda.after(latency, Event::AtGateCancelled { attempt });
        }
    }

    fn finish_call(&mut self, id: CallId, answer: Answer, agenda: &mut Agenda) {
        let Some(index) = self.find_call(id) else { return };
        if self.calls[index.at()].phase != CallPhase::Open {
            return;
        }
        match answer {
            Answer::Relay(attempt) => {
                if let Some(attempt) = self.find_attempt(attempt) {
                    self.calls[index.at()].phase = CallPhase::Relaying(attempt);
                }
            }
            Answer::Refuse(refusal) => self.deliver(index, CallerNews::Refused(refusal), agenda),
        }
    }

    fn break_off(&mut self, id: CallId, agenda: &mut Agenda) {
        let Some(index) = self.find_call(id) else { return };
        if self.calls[index.at()].phase != CallPhase::Done {
            self.deliver(index, CallerNews::Broken, agenda);
        }
    }

    /// Gives a call's caller its final news.
    pub(super) fn deliver(&mut self, index: CallIndex, news: CallerNews, agenda: &mut Agenda) {
        self.calls[index.at()].phase = CallPhase::Done;
        match self.calls[index.at()].origin {
            Origin::Caller(_) => {
                let latency = self.network.caller_latency(&mut self.generators.network);
                agenda.after(latency, Event::AtCaller { call: index, news });
            }
            Origin::Run(run) => {
                if let CallerNews::Refused(Refusal { outcome: Outcome::NotRun, .. }) = news {
                    self.record.told_not_run(index.number());
                }
                self.child_answered(run, index, news, agenda);
            }
            Origin::Probe(_) => {}
        }
    }

    /// Something of an attempt reaches the edge.
    pub(super) fn at_edge(&mut self, attempt: AttemptIndex, news: EdgeNews, agenda: &mut Agenda) {
        let entry = &self.attempts[attempt.at()];
        let expected = match news {
            EdgeNews::End => entry.at_edge == EdgeSide::Streaming,
            EdgeNews::ConnectionLost => entry.at_edge != EdgeSide::Done,
            _ => entry.at_edge == EdgeSide::Waiting,
        };
        if !expected || !self.is_alive(entry.edge, entry.edge_life) {
            return;
        }
        match news {
            EdgeNews::Refused(refusal, feedback) => {
                self.over_at_edge(attempt, true);
                self.tell_result(attempt, AttemptResult::Refused(refusal), feedback, agenda);
            }
            EdgeNews::ConnectFailed => {
                self.over_at_edge(attempt, false);
                self.tell_result(attempt, AttemptResult::ConnectFailed, None, agenda);
            }
            EdgeNews::Whole { status, feedback, part, run } => {
                self.over_at_edge(attempt, true);
                self.whole_at_edge(attempt, status, feedback, part, run, agenda);
            }
            EdgeNews::Head { feedback, part, length, takes, run } => {
                let stream = StreamState { began: agenda.now(), takes, part, length };
                self.head_at_edge(attempt, stream, feedback, run, agenda);
            }
            EdgeNews::End => {
                self.over_at_edge(attempt, true);
                if let Some(stream) = self.attempts[attempt.at()].stream {
                    self.body_whole(attempt, stream.part, agenda);
                }
            }
            EdgeNews::ConnectionLost => self.lost_at_edge(attempt, agenda),
        }
    }

    fn over_at_edge(&mut self, attempt: AttemptIndex, connection_usable: bool) {
        let entry = &mut self.attempts[attempt.at()];
        entry.at_edge = EdgeSide::Done;
        if connection_usable {
            self.network.return_connection(entry.edge, entry.gate);
        }
    }

    fn tell_result(
        &mut self,
        attempt: AttemptIndex,
        result: AttemptResult,
        feedback: Option<Feedback>,
        agenda: &mut Agenda,
    ) {
        let entry = &self.attempts[attempt.at()];
        let (edge, id) = (entry.edge, entry.id);
        let input = EdgeInput::AttemptAnswered { attempt: id, result, feedback };
        self.step(edge, HostInput::Edge(input), agenda);
    }

    fn whole_at_edge(
        &mut self,
        attempt: AttemptIndex,
        status: u16,
        feedback: Option<Feedback>,
        part: AnswerPart,
        run: Option<RunNumber>,
        agenda: &mut Agenda,
    ) {
        self.tell_result(attempt, AttemptResult::Answered { status }, feedback, agenda);
        let call = self.attempts[attempt.at()].call;
        if self.calls[call.at()].phase == CallPhase::Relaying(attempt) {
            self.calls[call.at()].status = status;
            self.calls[call.at()].answered_by = run;
            self.body_whole(attempt, part, agenda);
        }
    }

    fn head_at_edge(
        &mut self,
        attempt: AttemptIndex,
        stream: StreamState,
        feedback: Option<Feedback>,
        run: Option<RunNumber>,
        agenda: &mut Agenda,
    ) {
        const OK: u16 = 200;
        const PARTIAL_CONTENT: u16 = 206;
        let entry = &mut self.attempts[attempt.at()];
        entry.at_edge = EdgeSide::Streaming;
        entry.stream = Some(stream);
        let call = entry.call;
        let result = match entry.version_wanted {
            Some(version) if version != stream.part.version => AttemptResult::ResumeRefused,
            Some(_) => AttemptResult::Answered { status: PARTIAL_CONTENT },
            None => AttemptResult::Answered { status: OK },
        };
        if result == AttemptResult::ResumeRefused {
            self.give_up_attempt(attempt, agenda);
        }
        self.calls[call.at()].status = OK;
        self.calls[call.at()].answered_by = run;
        self.tell_result(attempt, result, feedback, agenda);
    }

    /// The body of a relayed answer ended whole.
    fn body_whole(&mut self, attempt: AttemptIndex, part: AnswerPart, agenda: &mut Agenda) {
        let entry = &self.attempts[attempt.at()];
        let (edge, id, call) = (entry.edge, entry.id, entry.call);
        if self.calls[call.at()].phase != CallPhase::Relaying(attempt) {
            return;
        }
        self.calls[call.at()].parts.push(part);
        self.step(edge, HostInput::Edge(EdgeInput::BodyEnded { attempt: id, incomplete: None }), agenda);
        if self.calls[call.at()].phase == CallPhase::Relaying(attempt) {
            self.deliver(call, CallerNews::Complete, agenda);
        }
    }

    /// The connection of an attempt broke, or its time ran out.
    fn lost_at_edge(&mut self, attempt: AttemptIndex, agenda: &mut Agenda) {
        let entry = &mut self.attempts[attempt.at()];
        let (edge, id, call, was) = (entry.edge, entry.id, entry.call, entry.at_edge);
        entry.at_edge = EdgeSide::Done;
        let Some(stream) = entry.stream.filter(|_| was == EdgeSide::Streaming) else {
            return self.tell_result(attempt, AttemptResult::Lost, None, agenda);
        };
        let received = stream.received(agenda.now());
        let body = BodyState {
            received: received.to,
            length: Some(stream.length),
            validator: Some(validator_of(received.version)),
        };
        if self.calls[call.at()].phase == CallPhase::Relaying(attempt) {
            self.calls[call.at()].parts.push(received);
        }
        let input = EdgeInput::BodyEnded { attempt: id, incomplete: Some(body) };
        self.step(edge, HostInput::Edge(input), agenda);
    }

    /// The time given to an attempt is over: its connection is closed.
    pub(super) fn attempt_deadline(&mut self, attempt: AttemptIndex, agenda: &mut Agenda) {
        let entry = &self.attempts[attempt.at()];
        if entry.at_edge == EdgeSide::Done || !self.is_alive(entry.edge, entry.edge_life) {
            return;
        }
        let (edge, gate) = (entry.edge, entry.gate);
        if let Passage::After(latency) = self.stream_passage(edge, gate, agenda.now()) {
            agenda.after(latency, Event::AtGateCancelled { attempt });
        }
        self.lost_at_edge(attempt, agenda);
    }
}
