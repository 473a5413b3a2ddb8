//! Carries out what gates want, and hands them attempts and what their back ends say.

use quillhatch_calls::gate::io::{AnswerEnd, GateInput, GateOutput, LoadHint};
use quillhatch_types::{Feedback, Incarnation, Priority, RecordedAnswer, Refusal, RefusalReason};
use rand::Rng;

use super::calls::{Attempt, AttemptIndex, EdgeNews, GateSide};
use super::machine::{MachineIndex, Presence};
use super::network::Passage;
use super::runs::BackEndNews;
use super::{Agenda, Event, World};
use crate::engine::Instant;
use crate::policy::HostInput;
use crate::record::{AnswerPart, RequestTag, RunNumber};
use crate::timeline::MILLISECOND;

/// How often a node asks its back end's health and load endpoints, in microseconds.
const HINT_INTERVAL: Instant = 500 * MILLISECOND;

/// In an attempt's target: whatever runs at the address.
const ANY_RUN: Incarnation = Incarnation(0);

/// The body of a short answer as the back end writes it: who it is for, how long it is, and where it came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct AnswerBody {
    part: AnswerPart,
    run: Option<RunNumber>,
}

impl AnswerBody {
    fn encode(self) -> Vec<u8> {
        let run = self.run.map_or(u64::MAX, |run| u64::from(run.0));
        let numbers = [self.part.tag.0, u64::from(self.part.version), self.part.to, run];
        numbers.iter().flat_map(|number| number.to_le_bytes()).collect()
    }

    fn decode(body: &[u8]) -> Option<Self> {
        let numbers: Vec<u64> =
            body.chunks_exact(8).filter_map(|bytes| bytes.try_into().ok()).map(u64::from_le_bytes).collect();
        let [tag, version, to, run] = numbers.try_into().ok()?;
        let part = AnswerPart { tag: RequestTag(tag), version: u32::try_from(version).ok()?, from: 0, to };
        Some(AnswerBody { part, run: u32::try_from(run).ok().map(RunNumber) })
    }
}

impl World {
    /// An attempt reaches its gate.
    pub(super) fn at_gate(&mut self, attempt: AttemptIndex, agenda: &mut Agenda) {
        let now = agenda.now();
        let entry = &mut self.attempts[attempt.at()];
        let gate = entry.gate;
        if entry.at_gate != GateSide::Absent {
            return;
        }
        if self.machines[gate.at()].presence == Presence::Down {
            entry.at_gate = GateSide::Done;
            return self.send_to_edge(attempt, EdgeNews::ConnectionLost, agenda);
        }
        let meant = entry.target.incarnation;
        if meant != ANY_RUN && meant != self.machines[gate.at()].node.incarnation {
            // The program does not accept the context of an attempt for another run of its node.
            entry.at_gate = GateSide::Done;
            let refusal = Refusal::not_run(RefusalReason::NoTarget);
            return self.send_to_edge(attempt, EdgeNews::Refused(refusal, None), agenda);
        }
        entry.at_gate = GateSide::Waiting;
        entry.arrived = now;
        entry.gate_life = self.machines[gate.at()].life;
        let Some(context) = entry.context.take() else { return };
        self.machines[gate.at()].waiting.insert(attempt);
        self.step(gate, HostInput::Gate(GateInput::Arrived(context)), agenda);
    }

    /// The gate notices that the edge gave an attempt up.
    pub(super) fn at_gate_cancelled(&mut self, attempt: AttemptIndex, agenda: &mut Agenda) {
        let entry = &mut self.attempts[attempt.at()];
        let (gate, life, id) = (entry.gate, entry.gate_life, entry.id);
        match entry.at_gate {
            GateSide::Absent => entry.at_gate = GateSide::Done,
            GateSide::Done => {}
            GateSide::Waiting | GateSide::Running => {
                if self.is_alive(gate, life) {
                    self.step(gate, HostInput::Gate(GateInput::Cancelled { attempt: id }), agenda);
                }
            }
        }
    }

    /// Carries out an output of a gate.
    pub(super) fn carry_out_gate(&mut self, index: MachineIndex, output: GateOutput, agenda: &mut Agenda) {
        match output {
            GateOutput::Dispatch { attempt, remaining } => {
                let Some(attempt) = self.find_attempt(attempt) else { return };
                self.leave_gate(index, attempt, GateSide::Running);
                if self.attempts[attempt.at()].priority != Priority::Protected {
                    self.machines[index.at()].last_lesser_dispatch = Some(agenda.now());
                }
                self.accept(index, attempt, remaining, agenda);
            }
            GateOutput::Refuse { attempt, refusal, feedback } => {
                let Some(attempt) = self.find_attempt(attempt) else { return };
                self.leave_gate(index, attempt, GateSide::Done);
                self.check_order_of_refusal(index, attempt, &refusal);
                let feedback = self.told(index, feedback, agenda.now());
                self.send_to_edge(attempt, EdgeNews::Refused(refusal, feedback), agenda);
            }
            GateOutput::Replay { attempt, answer, feedback } => {
                let Some(attempt) = self.find_attempt(attempt) else { return };
                self.leave_gate(index, attempt, GateSide::Done);
                self.replay(attempt, &answer, feedback, agenda);
            }
            GateOutput::CancelDispatched { attempt } => {
                if let Some(attempt) = self.find_attempt(attempt) {
                    self.cancel_run(attempt, agenda);
                }
            }
            // The node routes these inside itself.
            GateOutput::RequestClaim(_)
            | GateOutput::ClaimFinished { .. }
            | GateOutput::ClaimReleased { .. }
            | GateOutput::Idle => {}
        }
    }

    /// The comparison policies have no feedback to give; their default is not passed on.
    fn told(&mut self, gate: MachineIndex, feedback: Feedback, now: Instant) -> Option<Feedback> {
        let told = (feedback != Feedback::default()).then_some(feedback)?;
        let life = self.machines[gate.at()].life;
        self.see_revision(gate, life, told.revision, now);
        Some(told)
    }

    fn leave_gate(&mut self, index: MachineIndex, attempt: AttemptIndex, next: GateSide) {
        self.machines[index.at()].waiting.remove(&attempt);
        self.attempts[attempt.at()].at_gate = next;
    }

    fn replay(&mut self, attempt: AttemptIndex, answer: &RecordedAnswer, feedback: Feedback, agenda: &mut Agenda) {
        let Some(body) = AnswerBody::decode(&answer.body) else {
            self.record.foreign_or_partial_answers += 1;
            return;
        };
        let feedback = self.told(self.attempts[attempt.at()].gate, feedback, agenda.now());
        let news = EdgeNews::Whole { status: answer.status, feedback, part: body.part, run: body.run };
        self.send_to_edge(attempt, news, agenda);
    }

    /// Sends something of an attempt to its edge.
    pub(super) fn send_to_edge(&mut self, attempt: AttemptIndex, news: EdgeNews, agenda: &mut Agenda) {
        let (edge, gate) = (self.attempts[attempt.at()].edge, self.attempts[attempt.at()].gate);
        if let Passage::After(latency) = self.stream_passage(gate, edge, agenda.now()) {
            agenda.after(latency, Event::AtEdge { attempt, news });
        }
    }

    /// A protected call must not be refused for load while less important work waits, or was started, at the same gate.
    fn check_order_of_refusal(&mut self, index: MachineIndex, attempt: AttemptIndex, refusal: &Refusal) {
        let for_load = matches!(refusal.reason, RefusalReason::Overloaded | RefusalReason::QueueTimeout);
        let entry = &self.attempts[attempt.at()];
        if !for_load || entry.priority != Priority::Protected {
            return;
        }
        let machine = &self.machines[index.at()];
        let lesser = |other: &AttemptIndex| self.attempts[other.at()].priority > Priority::Protected;
        let preferred = machine.last_lesser_dispatch.is_some_and(|dispatched| dispatched > entry.arrived);
        if preferred || machine.waiting.iter().any(lesser) {
            self.record.protected_refused_first += 1;
        }
    }

    /// The back end tells its gate something of an attempt.
    pub(super) fn back_end_told(&mut self, attempt: AttemptIndex, news: BackEndNews, agenda: &mut Agenda) {
        let entry = &self.attempts[attempt.at()];
        let (gate, id) = (entry.gate, entry.id);
        if entry.at_gate != GateSide::Running || !self.is_alive(gate, entry.gate_life) {
            return;
        }
        if !matches!(news, BackEndNews::StreamBegins { .. }) {
            self.attempts[attempt.at()].at_gate = GateSide::Done;
        }
        let ended = |end| HostInput::Gate(GateInput::AnswerEnded { attempt: id, end });
        match news {
            BackEndNews::Answer { status, part, run } => {
                let feedback = self.answer_started(attempt, status, part.to, agenda);
                self.send_to_edge(attempt, EdgeNews::Whole { status, feedback, part, run }, agenda);
                let body = AnswerBody { part, run }.encode();
                let record = Some(RecordedAnswer { status, headers: Vec::new(), body });
                self.step(gate, ended(AnswerEnd::Whole { status, bytes: part.to, record }), agenda);
            }
            BackEndNews::StreamBegins { part, length, takes, run } => {
                let feedback = self.answer_started(attempt, 200, length, agenda);
                self.send_to_edge(attempt, EdgeNews::Head { feedback, part, length, takes, run }, agenda);
            }
            BackEndNews::StreamEnds { bytes } => {
                self.send_to_edge(attempt, EdgeNews::End, agenda);
                self.step(gate, ended(AnswerEnd::Whole { status: 200, bytes, record: None }), agenda);
            }
            BackEndNews::ConnectFailed => self.step(gate, ended(AnswerEnd::ConnectFailed), agenda),
            BackEndNews::RefusedBeforeRunning { status } => {
                self.step(gate, ended(AnswerEnd::RefusedBeforeRunning { status }), agenda);
            }
            BackEndNews::Cancelled => self.step(gate, ended(AnswerEnd::Cancelled), agenda),
        }
    }

    fn answer_started(
        &mut self,
        attempt: AttemptIndex,
        status: u16,
        length: u64,
        agenda: &mut Agenda,
    ) -> Option<Feedback> {
        let Attempt { gate, id, .. } = self.attempts[attempt.at()];
        let started = GateInput::AnswerStarted { attempt: id, status, length: Some(length) };
        self.step(gate, HostInput::Gate(started), agenda);
        let now = self.local_time(gate, agenda.now());
        let feedback = self.machines[gate.at()].policy.as_mut()?.feedback(now, Some(id))?;
        self.told(gate, feedback, agenda.now())
    }

    /// A node asks its back end's health and load endpoints, which lag or mislead.
    pub(super) fn hint(&mut self, index: MachineIndex, life: u32, agenda: &mut Agenda) {
        const QUIET_LOAD: f64 = 0.1;
        const WRONGLY_UNHEALTHY_PERCENT: u32 = 2;
        if !self.is_alive(index, life) {
            return;
        }
        agenda.after(HINT_INTERVAL, Event::Hint { machine: index, life });
        let Some(load) = self.load_of(index) else { return };
        let Some(back_end) = self.machines[index.at()].back_end.as_mut() else { return };
        let lagging = std::mem::replace(&mut back_end.reported_load, load);
        let wrong = self.generators.back_ends.gen_range(0..100) < WRONGLY_UNHEALTHY_PERCENT;
        let load = if self.misleading_hints { QUIET_LOAD } else { lagging };
        let hint = LoadHint { healthy: !wrong, load: Some(load) };
        self.step(index, HostInput::Gate(GateInput::Hint(hint)), agenda);
    }
}
