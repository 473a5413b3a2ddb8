//! The checks of a slot move, each of which a mutation can disable.

use quillhatch_control::ControlMechanisms;

/// The enabled checks. The first three have the names of mechanisms of the control crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Checks {
    /// A slot has no owner while it moves.
    pub seal_before_move: bool,
    /// A sealed slot is reopened only after the other site has confirmed that it will never accept the slot.
    pub unseal_needs_proof: bool,
    /// A slot opens at the new site only after a gate there has recorded the claims.
    pub import_before_open: bool,
    /// The new site answers that it refuses only after its group has agreed to refuse.
    pub refusal_is_agreed: bool,
    /// The new site answers that it has accepted only after the slot is open there.
    pub accepted_when_open: bool,
    /// The old site resumes the offer of a withdrawn slot once the new site has agreed to import it.
    pub withdrawal_yields: bool,
    /// An answer counts only for the seal epoch that it names.
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
    /// Returns all checks except the one called `name`.
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

    /// Returns the mechanisms of the real state machine.
    pub fn mechanisms(self) -> ControlMechanisms {
        ControlMechanisms { seal_before_move: self.seal_before_move, ..ControlMechanisms::default() }
    }
}
