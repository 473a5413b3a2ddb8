//! The properties of the group models hold, and each mutation violates one of them.

use quillhatch_model::{list, run};

#[test]
fn the_properties_hold_and_every_mutation_violates_one() {
    for model in list().into_iter().filter(|model| model.name.starts_with("group-")) {
        let exploration = run(model.name, None).unwrap();
        println!("{}: {} states, depth {}", model.name, exploration.states, exploration.depth);
        assert_eq!(exploration.violation, None, "{}", model.name);
        for mutation in model.mutations {
            let mutated = run(model.name, Some(mutation)).unwrap();
            let trace = mutated.violation.unwrap_or_else(|| panic!("{}: {mutation} is not caught", model.name));
            println!("{} without {mutation}: {} after {} steps", model.name, trace.property, trace.steps.len());
        }
    }
}
