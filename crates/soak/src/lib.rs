//! A randomized fault soak of real sidecar processes on one machine.
//!
//! Machines are addresses of the loopback range. Each has a sidecar process, a stand-in target, callers, and a proxy
//! through which other nodes reach it. Faults are injected from outside: links are delayed, reset, blocked in one or
//! both directions; processes are stopped, suspended, killed and restarted; the store refuses requests or does not
//! respond. One kind of request crashes the targets that run it. The guarantees are checked against what callers and
//! targets observed, never against the product's own counters.
//!
//! Rounds of faults alternate with fault-free rounds of planned work. In addition,
//! long outages of the store ([`outages`]), slow calls ([`slow_calls`]), series of stops ([`stop_series`]), restores of
//! the store ([`restores`]) or targets that send without end ([`endless`]) may be played. Some guarantees hold at any time
//! ([`checks::check_always`]); those with a time bound hold only without recent faults ([`checks::check_fault_free`]).

pub mod checks;
mod crashes;
pub mod endless;
pub mod faults;
pub mod layout;
pub mod links;
mod lost;
pub mod machine;
pub mod outages;
mod pipelined_calls;
mod planned_work;
pub mod proxy;
pub mod record;
pub mod restores;
pub mod run;
pub mod slow_calls;
pub mod stop_series;
pub mod target_status;
pub mod tenancy;
pub mod traffic;
