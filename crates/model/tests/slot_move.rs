//! The properties of the slot move models hold in every reachable state, and each mutation violates one of them.

use quillhatch_model::{list, run};
use test_case::test_case;

#[test_case("slot-move")]
#[test_case("slot-move-again")]
fn every_property_holds_in_every_reachable_state(model: &str) {
    let exploration = run(model, None).expect("the model is listed");
    println!("{model}: {} states, depth {}", exploration.states, exploration.depth);
    assert_eq!(exploration.violation, None);
    assert!(exploration.complete, "not explored to its end");
}

#[test]
fn every_mutation_violates_a_property() {
    for info in list().into_iter().filter(|info| info.name.starts_with("slot-")) {
        for mutation in &info.mutations {
            let exploration = run(info.name, Some(mutation)).expect("the mutation is listed");
            let trace = exploration.violation.unwrap_or_else(|| panic!("{} without {mutation}", info.name));
            println!("{} without {mutation}: {} after {} steps", info.name, trace.property, trace.steps.len());
        }
    }
}
