//! A complete node with fake decisions instead of the decision code.

use std::net::SocketAddr;

use quillhatch::decisions::Decisions;
use quillhatch::running::{start_with, RunningNode, StartError};
use quillhatch_settings::{parse_node_settings, FlagOverrides, NodeSettings};
use quillhatch_types::{NodeAddress, NodeId};

use super::fake_decisions::{FakeDecisions, InputLog};

pub const TOKEN: &str = "an-operators-token";

pub fn settings(backend: Option<SocketAddr>) -> NodeSettings {
    let backend = backend
        .map_or_else(String::new, |address| format!("[backend]\naddress = \"{address}\"\nservice = \"giving\"\n"));
    let text = format!(
        "deployment = \"test\"\nsite = \"old\"\nzone = \"one\"\n\
         [listeners]\ncallers = \"127.0.0.1:1\"\npeers = \"127.0.0.1:2\"\noperators = \"127.0.0.1:3\"\n\
         [operators]\ntoken = \"{TOKEN}\"\n\
         [fleet]\nkeys = [{{ id = 1, secret = \"{}\" }}]\n\
         [platform]\nurls = [\"http://127.0.0.1:4\"]\n\
         [stop]\ngrace = \"20 s\"\n{backend}",
        (0..32).map(|byte| format!("{:02x}", byte * 37 % 251)).collect::<String>()
    );
    let parsed = parse_node_settings("test", &text, &FlagOverrides::default());
    let (mut settings, _) = parsed.unwrap_or_else(|findings| panic!("{findings}"));
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("address");
    (settings.caller_address, settings.peer_address, settings.operator_address) =
        (any_port, NodeAddress(any_port), any_port);
    settings
}

pub async fn start(settings: NodeSettings, targets: Vec<NodeId>) -> (RunningNode, InputLog) {
    let (decisions, log) = FakeDecisions::new(targets);
    let build =
        move |_: NodeId, _: &NodeSettings| -> Result<Box<dyn Decisions>, StartError> { Ok(Box::new(decisions)) };
    (start_with(settings, build).await.expect("the node starts"), log)
}
