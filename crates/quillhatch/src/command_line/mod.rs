//! The command-line interface, with one module for each kind of command.
//!
//! Exit status: 0 done, 1 failed or refused, 2 wrong usage. The result of a command is written to standard output, errors
//! and diagnostics to standard error.

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

/// The outcome of a command.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    #[display("done")]
    Done,
    /// The command failed, or the node refused the request.
    #[display("failed")]
    Failed,
    /// The command line is invalid.
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

/// An invalid command line.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{problem}")]
pub struct UsageError {
    /// The error message.
    pub problem: String,
}

impl UsageError {
    fn new(problem: impl Into<String>) -> Self {
        UsageError { problem: problem.into() }
    }
}

/// The streams that a command writes to.
pub struct OutputStreams<'a> {
    /// Receives the result; standard output.
    pub output: &'a mut dyn Write,
    /// Receives errors and diagnostics; standard error.
    pub errors: &'a mut dyn Write,
}

impl OutputStreams<'_> {
    fn print(&mut self, text: impl std::fmt::Display) {
        // A write error is ignored: a reader such as `head` closes the pipe when it has read enough.
        let _ = writeln!(self.output, "{text}");
    }

    fn print_error(&mut self, text: impl std::fmt::Display) {
        // If standard error is closed, there is nowhere to report the failure.
        let _ = writeln!(self.errors, "quillhatch: {text}");
    }
}

const HELP: &str = "\
Overload control for service call graphs.

Usage: quillhatch COMMAND [OPTIONS]

Commands:
  node         run a node
  sidecar      run a node beside a target of the users' platform
  trace        print the log lines about a request from collected logs
  check        check a settings file or a configuration document
  plan         compute the steps for an intent: plan move | retire | retries
  confirm      carry out a plan
  cancel       drop a plan; a confirmed one is stopped and undone
  plans        list the plans
  status       show the state and configuration in force at a node
  explain      show what a plan did, when and why
  accept-loss  accept a service's keyed calls again although claims were lost

quillhatch COMMAND --help describes a command; quillhatch --version prints the version.
Exit status: 0 done, 1 failed or refused, 2 wrong usage.";

/// Runs the command line `arguments`, which excludes the program's name.
pub fn run(arguments: &[String], streams: &mut OutputStreams<'_>) -> ExitStatus {
    let Some((command, rest)) = arguments.split_first() else {
        streams.print_error("no command given");
        streams.print_error(HELP);
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
        unknown => Err(UsageError::new(format!("unknown command {unknown:?}"))),
    };
    result.unwrap_or_else(|error| {
        streams.print_error(error);
        streams.print_error(format!("see quillhatch {}--help", command_prefix(command)));
        ExitStatus::Usage
    })
}

/// Returns the command's name followed by a space, for the hint at its help, or nothing if there is no such command.
fn command_prefix(command: &str) -> String {
    let known = matches!(command, "node" | "check" | "sidecar" | "trace") || request::is_command(command);
    if known {
        format!("{command} ")
    } else {
        String::new()
    }
}
