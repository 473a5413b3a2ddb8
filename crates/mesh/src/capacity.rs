//! Compares the demand for a target's slots with their capacity, and derives the admission levels of its routes.
//!
//! Each call carries the share with which calls like its root were admitted. A call that was one of ten counts as ten,
//! so what arrives shows the demand that would arrive if nothing were refused at entry (the Horvitz-Thompson
//! estimator), whatever level was in force when the call entered. The level follows from that demand and needs no
//! feedback controller that tries higher and lower ones: it does not oscillate, even if it takes a second to reach the
//! nodes where calls enter. Calls whose route has a lower level because of another service, further down, count only
//! with the share that will arrive: slots that they can't use are left to others. A root fails with the first of its
//! calls that is refused, and the calls that it would have made after that don't arrive; so what arrives is divided by
//! the share that was not refused.
//!
//! Routes of one priority share the slot time that is left to it by max-min fairness: a route whose calls take little
//! of it is served in full, and one that demands more than its part is limited. Equal shares of calls would refuse ten
//! short calls to admit one long call.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

use crate::admission_level::{AdmissionLevel, MIN_ADMITTED_SHARE};
use crate::gate::GateLoad;
use crate::mechanisms::{Mechanism, Mechanisms};

/// The time constant, in seconds, over which demand is measured: some dozens of calls at a gate with a hundred calls a
/// second.
const DEMAND_TIME_CONSTANT_S: f64 = 0.5;
/// The time, in seconds, in which waiting calls are to be served in addition to those that arrive. One waiting call per
/// slot takes a few hundredths of the slots' time, so a queue stays short.
const BACKLOG_CLEAR_TIME_S: f64 = 0.25;
/// The fraction of the slots' time that may be used. Waiting calls are subtracted from it, so all of it may be
/// assigned.
const MAX_USED_FRACTION: f64 = 1.0;
/// The minimum fraction of the slots' time that is assigned, however many calls wait.
const MIN_ASSIGNED_FRACTION: f64 = 0.05;
/// The time constant, in seconds, over which utilization is measured.
const UTILIZATION_TIME_CONSTANT_S: f64 = 0.3;
/// The utilization up to which nothing is limited, and the one from which a level applies in full. Demand is an
/// estimate from some dozens of calls; while slots are free there is no shortage, however high the estimate is.
const EVIDENCE_UTILIZATION_BOUNDS: (f64, f64) = (0.8, 0.92);
/// The utilization that an admission level aims for; the capacity is corrected by the difference.
const DESIRED_UTILIZATION: f64 = 0.97;
/// The correction of the capacity per second, as a multiple of the fraction of slots that a level leaves unused.
const CORRECTION_RATE_PER_S: f64 = 1.0;
/// The time constant, in seconds, with which a correction decays while nothing is limited.
const CORRECTION_DECAY_S: f64 = 1.0;
/// The minimum and maximum of the correction.
const CORRECTION_BOUNDS: (f64, f64) = (1.0, 1.5);
/// The minimum weight of one call in the mean slot time of its route.
const MIN_SLOT_TIME_GAIN: f64 = 0.02;
/// The maximum share of refused calls that demand is corrected for.
const MAX_REFUSED_SHARE: f64 = 0.8;
/// The number of calls from which the share of refused ones counts in full; with fewer calls it counts for less.
const MIN_REFUSAL_SAMPLES: f64 = 10.0;

/// Nested calls (made by targets) of one priority, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct NestedCalls {
    arrived: f64,
    refused: f64,
}

impl NestedCalls {
    /// Returns the share that was not refused.
    fn accepted_share(self) -> f64 {
        1.0 - (self.refused / self.arrived.max(MIN_REFUSAL_SAMPLES)).clamp(0.0, MAX_REFUSED_SHARE)
    }
}

/// The mean time for which calls of a route hold a slot.
#[derive(Clone, Copy, Debug)]
struct SlotTime {
    seconds: f64,
    measured: Timestamp,
}

/// The demand of each route, as the mean number of slots in use at a time.
type SlotDemands = BTreeMap<Arc<str>, f64>;

/// Returns the maximum number of slots for one route if `slots` are shared by max-min fairness: routes that demand less
/// get what they demand, and the others equal parts (Bertsekas and Gallager, Data Networks, 6.5).
fn max_min_fair_limit(route_demands: &SlotDemands, slots: f64) -> f64 {
    let mut demands: Vec<f64> = route_demands.values().copied().collect();
    demands.sort_by(f64::total_cmp);
    let (mut left, mut route_limit) = (slots, 0.0);
    for (served, demand) in demands.iter().enumerate() {
        route_limit = left / (route_demands.len() - served) as f64;
        if *demand >= route_limit {
            break;
        }
        left -= demand;
    }
    route_limit
}

/// The demand that exceeds the capacity of a target.
#[derive(Clone, Debug)]
pub struct CapacityShortage {
    /// The number of priorities that are served in full, from the highest on.
    full_priorities: usize,
    /// The demand of each route of the next priority, which is served in part.
    route_demands: SlotDemands,
    /// The maximum number of slots for one of these routes.
    route_limit: f64,
    /// The certainty of the shortage, from zero to one.
    evidence: f64,
    priorities: u32,
}

impl CapacityShortage {
    /// Returns the admission level for the calls of a route.
    pub fn admission_level(&self, route: &str) -> AdmissionLevel {
        let demand = self.route_demands.get(route).copied().unwrap_or(0.0);
        let share = if demand > self.route_limit { self.route_limit / demand } else { 1.0 };
        let level = (self.full_priorities as f64 + share) / f64::from(self.priorities.max(1));
        AdmissionLevel::from_priority_share(1.0 - (1.0 - level) * self.evidence)
    }
}

/// Measures the demand for the slots of one gate's target, and their capacity.
#[derive(Clone, Debug)]
pub struct CapacityMeter {
    slot_times: HashMap<Arc<str>, SlotTime>,
    mean_slot_seconds: f64,
    /// The slot time that was demanded, in seconds, by route and priority, with exponential decay.
    demand_seconds: BTreeMap<Arc<str>, BTreeMap<u8, f64>>,
    /// Nested calls, by priority: work was already done for them.
    nested_calls: BTreeMap<u8, NestedCalls>,
    /// The fraction of slots in use.
    utilization: f64,
    /// The ratio of the actual capacity to the computed one: some calls hold slots for less time than on average, or
    /// don't arrive.
    correction: f64,
    observed_at: Timestamp,
    decayed_at: Timestamp,
    first_call_at: Option<Timestamp>,
    mechanisms: Mechanisms,
}

impl CapacityMeter {
    /// A meter without measurements.
    pub fn new(mechanisms: Mechanisms, now: Timestamp) -> Self {
        CapacityMeter {
            slot_times: HashMap::new(),
            mean_slot_seconds: 0.0,
            demand_seconds: BTreeMap::new(),
            nested_calls: BTreeMap::new(),
            utilization: 0.0,
            correction: 1.0,
            observed_at: now,
            decayed_at: now,
            first_call_at: None,
            mechanisms,
        }
    }

    /// Records that a call arrives whose root was admitted with `admitted_share` of the calls like it.
    pub fn call_arrived(&mut self, route: &Arc<str>, priority: u8, admitted_share: f64, now: Timestamp) {
        self.decay(now);
        let Some(slot_time) = self.slot_times.get(route) else { return };
        self.first_call_at.get_or_insert(now);
        let demand_seconds = self.demand_seconds.entry(route.clone()).or_default().entry(priority).or_default();
        *demand_seconds += slot_time.seconds / admitted_share.clamp(MIN_ADMITTED_SHARE, 1.0);
    }

    /// Records that a nested call arrives.
    pub fn nested_call_arrived(&mut self, priority: u8) {
        self.nested_calls.entry(priority).or_default().arrived += 1.0;
    }

    /// Records that a nested call was refused because no slot was free.
    pub fn nested_call_refused(&mut self, priority: u8) {
        self.nested_calls.entry(priority).or_default().refused += 1.0;
    }

    /// Records that a call has held its slot for `time`.
    pub fn record_slot_time(&mut self, route: &Arc<str>, time: Duration, now: Timestamp) {
        let seconds = time.as_secs_f64();
        let slot_time = self.slot_times.entry(route.clone()).or_insert(SlotTime { seconds, measured: now });
        let replaced = 1.0 - (-now.since(slot_time.measured).as_secs_f64() / DEMAND_TIME_CONSTANT_S).exp();
        slot_time.seconds += replaced.max(MIN_SLOT_TIME_GAIN) * (seconds - slot_time.seconds);
        slot_time.measured = now;
        if self.mean_slot_seconds == 0.0 {
            self.mean_slot_seconds = seconds;
        }
        self.mean_slot_seconds += MIN_SLOT_TIME_GAIN * (seconds - self.mean_slot_seconds);
    }

    /// Returns the demand for slots, by priority and route, if only those calls arrive that the level of their route
    /// admits, which `level_of` returns.
    fn demand(&self, priorities: u32, level_of: impl Fn(&str) -> AdmissionLevel, now: Timestamp) -> Vec<SlotDemands> {
        let measured_seconds = self.measured_seconds(now);
        let mut demand = vec![SlotDemands::new(); priorities as usize];
        for (route, demand_seconds) in &self.demand_seconds {
            let level = level_of(route);
            for (priority, seconds) in demand_seconds {
                let Some(route_demands) = demand.get_mut(usize::from(*priority)) else { continue };
                let nested_calls = self
                    .nested_calls
                    .get(priority)
                    .filter(|_| self.mechanisms.is_enabled(Mechanism::MissingCallEstimate));
                let accepted_share = nested_calls.map_or(1.0, |nested_calls| nested_calls.accepted_share());
                let slots = seconds * level.admitted_share(*priority, priorities) / accepted_share / measured_seconds;
                route_demands.insert(route.clone(), slots);
            }
        }
        demand
    }

    fn observe_utilization(&mut self, load: GateLoad, is_limited: bool, now: Timestamp) {
        let elapsed = now.since(self.observed_at).as_secs_f64();
        self.observed_at = now;
        let utilization = f64::from(load.running) / f64::from(load.limit.max(1));
        self.utilization +=
            (1.0 - (-elapsed / UTILIZATION_TIME_CONSTANT_S).exp()) * (utilization.min(1.0) - self.utilization);
        if is_limited && self.utilization > EVIDENCE_UTILIZATION_BOUNDS.0 {
            let (min, max) = CORRECTION_BOUNDS;
            let step = elapsed.min(UTILIZATION_TIME_CONSTANT_S) * CORRECTION_RATE_PER_S;
            self.correction = (self.correction + step * (DESIRED_UTILIZATION - self.utilization)).clamp(min, max);
        } else {
            self.correction += (1.0 - (-elapsed / CORRECTION_DECAY_S).exp()) * (1.0 - self.correction);
        }
    }

    /// Returns the demand that the target can't serve, or `None` if it can serve everything. `priorities` is the number
    /// of priorities in use. `level_of` returns the level at which other services limit a route; calls that it refuses
    /// don't arrive.
    pub fn shortage(
        &mut self,
        load: GateLoad,
        priorities: u32,
        level_of: impl Fn(&str) -> AdmissionLevel,
        now: Timestamp,
    ) -> Option<CapacityShortage> {
        self.decay(now);
        let demand_by_priority = self.demand(priorities, level_of, now);
        let demand: f64 = demand_by_priority.iter().flat_map(BTreeMap::values).sum();
        let slots = f64::from(load.limit);
        let backlog = f64::from(load.waiting) * self.mean_slot_seconds / BACKLOG_CLEAR_TIME_S;
        let capacity = (slots * MAX_USED_FRACTION * self.correction - backlog).max(slots * MIN_ASSIGNED_FRACTION);
        self.observe_utilization(load, demand > capacity, now);
        let (free_up_to, full_from) = EVIDENCE_UTILIZATION_BOUNDS;
        let evidence = ((self.utilization - free_up_to) / (full_from - free_up_to)).clamp(0.0, 1.0);
        if demand <= capacity || evidence == 0.0 {
            return None;
        }
        // Calls beyond the level still take the minimum share of their demand. What remains of the capacity admits this
        // demand by priority.
        let mut left = (capacity - MIN_ADMITTED_SHARE * demand).max(0.0) / (1.0 - MIN_ADMITTED_SHARE);
        for (full_priorities, route_demands) in demand_by_priority.into_iter().enumerate() {
            let priority_demand: f64 = route_demands.values().sum();
            if priority_demand > left {
                let route_limit = max_min_fair_limit(&route_demands, left);
                return Some(CapacityShortage { full_priorities, route_demands, route_limit, evidence, priorities });
            }
            left -= priority_demand;
        }
        None
    }

    /// The integral of the decay weights over the time for which demand was measured (at least 50 ms), in seconds:
    /// demand is the slot time divided by this.
    fn measured_seconds(&self, now: Timestamp) -> f64 {
        let age = self.first_call_at.map_or(0.0, |first_call_at| now.since(first_call_at).as_secs_f64());
        DEMAND_TIME_CONSTANT_S * (1.0 - (-age.max(0.05) / DEMAND_TIME_CONSTANT_S).exp())
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.decayed_at = now;
        let remaining = (-elapsed / DEMAND_TIME_CONSTANT_S).exp();
        self.demand_seconds.values_mut().flat_map(BTreeMap::values_mut).for_each(|seconds| *seconds *= remaining);
        for nested_calls in self.nested_calls.values_mut() {
            nested_calls.arrived *= remaining;
            nested_calls.refused *= remaining;
        }
    }
}
