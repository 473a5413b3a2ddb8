use super::{explore, ActionLabel, Bounds, Property, Specification};

/// Two counters that each increase by one up to a limit. The property is violated if both have the forbidden value.
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
        let increments = [("first", (first + 1, *second)), ("second", (*first, second + 1))];
        let allowed = |(_, (first, second)): &(&str, (u8, u8))| *first <= self.limit && *second <= self.limit;
        increments.into_iter().filter(allowed).map(|(label, state)| (label.into(), state)).collect()
    }

    fn violated(&self, (first, second): &(u8, u8)) -> Option<Property> {
        (first == second && Some(*first) == self.forbidden).then_some(Property("apart"))
    }
}

const AMPLE_BOUNDS: Bounds = Bounds { depth: 100, states: 1_000 };

#[test]
fn every_state_is_counted_once() {
    let exploration = explore(&Counters { limit: 4, forbidden: None }, AMPLE_BOUNDS);
    assert_eq!((exploration.states, exploration.depth, exploration.complete), (24, 7, true));
    assert_eq!(exploration.violation, None);
}

#[test]
fn the_trace_is_a_shortest_one() {
    let exploration = explore(&Counters { limit: 4, forbidden: Some(2) }, AMPLE_BOUNDS);
    let trace = exploration.violation.expect("the counters meet");
    assert_eq!((trace.property, trace.steps.len()), (Property("apart"), 3));
}

#[test]
fn a_limited_exploration_is_reported_as_incomplete() {
    let counters = Counters { limit: 4, forbidden: Some(4) };
    for bounds in [Bounds { depth: 3, ..AMPLE_BOUNDS }, Bounds { states: 10, ..AMPLE_BOUNDS }] {
        let exploration = explore(&counters, bounds);
        assert!(!exploration.complete && exploration.violation.is_none());
    }
}
