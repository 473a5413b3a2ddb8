//! Tests of the edge: what its driver is told to do when something happens.

mod balance;
mod harness;
mod limits;
mod owner;
mod resume;
mod retry;
mod tree;
