//! Formats findings as text, one line each, or as a JSON document for programs.

use quillhatch_types::{Finding, Findings, Severity};
use serde::Serialize;

/// The findings of one or several inputs in the form that `--json` prints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FindingsDocument {
    /// The number of findings that make an input unusable.
    pub errors: usize,
    /// The number of other findings.
    pub warnings: usize,
    /// The findings, sorted by location.
    pub findings: Vec<Finding>,
}

impl From<Findings> for FindingsDocument {
    fn from(findings: Findings) -> Self {
        let findings = sorted(findings).0;
        let errors = findings.iter().filter(|finding| finding.severity == Severity::Error).count();
        FindingsDocument { errors, warnings: findings.len() - errors, findings }
    }
}

/// Returns the findings sorted by location.
pub fn sorted(mut findings: Findings) -> Findings {
    findings.0.sort();
    findings
}

/// Formats the findings as one line each, sorted by location: `file:line:column: path: error: problem; advice`.
pub fn render_text(findings: &Findings) -> String {
    sorted(findings.clone()).0.iter().map(|finding| render_finding(finding) + "\n").collect()
}

/// Formats a finding as one line, without a line break.
///
/// Line and column are omitted if the source has no lines, such as a flag. The path is omitted if the finding concerns
/// the whole input.
pub fn render_finding(finding: &Finding) -> String {
    let place = &finding.place;
    let position = if place.line == 0 { String::new() } else { format!(":{}:{}", place.line, place.column) };
    let path = if place.path.is_empty() { String::new() } else { format!(" {}:", place.path) };
    format!("{}{position}:{path} {}: {}; {}", place.source, finding.severity, finding.problem, finding.advice)
}
