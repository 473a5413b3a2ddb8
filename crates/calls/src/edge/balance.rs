//! Load balancing: chooses a target for a call that any target may run.
//!
//! Power of two choices: of two random targets the one with the lower cost (peak EWMA latency, calls in flight and the
//! load that the gate reports) is chosen, so that edges with the same information do not all choose the same target.
//! Targets in the local zone are preferred until the one chosen there reaches the spill-over utilization.

use std::time::Duration;

use quillhatch_types::{AdmissionRank, NodeAddress, Timestamp, ZoneName};
use rand::Rng;
use rand_pcg::Pcg64;

use super::mechanisms::EdgeMechanisms;
use super::target::Target;

/// The maximum number of targets considered for one call; of more targets a random sample of this size is used.
const MAX_CANDIDATES: usize = 16;

/// Settings of load balancing among targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalanceSettings {
    /// The time constant of the latency average: how fast it follows lower latencies.
    pub latency_window: Duration,
    /// The time after which the latency of an unused target has halved, so that the target is tried again.
    pub latency_decay: Duration,
    /// How long a gate's reported load is used.
    pub feedback_lifetime: Duration,
    /// The utilization of a target at which calls spill over to other zones; 1.0 is full.
    pub spill_over_utilization: f64,
    /// How long a target that reported that it is draining, stopping or not ready is avoided.
    pub unavailable_time: Duration,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        BalanceSettings {
            latency_window: Duration::from_millis(500),
            latency_decay: Duration::from_secs(5),
            feedback_lifetime: Duration::from_secs(2),
            spill_over_utilization: 0.8,
            unavailable_time: Duration::from_secs(1),
        }
    }
}

/// The result of choosing a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// The target at this index; `probe` if its level is closed for the call and the call is sent to get a new report.
    Target { index: usize, probe: bool },
    /// No target admits the call's rank.
    Closed,
    /// Every target that admits the call has as many attempts in flight as connections.
    Full,
    /// There is no target that accepts calls.
    NoTarget,
}

/// Chooses a target for one call, from the call's properties and the edge's settings.
pub(crate) struct TargetSelector<'a> {
    pub(crate) now: Timestamp,
    pub(crate) rank: AdmissionRank,
    pub(crate) tried: &'a [NodeAddress],
    pub(crate) zone: &'a ZoneName,
    pub(crate) balance: &'a BalanceSettings,
    pub(crate) level_decay: Duration,
    pub(crate) probe_share: f64,
    pub(crate) mechanisms: &'a EdgeMechanisms,
}

impl TargetSelector<'_> {
    /// Chooses among the `members` of `targets`; `last_resort` also allows targets that are suspected, ejected or
    /// avoided.
    pub(crate) fn choose(
        &self,
        targets: &[Target],
        members: &[usize],
        last_resort: bool,
        random: &mut Pcg64,
    ) -> Choice {
        let candidates = self.candidates(targets, members, last_resort, random);
        if candidates.is_empty() {
            return Choice::NoTarget;
        }
        let admitting: Vec<usize> =
            candidates.iter().copied().filter(|index| self.is_admitted(&targets[*index])).collect();
        let probe = admitting.is_empty();
        if probe && !with_probability(self.probe_share, random) {
            return Choice::Closed;
        }
        let open = if probe { candidates } else { admitting };
        let free: Vec<usize> = open.into_iter().filter(|index| self.is_free(&targets[*index])).collect();
        match self.pick(targets, &free, random) {
            Some(index) => Choice::Target { index, probe },
            None => Choice::Full,
        }
    }

    /// Whether the target's level admits the call.
    pub(crate) fn is_admitted(&self, target: &Target) -> bool {
        !self.mechanisms.admission_levels || target.level.admits(self.rank, self.now, self.level_decay)
    }

    /// Whether the connection limit allows another attempt in flight to the target.
    pub(crate) fn is_free(&self, target: &Target) -> bool {
        !self.mechanisms.connection_limit || target.has_free_connection()
    }

    /// The targets to choose from: those not tried yet, or if all were tried, all of them.
    fn candidates(&self, targets: &[Target], members: &[usize], last_resort: bool, random: &mut Pcg64) -> Vec<usize> {
        let mut candidates = sample_members(members, random);
        candidates.retain(|index| self.is_candidate(&targets[*index], last_resort));
        if candidates.iter().any(|index| !self.is_tried(&targets[*index])) {
            candidates.retain(|index| !self.is_tried(&targets[*index]));
        }
        candidates
    }

    fn is_candidate(&self, target: &Target, last_resort: bool) -> bool {
        if last_resort {
            return target.is_serving();
        }
        target.is_healthy(self.now, self.mechanisms.ejection)
    }

    fn is_tried(&self, target: &Target) -> bool {
        self.tried.contains(&target.node.address)
    }

    fn pick(&self, targets: &[Target], free: &[usize], random: &mut Pcg64) -> Option<usize> {
        if !self.mechanisms.balancing {
            return (!free.is_empty()).then(|| free[random.gen_range(0..free.len())]);
        }
        if self.mechanisms.zone_preference {
            let local: Vec<usize> = free.iter().copied().filter(|index| targets[*index].zone == *self.zone).collect();
            let best_local = self.better_of_two(targets, &local, random);
            let has_capacity = |index: &usize| {
                targets[*index].utilization(self.now, self.balance) < self.balance.spill_over_utilization
            };
            if let Some(index) = best_local.filter(has_capacity) {
                return Some(index);
            }
        }
        self.better_of_two(targets, free, random)
    }

    fn better_of_two(&self, targets: &[Target], free: &[usize], random: &mut Pcg64) -> Option<usize> {
        match free {
            [] => None,
            [only] => Some(*only),
            _ => {
                let first = random.gen_range(0..free.len());
                let step = random.gen_range(1..free.len());
                let second = (first + step) % free.len();
                let cost = |choice: usize| targets[free[choice]].cost(self.now, self.balance);
                Some(if cost(second) < cost(first) { free[second] } else { free[first] })
            }
        }
    }
}

/// Returns true with probability `share`. Unlike `Rng::gen_bool`, it accepts values outside 0 to 1.
pub(crate) fn with_probability(share: f64, random: &mut Pcg64) -> bool {
    random.gen::<f64>() < share
}

fn sample_members(members: &[usize], random: &mut Pcg64) -> Vec<usize> {
    if members.len() <= MAX_CANDIDATES {
        return members.to_vec();
    }
    rand::seq::index::sample(random, members.len(), MAX_CANDIDATES)
        .into_iter()
        .map(|sampled| members[sampled])
        .collect()
}
