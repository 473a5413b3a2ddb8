//! For which of its running calls a target makes a call of its own.
//!
//! A target's calls come from the same address as those of callers on its machine, and name no parent. Whether only targets call
//! a route is reported by the gates that serve it ([`CallerKind`]); until they know, a call with the deadline of a running one is taken to
//! be made for it. A call of a route that only targets call ends with its parent's deadline, unless the
//! parent has more time left than the target ever gives a call of that route:
//!
//! - A call with less time than the most that was seen on its route has its parent's deadline, so its parent is the running call
//!   with that deadline.
//! - A call with the most that was seen shows only that its parent has at least as much time left. It inherits the importance
//!   that weighs most among the running calls with so much time, by how often calls of their routes call this one.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

use crate::callers::CallerKind;

/// How much earlier than its parent's the deadline of a call may seem: deadlines travel in whole milliseconds.
const EARLIER: Duration = Duration::from_millis(3);
/// How much later it may seem: the call spends some time on its way and in this node.
const LATER: Duration = Duration::from_millis(8);
/// By how much less than the most time that was seen a call must have for its parent's deadline to be its own: whole
/// milliseconds, and the time between the parent's look at the clock and the call.
const OWN_TIME_MARGIN: Duration = Duration::from_millis(5);

/// What a call inherits from the call for which it is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InheritedContext {
    /// The importance of the call that entered the graph; 0 is the greatest.
    pub priority: u8,
    /// The position of the call that entered the graph among those of its importance; lower ones are served first.
    pub position: u8,
    /// Whether the call, or one above it, is sent to a target once more. Whatever is called below it arrives once more too.
    pub is_retry: bool,
    /// Of a thousand calls like the one that entered the graph, how many were let in.
    pub admitted_permille: u16,
}

/// All calls were let in.
pub const ALL_ADMITTED_PERMILLE: u16 = 1000;

/// What is likely of a call whose parent is one of several.
#[derive(Clone, Debug, PartialEq)]
pub struct ParentEstimate {
    /// The routes of the possible parents, with the likelihood of each.
    pub parent_routes: Vec<(Arc<str>, f64)>,
    /// The importance that weighs most among the possible parents.
    pub priority: u8,
    /// The share of repeated calls among them.
    pub retry_share: f64,
    /// Of a thousand calls like their roots, how many were let in.
    pub admitted_permille: u16,
}

/// Who makes a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOrigin {
    /// A caller: the call enters the graph here.
    Caller,
    /// The target beside this node, for a call of this route.
    KnownParent(Arc<str>, InheritedContext),
    /// The target beside this node, for one of several calls; `None` if none of those that run fits.
    UnknownParent(Option<ParentEstimate>),
}

/// Identifies a running call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunningCallId {
    deadline: Timestamp,
    sequence: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Weight {
    all: f64,
    repeated: f64,
    /// The calls for which they stand.
    asked: f64,
}

/// The calls that run at the target, by the deadline that it was given.
#[derive(Clone, Debug, Default)]
pub struct ParentTracker {
    running: BTreeMap<RunningCallId, (Arc<str>, InheritedContext)>,
    next_sequence: u64,
    called_by: HashMap<Arc<str>, CallerKind>,
    longest: HashMap<Arc<str>, Duration>,
}

impl ParentTracker {
    /// A call of `route` goes to the target, which was given until `deadline`.
    pub fn call_started(&mut self, deadline: Timestamp, route: Arc<str>, lineage: InheritedContext) -> RunningCallId {
        let call = RunningCallId { deadline, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.running.insert(call, (route, lineage));
        call
    }

    /// A call has ended at the target.
    pub fn call_ended(&mut self, call: RunningCallId) {
        self.running.remove(&call);
    }

    /// Who makes a call of `route` that came from the target's address and has `time` left. `rate` tells how often calls of a
    /// route make calls of this one.
    pub fn origin(
        &mut self,
        route: &Arc<str>,
        time: Duration,
        now: Timestamp,
        rate: impl Fn(&Arc<str>) -> f64,
    ) -> CallOrigin {
        match self.called_by.get(route).copied().unwrap_or_default() {
            CallerKind::IncludesCallers => CallOrigin::Caller,
            CallerKind::Unknown => {
                let parent = self.nearest(route, now + time);
                parent.map_or(CallOrigin::Caller, |(parent, lineage)| {
                    CallOrigin::KnownParent(parent.clone(), lineage.clone())
                })
            }
            CallerKind::TargetsOnly => self.target_call_origin(route, time, now, rate),
        }
    }

    /// For which of the running calls the target makes a call of `route`, where it is known that the target makes it.
    pub fn target_call_origin(
        &mut self,
        route: &Arc<str>,
        time: Duration,
        now: Timestamp,
        rate: impl Fn(&Arc<str>) -> f64,
    ) -> CallOrigin {
        let longest = self.longest.entry(route.clone()).or_default();
        *longest = time.max(*longest);
        if time + OWN_TIME_MARGIN < *longest {
            if let Some((parent, lineage)) = self.nearest(route, now + time) {
                return CallOrigin::KnownParent(parent.clone(), lineage.clone());
            }
        }
        CallOrigin::UnknownParent(self.likely(route, now + time, rate))
    }

    /// Whether the target may make a call of `route` with `time` left: it runs a call that has as much, and if callers call the route too
    /// also one that ends at the same moment.
    pub fn may_originate(&self, route: &str, time: Duration, now: Timestamp) -> bool {
        if self.called_by.get(route) == Some(&CallerKind::IncludesCallers) {
            return self.nearest(route, now + time).is_some();
        }
        let from = RunningCallId { deadline: (now + time) - LATER, sequence: 0 };
        self.running.range(from..).next().is_some()
    }

    /// Whether only targets are known to call a route.
    pub fn is_called_only_by_targets(&self, route: &str) -> bool {
        self.called_by.get(route) == Some(&CallerKind::TargetsOnly)
    }

    /// Takes what the gates that serve a route have seen of its callers.
    pub fn record_caller_kind(&mut self, route: &Arc<str>, called_by: CallerKind) {
        if called_by == CallerKind::Unknown || self.called_by.get(route) == Some(&called_by) {
            return;
        }
        self.called_by.insert(route.clone(), called_by);
    }

    fn nearest(&self, route: &str, deadline: Timestamp) -> Option<&(Arc<str>, InheritedContext)> {
        let from = RunningCallId { deadline: deadline - LATER, sequence: 0 };
        let to = RunningCallId { deadline: deadline + EARLIER, sequence: u64::MAX };
        let distance = |call: &RunningCallId| call.deadline.0.abs_diff(deadline.0);
        let others = self.running.range(from..=to).filter(|(_, (parent, _))| **parent != *route);
        others.min_by_key(|(call, _)| distance(call)).map(|(_, parent)| parent)
    }

    fn likely(&self, route: &str, deadline: Timestamp, rate: impl Fn(&Arc<str>) -> f64) -> Option<ParentEstimate> {
        let from = RunningCallId { deadline: deadline - LATER, sequence: 0 };
        // Each route with the rate of its calls, and with the weight of all its possible parents.
        let mut routes: BTreeMap<&Arc<str>, (f64, f64)> = BTreeMap::new();
        let mut weights: BTreeMap<u8, Weight> = BTreeMap::new();
        for (parent, lineage) in self.running.range(from..).map(|(_, parent)| parent) {
            if **parent == *route {
                continue;
            }
            let (rate, sum) = routes.entry(parent).or_insert_with(|| (rate(parent), 0.0));
            let rate = *rate;
            *sum += rate;
            let weight = weights.entry(lineage.priority).or_default();
            weight.all += rate;
            weight.repeated += if lineage.is_retry { rate } else { 0.0 };
            weight.asked += rate * f64::from(ALL_ADMITTED_PERMILLE) / f64::from(lineage.admitted_permille.max(1));
        }
        let total: f64 = weights.values().map(|weight| weight.all).sum();
        let repeated: f64 = weights.values().map(|weight| weight.repeated).sum();
        let (priority, weight) = weights.iter().max_by(|one, other| one.1.all.total_cmp(&other.1.all))?;
        let retry_share = if total > 0.0 { repeated / total } else { 0.0 };
        let admitted = if weight.asked > 0.0 { weight.all / weight.asked } else { 1.0 };
        let admitted_permille = (admitted * f64::from(ALL_ADMITTED_PERMILLE)).round() as u16;
        let likelihood =
            |(route, (_, sum)): (&Arc<str>, (f64, f64))| (route.clone(), sum / total.max(f64::MIN_POSITIVE));
        let parent_routes = routes.into_iter().map(likelihood).collect();
        Some(ParentEstimate { parent_routes, priority: *priority, retry_share, admitted_permille })
    }
}
