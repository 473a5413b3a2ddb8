//! The experiments that can be run.

use quillhatch_simulation::{Mechanism, PolicyKind, Scenario};

use super::{Comparison, Experiment, Variant};

/// All experiments.
pub fn all() -> Vec<Experiment> {
    vec![overload(), faults(), moves(), call_mechanisms(), control_mechanisms()]
}

/// The experiment called `name`.
pub fn find(name: &str) -> Option<Experiment> {
    all().into_iter().find(|experiment| experiment.name == name)
}

fn overload() -> Experiment {
    Experiment {
        name: "overload",
        description: "Goodput through an overload and after it, and the time until recovery, by policy.",
        comparisons: [Scenario::Metastable, Scenario::Surge, Scenario::SlowDeep].map(policies).to_vec(),
        by_class: true,
    }
}

fn faults() -> Experiment {
    let scenarios = [
        Scenario::Pause,
        Scenario::Partition,
        Scenario::RollingReplace,
        Scenario::Retire,
        Scenario::Stop,
        Scenario::LoseMajority,
        Scenario::ConfigDown,
        Scenario::ConfigStale,
        Scenario::Storm,
    ];
    Experiment {
        name: "faults",
        description: "What callers and back ends saw under faults and planned changes, by policy.",
        comparisons: scenarios.map(policies).to_vec(),
        by_class: false,
    }
}

/// The scenario under each policy.
fn policies(scenario: Scenario) -> Comparison {
    let variant = |label, policy| Variant { label, scenario, policy, disabled: None };
    Comparison {
        name: scenario.to_string(),
        variants: vec![
            variant("quillhatch", PolicyKind::Quillhatch),
            variant("direct", PolicyKind::Direct),
            variant("static-limit", PolicyKind::StaticLimit),
        ],
    }
}

fn moves() -> Experiment {
    let variant = |label, scenario| Variant { label, scenario, policy: PolicyKind::Quillhatch, disabled: None };
    Experiment {
        name: "move",
        description: "What a move of a service to the other site costs, also when the sites lose contact during it.",
        comparisons: vec![Comparison {
            name: "move".to_owned(),
            variants: vec![
                variant("move", Scenario::Move),
                variant("move-partition", Scenario::MovePartition),
                variant("steady", Scenario::Steady),
            ],
        }],
        by_class: true,
    }
}

fn call_mechanisms() -> Experiment {
    Experiment {
        name: "mechanisms-calls",
        description: "Each mechanism of edge, gate and program taken out alone, in a scenario that it is for.",
        comparisons: mechanisms_of(&["edge.", "gate.", "program."]),
        by_class: false,
    }
}

fn control_mechanisms() -> Experiment {
    Experiment {
        name: "mechanisms-control",
        description:
            "Each mechanism of claims, groups, control and membership taken out alone, in a scenario that it is for.",
        comparisons: mechanisms_of(&["claims.", "group.", "control.", "membership."]),
        by_class: false,
    }
}

fn mechanisms_of(parts: &[&str]) -> Vec<Comparison> {
    let belongs = |mechanism: &Mechanism| parts.iter().any(|part| mechanism.to_string().starts_with(part));
    Mechanism::all().filter(belongs).map(without).collect()
}

fn without(mechanism: Mechanism) -> Comparison {
    let scenario = scenario_for(mechanism);
    let variant = |label, disabled| Variant { label, scenario, policy: PolicyKind::Quillhatch, disabled };
    Comparison {
        name: format!("{mechanism} ({scenario})"),
        variants: vec![variant("quillhatch", None), variant("without the mechanism", Some(mechanism))],
    }
}

/// Scenarios in which the lack of a mechanism ought to show, by the beginning of its name; the first that fits counts.
const SCENARIOS: &[(&str, Scenario)] = &[
    ("edge.balancing", Scenario::Steady),
    ("edge.zone_preference", Scenario::Steady),
    ("edge.ejection", Scenario::RollingReplace),
    ("edge.resume", Scenario::RollingReplace),
    ("edge.consistent_ranks", Scenario::Surge),
    ("edge.connection_limit", Scenario::Surge),
    ("edge.", Scenario::Metastable),
    ("gate.cold_start", Scenario::RollingReplace),
    ("gate.priority_queue", Scenario::Surge),
    ("gate.protected_reserve", Scenario::Surge),
    ("gate.large_answer_limit", Scenario::Surge),
    ("gate.load_hint", Scenario::SlowDeep),
    ("gate.claims", Scenario::Metastable),
    ("gate.drain", Scenario::Retire),
    ("gate.", Scenario::Metastable),
    ("program.cancellation", Scenario::Metastable),
    ("program.incarnation", Scenario::LoseMajority),
    ("control.configuration_monotonic", Scenario::ConfigStale),
    ("control.readiness_asks_peers", Scenario::ConfigStale),
    ("control.drain_closes_gate", Scenario::Retire),
    ("control.hold_on_refusals", Scenario::Move),
    ("control.seal_before_move", Scenario::MovePartition),
    ("control.unseal_needs_proof", Scenario::MovePartition),
    ("control.import_before_open", Scenario::MovePartition),
    ("claims.export_seal", Scenario::MovePartition),
    ("claims.import_record", Scenario::MovePartition),
    ("claims.dispatch_deadline", Scenario::Pause),
    ("membership.pause_guard", Scenario::Pause),
];

/// A scenario for the mechanism; a storm, which mixes all faults, if there is none of its own.
fn scenario_for(mechanism: Mechanism) -> Scenario {
    let name = mechanism.to_string();
    let found = SCENARIOS.iter().find(|(beginning, _)| name.starts_with(beginning));
    found.map_or(Scenario::Storm, |(_, scenario)| *scenario)
}
