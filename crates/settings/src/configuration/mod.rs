//! The platform's configuration document: reading it with every check, and writing one.
//!
//! Use [`parse_configuration`] on what the platform answers and on files that an operator wants checked, and
//! [`render_configuration`] to write what is in force as a document that the operator can hand to the platform.

mod class;
mod read;
mod render;
mod service;
mod sites;

use quillhatch_types::{Configuration, Findings};

pub use render::render_configuration;

use crate::document::{json, Origin};
use crate::report::{Report, Spot};

/// The highest revision and epoch in a document: the largest whole number that every JSON reader keeps exactly
/// (RFC 8259, section 6).
pub const MAX_SAFE_INTEGER: u64 = (1 << 53) - 1;

/// The largest number of slots of a service.
pub const MAX_SLOT_COUNT: u16 = 4096;

/// The largest retry budget of a root call, in attempts over the whole tree of calls.
pub const MAX_RETRY_BUDGET: u16 = 64;

/// Reads the configuration document `text`, which findings call `source`.
///
/// Returns the configuration together with the warnings, of which there may be none.
///
/// # Errors
///
/// Returns all findings, warnings among them, if one of them is an error. A text that is no JSON has one finding only,
/// at the first place that shows it.
pub fn parse_configuration(source: &str, text: &str) -> Result<(Configuration, Findings), Findings> {
    let mut report = Report::new(source, text);
    let configuration = match json::parse(text, report.lines()) {
        Ok(root) => read::read(&mut report, &root),
        Err(error) => {
            let spot = Spot { path: String::new(), origin: Origin::Offset(error.offset) };
            let problem = format!("the document is no JSON: {}", error.problem);
            report.error(&spot, problem, "mend the syntax here and check again");
            None
        }
    };
    let findings = report.into_findings();
    match configuration {
        Some(configuration) if !findings.has_errors() => Ok((configuration, findings)),
        _ => Err(findings),
    }
}
