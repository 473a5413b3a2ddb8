//! Shows findings to people, one line each, and to programs, as one JSON document.

use quillhatch_types::{Finding, Findings, Severity};
use serde::Serialize;

/// The findings of one or several inputs, as `--json` prints them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FindingsDocument {
    /// The number of findings that make an input unusable.
    pub errors: usize,
    /// The number of other findings.
    pub warnings: usize,
    /// The findings, sorted by place.
    pub findings: Vec<Finding>,
}

impl From<Findings> for FindingsDocument {
    fn from(findings: Findings) -> Self {
        let findings = sorted(findings).0;
        let errors = findings.iter().filter(|finding| finding.severity == Severity::Error).count();
        FindingsDocument { errors, warnings: findings.len() - errors, findings }
    }
}

/// The same findings, sorted by place.
pub fn sorted(mut findings: Findings) -> Findings {
    findings.0.sort();
    findings
}

/// One line for each finding, sorted by place: `file:line:column: path: error: problem; advice`.
pub fn render_text(findings: &Findings) -> String {
    sorted(findings.clone()).0.iter().map(|finding| render_finding(finding) + "\n").collect()
}

/// One line for one finding, without its line break.
///
/// The line and column are left out for an input without lines, such as a flag, and the path for a finding about a
/// whole input.
pub fn render_finding(finding: &Finding) -> String {
    let place = &finding.place;
    let position = if place.line == 0 { String::new() } else { format!(":{}:{}", place.line, place.column) };
    let path = if place.path.is_empty() { String::new() } else { format!(" {}:", place.path) };
    format!("{}{position}:{path} {}: {}; {}", place.source, finding.severity, finding.problem, finding.advice)
}
