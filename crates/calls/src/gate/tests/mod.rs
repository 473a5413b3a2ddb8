//! Tests of the gate: tables for single rules, invariants under random inputs, and runs against a simulated back end.

mod adaptive;
mod back_end;
mod components;
mod invariants;
mod lanes;
mod limits;
mod rules;
mod support;
