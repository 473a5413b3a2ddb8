//! Finds the subcommand, parses its options, runs it and turns its end into an exit status.
//!
//! Implement [`Command`] for a subcommand and name it in [`commands::all`]. Every subcommand has `--help` and `--log`;
//! the program has `--version`.

mod arguments;
mod error;

#[cfg(test)]
mod tests;

use std::process::ExitCode;

use getopts::Options;
use log::LevelFilter;

pub use arguments::Arguments;
pub use error::{CommandError, UsageFinding, UsageFindings};

use crate::commands;
use crate::logging;

/// The name of the program.
pub const PROGRAM: &str = "quillhatch-lab";

/// How the program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done, and nothing was found wrong.
    Done,
    /// The command failed, or what it checked does not hold.
    Failed,
    /// The arguments are wrong; nothing was done.
    Usage,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Done => ExitCode::from(0),
            ExitStatus::Failed => ExitCode::from(1),
            ExitStatus::Usage => ExitCode::from(2),
        }
    }
}

/// What a command found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Everything that was checked holds.
    Holds,
    /// Something that was checked does not hold; the command has said what.
    Broken,
}

impl Verdict {
    /// [`Verdict::Holds`] if `holds`.
    pub fn of(holds: bool) -> Self {
        if holds {
            Verdict::Holds
        } else {
            Verdict::Broken
        }
    }
}

/// A subcommand.
pub trait Command: Sync {
    /// The name by which it is called.
    fn name(&self) -> &'static str;

    /// One line on what it does.
    fn summary(&self) -> &'static str;

    /// What follows the name in the usage line, options left out.
    fn operands(&self) -> &'static str {
        ""
    }

    /// Declares its options.
    fn declare(&self, options: &mut Options);

    /// Runs it.
    ///
    /// # Errors
    ///
    /// Returns all findings on the arguments, or why the command could not be carried out.
    fn run(&self, arguments: &Arguments) -> Result<Verdict, CommandError>;
}

/// Runs the program with its arguments, without the program's name.
pub fn run(arguments: &[String]) -> ExitStatus {
    match arguments.first().map(String::as_str) {
        None => {
            eprint!("{}", overview());
            ExitStatus::Usage
        }
        Some("--help" | "-h" | "help") => {
            print!("{}", overview());
            ExitStatus::Done
        }
        Some("--version" | "-V") => {
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
            ExitStatus::Done
        }
        Some(name) => match commands::all().iter().find(|command| command.name() == name) {
            Some(command) => run_command(*command, &arguments[1..]),
            None => {
                eprintln!("{PROGRAM}: there is no command {name:?}; see {PROGRAM} --help");
                ExitStatus::Usage
            }
        },
    }
}

fn overview() -> String {
    let mut text = format!("Usage: {PROGRAM} COMMAND [OPTIONS]\n\nCommands:\n");
    for command in commands::all() {
        text.push_str(&format!("  {:11} {}\n", command.name(), command.summary()));
    }
    text.push_str(&format!(
        "\n{PROGRAM} COMMAND --help lists the options of a command; {PROGRAM} --version prints the version.\n\
         Exit status: 0 done, 1 failed or a promise broken, 2 wrong arguments.\n"
    ));
    text
}

fn run_command(command: &dyn Command, arguments: &[String]) -> ExitStatus {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "log", "log level on the standard error stream (default warn)", "LEVEL");
    command.declare(&mut options);
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(failure) => {
            eprintln!("{PROGRAM} {}: {failure}", command.name());
            return ExitStatus::Usage;
        }
    };
    if matches.opt_present("help") {
        let brief = format!("{}\n\nUsage: {PROGRAM} {} {}", command.summary(), command.name(), command.operands());
        print!("{}", options.usage(&brief));
        return ExitStatus::Done;
    }
    let arguments = Arguments::new(matches);
    logging::start(arguments.value("log", LevelFilter::Warn));
    status(command.name(), command.run(&arguments))
}

fn status(name: &str, result: Result<Verdict, CommandError>) -> ExitStatus {
    match result {
        Ok(Verdict::Holds) => ExitStatus::Done,
        Ok(Verdict::Broken) => ExitStatus::Failed,
        Err(CommandError::Usage(findings)) => {
            for finding in findings.0 {
                eprintln!("{PROGRAM} {name}: {finding}");
            }
            ExitStatus::Usage
        }
        Err(failure) => {
            eprintln!("{PROGRAM} {name}: {failure}");
            ExitStatus::Failed
        }
    }
}
