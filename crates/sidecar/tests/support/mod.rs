//! A platform in one process: its store, targets with configurable behavior, sidecars, and callers.

#![allow(dead_code)] // Each test binary uses only a part of this module.

pub mod hop;
pub mod limits;
pub mod shop;
pub mod tenancy;

pub use quillhatch_platform_standins::{caller, store, target};

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use quillhatch_mesh::limits::LimitBounds;
use quillhatch_mesh::mechanisms::Mechanisms;
use quillhatch_mesh::settings::{Bounds, SidecarSettings};
use quillhatch_sidecar::node::Node;
use quillhatch_sidecar::run::{start, Running};
use store::StandInStore;
use target::StandInTarget;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::LocalOptions;
use tokio::time::{sleep, timeout, Instant};

/// The timeout of each test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on a single-threaded runtime, like the program. The log lines of the sidecars are printed if the test
/// fails.
pub fn run(test: impl Future<Output = ()>) {
    // An earlier test of this process may have set up the logger already.
    let _ = fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .chain(fern::Output::call(|record| println!("{}", record.args())))
        .apply();
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build_local(LocalOptions::default()).expect("a runtime");
    let bounded = async { timeout(TEST_TIMEOUT, test).await.expect("the test ends in time") };
    runtime.block_on(bounded);
}

/// Polls `condition` until it is true; panics with `what` after ten seconds.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(10), "timed out: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// A loopback address that no other test of this process uses.
pub fn unused_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id() % 200;
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 10 + process as u8, (number / 200) as u8, (2 + number % 200) as u8)
}

/// The outbound port. All ports are the same on every machine.
pub const OUTBOUND: u16 = 21501;
const INBOUND: u16 = 21502;
const READY: u16 = 21503;
const METRICS: u16 = 21504;
const LIMITS: u16 = 21505;
const QUARANTINE: u16 = 21506;

/// The operators' bounds in the tests.
pub const BOUNDS: Bounds = Bounds {
    stop_grace: Duration::from_secs(6),
    drain: Duration::from_secs(2),
    apply: Duration::from_secs(2),
    recovery: Duration::from_secs(3),
    retry_ratio: 0.2,
    retry_window: Duration::from_secs(10),
    revocation: None,
    limits: LimitBounds { window: Duration::from_secs(5), tolerance: 0.25, slack: 20.0 },
    heartbeat: Duration::from_millis(1500),
};

/// The settings of a sidecar on `machine`, beside the target of `service` at `target`.
pub fn settings(machine: Ipv4Addr, service: &str, target: SocketAddr, store: SocketAddr) -> SidecarSettings {
    let at = |port| SocketAddr::from((machine, port));
    SidecarSettings {
        node: format!("sidecar-{machine}"),
        zone: "zone-a".to_owned(),
        service: service.to_owned(),
        local_target: target,
        outbound: at(OUTBOUND),
        inbound: at(INBOUND),
        ready: at(READY),
        metrics: Some((at(METRICS), "/metrics".to_owned())),
        limits: Some(at(LIMITS)),
        quarantine: Some(at(QUARANTINE)),
        store,
        max_descriptors: 4096,
        mechanisms: Mechanisms::default(),
        bounds: BOUNDS,
    }
}

/// A machine with a target and a sidecar.
pub struct Machine {
    pub target: StandInTarget,
    pub sidecar: Running,
    pub address: Ipv4Addr,
}

impl Machine {
    /// Starts a target of `service` and a sidecar beside it, and registers the target in the store.
    pub async fn start(store: &StandInStore, service: &str, slots: u32) -> Self {
        Self::start_with(store, service, slots, |settings| settings).await
    }

    /// The same with settings modified by `change`.
    pub async fn start_with(
        store: &StandInStore,
        service: &str,
        slots: u32,
        change: impl Fn(SidecarSettings) -> SidecarSettings,
    ) -> Self {
        let address = unused_address();
        let target = StandInTarget::start(address, service, slots).await;
        store.register(&target, "ready");
        let settings = change(settings(address, service, target.address, store.address));
        let sidecar = start(Node::new(settings, Default::default())).expect("the sidecar's addresses are free");
        eventually("the sidecar is ready", || sidecar.node.is_ready()).await;
        Machine { target, sidecar, address }
    }

    /// The address to which callers and the target on this machine send calls.
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::from((self.address, OUTBOUND))
    }

    /// The address to which other nodes send calls.
    pub fn inbound(&self) -> SocketAddr {
        SocketAddr::from((self.address, INBOUND))
    }

    /// The sidecar's shared state.
    pub fn node(&self) -> &Rc<Node> {
        &self.sidecar.node
    }

    /// The address of the readiness check.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.address, READY))
    }

    /// The address of the metrics page.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::from((self.address, METRICS))
    }
}

/// Starts a sidecar beside the target at `target`.
pub fn start_sidecar(machine: Ipv4Addr, service: &str, target: SocketAddr, store: SocketAddr) -> Running {
    let node = Node::new(settings(machine, service, target, store), Default::default());
    start(node).expect("the sidecar's addresses are free")
}

/// A listener with a full accept queue: new connections are neither accepted nor refused.
pub struct FullListener {
    pub address: SocketAddr,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl FullListener {
    /// Listens at `address` and fills the accept queue.
    pub async fn start(address: SocketAddr) -> Self {
        let started = Instant::now();
        let listener = loop {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_reuseaddr(true).expect("SO_REUSEADDR is supported");
            match socket.bind(address).and_then(|()| socket.listen(1)) {
                Ok(listener) => break listener,
                // The previous listener at this address may not be closed yet.
                Err(_) if started.elapsed() < Duration::from_secs(1) => sleep(Duration::from_millis(5)).await,
                Err(error) => panic!("{address}: {error}"),
            }
        };
        let address = listener.local_addr().expect("an address");
        let mut queued = Vec::new();
        while let Ok(Ok(stream)) = timeout(Duration::from_millis(100), TcpStream::connect(address)).await {
            queued.push(stream);
        }
        FullListener { address, _listener: listener, _queued: queued }
    }
}
