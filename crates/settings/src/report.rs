//! Collects the findings of one input and resolves value origins to lines and columns.

use quillhatch_types::{Finding, Findings, Severity, SourceLocation};

use crate::document::ValueOrigin;
use crate::text::LineIndex;

/// The location of a value: its key path, such as `listeners.peers`, and its origin in the input.
#[derive(Clone, Debug)]
pub(crate) struct ValueLocation {
    pub(crate) path: String,
    pub(crate) origin: ValueOrigin,
}

/// The findings collected while one input is parsed.
#[derive(Debug)]
pub(crate) struct Report<'input> {
    source: &'input str,
    text: &'input str,
    line_index: LineIndex,
    findings: Findings,
}

impl<'input> Report<'input> {
    /// Creates an empty report for `text`; findings name it `source`.
    pub(crate) fn new(source: &'input str, text: &'input str) -> Self {
        Report { source, text, line_index: LineIndex::new(text), findings: Findings::default() }
    }

    /// The line index of the input.
    pub(crate) fn line_index(&self) -> &LineIndex {
        &self.line_index
    }

    /// Adds a finding that makes the input unusable.
    pub(crate) fn error(&mut self, location: &ValueLocation, problem: impl Into<String>, advice: impl Into<String>) {
        self.push(location, Severity::Error, problem.into(), advice.into());
    }

    /// Adds a finding about a valid value that is probably a mistake.
    pub(crate) fn warning(&mut self, location: &ValueLocation, problem: impl Into<String>, advice: impl Into<String>) {
        self.push(location, Severity::Warning, problem.into(), advice.into());
    }

    /// Returns all findings, sorted by location.
    pub(crate) fn into_findings(self) -> Findings {
        crate::presentation::sorted(self.findings)
    }

    fn push(&mut self, location: &ValueLocation, severity: Severity, problem: String, advice: String) {
        let place = self.resolve(location);
        self.findings.push(Finding { place, severity, problem, advice });
    }

    fn resolve(&self, location: &ValueLocation) -> SourceLocation {
        let (source, line, column) = match location.origin {
            ValueOrigin::Offset(offset) => {
                let (line, column) = self.line_index.position(self.text, offset);
                (self.source.to_string(), line, column)
            }
            ValueOrigin::Flag(flag) => (format!("--{flag}"), 0, 0),
        };
        SourceLocation { source, line, column, path: location.path.clone() }
    }
}
