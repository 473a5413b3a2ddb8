//! Parses the options of a command.

use getopts::{Matches, Options, ParsingStyle};

use super::{OutputStreams, UsageError};

/// A command's options and help text.
pub struct Command {
    options: Options,
    brief: String,
}

impl Command {
    /// Creates a command with the usage line `usage` and a short description.
    pub fn new(usage: &str, description: &str) -> Self {
        let mut options = Options::new();
        options.parsing_style(ParsingStyle::FloatingFrees);
        options.optflag("h", "help", "print this help");
        Command { options, brief: format!("{description}\n\nUsage: quillhatch {usage}") }
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

    /// Parses `arguments`. If they ask for help, prints it and returns `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if the arguments are invalid.
    pub fn parse(&self, arguments: &[String], streams: &mut OutputStreams<'_>) -> Result<Option<Matches>, UsageError> {
        // Help is printed even if the other arguments are invalid: a user who asks for it may not know the valid ones.
        if arguments.iter().any(|argument| argument == "--help" || argument == "-h") {
            streams.print(self.options.usage(&self.brief).trim_end());
            return Ok(None);
        }
        self.options.parse(arguments).map(Some).map_err(|error| UsageError::new(error.to_string()))
    }
}

/// Returns an error if there are positional arguments left.
pub fn reject_free_arguments(matches: &Matches) -> Result<(), UsageError> {
    match matches.free.first() {
        Some(argument) => Err(UsageError::new(format!("unexpected argument {argument:?}"))),
        None => Ok(()),
    }
}

/// The value of a required option.
pub fn required_value(matches: &Matches, name: &str) -> Result<String, UsageError> {
    matches.opt_str(name).ok_or_else(|| UsageError::new(format!("--{name} is missing")))
}
