//! Switches for the mechanisms of the edge, all on by default.
//!
//! The simulation switches a mechanism off to show what it is for; an operator never needs to.

use derive_more::{Display, Error};

/// No mechanism has the given name.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the edge has no mechanism called {name:?}")]
pub struct UnknownMechanism {
    /// The name asked for.
    pub name: String,
}

macro_rules! mechanisms {
    ($($(#[$documentation:meta])* $name:ident,)*) => {
        /// Which mechanisms of the edge are on.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub struct EdgeMechanisms {
            $($(#[$documentation])* pub $name: bool,)*
        }

        impl Default for EdgeMechanisms {
            fn default() -> Self {
                EdgeMechanisms { $($name: true,)* }
            }
        }

        impl EdgeMechanisms {
            /// The names of all mechanisms.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($name),)*];

            /// Switches the mechanism called `name` off.
            ///
            /// # Errors
            ///
            /// Returns an error if there is no such mechanism.
            pub fn disable(&mut self, name: &str) -> Result<(), UnknownMechanism> {
                match name {
                    $(stringify!($name) => self.$name = false,)*
                    _ => return Err(UnknownMechanism { name: name.to_owned() }),
                }
                Ok(())
            }
        }
    };
}

mechanisms! {
    /// Retries consume tokens that move with the calls of a tree.
    retry_budget,
    /// Retries of a class are at most a share of its first tries.
    retry_ratio,
    /// Retries wait for a random, growing time.
    backoff,
    /// The better of two targets is taken, by latency and load; else any.
    balancing,
    /// Targets of the same zone are taken first.
    zone_preference,
    /// Targets that keep failing are left out for a while.
    ejection,
    /// Calls above a target's admission level are not sent to it.
    admission_levels,
    /// All hops order the same roots alike; else each attempt's place is random.
    consistent_ranks,
    /// The attempts in flight to a target are at most its connections.
    connection_limit,
    /// Calls with too little time left are refused before any work.
    deadline_check,
    /// Callers that repeat requests or call very often are limited.
    caller_limit,
    /// Broken downloads go on from another target.
    resume,
}
