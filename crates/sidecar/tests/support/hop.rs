//! What a stand-in for a gate reports.

use quillhatch_mesh::admission_level::AdmissionLevel;
use quillhatch_mesh::callers::CallerKind;
use quillhatch_mesh::gate::GateLoad;
use quillhatch_mesh::target_limit::KnownLimit;
use quillhatch_sidecar::hop::{GateOutcome, HopReport};
use quillhatch_sidecar::store_view::own_store_view;

use super::Machine;

/// The report of a gate whose target has responded, with the view of the store of `machine`.
pub fn report(machine: &Machine) -> HopReport {
    HopReport {
        outcome: GateOutcome::Answered,
        load: GateLoad { running: 1, limit: 4, waiting: 0 },
        admission_level: AdmissionLevel::FULL,
        health: 1.0,
        caller_kind: CallerKind::Unknown,
        store_view: own_store_view(machine.node()),
        proof: None,
        current_target: None,
        rate_limit: KnownLimit::Unknown,
        drain_notice: None,
        retry_level: AdmissionLevel::FULL,
    }
}
