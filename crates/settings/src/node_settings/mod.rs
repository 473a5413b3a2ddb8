//! The settings that a node is started with.
//!
//! Use [`parse_node_settings`] with the text of the settings file and the flags that override it. The result is complete:
//! keys that the file leaves out have their defaults.

mod checks;
mod overrides;
mod read;
mod secret;
mod sections;

use std::net::SocketAddr;

use quillhatch_types::{DeploymentName, Findings, NodeAddress, SiteName, ZoneName};

pub use overrides::FlagOverrides;
pub use secret::Secret;
pub use sections::{
    BackendSettings, ControlTimings, FleetKey, FleetKeys, LimitSettings, LogFormat, LogSettings, PlatformSettings,
    StopSettings, MIN_SECRET_BYTES,
};

use crate::document::toml;
use crate::document::Origin;
use crate::report::{Report, Spot};

/// All settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// The deployment that the node belongs to.
    pub deployment: DeploymentName,
    /// The site that the node is at.
    pub site: SiteName,
    /// The zone that the node is in.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other nodes connect; this is the node's identity too.
    pub peer_address: NodeAddress,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// The bearer token that operators must present; never absent if the operator listener is bound beyond loopback.
    pub operator_token: Option<Secret>,
    /// The keys with which nodes authenticate to each other.
    pub fleet_keys: FleetKeys,
    /// Where and how often the platform is asked.
    pub platform: PlatformSettings,
    /// Nodes to ask first for the membership of the fleet.
    pub seed_peers: Vec<NodeAddress>,
    /// The back end beside the node; a node without one is an edge only.
    pub backend: Option<BackendSettings>,
    /// What a caller may use up.
    pub limits: LimitSettings,
    /// How the node stops.
    pub stop: StopSettings,
    /// What is logged and how.
    pub log: LogSettings,
    /// The timings of failure detection and agreement.
    pub control: ControlTimings,
}

/// Reads the settings file `text`, which findings call `source`, with `overrides` in place of what it says.
///
/// Returns the settings together with the warnings, of which there may be none.
///
/// # Errors
///
/// Returns all findings, warnings among them, if one of them is an error. A text that is no TOML has one finding only,
/// at the first place that shows it.
pub fn parse_node_settings(
    source: &str,
    text: &str,
    overrides: &FlagOverrides,
) -> Result<(NodeSettings, Findings), Findings> {
    let mut report = Report::new(source, text);
    let settings = match toml::parse(text) {
        Ok(mut root) => {
            overrides.apply(&mut root);
            read::read(&mut report, &root)
        }
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            let spot = Spot { path: String::new(), origin: Origin::Offset(offset) };
            let problem = error.message().trim().replace('\n', ", ");
            report.error(&spot, format!("the file is no TOML: {problem}"), "mend the syntax here and check again");
            None
        }
    };
    let findings = report.into_findings();
    match settings {
        Some(settings) if !findings.has_errors() => Ok((settings, findings)),
        _ => Err(findings),
    }
}
