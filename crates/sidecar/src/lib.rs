//! A sidecar process. On one thread it accepts calls from callers and from its local target, forwards calls of other
//! nodes to that target, and replicates the platform's store. `quillhatch-mesh` contains the decision logic.

pub mod body;
pub mod caller_io;
pub mod calls_in_progress;
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
pub mod peer_io;
pub mod pipeline;
pub mod pool;
pub mod quarantine;
pub mod relay;
pub mod run;
pub mod stop;
pub mod store;
pub mod store_view;
pub mod stream;
pub mod supervision;
pub mod tenancy;
