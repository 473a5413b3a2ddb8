//! The properties of the claims models hold in every reachable state, and each mutation violates one of them.

use quillhatch_model::{list, run, ModelError, ModelInfo};

fn claims_models() -> Vec<ModelInfo> {
    list().into_iter().filter(|info| info.name.starts_with("claims-")).collect()
}

#[test]
fn every_property_holds_in_every_reachable_state() {
    for info in claims_models() {
        let exploration = run(info.name, None).expect("the model is listed");
        assert_eq!(exploration.violation, None, "{}", info.name);
        assert!(exploration.complete, "{} was not explored to its end", info.name);
    }
}

#[test]
fn every_mutation_violates_a_property() {
    for info in claims_models() {
        for mutation in &info.mutations {
            let exploration = run(info.name, Some(mutation)).expect("the mutation is listed");
            assert!(exploration.violation.is_some(), "{} without {mutation}", info.name);
        }
    }
}

#[test]
fn every_claim_mechanism_is_a_mutation_of_a_model() {
    let mutations: Vec<&str> = claims_models().into_iter().flat_map(|info| info.mutations).collect();
    for mechanism in quillhatch_claims::ClaimMechanisms::NAMES {
        assert!(mutations.contains(mechanism), "{mechanism}");
    }
}

#[test]
fn unknown_names_are_errors() {
    assert!(matches!(run("claims-nothing", None), Err(ModelError::UnknownModel { .. })));
    assert!(matches!(run("claims-move", Some("gravity")), Err(ModelError::UnknownMutation { .. })));
}
