//! `quillhatch sidecar`: runs a node beside a target on the users' platform.

use getopts::Options;
use quillhatch_mesh::mechanisms::Mechanisms;
use quillhatch_platform::headers::SETTINGS_VARIABLE;
use quillhatch_sidecar::run::{load_settings, run as run_sidecar};

use super::{ExitStatus, OutputStreams, UsageError};

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings file; by default, the one named by the platform's variable", "FILE");
    options.optmulti("", "without", "disable mechanisms, for measurements", "NAME,...");
    options.optflag("", "check", "only check the settings file");
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command.
pub fn run(arguments: &[String], streams: &mut OutputStreams<'_>) -> Result<ExitStatus, UsageError> {
    let options = options();
    let matches = options.parse(arguments).map_err(|error| UsageError::new(error.to_string()))?;
    if matches.opt_present("help") {
        streams.print(
            options.usage("Usage: quillhatch sidecar [OPTIONS]\n\nRuns a node beside a target of the platform."),
        );
        return Ok(ExitStatus::Done);
    }
    if let Some(surplus) = matches.free.first() {
        return Err(UsageError::new(format!("unexpected argument {surplus:?}")));
    }
    let mechanisms = match matches.opt_strs("without") {
        names if names.is_empty() => Mechanisms::default(),
        names => Mechanisms::without(&names.join(",")).map_err(|error| UsageError::new(error.to_string()))?,
    };
    let path = matches.opt_str("settings").or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    let Some(path) = path else {
        return Err(UsageError::new(format!("no settings file: give --settings or set {SETTINGS_VARIABLE}")));
    };
    if matches.opt_present("check") {
        return Ok(check(&path, streams));
    }
    Ok(match run_sidecar(&path, mechanisms) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            streams.print_error(error);
            ExitStatus::Usage
        }
    })
}

fn check(path: &str, streams: &mut OutputStreams<'_>) -> ExitStatus {
    match load_settings(path) {
        Ok(settings) => {
            streams.print(format!("{path}: good; node {} in zone {}", settings.node, settings.zone));
            ExitStatus::Done
        }
        Err(error) => {
            streams.print_error(error);
            ExitStatus::Usage
        }
    }
}
