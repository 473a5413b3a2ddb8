//! Stand-ins for the platform and the back ends, and a load generator.
//!
//! They take the place of the systems around quillhatch in tests, in the demo and in measurements. The record of what
//! really happened is kept by the stand-in back ends and by the load generator, never by the product.

pub mod backend;
pub mod content;
pub mod load;
pub mod platform;
pub mod server;
