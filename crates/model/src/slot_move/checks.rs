//! The checks of a move that a mutation can take out.

use quillhatch_control::ControlMechanisms;

/// Which checks are in force. The first three are switches of the product, named alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Checks {
    /// A slot has no owner while it is on its way.
    pub seal_before_move: bool,
    /// A sealed slot is opened again only with the other site's word that it will never accept it.
    pub unseal_needs_proof: bool,
    /// A slot opens at the new site only after a gate there has recorded the claims.
    pub import_before_open: bool,
    /// The new site says that it refuses only after its group has agreed on that.
    pub refusal_is_agreed: bool,
    /// The new site says that it has accepted only after the slot is open there.
    pub accepted_when_open: bool,
    /// The old site offers again what it wanted to withdraw, once the new site has agreed to take it.
    pub withdrawal_yields: bool,
    /// An answer counts only for the seal that it names.
    pub answer_names_seal: bool,
}

const ALL: Checks = Checks {
    seal_before_move: true,
    unseal_needs_proof: true,
    import_before_open: true,
    refusal_is_agreed: true,
    accepted_when_open: true,
    withdrawal_yields: true,
    answer_names_seal: true,
};

impl Default for Checks {
    fn default() -> Self {
        ALL
    }
}

impl Checks {
    /// All checks but the one called `name`.
    pub fn without(name: &str) -> Self {
        match name {
            "seal_before_move" => Checks { seal_before_move: false, ..ALL },
            "unseal_needs_proof" => Checks { unseal_needs_proof: false, ..ALL },
            "import_before_open" => Checks { import_before_open: false, ..ALL },
            "refusal_is_agreed" => Checks { refusal_is_agreed: false, ..ALL },
            "accepted_when_open" => Checks { accepted_when_open: false, ..ALL },
            "withdrawal_yields" => Checks { withdrawal_yields: false, ..ALL },
            "answer_names_seal" => Checks { answer_names_seal: false, ..ALL },
            _ => ALL,
        }
    }

    /// The switches of the real state machine.
    pub fn mechanisms(self) -> ControlMechanisms {
        ControlMechanisms { seal_before_move: self.seal_before_move, ..ControlMechanisms::default() }
    }
}
