//! Stand-ins for the platform and the back ends, and a load generator.
//!
//! They replace the systems around quillhatch in tests, in the demo and in benchmarks. Only the stand-in back ends and
//! the load generator record which calls ran and how they ended, so that checks don't rely on the product's own
//! reports.

pub mod backend;
pub mod content;
pub mod load;
pub mod platform;
pub mod server;
