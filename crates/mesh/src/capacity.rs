//! What is asked of a target, against what its slots can do, and the cut that follows from both.
//!
//! Each call carries the share with which calls like its root were let in. A call that was one of ten stands for ten, so what
//! arrives tells how much would arrive if nothing were refused at entry (the Horvitz-Thompson estimator), whatever cut was in force
//! when it entered. The cut is computed from that and needs no controller that tries higher and lower ones: a cut that takes a second
//! to reach the entries does not swing. Calls whose route is cut lower for want of another service, further down, count only with the
//! share that will arrive: slots that they can't use are left to others. A root fails with the first of its calls that is refused, and
//! the calls that it would have made after that don't arrive; so what arrives is divided by the share that was not refused.
//!
//! Routes of one priority share the slots' time that is left to it by max-min fairness: one whose calls take little of it is served
//! whole, one that asks for more than its part is cut. Equal shares of calls would refuse ten short calls to let one long call in.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

use crate::admission_level::{AdmissionLevel, MIN_ADMITTED_SHARE};
use crate::gate::Load;
use crate::mechanisms::{Mechanism, Mechanisms};

/// The time in seconds over which demand is measured: some dozens of calls at a gate with a hundred calls a second.
const MEASURED_OVER: f64 = 0.5;
/// The time in seconds in which calls that wait are to be worked off besides those that arrive. One waiting call a slot takes a few hundredths of
/// the slots' time away, so a queue stays short.
const WORKED_OFF_IN: f64 = 0.25;
/// The share of the slots' time that may be asked for. What waits is taken off it, so the whole may be shared out.
const USED_PART: f64 = 1.0;
/// The least part of the slots' time that is shared out, however many calls wait.
const LEAST_PART: f64 = 0.05;
/// The time in seconds over which it is measured how many slots are in use.
const BUSY_OVER: f64 = 0.3;
/// The share of slots in use up to which nothing is cut, and the one from which the cut holds whole. Demand is an estimate from some dozens
/// of calls; where slots are free nothing is short, however high it is.
const BUSY_BOUNDS: (f64, f64) = (0.8, 0.92);
/// The share of slots in use that a cut aims at.
const BUSY_AIM: f64 = 0.97;
/// By how much the capacity is corrected in a second for each part of the slots that a cut leaves unused.
const CORRECTION_RATE: f64 = 1.0;
/// The time in seconds in which a correction is forgotten by two thirds while nothing is cut.
const CORRECTION_MEMORY: f64 = 1.0;
/// The bounds of the correction.
const CORRECTION_BOUNDS: (f64, f64) = (1.0, 1.5);
/// The least weight of one call in the time that calls of its route hold a slot.
const TIME_GAIN: f64 = 0.02;
/// The greatest share of refused calls that is made up for.
const MOST_REFUSED: f64 = 0.8;
/// The calls that must have been seen for the share of refused ones to be believed wholly.
const REFUSED_AMONG: f64 = 10.0;

/// Calls of targets with one priority, fading.
#[derive(Clone, Copy, Debug, Default)]
struct Begun {
    arrived: f64,
    refused: f64,
}

impl Begun {
    /// The share that was not refused.
    fn taken(self) -> f64 {
        1.0 - (self.refused / self.arrived.max(REFUSED_AMONG)).clamp(0.0, MOST_REFUSED)
    }
}

/// The time for which calls of a route hold a slot.
#[derive(Clone, Copy, Debug)]
struct HeldTime {
    seconds: f64,
    measured: Timestamp,
}

/// The slots that routes ask for at a time.
type RouteDemands = BTreeMap<Arc<str>, f64>;

/// The most slots that one route gets of `slots`, if those that ask for less get what they ask for and the others the same (max-min
/// fairness; Bertsekas and Gallager, Data Networks, 6.5).
fn fair_most(routes: &RouteDemands, slots: f64) -> f64 {
    let mut asked: Vec<f64> = routes.values().copied().collect();
    asked.sort_by(f64::total_cmp);
    let (mut left, mut most) = (slots, 0.0);
    for (served, asked) in asked.iter().enumerate() {
        most = left / (routes.len() - served) as f64;
        if *asked >= most {
            break;
        }
        left -= asked;
    }
    most
}

/// What a target can't serve of what arrives.
#[derive(Clone, Debug)]
pub struct Shortage {
    /// The priorities that are served whole.
    whole: usize,
    /// What routes ask for of the priority that comes next; that is served in part.
    routes: RouteDemands,
    /// The most slots that one of them gets.
    most: f64,
    /// How sure it is, from zero to one.
    evidence: f64,
    priorities: u32,
}

impl Shortage {
    /// Where the calls of a route are to be cut.
    pub fn admission_level(&self, route: &str) -> AdmissionLevel {
        let asked = self.routes.get(route).copied().unwrap_or(0.0);
        let share = if asked > self.most { self.most / asked } else { 1.0 };
        let cut = (self.whole as f64 + share) / f64::from(self.priorities.max(1));
        AdmissionLevel::from_priority_share(1.0 - (1.0 - cut) * self.evidence)
    }
}

/// Demand and capacity of one gate's target.
#[derive(Clone, Debug)]
pub struct CapacityMeter {
    held: HashMap<Arc<str>, HeldTime>,
    mean: f64,
    /// Seconds of slots that were asked for, by route and priority; fading.
    asked: BTreeMap<Arc<str>, BTreeMap<u8, f64>>,
    /// Calls for which work was already done, by priority.
    begun: BTreeMap<u8, Begun>,
    /// The share of slots in use.
    busy: f64,
    /// What the slots do in truth, as a multiple of what was worked out: calls that hold slots for less time, or do not come.
    correction: f64,
    observed: Timestamp,
    faded: Timestamp,
    started: Option<Timestamp>,
    mechanisms: Mechanisms,
}

impl CapacityMeter {
    /// A meter that has seen nothing, with the mechanisms that are on.
    pub fn new(mechanisms: Mechanisms, now: Timestamp) -> Self {
        CapacityMeter {
            held: HashMap::new(),
            mean: 0.0,
            asked: BTreeMap::new(),
            begun: BTreeMap::new(),
            busy: 0.0,
            correction: 1.0,
            observed: now,
            faded: now,
            started: None,
            mechanisms,
        }
    }

    /// A call arrives whose root was let in with `admitted_share` of those like it.
    pub fn call_arrived(&mut self, route: &Arc<str>, priority: u8, admitted_share: f64, now: Timestamp) {
        self.fade(now);
        let Some(held) = self.held.get(route) else { return };
        self.started.get_or_insert(now);
        let asked = self.asked.entry(route.clone()).or_default().entry(priority).or_default();
        *asked += held.seconds / admitted_share.clamp(MIN_ADMITTED_SHARE, 1.0);
    }

    /// A call that a target makes arrives.
    pub fn inner_call_arrived(&mut self, priority: u8) {
        self.begun.entry(priority).or_default().arrived += 1.0;
    }

    /// A call that a target makes was refused for want of a slot.
    pub fn inner_call_refused(&mut self, priority: u8) {
        self.begun.entry(priority).or_default().refused += 1.0;
    }

    /// A call has held its slot for `time`.
    pub fn record_slot_time(&mut self, route: &Arc<str>, time: Duration, now: Timestamp) {
        let seconds = time.as_secs_f64();
        let held = self.held.entry(route.clone()).or_insert(HeldTime { seconds, measured: now });
        let replaced = 1.0 - (-now.since(held.measured).as_secs_f64() / MEASURED_OVER).exp();
        held.seconds += replaced.max(TIME_GAIN) * (seconds - held.seconds);
        held.measured = now;
        if self.mean == 0.0 {
            self.mean = seconds;
        }
        self.mean += TIME_GAIN * (seconds - self.mean);
    }

    /// The slots that are asked for at a time, by priority and route, if of the calls of each route those above `cut_of` it arrive.
    fn demand(&self, priorities: u32, cut_of: impl Fn(&str) -> AdmissionLevel, now: Timestamp) -> Vec<RouteDemands> {
        let span = self.measured_span(now);
        let mut demand = vec![RouteDemands::new(); priorities as usize];
        for (route, asked) in &self.asked {
            let cut = cut_of(route);
            for (priority, seconds) in asked {
                let Some(routes) = demand.get_mut(usize::from(*priority)) else { continue };
                let begun =
                    self.begun.get(priority).filter(|_| self.mechanisms.is_enabled(Mechanism::MissingCallEstimate));
                let taken = begun.map_or(1.0, |begun| begun.taken());
                let slots = seconds * cut.admitted_share(*priority, priorities) / taken / span;
                routes.insert(route.clone(), slots);
            }
        }
        demand
    }

    fn observe(&mut self, load: Load, is_cut: bool, now: Timestamp) {
        let elapsed = now.since(self.observed).as_secs_f64();
        self.observed = now;
        let busy = f64::from(load.running) / f64::from(load.limit.max(1));
        self.busy += (1.0 - (-elapsed / BUSY_OVER).exp()) * (busy.min(1.0) - self.busy);
        if is_cut && self.busy > BUSY_BOUNDS.0 {
            let (least, most) = CORRECTION_BOUNDS;
            let step = elapsed.min(BUSY_OVER) * CORRECTION_RATE;
            self.correction = (self.correction + step * (BUSY_AIM - self.busy)).clamp(least, most);
        } else {
            self.correction += (1.0 - (-elapsed / CORRECTION_MEMORY).exp()) * (1.0 - self.correction);
        }
    }

    /// What the target can't serve of what arrives, if `priorities` are in use and calls of each route below `cut_of` it do not arrive.
    /// `None` if it can serve everything.
    pub fn shortage(
        &mut self,
        load: Load,
        priorities: u32,
        cut_of: impl Fn(&str) -> AdmissionLevel,
        now: Timestamp,
    ) -> Option<Shortage> {
        self.fade(now);
        let by_priority = self.demand(priorities, cut_of, now);
        let demand: f64 = by_priority.iter().flat_map(BTreeMap::values).sum();
        let slots = f64::from(load.limit);
        let waiting = f64::from(load.waiting) * self.mean / WORKED_OFF_IN;
        let capacity = (slots * USED_PART * self.correction - waiting).max(slots * LEAST_PART);
        self.observe(load, demand > capacity, now);
        let (free_up_to, full_from) = BUSY_BOUNDS;
        let evidence = ((self.busy - free_up_to) / (full_from - free_up_to)).clamp(0.0, 1.0);
        if demand <= capacity || evidence == 0.0 {
            return None;
        }
        let mut left = (capacity - MIN_ADMITTED_SHARE * demand).max(0.0) / (1.0 - MIN_ADMITTED_SHARE);
        for (whole, routes) in by_priority.into_iter().enumerate() {
            let asked: f64 = routes.values().sum();
            if asked > left {
                let most = fair_most(&routes, left);
                return Some(Shortage { whole, routes, most, evidence, priorities });
            }
            left -= asked;
        }
        None
    }

    fn measured_span(&self, now: Timestamp) -> f64 {
        let age = self.started.map_or(0.0, |started| now.since(started).as_secs_f64());
        MEASURED_OVER * (1.0 - (-age.max(0.05) / MEASURED_OVER).exp())
    }

    fn fade(&mut self, now: Timestamp) {
        let elapsed = now.since(self.faded).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.faded = now;
        let kept = (-elapsed / MEASURED_OVER).exp();
        self.asked.values_mut().flat_map(BTreeMap::values_mut).for_each(|asked| *asked *= kept);
        for begun in self.begun.values_mut() {
            begun.arrived *= kept;
            begun.refused *= kept;
        }
    }
}
