//! The shared state of a sidecar: configuration, targets, decisions, connections, log.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::admission_level::{AdmissionLevel, RouteAdmissionLevels};
use quillhatch_mesh::balance::LoadBalancer;
use quillhatch_mesh::call_graph::CallGraph;
use quillhatch_mesh::callers::RouteCallerCounts;
use quillhatch_mesh::capacity::{CapacityMeter, CapacityShortage};
use quillhatch_mesh::configuration::{Configuration, ConfigurationInForce};
use quillhatch_mesh::durations::RouteDurations;
use quillhatch_mesh::feed::SoloReads;
use quillhatch_mesh::gate::Gate;
use quillhatch_mesh::health::TargetHealth;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::parents::ParentTracker;
use quillhatch_mesh::quarantine::{Quarantine, RunTracker};
use quillhatch_mesh::queue::QueueTicket;
use quillhatch_mesh::replica::{Position, Replica};
use quillhatch_mesh::retry_budget::{BudgetUsage, RetryBudget};
use quillhatch_mesh::settings::SidecarSettings;
use quillhatch_mesh::shutdown::ShutdownSchedule;
use quillhatch_mesh::store_reader::StoreReader;
use quillhatch_mesh::target_limit::TargetRateLimiter;
use quillhatch_mesh::targets::{TargetId, TargetTable};
use quillhatch_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::sync::{oneshot, Notify};

use crate::calls_in_progress::CallsInProgress;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::feed::FeedState;
use crate::gate::{LocalTargetStatus, RetainedTargetState};
use crate::keyed_lock::KeyedLock;
use crate::liveness::ProbeResult;
use crate::logging::{JsonText, LineRateLimit, LogState};
use crate::pool::{Pool, PoolConfig};
use crate::quarantine::Outbox;
use crate::stream::ReadAheadBudget;
use crate::tenancy::Tenancy;

/// The slots assumed for a target until its registration is known.
const FALLBACK_SLOTS: u32 = 16;
/// The kernel's receive buffer of a connection to another node: what arrives ahead of a slow reader counts as memory of
/// this process, for each response.
const PEER_RECEIVE_BUFFER_BYTES: usize = 512 * 1024;
/// The same of a connection to the target, which has no delay.
const TARGET_RECEIVE_BUFFER_BYTES: usize = 128 * 1024;
/// The maximum rate of log lines about failures, per second.
const MAX_FAILURE_LINES_PER_SECOND: f64 = 40.0;
/// The maximum rate of log lines about successful calls, per second.
const MAX_SUCCESS_LINES_PER_SECOND: f64 = 1.0;

/// The gate's decision on a waiting call: whether it is forwarded to the target.
pub type Admitted = bool;

/// The stage of the process in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It accepts calls.
    Serving,
    /// It was asked to stop: it accepts only calls that can finish by then, and directs callers to other nodes.
    Stopping(ShutdownSchedule),
}

/// The shared state of a sidecar; everything runs on one thread.
pub struct Node {
    /// The settings that the process started with.
    pub settings: SidecarSettings,
    /// The configuration in force.
    pub configuration: RefCell<ConfigurationInForce>,
    /// The listed targets.
    pub targets: RefCell<TargetTable>,
    /// The identity of the local target, as last received from the list or from the target itself.
    pub local_target_id: RefCell<Option<TargetId>>,
    /// The local target that the list last contained.
    pub last_listed_target: RefCell<Option<TargetId>>,
    /// Whether the local target has reported its identity since it was last unreachable.
    pub identity_verified: Cell<bool>,
    /// When the local target last reported its identity. Only targets that are listed later are a reason to query it
    /// again.
    pub identity_received_at: Cell<Timestamp>,
    /// Held while the local target's identity is queried.
    pub identity_query_lock: tokio::sync::Mutex<()>,
    /// The state of the local target while it is retained without a registration.
    pub retained_target: RetainedTargetState,
    /// Keeps the local target's rate limit.
    pub target_limiter: RefCell<TargetRateLimiter>,
    /// The status that the local target last sent in its responses.
    pub local_target_status: LocalTargetStatus,
    /// Whether the list of targets was received at least once.
    pub targets_known: Cell<bool>,
    /// The measured load, latency and health of targets, for load balancing.
    pub load_balancer: RefCell<LoadBalancer>,
    /// The admission levels of routes, as other nodes reported them.
    pub admission_levels: RefCell<RouteAdmissionLevels>,
    /// Which routes are called by the calls of each route.
    pub call_graph: RefCell<CallGraph>,
    /// How long calls take at the edge, by route.
    pub edge_durations: RefCell<RouteDurations>,
    /// How long calls hold a slot of the local target, by route.
    pub slot_durations: RefCell<RouteDurations>,
    /// The calls that run at the local target, as parents of the calls that it makes.
    pub parent_tracker: RefCell<ParentTracker>,
    /// The number of calls of each route, by the service of the machine where they entered.
    pub caller_counts: RefCell<RouteCallerCounts>,
    /// The gate of the local target.
    pub gate: RefCell<Gate>,
    /// The demand for the local target's slots, and their capacity.
    pub capacity: RefCell<CapacityMeter>,
    /// The share of good responses of the local target.
    pub target_health: RefCell<TargetHealth>,
    /// The calls that are running at the local target, and those that were interrupted.
    pub run_tracker: RefCell<RunTracker>,
    /// Whether a probe is running that shows whether the local target has crashed.
    pub is_probing_target: Cell<bool>,
    /// The evidence against requests that crash targets.
    pub quarantine: RefCell<Quarantine>,
    /// Evidence to be sent to the other gates of the service.
    pub quarantine_outbox: Outbox,
    /// The calls that wait at the gate.
    pub waiting_calls: RefCell<HashMap<QueueTicket, oneshot::Sender<Admitted>>>,
    /// The state of tenants.
    pub tenancy: Tenancy,
    /// The retry budget of each service.
    pub retry_budgets: RefCell<HashMap<Arc<str>, RetryBudget>>,
    /// The levels at which calls of routes may be retried, given the retry budgets of the services that they lead to.
    pub retry_levels: RefCell<RouteAdmissionLevels>,
    /// Connections to other nodes.
    pub peers: Rc<Pool>,
    /// Connections to the local target.
    pub target: Rc<Pool>,
    /// Connections to the platform's store.
    pub store: Rc<Pool>,
    /// The memory for responses that are read ahead of their readers.
    pub read_ahead: ReadAheadBudget,
    /// The stage of the process in its lifecycle.
    pub stage: Cell<Stage>,
    /// Whether calls of external callers are refused because the process is about to end. Calls of the local target are
    /// still accepted.
    pub refuses_callers: Cell<bool>,
    /// The calls at the edge whose responses have not begun.
    pub calls: Rc<CallsInProgress>,
    /// The responses that are ready and wait behind earlier ones on their connections.
    pub waiting_responses: Rc<CallsInProgress>,
    /// The streamed responses that have begun.
    pub responses: Rc<CallsInProgress>,
    /// The calls at the local target.
    pub runs: Rc<CallsInProgress>,
    /// The random number generator.
    pub random: RefCell<Pcg64>,
    /// The counters of the metrics page.
    pub counters: Counters,
    /// Notified when the time of the gate's next expiry may have changed.
    pub gate_changed: Notify,
    /// Notified when the end of a target's grace period may have changed.
    pub grace_changed: Notify,
    /// This node's replica of the platform's store.
    pub replica: RefCell<Replica>,
    /// This node's state in the feed of changes.
    pub feed: FeedState,
    /// Decides what is read from the store next.
    pub store_reader: RefCell<StoreReader>,
    /// Until when targets whose registrations expired in the last outage of the store may register again.
    pub reregistration_deadline: Cell<Timestamp>,
    /// Until when data that was missing in the backup from which the store was restored may be written again.
    pub rewrite_deadline: Cell<Timestamp>,
    /// Whether this machine's last call to the store has failed, if it makes any.
    pub store_access_lost: Cell<bool>,
    /// Whether this node must read the store once: the local target's registration has ended, or the connection to the
    /// store was lost or opened again.
    pub must_probe_store: Cell<bool>,
    /// The reads of the store in which this node found no target, neither its own nor another.
    pub solo_reads: Cell<SoloReads>,
    /// A random number in 0..1 that is fixed for the process. It spreads the times at which nodes act independently.
    pub jitter: f64,
    /// The last liveness probe of each other node.
    pub probe_results: RefCell<HashMap<IpAddr, ProbeResult>>,
    /// Held while a node is probed.
    pub probe_locks: KeyedLock<IpAddr>,
    log_state: LogState,
    failure_lines: RefCell<LineRateLimit>,
    stop_lines: RefCell<LineRateLimit>,
    success_lines: RefCell<LineRateLimit>,
    /// The clock that all decisions use.
    pub clock: Clock,
}

impl Node {
    /// Creates a node without any data yet.
    pub fn new(settings: SidecarSettings, log_state: LogState) -> Rc<Self> {
        Self::with_clock(settings, log_state, Clock::default())
    }

    /// Creates a node that uses the given clock.
    pub fn with_clock(settings: SidecarSettings, log_state: LogState, clock: Clock) -> Rc<Self> {
        let now = clock.now();
        let peers = PoolConfig {
            connect_timeout: Duration::from_millis(600),
            // The connection that was returned last is reused first, so that those that only a burst needed are closed
            // soon: each holds a descriptor at both ends.
            idle_timeout: Duration::from_secs(3),
            tcp_user_timeout: Duration::from_millis(1500),
            honor_keep_alive_header: false,
            keepalive_interval: None,
            receive_buffer: Some(PEER_RECEIVE_BUFFER_BYTES),
        };
        let target = PoolConfig {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(3),
            tcp_user_timeout: Duration::from_secs(5),
            honor_keep_alive_header: true,
            keepalive_interval: None,
            receive_buffer: Some(TARGET_RECEIVE_BUFFER_BYTES),
        };
        // A watch is idle for a long time, and a partition must be detected before the registrations of targets expire.
        let store = PoolConfig {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(8),
            keepalive_interval: Some(Duration::from_secs(1)),
            receive_buffer: None,
            ..peers
        };
        Rc::new(Node {
            configuration: RefCell::default(),
            targets: RefCell::default(),
            local_target_id: RefCell::default(),
            last_listed_target: RefCell::default(),
            identity_verified: Cell::new(false),
            identity_received_at: Cell::new(now),
            identity_query_lock: tokio::sync::Mutex::default(),
            retained_target: RetainedTargetState::default(),
            target_limiter: RefCell::new(TargetRateLimiter::new(now)),
            local_target_status: LocalTargetStatus::default(),
            targets_known: Cell::new(false),
            load_balancer: RefCell::new(LoadBalancer::new(settings.mechanisms)),
            admission_levels: RefCell::default(),
            call_graph: RefCell::new(CallGraph::new(now)),
            edge_durations: RefCell::default(),
            slot_durations: RefCell::default(),
            parent_tracker: RefCell::default(),
            caller_counts: RefCell::default(),
            gate: RefCell::new(Gate::new(FALLBACK_SLOTS)),
            capacity: RefCell::new(CapacityMeter::new(settings.mechanisms, now)),
            target_health: RefCell::new(TargetHealth::new(now)),
            run_tracker: RefCell::default(),
            is_probing_target: Cell::new(false),
            quarantine: RefCell::new(Quarantine::new(rand::random())),
            quarantine_outbox: Outbox::default(),
            waiting_calls: RefCell::default(),
            tenancy: Tenancy::new(&settings, rand::random()),
            retry_budgets: RefCell::default(),
            retry_levels: RefCell::default(),
            peers: Pool::new(peers, clock.clone()),
            target: Pool::new(target, clock.clone()),
            store: Pool::new(store, clock.clone()),
            read_ahead: ReadAheadBudget::default(),
            stage: Cell::new(Stage::Serving),
            refuses_callers: Cell::new(false),
            calls: Rc::default(),
            waiting_responses: Rc::default(),
            responses: Rc::default(),
            runs: Rc::default(),
            random: RefCell::new(Pcg64::from_entropy()),
            counters: Counters::default(),
            gate_changed: Notify::new(),
            grace_changed: Notify::new(),
            replica: RefCell::default(),
            feed: FeedState::default(),
            store_reader: RefCell::default(),
            reregistration_deadline: Cell::new(now),
            rewrite_deadline: Cell::new(now),
            store_access_lost: Cell::new(false),
            must_probe_store: Cell::new(false),
            solo_reads: Cell::default(),
            jitter: rand::random(),
            probe_results: RefCell::default(),
            probe_locks: KeyedLock::default(),
            settings,
            log_state,
            failure_lines: RefCell::new(LineRateLimit::new(MAX_FAILURE_LINES_PER_SECOND)),
            stop_lines: RefCell::new(LineRateLimit::new(MAX_FAILURE_LINES_PER_SECOND)),
            success_lines: RefCell::new(LineRateLimit::new(MAX_SUCCESS_LINES_PER_SECOND)),
            clock,
        })
    }

    /// The current time of the node's clock, which continues during suspensions of the machine.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Detects whether the machine was suspended. The node's state is then out of date: the store is read, other nodes
    /// are queried, and tasks that wait for a point in time recompute it.
    pub fn detect_suspension(&self) {
        let Some(suspended) = self.clock.detect_suspension() else { return };
        self.log(&format!("\"event\":\"woken\",\"suspended_ms\":{}", suspended.as_millis()));
        self.quarantine_outbox.start_queries();
        self.gate_changed.notify_one();
        self.grace_changed.notify_one();
    }

    /// The position up to which this node knows the data of the platform's store.
    pub fn position(&self) -> Position {
        self.replica.borrow().position()
    }

    /// Whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.settings.mechanisms.is_enabled(mechanism)
    }

    /// The configuration in force.
    pub fn current_configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.borrow().current().cloned()
    }

    /// Updates the number of machines and the other gates of this node's service after the list of targets has changed.
    pub fn update_machines(&self) {
        let targets = self.targets.borrow();
        self.tenancy.machine_count.set(targets.machines().len());
        let own = self.settings.local_target.ip();
        let gates = targets.of_service(&self.settings.service).iter().map(|target| target.registration.address.ip());
        self.quarantine_outbox.update_gates(gates.filter(|gate| *gate != own), self.now());
    }

    /// The part of the arriving load for which the local target has no capacity, if any.
    pub fn shortage(&self) -> Option<CapacityShortage> {
        let priorities = self.current_configuration().map_or(1, |configuration| configuration.priority_count());
        let load = self.gate.borrow().load();
        let now = self.now();
        self.capacity.borrow_mut().shortage(load, priorities, |route| self.callee_admission_level(route, now), now)
    }

    /// The admission level that the local target allows for a route; lower than full if it is out of capacity.
    pub fn own_admission_level(&self, route: &str) -> AdmissionLevel {
        self.shortage().map_or(AdmissionLevel::FULL, |shortage| shortage.admission_level(route))
    }

    /// The lowest admission level among the routes that calls of `route` call.
    pub fn callee_admission_level(&self, route: &str, now: Timestamp) -> AdmissionLevel {
        self.admission_levels.borrow().lowest(self.call_graph.borrow().callees(route), now)
    }

    /// Whether the node is ready to serve callers.
    pub fn is_ready(&self) -> bool {
        self.stage.get() == Stage::Serving
            && self.targets_known.get()
            && self
                .configuration
                .borrow()
                .current()
                .is_some_and(|current| self.tenancy.can_check_keys(current, self.now()))
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.shutdown().is_some()
    }

    /// The times of the shutdown, if the process was asked to stop.
    pub fn shutdown(&self) -> Option<ShutdownSchedule> {
        match self.stage.get() {
            Stage::Serving => None,
            Stage::Stopping(schedule) => Some(schedule),
        }
    }

    /// The lowest level at which the routes that calls of `route` call may be retried.
    pub fn callee_retry_level(&self, route: &str, now: Timestamp) -> AdmissionLevel {
        self.retry_levels.borrow().lowest(self.call_graph.borrow().callees(route), now)
    }

    /// Records the level that came with a response to a call of `route` to `service`. For a call of the local target, the
    /// node's own budget of the service reduces it too.
    pub fn record_retry_level(&self, route: &Arc<str>, service: &Arc<str>, is_nested: bool, reported: AdmissionLevel) {
        let level = match is_nested {
            true => reported.lower_of(self.with_budget(service, |budget, now| budget.level_above(now))),
            false => reported,
        };
        self.retry_levels.borrow_mut().record_report(route, level, self.now());
    }

    /// Takes one retry of a call of `route` from the budget of a service, and returns whether that budget and those of
    /// the services that the route leads to allowed it.
    pub fn try_retry(&self, service: &Arc<str>, route: &str) -> bool {
        if !self.is_enabled(Mechanism::Retries) {
            return false;
        }
        let level = self.retry_levels.borrow().level(route, self.now());
        let is_within_level = level.admits_all() || self.random.borrow_mut().gen_bool(level.priority_share());
        let is_allowed = is_within_level && self.with_budget(service, RetryBudget::try_retry);
        if !is_allowed {
            self.record_denied_retry(service, route, level);
        }
        is_allowed
    }

    fn record_denied_retry(&self, service: &Arc<str>, route: &str, level: AdmissionLevel) {
        Counters::increment(&self.counters.denied_retries);
        let usage = self.with_budget(service, |budget, now| budget.usage(now));
        self.log_failure(|| {
            let BudgetUsage { calls, retries, inherited } = usage;
            format!(
                "\"event\":\"retry-denied\",\"service\":{},\"route\":{},\"level\":{:.3},\"calls\":{calls},\"retries\":{retries},\"inherited\":{inherited}",
                JsonText(service),
                JsonText(route),
                level.priority_share()
            )
        });
    }

    /// Counts a call to a service in its retry budget. A call made on behalf of a retried call counts as a retry too.
    pub fn count_call(&self, service: &Arc<str>, is_retry: bool) {
        if is_retry {
            Counters::increment(&self.counters.inherited_retries);
        }
        self.with_budget(
            service,
            if is_retry { RetryBudget::record_inherited_retry } else { RetryBudget::record_call },
        );
    }

    fn with_budget<T>(&self, service: &Arc<str>, action: impl FnOnce(&mut RetryBudget, Timestamp) -> T) -> T {
        let now = self.now();
        let bounds = &self.settings.bounds;
        let mut budgets = self.retry_budgets.borrow_mut();
        let new_budget = || RetryBudget::new(bounds.retry_ratio, bounds.retry_window);
        let budget = budgets.entry(service.clone()).or_insert_with(new_budget);
        action(budget, now)
    }

    /// Logs a failure, such as a call that was refused, if the rate limit allows it.
    pub fn log_failure(&self, line: impl FnOnce() -> String) {
        if self.failure_lines.borrow_mut().allows() {
            self.log(&line());
        }
    }

    /// Logs a call that a stopping node has not finished, if the rate limit of such lines allows it.
    pub fn log_stop_failure(&self, line: impl FnOnce() -> String) {
        if self.stop_lines.borrow_mut().allows() {
            self.log(&line());
        }
    }

    /// Logs a successful call, if the rate limit allows it.
    pub fn log_success(&self, line: impl FnOnce() -> String) {
        if self.success_lines.borrow_mut().allows() {
            self.log(&line());
        }
    }

    /// The state of the log.
    pub fn log_state(&self) -> &LogState {
        &self.log_state
    }

    /// Logs a line; `fields` are JSON fields without the braces.
    pub fn log(&self, fields: &str) {
        let uptime = self.clock.elapsed().as_secs_f64();
        log::info!("{{\"up_s\":{uptime:.3},\"node\":{},{fields}}}", JsonText(&self.settings.node));
    }
}
