//! The deployment of a hollow fleet: one edge in ten nodes, and services with three targets at each of two sites.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use quillhatch_settings::parse_configuration;
use quillhatch_settings::presentation::render_text;
use quillhatch_types::{Configuration, NodeAddress, ServiceName, SiteName, ZoneName};
use serde_json::{json, Value};

use super::HollowError;
use crate::fleet::deployment::class;

/// The name of the deployment.
pub const DEPLOYMENT: &str = "hollow";

const SITES: [&str; 2] = ["old", "new"];
const ZONES: [&str; 3] = ["a", "b", "c"];
const PORT: u16 = 7_000;

/// Every tenth node is an edge.
const EDGE_EVERY: usize = 10;

/// Where one node stands and what it is beside.
#[derive(Clone, Debug)]
pub struct HollowPlace {
    /// Its address; nothing listens there.
    pub address: NodeAddress,
    /// Its site.
    pub site: SiteName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its service; `None` for an edge.
    pub service: Option<ServiceName>,
}

/// The places of `count` nodes.
pub fn places(count: usize) -> Result<Vec<HollowPlace>, HollowError> {
    let mut gates = 0;
    let mut places = Vec::with_capacity(count);
    for number in 0..count {
        let is_edge = number % EDGE_EVERY == 0;
        let position = if is_edge { number / EDGE_EVERY } else { gates };
        let service = (!is_edge).then(|| format!("service-{}", gates / (SITES.len() * ZONES.len())));
        gates += usize::from(!is_edge);
        places.push(HollowPlace {
            address: address(number),
            site: SiteName::new(SITES[position / ZONES.len() % SITES.len()])?,
            zone: ZoneName::new(ZONES[position % ZONES.len()])?,
            service: service.as_deref().map(ServiceName::new).transpose()?,
        });
    }
    Ok(places)
}

fn address(number: usize) -> NodeAddress {
    let host = Ipv4Addr::new(10, (number / 62_500) as u8, (number / 250 % 250) as u8, (number % 250) as u8 + 1);
    NodeAddress(SocketAddr::new(IpAddr::V4(host), PORT))
}

/// The configuration with its document's length in bytes.
pub fn configuration(places: &[HollowPlace], revision: u64) -> Result<(Configuration, usize), HollowError> {
    let mut services: std::collections::BTreeMap<&ServiceName, Vec<Value>> = std::collections::BTreeMap::new();
    for place in places {
        let Some(service) = &place.service else { continue };
        services.entry(service).or_default().push(target(place));
    }
    let services: serde_json::Map<String, Value> = services
        .into_iter()
        .filter_map(|(name, targets)| Some((name.to_string(), service_document(targets, revision)?)))
        .collect();
    let document = json!({
        "deployment": DEPLOYMENT,
        "revision": revision,
        "formation": "new",
        "sites": SITES.map(|name| json!({ "name": name, "zones": ZONES })),
        "services": services,
    });
    let text = document.to_string();
    let parsed = parse_configuration("hollow", &text);
    let (configuration, _warnings) =
        parsed.map_err(|findings| HollowError::Configuration { findings: render_text(&findings) })?;
    Ok((configuration, text.len()))
}

fn target(place: &HollowPlace) -> Value {
    json!({ "node": place.address.0, "site": place.site, "zone": place.zone, "slots": 10, "connections": 100 })
}

/// A change of the configuration changes a limit of every service; a service without targets at the first site is left
/// out, as the last one may be.
fn service_document(targets: Vec<Value>, revision: u64) -> Option<Value> {
    targets.iter().any(|target| target["site"] == SITES[0]).then_some(())?;
    Some(json!({
        "slot_count": 48,
        "queue_timeout": format!("{} ms", 200 + revision),
        "site_shares": { SITES[0]: 100, SITES[1]: 0 },
        "classes": [
            class("writes", "/", &["POST"], "protected", false, "10 s"),
            class("reads", "/", &["GET"], "interactive", true, "2 s"),
        ],
        "targets": targets,
    }))
}
