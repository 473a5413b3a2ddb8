//! Agreement of a small group of nodes that keep no disk.
