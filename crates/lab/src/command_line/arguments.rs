//! Typed access to parsed options; everything wrong with them is collected and reported together.

use std::cell::RefCell;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;

use super::error::{CommandError, UsageFinding, UsageFindings};

/// The options and operands of one subcommand.
///
/// An accessor that meets a wrong value notes a finding and goes on with the default; [`Arguments::check`] then returns
/// all findings. Call it before acting on any value.
pub struct Arguments {
    matches: Matches,
    findings: RefCell<Vec<UsageFinding>>,
}

impl Arguments {
    /// Wraps what getopts parsed.
    pub fn new(matches: Matches) -> Self {
        Arguments { matches, findings: RefCell::default() }
    }

    /// Notes something that is wrong with `argument`.
    pub fn reject(&self, argument: &str, problem: impl Display) {
        let finding = UsageFinding { argument: argument.to_owned(), problem: problem.to_string() };
        self.findings.borrow_mut().push(finding);
    }

    /// Ends the reading of arguments.
    ///
    /// # Errors
    ///
    /// Returns all findings so far, if there are any.
    pub fn check(&self) -> Result<(), CommandError> {
        let findings = self.findings.take();
        if findings.is_empty() {
            return Ok(());
        }
        Err(CommandError::Usage(UsageFindings(findings)))
    }

    /// Whether a flag or option was given.
    pub fn has(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// The text of an option.
    pub fn text(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    /// The texts of an option that may be given several times.
    pub fn texts(&self, name: &str) -> Vec<String> {
        self.matches.opt_strs(name)
    }

    /// What follows the options.
    pub fn operands(&self) -> &[String] {
        &self.matches.free
    }

    /// Notes a finding if more than `most` operands were given.
    pub fn limit_operands(&self, most: usize) {
        if let Some(operand) = self.matches.free.get(most) {
            self.reject(operand, "unexpected operand");
        }
    }

    /// The value of an option, read by `parse`, if the option was given.
    pub fn parsed<T, E: Display>(&self, name: &str, parse: impl Fn(&str) -> Result<T, E>) -> Option<T> {
        self.parse_text(name, &self.text(name)?, parse)
    }

    /// The values of an option that may be given several times, read by `parse`.
    pub fn all_parsed<T, E: Display>(&self, name: &str, parse: impl Fn(&str) -> Result<T, E>) -> Vec<T> {
        self.texts(name).iter().filter_map(|text| self.parse_text(name, text, &parse)).collect()
    }

    fn parse_text<T, E: Display>(&self, name: &str, text: &str, parse: impl Fn(&str) -> Result<T, E>) -> Option<T> {
        match parse(text) {
            Ok(value) => Some(value),
            Err(problem) => {
                self.reject(&format!("--{name} {text}"), problem);
                None
            }
        }
    }

    /// The value of an option, or its default.
    pub fn value<T>(&self, name: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.parsed(name, T::from_str).unwrap_or(default)
    }

    /// The value of an option that must be given; `placeholder` stands in for it until [`Arguments::check`].
    pub fn required<T, E: Display>(&self, name: &str, placeholder: T, parse: impl Fn(&str) -> Result<T, E>) -> T {
        if !self.has(name) {
            self.reject(&format!("--{name}"), "is required");
        }
        self.parsed(name, parse).unwrap_or(placeholder)
    }

    /// A duration with a unit, such as `500ms`.
    pub fn duration(&self, name: &str, default: Duration) -> Duration {
        self.parsed(name, humantime::parse_duration).unwrap_or(default)
    }

    /// A number that is greater than zero.
    pub fn positive(&self, name: &str, default: f64) -> f64 {
        let value = self.value(name, default);
        if !(value > 0.0 && value.is_finite()) {
            self.reject(&format!("--{name}"), "must be a number above zero");
        }
        value
    }
}
