//! The tenants of the operators, and the API keys that identify their calls.
//!
//! Keys are stored and looked up by their SHA-256 digests. So the duration of a look-up doesn't reveal how much of a
//! guessed key is right, and neither log lines nor dumps of the table contain a key.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// The rate limit of a tenant, for all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Calls per second.
    pub rate: f64,
    /// The number of calls allowed beyond the rate after a time without calls.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, which is sent to targets.
    pub name: Arc<str>,
    /// Its priority, which takes precedence over that of routes; 0 is the highest.
    pub priority: u8,
    /// Its rate limit, if it has one.
    pub limit: Option<RateLimit>,
}

/// The digest of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// All tenants of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTable {
    by_key: HashMap<KeyDigest, Arc<Tenant>>,
    by_name: HashMap<Arc<str>, Arc<Tenant>>,
    /// The lowest priority of any tenant, which is the highest number.
    lowest_priority: u8,
}

impl TenantTable {
    /// Adds a tenant; returns whether its name is new.
    pub fn add(&mut self, tenant: Arc<Tenant>) -> bool {
        self.lowest_priority = self.lowest_priority.max(tenant.priority);
        self.by_name.insert(tenant.name.clone(), tenant).is_none()
    }

    /// Adds a key of `tenant`; returns whether the key is new. A key that another tenant has remains with that tenant.
    pub fn add_key(&mut self, tenant: &Arc<Tenant>, key: &[u8]) -> bool {
        let digest = KeyDigest::of(key);
        if self.by_key.contains_key(&digest) {
            return false;
        }
        self.by_key.insert(digest, tenant.clone());
        true
    }

    /// The tenant with this API key.
    pub fn tenant_by_key(&self, key: &[u8]) -> Option<&Arc<Tenant>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// The tenant with this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// All tenants, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }

    /// The number of tenants.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// The number of keys of all tenants.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are no tenants; then no call needs a key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Whether any tenant has a rate limit.
    pub fn has_limits(&self) -> bool {
        self.iter().any(|tenant| tenant.limit.is_some())
    }

    /// The number of priorities, from the highest to the lowest one in use.
    pub fn priority_count(&self) -> u8 {
        self.lowest_priority.saturating_add(1)
    }
}
