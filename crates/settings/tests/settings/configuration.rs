//! The configuration document: what is accepted, and that every mistake is reported with its path and line.

use crate::support::{line_of, paths, replaced, BAJIO, PRAIRIE};
use quillhatch_settings::presentation::render_text;
use quillhatch_settings::{parse_configuration, render_configuration};
use quillhatch_types::{Configuration, Findings, Priority, Severity};
use test_case::test_case;

fn parse(text: &str) -> Result<(Configuration, Findings), Findings> {
    parse_configuration("prairie.json", text)
}

#[test_case(PRAIRIE; "prairie")]
#[test_case(BAJIO; "bajio")]
fn the_examples_have_no_findings_and_survive_rendering(text: &str) {
    let (configuration, findings) = parse(text).unwrap();
    assert_eq!(findings, Findings::default());
    assert_eq!(configuration.services.len(), 4);
    assert!(configuration.sites.len() == 2 && configuration.sites.iter().all(|site| site.zones.len() == 3));
    assert_eq!(parse(&render_configuration(&configuration)).unwrap(), (configuration, Findings::default()));
}

#[test_case(PRAIRIE, "giving", "POST", "/pledges")]
#[test_case(PRAIRIE, "events", "POST", "/registrations")]
#[test_case(BAJIO, "valet-custodia", "POST", "/handovers")]
#[test_case(BAJIO, "facturacion", "POST", "/charges")]
fn calls_that_must_run_once_are_protected_and_not_repeatable(text: &str, service: &str, method: &str, path: &str) {
    let (configuration, _) = parse(text).unwrap();
    let service = configuration.services.values().find(|known| known.name.as_str() == service).unwrap();
    let class = service.classify(method, path).unwrap();
    assert_eq!((class.priority, class.repeatable), (Priority::Protected, false));
    assert!(service.classify("GET", path).unwrap().repeatable);
}

#[test]
fn three_mistakes_in_a_document_are_all_reported_with_their_lines() {
    let text = replaced(PRAIRIE, "\"retry_budget\"", "\"retry_bugdet\"");
    let text = replaced(&text, "\"zone\": \"hall-b\"", "\"zone\": \"hall-d\"");
    let text = replaced(&text, "{\"old\": 100, \"new\": 0}", "{\"old\": 80, \"new\": 10}");
    let findings = parse(&text).unwrap_err();
    let lines: Vec<u32> = findings.0.iter().map(|finding| finding.place.line).collect();
    assert_eq!(lines, [line_of(&text, "\"old\": 80"), line_of(&text, "bugdet"), line_of(&text, "hall-d")]);
    let shown = render_text(&findings);
    assert!(shown.contains("services.directory.site_shares: error: the shares sum to 90 percent; make them sum to 100"));
    assert!(shown.contains("classes[0].retry_bugdet: error: the key \"retry_bugdet\" is not known; did you mean"));
    assert!(shown.contains("targets[1].zone: error: the site old has no zone hall-d; did you mean \"hall-a\"?"));
}

#[test_case("\"revision\": 1", "\"revision\": 0", "revision"; "revision zero")]
#[test_case("\"revision\": 1", "\"revision\": 1.5", "revision"; "a fraction")]
#[test_case("\"revision\": 1", "\"revision\": 9007199254740992", "revision"; "a revision that JSON parsers round")]
#[test_case("\"revision\": 1", "\"revision\": 1, \"revision\": 2", "revision"; "a key twice")]
#[test_case("\"formation\": \"new\"", "\"formation\": \"nwe\"", "formation"; "an unknown formation")]
#[test_case("\"name\": \"new\"", "\"name\": \"old\"", "sites[1].name"; "a site twice")]
#[test_case("\"giving\": {", "\"giv ing\": {", "services.giv ing"; "an invalid name")]
#[test_case("giving.prairie", "directory.prairie", "services.giving.hosts[0]"; "a host of two services")]
#[test_case("\"slot_count\": 48", "\"slot_count\": 5000", "services.directory.slot_count"; "too many slots")]
#[test_case("\"slot_count\": 48", "\"slot_count\": 0", "services.directory.slot_count"; "no slots")]
#[test_case("\"claim_retention\": \"1 h\"", "\"claim_retention\": \"1\"", "services.directory.claim_retention"; "a time without unit")]
#[test_case("\"minimum_time\": \"5 ms\"", "\"minimum_time\": \"2 s\"", "services.directory.classes[0].deadline"; "a deadline that no call can meet")]
#[test_case("\"deadline\": \"15 s\"", "\"deadline\": \"2 h\"", "services.giving.claim_retention"; "claims that expire before the deadline")]
#[test_case("\"refused_before_running\": []", "\"refused_before_running\": [200]", "services.directory.refused_before_running[0]"; "success as a refusal")]
#[test_case("\"retry_budget\": 3", "\"retry_budget\": 65", "services.directory.classes[0].retry_budget"; "a budget above the maximum")]
#[test_case("\"retry_ratio_percent\": 10", "\"retry_ratio_percent\": 101", "services.directory.classes[0].retry_ratio_percent"; "a ratio above 100 percent")]
#[test_case("\"GET\"", "\"get\"", "services.directory.classes[0].methods[0]"; "a method in lower case")]
#[test_case("\"/pledges\"", "\"pledges\"", "services.giving.classes[0].path_prefix"; "a path without slash")]
#[test_case("\"priority\": \"interactive\"", "\"priority\": \"high\"", "services.directory.classes[0].priority"; "an unknown priority")]
#[test_case("\"repeatable\": true", "\"repeatable\": \"yes\"", "services.directory.classes[0].repeatable"; "a string instead of a boolean")]
#[test_case("7101\", \"site\": \"old\"", "7101\", \"site\": \"odl\"", "services.directory.targets[1].site"; "an unknown site")]
#[test_case("127.0.0.1:7101", "127.0.0.1:7100", "services.directory.targets[1].node"; "a node twice in a service")]
#[test_case("127.0.0.1:7103", "127.0.0.1:7100", "services.giving.targets[0].node"; "a node of two services")]
#[test_case("127.0.0.1:7101", "0.0.0.0:7101", "services.directory.targets[1].node"; "a node at a wildcard address")]
#[test_case("{\"old\": 100, \"new\": 0}", "{\"old\": 50, \"mew\": 50}", "services.directory.site_shares.mew"; "a share for an unknown site")]
fn one_mistake_is_one_finding(old: &str, new: &str, path: &str) {
    let findings = parse(&replaced(PRAIRIE, old, new)).unwrap_err();
    assert_eq!(paths(&findings), [path], "{findings}");
}

#[test]
fn classes_that_match_the_same_requests_are_rejected() {
    let text = replaced(PRAIRIE, "\"path_prefix\": \"/pledges\"", "\"path_prefix\": \"/\"");
    assert!(parse(&text).is_ok(), "the classes still differ in their methods");
    let text = replaced(&text, "[\"POST\"]", "[]");
    assert_eq!(paths(&parse(&text).unwrap_err()), ["services.giving.classes[1].path_prefix"]);
}

#[test]
fn a_share_requires_a_target_at_its_site() {
    let mut text = replaced(PRAIRIE, "{\"old\": 100, \"new\": 0}", "{\"old\": 50, \"new\": 50}");
    assert!(parse(&text).is_ok());
    for port in 7200..7203 {
        text = replaced(&text, &format!("{port}\", \"site\": \"new\""), &format!("{port}\", \"site\": \"old\""));
    }
    assert_eq!(paths(&parse(&text).unwrap_err()), ["services.directory.site_shares.new"]);
}

#[test_case("\"retry_ratio_percent\": 10", "\"retry_ratio_percent\": 0"; "a retry budget without effect")]
#[test_case("\"connections\": 100", "\"connections\": 5"; "fewer connections than slots")]
#[test_case("\"slot_count\": 48", "\"slot_count\": 4"; "fewer slots than targets")]
#[test_case("\"queue_timeout\": \"250 ms\"", "\"queue_timeout\": \"3 s\""; "a queue longer than a deadline")]
#[test_case("\"repeatable\": false", "\"repeatable\": true"; "a protected POST that may run twice")]
#[test_case("\"repeatable\": true", "\"repeatable\": false"; "a lookup that is not repeatable")]
fn probable_mistakes_are_warnings(old: &str, new: &str) {
    let (_, findings) = parse(&replaced(PRAIRIE, old, new)).unwrap();
    let severities: Vec<Severity> = findings.0.iter().map(|finding| finding.severity).collect();
    assert_eq!(severities, [Severity::Warning], "{findings}");
}

#[test_case("{\"deployment\": \"prairie\",}", 1; "a trailing comma")]
#[test_case("{\n// why\n}", 2; "a comment")]
#[test_case("{\n'deployment': 1}", 2; "single quotes")]
#[test_case("", 1; "an empty text")]
#[test_case("{\n\"é", 2; "an unterminated string after a two-byte character")]
#[test_case("{}\n{}", 2; "two documents")]
fn invalid_json_is_reported_with_its_line(text: &str, line: u32) {
    let findings = parse(text).unwrap_err();
    assert_eq!((findings.0.len(), findings.0[0].place.line), (1, line), "{findings}");
    assert!(findings.0[0].problem.starts_with("the document is not valid JSON"));
}
