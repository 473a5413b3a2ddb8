//! Slots of the target: who gets one, who waits, who is refused.

use std::rc::Rc;
use std::sync::Arc;

use quillhatch_mesh::gate::{Arrival, Refusal};
use quillhatch_mesh::parents::{Lineage, RunningCall};
use quillhatch_mesh::queue::{Rank, Ticket};
use quillhatch_types::Timestamp;
use tokio::sync::oneshot;

use super::Call;
use crate::hop::Forwarded;
use crate::node::{Admitted, Node};
use crate::present_target;

/// The level below which all gates serve the same roots first.
const SAME_ROOTS_BELOW: f64 = 0.9;

/// A slot of the target; given back when dropped.
pub struct Slot {
    node: Rc<Node>,
    route: Option<Arc<str>>,
    running: Option<RunningCall>,
    since: Timestamp,
}

impl Slot {
    fn new(node: &Rc<Node>, route: Option<Arc<str>>) -> Self {
        if let Some(route) = &route {
            node.graph.borrow_mut().started(route, node.now());
        }
        Slot { node: Rc::clone(node), route, running: None, since: node.now() }
    }

    /// The call goes to the target, which is told to end it at `deadline`.
    pub(super) fn begin(&mut self, deadline: Timestamp, lineage: Lineage) {
        if let Some(route) = self.route.clone() {
            self.running = Some(self.node.parents.borrow_mut().started(deadline, route, lineage));
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(running) = self.running.take() {
            let held = self.node.now().since(self.since);
            self.node.pressure.borrow_mut().held(held);
            self.node.parents.borrow_mut().ended(running);
        }
        if let Some(route) = &self.route {
            self.node.graph.borrow_mut().ended(route, self.node.now());
        }
        self.node.gate.borrow_mut().finish();
        hand_out(&self.node);
    }
}

/// Hands free slots to the calls that wait.
pub fn hand_out(node: &Rc<Node>) {
    loop {
        let next = node.gate.borrow_mut().admit_next();
        let Some(ticket) = next else { return };
        let waiting = node.waiting.borrow_mut().remove(&ticket);
        if waiting.is_none_or(|waiting| waiting.send(true).is_err()) {
            node.gate.borrow_mut().finish();
        }
    }
}

/// Tells waiting calls that their time to wait is over, or that the gate is closed.
pub fn dismiss(node: &Rc<Node>) {
    loop {
        let now = node.now();
        let ticket = {
            let mut gate = node.gate.borrow_mut();
            gate.expire(now).or_else(|| gate.evict())
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
                self.node.gate.borrow_mut().finish();
                hand_out(self.node);
            }
            Err(oneshot::error::TryRecvError::Empty) => {
                self.node.waiting.borrow_mut().remove(&self.ticket);
                self.node.gate.borrow_mut().leave(self.ticket);
            }
            // It was refused, or its answer was taken.
            Ok(false) | Err(oneshot::error::TryRecvError::Closed) => {}
        }
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
    if tokio::time::timeout(now.until(call.deadline), present_target::verify(node)).await.is_err() {
        return Err(Refusal::Full);
    }
    if !present_target::takes(node, &call.expected) {
        return Err(Refusal::Closed);
    }
    let Lineage { priority, position, .. } = forwarded.lineage;
    // In the order of arrival while all that arrives can be served.
    let position = if node.pressure.borrow().level() < SAME_ROOTS_BELOW { position } else { 0 };
    let rank = Rank { priority, is_root: forwarded.is_root, position };
    let (arrival, displaced) = node.gate.borrow_mut().arrive(rank, forwarded.patience, now);
    if let Some(ticket) = displaced {
        refuse_waiting(node, ticket);
    }
    match arrival {
        Arrival::Runs => Ok(Slot::new(node, call.route.clone())),
        Arrival::Refused(refusal) => Err(refusal),
        Arrival::Waits(ticket) => {
            let (sender, receiver) = oneshot::channel();
            node.waiting.borrow_mut().insert(ticket, sender);
            node.pressure.borrow_mut().observe(node.gate.borrow().load(), now);
            node.gate_changed.notify_one();
            if !(Waiting { node, ticket, receiver }).admitted().await {
                let closed = node.gate.borrow().is_closed();
                return Err(if closed { Refusal::Closed } else { Refusal::Full });
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
