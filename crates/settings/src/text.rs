//! Text of an input: decoding it from bytes and finding the line and column of an offset.
//!
//! Use [`utf8_text`] before handing the content of a file to one of the parsers.

use quillhatch_types::{Finding, Findings, Severity, SourceLocation};

/// Decodes `bytes`, the content of `source`, as UTF-8.
///
/// # Errors
///
/// Returns a finding at the first byte that is not UTF-8.
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

/// The offsets at which the lines of a text start.
#[derive(Debug)]
pub(crate) struct LineIndex {
    starts: Vec<usize>,
}

impl LineIndex {
    /// Indexes the lines of `text`.
    pub(crate) fn new(text: &str) -> Self {
        let after_newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n').map(|(at, _)| at + 1);
        LineIndex { starts: std::iter::once(0).chain(after_newlines).collect() }
    }

    /// The line and the column in characters, both counted from one, of the byte at `offset` of `text`.
    ///
    /// An offset inside a character or beyond the text counts as the last character boundary before it.
    pub(crate) fn position(&self, text: &str, offset: usize) -> (u32, u32) {
        let mut offset = offset.min(text.len());
        while !text.is_char_boundary(offset) {
            offset -= 1;
        }
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let column = text[start..offset].chars().count() + 1;
        (saturated(line), saturated(column))
    }

    /// The byte offset of a line and a column in bytes, both counted from one.
    pub(crate) fn offset(&self, line: usize, byte_column: usize) -> usize {
        let start = self.starts.get(line.saturating_sub(1)).copied().unwrap_or(0);
        start + byte_column.saturating_sub(1)
    }
}

fn saturated(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
