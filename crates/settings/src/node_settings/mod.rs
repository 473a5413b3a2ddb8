//! Parses and checks the settings that a node is started with.
//!
//! Pass the text of the settings file and the flags that override it to [`parse_node_settings`]. The result is
//! complete: keys that the file omits have their default values.

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
use crate::document::ValueOrigin;
use crate::report::{Report, ValueLocation};

/// All settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// The deployment that the node belongs to.
    pub deployment: DeploymentName,
    /// The site where the node runs.
    pub site: SiteName,
    /// The zone where the node runs.
    pub zone: ZoneName,
    /// The listen address for callers.
    pub caller_address: SocketAddr,
    /// The listen address for other nodes, which also identifies the node.
    pub peer_address: NodeAddress,
    /// The listen address for operators.
    pub operator_address: SocketAddr,
    /// The bearer token that operators must send; required if the operator listener isn't on a loopback address.
    pub operator_token: Option<Secret>,
    /// The keys with which nodes authenticate each other's frames.
    pub fleet_keys: FleetKeys,
    /// Where and how often the node polls the platform for the configuration.
    pub platform: PlatformSettings,
    /// The nodes to contact first to join the membership of the fleet.
    pub seed_peers: Vec<NodeAddress>,
    /// The local back end; a node without one is only an edge.
    pub backend: Option<BackendSettings>,
    /// Limits on requests and connections of callers.
    pub limits: LimitSettings,
    /// How the node stops.
    pub stop: StopSettings,
    /// What is logged and how.
    pub log: LogSettings,
    /// The timings of failure detection and agreement.
    pub control: ControlTimings,
}

/// Parses the settings file `text`, which findings name `source`; `overrides` take precedence over the file.
///
/// Returns the settings and the warnings, if any.
///
/// # Errors
///
/// Returns all findings, including warnings, if at least one is an error. If the text is not valid TOML, the only
/// finding is the first syntax error.
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
            let location = ValueLocation { path: String::new(), origin: ValueOrigin::Offset(offset) };
            let problem = error.message().trim().replace('\n', ", ");
            report.error(
                &location,
                format!("the file is not valid TOML: {problem}"),
                "fix the syntax here and check again",
            );
            None
        }
    };
    let findings = report.into_findings();
    match settings {
        Some(settings) if !findings.has_errors() => Ok((settings, findings)),
        _ => Err(findings),
    }
}
