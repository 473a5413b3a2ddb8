//! Switches that disable single mechanisms, so that a test or the simulation can show what each one prevents.

/// The enabled mechanisms. Outside tests all are enabled. Every node of a fleet must have the same set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ControlMechanisms {
    /// A configuration with a lower revision than the one in force is ignored.
    pub configuration_monotonic: bool,
    /// A starting node queries a majority of its peers for their configuration before it is ready.
    pub readiness_asks_peers: bool,
    /// A slot has no owner while it is in transfer to another site.
    pub seal_before_move: bool,
    /// A sealed slot is reopened only after the other site's group has committed a refusal to accept it.
    pub unseal_needs_proof: bool,
    /// A slot opens at the new site only after the claims from the old site are recorded there.
    pub import_before_open: bool,
    /// A move waits while the new site refuses protected calls.
    pub hold_on_refusals: bool,
    /// A gate refuses new calls as soon as it knows that it drains.
    pub drain_closes_gate: bool,
    /// A plan is confirmed only if the generation, epoch and revision that it is based on are unchanged.
    pub confirm_checks_base: bool,
    /// The slots of a failed owner are reassigned only after its lease has expired.
    pub takeover_waits_for_lease: bool,
}

impl Default for ControlMechanisms {
    fn default() -> Self {
        Self {
            configuration_monotonic: true,
            readiness_asks_peers: true,
            seal_before_move: true,
            unseal_needs_proof: true,
            import_before_open: true,
            hold_on_refusals: true,
            drain_closes_gate: true,
            confirm_checks_base: true,
            takeover_waits_for_lease: true,
        }
    }
}
