//! Chooses the target of an attempt by expected time: measured speed, reported and own load, zone and recent failures.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;
use rand::Rng;

use crate::gate::Load;
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::targets::{Target, TargetId};

/// The targets of the own zone, and of the others together, that are looked at for one attempt.
const LOOKED_AT: usize = 12;
/// The part of a call's time that staying in the own zone may cost. A call has several hops, and an answer that comes sooner
/// than its objective is worth no more, while bytes between zones are paid for.
const LOCALITY_PART: f64 = 0.1;
/// What an attempt in another zone costs besides its time, as a multiple of the mean time of its route: at least the way there and back,
/// and no more than a target of the own zone that works at a third of the usual speed.
const OTHER_ZONE_COSTS: (f64, f64) = (0.15, 2.0);
/// The utilization from which waiting is expected at a target.
const BUSY_FROM: f64 = 0.7;
/// How much a target at full utilization costs more than an idle one, as a share of the mean time.
const BUSY_COST: f64 = 2.0;
/// How much more a target costs at which as many calls wait as run, as a share of the mean time. They take the mean time once; reports are
/// late and others choose the same target meanwhile, so waiting counts twice.
const QUEUE_COST: f64 = 2.0;
/// What a failed attempt costs, as a multiple of the mean time of its route: the call is lost or done again, and the work above it too. A
/// target that fails a tenth of its calls is as good as one that takes twice the time, and takes what the others can't.
const FAILURE_COST: f64 = 10.0;
/// The time after which the health of a target that is not used is half forgotten, so that it is tried again.
const HEALTH_MEMORY: Duration = Duration::from_millis(1500);
/// The weight of one answer in the measured speed of its target.
const SPEED_GAIN: f64 = 0.05;
/// The weight of one answer in the mean time of its route.
const ROUTE_GAIN: f64 = 0.02;
/// How long a reported load is believed; it fades over this time.
const LOAD_MEMORY: Duration = Duration::from_secs(1);
/// The time after which the measured speed of a target that is not used is half forgotten.
const SPEED_MEMORY: Duration = Duration::from_secs(6);
/// How much slower a target works that has just started.
const COLD_FACTOR: f64 = 2.0;
/// The speed that a target is taken to have before it has answered; better than the mean, so that it is tried.
const UNKNOWN_SPEED: f64 = 0.8;
/// The share by which costs are varied at random, so that nodes with the same view don't all choose the same target.
const VARIATION: f64 = 0.1;
/// The least time for which a target that failed is left out.
const SHORTEST_AVOIDANCE: Duration = Duration::from_millis(200);
/// The longest time for which a target that is silent again and again is left out.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(1);
/// A call that takes so many times longer than its route's mean makes its gate suspect.
const SUSPICION_FACTOR: u32 = 3;
/// The time beyond that.
const SUSPICION_ADDED: Duration = Duration::from_millis(150);
/// The longest time until a gate is suspect.
const LONGEST_SUSPICION: Duration = Duration::from_secs(2);
/// The mean time of a route of which nothing was measured.
const UNKNOWN_TIME: Duration = Duration::from_millis(200);
/// The speed of a target relative to the mean is taken within these bounds.
const SPEED_BOUNDS: (f64, f64) = (0.2, 20.0);

#[derive(Clone, Debug)]
struct TargetView {
    in_flight: u32,
    speed: f64,
    speed_at: Timestamp,
    answers: u32,
    load: Load,
    health: f64,
    reported_at: Timestamp,
    avoided_until: Timestamp,
    failures: u32,
    heard: Timestamp,
}

impl Default for TargetView {
    fn default() -> Self {
        TargetView {
            in_flight: 0,
            speed: 1.0,
            speed_at: Timestamp::ZERO,
            answers: 0,
            load: Load::default(),
            health: 1.0,
            reported_at: Timestamp::ZERO,
            avoided_until: Timestamp::ZERO,
            failures: 0,
            heard: Timestamp::ZERO,
        }
    }
}

/// From where a call is sent.
#[derive(Clone, Copy, Debug)]
pub struct ZonePreference<'a> {
    /// The own zone.
    pub local_zone: &'a str,
    /// What an attempt in another zone costs besides its time, as a multiple of the mean time of the call's route.
    pub cross_zone_cost: f64,
}

/// The mean time of a route's calls.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTime {
    seconds: f64,
    calls: u32,
}

impl RouteTime {
    fn add(&mut self, seconds: f64) -> f64 {
        self.calls = self.calls.saturating_add(1);
        let gain = ROUTE_GAIN.max(1.0 / f64::from(self.calls));
        self.seconds += gain * (seconds - self.seconds);
        self.seconds
    }
}

/// What this node has learnt of the targets that it sends to.
#[derive(Clone, Debug, Default)]
pub struct LoadBalancer {
    views: HashMap<TargetId, TargetView>,
    route_times: HashMap<Arc<str>, RouteTime>,
    mechanisms: Mechanisms,
}

impl LoadBalancer {
    /// A balance that knows nothing yet, with the mechanisms that are on.
    pub fn new(mechanisms: Mechanisms) -> Self {
        LoadBalancer { mechanisms, ..LoadBalancer::default() }
    }

    /// The target with the lowest cost among `targets` that is neither leaving nor named in `tried`.
    ///
    /// Targets that failed a moment ago are left out unless there is no other.
    pub fn choose(
        &self,
        targets: &[Arc<Target>],
        tried: &[TargetId],
        place: ZonePreference<'_>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<Arc<Target>> {
        let zone = place.local_zone;
        let is_open = |target: &&Arc<Target>| !target.registration.draining && !tried.contains(&target.id);
        // Of a large service some targets are looked at, beginning at a random place; of a small one all.
        let begin = random.gen_range(0..targets.len().max(1));
        let (before, from) = targets.split_at(begin.min(targets.len()));
        let open = from.iter().chain(before).filter(is_open);
        let near = open.clone().filter(|target| *target.registration.zone == *zone).take(LOOKED_AT);
        let far = open.filter(|target| *target.registration.zone != *zone).take(LOOKED_AT);
        let costed = near.chain(far).map(|target| {
            let avoided = self.views.get(&target.id).is_some_and(|view| view.avoided_until > now);
            (avoided, self.cost(target, place, now) * random.gen_range(1.0..1.0 + VARIATION), target)
        });
        let best = costed.min_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        best.map(|(_, _, target)| target.clone())
    }

    fn cost(&self, target: &Target, place: ZonePreference<'_>, now: Timestamp) -> f64 {
        let view = self.views.get(&target.id);
        let counts = |mechanism, cost| if self.mechanisms.is_enabled(mechanism) { cost } else { 0.0 };
        let speed = view.map_or(UNKNOWN_SPEED, |view| remembered_speed(view, now));
        let speed = if self.mechanisms.is_enabled(Mechanism::LatencyBalancing) { speed } else { 1.0 };
        let cold = if target.cold_until > now { COLD_FACTOR - 1.0 } else { 0.0 };
        let cold = 1.0 + counts(Mechanism::SlowStart, cold);
        let utilization = view.map_or(0.0, |view| utilization(view, target.registration.slots, now));
        let utilization = counts(Mechanism::LoadBalancing, utilization);
        let busy = BUSY_COST * ((utilization - BUSY_FROM) / (1.0 - BUSY_FROM)).clamp(0.0, 1.0);
        let queue = QUEUE_COST * (utilization - 1.0).max(0.0);
        let distance = if *target.registration.zone == *place.local_zone { 0.0 } else { place.cross_zone_cost };
        let failures = FAILURE_COST * (1.0 - view.map_or(1.0, |view| remembered_health(view, now)));
        let distance = counts(Mechanism::ZoneBalancing, distance);
        let failures = counts(Mechanism::HealthBalancing, failures);
        speed * cold * (1.0 + busy + queue) + distance + failures
    }

    /// The place from which a call of `route` is sent that is to be answered in `time`.
    pub fn zone_preference<'a>(&self, zone: &'a str, route: &str, time: Duration) -> ZonePreference<'a> {
        let (least, most) = OTHER_ZONE_COSTS;
        let mean = self.mean_response_time(route).unwrap_or(UNKNOWN_TIME).as_secs_f64();
        let borne = LOCALITY_PART * time.as_secs_f64() / mean.max(1e-3);
        ZonePreference { local_zone: zone, cross_zone_cost: borne.clamp(least, most) }
    }

    /// Notes that an attempt goes to a target.
    pub fn attempt_started(&mut self, target: &TargetId) {
        self.views.entry(target.clone()).or_default().in_flight += 1;
    }

    /// Notes that an attempt at a target is over, however it ended.
    pub fn attempt_ended(&mut self, target: &TargetId) {
        if let Some(view) = self.views.get_mut(target) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// Notes how long a target took for a call of a route.
    pub fn record_response_time(&mut self, target: &TargetId, route: &Arc<str>, took: Duration, now: Timestamp) {
        let took = took.as_secs_f64();
        let mean = self.route_times.entry(route.clone()).or_default().add(took);
        self.note_speed(target, took, mean, now);
        self.views.entry(target.clone()).or_default().failures = 0;
    }

    /// Notes that a target had not finished a call of a route when its time was over.
    ///
    /// A target that is so slow that none of its calls ends in time shows in nothing else. The mean time of the route is
    /// left alone, since it is not known how long the call would have taken.
    pub fn record_unfinished(&mut self, target: &TargetId, route: &Arc<str>, after: Duration, now: Timestamp) {
        let Some(mean) = self.route_times.get(route).map(|time| time.seconds) else { return };
        let after = after.as_secs_f64();
        if after > mean {
            self.note_speed(target, after, mean, now);
        }
    }

    fn note_speed(&mut self, target: &TargetId, took: f64, mean: f64, now: Timestamp) {
        let ratio = (took / mean.max(1e-6)).clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
        let view = self.views.entry(target.clone()).or_default();
        view.speed = if view.answers == 0 { ratio } else { remembered_speed(view, now) };
        view.answers = view.answers.saturating_add(1);
        view.speed += SPEED_GAIN * (ratio - view.speed);
        view.speed_at = now;
    }

    /// Takes the load that a target's gate has reported, and the share of the target's answers that are good.
    pub fn record_load(&mut self, target: &TargetId, load: Load, health: f64, now: Timestamp) {
        let view = self.views.entry(target.clone()).or_default();
        view.load = load;
        view.health = health;
        view.reported_at = now;
        view.heard = now;
    }

    /// Notes that a target's gate is there.
    pub fn record_contact(&mut self, target: &TargetId, now: Timestamp) {
        self.views.entry(target.clone()).or_default().heard = now;
    }

    /// When a target's gate was heard of last.
    pub fn last_contact(&self, target: &str) -> Timestamp {
        self.views.get(target).map_or(Timestamp::ZERO, |view| view.heard)
    }

    /// How long a call of a route may go without a word of its gate before the gate is asked whether it is there.
    pub fn liveness_probe_delay(&self, route: &str) -> Duration {
        let mean = self.mean_response_time(route).unwrap_or(UNKNOWN_TIME);
        (mean * SUSPICION_FACTOR + SUSPICION_ADDED).min(LONGEST_SUSPICION)
    }

    /// Leaves a target out for a moment that has refused a call or its connection. To try it again costs next to nothing.
    pub fn record_refusal(&mut self, target: &TargetId, now: Timestamp) {
        self.views.entry(target.clone()).or_default().avoided_until = now + SHORTEST_AVOIDANCE;
    }

    /// Leaves a target out that is silent, longer each time in a row.
    pub fn record_unresponsive(&mut self, target: &TargetId, now: Timestamp) {
        let view = self.views.entry(target.clone()).or_default();
        let span = SHORTEST_AVOIDANCE * 2_u32.pow(view.failures.min(3));
        view.failures += 1;
        view.avoided_until = now + span.min(LONGEST_AVOIDANCE);
    }

    /// The mean time of a route's answered calls, if any was measured.
    pub fn mean_response_time(&self, route: &str) -> Option<Duration> {
        self.route_times.get(route).map(|time| Duration::from_secs_f64(time.seconds))
    }

    /// Forgets what was learnt of a target that has started again; only the calls under way are still counted.
    pub fn reset_target(&mut self, target: &TargetId) {
        let Some(view) = self.views.get_mut(target) else { return };
        *view = TargetView { in_flight: view.in_flight, ..TargetView::default() };
    }

    /// Forgets targets that are neither listed nor in use.
    pub fn retain_targets(&mut self, listed: impl Fn(&str) -> bool) {
        self.views.retain(|id, view| view.in_flight > 0 || listed(id));
    }
}

fn remembered_speed(view: &TargetView, now: Timestamp) -> f64 {
    if view.answers == 0 {
        return UNKNOWN_SPEED;
    }
    let age = now.since(view.speed_at).as_secs_f64() / SPEED_MEMORY.as_secs_f64();
    1.0 + (view.speed - 1.0) * 0.5_f64.powf(age)
}

fn remembered_health(view: &TargetView, now: Timestamp) -> f64 {
    let age = now.since(view.reported_at).as_secs_f64() / HEALTH_MEMORY.as_secs_f64();
    1.0 - (1.0 - view.health) * 0.5_f64.powf(age)
}

fn utilization(view: &TargetView, slots: u32, now: Timestamp) -> f64 {
    let age = now.since(view.reported_at).as_secs_f64() / LOAD_MEMORY.as_secs_f64();
    let reported = view.load.utilization() * (1.0 - age).max(0.0);
    let own = f64::from(view.in_flight) / f64::from(slots.max(1));
    reported.max(own)
}
