//! Checks that concern one value's meaning or several values together.

use std::net::SocketAddr;
use std::time::Duration;

use url::Url;

use super::secret::Secret;
use super::sections::{BackendSettings, ControlTimings, FleetKey};
use crate::report::{Report, Spot};
use crate::section::{Field, Section};
use crate::units::render_duration;

/// A value and where it was given.
#[derive(Clone, Debug)]
pub(super) struct Located<T> {
    pub(super) value: T,
    pub(super) spot: Spot,
}

/// The listeners' addresses, where they are given and right.
#[derive(Debug)]
pub(super) struct Listeners {
    pub(super) callers: Option<Located<SocketAddr>>,
    pub(super) peers: Option<Located<SocketAddr>>,
    pub(super) operators: Option<Located<SocketAddr>>,
}

/// The back end's settings, and its addresses even where another key is wrong.
#[derive(Debug)]
pub(super) struct LocatedBackend {
    pub(super) address: Option<Located<SocketAddr>>,
    pub(super) outgoing: Option<Located<SocketAddr>>,
    pub(super) settings: Option<BackendSettings>,
}

/// The fleet keys that are right, and where they were given.
#[derive(Debug)]
pub(super) struct LocatedFleetKeys {
    pub(super) send: Option<u32>,
    pub(super) send_given: bool,
    pub(super) send_spot: Spot,
    pub(super) accepted: Vec<Located<FleetKey>>,
}

impl Located<SocketAddr> {
    /// The address to listen on that `field` gives.
    pub(super) fn address(report: &mut Report<'_>, field: &Field<'_>) -> Option<Self> {
        Some(Located { value: field.address(report)?, spot: field.spot.clone() })
    }

    /// The address to connect to that `field` gives.
    pub(super) fn reachable_address(report: &mut Report<'_>, field: &Field<'_>) -> Option<Self> {
        Some(Located { value: field.reachable_address(report)?, spot: field.spot.clone() })
    }
}

impl LocatedFleetKeys {
    /// The keys without their places.
    pub(super) fn into_accepted(self) -> Vec<FleetKey> {
        self.accepted.into_iter().map(|key| key.value).collect()
    }
}

/// Two sockets can't share a port of one address; a wildcard address covers all addresses of its family.
fn collide(first: SocketAddr, second: SocketAddr) -> bool {
    let wildcard = first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() == second.port() && (first.ip() == second.ip() || wildcard)
}

/// Reports addresses that are used twice.
pub(super) fn check_addresses(report: &mut Report<'_>, listeners: &Listeners, backend: Option<&LocatedBackend>) {
    let address = backend.and_then(|backend| backend.address.as_ref());
    let outgoing = backend.and_then(|backend| backend.outgoing.as_ref());
    let listeners = [listeners.callers.as_ref(), listeners.peers.as_ref(), listeners.operators.as_ref()];
    let all = listeners.into_iter().chain([address, outgoing]);
    let given: Vec<&Located<SocketAddr>> = all.flatten().collect();
    for (index, address) in given.iter().enumerate() {
        let Some(other) = given[..index].iter().find(|other| collide(address.value, other.value)) else {
            continue;
        };
        let problem = format!("{} is already taken by {}", address.value, other.spot.path);
        report.error(&address.spot, problem, "give each its own port");
    }
}

/// Reports an operator listener that anybody in the network could use, and a token that is a fleet key too.
pub(super) fn check_operator_token(
    report: &mut Report<'_>,
    listeners: &Listeners,
    token: Option<&Located<Option<Secret>>>,
    fleet_keys: &LocatedFleetKeys,
) {
    if let (Some(operators), None) = (&listeners.operators, token) {
        if !operators.value.ip().is_loopback() {
            let spot = Spot { path: "operators.token".to_string(), ..operators.spot.clone() };
            let problem = format!("the operator listener {} is beyond loopback and has no token", operators.value);
            report.error(&spot, problem, "add token to the section operators, or listen on 127.0.0.1");
        }
    }
    let Some(Located { value: Some(token), spot }) = token else {
        return;
    };
    let shared = fleet_keys.accepted.iter().any(|key| is_same_secret(token, &key.value.secret));
    if shared {
        let advice = "draw another token; who holds one must not hold the other";
        report.error(spot, "the token is the secret of a fleet key too", advice);
    }
}

/// Whether the token, as text, is the hexadecimal form of the key or the key itself.
fn is_same_secret(token: &Secret, key: &Secret) -> bool {
    let hexadecimal: String = key.expose().iter().map(|byte| format!("{byte:02x}")).collect();
    token.expose().eq_ignore_ascii_case(hexadecimal.as_bytes()) || token == key
}

/// Reports keys that share a number or a secret, and a sending key that is not accepted.
///
/// `given` is the number of keys in the file, those that were reported included.
pub(super) fn check_fleet_keys(report: &mut Report<'_>, mut keys: LocatedFleetKeys, given: usize) -> LocatedFleetKeys {
    for (index, key) in keys.accepted.iter().enumerate() {
        for other in &keys.accepted[..index] {
            if key.value.id == other.value.id {
                let problem = format!("the key number {} is given twice", key.value.id);
                report.error(&key.spot, problem, "give each key its own number");
            }
            if key.value.secret == other.value.secret {
                let advice = "draw another secret; the same one under a new number replaces nothing";
                report.error(&key.spot, "the secret is used twice", advice);
            }
        }
    }
    if !keys.send_given && given == 1 {
        keys.send = keys.accepted.first().map(|key| key.value.id);
    }
    if !keys.send_given && given > 1 {
        report.error(&keys.send_spot, "the key is missing", "add send, the number of the key to send with");
    }
    let known = keys.accepted.iter().any(|key| Some(key.value.id) == keys.send);
    // A key that was itself reported may be the one meant.
    if let (Some(send), false, true) = (keys.send, known, keys.accepted.len() == given) {
        report.error(&keys.send_spot, format!("there is no key with the number {send}"), "name one of the keys");
    }
    keys
}

/// The base URL in `field`, without a slash at its end.
pub(super) fn base_url(report: &mut Report<'_>, field: &Field<'_>) -> Option<String> {
    let url = field.parsed(report, "write a base URL such as \"http://192.0.2.10:8090\"", Url::parse)?;
    let problem = if url.scheme() != "http" {
        "the scheme is not http"
    } else if url.query().is_some() || url.fragment().is_some() {
        "a base URL has neither query nor fragment"
    } else if !url.username().is_empty() || url.password().is_some() {
        "a base URL has neither user nor password"
    } else {
        return Some(url.as_str().trim_end_matches('/').to_string());
    };
    report.error(&field.spot, problem, "write a base URL such as \"http://192.0.2.10:8090\"");
    None
}

/// The path of an endpoint in `field`.
pub(super) fn endpoint_path(report: &mut Report<'_>, field: &Field<'_>) -> Option<String> {
    let path = field.text(report)?;
    let plain = path.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#');
    if path.starts_with('/') && plain {
        return Some(path.to_string());
    }
    let problem = format!("{path:?} is no path of an endpoint");
    report.error(&field.spot, problem, "write a path that starts with '/' and has no spaces, such as \"/health\"");
    None
}

/// One timing that must be longer than another.
struct Order {
    longer: (&'static str, Duration),
    shorter: (&'static str, Duration),
    /// How many times as long it must be at least; one means longer by any time.
    factor: u32,
    reason: &'static str,
}

impl Order {
    fn holds(&self) -> bool {
        if self.factor == 1 {
            return self.longer.1 > self.shorter.1;
        }
        self.longer.1 >= self.shorter.1 * self.factor
    }
}

/// Reports timings that contradict each other.
pub(super) fn check_timings(report: &mut Report<'_>, section: &Section<'_>, timings: &ControlTimings) {
    let orders = [
        Order {
            longer: ("probe_interval", timings.probe_interval),
            shorter: ("acknowledge_timeout", timings.acknowledge_timeout),
            factor: 1,
            reason: "a probe must have failed before the next one starts",
        },
        Order {
            longer: ("suspicion_timeout", timings.suspicion_timeout),
            shorter: ("probe_interval", timings.probe_interval),
            factor: 1,
            reason: "a suspected peer needs time to hear of it and to refute",
        },
        Order {
            longer: ("lease", timings.lease),
            shorter: ("heartbeat_interval", timings.heartbeat_interval),
            factor: 2,
            reason: "one lost heartbeat must not end a lease",
        },
        Order {
            longer: ("election_timeout_minimum", timings.election_timeout_minimum),
            shorter: ("lease", timings.lease),
            factor: 1,
            reason: "an owner's lease must have ended before another takes over",
        },
        Order {
            longer: ("election_timeout_maximum", timings.election_timeout_maximum),
            shorter: ("election_timeout_minimum", timings.election_timeout_minimum),
            factor: 1,
            reason: "voters must draw different timeouts, or their elections collide",
        },
    ];
    for order in orders.into_iter().filter(|order| !order.holds()) {
        let (name, time) = order.longer;
        let (other_name, other) = order.shorter;
        let wanted = if order.factor == 1 { "longer than".to_string() } else { format!("{} times", order.factor) };
        let (time, other) = (render_duration(time), render_duration(other));
        let problem = format!("{name} is {time} and must be {wanted} {other_name}, which is {other}");
        report.error(&section.spot(name), problem, format!("change one of the two: {}", order.reason));
    }
}
