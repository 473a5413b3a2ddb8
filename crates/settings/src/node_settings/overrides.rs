//! Command line flags that override values of the settings file.

use crate::document::ValueNode;

/// The unparsed values of the flags that were given. They are checked like the values in the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FlagOverrides {
    /// `--site`: the site of the node.
    pub site: Option<String>,
    /// `--zone`: the zone of the node.
    pub zone: Option<String>,
    /// `--callers`: the address of the caller listener.
    pub callers: Option<String>,
    /// `--peers`: the address of the peer listener.
    pub peers: Option<String>,
    /// `--operators`: the address of the operator listener.
    pub operators: Option<String>,
    /// `--backend`: the address of the back end. The other keys of the section `backend` come from the file.
    pub backend: Option<String>,
}

impl FlagOverrides {
    /// Replaces values in the tree of the settings file by the values of the flags.
    pub(super) fn apply(&self, root: &mut ValueNode) {
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
