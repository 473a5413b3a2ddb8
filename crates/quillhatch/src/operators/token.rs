//! The bearer token of operator requests (RFC 6750).

use subtle::ConstantTimeEq;

/// A secret shared with operators. `Debug` does not print it.
#[derive(Clone, PartialEq, Eq)]
pub struct BearerToken(Vec<u8>);

impl BearerToken {
    /// Creates a token from its bytes.
    pub fn new(bytes: Vec<u8>) -> Self {
        BearerToken(bytes)
    }

    /// Whether the value of an `Authorization` field contains this token. The comparison takes constant time, so that its
    /// duration does not reveal how many bytes match.
    pub fn matches(&self, authorization: Option<&str>) -> bool {
        const SCHEME: &str = "bearer ";
        let Some((scheme, presented)) = authorization.and_then(|value| value.split_at_checked(SCHEME.len())) else {
            return false;
        };
        scheme.eq_ignore_ascii_case(SCHEME) && bool::from(presented.as_bytes().ct_eq(&self.0))
    }
}

impl std::fmt::Debug for BearerToken {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("BearerToken")
    }
}
