//! Chooses a target for a call that any target may run.
//!
//! Power of two choices: of two targets drawn at random the one with the lower cost (peak-EWMA latency, calls in flight,
//! the gate's own load) is taken, so that edges that know the same do not all run to the same target. Targets of the
//! same zone come first until the one chosen there is loaded.

use std::time::Duration;

use quillhatch_types::{AdmissionRank, NodeAddress, Timestamp, ZoneName};
use rand::Rng;
use rand_pcg::Pcg64;

use super::mechanisms::EdgeMechanisms;
use super::target::Target;

/// Targets looked at for one call; of larger services this many are drawn at random.
const MAXIMUM_CANDIDATES: usize = 16;

/// Settings of the choice among targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalanceSettings {
    /// The span over which a faster answer replaces a slower one in the latency.
    pub latency_window: Duration,
    /// The span after which the latency of a target that is not used has halved, so that it is tried again.
    pub latency_decay: Duration,
    /// How long a gate's count of its calls is believed.
    pub feedback_lifetime: Duration,
    /// The utilization at which calls spill over to other zones; one is full.
    pub spill_over_utilization: f64,
    /// How long a target that said it is draining, stopping or not ready is left out.
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

/// What came of looking for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// The target at this place in the list; `probe` if its level is closed for the call.
    Target { index: usize, probe: bool },
    /// Every target is closed for the call's rank.
    Closed,
    /// Every target that admits the call has as many attempts in flight as connections.
    Full,
    /// There is no target that takes calls.
    Nothing,
}

/// All that the choice for one call depends on.
pub(crate) struct Choosing<'a> {
    pub(crate) now: Timestamp,
    pub(crate) rank: AdmissionRank,
    pub(crate) tried: &'a [NodeAddress],
    pub(crate) zone: &'a ZoneName,
    pub(crate) balance: &'a BalanceSettings,
    pub(crate) level_decay: Duration,
    pub(crate) probe_share: f64,
    pub(crate) mechanisms: &'a EdgeMechanisms,
}

impl Choosing<'_> {
    /// Chooses among the `members` of `targets`; `last_resort` allows targets that are suspected, ejected or closed.
    pub(crate) fn choose(
        &self,
        targets: &[Target],
        members: &[usize],
        last_resort: bool,
        random: &mut Pcg64,
    ) -> Choice {
        let candidates = self.candidates(targets, members, last_resort, random);
        if candidates.is_empty() {
            return Choice::Nothing;
        }
        let admitting: Vec<usize> =
            candidates.iter().copied().filter(|index| self.is_admitted(&targets[*index])).collect();
        let probe = admitting.is_empty();
        if probe && !draw(self.probe_share, random) {
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

    /// Whether the target may have another attempt in flight.
    pub(crate) fn is_free(&self, target: &Target) -> bool {
        !self.mechanisms.connection_limit || target.has_connection()
    }

    /// The targets to choose from: those not tried yet, unless there are no others.
    fn candidates(&self, targets: &[Target], members: &[usize], last_resort: bool, random: &mut Pcg64) -> Vec<usize> {
        let mut candidates = sample(members, random);
        candidates.retain(|index| self.is_candidate(&targets[*index], last_resort));
        if candidates.iter().any(|index| !self.was_tried(&targets[*index])) {
            candidates.retain(|index| !self.was_tried(&targets[*index]));
        }
        candidates
    }

    fn is_candidate(&self, target: &Target, last_resort: bool) -> bool {
        if last_resort {
            return target.is_serving();
        }
        target.is_preferred(self.now, self.mechanisms.ejection)
    }

    fn was_tried(&self, target: &Target) -> bool {
        self.tried.contains(&target.node.address)
    }

    fn pick(&self, targets: &[Target], free: &[usize], random: &mut Pcg64) -> Option<usize> {
        if !self.mechanisms.balancing {
            return (!free.is_empty()).then(|| free[random.gen_range(0..free.len())]);
        }
        if self.mechanisms.zone_preference {
            let near: Vec<usize> = free.iter().copied().filter(|index| targets[*index].zone == *self.zone).collect();
            let nearest = self.better_of_two(targets, &near, random);
            let has_room = |index: &usize| {
                targets[*index].utilization(self.now, self.balance) < self.balance.spill_over_utilization
            };
            if let Some(index) = nearest.filter(has_room) {
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
                let cost = |place: usize| targets[free[place]].cost(self.now, self.balance);
                Some(if cost(second) < cost(first) { free[second] } else { free[first] })
            }
        }
    }
}

/// Whether a draw with the given probability comes out; no value of `share` is out of range.
pub(crate) fn draw(share: f64, random: &mut Pcg64) -> bool {
    random.gen::<f64>() < share
}

fn sample(members: &[usize], random: &mut Pcg64) -> Vec<usize> {
    if members.len() <= MAXIMUM_CANDIDATES {
        return members.to_vec();
    }
    rand::seq::index::sample(random, members.len(), MAXIMUM_CANDIDATES)
        .into_iter()
        .map(|place| members[place])
        .collect()
}
