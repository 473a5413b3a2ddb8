//! An edge and a gate in one process, with fake decisions instead of the decision code.
#![allow(dead_code)]

pub mod backend;
pub mod fake_decisions;
pub mod fleet;
pub mod node;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use quillhatch::driver::{Driver, NullMessageSink};
use quillhatch::edge::{Edge, RequestLimits};
use quillhatch::gate::backend::Backend;
use quillhatch::gate::Gate;
use quillhatch::http::server::{serve, Handler, ServerLimits};
use quillhatch::metrics::Counters;
use quillhatch::peers::FrameReceiver;
use quillhatch_messages::{FleetKey, FleetKeys, FrameOpener, KeyId};
use quillhatch_types::{
    ClassConfiguration, ClassName, Configuration, DeploymentName, Epoch, Formation, Incarnation, NodeAddress, NodeId,
    Priority, Revision, ServiceConfiguration, ServiceName,
};
use tokio::net::TcpListener;
use tokio::sync::watch;

use fake_decisions::{FakeDecisions, InputLog};

pub const SERVICE: &str = "giving";
pub const HEADER_LIMIT: u64 = 4 * 1024;
pub const RETRY_BUFFER: u64 = 16 * 1024;
/// The time limit of every wait, so that no test hangs. It is far above what any of them needs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub fn configuration() -> Configuration {
    let class = ClassConfiguration {
        name: ClassName::new("all").expect("name"),
        methods: Vec::new(),
        path_prefix: "/".to_owned(),
        priority: Priority::Interactive,
        repeatable: true,
        deadline: Duration::from_secs(20),
        retry_budget: 2,
        retry_ratio_percent: 20,
        large_answers: false,
    };
    let service = ServiceConfiguration {
        name: ServiceName::new(SERVICE).expect("name"),
        hosts: vec!["giving.example".to_owned()],
        slot_count: 8,
        claim_retention: Duration::from_secs(60),
        claim_capacity: 100,
        replay_limit_bytes: 1024,
        refused_before_running: vec![529],
        minimum_time: Duration::ZERO,
        queue_timeout: Duration::from_secs(1),
        site_shares: BTreeMap::new(),
        minimum_epoch: Epoch(0),
        classes: vec![class],
        targets: Vec::new(),
    };
    Configuration {
        deployment: DeploymentName::new("test").expect("name"),
        revision: Revision(1),
        formation: Formation::New,
        sites: Vec::new(),
        services: BTreeMap::from([(service.name.clone(), service)]),
    }
}

pub fn keys(byte: u8) -> Arc<FleetKeys> {
    let key = FleetKey { id: KeyId(1), secret: vec![byte; 32] };
    Arc::new(FleetKeys::new(vec![key], KeyId(1)).expect("keys"))
}

async fn bind_loopback() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

fn spawn_server<H: Handler>(listener: TcpListener, handler: H, stop: &watch::Sender<bool>) {
    let limits = ServerLimits { head_bytes: 64 * 1024, connections: 256 };
    tokio::spawn(serve(listener, Arc::new(handler), limits, stop.subscribe()));
}

pub struct GateNode {
    pub node: NodeId,
    pub log: InputLog,
    pub counters: Arc<Counters>,
    pub stop: watch::Sender<bool>,
}

pub async fn start_gate(backend: SocketAddr) -> GateNode {
    let (listener, address) = bind_loopback().await;
    let node = NodeId { address: NodeAddress(address), incarnation: Incarnation(7) };
    let (decisions, log) = FakeDecisions::new(Vec::new());
    let driver = Driver::new(Box::new(decisions), Box::new(NullMessageSink));
    let counters = Arc::new(Counters::default());
    let opener = FrameOpener::new(node, DeploymentName::new("test").expect("name"), (*keys(1)).clone());
    let backend = Backend {
        address: backend,
        service: ServiceName::new(SERVICE).expect("name"),
        client: quillhatch::clients::transparent().expect("client"),
    };
    let gate = Gate {
        node,
        driver: Arc::clone(&driver),
        backend: Some(backend),
        keys: keys(1),
        background: Arc::default(),
        frames: FrameReceiver::new(opener, Arc::new(Mutex::default()), driver, Arc::clone(&counters)),
        counters: Arc::clone(&counters),
    };
    let stop = watch::Sender::new(false);
    spawn_server(listener, gate, &stop);
    GateNode { node, log, counters, stop }
}

pub struct EdgeNode {
    pub address: SocketAddr,
    pub log: InputLog,
    pub counters: Arc<Counters>,
    pub driver: Arc<Driver>,
    pub stop: watch::Sender<bool>,
}

impl EdgeNode {
    pub fn url(&self, path: &str) -> String {
        format!("http://{}/{SERVICE}{path}", self.address)
    }
}

/// An edge that tries `targets` in order.
pub async fn start_edge(targets: Vec<NodeId>) -> EdgeNode {
    start_edge_with(targets, keys(1), None).await
}

pub async fn start_edge_with(targets: Vec<NodeId>, keys: Arc<FleetKeys>, body_bytes: Option<u64>) -> EdgeNode {
    let (listener, address) = bind_loopback().await;
    let (decisions, log) = FakeDecisions::new(targets);
    let driver = Driver::new(Box::new(decisions), Box::new(NullMessageSink));
    let counters = Arc::new(Counters::default());
    let edge = Edge {
        driver: Arc::clone(&driver),
        outgoing_only: false,
        client: quillhatch::clients::transparent().expect("client"),
        keys,
        unaccepted: Arc::default(),
        limits: RequestLimits { header_bytes: HEADER_LIMIT, body_bytes, retry_buffer_bytes: RETRY_BUFFER },
        counters: Arc::clone(&counters),
    };
    let stop = watch::Sender::new(false);
    spawn_server(listener, edge, &stop);
    EdgeNode { address, log, counters, driver, stop }
}

pub fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().timeout(TEST_TIMEOUT).build().expect("client")
}
