//! The calls that a node serves, by the part of their way on which the exit of the process would cut them off.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use derive_more::Display;
use quillhatch_mesh::targets::TargetId;
use quillhatch_types::Timestamp;

/// The part of its way on which a call is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallPart {
    /// At the edge, from its arrival until its response begins.
    #[display("request")]
    Request,
    /// At the edge, a response that is ready and waits behind an earlier one on its connection.
    #[display("waiting")]
    Waiting,
    /// A streamed response that has begun, at the edge or at the gate.
    #[display("response")]
    Response,
    /// At the local target, until its slot is released.
    #[display("target")]
    Target,
}

/// A call in progress.
#[derive(Clone, Debug)]
pub struct CallInProgress {
    /// The id of its request.
    pub id: String,
    /// When this part of it began.
    pub began: Timestamp,
    /// The target that it was last sent to, unless that attempt has ended without the call having run.
    pub target: Option<TargetId>,
}

/// The calls of a node that are on one part of their way ([`CallPart`]).
#[derive(Debug, Default)]
pub struct CallsInProgress {
    calls: RefCell<BTreeMap<u64, CallInProgress>>,
    next_key: Cell<u64>,
    root_calls: Cell<usize>,
}

impl CallsInProgress {
    /// Adds a call, until the returned ticket is dropped.
    pub fn begin(self: &Rc<Self>, id: &str, began: Timestamp) -> CallTicket {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let call = CallInProgress { id: id.to_owned(), began, target: None };
        self.calls.borrow_mut().insert(key, call);
        CallTicket { calls: Rc::clone(self), key, is_root: Cell::new(false) }
    }

    /// The number of calls.
    pub fn len(&self) -> usize {
        self.calls.borrow().len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.calls.borrow().is_empty()
    }

    /// The number of calls that come from external callers, not from the local target.
    pub fn root_count(&self) -> usize {
        self.root_calls.get()
    }

    /// The call with this id that began last.
    pub fn find(&self, id: &str) -> Option<CallInProgress> {
        self.calls.borrow().values().rev().find(|call| call.id == id).cloned()
    }

    /// The oldest calls, at most `limit`, oldest first.
    pub fn oldest(&self, limit: usize) -> Vec<CallInProgress> {
        self.calls.borrow().values().take(limit).cloned().collect()
    }
}

/// Keeps a call among those in progress until it is dropped.
#[derive(Debug)]
pub struct CallTicket {
    calls: Rc<CallsInProgress>,
    key: u64,
    is_root: Cell<bool>,
}

impl CallTicket {
    /// Records that the call comes from an external caller.
    pub fn set_root(&self) {
        if !self.is_root.replace(true) {
            self.calls.root_calls.set(self.calls.root_calls.get() + 1);
        }
    }

    /// Records the target that the call is sent to, or that no target has it.
    pub fn set_target(&self, target: Option<&TargetId>) {
        if let Some(call) = self.calls.calls.borrow_mut().get_mut(&self.key) {
            call.target = target.cloned();
        }
    }
}

impl Drop for CallTicket {
    fn drop(&mut self) {
        self.calls.calls.borrow_mut().remove(&self.key);
        if self.is_root.get() {
            self.calls.root_calls.set(self.calls.root_calls.get() - 1);
        }
    }
}
