//! Explores all states of a specification breadth-first and reports a shortest trace to a violated property.
//!
//! Implement [`Specification`] for a small system whose nodes run the real step functions, and pass it to [`explore`]
//! with [`Bounds`]. The search is that of the crate `pathfinding`. States are compared exactly, not by a hash, so that
//! a collision cannot hide a state.

use std::cell::{Cell, RefCell};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use derive_more::Display;
use pathfinding::directed::bfs::bfs;
use pathfinding::NodeRefs;

#[cfg(test)]
#[path = "explore_tests.rs"]
mod tests;

/// The label of an action. It is formatted only for the steps of a trace.
#[derive(Clone, Display)]
pub struct ActionLabel(Rc<dyn std::fmt::Display>);

impl ActionLabel {
    /// Creates a label that displays `action`.
    pub fn new(action: Rc<dyn std::fmt::Display>) -> Self {
        ActionLabel(action)
    }
}

impl From<String> for ActionLabel {
    fn from(text: String) -> Self {
        ActionLabel(Rc::new(text))
    }
}

impl From<&'static str> for ActionLabel {
    fn from(text: &'static str) -> Self {
        ActionLabel(Rc::new(text))
    }
}

/// The name of a property that must hold in every state.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Property(pub &'static str);

/// A system of nodes, messages and faults whose states can be enumerated.
pub trait Specification {
    /// One state of the system. Equal states have equal successors.
    type State: Clone + Eq + Hash;

    /// Returns the possible initial states.
    fn initial_states(&self) -> Vec<Self::State>;

    /// Returns all actions that are possible in `state`, each with the state to which it leads.
    fn successors(&self, state: &Self::State) -> Vec<(ActionLabel, Self::State)>;

    /// Returns a property that does not hold in `state`, if any.
    fn violated(&self, state: &Self::State) -> Option<Property>;
}

/// The bounds of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// States at this distance from an initial state are checked, but their successors are not explored.
    pub depth: usize,
    /// The maximum number of states whose successors are explored, to bound the memory used; see
    /// [`Exploration::complete`].
    pub states: usize,
}

/// A shortest trace to a violated property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The violated property.
    pub property: Property,
    /// The labels of the actions in order.
    pub steps: Vec<String>,
}

/// The result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// The number of distinct states whose successors were explored.
    pub states: usize,
    /// The maximum distance of these states from an initial state.
    pub depth: usize,
    /// Whether no bound has limited the exploration. If so and without a violation, the properties hold in every
    /// reachable state.
    pub complete: bool,
    /// A shortest trace to a violated property, if there is one.
    pub violation: Option<Trace>,
}

/// A state with its distance from an initial state. Equality ignores the distance.
#[derive(Clone)]
struct Node<S> {
    state: S,
    depth: usize,
}

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Explores `specification` within `bounds`.
pub fn explore<S: Specification>(specification: &S, bounds: Bounds) -> Exploration {
    let initial_nodes: Vec<Node<S::State>> =
        specification.initial_states().into_iter().map(|state| Node { state, depth: 0 }).collect();
    let progress = RefCell::new(Exploration { states: 0, depth: 0, complete: true, violation: None });
    let successors = |node: &Node<S::State>| bounded_successors(specification, node, bounds, &progress);
    let violated_property = Cell::new(None);
    let success = |node: &Node<S::State>| {
        let property = specification.violated(&node.state);
        violated_property.set(property);
        property.is_some()
    };
    let path = bfs(initial_nodes.iter().collect::<NodeRefs<_>>(), successors, success);
    let mut exploration = progress.into_inner();
    if let (Some(path), Some(property)) = (path, violated_property.get()) {
        exploration.violation = Some(Trace { property, steps: label_path(specification, &path) });
    }
    exploration
}

fn bounded_successors<S: Specification>(
    specification: &S,
    node: &Node<S::State>,
    bounds: Bounds,
    progress: &RefCell<Exploration>,
) -> Vec<Node<S::State>> {
    let mut progress = progress.borrow_mut();
    if progress.states >= bounds.states {
        progress.complete = false;
        return Vec::new();
    }
    progress.states += 1;
    progress.depth = progress.depth.max(node.depth);
    let successors = specification.successors(&node.state);
    if node.depth >= bounds.depth && !successors.is_empty() {
        progress.complete = false;
        return Vec::new();
    }
    let depth = node.depth + 1;
    successors.into_iter().map(|(_, state)| Node { state, depth }).collect()
}

/// Recomputes the labels of the actions along the path, since the search does not store them.
fn label_path<S: Specification>(specification: &S, path: &[Node<S::State>]) -> Vec<String> {
    path.windows(2)
        .filter_map(|pair| {
            let successors = specification.successors(&pair[0].state);
            successors.into_iter().find(|(_, state)| *state == pair[1].state).map(|(label, _)| label.to_string())
        })
        .collect()
}
