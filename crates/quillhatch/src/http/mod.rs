//! What the listeners of callers and of peers have in common: the server, header rules, bodies and problem documents.

pub mod body;
pub mod headers;
pub mod problem;
pub mod server;

pub use body::{AnswerBody, BodyError};

/// The answer of a listener.
pub type Answer = hyper::Response<AnswerBody>;
