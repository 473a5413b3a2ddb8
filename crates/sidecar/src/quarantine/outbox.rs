//! What waits to be told to the other gates of the service, and which these are.

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
const MOST_ASKED: u32 = 10;

/// What the other gates are to be told.
#[derive(Debug, Default)]
pub struct Outbox {
    suspects: RefCell<Vec<SuspectRecord>>,
    cleared: RefCell<Vec<SignatureKey>>,
    /// How often it is still asked what others know.
    questions: Cell<u32>,
    gates: RefCell<ServiceGates>,
    /// Notified when there is something to tell, or to ask.
    pub(super) filled: Notify,
}

impl Outbox {
    /// Ends are held against these requests.
    pub fn suspect(&self, records: Vec<SuspectRecord>) {
        if !records.is_empty() {
            self.suspects.borrow_mut().extend(records);
            self.filled.notify_one();
        }
    }

    /// These requests have run to their end here.
    pub fn clear(&self, keys: Vec<SignatureKey>) {
        if !keys.is_empty() {
            self.cleared.borrow_mut().extend(keys);
            self.filled.notify_one();
        }
    }

    /// The machines whose targets are listed for the service now, without this one.
    pub fn note_gates(&self, machines: impl Iterator<Item = IpAddr>, now: Timestamp) {
        let knew_none = self.gates.borrow().is_empty();
        self.gates.borrow_mut().update(machines, now);
        if knew_none && !self.gates.borrow().is_empty() {
            self.ask();
        }
    }

    /// Some of the other gates, at random.
    pub(super) fn some_gates(&self, node: &Node, most: usize) -> Vec<IpAddr> {
        self.gates.borrow().some(&mut *node.random.borrow_mut(), most)
    }

    /// Whether it is still asked what others know.
    pub(super) fn is_asking(&self) -> bool {
        self.questions.get() > 0
    }

    /// What others know may have passed this node by.
    pub fn ask(&self) {
        self.questions.set(MOST_ASKED);
        self.filled.notify_one();
    }

    /// Another node has told all that it knows.
    pub(super) fn answered(&self) {
        self.questions.set(0);
    }

    /// Whether others are still to be asked; counts one question.
    pub(super) fn has_question(&self) -> bool {
        let left = self.questions.get();
        self.questions.set(left.saturating_sub(1));
        left > 0
    }

    /// Takes out what is to be told, if anything.
    pub(super) fn take(&self, service: &str) -> Option<wire::QuarantineMessage> {
        let suspects = std::mem::take(&mut *self.suspects.borrow_mut());
        let cleared = std::mem::take(&mut *self.cleared.borrow_mut());
        (!suspects.is_empty() || !cleared.is_empty()).then(|| message(service, &suspects, &cleared))
    }
}
