//! Where the outputs of each part go.

mod calls;
mod control;
mod messages;
