//! The settings of each node, written as a settings file and read as the program reads it.

use std::net::SocketAddr;

use quillhatch_settings::presentation::render_text;
use quillhatch_settings::{parse_node_settings, FlagOverrides, NodeSettings};

use super::deployment::{Deployment, DEPLOYMENT};
use super::ports::PlannedMachine;
use super::FleetError;

/// The key of fleets that live as long as one command of the lab.
const FLEET_SECRET: &str = "4f1d9a3c5be8706272d5e0c9481fb6a395370ec2d84a16fb7b02c5d9e63184fa";

pub(super) fn node_settings(
    deployment: &Deployment,
    machine: &PlannedMachine,
    platform: SocketAddr,
) -> Result<NodeSettings, FleetError> {
    let text = settings_text(deployment, machine, platform);
    let parsed = parse_node_settings("lab", &text, &FlagOverrides::default());
    let (settings, _warnings) = parsed.map_err(|findings| FleetError::Settings { findings: render_text(&findings) })?;
    Ok(settings)
}

fn settings_text(deployment: &Deployment, machine: &PlannedMachine, platform: SocketAddr) -> String {
    let (place, ports) = (&machine.place, &machine.ports);
    let mut text = format!(
        r#"
deployment = "{DEPLOYMENT}"
site = "{}"
zone = "{}"

[listeners]
callers = "{}"
peers = "{}"
operators = "{}"

[[fleet.keys]]
id = 1
secret = "{FLEET_SECRET}"

[platform]
urls = ["http://{platform}"]
poll_interval = "250 ms"
"#,
        place.site, place.zone, ports.callers, ports.peers, ports.operators
    );
    if let Some(service) = deployment.service_of(machine) {
        let name = service.name;
        text.push_str(&format!(
            "\n[backend]\naddress = \"{}\"\nservice = \"{name}\"\nload_path = \"/load\"\n",
            ports.backend
        ));
    }
    text
}
