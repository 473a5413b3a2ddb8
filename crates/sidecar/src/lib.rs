//! A sidecar process: one thread that takes calls of callers and of its own target, hands calls of other nodes to its
//! target, and follows the platform's store. What it decides is in `quillhatch-mesh`.

pub mod body;
pub mod caller_io;
pub mod clock;
pub mod counters;
pub mod datagrams;
pub mod edge;
pub mod feed;
pub mod gate;
pub mod headers;
pub mod hop;
pub mod keyed_lock;
pub mod limits;
pub mod listener;
pub mod liveness;
pub mod local_target;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod pipeline;
pub mod pool;
pub mod quarantine;
pub mod relay;
pub mod run;
pub mod stop;
pub mod store;
pub mod store_view;
pub mod tenancy;
