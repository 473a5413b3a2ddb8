//! What a node knows of tenants: how recent its configuration is, and how much of their limits is used.

use std::cell::{Cell, RefCell};

use quillhatch_mesh::configuration::{Configuration, ConfigurationInForce};
use quillhatch_mesh::freshness::{FreshnessLease, FreshnessProof};
use quillhatch_mesh::limits::{report_period, LimitCoordinator, LocalLimits, OverLimit};
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::settings::SidecarSettings;
use quillhatch_mesh::tenants::Tenant;
use quillhatch_types::Timestamp;
use tokio::sync::Notify;

/// The part of a node's state that is about tenants.
pub struct Tenancy {
    /// For how long the configuration in force may be taken for the newest one.
    pub freshness: RefCell<FreshnessLease>,
    /// Whether the store holds a later configuration that this node can't use.
    pub later_is_unusable: Cell<bool>,
    /// The limits of tenants at this node.
    pub limits: RefCell<LocalLimits>,
    /// What other nodes report of the limits of tenants, if this one coordinates them.
    pub coordinator: RefCell<LimitCoordinator>,
    /// Wakes whoever reports to the coordinator once calls of a tenant surge.
    pub surge: Notify,
    /// The machines that hold a target, each once.
    pub machines: Cell<usize>,
    hears_others: bool,
}

impl Tenancy {
    /// Nothing is known yet. `draw` in 0..1 is random.
    pub fn new(settings: &SidecarSettings, draw: f64) -> Self {
        let bounds = &settings.bounds;
        Tenancy {
            freshness: RefCell::new(FreshnessLease::new(bounds.revocation, draw)),
            later_is_unusable: Cell::new(false),
            limits: RefCell::new(LocalLimits::new(bounds.limits)),
            coordinator: RefCell::new(LimitCoordinator::new(bounds.limits)),
            surge: Notify::new(),
            machines: Cell::new(0),
            hears_others: settings.mechanisms.has(Mechanism::HeardFreshness),
        }
    }

    /// Whether keys may be believed or refused now, if there are any.
    pub fn can_check_keys(&self, configuration: &Configuration, now: Timestamp) -> bool {
        configuration.tenants.is_empty() || self.freshness.borrow().is_valid(now)
    }

    /// The store was read by a call that was sent at `sent`, and what it brought was taken over: this node's configuration was the
    /// newest then, unless the newest can't be used.
    pub fn is_up_to_date(&self, sent: Timestamp) {
        if !self.later_is_unusable.get() {
            self.freshness.borrow_mut().record_read(sent);
        }
    }

    /// What this node tells of how recent its configuration is, in the answer to a call that arrived at `arrived`.
    pub fn proof(&self, in_force: &ConfigurationInForce, arrived: Timestamp) -> Option<FreshnessProof> {
        let freshness = self.freshness.borrow();
        let is_told = freshness.is_bounded() && self.hears_others;
        is_told.then(|| freshness.proof(in_force.version(), arrived)).flatten()
    }

    /// When this node's configuration was known to be the newest, for a node that takes it over with the proof.
    pub fn own_proof(&self, in_force: &ConfigurationInForce, arrived: Timestamp) -> Option<FreshnessProof> {
        let is_newest = !self.later_is_unusable.get() && in_force.version() > 0;
        is_newest.then(|| self.freshness.borrow().proof(in_force.version(), arrived)).flatten()
    }

    /// Takes the proof of the node whose view was taken over, in the answer to a question that was sent at `sent`.
    pub fn learnt(&self, proof: FreshnessProof, in_force: &ConfigurationInForce, sent: Timestamp) {
        if !self.later_is_unusable.get() {
            self.freshness.borrow_mut().record_proof(proof, in_force.version(), sent);
        }
    }

    /// Takes what another node has told of how recent its configuration is, in the answer to a call that was sent at `sent`.
    pub fn heard(&self, proof: FreshnessProof, in_force: &ConfigurationInForce, sent: Timestamp) {
        if self.hears_others && !self.later_is_unusable.get() {
            self.freshness.borrow_mut().record_proof(proof, in_force.version(), sent);
        }
    }

    /// Counts a call of `tenant` that arrives here. `draw` in 0..1 is random.
    ///
    /// # Errors
    ///
    /// Returns when to come back if the call is beyond the tenant's limit.
    pub fn admit(&self, tenant: &Tenant, draw: f64, now: Timestamp) -> Result<(), OverLimit> {
        let machines = self.machines.get().max(1);
        let period = report_period(machines);
        let mut limits = self.limits.borrow_mut();
        let admitted = limits.admit(tenant, machines, period, draw, now);
        if limits.surge_report_in(period, now).is_some() {
            self.surge.notify_one();
        }
        admitted
    }

    /// A call of `tenant` that was let in has not run.
    pub fn returned(&self, tenant: &Tenant, now: Timestamp) {
        self.limits.borrow_mut().refund(&tenant.name, now);
    }
}
