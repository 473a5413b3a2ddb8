//! The HTTP code shared by the listeners for callers and for peers: the server, header rules, bodies and problem
//! documents.

pub mod body;
pub mod headers;
pub mod problem;
pub mod server;

pub use body::{AnswerBody, BodyError};

/// An HTTP response of a listener.
pub type Answer = hyper::Response<AnswerBody>;
