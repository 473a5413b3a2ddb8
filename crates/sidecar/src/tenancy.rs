//! A node's state of tenants: how recent its configuration is, and how much of their rate limits is used.

use std::cell::{Cell, RefCell};

use quillhatch_mesh::configuration::{Configuration, ConfigurationInForce};
use quillhatch_mesh::freshness::{FreshnessLease, FreshnessProof};
use quillhatch_mesh::limits::{report_period, LimitCoordinator, LocalLimits, OverLimit};
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::settings::SidecarSettings;
use quillhatch_mesh::tenants::Tenant;
use quillhatch_types::Timestamp;
use tokio::sync::Notify;

/// The part of a node's state that concerns tenants.
pub struct Tenancy {
    /// The lease within which the configuration in force counts as the newest one.
    pub freshness: RefCell<FreshnessLease>,
    /// Whether the store contains a newer configuration that is invalid at this node.
    pub newer_is_unusable: Cell<bool>,
    /// The rate limits of tenants at this node.
    pub limits: RefCell<LocalLimits>,
    /// The usage that other nodes report, if this node is their coordinator.
    pub coordinator: RefCell<LimitCoordinator>,
    /// Notified when calls of a tenant surge, which is reported to the coordinator at once.
    pub surge: Notify,
    /// The number of machines with a listed target.
    pub machine_count: Cell<usize>,
    uses_peer_proofs: bool,
}

impl Tenancy {
    /// Creates the state without any data yet. `jitter`, a random number in 0..1, spreads the renewals of nodes.
    pub fn new(settings: &SidecarSettings, jitter: f64) -> Self {
        let bounds = &settings.bounds;
        Tenancy {
            freshness: RefCell::new(FreshnessLease::new(bounds.revocation, jitter)),
            newer_is_unusable: Cell::new(false),
            limits: RefCell::new(LocalLimits::new(bounds.limits)),
            coordinator: RefCell::new(LimitCoordinator::new(bounds.limits)),
            surge: Notify::new(),
            machine_count: Cell::new(0),
            uses_peer_proofs: settings.mechanisms.is_enabled(Mechanism::PeerFreshness),
        }
    }

    /// Whether the configuration is recent enough to accept or refuse API keys, or there are no tenants with keys.
    pub fn can_check_keys(&self, configuration: &Configuration, now: Timestamp) -> bool {
        configuration.tenants.is_empty() || self.freshness.borrow().is_valid(now)
    }

    /// Records that the store was read by a call that was sent at `sent`, and the response was applied. So this node's
    /// configuration was the newest at that time, unless the newest one is invalid.
    pub fn record_store_read(&self, in_force: &ConfigurationInForce, sent: Timestamp) {
        if !self.newer_is_unusable.get() {
            self.freshness.borrow_mut().record_read(in_force.version(), sent);
        }
    }

    /// The proof of how recent this node's configuration is, for the response to a call that arrived at `arrived`.
    /// `None` if there is no bound on revocation.
    pub fn peer_proof(&self, in_force: &ConfigurationInForce, arrived: Timestamp) -> Option<FreshnessProof> {
        let freshness = self.freshness.borrow();
        let is_sent = freshness.is_bounded() && self.uses_peer_proofs;
        is_sent.then(|| freshness.proof(in_force.version(), arrived)).flatten()
    }

    /// The proof of how recent this node's configuration is, for a node that replicates the configuration together with
    /// the proof.
    pub fn replica_proof(&self, in_force: &ConfigurationInForce, arrived: Timestamp) -> Option<FreshnessProof> {
        let is_newest = !self.newer_is_unusable.get() && in_force.version() > 0;
        is_newest.then(|| self.freshness.borrow().proof(in_force.version(), arrived)).flatten()
    }

    /// Records the proof of the node whose data was replicated, from the response to a query that was sent at `sent`.
    pub fn record_replica_proof(&self, proof: FreshnessProof, in_force: &ConfigurationInForce, sent: Timestamp) {
        if !self.newer_is_unusable.get() {
            self.freshness.borrow_mut().record_proof(proof, in_force.version(), sent);
        }
    }

    /// Records another node's proof of how recent its configuration is, from the response to a call that was sent at
    /// `sent`.
    pub fn record_peer_proof(&self, proof: FreshnessProof, in_force: &ConfigurationInForce, sent: Timestamp) {
        if self.uses_peer_proofs && !self.newer_is_unusable.get() {
            self.freshness.borrow_mut().record_proof(proof, in_force.version(), sent);
        }
    }

    /// Admits a call of `tenant` against its rate limit. `random` is a random number in 0..1.
    ///
    /// # Errors
    ///
    /// Returns when to retry if the call exceeds the tenant's limit.
    pub fn admit(&self, tenant: &Tenant, random: f64, now: Timestamp) -> Result<(), OverLimit> {
        let machines = self.machine_count.get().max(1);
        let period = report_period(machines);
        let mut limits = self.limits.borrow_mut();
        let admitted = limits.admit(tenant, machines, period, random, now);
        if limits.surge_report_in(period, now).is_some() {
            self.surge.notify_one();
        }
        admitted
    }

    /// Reverts the admission of a call of `tenant` that has not run.
    pub fn refund(&self, tenant: &Tenant, now: Timestamp) {
        self.limits.borrow_mut().refund(&tenant.name, now);
    }
}
