//! What an observer of all nodes has seen, and the properties that it checks.

use std::collections::{BTreeMap, BTreeSet};

use quillhatch_group::{Entry, Group, GroupIdentity, Payload, Role};
use quillhatch_types::NodeId;

use crate::explore::Property;

/// In a group no term has two leaders.
pub(super) const ONE_LEADER_PER_TERM: Property = Property("one-leader-per-term");
/// What is agreed at an index of a group is never replaced.
pub(super) const AGREED_ENTRIES_STAY: Property = Property("agreed-entries-stay");
/// A group formed after commands were agreed elsewhere says that they may be lost.
pub(super) const LOSS_IS_STATED: Property = Property("loss-is-stated");
/// Of several groups at most one agrees on anything that was appended after the last of them was founded.
pub(super) const OLD_GROUP_IS_FENCED: Property = Property("old-group-is-fenced");

/// The observer's memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Record {
    leaders: BTreeMap<(GroupIdentity, u64), NodeId>,
    agreed: BTreeMap<(GroupIdentity, u64), Entry>,
    /// For each group the last index that any of its members had when the latest group was founded.
    length_at_founding: BTreeMap<GroupIdentity, u64>,
    /// The groups that have agreed on something beyond that.
    grown: BTreeSet<GroupIdentity>,
}

impl Record {
    /// Takes in what `group` is after a step, with `all` nodes as they are now.
    pub fn observe(&mut self, group: &Group, all: &[&Group]) -> Option<Property> {
        let identity = group.identity()?;
        let led = (group.role() == Role::Leader).then(|| self.observe_leader(identity, group, all)).flatten();
        led.or_else(|| self.observe_agreed(identity, group))
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
        self.note_lengths(all);
        let commands = self
            .agreed
            .iter()
            .any(|((other, _), entry)| *other != identity && matches!(entry.payload, Payload::Command(_)));
        (commands && !group.claims_lost()).then_some(LOSS_IS_STATED)
    }

    fn note_lengths(&mut self, all: &[&Group]) {
        self.length_at_founding.clear();
        self.grown.clear();
        for group in all {
            let Some(identity) = group.identity() else {
                continue;
            };
            let length = self.length_at_founding.entry(identity).or_default();
            *length = group.last_index().max(*length);
        }
    }

    fn observe_agreed(&mut self, identity: GroupIdentity, group: &Group) -> Option<Property> {
        let length = self.length_at_founding.get(&identity).copied().unwrap_or(0);
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
