//! The decisions of a sidecar: which target a call is sent to, whether it runs, waits or is refused, and whether it is
//! retried.
//!
//! This crate does no input or output: the current time is an argument, and random numbers come from a generator that
//! the caller owns. A sidecar has an **edge**, which takes calls from callers and from its own target, and a **gate**
//! in front of its own target. Neither needs agreement between nodes.

pub mod admission_level;
pub mod authentication;
pub mod balance;
pub mod breaker;
pub mod call_graph;
pub mod callers;
pub mod capacity;
pub mod configuration;
pub mod durations;
pub mod feed;
pub mod freshness;
pub mod gate;
pub mod health;
pub mod limits;
pub mod mechanisms;
pub mod parents;
pub mod quarantine;
pub mod queue;
mod rate;
pub mod replica;
pub mod retry_budget;
pub mod routing;
pub mod settings;
pub mod shutdown;
pub mod store_reader;
pub mod stream_monitor;
pub mod target_limit;
pub mod targets;
pub mod tenants;
