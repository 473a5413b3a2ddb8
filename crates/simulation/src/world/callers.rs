//! Outside callers: requests, tries, patience, repeats with and without keys.

use quillhatch_calls::edge::io::EdgeInput;
use quillhatch_types::{Outcome, Refusal, RequestKey, RootId};
use rand::Rng;

use super::calls::{CallIndex, CallPhase, CallStart, Origin};
use super::machine::{MachineIndex, Presence};
use super::{Agenda, Event, World};
use crate::engine::Instant;
use crate::policy::HostInput;
use crate::profile::SITES;
use crate::random::{chance, exponential};
use crate::record::{is_whole_answer, RequestTag};
use crate::timeline::{ARRIVALS_END, MILLISECOND, SECOND};

/// One request of an outside caller.
pub struct Request {
    traffic: usize,
    /// Its number in the record.
    number: u32,
    tag: RequestTag,
    key: Option<RequestKey>,
    tries: u32,
    most_tries: u32,
    site: usize,
    zone: usize,
    /// The call of the present try.
    current: Option<CallIndex>,
    abandons: bool,
    heeds_advice: bool,
}

/// What reaches an outside caller.
#[derive(Clone, Copy, Debug)]
pub enum CallerNews {
    /// The answer ended as if it were whole.
    Complete,
    /// The answer was visibly broken off, or the edge went away.
    Broken,
    /// The call was refused.
    Refused(Refusal),
    /// The edge could not be reached.
    ConnectFailed,
}

/// Tries that callers add while they retry hard.
const EXTRA_HARD_TRIES: u32 = 4;

impl World {
    /// A new request of one kind of traffic; the next one is scheduled.
    pub(super) fn arrival(&mut self, traffic: usize, agenda: &mut Agenda) {
        if agenda.now() >= ARRIVALS_END {
            return;
        }
        let total: f64 = self.deployment.traffic.iter().map(|traffic| traffic.weight).sum();
        let profile = &self.deployment.traffic[traffic];
        let rate = self.normal_rate * self.rate_factor * profile.weight / total;
        let class = self.deployment.class_of(profile.step);
        let (name, priority, repeatable) = (class.name, class.priority, class.repeatable);
        let generator = &mut self.generators.callers;
        let until_next = exponential(generator, SECOND as f64 / rate) as Instant;
        let tag = RequestTag(generator.gen());
        let keyed = !repeatable && chance(generator, profile.keyed_percent);
        let extra = if self.hard_callers { EXTRA_HARD_TRIES } else { 0 };
        let request = Request {
            traffic,
            number: self.record.offered(name, priority, agenda.now()),
            tag,
            key: if keyed { RequestKey::new(&format!("caller-{:016x}", tag.0)).ok() } else { None },
            tries: 0,
            most_tries: profile.tries + extra,
            site: generator.gen_range(0..SITES.len()),
            zone: generator.gen_range(0..self.deployment.zones.len()),
            current: None,
            abandons: chance(generator, profile.abandon_percent),
            heeds_advice: chance(generator, 50),
        };
        self.requests.push(request);
        agenda.after(until_next, Event::Arrival { traffic });
        self.start_try(self.requests.len() - 1, agenda);
    }

    /// An edge for a caller: the one of its zone, or another after a failed try.
    fn choose_edge(&mut self, request: usize) -> MachineIndex {
        let request = &self.requests[request];
        let moved = request.tries as usize - 1;
        let site = (request.site + moved / 2) % SITES.len();
        let zone = (request.zone + moved) % self.deployment.zones.len();
        let mut edges = (0..self.machines.len()).rev().filter(|&index| {
            let machine = &self.machines[index];
            machine.back_end.is_none() && machine.site == site && machine.zone == zone
        });
        // The newest machine of a place has replaced the others.
        MachineIndex(edges.next().unwrap_or_default() as u16)
    }

    /// Begins a try of a request.
    pub(super) fn start_try(&mut self, request: usize, agenda: &mut Agenda) {
        self.requests[request].tries += 1;
        let edge = self.choose_edge(request);
        let profile = &self.deployment.traffic[self.requests[request].traffic];
        let (step, patience) = (profile.step, profile.patience.as_micros() as Instant);
        let budget = u32::from(self.deployment.class_of(step).retry_budget);
        let tree = self.record.tree_started(budget);
        let root = RootId(self.generators.identities.gen());
        let (tag, key) = (self.requests[request].tag, self.requests[request].key.clone());
        let origin = Origin::Caller(request);
        let call = self.new_call(CallStart { origin, tree, root, edge, step, tag, key });
        self.requests[request].current = Some(call);

        let latency = self.network.caller_latency(&mut self.generators.network);
        let connect = if self.requests[request].tries > 1 { self.network.connect_time() } else { 0 };
        if self.machines[edge.at()].presence == Presence::Down {
            return agenda.after(2 * latency, Event::AtCaller { call, news: CallerNews::ConnectFailed });
        }
        agenda.after(latency + connect, Event::AtEdgeCall { call });
        let waits = if self.requests[request].abandons { patience / 4 } else { patience };
        agenda.after(waits, Event::Patience { call });
    }

    /// A call of an outside caller reaches its edge.
    pub(super) fn at_edge_call(&mut self, index: CallIndex, agenda: &mut Agenda) {
        let call = &self.calls[index.at()];
        let (edge, life) = (call.edge, call.edge_life);
        if !self.is_alive(edge, life) {
            let latency = self.network.caller_latency(&mut self.generators.network);
            return agenda.after(latency, Event::AtCaller { call: index, news: CallerNews::ConnectFailed });
        }
        let Origin::Caller(request) = call.origin else { return };
        let patience = self.deployment.traffic[self.requests[request].traffic].patience;
        // Half of the callers say how long they wait.
        let remaining = self.requests[request].heeds_advice.then_some(patience);
        let caller = format!("caller-{}", self.requests[request].tag.0 % 5_000);
        let Some(arrival) = self.arrival_of(index, &caller, remaining, None) else { return };
        self.step(edge, HostInput::Edge(EdgeInput::Arrived(arrival)), agenda);
    }

    /// The caller has waited long enough.
    pub(super) fn patience_over(&mut self, index: CallIndex, agenda: &mut Agenda) {
        let Origin::Caller(request) = self.calls[index.at()].origin else { return };
        if self.requests[request].current != Some(index) {
            return;
        }
        let latency = self.network.caller_latency(&mut self.generators.network);
        agenda.after(latency, Event::AtEdgeCallerGone { call: index });
        let abandons = self.requests[request].abandons;
        self.requests[request].current = None;
        if !abandons {
            self.try_again(request, Outcome::Unknown, None, agenda);
        }
    }

    /// The edge notices that an outside caller is gone.
    pub(super) fn at_edge_caller_gone(&mut self, index: CallIndex, agenda: &mut Agenda) {
        let call = &mut self.calls[index.at()];
        let (edge, life, id, phase) = (call.edge, call.edge_life, call.id, call.phase);
        if phase == CallPhase::Done {
            return;
        }
        call.phase = CallPhase::Done;
        if self.is_alive(edge, life) {
            self.step(edge, HostInput::Edge(EdgeInput::CallerDisconnected { call: id }), agenda);
        }
    }

    /// An answer, or the lack of one, reaches an outside caller.
    pub(super) fn at_caller(&mut self, index: CallIndex, news: CallerNews, agenda: &mut Agenda) {
        let Origin::Caller(request) = self.calls[index.at()].origin else { return };
        if let CallerNews::Refused(refusal) = news {
            // What a caller was told counts even if it no longer listens.
            if refusal.outcome == Outcome::NotRun {
                self.record.told_not_run(index.number());
            }
        }
        if self.requests[request].current != Some(index) {
            return;
        }
        self.requests[request].current = None;
        match news {
            CallerNews::Complete => self.complete(request, index, agenda),
            CallerNews::Broken => self.try_again(request, Outcome::Failed, None, agenda),
            CallerNews::ConnectFailed => self.try_again(request, Outcome::NotRun, None, agenda),
            CallerNews::Refused(refusal) => {
                let step = self.calls[index.at()].step;
                *self.record.refused.entry(self.deployment.class_of(step).name).or_insert(0) += 1;
                *self.record.refused_because.entry(format!("{}: {}", refusal.outcome, refusal.reason)).or_insert(0) +=
                    1;
                let advice = refusal.retry_after.map(|after| after.as_micros() as Instant);
                self.try_again(request, refusal.outcome, advice, agenda);
            }
        }
    }

    fn complete(&mut self, request: usize, index: CallIndex, agenda: &mut Agenda) {
        const SERVER_ERRORS: u16 = 500;
        let call = &self.calls[index.at()];
        if call.status >= SERVER_ERRORS {
            return self.try_again(request, Outcome::Unknown, None, agenda);
        }
        let length = self.deployment.steps[call.step].answer.bytes;
        if !is_whole_answer(call.tag, length, &call.parts) {
            self.record.foreign_or_partial_answers += 1;
            return;
        }
        if let Some(run) = call.answered_by {
            self.record.accepted(run);
        }
        self.record.completed_whole(self.requests[request].number, agenda.now());
        self.plan_repeat(request, agenda);
    }

    /// Some callers ask again for what they were given: a second click, or a job that starts over.
    fn plan_repeat(&mut self, request: usize, agenda: &mut Agenda) {
        const SOONEST: Instant = 50 * MILLISECOND;
        const LATEST: Instant = 5 * SECOND;
        // Nothing is drawn while no caller repeats, so that the other scenarios stay as they are.
        if self.repeat_percent == 0 || self.requests[request].key.is_none() {
            return;
        }
        let generator = &mut self.generators.repeats;
        let pause = generator.gen_range(SOONEST..LATEST);
        if chance(generator, self.repeat_percent) {
            agenda.after(pause, Event::Repeat { request });
        }
    }

    /// The same caller asks under the same key, through any edge; it is owed the answer that was given.
    pub(super) fn repeat(&mut self, request: usize, agenda: &mut Agenda) {
        let Request { traffic, tag, ref key, most_tries, .. } = self.requests[request];
        let key = key.clone();
        let class = self.deployment.class_of(self.deployment.traffic[traffic].step);
        let number = self.record.offered(class.name, class.priority, agenda.now());
        let generator = &mut self.generators.repeats;
        self.requests.push(Request {
            traffic,
            number,
            tag,
            key,
            tries: 0,
            most_tries,
            site: generator.gen_range(0..SITES.len()),
            zone: generator.gen_range(0..self.deployment.zones.len()),
            current: None,
            abandons: false,
            heeds_advice: false,
        });
        self.start_try(self.requests.len() - 1, agenda);
    }

    fn try_again(&mut self, request: usize, outcome: Outcome, advice: Option<Instant>, agenda: &mut Agenda) {
        const SHORTEST_PAUSE: Instant = 20 * MILLISECOND;
        const LONGEST_PAUSE: Instant = 250 * MILLISECOND;
        const LONGEST_HARD_PAUSE: Instant = 60 * MILLISECOND;
        // Some callers repeat a request that may have run, without a key and at their own risk.
        const CARELESS_PERCENT: u32 = 20;
        let step = self.deployment.traffic[self.requests[request].traffic].step;
        let repeatable = self.deployment.class_of(step).repeatable;
        let longest = if self.hard_callers { LONGEST_HARD_PAUSE } else { LONGEST_PAUSE };
        let generator = &mut self.generators.callers;
        let pause = generator.gen_range(SHORTEST_PAUSE..longest);
        let careless = chance(generator, CARELESS_PERCENT);
        let entry = &mut self.requests[request];
        let safe = repeatable || entry.key.is_some() || outcome == Outcome::NotRun;
        if entry.tries >= entry.most_tries || !(safe || careless) {
            return;
        }
        if entry.key.is_none() && !repeatable {
            // Without a key, nobody can tell a repeat from a new request: it is one.
            entry.tag = RequestTag(generator.gen());
        }
        let pause = match advice {
            Some(advice) if entry.heeds_advice && !self.hard_callers => pause.max(advice),
            _ => pause,
        };
        agenda.after(pause, Event::Retry { request });
    }
}
