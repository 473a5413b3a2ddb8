//! Whose call it is that arrives at the edge, and whether it may go on.
//!
//! A call on a route that is not public needs the key of a tenant, unless this node's target makes it: targets have no keys. Keys that
//! were taken away must not be let in, so keys are only believed while the configuration is known to be recent
//! ([`crate::freshness`]).

use std::sync::Arc;

use crate::configuration::{Configuration, Route};
use crate::tenants::Tenant;

/// What a call shows of its sender.
#[derive(Clone, Copy, Debug)]
pub struct Credentials<'a> {
    /// The key that it carries.
    pub key: Option<&'a [u8]>,
    /// Whether it may be a call of this node's target, which runs a call that has as much time left.
    pub may_be_target: bool,
}

/// Who sends a call that may go on.
#[derive(Clone, Debug, PartialEq)]
pub enum Sender {
    /// No key is needed: the route is public, or there are no tenants.
    Anyone,
    /// A tenant.
    Tenant(Arc<Tenant>),
    /// This node's target.
    Target,
}

/// Why a call does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It has no key, and is no call of this node's target.
    NoKey,
    /// No tenant holds its key.
    UnknownKey,
    /// The configuration may be too old to tell: the key may be new, or taken away.
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

/// Finds out who sends a call of `route`. `is_fresh` tells whether the configuration is known to be recent.
///
/// # Errors
///
/// Returns why the call is not let in.
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
