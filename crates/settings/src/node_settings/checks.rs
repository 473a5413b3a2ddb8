//! Checks of the node settings beyond the types of single values, such as contradictions between several values.

use std::net::SocketAddr;
use std::time::Duration;

use url::Url;

use super::secret::Secret;
use super::sections::{BackendSettings, ControlTimings, FleetKey};
use crate::report::{Report, ValueLocation};
use crate::section::{Field, Section};
use crate::units::render_duration;

/// A value and its location.
#[derive(Clone, Debug)]
pub(super) struct Located<T> {
    pub(super) value: T,
    pub(super) location: ValueLocation,
}

/// The addresses of the listeners; `None` where an address is missing or invalid.
#[derive(Debug)]
pub(super) struct ListenerAddresses {
    pub(super) callers: Option<Located<SocketAddr>>,
    pub(super) peers: Option<Located<SocketAddr>>,
    pub(super) operators: Option<Located<SocketAddr>>,
}

/// The settings of the back end, and its addresses, which are present even if another key of the section is invalid.
#[derive(Debug)]
pub(super) struct LocatedBackend {
    pub(super) address: Option<Located<SocketAddr>>,
    pub(super) outgoing: Option<Located<SocketAddr>>,
    pub(super) settings: Option<BackendSettings>,
}

/// The valid fleet keys and their locations.
#[derive(Debug)]
pub(super) struct LocatedFleetKeys {
    pub(super) sending_key_id: Option<u32>,
    pub(super) sending_key_given: bool,
    pub(super) sending_key_location: ValueLocation,
    pub(super) accepted: Vec<Located<FleetKey>>,
}

impl Located<SocketAddr> {
    /// Reads a listen address.
    pub(super) fn address(report: &mut Report<'_>, field: &Field<'_>) -> Option<Self> {
        Some(Located { value: field.address(report)?, location: field.location.clone() })
    }

    /// Reads an address that other processes can connect to.
    pub(super) fn reachable_address(report: &mut Report<'_>, field: &Field<'_>) -> Option<Self> {
        Some(Located { value: field.reachable_address(report)?, location: field.location.clone() })
    }
}

impl LocatedFleetKeys {
    /// Returns the keys without their locations.
    pub(super) fn into_accepted(self) -> Vec<FleetKey> {
        self.accepted.into_iter().map(|key| key.value).collect()
    }
}

/// Whether two listen addresses conflict: their ports are equal, and their IP addresses are equal or one is a
/// wildcard, which covers all addresses.
fn addresses_conflict(first: SocketAddr, second: SocketAddr) -> bool {
    let wildcard = first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() == second.port() && (first.ip() == second.ip() || wildcard)
}

/// Reports addresses that conflict with each other.
pub(super) fn check_addresses(
    report: &mut Report<'_>,
    listeners: &ListenerAddresses,
    backend: Option<&LocatedBackend>,
) {
    let address = backend.and_then(|backend| backend.address.as_ref());
    let outgoing = backend.and_then(|backend| backend.outgoing.as_ref());
    let listeners = [listeners.callers.as_ref(), listeners.peers.as_ref(), listeners.operators.as_ref()];
    let all = listeners.into_iter().chain([address, outgoing]);
    let given: Vec<&Located<SocketAddr>> = all.flatten().collect();
    for (index, address) in given.iter().enumerate() {
        let Some(other) = given[..index].iter().find(|other| addresses_conflict(address.value, other.value)) else {
            continue;
        };
        let problem = format!("{} is already taken by {}", address.value, other.location.path);
        report.error(&address.location, problem, "give each its own port");
    }
}

/// Reports an operator listener that is reachable from the network without a token, and a token that is also a fleet
/// key.
pub(super) fn check_operator_token(
    report: &mut Report<'_>,
    listeners: &ListenerAddresses,
    token: Option<&Located<Option<Secret>>>,
    fleet_keys: &LocatedFleetKeys,
) {
    if let (Some(operators), None) = (&listeners.operators, token) {
        if !operators.value.ip().is_loopback() {
            let location = ValueLocation { path: "operators.token".to_string(), ..operators.location.clone() };
            let problem =
                format!("the operator listener {} is not on a loopback address and has no token", operators.value);
            report.error(&location, problem, "add token to the section operators, or listen on 127.0.0.1");
        }
    }
    let Some(Located { value: Some(token), location }) = token else {
        return;
    };
    let shared = fleet_keys.accepted.iter().any(|key| is_same_secret(token, &key.value.secret));
    if shared {
        let advice = "generate another token; whoever knows one must not know the other";
        report.error(location, "the token is also the secret of a fleet key", advice);
    }
}

/// Whether the token is the key itself or its hexadecimal form.
fn is_same_secret(token: &Secret, key: &Secret) -> bool {
    let hexadecimal: String = key.expose().iter().map(|byte| format!("{byte:02x}")).collect();
    token.expose().eq_ignore_ascii_case(hexadecimal.as_bytes()) || token == key
}

/// Reports keys that share a number or a secret, and a sending key that is not accepted.
///
/// `given_keys` is the number of keys in the file, including invalid ones, which were reported already.
pub(super) fn check_fleet_keys(
    report: &mut Report<'_>,
    mut keys: LocatedFleetKeys,
    given_keys: usize,
) -> LocatedFleetKeys {
    for (index, key) in keys.accepted.iter().enumerate() {
        for other in &keys.accepted[..index] {
            if key.value.id == other.value.id {
                let problem = format!("the key number {} is given twice", key.value.id);
                report.error(&key.location, problem, "give each key its own number");
            }
            if key.value.secret == other.value.secret {
                let advice = "generate another secret; the same secret under a new number does not rotate the key";
                report.error(&key.location, "the secret is used twice", advice);
            }
        }
    }
    if !keys.sending_key_given && given_keys == 1 {
        keys.sending_key_id = keys.accepted.first().map(|key| key.value.id);
    }
    if !keys.sending_key_given && given_keys > 1 {
        report.error(&keys.sending_key_location, "the key is missing", "add send, the number of the key to send with");
    }
    let known = keys.accepted.iter().any(|key| Some(key.value.id) == keys.sending_key_id);
    // With an invalid key in the file, `send` may refer to that key, whose number is not in `accepted`.
    if let (Some(send), false, true) = (keys.sending_key_id, known, keys.accepted.len() == given_keys) {
        report.error(
            &keys.sending_key_location,
            format!("there is no key with the number {send}"),
            "use the number of one of the keys",
        );
    }
    keys
}

/// Reads a base URL and removes trailing slashes.
pub(super) fn base_url(report: &mut Report<'_>, field: &Field<'_>) -> Option<String> {
    let url = field.parse_with(report, "write a base URL such as \"http://192.0.2.10:8090\"", Url::parse)?;
    let problem = if url.scheme() != "http" {
        "the scheme is not http"
    } else if url.query().is_some() || url.fragment().is_some() {
        "a base URL has neither query nor fragment"
    } else if !url.username().is_empty() || url.password().is_some() {
        "a base URL has neither user nor password"
    } else {
        return Some(url.as_str().trim_end_matches('/').to_string());
    };
    report.error(&field.location, problem, "write a base URL such as \"http://192.0.2.10:8090\"");
    None
}

/// Reads the path of an endpoint.
pub(super) fn endpoint_path(report: &mut Report<'_>, field: &Field<'_>) -> Option<String> {
    let path = field.string(report)?;
    let allowed = path.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#');
    if path.starts_with('/') && allowed {
        return Some(path.to_string());
    }
    let problem = format!("{path:?} is not an endpoint path");
    report.error(&field.location, problem, "write a path that starts with '/' and has no spaces, such as \"/health\"");
    None
}

/// A constraint that one timing is longer than another.
struct TimingConstraint {
    longer: (&'static str, Duration),
    shorter: (&'static str, Duration),
    /// The minimum ratio of `longer` to `shorter`. With 1, `longer` must be strictly longer.
    factor: u32,
    reason: &'static str,
}

impl TimingConstraint {
    fn is_satisfied(&self) -> bool {
        if self.factor == 1 {
            return self.longer.1 > self.shorter.1;
        }
        self.longer.1 >= self.shorter.1 * self.factor
    }
}

/// Reports timings that contradict each other.
pub(super) fn check_timings(report: &mut Report<'_>, section: &Section<'_>, timings: &ControlTimings) {
    let constraints = [
        TimingConstraint {
            longer: ("probe_interval", timings.probe_interval),
            shorter: ("acknowledge_timeout", timings.acknowledge_timeout),
            factor: 1,
            reason: "an unanswered probe must time out before the next one starts",
        },
        TimingConstraint {
            longer: ("suspicion_timeout", timings.suspicion_timeout),
            shorter: ("probe_interval", timings.probe_interval),
            factor: 1,
            reason: "a suspected peer needs time to receive the suspicion and refute it",
        },
        TimingConstraint {
            longer: ("lease", timings.lease),
            shorter: ("heartbeat_interval", timings.heartbeat_interval),
            factor: 2,
            reason: "one lost heartbeat must not let a lease expire",
        },
        TimingConstraint {
            longer: ("election_timeout_minimum", timings.election_timeout_minimum),
            shorter: ("lease", timings.lease),
            factor: 1,
            reason: "the lease of an owner must expire before another node takes over",
        },
        TimingConstraint {
            longer: ("election_timeout_maximum", timings.election_timeout_maximum),
            shorter: ("election_timeout_minimum", timings.election_timeout_minimum),
            factor: 1,
            reason: "voters must choose different random timeouts, or their elections collide",
        },
    ];
    for constraint in constraints.into_iter().filter(|constraint| !constraint.is_satisfied()) {
        let (name, time) = constraint.longer;
        let (other_name, other) = constraint.shorter;
        let wanted =
            if constraint.factor == 1 { "longer than".to_string() } else { format!("{} times", constraint.factor) };
        let (time, other) = (render_duration(time), render_duration(other));
        let problem = format!("{name} is {time} and must be {wanted} {other_name}, which is {other}");
        report.error(&section.location_of(name), problem, format!("change one of the two: {}", constraint.reason));
    }
}
