//! Parses, checks and renders the platform's configuration document.
//!
//! Use [`parse_configuration`] for documents from the platform and for files that an operator wants checked. Use
//! [`render_configuration`] to export the configuration in force as a document that can be uploaded to the platform.

mod class;
mod read;
mod render;
mod service;
mod sites;

use quillhatch_types::{Configuration, Findings};

pub use render::render_configuration;

use crate::document::{json, ValueOrigin};
use crate::report::{Report, ValueLocation};

/// The highest revision and epoch in a document: the largest integer that every JSON parser reads exactly (RFC 8259,
/// section 6).
pub const MAX_SAFE_INTEGER: u64 = (1 << 53) - 1;

/// The maximum number of slots of a service.
pub const MAX_SLOT_COUNT: u16 = 4096;

/// The maximum retry budget of a root call, in attempts summed over its whole call tree.
pub const MAX_RETRY_BUDGET: u16 = 64;

/// Parses the configuration document `text`, which findings name `source`.
///
/// Returns the configuration and the warnings, if any.
///
/// # Errors
///
/// Returns all findings, including warnings, if at least one is an error. If the text is not valid JSON, the only
/// finding is the first syntax error.
pub fn parse_configuration(source: &str, text: &str) -> Result<(Configuration, Findings), Findings> {
    let mut report = Report::new(source, text);
    let configuration = match json::parse(text, report.line_index()) {
        Ok(root) => read::read(&mut report, &root),
        Err(error) => {
            let location = ValueLocation { path: String::new(), origin: ValueOrigin::Offset(error.offset) };
            let problem = format!("the document is not valid JSON: {}", error.problem);
            report.error(&location, problem, "fix the syntax here and check again");
            None
        }
    };
    let findings = report.into_findings();
    match configuration {
        Some(configuration) if !findings.has_errors() => Ok((configuration, findings)),
        _ => Err(findings),
    }
}
