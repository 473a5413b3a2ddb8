//! The whole node without input and output: edge, gate, claims and control behind one step function.
