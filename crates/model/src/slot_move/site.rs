//! The state of one site: its group's agreed state, its leader's volatile state, and what an observer has recorded.

use std::collections::BTreeSet;

use derive_more::Display;
use quillhatch_types::Epoch;

use crate::intern::InternedId;

/// The new site's answer to an offer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Outcome {
    #[display("held")]
    Held,
    #[display("accepted")]
    Accepted,
    #[display("refused")]
    Refused,
}

/// A message between the sites' leaders, or from a gate to its leader.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Message {
    #[display("the offer under seal {_0}")]
    Offer(Epoch),
    #[display("the withdrawal of seal {_0}")]
    Withdraw(Epoch),
    #[display("the answer on seal {seal}: {outcome}")]
    Answer { seal: Epoch, outcome: Outcome },
    #[display("the gate's word that the claims are recorded under epoch {_0}")]
    Imported(Epoch),
}

/// The old site's leader's state of a sealed slot; mirrors `Export` and `Exports::withdrawn` of the control crate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Export {
    /// The epoch of the seal.
    pub seal: Epoch,
    /// Whether a gate has collected the claims.
    pub collected: bool,
    /// The other site's final answer.
    pub outcome: Option<Outcome>,
    /// Whether the move is withdrawn, so that the slot stays at this site.
    pub withdrawn: bool,
    /// Whether the other site has agreed to import the slot, so that the move can no longer be withdrawn.
    pub must_complete: bool,
}

/// The new site's leader's state of an offered slot; mirrors `Imports` of the control crate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Import {
    /// The epoch of the seal under which claims were gathered.
    pub gathered: Option<Epoch>,
    /// The epoch under which the gate has recorded the claims.
    pub opened: Option<Epoch>,
    /// The epochs of the seals whose refusal the other site has requested.
    pub refusals_wanted: BTreeSet<Epoch>,
}

/// The state of one site.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Site {
    /// The group's agreed state.
    pub agreed: InternedId,
    /// The leader's state of an outgoing slot.
    pub export: Export,
    /// The leader's state of an incoming slot.
    pub import: Import,
    /// Recorded by the observer: the seal epochs whose claims a gate of this site has recorded.
    pub recorded: BTreeSet<Epoch>,
    /// Recorded by the observer: the seal epochs after which the slot was reopened at this site.
    pub unsealed: BTreeSet<Epoch>,
}

impl Site {
    /// Creates a site whose group has just been founded.
    pub fn new(agreed: InternedId) -> Self {
        Site {
            agreed,
            export: Export::default(),
            import: Import::default(),
            recorded: BTreeSet::new(),
            unsealed: BTreeSet::new(),
        }
    }

    /// Replaces the leader; the new leader knows only the agreed state.
    pub fn change_leader(&mut self) {
        self.export = Export::default();
        self.import = Import::default();
    }
}
