//! Routing of each part's outputs to other parts or out of the node.

mod calls;
mod control;
mod messages;
