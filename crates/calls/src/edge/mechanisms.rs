//! Switches for the mechanisms of the edge, all enabled by default.
//!
//! The simulation disables a mechanism to show its effect; operators never need to.

use derive_more::{Display, Error};

/// No mechanism has the given name.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("the edge has no mechanism called {name:?}")]
pub struct UnknownMechanism {
    /// The requested name.
    pub name: String,
}

macro_rules! mechanisms {
    ($($(#[$documentation:meta])* $name:ident,)*) => {
        /// Which mechanisms of the edge are enabled.
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

            /// Disables the mechanism called `name`.
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
    /// Retries consume tokens that are shared along a call tree.
    retry_budget,
    /// Retries of a class are limited to a percentage of its first attempts.
    retry_ratio,
    /// Retries wait for a random delay that grows exponentially.
    backoff,
    /// Of two random targets the one with the lower latency and load is chosen; otherwise a random one.
    balancing,
    /// Targets in the local zone are preferred.
    zone_preference,
    /// Targets that keep failing are temporarily excluded.
    ejection,
    /// Calls above a target's admission level are not sent to it.
    admission_levels,
    /// All hops rank the calls of one root alike; otherwise each attempt's rank is random.
    consistent_ranks,
    /// The attempts in flight to a target are limited to its number of connections.
    connection_limit,
    /// Calls with too little time left are refused before an attempt is sent.
    deadline_check,
    /// The retries and the call rate of each caller are limited.
    caller_limit,
    /// Interrupted downloads are resumed from another target.
    resume,
}
