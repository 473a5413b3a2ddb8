//! Tenants of the operators, and the keys by which their calls are known.
//!
//! Keys are kept and looked up by their SHA-256 digests. So the time of a look-up tells nothing of how much of a guessed key was
//! right, and neither a log line nor a dump of the table shows a key.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// How many calls of a tenant may run, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Calls a second.
    pub rate: f64,
    /// Calls beyond that after a time without any.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, which targets are told.
    pub name: Arc<str>,
    /// Its importance, which goes before that of routes; 0 is the greatest.
    pub priority: u8,
    /// What it may send; `None` if that is not limited.
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
    least_priority: u8,
}

impl TenantTable {
    /// Adds a tenant; says whether its name is new.
    pub fn add(&mut self, tenant: Arc<Tenant>) -> bool {
        self.least_priority = self.least_priority.max(tenant.priority);
        self.by_name.insert(tenant.name.clone(), tenant).is_none()
    }

    /// Adds a key of `tenant`; says whether no tenant had it yet. A key that another one has stays with that one.
    pub fn add_key(&mut self, tenant: &Arc<Tenant>, key: &[u8]) -> bool {
        let digest = KeyDigest::of(key);
        if self.by_key.contains_key(&digest) {
            return false;
        }
        self.by_key.insert(digest, tenant.clone());
        true
    }

    /// The tenant that holds `key`.
    pub fn tenant_by_key(&self, key: &[u8]) -> Option<&Arc<Tenant>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// The tenant of this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// All tenants, in no order.
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

    /// Whether there is no tenant; then no call needs a key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Whether any tenant is limited.
    pub fn has_limits(&self) -> bool {
        self.iter().any(|tenant| tenant.limit.is_some())
    }

    /// How many priorities tenants have, counted from the greatest to the least important one.
    pub fn priority_count(&self) -> u8 {
        self.least_priority.saturating_add(1)
    }
}
