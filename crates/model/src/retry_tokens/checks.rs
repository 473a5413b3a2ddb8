//! The checks of the token rules, each of which a mutation can disable.

/// The enabled checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Checks {
    /// If an answer is lost, the call discards the share lent to the attempt, since child calls may still spend it.
    pub lost_share: bool,
    /// A call that ends returns its tokens only once.
    pub return_once: bool,
    /// A child call starts with the tokens that its parent lent, not with a budget of its own.
    pub one_budget: bool,
    /// A retry consumes a token.
    pub charge: bool,
    /// Tokens lent to an attempt are removed from the call's budget.
    pub share_leaves: bool,
    /// An answer counts only if it names the attempt in flight.
    pub attempt_number: bool,
    /// Tokens reported in an answer are removed from the gate's account.
    pub report_empties: bool,
}

const ALL: Checks = Checks {
    lost_share: true,
    return_once: true,
    one_budget: true,
    charge: true,
    share_leaves: true,
    attempt_number: true,
    report_empties: true,
};

impl Default for Checks {
    fn default() -> Self {
        ALL
    }
}

impl Checks {
    /// The names of all checks.
    pub const NAMES: &'static [&'static str] =
        &["lost_share", "return_once", "one_budget", "charge", "share_leaves", "attempt_number", "report_empties"];

    /// Returns all checks except the one called `name`.
    pub fn without(name: &str) -> Self {
        match name {
            "lost_share" => Checks { lost_share: false, ..ALL },
            "return_once" => Checks { return_once: false, ..ALL },
            "one_budget" => Checks { one_budget: false, ..ALL },
            "charge" => Checks { charge: false, ..ALL },
            "share_leaves" => Checks { share_leaves: false, ..ALL },
            "attempt_number" => Checks { attempt_number: false, ..ALL },
            "report_empties" => Checks { report_empties: false, ..ALL },
            _ => ALL,
        }
    }
}
