//! Collects findings about one input and turns origins into places.

use quillhatch_types::{Finding, Findings, Severity, SourceLocation};

use crate::document::Origin;
use crate::text::LineIndex;

/// Where a finding points: the path of a value and where the value came from.
#[derive(Clone, Debug)]
pub(crate) struct Spot {
    pub(crate) path: String,
    pub(crate) origin: Origin,
}

/// Collects the findings of one input.
#[derive(Debug)]
pub(crate) struct Report<'input> {
    source: &'input str,
    text: &'input str,
    lines: LineIndex,
    findings: Findings,
}

impl<'input> Report<'input> {
    /// A report about `text`, which findings call `source`.
    pub(crate) fn new(source: &'input str, text: &'input str) -> Self {
        Report { source, text, lines: LineIndex::new(text), findings: Findings::default() }
    }

    /// The lines of the input.
    pub(crate) fn lines(&self) -> &LineIndex {
        &self.lines
    }

    /// Adds a finding that makes the input unusable.
    pub(crate) fn error(&mut self, spot: &Spot, problem: impl Into<String>, advice: impl Into<String>) {
        self.push(spot, Severity::Error, problem.into(), advice.into());
    }

    /// Adds a finding about something that is likely not meant.
    pub(crate) fn warning(&mut self, spot: &Spot, problem: impl Into<String>, advice: impl Into<String>) {
        self.push(spot, Severity::Warning, problem.into(), advice.into());
    }

    /// All findings, sorted by place.
    pub(crate) fn into_findings(self) -> Findings {
        crate::presentation::sorted(self.findings)
    }

    fn push(&mut self, spot: &Spot, severity: Severity, problem: String, advice: String) {
        let place = self.place(spot);
        self.findings.push(Finding { place, severity, problem, advice });
    }

    fn place(&self, spot: &Spot) -> SourceLocation {
        let (source, line, column) = match spot.origin {
            Origin::Offset(offset) => {
                let (line, column) = self.lines.position(self.text, offset);
                (self.source.to_string(), line, column)
            }
            Origin::Flag(flag) => (format!("--{flag}"), 0, 0),
        };
        SourceLocation { source, line, column, path: spot.path.clone() }
    }
}
