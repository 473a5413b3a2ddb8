//! Flags that take the place of what the settings file says.

use crate::document::Node;

/// The values of the flags that were given, as they were written; they are checked like the file's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FlagOverrides {
    /// `--site`: the node's site.
    pub site: Option<String>,
    /// `--zone`: the node's zone.
    pub zone: Option<String>,
    /// `--callers`: the address of the caller listener.
    pub callers: Option<String>,
    /// `--peers`: the address of the peer listener.
    pub peers: Option<String>,
    /// `--operators`: the address of the operator listener.
    pub operators: Option<String>,
    /// `--backend`: the address of the back end; the file must have the section `backend`.
    pub backend: Option<String>,
}

impl FlagOverrides {
    /// Puts the flags' values into the tree of the settings file.
    pub(super) fn apply(&self, root: &mut Node) {
        let values: [(&'static str, &[&str], &Option<String>); 6] = [
            ("site", &["site"], &self.site),
            ("zone", &["zone"], &self.zone),
            ("callers", &["listeners", "callers"], &self.callers),
            ("peers", &["listeners", "peers"], &self.peers),
            ("operators", &["listeners", "operators"], &self.operators),
            ("backend", &["backend", "address"], &self.backend),
        ];
        for (flag, path, value) in values {
            if let Some(value) = value {
                root.set(path, flag, value);
            }
        }
    }
}
