//! Converts the parsed tree of a settings file to [`NodeSettings`].

use std::ops::RangeInclusive;
use std::time::Duration;

use log::LevelFilter;
use quillhatch_types::{DeploymentName, NodeAddress, ServiceName, SiteName, ZoneName};

use super::checks;
use super::secret::Secret;
use super::sections::{
    BackendSettings, ControlTimings, FleetKey, FleetKeys, LimitSettings, LogFormat, LogSettings, PlatformSettings,
    StopSettings, MIN_SECRET_BYTES,
};
use super::NodeSettings;
use crate::document::ValueNode;
use crate::report::Report;
use crate::section::{Field, Section};

/// The maximum number of fleet keys accepted at a time.
const MAX_FLEET_KEYS: usize = 2;
/// The minimum number of distinct bytes of a fleet key; a key with fewer is rejected as not random.
const MIN_DISTINCT_BYTES: usize = 8;
/// The minimum length of the operator token, in characters.
const MIN_TOKEN_LENGTH: usize = 16;

const POLL_INTERVAL_RANGE: RangeInclusive<Duration> = Duration::from_millis(50)..=Duration::from_secs(60);
const PLATFORM_TIMEOUT_RANGE: RangeInclusive<Duration> = Duration::from_millis(50)..=Duration::from_secs(60);
const GRACE_PERIOD_RANGE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(24 * 3600);
const CONTROL_TIMING_RANGE: RangeInclusive<Duration> = Duration::from_millis(5)..=Duration::from_secs(60);
const HEADER_SIZE_RANGE: RangeInclusive<u64> = 1 << 10..=1 << 20;
const BODY_SIZE_RANGE: RangeInclusive<u64> = 1..=1 << 50;
const RETRY_BUFFER_SIZE_RANGE: RangeInclusive<u64> = 0..=16 << 20;
const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=1_000_000;

const LOG_LEVELS: [(&str, LevelFilter); 6] = [
    ("off", LevelFilter::Off),
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
    ("trace", LevelFilter::Trace),
];
const LOG_FORMATS: [(&str, LogFormat); 2] = [("json", LogFormat::Json), ("text", LogFormat::Text)];

/// Reads the settings. Returns `None` if a key without default is missing or invalid, which is reported.
pub(super) fn read(report: &mut Report<'_>, node: &ValueNode) -> Option<NodeSettings> {
    let mut root = Section::open(report, &Field::root(node))?;
    let deployment = root.require(report, "deployment").and_then(|field| field.name(report, DeploymentName::new));
    let site = root.require(report, "site").and_then(|field| field.name(report, SiteName::new));
    let zone = root.require(report, "zone").and_then(|field| field.name(report, ZoneName::new));
    let listeners = read_listeners(report, &mut root);
    let operator_token = read_operator_token(report, &mut root);
    let fleet_keys = read_fleet_keys(report, &mut root);
    let platform = read_platform(report, &mut root);
    let seed_peers = read_seed_peers(report, &mut root);
    let backend = root.take("backend").map(|field| read_backend(report, &field));
    let limits = read_limits(report, &mut root);
    let stop = read_stop(report, &mut root);
    let log = read_log(report, &mut root);
    let control = read_control(report, &mut root);
    checks::check_addresses(report, &listeners, backend.as_ref());
    checks::check_operator_token(report, &listeners, operator_token.as_ref(), &fleet_keys);
    root.finish(report);
    Some(NodeSettings {
        deployment: deployment?,
        site: site?,
        zone: zone?,
        caller_address: listeners.callers?.value,
        peer_address: NodeAddress(listeners.peers?.value),
        operator_address: listeners.operators?.value,
        operator_token: operator_token.and_then(|token| token.value),
        fleet_keys: FleetKeys { sending_key_id: fleet_keys.sending_key_id?, accepted: fleet_keys.into_accepted() },
        platform: platform?,
        seed_peers,
        backend: backend.map_or(Some(None), |backend| backend.settings.map(Some))?,
        limits,
        stop,
        log,
        control,
    })
}

fn read_listeners(report: &mut Report<'_>, root: &mut Section<'_>) -> checks::ListenerAddresses {
    let mut section = root.subsection(report, "listeners");
    let callers = section.require(report, "callers").and_then(|field| checks::Located::address(report, &field));
    let peers = section.require(report, "peers").and_then(|field| checks::Located::reachable_address(report, &field));
    let operators = section.require(report, "operators").and_then(|field| checks::Located::address(report, &field));
    section.finish(report);
    checks::ListenerAddresses { callers, peers, operators }
}

/// Reads the operator token. Returns `None` if the key is missing, and a location without value if the token is
/// invalid.
fn read_operator_token(report: &mut Report<'_>, root: &mut Section<'_>) -> Option<checks::Located<Option<Secret>>> {
    let mut section = root.subsection(report, "operators");
    let token = section.take("token").map(|field| {
        let value = field.string(report).and_then(|text| parse_token(report, &field, text));
        checks::Located { value, location: field.location.clone() }
    });
    section.finish(report);
    token
}

fn parse_token(report: &mut Report<'_>, field: &Field<'_>, text: &str) -> Option<Secret> {
    // RFC 6750, section 2.1 allows fewer characters. Printable ASCII is what passes through a header unchanged.
    if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        report.error(
            &field.location,
            "the token has a character that is not printable ASCII",
            "generate another token",
        );
        return None;
    }
    if text.len() < MIN_TOKEN_LENGTH {
        let problem = format!("the token is {} characters long", text.len());
        report.error(&field.location, problem, format!("use at least {MIN_TOKEN_LENGTH} random characters"));
        return None;
    }
    Some(Secret::new(text.as_bytes().to_vec()))
}

fn read_fleet_keys(report: &mut Report<'_>, root: &mut Section<'_>) -> checks::LocatedFleetKeys {
    let mut section = root.subsection(report, "fleet");
    let keys_field = section.require(report, "keys");
    let items = keys_field.as_ref().map(|field| field.items(report)).unwrap_or_default();
    let accepted: Vec<_> = items.iter().filter_map(|item| read_fleet_key(report, item)).collect();
    let send_field = section.take("send");
    let send = send_field.as_ref().and_then(|field| field.integer(report, 0..=u64::from(u32::MAX)));
    let keys = checks::LocatedFleetKeys {
        sending_key_id: send.and_then(|send| u32::try_from(send).ok()),
        sending_key_given: send_field.is_some(),
        sending_key_location: section.location_of("send"),
        accepted,
    };
    if let Some(field) = keys_field {
        if items.is_empty() || items.len() > MAX_FLEET_KEYS {
            let problem = format!("there are {} keys", items.len());
            report.error(&field.location, problem, "give one key, or two while the old one is being replaced");
        }
    }
    section.finish(report);
    checks::check_fleet_keys(report, keys, items.len())
}

fn read_fleet_key(report: &mut Report<'_>, item: &Field<'_>) -> Option<checks::Located<FleetKey>> {
    let mut section = Section::open(report, item)?;
    let id = section.require(report, "id").and_then(|field| field.integer(report, 0..=u64::from(u32::MAX)));
    let secret = section.require(report, "secret").and_then(|field| {
        let text = field.string(report)?;
        parse_fleet_secret(report, &field, text)
    });
    let location = section.location_of("secret");
    section.finish(report);
    let id = u32::try_from(id?).ok()?;
    Some(checks::Located { value: FleetKey { id, secret: secret? }, location })
}

fn parse_fleet_secret(report: &mut Report<'_>, field: &Field<'_>, text: &str) -> Option<Secret> {
    let advice = format!("generate {MIN_SECRET_BYTES} random bytes and write them as hexadecimal digits");
    let Some(bytes) = decode_hex(text) else {
        report.error(&field.location, "the secret is not an even number of hexadecimal digits", advice);
        return None;
    };
    if bytes.len() < MIN_SECRET_BYTES {
        report.error(&field.location, format!("the secret is {} bytes long", bytes.len()), advice);
        return None;
    }
    let mut distinct = bytes.clone();
    distinct.sort_unstable();
    distinct.dedup();
    if distinct.len() < MIN_DISTINCT_BYTES {
        report.error(&field.location, "the secret repeats a few bytes and is easily guessed", advice);
        return None;
    }
    Some(Secret::new(bytes))
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if text.len() % 2 != 0 {
        return None;
    }
    let digit = |byte: u8| char::from(byte).to_digit(16).and_then(|digit| u8::try_from(digit).ok());
    text.as_bytes().chunks_exact(2).map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?)).collect()
}

fn read_platform(report: &mut Report<'_>, root: &mut Section<'_>) -> Option<PlatformSettings> {
    let mut section = root.subsection(report, "platform");
    let urls_field = section.require(report, "urls");
    let items = urls_field.as_ref().map(|field| field.items(report)).unwrap_or_default();
    let urls: Vec<String> = items.iter().filter_map(|item| checks::base_url(report, item)).collect();
    if let Some(field) = urls_field.filter(|_| items.is_empty()) {
        report.error(&field.location, "there is no URL", "give at least one base URL of the platform");
    }
    let poll_interval = PlatformSettings::DEFAULT_POLL_INTERVAL;
    let poll_interval = section
        .optional(report, "poll_interval", poll_interval, |field, report| field.duration(report, POLL_INTERVAL_RANGE));
    let timeout = section.optional(report, "timeout", PlatformSettings::DEFAULT_TIMEOUT, |field, report| {
        field.duration(report, PLATFORM_TIMEOUT_RANGE)
    });
    section.finish(report);
    Some(PlatformSettings { urls, poll_interval, timeout })
}

fn read_seed_peers(report: &mut Report<'_>, root: &mut Section<'_>) -> Vec<NodeAddress> {
    let items = root.list(report, "seed_peers");
    let mut seeds = Vec::new();
    for item in items {
        let Some(address) = item.reachable_address(report).map(NodeAddress) else {
            continue;
        };
        if seeds.contains(&address) {
            report.warning(&item.location, format!("{address} is listed twice"), "remove one of the two");
            continue;
        }
        seeds.push(address);
    }
    seeds
}

fn read_backend(report: &mut Report<'_>, field: &Field<'_>) -> checks::LocatedBackend {
    let Some(mut section) = Section::open(report, field) else {
        return checks::LocatedBackend { address: None, outgoing: None, settings: None };
    };
    let address =
        section.require(report, "address").and_then(|field| checks::Located::reachable_address(report, &field));
    let service = section.require(report, "service").and_then(|field| field.name(report, ServiceName::new));
    let outgoing = section.take("outgoing").and_then(|field| checks::Located::address(report, &field));
    let health_path =
        section.optional(report, "health_path", BackendSettings::DEFAULT_HEALTH_PATH.to_string(), |field, report| {
            checks::endpoint_path(report, field)
        });
    let load_path = section.take("load_path").and_then(|field| checks::endpoint_path(report, &field));
    let poll_interval = BackendSettings::DEFAULT_POLL_INTERVAL;
    let poll_interval = section
        .optional(report, "poll_interval", poll_interval, |field, report| field.duration(report, POLL_INTERVAL_RANGE));
    section.finish(report);
    let settings = address.as_ref().zip(service).map(|(address, service)| BackendSettings {
        address: address.value,
        service,
        outgoing_address: outgoing.as_ref().map(|outgoing| outgoing.value),
        health_path,
        load_path,
        poll_interval,
    });
    checks::LocatedBackend { address, outgoing, settings }
}

fn read_limits(report: &mut Report<'_>, root: &mut Section<'_>) -> LimitSettings {
    let default = LimitSettings::default();
    let mut section = root.subsection(report, "limits");
    let limits = LimitSettings {
        max_header_bytes: section.optional(report, "header_size", default.max_header_bytes, |field, report| {
            field.size(report, HEADER_SIZE_RANGE)
        }),
        max_body_bytes: section.take("body_size").and_then(|field| field.size(report, BODY_SIZE_RANGE)),
        retry_buffer_bytes: section.optional(report, "retry_buffer", default.retry_buffer_bytes, |field, report| {
            field.size(report, RETRY_BUFFER_SIZE_RANGE)
        }),
        max_connections: section.optional(report, "connections", default.max_connections, |field, report| {
            field.integer(report, CONNECTIONS_RANGE)
        }),
    };
    section.finish(report);
    limits
}

fn read_stop(report: &mut Report<'_>, root: &mut Section<'_>) -> StopSettings {
    let mut section = root.subsection(report, "stop");
    let default = StopSettings::default().grace_period;
    let grace_period =
        section.optional(report, "grace", default, |field, report| field.duration(report, GRACE_PERIOD_RANGE));
    section.finish(report);
    StopSettings { grace_period }
}

fn read_log(report: &mut Report<'_>, root: &mut Section<'_>) -> LogSettings {
    let default = LogSettings::default();
    let mut section = root.subsection(report, "log");
    let level = section.optional(report, "level", default.level, |field, report| field.choice(report, &LOG_LEVELS));
    let format = section.optional(report, "format", default.format, |field, report| field.choice(report, &LOG_FORMATS));
    section.finish(report);
    LogSettings { level, format }
}

fn read_control(report: &mut Report<'_>, root: &mut Section<'_>) -> ControlTimings {
    let default = ControlTimings::default();
    let mut section = root.subsection(report, "control");
    let mut duration = |key: &'static str, default: Duration| {
        section.optional(report, key, default, |field, report| field.duration(report, CONTROL_TIMING_RANGE))
    };
    let timings = ControlTimings {
        probe_interval: duration("probe_interval", default.probe_interval),
        acknowledge_timeout: duration("acknowledge_timeout", default.acknowledge_timeout),
        suspicion_timeout: duration("suspicion_timeout", default.suspicion_timeout),
        heartbeat_interval: duration("heartbeat_interval", default.heartbeat_interval),
        lease: duration("lease", default.lease),
        election_timeout_minimum: duration("election_timeout_minimum", default.election_timeout_minimum),
        election_timeout_maximum: duration("election_timeout_maximum", default.election_timeout_maximum),
    };
    checks::check_timings(report, &section, &timings);
    section.finish(report);
    timings
}
