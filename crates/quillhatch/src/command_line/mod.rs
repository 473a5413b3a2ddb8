//! The command line: one module for each kind of command.
//!
//! Exit status: 0 done, 1 failed or refused, 2 wrong usage. What was asked for goes to standard output, everything else to
//! standard error.

mod check;
mod node;
mod options;
mod remote;
mod request;
mod sidecar;
#[cfg(test)]
mod tests;
mod trace;

use std::io::Write;

use derive_more::{Display, Error};
pub use request::parse_request;

/// How a command ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    #[display("done")]
    Done,
    /// Failed, or refused.
    #[display("failed")]
    Failed,
    /// Not understood.
    #[display("wrong usage")]
    Usage,
}

impl ExitStatus {
    /// The exit status of the process.
    pub fn code(self) -> u8 {
        match self {
            ExitStatus::Done => 0,
            ExitStatus::Failed => 1,
            ExitStatus::Usage => 2,
        }
    }
}

/// Why a command line is not understood.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{problem}")]
pub struct UsageError {
    /// What is wrong.
    pub problem: String,
}

impl UsageError {
    fn new(problem: impl Into<String>) -> Self {
        UsageError { problem: problem.into() }
    }
}

/// Where a command writes.
pub struct OutputStreams<'a> {
    /// What was asked for.
    pub output: &'a mut dyn Write,
    /// Everything else.
    pub errors: &'a mut dyn Write,
}

impl OutputStreams<'_> {
    fn print(&mut self, text: impl std::fmt::Display) {
        // A reader that closed its end, such as `head`, has seen what it wanted.
        let _ = writeln!(self.output, "{text}");
    }

    fn complain(&mut self, text: impl std::fmt::Display) {
        // There is nowhere left to tell if standard error is closed.
        let _ = writeln!(self.errors, "quillhatch: {text}");
    }
}

const HELP: &str = "\
Overload control for service call graphs.

Usage: quillhatch COMMAND [OPTIONS]

Commands:
  node         run a node
  sidecar      run a node beside a target of the users' platform
  trace        tell a request's story from collected logs
  check        check a settings file or a configuration document
  plan         ask what would be done for an intent: plan move | retire | retries
  confirm      do what a plan says
  cancel       drop a plan; a confirmed one is stopped and undone
  plans        list the plans
  status       say what is in force at a node
  explain      say what a plan did, when and why
  accept-loss  take a service's keyed calls again although claims were lost

quillhatch COMMAND --help tells more about a command; quillhatch --version tells the release.
Exit status: 0 done, 1 failed or refused, 2 wrong usage.";

/// Runs the command line `arguments`, without the program's name.
pub fn run(arguments: &[String], streams: &mut OutputStreams<'_>) -> ExitStatus {
    let Some((command, rest)) = arguments.split_first() else {
        streams.complain("no command is given");
        streams.complain(HELP);
        return ExitStatus::Usage;
    };
    let result = match command.as_str() {
        "--help" | "-h" | "help" => {
            streams.print(HELP);
            Ok(ExitStatus::Done)
        }
        "--version" | "-V" => {
            streams.print(format!("quillhatch {}", env!("CARGO_PKG_VERSION")));
            Ok(ExitStatus::Done)
        }
        "node" => node::run(rest, streams),
        "check" => check::run(rest, streams),
        "sidecar" => sidecar::run(rest, streams),
        "trace" => trace::run(rest, streams),
        name if request::is_command(name) => remote::run(name, rest, streams),
        unknown => Err(UsageError::new(format!("there is no command {unknown:?}"))),
    };
    result.unwrap_or_else(|error| {
        streams.complain(error);
        streams.complain(format!("see quillhatch {}--help", command_prefix(command)));
        ExitStatus::Usage
    })
}

fn command_prefix(command: &str) -> String {
    let known = matches!(command, "node" | "check" | "sidecar" | "trace") || request::is_command(command);
    if known {
        format!("{command} ")
    } else {
        String::new()
    }
}
