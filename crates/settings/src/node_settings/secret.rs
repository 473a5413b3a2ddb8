//! A secret that must not appear in logs.

/// Secret bytes. `Debug` prints only their number.
///
/// `==` is not constant-time. To compare a secret with a value from outside the process, use a constant-time
/// comparison.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Wraps `bytes` as a secret.
    pub fn new(bytes: Vec<u8>) -> Self {
        Secret(bytes)
    }

    /// Returns the secret bytes.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Secret({} bytes)", self.0.len())
    }
}
