//! The edge's state, and the handling of tables, configurations and suspicions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use quillhatch_types::{
    AdmissionLevel, AdmissionRank, CallId, Configuration, NodeAddress, NodeId, Revision, ServiceName, ServiceTable,
    SiteName, Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use quillhatch_types::hash::rank_position;

use super::call::{Call, Phase};
use super::caller::CallerLimits;
use super::io::{EdgeInput, EdgeOutput};
use super::service::ServiceState;
use super::settings::EdgeSettings;
use super::statistics::EdgeStatistics;

/// The edge's view of one target, for metrics and status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// The service.
    pub service: ServiceName,
    /// The node of the target; the incarnation is zero if only the configuration lists it.
    pub node: NodeId,
    /// Attempts in flight from this edge, relayed bodies included.
    pub in_flight: u32,
    /// The effective admission level: the last reported one, raised over the time since the report.
    pub level: AdmissionLevel,
    /// Whether the target is ejected.
    pub ejected: bool,
    /// Whether membership suspects the node of having failed.
    pub suspected: bool,
}

/// The state machine of one node's edge.
#[derive(Debug)]
pub struct Edge {
    pub(super) settings: EdgeSettings,
    pub(super) services: BTreeMap<ServiceName, ServiceState>,
    pub(super) calls: HashMap<CallId, Box<Call>>,
    pub(super) callers: CallerLimits,
    pub(super) random: Pcg64,
    pub(super) statistics: EdgeStatistics,
    pub(super) stopping: bool,
    timers: BTreeSet<(Timestamp, CallId)>,
    suspected: BTreeSet<NodeAddress>,
    sites: Vec<SiteName>,
    revision: Option<Revision>,
}

impl Edge {
    /// Creates an edge without a configuration; it refuses every call until it receives one. `seed` determines all its
    /// random choices.
    pub fn new(settings: EdgeSettings, seed: u64) -> Self {
        Edge {
            callers: CallerLimits::new(settings.caller),
            settings,
            services: BTreeMap::new(),
            calls: HashMap::new(),
            random: Pcg64::seed_from_u64(seed),
            statistics: EdgeStatistics::default(),
            stopping: false,
            timers: BTreeSet::new(),
            suspected: BTreeSet::new(),
            sites: Vec::new(),
            revision: None,
        }
    }

    /// Handles `input` at time `now` and appends the requested actions to `outputs`. `now` must not decrease.
    pub fn step(&mut self, now: Timestamp, input: EdgeInput, outputs: &mut Vec<EdgeOutput>) {
        match input {
            EdgeInput::Arrived(arrival) => self.arrived(now, arrival, outputs),
            EdgeInput::CallerDisconnected { call } => self.caller_disconnected(call, outputs),
            EdgeInput::AttemptAnswered { attempt, result, feedback } => {
                self.attempt_answered(now, attempt, &result, feedback, outputs);
            }
            EdgeInput::BodyEnded { attempt, incomplete } => self.body_ended(now, attempt, incomplete, outputs),
            EdgeInput::Table(table) => self.accept_table(now, table, outputs),
            EdgeInput::Configuration(configuration) => self.accept_configuration(&configuration),
            EdgeInput::Suspicion { node, suspected } => self.suspect(node, suspected),
            EdgeInput::Stop => self.stopping = true,
            EdgeInput::Tick => {}
        }
        self.fire_timers(now, outputs);
    }

    /// The latest time of the next step: when the first timer is due.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// The counters since the edge was created.
    pub fn statistics(&self) -> &EdgeStatistics {
        &self.statistics
    }

    /// The number of calls in progress, relayed ones included.
    pub fn calls_in_progress(&self) -> usize {
        self.calls.len()
    }

    /// The numbers of callers and keys tracked for the limits per caller.
    pub fn tracked_callers_and_keys(&self) -> (usize, usize) {
        self.callers.tracked()
    }

    /// The revision of the current configuration.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// All targets, by service.
    pub fn targets(&self, now: Timestamp) -> Vec<TargetView> {
        let decay = self.settings.level.decay;
        let of_service = |(name, service): (&ServiceName, &ServiceState)| -> Vec<TargetView> {
            let targets = service.targets().iter();
            targets
                .map(|target| TargetView {
                    service: name.clone(),
                    node: target.node,
                    in_flight: target.in_flight,
                    level: target.level.effective(now, decay),
                    ejected: target.outlier.is_ejected(now),
                    suspected: target.suspected,
                })
                .collect()
        };
        self.services.iter().flat_map(of_service).collect()
    }

    /// Changes the salt of admission ranks.
    ///
    /// All nodes must use the same salt at about the same time, so that they refuse the same roots; a driver derives it
    /// from a value that all nodes share, such as the hour of the wall clock. A slow change spreads refusals over all
    /// callers.
    pub fn set_rank_salt(&mut self, salt: u64) {
        self.settings.rank_salt = salt;
    }

    /// The admission rank of the call's next attempt.
    pub(super) fn rank(&mut self, call: &Call) -> AdmissionRank {
        let position = if self.settings.mechanisms.consistent_ranks {
            rank_position(call.arrival.root, self.settings.rank_salt)
        } else {
            self.random.gen()
        };
        AdmissionRank::new(call.priority, call.ranks_as_retry, position)
    }

    /// Removes a call, its timer and its entry among the calls that wait for an owner. The caller of this function
    /// inserts the call again or drops it.
    pub(super) fn remove_call(&mut self, id: CallId) -> Option<Box<Call>> {
        let mut call = self.calls.remove(&id)?;
        if let Some(at) = call.timer.take() {
            self.timers.remove(&(at, id));
        }
        if let Phase::WaitingOwner { .. } = call.phase {
            if let Some(service) = self.services.get_mut(&call.arrival.service) {
                service.waiting.remove(&id);
            }
        }
        Some(call)
    }

    /// Inserts a call in progress and sets its timer.
    pub(super) fn insert_call(&mut self, now: Timestamp, mut call: Box<Call>) {
        let id = call.id();
        let wake = match call.phase {
            Phase::Idle | Phase::InFlight(_) => Some(call.deadline.at()),
            Phase::Backoff { until } => Some(until.min(call.deadline.at())),
            Phase::WaitingOwner { until, .. } => {
                let fetch_again = now + self.settings.owner.fetch_interval.max(MIN_FETCH_INTERVAL);
                Some(until.min(fetch_again).min(call.deadline.at()))
            }
            Phase::Relaying(_) => None,
        };
        if let Some(at) = wake {
            self.timers.insert((at, id));
        }
        if let Phase::WaitingOwner { .. } = call.phase {
            if let Some(service) = self.services.get_mut(&call.arrival.service) {
                service.waiting.insert(id);
            }
        }
        call.timer = wake;
        self.calls.insert(id, call);
    }

    fn fire_timers(&mut self, now: Timestamp, outputs: &mut Vec<EdgeOutput>) {
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.remove(&(at, id));
            let Some(call) = self.remove_call(id) else {
                continue;
            };
            if now >= call.deadline.at() {
                self.expire(now, call, outputs);
            } else {
                self.dispatch(now, call, outputs);
            }
        }
    }

    fn accept_table(&mut self, now: Timestamp, table: Arc<ServiceTable>, outputs: &mut Vec<EdgeOutput>) {
        // Storing tables of services or sites that are not configured would let memory grow without bound.
        if !self.sites.contains(&table.site) {
            return;
        }
        let Some(service) = self.services.get_mut(&table.service) else {
            return;
        };
        if !service.accept(table) {
            return;
        }
        service.rebuild(&self.sites, &self.suspected);
        for id in std::mem::take(&mut service.waiting) {
            if let Some(call) = self.remove_call(id) {
                self.dispatch(now, call, outputs);
            }
        }
    }

    fn accept_configuration(&mut self, configuration: &Configuration) {
        if self.revision.is_some_and(|known| configuration.revision <= known) {
            return;
        }
        self.revision = Some(configuration.revision);
        self.sites = configuration.sites.iter().map(|site| site.name.clone()).collect();
        self.services.retain(|name, _| configuration.services.contains_key(name));
        let burst = self.settings.retry.ratio_burst;
        for (name, new) in &configuration.services {
            match self.services.get_mut(name) {
                Some(service) => service.reconfigure(new.clone(), burst),
                None => {
                    self.services.insert(name.clone(), ServiceState::new(new.clone(), burst));
                }
            }
        }
        self.rebuild_all();
    }

    fn rebuild_all(&mut self) {
        for service in self.services.values_mut() {
            service.rebuild(&self.sites, &self.suspected);
        }
    }

    fn suspect(&mut self, node: NodeAddress, suspected: bool) {
        if suspected {
            self.suspected.insert(node);
        } else {
            self.suspected.remove(&node);
        }
        for service in self.services.values_mut() {
            if let Some(target) = service.target(node) {
                target.suspected = suspected;
            }
        }
    }
}

/// A lower bound of the fetch interval: an interval of zero would wake the edge in an endless loop.
const MIN_FETCH_INTERVAL: std::time::Duration = std::time::Duration::from_millis(1);
