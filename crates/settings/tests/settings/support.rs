//! Examples and helpers that the test files share.

use quillhatch_types::Findings;

/// The example settings file.
pub const NODE: &str = include_str!("../../../../docs/examples/settings/node.toml");
/// The example configuration of one deployment.
pub const PRAIRIE: &str = include_str!("../../../../docs/examples/configuration/prairie.json");
/// The example configuration of the other deployment.
pub const BAJIO: &str = include_str!("../../../../docs/examples/configuration/bajio.json");

/// Replaces the first occurrence of `old` in `text`. Panics if there is none, so that a change of the examples can't
/// make a test vacuous.
pub fn replaced(text: &str, old: &str, new: &str) -> String {
    assert!(text.contains(old), "{old:?} is not in the example");
    text.replacen(old, new, 1)
}

/// The first line of `text` that contains `part`, counted from one.
pub fn line_of(text: &str, part: &str) -> u32 {
    let index = text.lines().position(|line| line.contains(part)).expect("the part is in the text");
    u32::try_from(index + 1).expect("a short text")
}

/// The paths of `findings`, in order.
pub fn paths(findings: &Findings) -> Vec<&str> {
    findings.0.iter().map(|finding| finding.place.path.as_str()).collect()
}
