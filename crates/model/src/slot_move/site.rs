//! One site: what its group has agreed on, what its leader remembers, and what an observer has seen.

use std::collections::BTreeSet;

use derive_more::Display;
use quillhatch_types::Epoch;

use crate::intern::InternedId;

/// What the new site has said about an offer.
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

/// What the old site's leader remembers of a sealed slot; mirrors `Export` and `Exports::withdrawn`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Export {
    /// The seal that it is about.
    pub seal: Epoch,
    /// Whether a gate has collected the claims.
    pub collected: bool,
    /// The other site's word.
    pub outcome: Option<Outcome>,
    /// Whether the slot shall stay here after all.
    pub withdrawn: bool,
    /// Whether the other site has agreed on the take-over, so that it can't be withdrawn.
    pub must_complete: bool,
}

/// What the new site's leader remembers; mirrors `Imports`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Import {
    /// The seal under which claims were gathered.
    pub gathered: Option<Epoch>,
    /// The epoch under which the gate has recorded the claims.
    pub opened: Option<Epoch>,
    /// Seals that the other site wants refused.
    pub refusals_wanted: BTreeSet<Epoch>,
}

/// One site.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Site {
    /// The group's agreed state.
    pub agreed: InternedId,
    /// The leader's memory of a slot that leaves.
    pub export: Export,
    /// The leader's memory of a slot that comes.
    pub import: Import,
    /// Seen by the observer: the seals whose claims a gate of this site has recorded.
    pub recorded: BTreeSet<Epoch>,
    /// Seen by the observer: the seals after which the slot was opened here again.
    pub unsealed: BTreeSet<Epoch>,
}

impl Site {
    /// A site whose group has just been founded.
    pub fn new(agreed: InternedId) -> Self {
        Site {
            agreed,
            export: Export::default(),
            import: Import::default(),
            recorded: BTreeSet::new(),
            unsealed: BTreeSet::new(),
        }
    }

    /// Another leader knows only what was agreed.
    pub fn change_leader(&mut self) {
        self.export = Export::default();
        self.import = Import::default();
    }
}
