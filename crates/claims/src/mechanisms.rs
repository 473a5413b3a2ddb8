//! Switches that take one safety check out of the protocol, for the simulation and the model only.

use derive_more::{Display, Error};

macro_rules! mechanisms {
    ($($(#[$documentation:meta])* $name:ident),+ $(,)?) => {
        /// The checks that at-most-once execution rests on; all are on in production.
        ///
        /// The simulation and the model switch one off by name to show that it is needed.
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

            /// All mechanisms but the one called `name`.
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
    /// A claim, a collection and a transfer need a majority of the voters, not any one of them.
    majority,
    /// A repeat of a key that is claimed is refused.
    refuse_repeats,
    /// A voter refuses records under an epoch below the one it promised for the slot.
    epoch_fence,
    /// A new owner collects the slot's claims from a majority before it opens.
    takeover_collect,
    /// A claim that a former owner left as claimed stays claimed at the new owner.
    keep_claimed,
    /// Only the run of a voter that is named in the table counts, not another run at the same address.
    incarnation_check,
    /// While the voters change, a majority of the old and of the new set is needed.
    voter_overlap,
    /// Owners record their live claims on a majority of the new voters before the old set is dropped.
    voter_settle,
    /// A granted call is not dispatched after its deadline, before which no voter forgets the claim.
    dispatch_deadline,
    /// A slot is sealed on a majority before its claims are handed to another site.
    export_seal,
    /// The claims of an imported slot are recorded on a majority before the slot is said to be imported.
    import_record,
}
