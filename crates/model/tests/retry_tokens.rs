//! The properties of the token models hold in every reachable state, and each mutation violates one of them.

use quillhatch_model::{list, run, ModelInfo};

fn token_models() -> impl Iterator<Item = ModelInfo> {
    list().into_iter().filter(|info| info.name.starts_with("retry-"))
}

#[test]
fn every_property_holds_in_every_reachable_state() {
    for info in token_models() {
        let exploration = run(info.name, None).expect("the model is listed");
        println!("{}: {} states, depth {}", info.name, exploration.states, exploration.depth);
        assert_eq!(exploration.violation, None, "{}", info.name);
        assert!(exploration.complete, "{} was not explored to its end", info.name);
    }
}

#[test]
fn every_mutation_violates_a_property() {
    for info in token_models() {
        for mutation in &info.mutations {
            let exploration = run(info.name, Some(mutation)).expect("the mutation is listed");
            let trace = exploration.violation.unwrap_or_else(|| panic!("{} without {mutation}", info.name));
            println!("{} without {mutation}: {} after {:?}", info.name, trace.property, trace.steps);
        }
    }
}
