//! Reads the options of one command.

use getopts::{Matches, Options, ParsingStyle};

use super::{OutputStreams, UsageError};

/// The options of one command, with its help.
pub struct Command {
    options: Options,
    brief: String,
}

impl Command {
    /// A command with the usage line `usage` and one sentence on what it does.
    pub fn new(usage: &str, purpose: &str) -> Self {
        let mut options = Options::new();
        options.parsing_style(ParsingStyle::FloatingFrees);
        options.optflag("h", "help", "print this help");
        Command { options, brief: format!("{purpose}\n\nUsage: quillhatch {usage}") }
    }

    /// Adds an option with a value.
    pub fn value(mut self, name: &str, help: &str, hint: &str) -> Self {
        self.options.optopt("", name, help, hint);
        self
    }

    /// Adds an option without a value.
    pub fn flag(mut self, name: &str, help: &str) -> Self {
        self.options.optflag("", name, help);
        self
    }

    /// Reads `arguments`; `None` if the help was asked for and printed.
    ///
    /// # Errors
    ///
    /// Returns what is not understood.
    pub fn parse(&self, arguments: &[String], streams: &mut OutputStreams<'_>) -> Result<Option<Matches>, UsageError> {
        // The help is given even if the rest is wrong: whoever asks for it may not know better.
        if arguments.iter().any(|argument| argument == "--help" || argument == "-h") {
            streams.print(self.options.usage(&self.brief).trim_end());
            return Ok(None);
        }
        self.options.parse(arguments).map(Some).map_err(|error| UsageError::new(error.to_string()))
    }
}

/// Refuses arguments that the command does not take.
pub fn no_free_arguments(matches: &Matches) -> Result<(), UsageError> {
    match matches.free.first() {
        Some(argument) => Err(UsageError::new(format!("{argument:?} is not expected here"))),
        None => Ok(()),
    }
}

/// The value of an option that must be there.
pub fn required(matches: &Matches, name: &str) -> Result<String, UsageError> {
    matches.opt_str(name).ok_or_else(|| UsageError::new(format!("--{name} is missing")))
}
