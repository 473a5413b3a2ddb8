//! The settings file: what is accepted, and that every mistake is reported with its path and line.

use std::time::Duration;

use crate::support::{line_of, paths, replaced, NODE, PRAIRIE};
use quillhatch_settings::node_settings::{ControlTimings, LimitSettings, LogSettings, StopSettings};
use quillhatch_settings::presentation::{render_text, FindingsDocument};
use quillhatch_settings::{parse_configuration, parse_node_settings, FlagOverrides, NodeSettings};
use quillhatch_types::{Findings, ServiceName, Severity};
use test_case::test_case;

fn parse(text: &str) -> Result<(NodeSettings, Findings), Findings> {
    parse_node_settings("node.toml", text, &FlagOverrides::default())
}

#[test]
fn the_example_has_no_findings_and_states_the_defaults() {
    let (settings, findings) = parse(NODE).unwrap();
    assert_eq!(findings, Findings::default());
    assert_eq!(settings.limits, LimitSettings::default());
    assert_eq!(settings.stop, StopSettings::default());
    assert_eq!(settings.log, LogSettings::default());
    assert_eq!(settings.control, ControlTimings::default());
    assert_eq!(settings.fleet_keys.sending_key().map(|key| key.id), Some(1));

    let is_default = |line: &str| line.starts_with("# ") && line.contains(" = ");
    let stated = |line: &str| if is_default(line) { line[2..].to_string() } else { line.to_string() };
    let with_defaults: String = NODE.lines().map(|line| stated(line) + "\n").collect();
    assert_ne!(with_defaults, NODE);
    assert_eq!(parse(&with_defaults).unwrap().0, settings);
}

#[test]
fn the_example_node_is_a_target_of_the_example_configuration() {
    let (settings, _) = parse(NODE).unwrap();
    let (configuration, _) = parse_configuration("prairie.json", PRAIRIE).unwrap();
    let service = &configuration.services[&ServiceName::new("giving").unwrap()];
    let target = service.targets.iter().find(|target| target.node == settings.peer_address).unwrap();
    assert_eq!((&target.site, &target.zone), (&settings.site, &settings.zone));
    assert_eq!(settings.backend.unwrap().service, service.name);
}

#[test]
fn three_mistakes_in_a_file_are_all_reported_with_their_lines() {
    let text = replaced(NODE, "callers = \"127.0.0.1:8103\"", "calers = \"127.0.0.1:8103\"");
    let text = replaced(&text, "# grace = \"2 min\"", "grace = 30");
    let text = replaced(&text, "# lease = \"500 ms\"", "lease = \"3 s\"");
    let findings = parse(&text).unwrap_err();
    // A misspelt required key is also reported as missing.
    let expected = ["listeners.callers", "listeners.calers", "stop.grace", "control.election_timeout_minimum"];
    let mut found = paths(&findings);
    found.sort_unstable();
    let mut sorted = expected;
    sorted.sort_unstable();
    assert_eq!(found, sorted);

    let shown = render_text(&findings);
    let typo = line_of(&text, "calers");
    let grace = line_of(&text, "grace = 30");
    assert!(shown.contains(&format!(
        "node.toml:{typo}:1: listeners.calers: error: the key \"calers\" is not known; did you mean \"callers\"?\n"
    )));
    assert!(shown.contains(&format!(
        "node.toml:{grace}:9: stop.grace: error: expected a duration with a unit, found a number; write a number and its \
         unit between quotes, such as \"250 ms\" or \"2 s\"\n"
    )));
    assert!(shown.contains("election_timeout_minimum is 600ms and must be longer than lease, which is 3s"));
    assert_eq!(FindingsDocument::from(findings).errors, 4);
}

#[test_case("zone = \"hall-a\"", "", "zone", "missing"; "a missing key")]
#[test_case("site = \"old\"", "site = \"o ld\"", "site", "not allowed"; "a character that is not allowed in a name")]
#[test_case("127.0.0.1:9103", "127.0.0.1:8103", "listeners.operators", "already taken by listeners.callers"; "an address twice")]
#[test_case("127.0.0.1:9103", "0.0.0.0:8103", "listeners.operators", "already taken"; "a wildcard over an address")]
#[test_case("127.0.0.1:6103", "127.0.0.1:8103", "backend.address", "already taken by listeners.callers"; "a back end that is the node itself")]
#[test_case("load_path = ", "outgoing = \"127.0.0.1:9103\"\nload_path = ", "backend.outgoing", "already taken by listeners.operators"; "an address of another listener for outgoing calls")]
#[test_case("load_path = ", "outgoing = \"nowhere\"\nload_path = ", "backend.outgoing", "nowhere"; "an invalid address for outgoing calls")]
#[test_case("127.0.0.1:8103", "127.0.0.1:0", "listeners.callers", "port must not be zero"; "port zero")]
#[test_case("peers = \"127.0.0.1", "peers = \"0.0.0.0", "listeners.peers", "not an address at which"; "a wildcard address for peers")]
#[test_case("token = \"example-token-draw-your-own\"", "token = \"short\"", "operators.token", "5 characters"; "a short token")]
#[test_case("secret = \"", "secret = \"0g", "fleet.keys[0].secret", "hexadecimal"; "a secret that is not hexadecimal")]
#[test_case("send = 1", "send = 2", "fleet.send", "no key with the number 2"; "an unknown sending key")]
#[test_case("# grace = \"2 min\"", "grace = \"0 s\"", "stop.grace", "out of range"; "a zero duration")]
#[test_case("# header_size = \"32 KiB\"", "header_size = \"32\"", "limits.header_size", "no unit"; "a size without unit")]
#[test_case("# header_size = \"32 KiB\"", "header_size = \"2 GiB\"", "limits.header_size", "from 1 KiB to 1 MiB"; "a size out of range")]
#[test_case("# level = \"info\"", "level = \"inof\"", "log.level", "did you mean \"info\""; "a misspelt level")]
#[test_case("# format = \"json\"", "file = \"node.log\"", "log.file", "not known"; "a log file")]
#[test_case("http://127.0.0.1:8090", "https://127.0.0.1:8090", "platform.urls[0]", "not http"; "an unsupported scheme")]
#[test_case("load_path = \"/load\"", "load_path = \"load\"", "backend.load_path", "not an endpoint path"; "a path without slash")]
#[test_case("# acknowledge_timeout = \"150 ms\"", "acknowledge_timeout = \"600 ms\"", "control.probe_interval", "longer than acknowledge_timeout"; "probes that overlap")]
#[test_case("# heartbeat_interval = \"100 ms\"", "heartbeat_interval = \"300 ms\"", "control.lease", "2 times heartbeat_interval"; "a lease shorter than two heartbeats")]
fn one_mistake_is_one_finding(old: &str, new: &str, path: &str, part: &str) {
    let findings = parse(&replaced(NODE, old, new)).unwrap_err();
    assert_eq!(paths(&findings), [path], "{findings}");
    assert!(render_text(&findings).contains(part), "{findings}");
}

#[test]
fn outgoing_calls_of_the_back_end_can_have_their_own_listener() {
    let backend = |text: &str| parse(text).unwrap().0.backend.unwrap();
    assert_eq!(backend(NODE).outgoing_address, None);
    let text = replaced(NODE, "load_path = ", "outgoing = \"127.0.0.1:5103\"\nload_path = ");
    assert_eq!(backend(&text).outgoing_address, Some("127.0.0.1:5103".parse().unwrap()));
}

#[test]
fn an_operator_listener_not_on_loopback_requires_a_token() {
    let without = replaced(NODE, "token = \"example-token-draw-your-own\"", "");
    assert!(parse(&without).is_ok());
    let open = replaced(&without, "127.0.0.1:9103", "192.0.2.1:9103");
    assert_eq!(paths(&parse(&open).unwrap_err()), ["operators.token"]);
    assert!(parse(&replaced(NODE, "127.0.0.1:9103", "192.0.2.1:9103")).is_ok());
}

/// Adds `keys` after the first key of the example; `SECRET` in `keys` is replaced by the secret of that key.
fn with_more_keys(keys: &str) -> String {
    let line = NODE.lines().find(|line| line.starts_with("secret = ")).unwrap();
    let secret = line.split('"').nth(1).unwrap();
    replaced(NODE, line, &format!("{line}\n{}", keys.replace("SECRET", secret)))
}

const OTHER_SECRET: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

#[test]
fn two_valid_fleet_keys_are_accepted_and_invalid_ones_are_rejected() {
    let key = |id: u32, secret: &str| format!("[[fleet.keys]]\nid = {id}\nsecret = \"{secret}\"\n");
    let (settings, _) = parse(&with_more_keys(&key(2, OTHER_SECRET))).unwrap();
    assert_eq!(settings.fleet_keys.accepted.len(), 2);
    assert_eq!(settings.fleet_keys.sending_key().map(|key| key.id), Some(1));

    let reused_secret = parse(&with_more_keys(&key(2, "SECRET"))).unwrap_err();
    assert_eq!(paths(&reused_secret), ["fleet.keys[1].secret"]);
    let same_number = parse(&with_more_keys(&key(1, OTHER_SECRET))).unwrap_err();
    assert!(render_text(&same_number).contains("key number 1 is given twice"));
    let short = parse(&with_more_keys(&key(2, "0011223344556677"))).unwrap_err();
    assert!(render_text(&short).contains("8 bytes long"));
    let guessable = parse(&with_more_keys(&key(2, &"ab".repeat(32)))).unwrap_err();
    assert!(render_text(&guessable).contains("easily guessed"));
    let third = with_more_keys(&(key(2, OTHER_SECRET) + &key(3, &OTHER_SECRET.replace("1f", "ff"))));
    assert!(render_text(&parse(&third).unwrap_err()).contains("there are 3 keys"));
}

#[test]
fn secrets_appear_neither_in_findings_nor_in_debug_output() {
    let line = NODE.lines().find(|line| line.starts_with("secret = ")).unwrap();
    let secret = line.split('"').nth(1).unwrap();
    let token = "example-token-draw-your-own";
    let (settings, _) = parse(NODE).unwrap();
    let shared = replaced(NODE, token, secret);
    let reused = parse(&shared).unwrap_err();
    assert_eq!(paths(&reused), ["operators.token"]);
    let damaged = parse(&replaced(NODE, secret, &format!("{secret}x"))).unwrap_err();
    for shown in [format!("{settings:?}"), reused.to_string(), damaged.to_string()] {
        assert!(!shown.contains(secret) && !shown.contains(token), "{shown}");
    }
}

#[test]
fn flags_override_the_file_and_are_checked_in_the_same_way() {
    let overrides = FlagOverrides {
        zone: Some("hall-c".to_string()),
        callers: Some("127.0.0.1:8199".to_string()),
        backend: Some("127.0.0.1:6199".to_string()),
        ..FlagOverrides::default()
    };
    let without_zone = replaced(NODE, "zone = \"hall-a\"", "");
    let (settings, _) = parse_node_settings("node.toml", &without_zone, &overrides).unwrap();
    assert_eq!(settings.zone.as_str(), "hall-c");
    assert_eq!(settings.caller_address.port(), 8199);
    assert_eq!(settings.backend.unwrap().address.port(), 6199);

    let wrong = FlagOverrides { site: Some("o/ld".to_string()), ..FlagOverrides::default() };
    let findings = parse_node_settings("node.toml", NODE, &wrong).unwrap_err();
    assert!(render_text(&findings).starts_with("--site: site: error: \"o/ld\" is not accepted"), "{findings}");
}

#[test]
fn the_back_end_section_is_optional() {
    let (start, rest) = NODE.split_once("[backend]").unwrap();
    let (_, end) = rest.split_once("[limits]").unwrap();
    let (settings, _) = parse(&format!("{start}[limits]{end}")).unwrap();
    assert_eq!(settings.backend, None);
}

#[test]
fn invalid_toml_is_reported_with_its_line() {
    let findings = parse("deployment = \"prairie\"\nsite = \n").unwrap_err();
    assert_eq!((findings.0.len(), findings.0[0].place.line), (1, 2));
    let twice = parse("site = \"old\"\nzone = \"a\"\nsite = \"new\"\n").unwrap_err();
    assert_eq!((twice.0.len(), twice.0[0].place.line), (1, 3));
}

#[test]
fn a_duplicate_seed_peer_is_only_a_warning() {
    let text = replaced(NODE, "\"127.0.0.1:7104\"", "\"127.0.0.1:7100\"");
    let (settings, findings) = parse(&text).unwrap();
    assert_eq!(settings.seed_peers.len(), 2);
    assert_eq!(findings.0[0].severity, Severity::Warning);
    assert_eq!(settings.platform.timeout, Duration::from_secs(2));
}
