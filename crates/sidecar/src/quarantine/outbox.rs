//! The queue of evidence to broadcast, and the gates that receive it.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;

use quillhatch_mesh::quarantine::{SignatureKey, SuspectRecord};
use quillhatch_messages::generated::quarantine as wire;
use quillhatch_types::Timestamp;
use tokio::sync::Notify;

use super::gates::ServiceGates;
use super::messages::message;
use crate::node::Node;

/// The maximum number of queries. If no gate has responded by then, there is none.
const MAX_QUERIES: u32 = 10;

/// The evidence and queries to be sent to the other gates.
#[derive(Debug, Default)]
pub struct Outbox {
    suspects: RefCell<Vec<SuspectRecord>>,
    cleared: RefCell<Vec<SignatureKey>>,
    /// The number of queries for the evidence of other gates that may still be sent.
    remaining_queries: Cell<u32>,
    gates: RefCell<ServiceGates>,
    /// Notified when there is something to send.
    pub(super) filled: Notify,
}

impl Outbox {
    /// Queues evidence against requests for broadcast.
    pub fn queue_suspects(&self, records: Vec<SuspectRecord>) {
        if !records.is_empty() {
            self.suspects.borrow_mut().extend(records);
            self.filled.notify_one();
        }
    }

    /// Queues the keys of requests that have completed here for broadcast, which clears them at the other gates.
    pub fn queue_cleared(&self, keys: Vec<SignatureKey>) {
        if !keys.is_empty() {
            self.cleared.borrow_mut().extend(keys);
            self.filled.notify_one();
        }
    }

    /// Updates the other gates; `machines` are the machines of the service's listed targets, without this one.
    pub fn update_gates(&self, machines: impl Iterator<Item = IpAddr>, now: Timestamp) {
        let had_none = self.gates.borrow().is_empty();
        self.gates.borrow_mut().update(machines, now);
        if had_none && !self.gates.borrow().is_empty() {
            self.start_queries();
        }
    }

    /// A random sample of at most `limit` other gates.
    pub(super) fn sample_gates(&self, node: &Node, limit: usize) -> Vec<IpAddr> {
        self.gates.borrow().sample(&mut *node.random.borrow_mut(), limit)
    }

    /// Whether queries are still to be sent.
    pub(super) fn has_queries(&self) -> bool {
        self.remaining_queries.get() > 0
    }

    /// Starts to query other gates, after evidence may have been missed.
    pub fn start_queries(&self) {
        self.remaining_queries.set(MAX_QUERIES);
        self.filled.notify_one();
    }

    /// Stops the queries after a gate has responded.
    pub(super) fn stop_queries(&self) {
        self.remaining_queries.set(0);
    }

    /// Counts one query; returns whether it is to be sent.
    pub(super) fn take_query(&self) -> bool {
        let remaining = self.remaining_queries.get();
        self.remaining_queries.set(remaining.saturating_sub(1));
        remaining > 0
    }

    /// Removes everything that is queued for broadcast and returns it as one message, if there is anything.
    pub(super) fn take_broadcast(&self, service: &str) -> Option<wire::QuarantineMessage> {
        let suspects = std::mem::take(&mut *self.suspects.borrow_mut());
        let cleared = std::mem::take(&mut *self.cleared.borrow_mut());
        (!suspects.is_empty() || !cleared.is_empty()).then(|| message(service, &suspects, &cleared))
    }
}
