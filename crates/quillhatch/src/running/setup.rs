//! Constructs the components of a node and starts its listeners and tasks.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use quillhatch_messages::{FleetKey, FleetKeys, FrameOpener, FrameSealer, KeyId, KeySetError};
use quillhatch_settings::node_settings::{BackendSettings, FleetKeys as KeySettings};
use quillhatch_settings::NodeSettings;
use quillhatch_types::{Incarnation, NodeAddress, NodeId};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{DecisionFactory, ListenAddresses, RunningNode, StartError};
use crate::backend_health::{self, HealthEndpoints};
use crate::clients;
use crate::driver::Driver;
use crate::edge::{Edge, RequestLimits};
use crate::gate::backend::Backend;
use crate::gate::background::BackgroundRuns;
use crate::gate::Gate;
use crate::http::server::{serve, ServerLimits};
use crate::metrics::Counters;
use crate::operators::{BearerToken, OperatorServer};
use crate::peers::{FrameReceiver, PeerSender, SenderSettings};
use crate::platform::{HttpPlatform, PlatformReader};

/// The number of bytes by which the server's head limit exceeds the configured limit. For heads up to that size, the node
/// itself sends the 431 response, with a problem document; beyond it, the server sends a bare one.
const HEAD_MARGIN_BYTES: u64 = 16 * 1024;

/// The maximum number of concurrent connections from other nodes.
const MAX_PEER_CONNECTIONS: usize = 16 * 1024;

/// The number of bytes by which the head of a peer's request may exceed that of a caller's request: an edge forwards the
/// caller's header with the call context added.
const PEER_EXTRA_HEAD_BYTES: u64 = 8 * 1024;

struct BoundListener {
    listener: TcpListener,
    address: SocketAddr,
}

async fn bind(client_kind: &'static str, address: SocketAddr) -> Result<BoundListener, StartError> {
    let listen_error = |source| StartError::Listen { client_kind, address, source };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    Ok(BoundListener { listener, address })
}

pub(super) async fn start(settings: NodeSettings, factory: impl DecisionFactory) -> Result<RunningNode, StartError> {
    let callers = bind("callers", settings.caller_address).await?;
    let peers = bind("peers", settings.peer_address.0).await?;
    let outgoing = match settings.backend.as_ref().and_then(|backend| backend.outgoing_address) {
        Some(address) => Some(bind("outgoing calls", address).await?),
        None => None,
    };
    let node = NodeId { address: NodeAddress(peers.address), incarnation: random_incarnation() };
    let keys = Arc::new(fleet_keys(&settings.fleet_keys)?);
    let counters = Arc::new(Counters::default());
    let versions = Arc::new(Mutex::default());

    let sealer = FrameSealer::new(node, settings.deployment.clone(), (*keys).clone());
    let (client, sender_settings) = (clients::transparent()?, SenderSettings::default());
    let sender = PeerSender::new(sealer, Arc::clone(&versions), client, sender_settings, Arc::clone(&counters));
    let sender = Arc::new(sender);
    let driver = Driver::new(factory.build(node, &settings)?, Box::new(Arc::clone(&sender)));

    let opener = FrameOpener::new(node, settings.deployment.clone(), (*keys).clone());
    let frames = FrameReceiver::new(opener, versions, Arc::clone(&driver), Arc::clone(&counters));
    let backend = settings.backend.as_ref().map(build_backend).transpose()?;
    let background_runs = Arc::new(BackgroundRuns::default());
    let gate = Gate {
        node,
        driver: Arc::clone(&driver),
        backend,
        keys: Arc::clone(&keys),
        background: Arc::clone(&background_runs),
        frames,
        counters: Arc::clone(&counters),
    };
    let edge = Edge {
        driver: Arc::clone(&driver),
        outgoing_only: false,
        client: clients::transparent()?,
        keys,
        unaccepted: Arc::default(),
        limits: request_limits(&settings),
        counters: Arc::clone(&counters),
    };

    let token = settings.operator_token.as_ref().map(|token| BearerToken::new(token.expose().to_vec()));
    let operators = OperatorServer::start(settings.operator_address, token, Arc::clone(&driver), &counters).await?;
    let background = spawn_background_tasks(&settings, &driver, &counters)?;
    let addresses = ListenAddresses {
        callers: callers.address,
        peers: peers.address,
        operators: operators.address,
        outgoing: outgoing.as_ref().map(|listener| listener.address),
    };
    let stop_listeners = watch::Sender::new(false);
    let mut servers = JoinSet::new();
    let limits = caller_limits(&settings);
    if let Some(outgoing) = outgoing {
        let edge = Edge { outgoing_only: true, ..edge.clone() };
        servers.spawn(serve(outgoing.listener, Arc::new(edge), limits, stop_listeners.subscribe()));
    }
    servers.spawn(serve(callers.listener, Arc::new(edge), limits, stop_listeners.subscribe()));
    servers.spawn(serve(peers.listener, Arc::new(gate), peer_limits(&settings), stop_listeners.subscribe()));
    log_start(&node, &addresses);
    let grace = settings.stop.grace_period;
    Ok(RunningNode {
        addresses,
        node,
        driver,
        counters,
        sender,
        operators,
        stop_listeners,
        servers,
        background,
        background_runs,
        grace,
    })
}

/// Returns a random nonzero incarnation; on the wire, zero means "any run".
fn random_incarnation() -> Incarnation {
    Incarnation(rand::random::<u64>().max(1))
}

fn fleet_keys(settings: &KeySettings) -> Result<FleetKeys, KeySetError> {
    let key = |key: &quillhatch_settings::node_settings::FleetKey| FleetKey {
        id: KeyId(key.id),
        secret: key.secret.expose().to_vec(),
    };
    FleetKeys::new(settings.accepted.iter().map(key).collect(), KeyId(settings.sending_key_id))
}

fn build_backend(settings: &BackendSettings) -> reqwest::Result<Backend> {
    let client = clients::transparent()?;
    Ok(Backend { address: settings.address, service: settings.service.clone(), client })
}

fn request_limits(settings: &NodeSettings) -> RequestLimits {
    RequestLimits {
        header_bytes: settings.limits.max_header_bytes,
        body_bytes: settings.limits.max_body_bytes,
        retry_buffer_bytes: settings.limits.retry_buffer_bytes,
    }
}

fn caller_limits(settings: &NodeSettings) -> ServerLimits {
    let head_bytes = to_usize(settings.limits.max_header_bytes + HEAD_MARGIN_BYTES);
    ServerLimits { head_bytes, connections: to_usize(settings.limits.max_connections) }
}

fn peer_limits(settings: &NodeSettings) -> ServerLimits {
    let head_bytes = to_usize(settings.limits.max_header_bytes + HEAD_MARGIN_BYTES + PEER_EXTRA_HEAD_BYTES);
    ServerLimits { head_bytes, connections: MAX_PEER_CONNECTIONS }
}

fn to_usize(value: u64) -> usize {
    // The server limits connections by a semaphore, whose number of permits is bounded.
    usize::try_from(value).unwrap_or(usize::MAX).min(tokio::sync::Semaphore::MAX_PERMITS)
}

fn spawn_background_tasks(
    settings: &NodeSettings,
    driver: &Arc<Driver>,
    counters: &Arc<Counters>,
) -> Result<JoinSet<()>, StartError> {
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(driver).run_timer());
    let platform = &settings.platform;
    let reader = HttpPlatform::new(clients::transparent()?, platform.urls.clone(), platform.timeout);
    let reader = PlatformReader::new(reader, platform.poll_interval, Arc::clone(driver), Arc::clone(counters));
    tasks.spawn(reader.run());
    if let Some(backend) = &settings.backend {
        let client = clients::transparent()?;
        let endpoints = health_endpoints(backend, backend.poll_interval);
        tasks.spawn(backend_health::run(client, endpoints, Arc::clone(driver), Arc::clone(counters)));
    }
    Ok(tasks)
}

fn health_endpoints(backend: &BackendSettings, interval: Duration) -> HealthEndpoints {
    let url = |path: &str| format!("http://{}{path}", backend.address);
    HealthEndpoints { health: url(&backend.health_path), load: backend.load_path.as_deref().map(url), interval }
}

fn log_start(node: &NodeId, addresses: &ListenAddresses) {
    let node = node.to_string();
    let (callers, peers) = (addresses.callers.to_string(), addresses.peers.to_string());
    let operators = addresses.operators.to_string();
    let (node, callers, peers, operators) = (node.as_str(), callers.as_str(), peers.as_str(), operators.as_str());
    log::info!(node, callers, peers, operators; "the node is listening");
}
