//! Findings: the problems of an input, with their location and advice, collected and reported together.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The location of a finding in an input.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{source}:{line}:{column}: {path}")]
pub struct SourceLocation {
    /// The file name or URL of the input.
    pub source: String,
    /// The line, counted from one; zero if the input has no lines.
    pub line: u32,
    /// The column in characters, counted from one; zero if the input has no lines.
    pub column: u32,
    /// The path of the value inside the document, such as `services.giving.classes[0].priority`.
    pub path: String,
}

/// Whether a finding makes its input unusable.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The whole input is rejected.
    #[display("error")]
    Error,
    /// The input is usable, but it probably contains a mistake.
    #[display("warning")]
    Warning,
}

/// One problem of an input.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{place}: {severity}: {problem}; {advice}")]
pub struct Finding {
    /// The location of the problem.
    pub place: SourceLocation,
    /// Whether the problem makes the input unusable.
    pub severity: Severity,
    /// A description of the problem.
    pub problem: String,
    /// How to fix the problem.
    pub advice: String,
}

/// All findings of one input.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Whether any finding is an error.
    pub fn has_errors(&self) -> bool {
        self.0.iter().any(|finding| finding.severity == Severity::Error)
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl std::error::Error for Findings {}

impl std::fmt::Display for Findings {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for finding in &self.0 {
            writeln!(formatter, "{finding}")?;
        }
        Ok(())
    }
}
