//! Tests of the edge: the outputs that follow from its inputs.

mod balance;
mod harness;
mod limits;
mod owner;
mod resume;
mod retry;
mod tree;
