//! All mechanisms of a node. Each can be disabled by name.

use derive_more::{Display, Error};
use quillhatch_calls::edge::EdgeMechanisms;
use quillhatch_calls::gate::GateMechanisms;
use quillhatch_claims::ClaimMechanisms;
use quillhatch_control::ControlMechanisms;
use quillhatch_group::GroupMechanisms;
use quillhatch_membership::MembershipMechanisms;

/// The enabled mechanisms of all parts; by default all are enabled.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeMechanisms {
    /// Mechanisms of the edge.
    pub edge: EdgeMechanisms,
    /// Mechanisms of the gate.
    pub gate: GateMechanisms,
    /// Mechanisms of claims.
    pub claims: ClaimMechanisms,
    /// Mechanisms of the groups.
    pub group: GroupMechanisms,
    /// Mechanisms of control.
    pub control: ControlMechanisms,
    /// Mechanisms of membership.
    pub membership: MembershipMechanisms,
}

/// The error for a name that no mechanism has.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("there is no such mechanism")]
pub struct UnknownMechanism;

macro_rules! switches {
    ($($name:literal => $part:ident . $switch:ident),+ $(,)?) => {
        impl NodeMechanisms {
            /// The names of all mechanisms, as `part.mechanism`.
            pub const NAMES: &'static [&'static str] = &[$($name),+];

            /// Returns the mechanisms with all enabled except the one called `name`.
            ///
            /// # Errors
            ///
            /// Returns [`UnknownMechanism`] if no mechanism has that name.
            pub fn without(name: &str) -> Result<Self, UnknownMechanism> {
                let mut mechanisms = NodeMechanisms::default();
                match name {
                    $($name => mechanisms.$part.$switch = false,)+
                    _ => return Err(UnknownMechanism),
                }
                Ok(mechanisms)
            }
        }
    };
}

switches! {
    "edge.retry_budget" => edge.retry_budget,
    "edge.retry_ratio" => edge.retry_ratio,
    "edge.backoff" => edge.backoff,
    "edge.balancing" => edge.balancing,
    "edge.zone_preference" => edge.zone_preference,
    "edge.ejection" => edge.ejection,
    "edge.admission_levels" => edge.admission_levels,
    "edge.consistent_ranks" => edge.consistent_ranks,
    "edge.connection_limit" => edge.connection_limit,
    "edge.deadline_check" => edge.deadline_check,
    "edge.caller_limit" => edge.caller_limit,
    "edge.resume" => edge.resume,
    "gate.priority_queue" => gate.priority_queue,
    "gate.queue_timeout" => gate.queue_timeout,
    "gate.concurrency_limit" => gate.concurrency_limit,
    "gate.adaptive_limit" => gate.adaptive_limit,
    "gate.admission_level" => gate.admission_level,
    "gate.early_refusal" => gate.early_refusal,
    "gate.protected_reserve" => gate.protected_reserve,
    "gate.cold_start" => gate.cold_start,
    "gate.large_answer_limit" => gate.large_answer_limit,
    "gate.deadline_check" => gate.deadline_check,
    "gate.load_hint" => gate.load_hint,
    "gate.claims" => gate.claims,
    "gate.drain" => gate.drain,
    "claims.majority" => claims.majority,
    "claims.epoch_fence" => claims.epoch_fence,
    "claims.takeover_collect" => claims.takeover_collect,
    "claims.keep_claimed" => claims.keep_claimed,
    "claims.incarnation_check" => claims.incarnation_check,
    "claims.voter_overlap" => claims.voter_overlap,
    "claims.voter_settle" => claims.voter_settle,
    "claims.dispatch_deadline" => claims.dispatch_deadline,
    "claims.export_seal" => claims.export_seal,
    "claims.import_record" => claims.import_record,
    "group.pre_vote" => group.pre_vote,
    "group.check_quorum" => group.check_quorum,
    "group.incarnation_identity" => group.incarnation_identity,
    "group.one_at_a_time" => group.one_at_a_time,
    "group.electorate_quorum" => group.electorate_quorum,
    "group.complete_log_vote" => group.complete_log_vote,
    "group.single_vote" => group.single_vote,
    "group.forming_fence" => group.forming_fence,
    "group.loss_statement" => group.loss_statement,
    "control.configuration_monotonic" => control.configuration_monotonic,
    "control.readiness_asks_peers" => control.readiness_asks_peers,
    "control.seal_before_move" => control.seal_before_move,
    "control.unseal_needs_proof" => control.unseal_needs_proof,
    "control.import_before_open" => control.import_before_open,
    "control.hold_on_refusals" => control.hold_on_refusals,
    "control.drain_closes_gate" => control.drain_closes_gate,
    "control.confirm_checks_base" => control.confirm_checks_base,
    "control.takeover_waits_for_lease" => control.takeover_waits_for_lease,
    "membership.indirect_probes" => membership.indirect_probes,
    "membership.refutation" => membership.refutation,
    "membership.pause_guard" => membership.pause_guard,
}
