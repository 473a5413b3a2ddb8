//! What the parts of a sidecar share: its view of the world, its decisions, its connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::balance::Balance;
use quillhatch_mesh::callers::CallerShares;
use quillhatch_mesh::capacity::{CapacityMeter, Shortage};
use quillhatch_mesh::configuration::{Configuration, ConfigurationInForce};
use quillhatch_mesh::cut::{Cut, RouteCuts};
use quillhatch_mesh::demand::CallGraph;
use quillhatch_mesh::feed::SoloReads;
use quillhatch_mesh::gate::Gate;
use quillhatch_mesh::health::AnswerHealth;
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::parents::Parents;
use quillhatch_mesh::quarantine::{Quarantine, RunTracker};
use quillhatch_mesh::queue::Ticket;
use quillhatch_mesh::replica::{Position, Replica};
use quillhatch_mesh::retry_budget::RetryBudget;
use quillhatch_mesh::settings::SidecarSettings;
use quillhatch_mesh::store_reader::StoreReader;
use quillhatch_mesh::targets::{TargetId, TargetTable};
use quillhatch_types::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::sync::{oneshot, Notify};

use crate::clock::Clock;
use crate::counters::Counters;
use crate::feed::FeedState;
use crate::gate::RetainedTargetState;
use crate::keyed_lock::KeyedLock;
use crate::logging::{LineRate, LogState};
use crate::pool::{Pool, PoolConfig};
use crate::presence::Presence;
use crate::quarantine::Outbox;
use crate::tenancy::Tenancy;

/// The slots that a target is taken to have until its own number is known.
const FALLBACK_SLOTS: u32 = 16;
/// Log lines a second for calls that were not served as asked.
const FAILURE_LINES: f64 = 40.0;
/// Log lines a second for calls that went well.
const SUCCESS_LINES: f64 = 1.0;

/// The answer that a waiting call gets: whether it may go to the target.
pub type Admitted = bool;

/// How far the process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It takes calls.
    Serving,
    /// It was asked to stop: it finishes what it has, and callers are led away.
    Stopping,
}

/// The shared state of a sidecar; everything runs on one thread.
pub struct Node {
    /// The settings that the process started with.
    pub settings: SidecarSettings,
    /// The configuration in force.
    pub configuration: RefCell<ConfigurationInForce>,
    /// The listed targets.
    pub targets: RefCell<TargetTable>,
    /// The identity of the target beside this node, as the list or the target itself told last.
    pub present: RefCell<Option<TargetId>>,
    /// The target beside this node that the list held last.
    pub seen_listed: RefCell<Option<TargetId>>,
    /// Whether the target beside this node has told its identity since it was last out of reach.
    pub present_verified: Cell<bool>,
    /// When it last told it. What the list brought before that is not a reason to ask again.
    pub present_told_at: Cell<Timestamp>,
    /// Held while the target is asked for its identity.
    pub verifying: tokio::sync::Mutex<()>,
    /// What the target beside this node tells while it has no registration.
    pub kept_target: RetainedTargetState,
    /// Whether the list of targets was read at least once.
    pub targets_known: Cell<bool>,
    /// What is known of other targets.
    pub balance: RefCell<Balance>,
    /// Where the calls of routes are cut.
    pub cuts: RefCell<RouteCuts>,
    /// Which routes the calls of a route call.
    pub graph: RefCell<CallGraph>,
    /// The calls that run at this node's target.
    pub parents: RefCell<Parents>,
    /// From where the calls of this node's routes come.
    pub callers: RefCell<CallerShares>,
    /// The gate before this node's target.
    pub gate: RefCell<Gate>,
    /// What is asked of this node's target.
    pub capacity: RefCell<CapacityMeter>,
    /// Whether this node's target gives good answers.
    pub health: RefCell<AnswerHealth>,
    /// The calls that this node's target works on, and those that broke off.
    pub runs: RefCell<RunTracker>,
    /// Whether it is being found out if the target has ended.
    pub is_probing_target: Cell<bool>,
    /// What is known of requests that crash targets.
    pub quarantine: RefCell<Quarantine>,
    /// Evidence for the other gates of the service.
    pub quarantine_outbox: Outbox,
    /// Calls that wait at the gate.
    pub waiting: RefCell<HashMap<Ticket, oneshot::Sender<Admitted>>>,
    /// What is known of tenants.
    pub tenancy: Tenancy,
    /// Repeats by service.
    pub budgets: RefCell<HashMap<Arc<str>, RetryBudget>>,
    /// ConnectionConfig to other nodes.
    pub peers: Rc<Pool>,
    /// ConnectionConfig to this node's target.
    pub target: Rc<Pool>,
    /// ConnectionConfig to the platform's store.
    pub store: Rc<Pool>,
    /// How far the process is on its way to its end.
    pub stage: Cell<Stage>,
    /// Whether callers are refused since the process is about to end; calls of this node's target are still taken.
    pub refuses_callers: Cell<bool>,
    /// Calls that are being served at the edge.
    pub edge_calls: Cell<usize>,
    /// Those of them that callers have made, not this node's target.
    pub root_calls: Cell<usize>,
    /// Random numbers.
    pub random: RefCell<Pcg64>,
    /// Counters.
    pub counters: Counters,
    /// Wakes whoever waits for the gate's next expiry to change.
    pub gate_changed: Notify,
    /// Wakes whoever removes targets whose grace period is over.
    pub grace_changed: Notify,
    /// What the platform's store holds, as far as this node knows.
    pub replica: RefCell<Replica>,
    /// This node's way to the store.
    pub feed: FeedState,
    /// What is read of the store next.
    pub store_reader: RefCell<StoreReader>,
    /// Until when targets whose registrations ran out in the last outage of the store may be registered again.
    pub registered_again_by: Cell<Timestamp>,
    /// Until when what an older copy of the store lacks may be written again.
    pub written_again_by: Cell<Timestamp>,
    /// Whether this machine's last call of the store has failed, as far as it makes any.
    pub own_access_lost: Cell<bool>,
    /// Whether the store must be asked once, since the own target's registration has ended.
    pub must_probe_store: Cell<bool>,
    /// The readings of the store in which this node has found nobody.
    pub lone_readings: Cell<SoloReads>,
    /// A random number in 0..1, which spreads what nodes do by themselves.
    pub draw: f64,
    /// What is known of the presence of other nodes.
    pub presences: RefCell<HashMap<IpAddr, Presence>>,
    /// Held while another node is asked whether it is there.
    pub asking_presence: KeyedLock<IpAddr>,
    log_state: LogState,
    failure_lines: RefCell<LineRate>,
    success_lines: RefCell<LineRate>,
    /// The clock of all decisions.
    pub clock: Clock,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(settings: SidecarSettings, log_state: LogState) -> Rc<Self> {
        Self::with_clock(settings, log_state, Clock::default())
    }

    /// The same with a clock of the caller's.
    pub fn with_clock(settings: SidecarSettings, log_state: LogState, clock: Clock) -> Rc<Self> {
        let now = clock.now();
        let peers = PoolConfig {
            connect_timeout: Duration::from_millis(600),
            // The last one given back is used first, so that those that only a burst needed end soon: each holds a
            // descriptor at both ends.
            idle_timeout: Duration::from_secs(3),
            tcp_user_timeout: Duration::from_millis(1500),
            honor_keep_alive_header: false,
            keepalive_interval: None,
        };
        let target = PoolConfig {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(3),
            tcp_user_timeout: Duration::from_secs(5),
            honor_keep_alive_header: true,
            keepalive_interval: None,
        };
        // A watch says nothing for a long time, and a cut must be noticed before the entries of targets run out.
        let store = PoolConfig {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(8),
            keepalive_interval: Some(Duration::from_secs(1)),
            ..peers
        };
        Rc::new(Node {
            configuration: RefCell::default(),
            targets: RefCell::default(),
            present: RefCell::default(),
            seen_listed: RefCell::default(),
            present_verified: Cell::new(false),
            present_told_at: Cell::new(now),
            verifying: tokio::sync::Mutex::default(),
            kept_target: RetainedTargetState::default(),
            targets_known: Cell::new(false),
            balance: RefCell::new(Balance::new(settings.mechanisms)),
            cuts: RefCell::default(),
            graph: RefCell::new(CallGraph::new(now)),
            parents: RefCell::default(),
            callers: RefCell::default(),
            gate: RefCell::new(Gate::new(FALLBACK_SLOTS)),
            capacity: RefCell::new(CapacityMeter::new(settings.mechanisms, now)),
            health: RefCell::new(AnswerHealth::new(now)),
            runs: RefCell::default(),
            is_probing_target: Cell::new(false),
            quarantine: RefCell::new(Quarantine::new(rand::random())),
            quarantine_outbox: Outbox::default(),
            waiting: RefCell::default(),
            tenancy: Tenancy::new(&settings, rand::random()),
            budgets: RefCell::default(),
            peers: Pool::new(peers, clock.clone()),
            target: Pool::new(target, clock.clone()),
            store: Pool::new(store, clock.clone()),
            stage: Cell::new(Stage::Serving),
            refuses_callers: Cell::new(false),
            edge_calls: Cell::new(0),
            root_calls: Cell::new(0),
            random: RefCell::new(Pcg64::from_entropy()),
            counters: Counters::default(),
            gate_changed: Notify::new(),
            grace_changed: Notify::new(),
            replica: RefCell::default(),
            feed: FeedState::default(),
            store_reader: RefCell::default(),
            registered_again_by: Cell::new(now),
            written_again_by: Cell::new(now),
            own_access_lost: Cell::new(false),
            must_probe_store: Cell::new(false),
            lone_readings: Cell::default(),
            draw: rand::random(),
            presences: RefCell::default(),
            asking_presence: KeyedLock::default(),
            settings,
            log_state,
            failure_lines: RefCell::new(LineRate::new(FAILURE_LINES)),
            success_lines: RefCell::new(LineRate::new(SUCCESS_LINES)),
            clock,
        })
    }

    /// The time since the process started, suspensions of the machine included.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Looks whether the machine was suspended. What is known then is old: the store is read, other nodes are asked, and whatever waits
    /// for a moment looks again.
    pub fn notice_suspension(&self) {
        let Some(suspended) = self.clock.notice_suspension() else { return };
        self.log(&format!("\"event\":\"woken\",\"suspended_ms\":{}", suspended.as_millis()));
        self.quarantine_outbox.ask();
        self.gate_changed.notify_one();
        self.grace_changed.notify_one();
    }

    /// How far the view of the platform's store reaches.
    pub fn position(&self) -> Position {
        self.replica.borrow().position()
    }

    /// Whether a mechanism is switched on.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.settings.mechanisms.has(mechanism)
    }

    /// The configuration in force.
    pub fn current_configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.borrow().current().cloned()
    }

    /// Counts the machines anew after the list of targets has changed, and notes the other gates of the own service.
    pub fn count_machines(&self) {
        let targets = self.targets.borrow();
        self.tenancy.machines.set(targets.machines().len());
        let own = self.settings.local_target.ip();
        let gates = targets.of_service(&self.settings.service).iter().map(|target| target.registration.address.ip());
        self.quarantine_outbox.note_gates(gates.filter(|gate| *gate != own), self.now());
    }

    /// What this node's target can't serve of what arrives, if anything.
    pub fn shortage(&self) -> Option<Shortage> {
        let priorities = self.current_configuration().map_or(1, |configuration| configuration.priority_count());
        let load = self.gate.borrow().load();
        let now = self.now();
        self.capacity.borrow_mut().shortage(load, priorities, |route| self.called_cut(route, now), now)
    }

    /// Where the calls of a route are to be cut for want of slots at this node's target.
    pub fn own_cut(&self, route: &str) -> Cut {
        self.shortage().map_or(Cut::OPEN, |shortage| shortage.cut_of(route))
    }

    /// The lowest cut of the routes that calls of `route` call.
    pub fn called_cut(&self, route: &str, now: Timestamp) -> Cut {
        self.cuts.borrow().lowest(self.graph.borrow().called_by(route), now)
    }

    /// Whether the node can serve callers.
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
        self.stage.get() == Stage::Stopping
    }

    /// Spends one repeat towards a service, if the budget has it.
    pub fn try_repeat(&self, service: &Arc<str>) -> bool {
        self.has(Mechanism::Repeats) && self.with_budget(service, RetryBudget::try_repeat)
    }

    /// Counts a call of a service for the budget of repeats; one below a repeated call is a repeat itself.
    pub fn count_call(&self, service: &Arc<str>, is_repeat: bool) {
        self.with_budget(service, if is_repeat { RetryBudget::inherited } else { RetryBudget::call });
    }

    fn with_budget<T>(&self, service: &Arc<str>, action: impl FnOnce(&mut RetryBudget, Timestamp) -> T) -> T {
        let now = self.now();
        let bounds = &self.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let nodes = self.targets.borrow().machines().len().max(1) as f64;
            RetryBudget::new(bounds.retry_ratio, bounds.retry_window, bounds.retry_slack / nodes / 2.0, now)
        });
        action(budget, now)
    }

    /// Writes a line about a call that was not served as asked, if the rate allows.
    pub fn log_failure(&self, line: impl FnOnce() -> String) {
        if self.failure_lines.borrow_mut().allows() {
            self.log(&line());
        }
    }

    /// Writes a line about a call that went well, if the rate allows.
    pub fn log_success(&self, line: impl FnOnce() -> String) {
        if self.success_lines.borrow_mut().allows() {
            self.log(&line());
        }
    }

    /// The state of the log.
    pub fn log_state(&self) -> &LogState {
        &self.log_state
    }

    /// Writes a line: JSON fields without the braces.
    pub fn log(&self, fields: &str) {
        let at = self.clock.elapsed().as_secs_f64();
        log::info!("{{\"up_s\":{at:.3},\"node\":\"{}\",{fields}}}", self.settings.node);
    }
}
