//! Evidence that waits to be broadcast, and the gates that it goes to.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;

use quillhatch_mesh::quarantine::{SignatureKey, SuspectRecord};
use quillhatch_messages::generated::quarantine as wire;
use quillhatch_types::Timestamp;
use tokio::sync::Notify;

use super::gates::ServiceGates;
use super::messages::message;
use crate::node::Node;

/// How often others are asked at most. Where none has answered by then, none is there.
const MOST_QUERIES: u32 = 10;

/// What is to be sent to the other gates.
#[derive(Debug, Default)]
pub struct Outbox {
    suspects: RefCell<Vec<SuspectRecord>>,
    cleared: RefCell<Vec<SignatureKey>>,
    /// How often it is still asked what others know.
    queries: Cell<u32>,
    gates: RefCell<ServiceGates>,
    /// Notified when there is something to send.
    pub(super) filled: Notify,
}

impl Outbox {
    /// Broadcasts evidence against requests.
    pub fn queue_suspects(&self, records: Vec<SuspectRecord>) {
        if !records.is_empty() {
            self.suspects.borrow_mut().extend(records);
            self.filled.notify_one();
        }
    }

    /// Broadcasts that these requests have completed here.
    pub fn queue_cleared(&self, keys: Vec<SignatureKey>) {
        if !keys.is_empty() {
            self.cleared.borrow_mut().extend(keys);
            self.filled.notify_one();
        }
    }

    /// The machines whose targets are listed for the service now, without this one.
    pub fn update_gates(&self, machines: impl Iterator<Item = IpAddr>, now: Timestamp) {
        let knew_none = self.gates.borrow().is_empty();
        self.gates.borrow_mut().update(machines, now);
        if knew_none && !self.gates.borrow().is_empty() {
            self.start_queries();
        }
    }

    /// Some of the other gates, at random.
    pub(super) fn some_gates(&self, node: &Node, most: usize) -> Vec<IpAddr> {
        self.gates.borrow().some(&mut *node.random.borrow_mut(), most)
    }

    /// Whether it is still asked what others know.
    pub(super) fn has_queries(&self) -> bool {
        self.queries.get() > 0
    }

    /// Evidence may have been missed: others are queried.
    pub fn start_queries(&self) {
        self.queries.set(MOST_QUERIES);
        self.filled.notify_one();
    }

    /// Another node has answered a query.
    pub(super) fn answered(&self) {
        self.queries.set(0);
    }

    /// Whether others are still to be asked; counts one question.
    pub(super) fn take_query(&self) -> bool {
        let left = self.queries.get();
        self.queries.set(left.saturating_sub(1));
        left > 0
    }

    /// Takes out what is to be broadcast, if anything.
    pub(super) fn take(&self, service: &str) -> Option<wire::QuarantineMessage> {
        let suspects = std::mem::take(&mut *self.suspects.borrow_mut());
        let cleared = std::mem::take(&mut *self.cleared.borrow_mut());
        (!suspects.is_empty() || !cleared.is_empty()).then(|| message(service, &suspects, &cleared))
    }
}
