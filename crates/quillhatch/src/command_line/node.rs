//! `quillhatch node`: runs a node until it receives a signal to stop.

use getopts::Matches;
use quillhatch_settings::presentation::render_text;
use quillhatch_settings::{parse_node_settings, FlagOverrides, NodeSettings};
use tokio::signal::unix::{signal, Signal, SignalKind};

use super::options::{reject_free_arguments, required_value, Command};
use super::{ExitStatus, OutputStreams, UsageError};
use crate::logging;
use crate::running::{start, RunningNode};

fn command() -> Command {
    Command::new(
        "node --settings FILE [OPTIONS]",
        "Runs a node until SIGTERM or SIGINT, then shuts it down gracefully.",
    )
    .value("settings", "the settings file (TOML)", "FILE")
    .value("site", "the node's site; overrides the settings file", "NAME")
    .value("zone", "the node's zone; overrides the settings file", "NAME")
    .value("callers", "the address for callers; overrides the settings file", "IP:PORT")
    .value("peers", "the address for other nodes; overrides the settings file", "IP:PORT")
    .value("operators", "the address for operators; overrides the settings file", "IP:PORT")
    .value("backend", "the address of the back end; overrides the settings file", "IP:PORT")
}

/// Runs the command.
pub fn run(arguments: &[String], streams: &mut OutputStreams<'_>) -> Result<ExitStatus, UsageError> {
    let Some(matches) = command().parse(arguments, streams)? else {
        return Ok(ExitStatus::Done);
    };
    reject_free_arguments(&matches)?;
    let path = required_value(&matches, "settings")?;
    let Some(settings) = read_settings(&path, &overrides(&matches), streams) else {
        return Ok(ExitStatus::Failed);
    };
    if let Err(error) = logging::set_up(&settings.log) {
        streams.print_error(format!("cannot set up logging: {error}"));
        return Ok(ExitStatus::Failed);
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            streams.print_error(format!("cannot start the runtime: {error}"));
            return Ok(ExitStatus::Failed);
        }
    };
    match runtime.block_on(serve(settings)) {
        Ok(exit) => Ok(exit),
        Err(error) => {
            streams.print_error(error);
            Ok(ExitStatus::Failed)
        }
    }
}

fn overrides(matches: &Matches) -> FlagOverrides {
    FlagOverrides {
        site: matches.opt_str("site"),
        zone: matches.opt_str("zone"),
        callers: matches.opt_str("callers"),
        peers: matches.opt_str("peers"),
        operators: matches.opt_str("operators"),
        backend: matches.opt_str("backend"),
    }
}

/// Reads and checks the settings file, and prints all findings.
fn read_settings(path: &str, overrides: &FlagOverrides, streams: &mut OutputStreams<'_>) -> Option<NodeSettings> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            streams.print_error(format!("cannot read {path}: {error}"));
            return None;
        }
    };
    let (settings, findings) = match parse_node_settings(path, &text, overrides) {
        Ok((settings, warnings)) => (Some(settings), warnings),
        Err(findings) => (None, findings),
    };
    if !findings.is_empty() {
        streams.print_error(render_text(&findings).trim_end());
    }
    settings
}

/// The signals that stop the node.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> std::io::Result<Self> {
        Ok(StopSignals { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    /// Waits for the next signal.
    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

async fn serve(settings: NodeSettings) -> Result<ExitStatus, Box<dyn std::error::Error>> {
    let mut signals = StopSignals::new()?;
    let node = start(settings).await?;
    signals.wait().await;
    Ok(stop(node, &mut signals).await)
}

/// Shuts the node down gracefully. A second signal ends it at once, without waiting for the calls in flight.
async fn stop(node: RunningNode, signals: &mut StopSignals) -> ExitStatus {
    tokio::select! {
        report = node.stop() => if report.aborted.is_empty() { ExitStatus::Done } else { ExitStatus::Failed },
        () = signals.wait() => {
            log::error!("stopped immediately by a second signal; calls in flight are aborted");
            ExitStatus::Failed
        }
    }
}
