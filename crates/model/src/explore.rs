//! Explores all states of a specification breadth-first, and reports the shortest way to a violated property.
//!
//! Implement [`Specification`] for a small protocol world whose nodes are the real step functions, and hand it to
//! [`explore`] with [`Bounds`]. The search is `pathfinding`'s; states are compared exactly, not by a digest.

use std::cell::{Cell, RefCell};
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use derive_more::Display;
use pathfinding::directed::bfs::bfs;
use pathfinding::NodeRefs;

#[cfg(test)]
#[path = "explore_tests.rs"]
mod tests;

/// What happened in one step of a trace, for a reader; written out only for the steps of a trace.
#[derive(Clone, Display)]
pub struct ActionLabel(Rc<dyn std::fmt::Display>);

impl ActionLabel {
    /// A label that shows `action`.
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

/// A world of nodes, messages and faults whose states can be enumerated.
pub trait Specification {
    /// One state; equal states have equal futures.
    type State: Clone + Eq + Hash;

    /// The states in which the world may start.
    fn initial_states(&self) -> Vec<Self::State>;

    /// Everything that may happen next, each with the state it leads to.
    fn successors(&self, state: &Self::State) -> Vec<(ActionLabel, Self::State)>;

    /// A property that does not hold in `state`.
    fn violated(&self, state: &Self::State) -> Option<Property>;
}

/// Up to where to explore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// States at this distance from a start are checked and not followed further.
    pub depth: usize,
    /// The search stops after following this many states, to bound memory; see [`Exploration::complete`].
    pub states: usize,
}

/// The shortest way to a violated property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The property.
    pub property: Property,
    /// What happened, in order.
    pub steps: Vec<String>,
}

/// What an exploration found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// The number of distinct states that were followed.
    pub states: usize,
    /// The greatest distance from a start of a state that was followed.
    pub depth: usize,
    /// Whether no state was left out for a bound: without a violation, the properties hold in every reachable state.
    pub complete: bool,
    /// The shortest way to a violated property, if there is one.
    pub violation: Option<Trace>,
}

/// A state with its distance from the start, which is no part of its identity.
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
    let starts: Vec<Node<S::State>> =
        specification.initial_states().into_iter().map(|state| Node { state, depth: 0 }).collect();
    let progress = RefCell::new(Exploration { states: 0, depth: 0, complete: true, violation: None });
    let successors = |node: &Node<S::State>| follow(specification, node, bounds, &progress);
    let found = Cell::new(None);
    let success = |node: &Node<S::State>| {
        let property = specification.violated(&node.state);
        found.set(property);
        property.is_some()
    };
    let path = bfs(starts.iter().collect::<NodeRefs<_>>(), successors, success);
    let mut exploration = progress.into_inner();
    if let (Some(path), Some(property)) = (path, found.get()) {
        exploration.violation = Some(Trace { property, steps: label_path(specification, &path) });
    }
    exploration
}

fn follow<S: Specification>(
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

/// Finds the labels again that lead from each state of the path to the next.
fn label_path<S: Specification>(specification: &S, path: &[Node<S::State>]) -> Vec<String> {
    path.windows(2)
        .filter_map(|pair| {
            let successors = specification.successors(&pair[0].state);
            successors.into_iter().find(|(_, state)| *state == pair[1].state).map(|(label, _)| label.to_string())
        })
        .collect()
}
