//! The queries of a simulated fleet's nodes to each other.

use std::time::Duration;

use quillhatch_mesh::feed::{long_poll_timeout, response_timeout, SourceStatus, SourceVerdict};
use quillhatch_mesh::replica::Update;
use quillhatch_types::Timestamp;
use rand::Rng;

use crate::fleet::{Fleet, Mutation, TICK};
use crate::node::{NodeFault, PendingQuery};

impl Fleet {
    /// Starts a node's query to its source, or ends it when it is answered or fails.
    pub(super) fn step_query(&mut self, number: usize) {
        let now = self.now;
        let Some(query) = &self.nodes[number].query else {
            if now >= self.nodes[number].next_query_at {
                self.start_query(number);
            }
            return;
        };
        if now.since(query.sent) < TICK * 2 {
            return;
        }
        let (peer, from, sent, long_poll) = (query.peer, query.from, query.sent, query.long_poll);
        let other = &mut self.nodes[peer];
        match other.fault {
            NodeFault::Crashed => self.query_failed(number),
            NodeFault::Unresponsive if now.since(sent) >= response_timeout(long_poll, &self.bounds) => {
                self.query_failed(number)
            }
            NodeFault::Unresponsive => {}
            NodeFault::FalseStatus if now.since(sent) >= long_poll => {
                self.query_succeeded(number, None, Some(now), None)
            }
            NodeFault::FalseStatus => {}
            NodeFault::None => {
                let has_just_arrived = now.since(sent) == TICK * 2;
                let is_lost = other.loss.is_confirmed() || (has_just_arrived && other.loss.since().is_some());
                let state = other.replica.state();
                let has_news = match self.mutation {
                    Some(Mutation::IgnoresVersions) => state.position > from.position || is_lost,
                    _ => state.is_ahead_of(from) || is_lost,
                };
                if !has_news && now.since(sent) < long_poll {
                    return;
                }
                let update = other.replica.update_since(from.position, now);
                other.answered_queries += 1;
                other.sent_changes += update.as_ref().map_or(0, |update| update.changes.len());
                let (store_read_at, lost_since) = (other.store_read_at, other.loss.since());
                self.copy_configuration(peer, number);
                self.query_succeeded(number, update, store_read_at, lost_since);
            }
        }
    }

    fn start_query(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(candidate) = node.source_choice.next(&node.role.candidates, now) else { return };
        let long_poll = if node.source_choice.is_searching() {
            Duration::ZERO
        } else {
            long_poll_timeout(node.role.is_head, &self.bounds)
        };
        let query = PendingQuery {
            peer: self.by_machine[&candidate.machine],
            is_upstream: candidate.is_upstream,
            sent: now,
            long_poll,
            from: node.replica.state(),
        };
        self.nodes[number].query = Some(query);
    }

    fn query_succeeded(
        &mut self,
        number: usize,
        update: Option<Update>,
        store_read_at: Option<Timestamp>,
        lost_since: Option<Timestamp>,
    ) {
        let now = self.now;
        if let Some(update) = update {
            self.apply(number, update);
        }
        let node = &mut self.nodes[number];
        let is_upstream = node.query.as_ref().is_some_and(|query| query.is_upstream);
        let status = SourceStatus { store_read_at, lost_since };
        node.store_read_at = node.store_read_at.max(store_read_at);
        let follows_any = self.mutation == Some(Mutation::FollowsAnySource);
        let verdict = match lost_since {
            None if follows_any => SourceVerdict::Usable,
            _ => status.verdict(is_upstream, node.loss, &self.bounds, now),
        };
        if verdict == SourceVerdict::Usable {
            node.is_isolated = false;
            node.has_response = false;
            node.loss.source_available(store_read_at);
            node.source_choice.succeeded();
            node.has_unverified_source = false;
            node.query = None;
            return;
        }
        if let Some(since) = lost_since {
            node.loss.source_reported_loss(since);
        }
        node.has_response = true;
        node.has_unverified_source |= verdict == SourceVerdict::Unverified;
        self.query_failed(number);
    }

    fn query_failed(&mut self, number: usize) {
        let now = self.now;
        let pause = Duration::from_millis(self.random.gen_range(250..500));
        let node = &mut self.nodes[number];
        let sent = node.query.take().map_or(now, |query| query.sent);
        node.source_choice.failed(now);
        let is_reading = node.role.is_reader && node.loss.since().is_none();
        if !is_reading {
            node.loss.source_failed(sent);
        }
        if !node.source_choice.all_failed(&node.role.candidates) {
            return;
        }
        node.next_query_at = now + pause;
        node.is_isolated = !node.has_response;
        node.has_response = false;
        if !is_reading && !node.has_unverified_source {
            node.loss.all_sources_failed(sent);
        }
        node.has_unverified_source = false;
    }
}
