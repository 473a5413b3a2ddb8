//! Back ends: slots, a queue that grows, efficiency that falls when crowded, calls to other services, cancellation.

use std::time::Duration;

use quillhatch_calls::edge::io::EdgeInput;
use quillhatch_types::{Priority, RequestKey, RootId};
use rand::Rng;

use super::callers::CallerNews;
use super::calls::{AttemptIndex, CallIndex, CallPhase, CallStart, Origin};
use super::machine::MachineIndex;
use super::runs::{BackEndNews, Run, RunIndex, RunState};
use super::{Agenda, Event, World};
use crate::engine::{Instant, RESOLUTION};
use crate::policy::HostInput;
use crate::profile::StepIndex;
use crate::random::{chance, exponential};
use crate::record::{is_whole_answer, AnswerPart, RequestTag};
use crate::timeline::SECOND;

/// How crowded a back end may be, in shares of its slots, before its efficiency falls.
const KNEE: f64 = 1.5;

/// How much longer work takes for each further multiple of the slots.
const SLOWDOWN_PER_CROWD: f64 = 0.15;

/// The most that work is slowed down by crowding.
const MOST_SLOWDOWN: f64 = 2.0;

/// How long a back end that started cold takes to warm up, and how slow it is at first.
const WARM_UP: Instant = 3 * SECOND;
const COLD_SLOWDOWN: f64 = 3.0;

/// The share of its connections in use at which a back end sheds load by itself.
const SHED_SHARE: f64 = 0.8;

const UNAVAILABLE: u16 = 503;
const BAD_GATEWAY: u16 = 502;
const GATEWAY_TIMEOUT: u16 = 504;
const OK: u16 = 200;

impl World {
    /// Hands an attempt to a back end.
    pub(super) fn accept(
        &mut self,
        index: MachineIndex,
        attempt: AttemptIndex,
        remaining: Duration,
        agenda: &mut Agenda,
    ) {
        self.check_drain(index, agenda.now());
        let machine = &self.machines[index.at()];
        let Some(back_end) = machine.back_end.as_ref() else { return };
        let service = &self.deployment.services[back_end.service];
        let present = back_end.running.len() + back_end.queue.len();
        let crowded = present as f64 >= SHED_SHARE * f64::from(service.connections);
        let refusal = if present >= service.connections as usize {
            Some(BackEndNews::ConnectFailed)
        } else if crowded && service.sheds_before_running {
            Some(BackEndNews::RefusedBeforeRunning { status: UNAVAILABLE })
        } else {
            None
        };
        if let Some(news) = refusal {
            self.check_order_at_back_end(index, attempt);
            return agenda.after(RESOLUTION, Event::FromBackEnd { attempt, news });
        }
        let call = self.attempts[attempt.at()].call;
        self.record.seen(call.number());
        let run = RunIndex(self.runs.len() as u32);
        self.runs.push(Run {
            attempt,
            call,
            machine: index,
            deadline: agenda.now().saturating_add(remaining.as_micros() as Instant),
            state: RunState::Queued,
            number: None,
            stage: 0,
            pending: 0,
            failed: false,
            gives_up: crowded,
            part_began: 0,
            part_takes: 0,
            children: Vec::new(),
        });
        self.attempts[attempt.at()].run = Some(run);
        if let Some(back_end) = self.machines[index.at()].back_end.as_mut() {
            back_end.queue.push_back(run);
        }
        self.fill_slots(index, agenda);
    }

    fn check_drain(&mut self, index: MachineIndex, now: Instant) {
        const ALLOWED: Instant = 2 * SECOND;
        let drained_at = self.machines[index.at()].drained_at;
        if drained_at.is_some_and(|drained| now > drained + ALLOWED) {
            self.record.new_work_after_drain += 1;
        }
    }

    fn check_order_at_back_end(&mut self, index: MachineIndex, attempt: AttemptIndex) {
        if self.attempts[attempt.at()].priority != Priority::Protected {
            return;
        }
        let Some(back_end) = self.machines[index.at()].back_end.as_ref() else { return };
        let lesser = |run: &RunIndex| self.attempts[self.runs[run.at()].attempt.at()].priority > Priority::Protected;
        if back_end.queue.iter().any(lesser) {
            self.record.protected_refused_first += 1;
        }
    }

    /// Runs in a slot or waiting for one, as a share of the slots.
    pub(super) fn load_of(&self, index: MachineIndex) -> Option<f64> {
        let back_end = self.machines[index.at()].back_end.as_ref()?;
        let slots = f64::from(self.deployment.services[back_end.service].slots);
        Some((back_end.running.len() + back_end.queue.len()) as f64 / slots)
    }

    /// Starts waiting runs while slots are free.
    fn fill_slots(&mut self, index: MachineIndex, agenda: &mut Agenda) {
        loop {
            let Some(back_end) = self.machines[index.at()].back_end.as_mut() else { return };
            let slots = self.deployment.services[back_end.service].slots as usize;
            if back_end.running.len() >= slots {
                return;
            }
            let Some(run) = back_end.queue.pop_front() else { return };
            if self.runs[run.at()].deadline <= agenda.now() {
                self.answer_unrun(run, agenda);
                continue;
            }
            back_end.running.insert(run);
            self.begin_run(run, agenda);
        }
    }

    /// Answers a run whose deadline passed while it waited.
    fn answer_unrun(&mut self, index: RunIndex, agenda: &mut Agenda) {
        let run = &mut self.runs[index.at()];
        run.state = RunState::Ended;
        let part = AnswerPart { tag: self.calls[run.call.at()].tag, version: 1, from: 0, to: 0 };
        let news = BackEndNews::Answer { status: GATEWAY_TIMEOUT, part, run: None };
        agenda.after(RESOLUTION, Event::FromBackEnd { attempt: run.attempt, news });
    }

    fn begin_run(&mut self, index: RunIndex, agenda: &mut Agenda) {
        let call = &self.calls[self.runs[index.at()].call.at()];
        let parent = match call.origin {
            Origin::Run(parent) => self.runs[parent.at()].number,
            _ => None,
        };
        let repeatable = self.deployment.class_of(call.step).repeatable;
        let number = self.record.run_started(parent, call.tag, repeatable);
        self.runs[index.at()].number = Some(number);
        self.begin_part(index, agenda);
    }

    fn begin_part(&mut self, index: RunIndex, agenda: &mut Agenda) {
        let machine = self.runs[index.at()].machine;
        let step = &self.deployment.steps[self.calls[self.runs[index.at()].call.at()].step];
        let parts = step.stages.len() + 1;
        let mean = step.work.as_micros() as f64 / parts as f64;
        let takes = self.sample_work(machine, mean, agenda.now());
        let run = &mut self.runs[index.at()];
        run.state = RunState::Working;
        run.part_began = agenda.now();
        run.part_takes = takes;
        agenda.after(takes, Event::PartDone { run: index });
    }

    /// How long work of `mean` microseconds takes now: it varies, and a slow, crowded or cold back end takes longer.
    fn sample_work(&mut self, index: MachineIndex, mean: f64, now: Instant) -> Instant {
        const FIXED_SHARE: f64 = 0.6;
        let varying = exponential(&mut self.generators.back_ends, mean * (1.0 - FIXED_SHARE));
        let crowd = self.load_of(index).unwrap_or_default();
        let crowding = (1.0 + SLOWDOWN_PER_CROWD * (crowd - KNEE).max(0.0)).min(MOST_SLOWDOWN);
        let Some(back_end) = self.machines[index.at()].back_end.as_ref() else { return 0 };
        let warmth = back_end.started_cold.map_or(1.0, |started| (now - started) as f64 / WARM_UP as f64);
        let cold = COLD_SLOWDOWN - (COLD_SLOWDOWN - 1.0) * warmth.min(1.0);
        let slow = self.slowness[back_end.service];
        ((mean * FIXED_SHARE + varying) * crowding * cold * slow) as Instant
    }

    /// A part of a run's own work is done.
    pub(super) fn part_done(&mut self, index: RunIndex, agenda: &mut Agenda) {
        let run = &mut self.runs[index.at()];
        if run.state != RunState::Working {
            return;
        }
        if let Some(number) = run.number {
            self.record.worked(number, run.part_takes);
        }
        if run.gives_up {
            return self.end_run(index, UNAVAILABLE, agenda);
        }
        let stages = &self.deployment.steps[self.calls[run.call.at()].step].stages;
        let Some(stage) = stages.get(run.stage) else { return self.finish_work(index, agenda) };
        let generator = &mut self.generators.back_ends;
        let children = stage.0.iter().filter(|child| chance(generator, child.percent));
        let steps: Vec<StepIndex> = children.map(|child| child.step).collect();
        run.stage += 1;
        if steps.is_empty() {
            return self.begin_part(index, agenda);
        }
        run.state = RunState::Calling;
        run.pending = steps.len();
        for step in steps {
            agenda.after(RESOLUTION, Event::ChildCall { run: index, step });
        }
    }

    /// A back end calls another service through its own node.
    pub(super) fn child_call(&mut self, index: RunIndex, step: StepIndex, agenda: &mut Agenda) {
        let run = &self.runs[index.at()];
        if run.state != RunState::Calling {
            return;
        }
        let machine = run.machine;
        let parent_call = &self.calls[run.call.at()];
        let (parent_id, tree, parent_tag, keyed) =
            (parent_call.id, parent_call.tree, parent_call.tag, parent_call.key.is_some());
        let now = self.local_time(machine, agenda.now());
        let policy = self.machines[machine.at()].policy.as_mut();
        let parent = policy.and_then(|policy| policy.lend_tokens(now, parent_id));
        let fresh: u128 = self.generators.identities.gen();
        let root = parent.as_ref().map_or(RootId(fresh), |parent| parent.root);
        let once = !self.deployment.class_of(step).repeatable;
        // A back end that works under a key gives the calls below it keys of their own.
        let (tag, key) = if once && keyed {
            let tag = RequestTag(parent_tag.0.rotate_left(17) ^ step as u64);
            (tag, RequestKey::new(&format!("child-{:016x}", tag.0)).ok())
        } else {
            (RequestTag(fresh as u64), None)
        };
        let origin = Origin::Run(index);
        let call = self.new_call(CallStart { origin, tree, root, edge: machine, step, tag, key });
        self.runs[index.at()].children.push(call);
        let caller = self.machines[machine.at()].service().map_or("", |service| self.deployment.services[service].name);
        let Some(arrival) = self.arrival_of(call, caller, None, parent) else { return };
        self.step(machine, HostInput::Edge(EdgeInput::Arrived(arrival)), agenda);
    }

    /// A call made by a run has its final answer.
    pub(super) fn child_answered(&mut self, index: RunIndex, call: CallIndex, news: CallerNews, agenda: &mut Agenda) {
        let child = &self.calls[call.at()];
        let answered = matches!(news, CallerNews::Complete) && child.status < UNAVAILABLE.min(BAD_GATEWAY);
        let length = self.deployment.steps[child.step].answer.bytes;
        if answered && !is_whole_answer(child.tag, length, &child.parts) {
            self.record.foreign_or_partial_answers += 1;
        }
        if self.runs[index.at()].state != RunState::Calling {
            return;
        }
        if let Some(number) = child.answered_by.filter(|_| answered) {
            self.record.accepted(number);
        }
        let run = &mut self.runs[index.at()];
        run.failed |= !answered;
        run.pending -= 1;
        if run.pending > 0 {
            return;
        }
        if run.failed {
            return self.end_run(index, BAD_GATEWAY, agenda);
        }
        self.begin_part(index, agenda);
    }

    fn finish_work(&mut self, index: RunIndex, agenda: &mut Agenda) {
        let run = &mut self.runs[index.at()];
        let call = &self.calls[run.call.at()];
        let answer = self.deployment.steps[call.step].answer;
        if answer.streaming.is_zero() {
            return self.end_run(index, OK, agenda);
        }
        let attempt = &self.attempts[run.attempt.at()];
        let rest = answer.bytes - attempt.offset;
        let takes = (answer.streaming.as_micros() as f64 * rest as f64 / answer.bytes as f64) as Instant;
        // A few targets hold another version of the content, which must never be mixed into an answer.
        const ODD_ONES: u16 = 7;
        let version = 1 + u32::from(run.machine.0 % ODD_ONES == 0);
        let part = AnswerPart { tag: call.tag, version, from: attempt.offset, to: answer.bytes };
        run.state = RunState::Streaming;
        run.part_began = agenda.now();
        run.part_takes = takes;
        let news = BackEndNews::StreamBegins { part, length: answer.bytes, takes, run: run.number };
        agenda.after(RESOLUTION, Event::FromBackEnd { attempt: run.attempt, news });
        agenda.after(RESOLUTION + takes, Event::StreamDone { run: index });
    }

    /// A download is sent.
    pub(super) fn stream_done(&mut self, index: RunIndex, agenda: &mut Agenda) {
        let run = &mut self.runs[index.at()];
        if run.state != RunState::Streaming {
            return;
        }
        run.state = RunState::Ended;
        if let Some(number) = run.number {
            self.record.worked(number, run.part_takes);
        }
        let bytes = self.deployment.steps[self.calls[run.call.at()].step].answer.bytes;
        let news = BackEndNews::StreamEnds { bytes };
        agenda.after(RESOLUTION, Event::FromBackEnd { attempt: run.attempt, news });
        self.free_slot(index, agenda);
    }

    fn end_run(&mut self, index: RunIndex, status: u16, agenda: &mut Agenda) {
        let run = &mut self.runs[index.at()];
        run.state = RunState::Ended;
        let call = &self.calls[run.call.at()];
        let length = self.deployment.steps[call.step].answer.bytes;
        let part = AnswerPart { tag: call.tag, version: 1, from: 0, to: length };
        let news = BackEndNews::Answer { status, part, run: run.number };
        agenda.after(RESOLUTION, Event::FromBackEnd { attempt: run.attempt, news });
        self.free_slot(index, agenda);
    }

    fn free_slot(&mut self, index: RunIndex, agenda: &mut Agenda) {
        let machine = self.runs[index.at()].machine;
        if let Some(back_end) = self.machines[machine.at()].back_end.as_mut() {
            back_end.running.remove(&index);
        }
        self.fill_slots(machine, agenda);
    }

    /// Stops the work on an attempt, and on the calls below it.
    pub(super) fn cancel_run(&mut self, attempt: AttemptIndex, agenda: &mut Agenda) {
        let Some(index) = self.attempts[attempt.at()].run else { return };
        if self.runs[index.at()].state == RunState::Ended {
            return;
        }
        self.abort_run(index, agenda);
        agenda.after(RESOLUTION, Event::FromBackEnd { attempt, news: BackEndNews::Cancelled });
        let machine = self.runs[index.at()].machine;
        self.fill_slots(machine, agenda);
    }

    /// Ends a run at once, without an answer.
    pub(super) fn abort_run(&mut self, index: RunIndex, agenda: &mut Agenda) {
        let run = &mut self.runs[index.at()];
        let interrupted = matches!(run.state, RunState::Working | RunState::Streaming);
        if let Some(number) = run.number.filter(|_| interrupted) {
            self.record.worked(number, agenda.now() - run.part_began);
        }
        run.state = RunState::Ended;
        let machine = run.machine;
        if let Some(back_end) = self.machines[machine.at()].back_end.as_mut() {
            back_end.running.remove(&index);
            back_end.queue.retain(|queued| *queued != index);
        }
        for child in std::mem::take(&mut self.runs[index.at()].children) {
            if self.calls[child.at()].phase != CallPhase::Done {
                agenda.after(RESOLUTION, Event::AtEdgeCallerGone { call: child });
            }
        }
    }

    /// The runs at a back end that have not ended.
    pub(super) fn runs_at(&self, index: MachineIndex) -> Vec<RunIndex> {
        let Some(back_end) = self.machines[index.at()].back_end.as_ref() else { return Vec::new() };
        back_end.running.iter().chain(&back_end.queue).copied().collect()
    }
}
