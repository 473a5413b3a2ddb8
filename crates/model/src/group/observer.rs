//! An observer that sees all nodes and checks the properties.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_group::{Entry, Group, GroupIdentity, Payload, Role};
use quillhatch_types::NodeId;

use crate::explore::Property;

/// A group has at most one leader per term.
pub(super) const ONE_LEADER_PER_TERM: Property = Property("one-leader-per-term");
/// The agreed (committed) entry at an index of a group is never replaced.
pub(super) const AGREED_ENTRIES_STAY: Property = Property("agreed-entries-stay");
/// A group that is founded after another group has agreed on commands states that they may be lost.
pub(super) const LOSS_IS_STATED: Property = Property("loss-is-stated");
/// Of several groups, at most one agrees on entries appended after the latest of them was founded.
pub(super) const OLD_GROUP_IS_FENCED: Property = Property("old-group-is-fenced");

/// The observer's record of leaders and agreed entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Observer {
    leaders: BTreeMap<(GroupIdentity, u64), NodeId>,
    agreed: BTreeMap<(GroupIdentity, u64), Entry>,
    /// For each group the last log index of any of its members when the latest group was founded.
    log_length_at_founding: BTreeMap<GroupIdentity, u64>,
    /// The groups that have agreed on an entry after that index.
    grown: BTreeSet<GroupIdentity>,
}

impl Observer {
    /// Observes `group` after its step; `all` are the current states of all nodes. Returns a property that is violated.
    pub fn observe(&mut self, group: &Group, all: &[&Group]) -> Option<Property> {
        let identity = group.identity()?;
        let violated = (group.role() == Role::Leader).then(|| self.observe_leader(identity, group, all)).flatten();
        violated.or_else(|| self.observe_agreed(identity, group))
    }

    fn observe_leader(&mut self, identity: GroupIdentity, group: &Group, all: &[&Group]) -> Option<Property> {
        let key = (identity, group.term());
        if let Some(first) = self.leaders.get(&key) {
            return (*first != group.node()).then_some(ONE_LEADER_PER_TERM);
        }
        let founded = !self.leaders.keys().any(|(known, _)| *known == identity);
        self.leaders.insert(key, group.node());
        if !founded {
            return None;
        }
        self.record_log_lengths(all);
        let command_agreed_elsewhere = self
            .agreed
            .iter()
            .any(|((other, _), entry)| *other != identity && matches!(entry.payload, Payload::Command(_)));
        (command_agreed_elsewhere && !group.claims_lost()).then_some(LOSS_IS_STATED)
    }

    fn record_log_lengths(&mut self, all: &[&Group]) {
        self.log_length_at_founding.clear();
        self.grown.clear();
        for group in all {
            let Some(identity) = group.identity() else {
                continue;
            };
            let length = self.log_length_at_founding.entry(identity).or_default();
            *length = group.last_index().max(*length);
        }
    }

    fn observe_agreed(&mut self, identity: GroupIdentity, group: &Group) -> Option<Property> {
        let length = self.log_length_at_founding.get(&identity).copied().unwrap_or(0);
        if group.commit_index() > length {
            self.grown.insert(identity);
        }
        if self.grown.len() > 1 {
            return Some(OLD_GROUP_IS_FENCED);
        }
        for index in 1..=group.commit_index() {
            let Some(entry) = group.committed_entry(index) else {
                continue;
            };
            let first = self.agreed.entry((identity, index)).or_insert_with(|| entry.clone());
            if first != entry {
                return Some(AGREED_ENTRIES_STAY);
            }
        }
        None
    }
}
