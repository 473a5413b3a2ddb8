//! A value that must not appear in logs.

/// Secret bytes; `Debug` shows their number only, and comparing two takes a time that depends on their content.
///
/// Compare with a constant-time comparison wherever the other value comes from outside.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Takes `bytes` as a secret.
    pub fn new(bytes: Vec<u8>) -> Self {
        Secret(bytes)
    }

    /// The secret itself.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Secret({} bytes)", self.0.len())
    }
}
