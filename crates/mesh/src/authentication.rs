//! Authenticates the calls that arrive at the edge.
//!
//! A call on a route that is not public needs the API key of a tenant, unless it comes from this node's target: targets
//! have no keys. Revoked keys must not be accepted, so keys are only accepted while the configuration is known to be
//! recent ([`crate::freshness`]).

use std::sync::Arc;

use crate::configuration::{Configuration, Route};
use crate::tenants::Tenant;

/// What identifies the sender of a call.
#[derive(Clone, Copy, Debug)]
pub struct Credentials<'a> {
    /// The API key in the call.
    pub key: Option<&'a [u8]>,
    /// Whether the call may come from this node's target: the target is running a call that has as much time left.
    pub may_be_target: bool,
}

/// The sender of an accepted call.
#[derive(Clone, Debug, PartialEq)]
pub enum Sender {
    /// Anyone: no key is needed, since the route is public or there are no tenants.
    Anyone,
    /// A tenant.
    Tenant(Arc<Tenant>),
    /// This node's target.
    Target,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It has no key and doesn't come from this node's target.
    NoKey,
    /// No tenant has this key.
    UnknownKey,
    /// The configuration may be too old to decide: the key may be new or revoked.
    StaleConfiguration,
}

impl Denial {
    /// The name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Denial::NoKey => "no-key",
            Denial::UnknownKey => "unknown-key",
            Denial::StaleConfiguration => "stale-configuration",
        }
    }
}

/// Determines the sender of a call of `route`. `is_fresh` states whether the configuration is known to be recent.
///
/// # Errors
///
/// Returns why the call is refused.
pub fn authenticate(
    configuration: &Configuration,
    route: &Route,
    credentials: Credentials<'_>,
    is_fresh: bool,
) -> Result<Sender, Denial> {
    if configuration.tenants.is_empty() || route.is_public {
        return Ok(Sender::Anyone);
    }
    let Some(key) = credentials.key else {
        return if credentials.may_be_target { Ok(Sender::Target) } else { Err(Denial::NoKey) };
    };
    if !is_fresh {
        return Err(Denial::StaleConfiguration);
    }
    match configuration.tenants.tenant_by_key(key) {
        Some(tenant) => Ok(Sender::Tenant(tenant.clone())),
        None => Err(Denial::UnknownKey),
    }
}
