use super::{explore, ActionLabel, Bounds, Property, Specification};

/// Two counters that rise by one, up to a limit; the property is that they never meet at the forbidden value.
struct Counters {
    limit: u8,
    forbidden: Option<u8>,
}

impl Specification for Counters {
    type State = (u8, u8);

    fn initial_states(&self) -> Vec<(u8, u8)> {
        vec![(0, 1), (1, 0)]
    }

    fn successors(&self, (first, second): &(u8, u8)) -> Vec<(ActionLabel, (u8, u8))> {
        let both = [("first", (first + 1, *second)), ("second", (*first, second + 1))];
        let allowed = |(_, (first, second)): &(&str, (u8, u8))| *first <= self.limit && *second <= self.limit;
        both.into_iter().filter(allowed).map(|(label, state)| (label.into(), state)).collect()
    }

    fn violated(&self, (first, second): &(u8, u8)) -> Option<Property> {
        (first == second && Some(*first) == self.forbidden).then_some(Property("apart"))
    }
}

const ENOUGH: Bounds = Bounds { depth: 100, states: 1_000 };

#[test]
fn all_states_are_counted_once() {
    let exploration = explore(&Counters { limit: 4, forbidden: None }, ENOUGH);
    assert_eq!((exploration.states, exploration.depth, exploration.complete), (24, 7, true));
    assert_eq!(exploration.violation, None);
}

#[test]
fn the_trace_is_a_shortest_one() {
    let exploration = explore(&Counters { limit: 4, forbidden: Some(2) }, ENOUGH);
    let trace = exploration.violation.expect("the counters meet");
    assert_eq!((trace.property, trace.steps.len()), (Property("apart"), 3));
}

#[test]
fn what_a_bound_leaves_out_is_said() {
    let counters = Counters { limit: 4, forbidden: Some(4) };
    for bounds in [Bounds { depth: 3, ..ENOUGH }, Bounds { states: 10, ..ENOUGH }] {
        let exploration = explore(&counters, bounds);
        assert!(!exploration.complete && exploration.violation.is_none());
    }
}
