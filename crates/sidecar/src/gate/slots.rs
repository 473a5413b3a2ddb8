//! Slots of the target: who gets one, who waits, who is refused.

use std::rc::Rc;
use std::sync::Arc;

use quillhatch_mesh::gate::{Admission, Refusal};
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::parents::{InheritedContext, RunningCallId, ALL_ADMITTED_PERMILLE};
use quillhatch_mesh::quarantine::{RequestSignature, RunId};
use quillhatch_mesh::queue::{Rank, Ticket};
use quillhatch_types::Timestamp;
use tokio::sync::oneshot;

use super::{target_end, Call};
use crate::hop::Forwarded;
use crate::node::{Admitted, Node};
use crate::present_target;

/// A slot of the target; given back when dropped.
pub struct Slot {
    node: Rc<Node>,
    route: Option<Arc<str>>,
    running: Option<RunningCallId>,
    run: Option<RunId>,
    since: Timestamp,
}

impl Slot {
    fn new(node: &Rc<Node>, route: Option<Arc<str>>) -> Self {
        if let Some(route) = &route {
            node.graph.borrow_mut().call_started(route, node.now());
        }
        Slot { node: Rc::clone(node), route, running: None, run: None, since: node.now() }
    }

    /// The call goes to the target, which is told to end it at `deadline`.
    pub(super) fn begin(&mut self, deadline: Timestamp, lineage: InheritedContext, signature: RequestSignature) {
        self.run = Some(self.node.runs.borrow_mut().begin(signature, self.node.now()));
        if let Some(route) = self.route.clone() {
            self.running = Some(self.node.parents.borrow_mut().call_started(deadline, route, lineage));
        }
    }

    /// The target has answered the call whole.
    pub fn completed(mut self) {
        if let Some(run) = self.run.take() {
            let signature = self.node.runs.borrow_mut().completed(run);
            if let Some(signature) = signature {
                target_end::survived(&self.node, &signature);
            }
        }
    }

    /// The target's connection ended before the answer did.
    pub fn lost(mut self) {
        if let Some(run) = self.run.take() {
            let target = self.node.present.borrow().clone();
            self.node.runs.borrow_mut().connection_lost(run, target, self.node.now());
            target_end::probe(&self.node);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            self.node.runs.borrow_mut().abandoned(run);
        }
        if let Some(running) = self.running.take() {
            let held = self.node.now().since(self.since);
            if let Some(route) = &self.route {
                self.node.capacity.borrow_mut().record_slot_time(route, held, self.node.now());
            }
            self.node.parents.borrow_mut().call_ended(running);
        }
        if let Some(route) = &self.route {
            self.node.graph.borrow_mut().call_ended(route, self.node.now());
        }
        self.node.gate.borrow_mut().release_slot();
        hand_out(&self.node);
    }
}

/// Hands free slots to the calls that wait.
pub fn hand_out(node: &Rc<Node>) {
    loop {
        let next = node.gate.borrow_mut().admit_waiting();
        let Some(ticket) = next else { return };
        let waiting = node.waiting.borrow_mut().remove(&ticket);
        if waiting.is_none_or(|waiting| waiting.send(true).is_err()) {
            node.gate.borrow_mut().release_slot();
        }
    }
}

/// Tells waiting calls that their time to wait is over, or that the gate is closed.
pub fn dismiss(node: &Rc<Node>) {
    loop {
        let now = node.now();
        let ticket = {
            let mut gate = node.gate.borrow_mut();
            gate.pop_expired(now).or_else(|| gate.pop_refused())
        };
        let Some(ticket) = ticket else { return };
        refuse_waiting(node, ticket);
    }
}

fn refuse_waiting(node: &Node, ticket: Ticket) {
    if let Some(waiting) = node.waiting.borrow_mut().remove(&ticket) {
        // The call may have left.
        let _ = waiting.send(false);
    }
}

/// Takes a waiting call out of the queue if its caller leaves.
struct Waiting<'a> {
    node: &'a Rc<Node>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Admitted>,
}

impl Waiting<'_> {
    async fn admitted(&mut self) -> Admitted {
        (&mut self.receiver).await.unwrap_or(false)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        match self.receiver.try_recv() {
            // It was given a slot that nobody takes.
            Ok(true) => {
                self.node.gate.borrow_mut().release_slot();
                hand_out(self.node);
            }
            Err(oneshot::error::TryRecvError::Empty) => {
                self.node.waiting.borrow_mut().remove(&self.ticket);
                self.node.gate.borrow_mut().cancel_waiting(self.ticket);
            }
            // It was refused, or its answer was taken.
            Ok(false) | Err(oneshot::error::TryRecvError::Closed) => {}
        }
    }
}

/// A call of a target that is refused for want of room fails its parent, so the calls that this one would make later don't come.
fn note_refusal(node: &Node, forwarded: &Forwarded, refusal: Refusal) {
    if refusal == Refusal::Overloaded && !forwarded.is_root {
        node.capacity.borrow_mut().inner_call_refused(forwarded.lineage.priority);
    }
}

/// Waits for a slot.
pub(super) async fn admit(
    node: &Rc<Node>,
    call: &Call,
    forwarded: &Forwarded,
    now: Timestamp,
) -> Result<Slot, Refusal> {
    // The edge takes a call for lost whose gate says nothing until its time is over.
    if node.clock.timeout_at(call.deadline, present_target::verify(node)).await.is_err() {
        return Err(Refusal::Overloaded);
    }
    if !present_target::takes(node, &call.expected) {
        return Err(Refusal::Closed);
    }
    let InheritedContext { priority, position, admitted_permille, .. } = forwarded.lineage;
    if let Some(route) = &call.route {
        let share = f64::from(admitted_permille) / f64::from(ALL_ADMITTED_PERMILLE);
        let mut capacity = node.capacity.borrow_mut();
        capacity.call_arrived(route, priority, share, now);
        if !forwarded.is_root {
            capacity.inner_call_arrived(priority);
        }
    }
    // In the order of arrival while all that arrives can be served.
    let same_roots = node.has(Mechanism::SharedRootOrder) && node.shortage().is_some();
    let position = if same_roots { position } else { 0 };
    let priority = if node.has(Mechanism::GatePriority) { priority } else { 0 };
    let rank = Rank { priority, is_root: forwarded.is_root, position };
    let (arrival, displaced) = node.gate.borrow_mut().admit(rank, forwarded.patience, now);
    if let Some(ticket) = displaced {
        refuse_waiting(node, ticket);
    }
    match arrival {
        Admission::Runs => Ok(Slot::new(node, call.route.clone())),
        Admission::Refused(refusal) => {
            note_refusal(node, forwarded, refusal);
            Err(refusal)
        }
        Admission::Waits(ticket) => {
            let (sender, receiver) = oneshot::channel();
            node.waiting.borrow_mut().insert(ticket, sender);
            node.gate_changed.notify_one();
            if !(Waiting { node, ticket, receiver }).admitted().await {
                let refusal = if node.gate.borrow().is_closed() { Refusal::Closed } else { Refusal::Overloaded };
                note_refusal(node, forwarded, refusal);
                return Err(refusal);
            }
            let slot = Slot::new(node, call.route.clone());
            if present_target::takes(node, &call.expected) {
                Ok(slot)
            } else {
                Err(Refusal::Closed)
            }
        }
    }
}
