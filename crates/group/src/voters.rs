//! The voters of a group and their quorums.

use std::collections::BTreeSet;

use quillhatch_types::{NodeAddress, NodeId};

/// The voters, and the electorate: addresses of which every quorum must cover a majority.
///
/// A group is formed by a majority of the electorate's addresses. Since every later quorum covers such a majority too,
/// a quorum of an older group always shares at least one address with the founding voters of a newer group.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoterSet {
    /// The runs of nodes that vote.
    pub voters: BTreeSet<NodeId>,
    /// The configured addresses that the group was formed from.
    pub electorate: BTreeSet<NodeAddress>,
}

impl VoterSet {
    /// Whether the voters for which `counts` holds are a quorum; `cover_electorate` also requires a majority of the
    /// electorate.
    pub fn is_quorum(&self, cover_electorate: bool, counts: impl Fn(&NodeId) -> bool) -> bool {
        let counted: Vec<&NodeId> = self.voters.iter().filter(|voter| counts(voter)).collect();
        let majority_of_voters = counted.len() * 2 > self.voters.len();
        if !cover_electorate {
            return majority_of_voters;
        }
        let covered: BTreeSet<NodeAddress> = counted.iter().map(|voter| voter.address).collect();
        majority_of_voters && self.covers_electorate(&covered)
    }

    /// Whether `addresses` include a majority of the electorate; an empty electorate is always covered.
    pub fn covers_electorate(&self, addresses: &BTreeSet<NodeAddress>) -> bool {
        let covered = self.electorate.intersection(addresses).count();
        self.electorate.is_empty() || covered * 2 > self.electorate.len()
    }

    /// Whether all voters together are a quorum.
    pub fn can_form_quorum(&self) -> bool {
        self.is_quorum(true, |_| true)
    }

    /// The voter at `address`.
    pub fn at(&self, address: NodeAddress) -> Option<NodeId> {
        self.voters.iter().find(|voter| voter.address == address).copied()
    }

    /// The set after adding or removing one address on the way to the electorate `wanted`, if a step is possible now.
    ///
    /// An address is added only once it has a voter, so that a step never loses the quorum.
    pub fn step_toward_electorate(&self, wanted: &BTreeSet<NodeAddress>) -> Option<VoterSet> {
        let additions = wanted.difference(&self.electorate).filter(|address| self.at(**address).is_some());
        let removals = self.electorate.difference(wanted);
        let added = additions.map(|address| {
            let mut next = self.clone();
            next.electorate.insert(*address);
            next
        });
        let removed = removals.map(|address| {
            let mut next = self.clone();
            next.electorate.remove(address);
            next
        });
        added.chain(removed).find(|next| !next.electorate.is_empty() && next.can_form_quorum())
    }
}

/// The voter sets that must each have a quorum: the latest and, until it is committed, the one before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveSets<'a> {
    pub latest: &'a VoterSet,
    pub previous: Option<&'a VoterSet>,
    pub cover_electorate: bool,
}

impl ActiveSets<'_> {
    pub fn is_quorum(&self, counts: impl Fn(&NodeId) -> bool) -> bool {
        let latest = self.latest.is_quorum(self.cover_electorate, &counts);
        latest && self.previous.is_none_or(|previous| previous.is_quorum(self.cover_electorate, &counts))
    }

    /// The largest value that every voter of some quorum has reached.
    pub fn quorum_value<V: Ord + Copy>(&self, value: impl Fn(&NodeId) -> V) -> Option<V> {
        let members = self.members();
        let mut values: Vec<V> = members.iter().map(&value).collect();
        values.sort_unstable();
        values.into_iter().rev().find(|wanted| self.is_quorum(|voter| value(voter) >= *wanted))
    }

    pub fn members(&self) -> BTreeSet<NodeId> {
        let previous = self.previous.into_iter().flat_map(|set| set.voters.iter());
        self.latest.voters.iter().chain(previous).copied().collect()
    }
}
