//! Finds the running call for which a target makes a call of its own.
//!
//! A target's calls come from the same address as those of callers on its machine, and name no parent. The gates that
//! serve a route report whether only targets call it ([`CallerKind`]). Until that is known, a call with the deadline of
//! a running call is treated as made for it. A call of a route that only targets call ends with its parent's deadline,
//! unless the parent has more time left than the target ever gives a call of that route:
//!
//! - A call with less time left than the maximum seen on its route has its parent's deadline, so its parent is the
//!   running call with that deadline.
//! - A call with the maximum time left only shows that its parent has at least as much time left. It inherits the
//!   priority with the highest total weight among the running calls with that much time left; the weight of each is the
//!   rate at which calls of its route call this one.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

use crate::callers::CallerKind;

/// How much earlier than its parent's deadline the deadline of a call may appear: deadlines are sent in whole
/// milliseconds.
const DEADLINE_EARLY_TOLERANCE: Duration = Duration::from_millis(3);
/// How much later it may appear: the call spends some time on its way and in this node.
const DEADLINE_LATE_TOLERANCE: Duration = Duration::from_millis(8);
/// How much less time left than the maximum seen on its route a call must have to be matched by its deadline. Covers
/// the rounding to whole milliseconds, and the time between the parent's clock reading and the call.
const INHERITED_DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// The context that a call inherits from its parent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InheritedContext {
    /// The priority of the call that entered the graph; 0 is the highest.
    pub priority: u8,
    /// The position of the call that entered the graph among those of its priority; lower ones are served first.
    pub position: u8,
    /// Whether the call, or one above it, is a retry. All calls made below it then arrive once more too.
    pub is_retry: bool,
    /// How many were admitted of a thousand calls like the one that entered the graph.
    pub admitted_permille: u16,
}

/// The value of `admitted_permille` if all calls were admitted.
pub const ALL_ADMITTED_PERMILLE: u16 = 1000;

/// An estimate of the context of a call whose parent is one of several running calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ParentEstimate {
    /// The routes of the possible parents, with the likelihood of each.
    pub parent_routes: Vec<(Arc<str>, f64)>,
    /// The priority with the highest total weight among the possible parents.
    pub priority: u8,
    /// The share of retries among them.
    pub retry_share: f64,
    /// How many were admitted of a thousand calls like their roots.
    pub admitted_permille: u16,
}

/// The origin of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOrigin {
    /// A caller: the call enters the graph here.
    Caller,
    /// The local target, for a running call of this route with this context.
    KnownParent(Arc<str>, InheritedContext),
    /// The local target, for one of several running calls; `None` if no running call has enough time left.
    UnknownParent(Option<ParentEstimate>),
}

/// Identifies a running call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunningCallId {
    deadline: Timestamp,
    sequence: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct PriorityWeight {
    total: f64,
    retried: f64,
    /// The weight of all calls like these before admission.
    offered: f64,
}

/// The calls that run at the target, ordered by the deadline that the target received.
#[derive(Clone, Debug, Default)]
pub struct ParentTracker {
    running: BTreeMap<RunningCallId, (Arc<str>, InheritedContext)>,
    next_sequence: u64,
    caller_kinds: HashMap<Arc<str>, CallerKind>,
    max_time_left: HashMap<Arc<str>, Duration>,
}

impl ParentTracker {
    /// Records that a call of `route` is forwarded to the target with this deadline.
    pub fn call_started(&mut self, deadline: Timestamp, route: Arc<str>, context: InheritedContext) -> RunningCallId {
        let call = RunningCallId { deadline, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.running.insert(call, (route, context));
        call
    }

    /// Records that a call has ended at the target.
    pub fn call_ended(&mut self, call: RunningCallId) {
        self.running.remove(&call);
    }

    /// Finds the origin of a call of `route` that came from the target's address and has `time_left`. `rate` returns
    /// the rate at which calls of a route call this one.
    pub fn origin(
        &mut self,
        route: &Arc<str>,
        time_left: Duration,
        now: Timestamp,
        rate: impl Fn(&Arc<str>) -> f64,
    ) -> CallOrigin {
        match self.caller_kinds.get(route).copied().unwrap_or_default() {
            CallerKind::IncludesCallers => CallOrigin::Caller,
            CallerKind::Unknown => {
                let parent = self.nearest_parent(route, now + time_left);
                parent.map_or(CallOrigin::Caller, |(parent, context)| {
                    CallOrigin::KnownParent(parent.clone(), context.clone())
                })
            }
            CallerKind::TargetsOnly => self.target_call_origin(route, time_left, now, rate),
        }
    }

    /// Finds the running call for which the target makes a call of `route`, if the target is known to make it.
    pub fn target_call_origin(
        &mut self,
        route: &Arc<str>,
        time_left: Duration,
        now: Timestamp,
        rate: impl Fn(&Arc<str>) -> f64,
    ) -> CallOrigin {
        let max_time_left = self.max_time_left.entry(route.clone()).or_default();
        *max_time_left = time_left.max(*max_time_left);
        if time_left + INHERITED_DEADLINE_MARGIN < *max_time_left {
            if let Some((parent, context)) = self.nearest_parent(route, now + time_left) {
                return CallOrigin::KnownParent(parent.clone(), context.clone());
            }
        }
        CallOrigin::UnknownParent(self.estimate_parent(route, now + time_left, rate))
    }

    /// Returns whether the target may make a call of `route` with `time_left`: it runs a call with as much time left,
    /// and if callers call the route too, a call with the same deadline.
    pub fn may_originate(&self, route: &str, time_left: Duration, now: Timestamp) -> bool {
        if self.caller_kinds.get(route) == Some(&CallerKind::IncludesCallers) {
            return self.nearest_parent(route, now + time_left).is_some();
        }
        let from = RunningCallId { deadline: (now + time_left) - DEADLINE_LATE_TOLERANCE, sequence: 0 };
        self.running.range(from..).next().is_some()
    }

    /// Returns whether only targets are known to call a route.
    pub fn is_called_only_by_targets(&self, route: &str) -> bool {
        self.caller_kinds.get(route) == Some(&CallerKind::TargetsOnly)
    }

    /// Records the kind of callers that the gates of a route have reported.
    pub fn record_caller_kind(&mut self, route: &Arc<str>, kind: CallerKind) {
        if kind == CallerKind::Unknown || self.caller_kinds.get(route) == Some(&kind) {
            return;
        }
        self.caller_kinds.insert(route.clone(), kind);
    }

    fn nearest_parent(&self, route: &str, deadline: Timestamp) -> Option<&(Arc<str>, InheritedContext)> {
        let from = RunningCallId { deadline: deadline - DEADLINE_LATE_TOLERANCE, sequence: 0 };
        let to = RunningCallId { deadline: deadline + DEADLINE_EARLY_TOLERANCE, sequence: u64::MAX };
        let distance = |call: &RunningCallId| call.deadline.0.abs_diff(deadline.0);
        let candidates = self.running.range(from..=to).filter(|(_, (parent, _))| **parent != *route);
        candidates.min_by_key(|(call, _)| distance(call)).map(|(_, parent)| parent)
    }

    fn estimate_parent(
        &self,
        route: &str,
        deadline: Timestamp,
        call_rate: impl Fn(&Arc<str>) -> f64,
    ) -> Option<ParentEstimate> {
        let from = RunningCallId { deadline: deadline - DEADLINE_LATE_TOLERANCE, sequence: 0 };
        // The call rate of each route, and the total weight of its calls.
        let mut routes: BTreeMap<&Arc<str>, (f64, f64)> = BTreeMap::new();
        let mut weights: BTreeMap<u8, PriorityWeight> = BTreeMap::new();
        for (parent, context) in self.running.range(from..).map(|(_, parent)| parent) {
            if **parent == *route {
                continue;
            }
            let (rate, sum) = routes.entry(parent).or_insert_with(|| (call_rate(parent), 0.0));
            let rate = *rate;
            *sum += rate;
            let weight = weights.entry(context.priority).or_default();
            weight.total += rate;
            weight.retried += if context.is_retry { rate } else { 0.0 };
            weight.offered += rate * f64::from(ALL_ADMITTED_PERMILLE) / f64::from(context.admitted_permille.max(1));
        }
        let total: f64 = weights.values().map(|weight| weight.total).sum();
        let retried: f64 = weights.values().map(|weight| weight.retried).sum();
        let (priority, weight) = weights.iter().max_by(|one, other| one.1.total.total_cmp(&other.1.total))?;
        let retry_share = if total > 0.0 { retried / total } else { 0.0 };
        let admitted_share = if weight.offered > 0.0 { weight.total / weight.offered } else { 1.0 };
        let admitted_permille = (admitted_share * f64::from(ALL_ADMITTED_PERMILLE)).round() as u16;
        let to_likelihood =
            |(route, (_, sum)): (&Arc<str>, (f64, f64))| (route.clone(), sum / total.max(f64::MIN_POSITIVE));
        let parent_routes = routes.into_iter().map(to_likelihood).collect();
        Some(ParentEstimate { parent_routes, priority: *priority, retry_share, admitted_permille })
    }
}
