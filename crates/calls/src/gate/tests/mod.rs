//! Tests of the gate: tables of single rules, invariants under random inputs, and runs against a simulated back end.

mod adaptive;
mod back_end;
mod invariants;
mod lanes;
mod limits;
mod parts;
mod rules;
mod support;
