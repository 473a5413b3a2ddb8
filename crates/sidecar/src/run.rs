//! Starts a sidecar and runs it until the process is asked to stop.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use quillhatch_mesh::configuration::CallerLimits;
use quillhatch_mesh::mechanisms::{Mechanism, Mechanisms};
use quillhatch_mesh::settings::SidecarSettings;
use quillhatch_platform::headers::READY_PATH;
use quillhatch_platform::settings::{read_settings, SettingsError};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

use crate::body::Body;
use crate::edge::EdgeHandler;
use crate::listener::{bind, serve, ConnectionConfig, ConnectionPhase};
use crate::logging::{self, JsonText};
use crate::node::Node;
use crate::supervision::supervise;
use crate::{datagrams, feed, gate, limits, metrics, quarantine, store};

/// The interval at which idle connections and unused locks are removed and suspensions are detected.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// The file descriptors that are reserved for files and similar uses. Half of the others are for accepted connections,
/// the rest is for outgoing ones.
const RESERVED_DESCRIPTORS: usize = 200;
/// The limits for connections from other nodes. Nodes close their idle connections after 3 s, so none reaches the idle
/// timeout while it may still be used.
const PEER_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 128 * 1024,
    body_bytes: u64::MAX,
    header_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(60),
};

/// Why a sidecar could not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// The settings file can't be read.
    #[display("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The error.
        source: io::Error,
    },
    /// The settings are invalid.
    #[display("{path}: {}", join_findings(findings))]
    Settings {
        /// The path of the file.
        path: String,
        /// All errors in it.
        findings: Vec<SettingsError>,
    },
    /// An address can't be bound, or the runtime or signal handlers can't be set up.
    #[display("{what}: {source}")]
    System {
        /// What could not be set up.
        what: &'static str,
        /// The error.
        source: io::Error,
    },
}

fn join_findings(findings: &[SettingsError]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Reads the settings file at `path`.
///
/// # Errors
///
/// Returns every error in the file with its position.
pub fn load_settings(path: &str) -> Result<SidecarSettings, StartError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| StartError::Unreadable { path: path.to_owned(), source })?;
    read_settings(&text).map_err(|findings| StartError::Settings { path: path.to_owned(), findings })
}

/// Runs a sidecar with the settings at `path` until it is asked to stop.
///
/// # Errors
///
/// Returns an error if the sidecar can't start.
pub fn run(path: &str, mechanisms: Mechanisms) -> Result<(), StartError> {
    let settings = SidecarSettings { mechanisms, ..load_settings(path)? };
    let log_state = logging::set_up().unwrap_or_default();
    logging::log_panics(settings.node.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(|source| StartError::System { what: "the runtime", source })?;
    let node = Node::new(settings, log_state);
    runtime.block_on(run_node(node, path.to_owned()))
}

async fn run_node(node: Rc<Node>, path: String) -> Result<(), StartError> {
    let system_error = |what| move |source| StartError::System { what, source };
    let mut hangups = signal(SignalKind::hangup()).map_err(system_error("signals"))?;
    let mut terminations = signal(SignalKind::terminate()).map_err(system_error("signals"))?;
    let running = start(node)?;
    loop {
        tokio::select! {
            _ = hangups.recv() => reload(&running.node, &path),
            _ = terminations.recv() => break,
        }
    }
    running.stop().await;
    Ok(())
}

/// A running sidecar.
pub struct Running {
    /// Its shared state.
    pub node: Rc<Node>,
    pub(crate) connection_phase: watch::Sender<ConnectionPhase>,
    pub(crate) open_connections: Rc<Cell<usize>>,
    pub(crate) dropped_connections: Rc<Cell<u64>>,
    pub(crate) draining: Rc<Cell<bool>>,
    pub(crate) accepting: [AbortHandle; 2],
    pub(crate) tasks: JoinSet<()>,
}

/// The tasks of a sidecar that is starting.
struct Tasks {
    node: Rc<Node>,
    running: JoinSet<()>,
}

impl Tasks {
    /// Starts a task that runs until the process ends.
    fn spawn<Task: Future<Output = ()> + 'static>(
        &mut self,
        name: &'static str,
        start: impl Fn(Rc<Node>) -> Task + 'static,
    ) -> AbortHandle {
        let node = Rc::clone(&self.node);
        let supervised = supervise(Rc::clone(&node), name, move || start(Rc::clone(&node)));
        self.running.spawn_local(supervised)
    }
}

/// Opens the listeners and starts the tasks of a sidecar on the current thread's runtime.
///
/// # Errors
///
/// Returns an error that names the address that can't be bound.
pub fn start(node: Rc<Node>) -> Result<Running, StartError> {
    let settings = node.settings.clone();
    let (connection_phase, phase) = watch::channel(ConnectionPhase::default());
    let open_connections = Rc::new(Cell::new(0));
    let draining: Rc<Cell<bool>> = Rc::default();
    let dropped_connections: Rc<Cell<u64>> = Rc::default();
    let for_limits = Rc::clone(&node);
    let callers = ConnectionConfig {
        limits: Rc::new(move || for_limits.current_configuration().map(|in_force| in_force.limits).unwrap_or_default()),
        phase,
        open_connections: Rc::clone(&open_connections),
        dropped_connections: Rc::clone(&dropped_connections),
        keep_alive_limit: settings.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2,
        draining: Rc::clone(&draining),
        concurrent_pipelining: true,
    };
    let peers = ConnectionConfig {
        limits: Rc::new(|| PEER_LIMITS),
        draining: Rc::default(),
        concurrent_pipelining: false,
        ..callers.clone()
    };

    let system_error = |what| move |source| StartError::System { what, source };
    let outbound = Rc::new(bind(settings.outbound).map_err(system_error("outbound"))?);
    let inbound = Rc::new(bind(settings.inbound).map_err(system_error("inbound"))?);
    let ready = Rc::new(bind(settings.ready).map_err(system_error("ready"))?);
    let mut tasks = Tasks { node: Rc::clone(&node), running: JoinSet::new() };

    let accepting_callers =
        tasks.spawn("callers", move |node| serve(Rc::clone(&outbound), callers.clone(), EdgeHandler { node }));
    let for_inbound = peers.clone();
    let accepting_peers = tasks.spawn("peers", move |node| {
        serve(Rc::clone(&inbound), for_inbound.clone(), move |parts, body, _| {
            gate::serve(Rc::clone(&node), parts, body)
        })
    });
    let for_ready = peers.clone();
    tasks.spawn("readiness", move |node| {
        serve(Rc::clone(&ready), for_ready.clone(), move |parts, _, _| serve_readiness(Rc::clone(&node), parts))
    });
    if let Some((address, path)) = settings.metrics.clone() {
        let listener = Rc::new(bind(address).map_err(system_error("metrics"))?);
        tasks.spawn("metrics", move |node| {
            let path = path.clone();
            serve(Rc::clone(&listener), peers.clone(), move |parts, _, _| {
                serve_metrics(Rc::clone(&node), parts, path.clone())
            })
        });
    }
    if let Some(address) = settings.limits {
        let socket = Rc::new(datagrams::bind(address).map_err(system_error("limits"))?);
        tasks.spawn("limits", move |node| limits::exchange(node, Rc::clone(&socket)));
    }
    if let Some(address) = settings.quarantine {
        let socket = Rc::new(datagrams::bind(address).map_err(system_error("quarantine"))?);
        tasks.spawn("quarantine", move |node| quarantine::exchange(node, Rc::clone(&socket)));
    }
    tasks.spawn("store-reader", store::follow);
    tasks.spawn("store-standby", store::watch_as_standby);
    tasks.spawn("feed", feed::follow);
    tasks.spawn("feed-catch-up", feed::catch_up);
    tasks.spawn("feed-unregistered", feed::find_unregistered);
    tasks.spawn("retained-target", gate::watch_retained_target);
    tasks.spawn("grace-periods", store::drop_expired_targets);
    if node.is_enabled(Mechanism::SharedReads) {
        tasks.spawn("store-access", store::watch_access);
    }
    tasks.spawn("gate-queue", evict_expired_calls);
    tasks.spawn("sweep", sweep);
    node.log(&format!(
        "\"event\":\"started\",\"zone\":{},\"service\":{},\"outbound\":\"{}\",\"switched_off\":{}",
        JsonText(&settings.zone),
        JsonText(&settings.service),
        settings.outbound,
        JsonText(settings.mechanisms.disabled_names())
    ));
    let accepting = [accepting_callers, accepting_peers];
    let tasks = tasks.running;
    Ok(Running { node, connection_phase, open_connections, dropped_connections, draining, accepting, tasks })
}

/// Logs whether the settings file differs from the settings in use. They take effect only at a restart, since addresses
/// can't change while the process runs.
fn reload(node: &Node, path: &str) {
    match load_settings(path) {
        Ok(settings) => {
            let settings = SidecarSettings { mechanisms: node.settings.mechanisms, ..settings };
            let is_unchanged = settings == node.settings;
            node.log(&format!("\"event\":\"reloaded\",\"unchanged\":{is_unchanged}"));
        }
        Err(error) => node.log(&format!("\"event\":\"reload-refused\",\"why\":{}", JsonText(&error))),
    }
}

/// Evicts calls from the gate's queue when they expire, until the process ends.
async fn evict_expired_calls(node: Rc<Node>) {
    loop {
        let next = node.gate.borrow().next_expiry();
        match next {
            None => node.gate_changed.notified().await,
            Some(expiry) => {
                let wait = node.now().until(expiry) + Duration::from_millis(1);
                tokio::select! {
                    () = sleep(wait) => gate::evict_waiting_calls(&node),
                    () = node.gate_changed.notified() => {}
                }
            }
        }
    }
}

/// Removes idle connections and unused locks and detects suspensions, until the process ends.
async fn sweep(node: Rc<Node>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        node.detect_suspension();
        node.peers.close_expired();
        node.target.close_expired();
        node.probe_locks.sweep();
    }
}

async fn serve_readiness(node: Rc<Node>, request: Parts) -> Response<Body> {
    let status = match request.uri.path() {
        READY_PATH if node.is_ready() => StatusCode::OK,
        READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

async fn serve_metrics(node: Rc<Node>, request: Parts, path: String) -> Response<Body> {
    if request.uri.path() == path {
        return Response::new(Body::Buffered(metrics::render(&node).into()));
    }
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
