//! Chooses the target of an attempt by estimated cost, from the target's measured latency, its reported load and this
//! node's own load on it, its zone and its recent failures.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;
use rand::Rng;

use crate::gate::GateLoad;
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::target_limit::{AnnouncedLimit, KnownLimit, RateLimitTable};
use crate::targets::{Target, TargetId};

/// The maximum number of candidates that one attempt compares in the local zone, and in all other zones together.
const MAX_CANDIDATES: usize = 12;
/// The fraction of a call's time limit that staying in the local zone may cost. A call has several hops, and a response
/// that arrives before its latency objective is worth no more, while traffic between zones is billed.
const MAX_LOCALITY_COST_FRACTION: f64 = 0.1;
/// The minimum and maximum cost of an attempt in another zone, on top of its response time, as a multiple of the mean
/// response time of its route. The minimum covers the network round trip. With the maximum, another zone's target is
/// chosen over a local one that works at less than a third of the usual speed.
const CROSS_ZONE_COST_BOUNDS: (f64, f64) = (0.15, 2.0);
/// The utilization above which calls are expected to wait at a target.
const BUSY_THRESHOLD: f64 = 0.7;
/// The extra cost of a target at full utilization, as a multiple of the mean response time.
const FULL_UTILIZATION_COST: f64 = 2.0;
/// The extra cost of a target at which as many calls wait as run, as a multiple of the mean response time. The wait
/// itself takes the mean response time once. It counts twice since load reports are late and other nodes choose the
/// same target meanwhile.
const FULL_QUEUE_COST: f64 = 2.0;
/// The cost of a failed attempt, as a multiple of the mean response time of its route: the call is lost or retried, and
/// so is the work of its callers. A target that fails a tenth of its calls costs as much as one that takes twice as
/// long, and takes the calls that the others can't serve.
const FAILURE_COST: f64 = 10.0;
/// The half-life of the reported failures of a target that receives no calls, so that it is tried again.
const HEALTH_HALF_LIFE: Duration = Duration::from_millis(1500);
/// The factor by which one lost response lowers the health of its target until its gate reports it: that of one bad
/// response among few.
const LOST_RESPONSE_HEALTH: f64 = 5.0 / 6.0;
/// The weight of one response in the relative latency of its target.
const TARGET_LATENCY_GAIN: f64 = 0.05;
/// The weight of one response in the mean response time of its route.
const ROUTE_LATENCY_GAIN: f64 = 0.02;
/// The lifetime of a load report; its weight falls linearly to zero over this time.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// The half-life of the measured latency of a target that receives no calls.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(6);
/// The slowdown factor of a target that has just started.
const COLD_TARGET_SLOWDOWN: f64 = 2.0;
/// The relative latency assumed for a target that has not responded yet: lower than the mean, so that it is tried.
const UNKNOWN_RELATIVE_LATENCY: f64 = 0.8;
/// The maximum random increase of a cost, as a fraction of it, so that nodes with the same view don't all choose the
/// same target.
const MAX_COST_JITTER: f64 = 0.1;
/// The minimum time for which a target is avoided after a failure.
const MIN_AVOIDANCE: Duration = Duration::from_millis(200);
/// The maximum time for which a target that keeps timing out is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_secs(1);
/// A target's gate is probed when a call has taken this many times the mean response time of its route, plus
/// [`PROBE_DELAY_MARGIN`].
const PROBE_DELAY_FACTOR: u32 = 3;
/// The time added to the multiple of the mean response time before a target's gate is probed.
const PROBE_DELAY_MARGIN: Duration = Duration::from_millis(150);
/// The maximum time that a call runs before its target's gate is probed.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(2);
/// The mean response time assumed for a route without measurements.
const UNKNOWN_MEAN_RESPONSE_TIME: Duration = Duration::from_millis(200);
/// The minimum and maximum of one measurement of a target's relative latency.
const RELATIVE_LATENCY_BOUNDS: (f64, f64) = (0.2, 20.0);

#[derive(Clone, Debug)]
struct TargetState {
    in_flight: u32,
    relative_latency: f64,
    latency_measured_at: Timestamp,
    latency_samples: u32,
    load: GateLoad,
    health: f64,
    reported_at: Timestamp,
    avoided_until: Timestamp,
    consecutive_failures: u32,
    last_contact: Timestamp,
}

impl Default for TargetState {
    fn default() -> Self {
        TargetState {
            in_flight: 0,
            relative_latency: 1.0,
            latency_measured_at: Timestamp::ZERO,
            latency_samples: 0,
            load: GateLoad::default(),
            health: 1.0,
            reported_at: Timestamp::ZERO,
            avoided_until: Timestamp::ZERO,
            consecutive_failures: 0,
            last_contact: Timestamp::ZERO,
        }
    }
}

/// The zone of the node that sends a call, and the cost of leaving it.
#[derive(Clone, Copy, Debug)]
pub struct ZonePreference<'a> {
    /// The zone of this node.
    pub local_zone: &'a str,
    /// The cost of an attempt in another zone on top of its response time, as a multiple of the mean response time of
    /// the call's route.
    pub cross_zone_cost: f64,
}

/// The targets that are left out of a choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exclusions<'a> {
    /// The targets that were tried already.
    pub tried: &'a [TargetId],
    /// Whether targets that would exceed their rate limits are left out even if there is no other.
    pub over_limit: bool,
}

/// The target of an attempt.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The target.
    pub target: Arc<Target>,
    /// Whether the call will probably exceed the target's rate limit: there was no other target.
    pub is_over_limit: bool,
}

/// The mean response time of a route's calls, as an exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
struct RouteLatency {
    mean_seconds: f64,
    samples: u32,
}

impl RouteLatency {
    fn add(&mut self, seconds: f64) -> f64 {
        self.samples = self.samples.saturating_add(1);
        let gain = ROUTE_LATENCY_GAIN.max(1.0 / f64::from(self.samples));
        self.mean_seconds += gain * (seconds - self.mean_seconds);
        self.mean_seconds
    }
}

/// What this node has measured of the targets that it sends to.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    target_states: HashMap<TargetId, TargetState>,
    route_latencies: HashMap<Arc<str>, RouteLatency>,
    rate_limits: RateLimitTable,
    mechanisms: Mechanisms,
}

impl LoadBalancer {
    /// A load balancer without measurements.
    pub fn new(mechanisms: Mechanisms) -> Self {
        LoadBalancer { mechanisms, ..LoadBalancer::default() }
    }

    /// Returns the target with the lowest cost among `targets` that is neither draining nor excluded.
    ///
    /// A target with a rate limit takes part only in the share of calls that its gate reports. Targets that don't take
    /// part, and those that failed recently, are left out unless there is no other.
    pub fn choose(
        &self,
        targets: &[Arc<Target>],
        excluded: Exclusions<'_>,
        preference: ZonePreference<'_>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let zone = preference.local_zone;
        let is_available =
            |target: &&Arc<Target>| !target.registration.draining && !excluded.tried.contains(&target.id);
        // Limits the candidates of a large service, starting at a random one; a small service is compared whole.
        let start = random.gen_range(0..targets.len().max(1));
        let (before_start, from_start) = targets.split_at(start.min(targets.len()));
        let available = from_start.iter().chain(before_start).filter(is_available);
        let local = available.clone().filter(|target| *target.registration.zone == *zone).take(MAX_CANDIDATES);
        let remote = available.filter(|target| *target.registration.zone != *zone).take(MAX_CANDIDATES);
        let costed = local.chain(remote).map(|target| {
            let share = self.rate_limits.share(&target.id, now);
            let is_over_limit = share < 1.0 && random.gen::<f64>() >= share;
            let is_avoided = self.target_states.get(&target.id).is_some_and(|state| state.avoided_until > now);
            let cost = self.cost(target, preference, now) * random.gen_range(1.0..1.0 + MAX_COST_JITTER);
            ((is_over_limit, is_avoided), cost, target)
        });
        let candidates = costed.filter(|((is_over_limit, _), ..)| !(excluded.over_limit && *is_over_limit));
        let best = candidates.min_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        best.map(|((is_over_limit, _), _, target)| Choice { target: target.clone(), is_over_limit })
    }

    fn cost(&self, target: &Target, preference: ZonePreference<'_>, now: Timestamp) -> f64 {
        let state = self.target_states.get(&target.id);
        let cost_if_enabled = |mechanism, cost| if self.mechanisms.is_enabled(mechanism) { cost } else { 0.0 };
        let relative_latency = state.map_or(UNKNOWN_RELATIVE_LATENCY, |state| current_relative_latency(state, now));
        let relative_latency =
            if self.mechanisms.is_enabled(Mechanism::LatencyBalancing) { relative_latency } else { 1.0 };
        let cold_cost = if target.cold_until > now { COLD_TARGET_SLOWDOWN - 1.0 } else { 0.0 };
        let cold_factor = 1.0 + cost_if_enabled(Mechanism::SlowStart, cold_cost);
        let utilization = state.map_or(0.0, |state| utilization(state, target.registration.slots, now));
        let utilization = cost_if_enabled(Mechanism::LoadBalancing, utilization);
        let busy_cost =
            FULL_UTILIZATION_COST * ((utilization - BUSY_THRESHOLD) / (1.0 - BUSY_THRESHOLD)).clamp(0.0, 1.0);
        let queue_cost = FULL_QUEUE_COST * (utilization - 1.0).max(0.0);
        let zone_cost =
            if *target.registration.zone == *preference.local_zone { 0.0 } else { preference.cross_zone_cost };
        let failure_cost = FAILURE_COST * (1.0 - state.map_or(1.0, |state| current_health(state, now)));
        let zone_cost = cost_if_enabled(Mechanism::ZoneBalancing, zone_cost);
        let failure_cost = cost_if_enabled(Mechanism::HealthBalancing, failure_cost);
        relative_latency * cold_factor * (1.0 + busy_cost + queue_cost) + zone_cost + failure_cost
    }

    /// Returns the zone preference for a call of `route` that must be answered within `time`.
    pub fn zone_preference<'a>(&self, zone: &'a str, route: &str, time: Duration) -> ZonePreference<'a> {
        let (min, max) = CROSS_ZONE_COST_BOUNDS;
        let mean = self.mean_response_time(route).unwrap_or(UNKNOWN_MEAN_RESPONSE_TIME).as_secs_f64();
        let tolerated_cost = MAX_LOCALITY_COST_FRACTION * time.as_secs_f64() / mean.max(1e-3);
        ZonePreference { local_zone: zone, cross_zone_cost: tolerated_cost.clamp(min, max) }
    }

    /// Records that an attempt is sent to a target.
    pub fn attempt_started(&mut self, target: &TargetId) {
        self.target_states.entry(target.clone()).or_default().in_flight += 1;
    }

    /// Records the end of an attempt at a target, whatever its outcome.
    pub fn attempt_ended(&mut self, target: &TargetId) {
        if let Some(state) = self.target_states.get_mut(target) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records the response time of a target for a call of a route.
    pub fn record_response_time(
        &mut self,
        target: &TargetId,
        route: &Arc<str>,
        response_time: Duration,
        now: Timestamp,
    ) {
        let response_time = response_time.as_secs_f64();
        let mean = self.route_latencies.entry(route.clone()).or_default().add(response_time);
        self.update_relative_latency(target, response_time, mean, now);
        self.target_states.entry(target.clone()).or_default().consecutive_failures = 0;
    }

    /// Records that a target had not finished a call of a route `after` it was sent.
    ///
    /// This is the only measurement of a target that is so slow that none of its calls ends in time. The mean response
    /// time of the route stays as it is, since the time that the call would have taken is unknown.
    pub fn record_unfinished(&mut self, target: &TargetId, route: &Arc<str>, after: Duration, now: Timestamp) {
        let Some(mean) = self.route_latencies.get(route).map(|latency| latency.mean_seconds) else { return };
        let after = after.as_secs_f64();
        if after > mean {
            self.update_relative_latency(target, after, mean, now);
        }
    }

    fn update_relative_latency(&mut self, target: &TargetId, response_time: f64, mean: f64, now: Timestamp) {
        let ratio = (response_time / mean.max(1e-6)).clamp(RELATIVE_LATENCY_BOUNDS.0, RELATIVE_LATENCY_BOUNDS.1);
        let state = self.target_states.entry(target.clone()).or_default();
        state.relative_latency = if state.latency_samples == 0 { ratio } else { current_relative_latency(state, now) };
        state.latency_samples = state.latency_samples.saturating_add(1);
        state.relative_latency += TARGET_LATENCY_GAIN * (ratio - state.relative_latency);
        state.latency_measured_at = now;
    }

    /// Records the load that a target's gate has reported, and the share of the target's responses that are good.
    pub fn record_load(&mut self, target: &TargetId, load: GateLoad, health: f64, now: Timestamp) {
        let state = self.target_states.entry(target.clone()).or_default();
        state.load = load;
        state.health = health;
        state.reported_at = now;
        state.last_contact = now;
    }

    /// Records that a response of a target broke off after its head, which reported the health of the target before that.
    pub fn record_lost_response(&mut self, target: &TargetId, now: Timestamp) {
        let state = self.target_states.entry(target.clone()).or_default();
        state.health = current_health(state, now) * LOST_RESPONSE_HEALTH;
        state.reported_at = now;
    }

    /// Records what a target's gate has reported of the target's rate limit.
    pub fn record_rate_limit(&mut self, target: &TargetId, limit: KnownLimit, now: Timestamp) {
        self.rate_limits.record(target, limit, now);
    }

    /// The rate limit of a target, if it is known to have one.
    pub fn rate_limit(&self, target: &str) -> Option<AnnouncedLimit> {
        self.rate_limits.limit(target)
    }

    /// Records that a target's gate responded to a liveness probe.
    pub fn record_contact(&mut self, target: &TargetId, now: Timestamp) {
        self.target_states.entry(target.clone()).or_default().last_contact = now;
    }

    /// Returns when a target's gate last responded to a probe or reported its load.
    pub fn last_contact(&self, target: &str) -> Timestamp {
        self.target_states.get(target).map_or(Timestamp::ZERO, |state| state.last_contact)
    }

    /// Returns how long a call of a route may run without a response before its target's gate is probed.
    pub fn liveness_probe_delay(&self, route: &str) -> Duration {
        let mean = self.mean_response_time(route).unwrap_or(UNKNOWN_MEAN_RESPONSE_TIME);
        (mean * PROBE_DELAY_FACTOR + PROBE_DELAY_MARGIN).min(MAX_PROBE_DELAY)
    }

    /// Avoids a target for a short time after it refused a call or its connection. Another attempt there costs very
    /// little.
    pub fn record_refusal(&mut self, target: &TargetId, now: Timestamp) {
        self.target_states.entry(target.clone()).or_default().avoided_until = now + MIN_AVOIDANCE;
    }

    /// Avoids a target whose gate did not respond to a liveness probe; the time doubles with each failure in a row.
    pub fn record_unresponsive(&mut self, target: &TargetId, now: Timestamp) {
        let state = self.target_states.entry(target.clone()).or_default();
        let avoidance = MIN_AVOIDANCE * 2_u32.pow(state.consecutive_failures.min(3));
        state.consecutive_failures += 1;
        state.avoided_until = now + avoidance.min(MAX_AVOIDANCE);
    }

    /// Returns the mean response time of a route's answered calls, if any was measured.
    pub fn mean_response_time(&self, route: &str) -> Option<Duration> {
        self.route_latencies.get(route).map(|latency| Duration::from_secs_f64(latency.mean_seconds))
    }

    /// Discards the measurements of a target that has restarted at `started` ([`crate::targets::Registration::started`]);
    /// only its calls in flight are still counted.
    pub fn reset_target(&mut self, target: &TargetId, started: u64) {
        self.rate_limits.forget_before(target, started);
        let Some(state) = self.target_states.get_mut(target) else { return };
        *state = TargetState { in_flight: state.in_flight, ..TargetState::default() };
    }

    /// Discards targets that are neither listed nor have calls in flight.
    pub fn retain_targets(&mut self, listed: impl Fn(&str) -> bool) {
        self.target_states.retain(|id, state| state.in_flight > 0 || listed(id));
    }
}

fn current_relative_latency(state: &TargetState, now: Timestamp) -> f64 {
    if state.latency_samples == 0 {
        return UNKNOWN_RELATIVE_LATENCY;
    }
    let age = now.since(state.latency_measured_at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
    1.0 + (state.relative_latency - 1.0) * 0.5_f64.powf(age)
}

fn current_health(state: &TargetState, now: Timestamp) -> f64 {
    let age = now.since(state.reported_at).as_secs_f64() / HEALTH_HALF_LIFE.as_secs_f64();
    1.0 - (1.0 - state.health) * 0.5_f64.powf(age)
}

fn utilization(state: &TargetState, slots: u32, now: Timestamp) -> f64 {
    let age = now.since(state.reported_at).as_secs_f64() / LOAD_REPORT_LIFETIME.as_secs_f64();
    let reported = state.load.utilization() * (1.0 - age).max(0.0);
    let own = f64::from(state.in_flight) / f64::from(slots.max(1));
    reported.max(own)
}
