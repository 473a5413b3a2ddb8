//! For which of its running calls a target makes a call of its own.
//!
//! A target's calls come from the same address as those of callers on its machine, and name no parent. Two things tell them
//! apart. A call ends with its parent's deadline, so one whose deadline is that of a call that runs at the target is taken to
//! be made for it. And callers enter at every machine, whatever its service, while a route that only targets call is used
//! from the machines of their services alone; the gate that serves a route sees that ([`CallerShares`]).

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::Timestamp;

/// How much earlier than its parent's the deadline of a call may seem: deadlines travel in whole milliseconds.
const EARLIER: Duration = Duration::from_millis(3);
/// How much later it may seem: the call spends some time on its way and in this node.
const LATER: Duration = Duration::from_millis(8);
/// The weight of one call in the share of a route's calls that were matched.
const SHARE_GAIN: f64 = 0.03;
/// The share of matched calls from which a route is taken to be called by targets.
const CALLED_BY_TARGETS_FROM: f64 = 0.3;

/// What a call inherits from the call for which it is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lineage {
    /// The importance of the call that entered the graph; 0 is the greatest.
    pub priority: u8,
    /// The position of the call that entered the graph among those of its importance; lower ones are served first.
    pub position: u8,
    /// Whether the call, or one above it, is sent to a target once more. Whatever is called below it arrives once more too.
    pub is_repeat: bool,
}

/// Who makes a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller: the call enters the graph here.
    Caller,
    /// The target beside this node, for a call of this route.
    Parent(Arc<str>, Lineage),
    /// The target beside this node, for a call that is not known.
    Target,
}

/// Identifies a running call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunningCall {
    deadline: Timestamp,
    sequence: u64,
}

/// The calls that run at the target, by the deadline that it was told.
#[derive(Clone, Debug, Default)]
pub struct Parents {
    running: BTreeMap<RunningCall, (Arc<str>, Lineage)>,
    next_sequence: u64,
    matched_shares: HashMap<Arc<str>, f64>,
    called_by_targets: HashSet<Arc<str>>,
}

impl Parents {
    /// A call of `route` goes to the target, which was told to end it at `deadline`.
    pub fn started(&mut self, deadline: Timestamp, route: Arc<str>, lineage: Lineage) -> RunningCall {
        let call = RunningCall { deadline, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.running.insert(call, (route, lineage));
        call
    }

    /// A call has ended at the target.
    pub fn ended(&mut self, call: RunningCall) {
        self.running.remove(&call);
    }

    /// Who makes a call of `route` that ends at `deadline`, which came from the target's address.
    pub fn origin(&mut self, route: &Arc<str>, deadline: Timestamp) -> Origin {
        let parent = self.nearest(deadline).cloned();
        let share = self.matched_shares.entry(route.clone()).or_default();
        *share += SHARE_GAIN * (f64::from(u8::from(parent.is_some())) - *share);
        let is_called_by_targets = *share >= CALLED_BY_TARGETS_FROM || self.called_by_targets.contains(route);
        match parent {
            Some((parent, lineage)) if parent != *route => Origin::Parent(parent, lineage),
            _ if is_called_by_targets => Origin::Target,
            _ => Origin::Caller,
        }
    }

    /// Takes what the gates that serve a route have seen of its callers.
    pub fn told(&mut self, route: &Arc<str>, is_called_by_targets: bool) {
        if !is_called_by_targets {
            self.called_by_targets.remove(route);
        } else if !self.called_by_targets.contains(route) {
            self.called_by_targets.insert(route.clone());
        }
    }

    /// The importance of the running calls of a route, if any runs.
    pub fn priority_of(&self, route: &str) -> Option<u8> {
        self.running.values().find(|(running, _)| **running == *route).map(|(_, lineage)| lineage.priority)
    }

    fn nearest(&self, deadline: Timestamp) -> Option<&(Arc<str>, Lineage)> {
        let from = RunningCall { deadline: deadline - LATER, sequence: 0 };
        let to = RunningCall { deadline: deadline + EARLIER, sequence: u64::MAX };
        let distance = |call: &RunningCall| call.deadline.0.abs_diff(deadline.0);
        self.running.range(from..=to).min_by_key(|(call, _)| distance(call)).map(|(_, parent)| parent)
    }
}

/// The calls of a route that must be seen before its callers are judged.
const CALLS_NEEDED: f64 = 12.0;
/// The share of one service in the calls of a route from which only its targets are taken to call it.
const ONE_SERVICE_FROM: f64 = 0.9;
/// The calls after which older ones count half.
const CALLS_REMEMBERED: f64 = 400.0;

/// From which services' machines the calls of each route come, as the gate that serves them sees it.
#[derive(Clone, Debug, Default)]
pub struct CallerShares {
    by_route: HashMap<Arc<str>, HashMap<Arc<str>, f64>>,
}

impl CallerShares {
    /// Counts a call of a route that entered at a machine of a service.
    pub fn count(&mut self, route: &Arc<str>, caller: &str) {
        let callers = self.by_route.entry(route.clone()).or_default();
        match callers.get_mut(caller) {
            Some(calls) => *calls += 1.0,
            None => {
                callers.insert(Arc::from(caller), 1.0);
            }
        }
        if callers.values().sum::<f64>() > CALLS_REMEMBERED {
            callers.values_mut().for_each(|calls| *calls /= 2.0);
        }
    }

    /// Whether only targets call a route, judged by its callers among `services` services.
    pub fn is_called_by_targets(&self, route: &str, services: usize) -> bool {
        let Some(callers) = self.by_route.get(route) else { return false };
        let total: f64 = callers.values().sum();
        let most = callers.values().fold(0.0, |most: f64, calls| most.max(*calls));
        services > 1 && total >= CALLS_NEEDED && most >= ONE_SERVICE_FROM * total
    }
}
