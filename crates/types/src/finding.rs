//! Findings: what is wrong with an input, where, and what to do; collected and reported together.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Where in an input a finding lies.
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
    /// The input is refused whole.
    #[display("error")]
    Error,
    /// The input is usable, but something is likely not meant.
    #[display("warning")]
    Warning,
}

/// One thing that is wrong with an input.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{place}: {severity}: {problem}; {advice}")]
pub struct Finding {
    /// Where.
    pub place: SourceLocation,
    /// How bad.
    pub severity: Severity,
    /// What is wrong.
    pub problem: String,
    /// What to do.
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

    /// Whether there is no finding at all.
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
