//! Decodes the text of an input and converts between byte offsets and lines and columns.
//!
//! Use [`utf8_text`] to decode the content of a file before passing it to one of the parsers.

use quillhatch_types::{Finding, Findings, Severity, SourceLocation};

/// Decodes `bytes`, the content of `source`, as UTF-8.
///
/// # Errors
///
/// Returns a finding at the first invalid byte.
pub fn utf8_text<'bytes>(source: &str, bytes: &'bytes [u8]) -> Result<&'bytes str, Findings> {
    std::str::from_utf8(bytes).map_err(|error| {
        let valid = String::from_utf8_lossy(&bytes[..error.valid_up_to()]).into_owned();
        let (line, column) = LineIndex::new(&valid).position(&valid, valid.len());
        let place = SourceLocation { source: source.to_string(), line, column, path: String::new() };
        Findings(vec![Finding {
            place,
            severity: Severity::Error,
            problem: "the text is not UTF-8".to_string(),
            advice: "save the file as UTF-8".to_string(),
        }])
    })
}

/// The byte offsets at which the lines of a text start.
#[derive(Debug)]
pub(crate) struct LineIndex {
    line_starts: Vec<usize>,
}

impl LineIndex {
    /// Indexes the lines of `text`.
    pub(crate) fn new(text: &str) -> Self {
        let after_newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(offset, _)| offset + 1);
        LineIndex { line_starts: std::iter::once(0).chain(after_newlines).collect() }
    }

    /// Returns the line and the column of a byte offset in `text`, both counted from one, the column in characters.
    ///
    /// An offset inside a character or past the end is rounded down to a character boundary.
    pub(crate) fn position(&self, text: &str, offset: usize) -> (u32, u32) {
        let mut offset = offset.min(text.len());
        while !text.is_char_boundary(offset) {
            offset -= 1;
        }
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let column = text[start..offset].chars().count() + 1;
        (saturating_u32(line), saturating_u32(column))
    }

    /// Returns the byte offset of a line and a column, both counted from one, the column in bytes.
    pub(crate) fn offset(&self, line: usize, byte_column: usize) -> usize {
        let start = self.line_starts.get(line.saturating_sub(1)).copied().unwrap_or(0);
        start + byte_column.saturating_sub(1)
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
