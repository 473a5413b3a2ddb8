//! Switches that disable one safety check of the protocol each, for the simulation and the model only.

use derive_more::{Display, Error};

macro_rules! mechanisms {
    ($($(#[$documentation:meta])* $name:ident),+ $(,)?) => {
        /// The checks that at-most-once execution depends on; all are enabled in production.
        ///
        /// The simulation and the model disable one by name to show that it is needed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub struct ClaimMechanisms {
            $($(#[$documentation])* pub $name: bool,)+
        }

        impl Default for ClaimMechanisms {
            fn default() -> Self {
                ClaimMechanisms { $($name: true,)+ }
            }
        }

        impl ClaimMechanisms {
            /// The names of all mechanisms.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($name)),+];

            /// Enables all mechanisms except the one called `name`.
            ///
            /// # Errors
            ///
            /// Returns [`UnknownMechanism`] if no mechanism has that name.
            pub fn without(name: &str) -> Result<Self, UnknownMechanism> {
                let mut mechanisms = Self::default();
                match name {
                    $(stringify!($name) => mechanisms.$name = false,)+
                    _ => return Err(UnknownMechanism),
                }
                Ok(mechanisms)
            }
        }
    };
}

/// No mechanism has the given name.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("there is no such mechanism")]
pub struct UnknownMechanism;

mechanisms! {
    /// Recording a claim, collecting a slot's claims and transferring a slot need a majority of the voters, not just
    /// one.
    majority,
    /// A retry with a key that is already claimed is refused.
    refuse_repeats,
    /// A voter refuses records under an epoch lower than the one it promised for the slot.
    epoch_fence,
    /// A new owner collects the slot's claims from a majority before it grants claims.
    takeover_collect,
    /// A new owner keeps a claim that a former owner left without an outcome as claimed.
    keep_claimed,
    /// Only the incarnation of a voter that the table lists counts, not another process at the same address.
    incarnation_check,
    /// While the voters change, a majority of the old set and a majority of the new set are needed.
    voter_overlap,
    /// Owners record their unexpired claims on a majority of the new voters before the old set is dropped.
    voter_settle,
    /// A granted call is not dispatched after its deadline; no voter drops the claim before that deadline.
    dispatch_deadline,
    /// A slot is sealed on a majority before its claims are transferred to another site.
    export_seal,
    /// The claims of an imported slot are recorded on a majority before the import is reported as complete.
    import_record,
}
