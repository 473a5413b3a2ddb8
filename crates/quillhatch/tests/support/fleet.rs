//! Real nodes on the loopback interface: an edge, gates with stand-in back ends, and a stand-in platform.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use quillhatch::command_line::{self, ExitStatus, OutputStreams};
use quillhatch::running::{start, RunningNode};
use quillhatch_control::operator::{OperatorReply, OperatorRequest};
use quillhatch_settings::NodeSettings;
use quillhatch_standins::backend::{Backend, BackendFaults, BackendOptions, ChildCall};
use quillhatch_standins::platform::{Machine, MachineStatus, Platform, PlatformFaults};
use quillhatch_standins::server::any_loopback;
use serde_json::json;

use super::node::settings;
use super::{client, SERVICE, TEST_TIMEOUT};

const RETRY_INTERVAL: Duration = Duration::from_millis(20);
const SLOT_COUNT: u32 = 12;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Calls `check` repeatedly until it returns a value. Panics with `what` after [`TEST_TIMEOUT`].
pub async fn eventually<T, F: Future<Output = Option<T>>>(what: &str, mut check: impl FnMut() -> F) -> T {
    let checking = async {
        loop {
            if let Some(found) = check().await {
                return found;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, checking).await.unwrap_or_else(|_| panic!("condition not met in time: {what}"))
}

/// A gate and the back end beside it.
pub struct GateMachine {
    pub node: RunningNode,
    pub backend: Backend,
}

impl GateMachine {
    pub fn set_delay(&self, delay_milliseconds: u64) {
        self.backend.behaviour.set_faults(BackendFaults { delay_milliseconds, ..BackendFaults::default() });
    }

    /// How many runs of the request `identity` have started and finished at this back end.
    pub fn runs(&self, identity: &str) -> (u32, u32) {
        let record = self.backend.behaviour.runs.all().get(identity).cloned().unwrap_or_default();
        (record.started, record.finished)
    }
}

pub struct Fleet {
    pub platform: Platform,
    pub edge: RunningNode,
    pub gates: Vec<GateMachine>,
}

impl Fleet {
    /// Starts an edge and `count` gates of a new deployment, and waits until all of them accept calls.
    pub async fn start(count: usize) -> Fleet {
        Self::start_as("new", count).await
    }

    /// Starts a deployment with the given formation. One that is formed as `existing` starts with its claims lost.
    pub async fn start_as(formation: &str, count: usize) -> Fleet {
        let platform = Platform::start(any_loopback(), String::new()).await.expect("the platform starts");
        // The platform stays down until the nodes have started, because the document contains their addresses.
        platform.state.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        let edge = start(node_settings(None, &platform)).await.expect("the edge starts");
        let mut gates = Vec::new();
        for index in 0..count {
            gates.push(start_gate(index, &platform).await);
        }
        let fleet = Fleet { platform, edge, gates };
        fleet.publish(formation);
        fleet.wait_until_ready().await;
        fleet
    }

    fn publish(&self, formation: &str) {
        let nodes: Vec<&RunningNode> = self.gates.iter().map(|gate| &gate.node).collect();
        let listed = nodes.iter().copied().chain([&self.edge]);
        let machines = listed.map(|node| Machine { address: node.addresses.peers, status: MachineStatus::Live });
        self.platform.state.set_machines(machines.collect());
        self.platform.state.set_configuration(configuration_document(formation, &nodes));
        self.platform.state.set_faults(PlatformFaults::default());
    }

    async fn wait_until_ready(&self) {
        let nodes: Vec<&RunningNode> = self.gates.iter().map(|gate| &gate.node).chain([&self.edge]).collect();
        let ready = || async { nodes.iter().all(|node| node.driver().is_ready()).then_some(()) };
        eventually("all nodes are ready", ready).await;
        // Nodes accept calls without keys before the group is formed, so readiness alone isn't enough.
        let formed = || async { self.group_is_formed().await.then_some(()) };
        eventually("the group is formed and every slot has its owner", formed).await;
        let answered = || async { self.get("/lookups/first").await.status().is_success().then_some(()) };
        eventually("a call is answered", answered).await;
    }

    async fn group_is_formed(&self) -> bool {
        let reply = self.gates[0].node.driver().operator_request(OperatorRequest::Status { export: false });
        let Ok(OperatorReply::Status { report }) = reply.await else {
            return false;
        };
        report.services.first().is_some_and(|service| {
            let owned: u32 = service.slots.owned.values().sum();
            service.leader.is_some() && service.serving.len() == self.gates.len() && owned == SLOT_COUNT
        })
    }

    /// The URL of the service's `path` at the edge.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}/{SERVICE}{path}", self.edge.addresses.callers)
    }

    pub async fn get(&self, path: &str) -> reqwest::Response {
        client().get(self.url(path)).send().await.expect("an answer")
    }

    /// Creates a request with an idempotency key. The back end records its runs under `identity`.
    pub fn post(&self, key: &str, identity: &str, body: &'static str) -> reqwest::RequestBuilder {
        let request = client().post(self.url("/pledges")).header("idempotency-key", key);
        request.header("x-request-identity", identity).body(body)
    }
}

fn node_settings(backend: Option<SocketAddr>, platform: &Platform) -> NodeSettings {
    let mut settings = settings(backend);
    settings.operator_token = None;
    settings.platform.urls = vec![format!("http://{}", platform.address())];
    settings.platform.poll_interval = POLL_INTERVAL;
    if let Some(backend) = &mut settings.backend {
        backend.outgoing_address = Some(any_loopback());
        backend.load_path = Some("/load".to_owned());
    }
    settings
}

async fn start_gate(index: usize, platform: &Platform) -> GateMachine {
    let options = BackendOptions {
        service: SERVICE.to_owned(),
        name: format!("backend-{index}"),
        slots: 16,
        service_time: Duration::ZERO,
        edge: None,
        children: Vec::<ChildCall>::new(),
    };
    let backend = Backend::start(any_loopback(), options).await.expect("the back end starts");
    let node = start(node_settings(Some(backend.address()), platform)).await.expect("the gate starts");
    GateMachine { node, backend }
}

fn configuration_document(formation: &str, gates: &[&RunningNode]) -> String {
    let class = |name: &str, prefix: &str, method: &str, priority: &str, repeatable: bool| {
        json!({
            "name": name, "methods": [method], "path_prefix": prefix, "priority": priority, "repeatable": repeatable,
            "deadline": "20 s", "retry_budget": 3, "retry_ratio_percent": 50, "large_answers": priority == "bulk",
        })
    };
    let target = |node: &&RunningNode| json!({ "node": node.addresses.peers, "site": "old", "zone": "one", "slots": 16, "connections": 200 });
    let service = json!({
        "slot_count": SLOT_COUNT,
        "claim_retention": "1 h",
        "queue_timeout": "10 s",
        "classes": [
            class("pledges", "/pledges", "POST", "protected", false),
            class("downloads", "/files", "GET", "bulk", true),
            class("lookups", "/", "GET", "interactive", true),
        ],
        "targets": gates.iter().map(target).collect::<Vec<_>>(),
    });
    let sites = json!([{ "name": "old", "zones": ["one"] }]);
    let services = json!({ SERVICE: service });
    json!({ "deployment": "test", "revision": 1, "formation": formation, "sites": sites, "services": services })
        .to_string()
}

/// The exit status and output of a command.
pub struct CommandResult {
    pub exit: ExitStatus,
    pub output: String,
    pub errors: String,
}

impl CommandResult {
    /// Parses the reply that the command printed as JSON.
    pub fn reply(&self) -> OperatorReply {
        serde_json::from_str(&self.output).unwrap_or_else(|_| panic!("no reply: {}{}", self.output, self.errors))
    }
}

/// Runs a command of the program against the operator listener of `node`.
pub async fn command(node: &RunningNode, line: &str) -> CommandResult {
    let line = format!("{line} --node {}", node.addresses.operators);
    let arguments: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    let running = tokio::task::spawn_blocking(move || {
        let (mut output, mut errors) = (Vec::new(), Vec::new());
        let exit = command_line::run(&arguments, &mut OutputStreams { output: &mut output, errors: &mut errors });
        let text = |bytes| String::from_utf8(bytes).expect("text");
        CommandResult { exit, output: text(output), errors: text(errors) }
    });
    running.await.expect("the command ends")
}
