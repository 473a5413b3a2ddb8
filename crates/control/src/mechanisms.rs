//! Switches that take one mechanism out, so that a test or the simulation can show what it is for.

/// The mechanisms in force; all of them outside tests. Every node of a fleet must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ControlMechanisms {
    /// A configuration with a lower revision than the one in force is ignored.
    pub configuration_monotonic: bool,
    /// A starting node asks a majority of its peers for their configuration before it is ready.
    pub readiness_asks_peers: bool,
    /// A slot has no owner while it is on its way to another site.
    pub seal_before_move: bool,
    /// A sealed slot is opened again only when the other site has agreed never to accept it.
    pub unseal_needs_proof: bool,
    /// A slot opens at the new site only after the claims of the old one are recorded there.
    pub import_before_open: bool,
    /// A move waits while the new site refuses protected calls.
    pub hold_on_refusals: bool,
    /// A gate refuses new calls from the moment that it knows of its drain.
    pub drain_closes_gate: bool,
    /// A plan is confirmed only if nothing that it rests on has changed.
    pub confirm_checks_base: bool,
    /// A failed owner's slots are given to others only after its lease has run out.
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
