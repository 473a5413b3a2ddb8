//! The bearer token that operators present (RFC 6750).

use subtle::ConstantTimeEq;

/// A secret shared with operators; never shown by `Debug`.
#[derive(Clone, PartialEq, Eq)]
pub struct BearerToken(Vec<u8>);

impl BearerToken {
    /// Takes `bytes` as the token.
    pub fn new(bytes: Vec<u8>) -> Self {
        BearerToken(bytes)
    }

    /// Whether the value of an `Authorization` field presents this token; takes a time that does not depend on how many
    /// bytes are right.
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
