//! `quillhatch check`: validates a settings file or a configuration document and prints all findings.

use quillhatch_settings::presentation::{render_text, FindingsDocument};
use quillhatch_settings::{parse_configuration, parse_node_settings, FlagOverrides};
use quillhatch_types::Findings;

use super::options::{reject_free_arguments, Command};
use super::{ExitStatus, OutputStreams, UsageError};

fn command() -> Command {
    Command::new(
        "check (--settings FILE | --config FILE) [--json]",
        "Checks a file and prints all findings, each with its location and advice.",
    )
    .value("settings", "a settings file of a node (TOML)", "FILE")
    .value("config", "a configuration document of the platform (JSON)", "FILE")
    .flag("json", "print the findings as JSON")
}

/// Runs the command. It fails if the file cannot be read or has errors.
pub fn run(arguments: &[String], streams: &mut OutputStreams<'_>) -> Result<ExitStatus, UsageError> {
    let Some(matches) = command().parse(arguments, streams)? else {
        return Ok(ExitStatus::Done);
    };
    reject_free_arguments(&matches)?;
    let (path, is_settings) = match (matches.opt_str("settings"), matches.opt_str("config")) {
        (Some(path), None) => (path, true),
        (None, Some(path)) => (path, false),
        _ => return Err(UsageError::new("give either --settings or --config")),
    };
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            streams.print_error(format!("cannot read {path}: {error}"));
            return Ok(ExitStatus::Failed);
        }
    };
    let findings = if is_settings { check_settings(&path, &text) } else { check_configuration(&path, &text) };
    let exit = if findings.has_errors() { ExitStatus::Failed } else { ExitStatus::Done };
    print_findings(&path, findings, matches.opt_present("json"), streams);
    Ok(exit)
}

fn check_settings(path: &str, text: &str) -> Findings {
    match parse_node_settings(path, text, &FlagOverrides::default()) {
        Ok((_, warnings)) => warnings,
        Err(findings) => findings,
    }
}

fn check_configuration(path: &str, text: &str) -> Findings {
    match parse_configuration(path, text) {
        Ok((_, warnings)) => warnings,
        Err(findings) => findings,
    }
}

fn print_findings(path: &str, findings: Findings, json: bool, streams: &mut OutputStreams<'_>) {
    if json {
        let document = FindingsDocument::from(findings);
        streams.print(serde_json::to_string_pretty(&document).unwrap_or_default());
    } else if findings.is_empty() {
        streams.print(format!("{path}: nothing found"));
    } else {
        streams.print(render_text(&findings).trim_end());
    }
}
