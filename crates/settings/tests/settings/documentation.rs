//! The settings page documents every key that the parsers accept.

use crate::support::NODE;
use quillhatch_settings::{parse_configuration, parse_node_settings, FlagOverrides};
use quillhatch_types::Findings;

const PAGE: &str = include_str!("../../../../docs/SETTINGS.md");

/// The known keys that the advice of `findings` lists. The input must have an unknown key in every table.
fn known_keys(findings: &Findings) -> Vec<&str> {
    let lists = findings.0.iter().filter_map(|finding| finding.advice.split_once("known keys: "));
    lists.flat_map(|(_, list)| list.split(", ")).collect()
}

fn assert_documented(findings: &Findings, tables: usize) {
    let unknown = findings.0.iter().filter(|finding| finding.problem.contains("is not known")).count();
    assert_eq!(unknown, tables, "{findings}");
    for key in known_keys(findings) {
        let documented = [format!("| `{key}` |"), format!("[].{key}` |"), format!("`[{key}]`")];
        assert!(documented.iter().any(|row| PAGE.contains(row)), "{key} is not documented on the page");
    }
}

#[test]
fn every_key_of_the_settings_file_is_documented() {
    let unknown_key = "unheard_of_key = 1\n";
    let in_sections = NODE.lines().map(|line| {
        let header = line.starts_with('[');
        format!("{line}\n{}", if header { unknown_key } else { "" })
    });
    let text = format!("{unknown_key}{}", in_sections.collect::<String>());
    let findings = parse_node_settings("node.toml", &text, &FlagOverrides::default()).unwrap_err();
    let tables = text.matches(unknown_key).count();
    assert_documented(&findings, tables);
}

#[test]
fn every_key_of_the_configuration_document_is_documented() {
    let text = r#"{"unheard_of_key": 1, "sites": [{"unheard_of_key": 1}], "services": {"s": {"unheard_of_key": 1,
        "classes": [{"unheard_of_key": 1}], "targets": [{"unheard_of_key": 1}]}}}"#;
    let findings = parse_configuration("configuration.json", text).unwrap_err();
    assert_documented(&findings, 5);
}
