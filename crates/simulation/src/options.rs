//! What to simulate: profile, scenario, policy, mechanism to leave out and seed.

use derive_more::{Display, Error};
use quillhatch_node::NodeMechanisms;
use serde::{Deserialize, Serialize};

/// A text that names none of the accepted values.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("unknown {kind} {text:?}; known are {known}")]
pub struct UnknownName {
    /// What was to be named.
    pub kind: &'static str,
    /// The text.
    pub text: String,
    /// The accepted names.
    pub known: String,
}

macro_rules! named_choice {
    ($(#[$documentation:meta])* $name:ident, $kind:literal, { $($(#[$variant_documentation:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum $name {
            $($(#[$variant_documentation])* #[display($text)] #[serde(rename = $text)] $variant,)*
        }

        impl $name {
            /// All values, in the order of the documentation.
            pub fn all() -> &'static [$name] {
                &[$($name::$variant,)*]
            }

            /// The value called `text`.
            ///
            /// # Errors
            ///
            /// Returns the accepted names if there is no such value.
            pub fn parse(text: &str) -> Result<Self, UnknownName> {
                match text {
                    $($text => Ok($name::$variant),)*
                    _ => Err(UnknownName {
                        kind: $kind,
                        text: text.to_owned(),
                        known: [$($text,)*].join(", "),
                    }),
                }
            }
        }
    };
}

named_choice!(
    /// A deployment to emulate, with its services, sizes, latencies and traffic.
    Profile, "profile", {
        /// Alumni services: directory, giving, archives, events.
        Prairie = "prairie",
        /// Parking services: availability, valet custody, billing, fleets.
        Bajio = "bajio",
    }
);

named_choice!(
    /// What happens during a run.
    Scenario, "scenario", {
        /// Nothing but the normal load.
        Steady = "steady",
        /// Twice the capacity is offered.
        Surge = "surge",
        /// The deepest service slows down.
        SlowDeep = "slow-deep",
        /// A slow deep service and a surge of callers that retry hard; then all causes end.
        Metastable = "metastable",
        /// The configuration service does not answer.
        ConfigDown = "config-down",
        /// The configuration service answers with an older revision.
        ConfigStale = "config-stale",
        /// An edge, a gate and a group leader are paused and wake up late.
        Pause = "pause",
        /// Zones, then sites, lose contact.
        Partition = "partition",
        /// Every machine of a service is replaced, one after the other.
        RollingReplace = "rolling-replace",
        /// A back end is retired.
        Retire = "retire",
        /// A share of a service moves to the other site.
        Move = "move",
        /// The sites lose contact in the middle of a move.
        MovePartition = "move-partition",
        /// Nodes are stopped as planned under downloads.
        Stop = "stop",
        /// A majority of a service's machines at one site lose their memory at once.
        LoseMajority = "lose-majority",
        /// A mix of all of these, drawn from the seed.
        Storm = "storm",
    }
);

named_choice!(
    /// How calls are handled between callers and back ends.
    PolicyKind, "policy", {
        /// The product.
        Quillhatch = "quillhatch",
        /// Each hop retries three times with a timeout, without limits.
        Direct = "direct",
        /// As `direct`, with a fixed concurrency limit and a queue per target.
        StaticLimit = "static-limit",
    }
);

/// A mechanism of the product that a run leaves out, to show what it is for: `part.mechanism`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0}")]
pub struct Mechanism(&'static str);

impl Mechanism {
    /// Cancellation carried down the call chain; left out at the border between program and node.
    pub const CANCELLATION: Mechanism = Mechanism("program.cancellation");
    /// A fresh incarnation for every start of a process; left out at the start.
    pub const INCARNATION: Mechanism = Mechanism("program.incarnation");

    /// All mechanisms: those that a node can leave out, and those of the program around it.
    pub fn all() -> impl Iterator<Item = Mechanism> {
        let of_node = NodeMechanisms::NAMES.iter().copied().map(Mechanism);
        of_node.chain([Self::CANCELLATION, Self::INCARNATION])
    }

    /// The mechanism called `text`.
    ///
    /// # Errors
    ///
    /// Returns the accepted names if there is no such mechanism.
    pub fn parse(text: &str) -> Result<Self, UnknownName> {
        Self::all().find(|mechanism| mechanism.0 == text).ok_or_else(|| UnknownName {
            kind: "mechanism",
            text: text.to_owned(),
            known: Self::all().map(|mechanism| mechanism.0).collect::<Vec<_>>().join(", "),
        })
    }

    /// The mechanisms of a node without this one.
    pub(crate) fn left_out(self) -> NodeMechanisms {
        // A mechanism of the program is none of the node's, which then keeps all of its own.
        NodeMechanisms::without(self.0).unwrap_or_default()
    }
}

/// One run of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOptions {
    /// The deployment.
    pub profile: Profile,
    /// What happens.
    pub scenario: Scenario,
    /// How calls are handled.
    pub policy: PolicyKind,
    /// The mechanism left out, if any; only for [`PolicyKind::Quillhatch`].
    pub disabled: Option<Mechanism>,
    /// The seed of every random number of the run.
    pub seed: u64,
}
