//! A randomized fault soak of real sidecar processes on one machine.
//!
//! Machines are addresses of the loopback range. Each has a sidecar process, a stand-in target, callers, and a proxy through which
//! other nodes reach it. Faults come from outside: links are delayed, reset, cut one way or silenced; processes are stopped,
//! frozen, killed and started again; the store turns machines away or hangs. One kind of request crashes the targets that run it. What is promised is checked from what callers and
//! targets saw, never from the product's own counters.
//!
//! Rounds of faults and of calm take turns. Some promises hold at any moment ([`checks::check_always`]), those with a time bound
//! only for machines that no fault has struck lately ([`checks::check_fault_free`]).

pub mod checks;
mod crashes;
pub mod faults;
pub mod layout;
pub mod links;
pub mod machine;
pub mod proxy;
pub mod record;
pub mod run;
pub mod tenancy;
pub mod traffic;
