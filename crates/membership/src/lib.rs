//! Failure detection and membership between nodes.
