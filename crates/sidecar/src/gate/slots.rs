//! Admission of calls to the slots of the local target: a call gets a slot, waits in the queue, or is refused.

use std::rc::Rc;
use std::sync::Arc;

use quillhatch_mesh::gate::{GateDecision, GateRefusal};
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_mesh::parents::{InheritedContext, RunningCallId, ALL_ADMITTED_PERMILLE};
use quillhatch_mesh::quarantine::{RequestSignature, RunId};
use quillhatch_mesh::queue::{QueueTicket, Rank};
use quillhatch_mesh::target_limit::{Precedence, RateLimited};
use quillhatch_types::Timestamp;
use tokio::sync::oneshot;

use super::{target_crash, Call, Failure};
use crate::calls_in_progress::CallTicket;
use crate::hop::HopContext;
use crate::local_target;
use crate::node::{Admitted, Node};

/// A slot of the target that a call holds. It is released when dropped.
pub struct Slot {
    node: Rc<Node>,
    route: Option<Arc<str>>,
    running_call: Option<RunningCallId>,
    run: Option<RunId>,
    ticket: Option<CallTicket>,
    /// Whether the call is a trial of the target's circuit breaker.
    is_trial: bool,
    acquired_at: Timestamp,
}

impl Slot {
    fn new(node: &Rc<Node>, route: Option<Arc<str>>, is_trial: bool) -> Self {
        if let Some(route) = &route {
            node.call_graph.borrow_mut().call_started(route, node.now());
        }
        Slot {
            node: Rc::clone(node),
            route,
            running_call: None,
            run: None,
            ticket: None,
            is_trial,
            acquired_at: node.now(),
        }
    }

    /// Records that `call` is sent to the target with `deadline`.
    pub(super) fn start_run(
        &mut self,
        call: &Call,
        deadline: Timestamp,
        inherited: InheritedContext,
        signature: RequestSignature,
    ) {
        let ticket = self.node.runs.begin(call.id_text(), self.node.now());
        ticket.set_target(Some(&Arc::from(call.expected.as_str())));
        self.ticket = Some(ticket);
        self.run = Some(self.node.run_tracker.borrow_mut().begin(signature, self.node.now()));
        if let Some(route) = self.route.clone() {
            self.running_call = Some(self.node.parent_tracker.borrow_mut().call_started(deadline, route, inherited));
        }
    }

    /// Releases the slot after a complete response from the target.
    pub fn complete(mut self) {
        if let Some(route) = &self.route {
            let held_for = self.node.now().since(self.acquired_at);
            self.node.slot_durations.borrow_mut().record(route, held_for);
        }
        if self.node.gate.borrow_mut().breaker_mut().response_completed() {
            self.node.log("\"event\":\"circuit-breaker\",\"tripped\":false");
        }
        if let Some(run) = self.run.take() {
            let signature = self.node.run_tracker.borrow_mut().completed(run);
            if let Some(signature) = signature {
                target_crash::request_completed(&self.node, &signature);
            }
        }
    }

    /// Releases the slot of a target that has not finished its response in time.
    pub fn response_unfinished(self) {
        response_unfinished(&self.node);
    }

    /// Releases the slot after the connection to the target ended in a streamed response, whose head counted as a good
    /// one.
    pub fn response_lost(self) {
        self.node.target_health.borrow_mut().record_bad(self.node.now());
        self.connection_lost();
    }

    /// Releases the slot after the connection to the target ended before its response did.
    pub fn connection_lost(mut self) {
        if let Some(run) = self.run.take() {
            let target = self.node.local_target_id.borrow().clone();
            let target = target.map(|id| self.node.targets.borrow().process(&id));
            self.node.run_tracker.borrow_mut().connection_lost(run, target, self.node.now());
            target_crash::probe_target(&self.node);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(run) = self.run.take() {
            self.node.run_tracker.borrow_mut().abandoned(run);
        }
        if let Some(running_call) = self.running_call.take() {
            let held_for = self.node.now().since(self.acquired_at);
            if let Some(route) = &self.route {
                self.node.capacity.borrow_mut().record_slot_time(route, held_for, self.node.now());
            }
            self.node.parent_tracker.borrow_mut().call_ended(running_call);
        }
        if let Some(route) = &self.route {
            self.node.call_graph.borrow_mut().call_ended(route, self.node.now());
        }
        {
            let mut gate = self.node.gate.borrow_mut();
            if self.is_trial {
                gate.breaker_mut().trial_ended();
            }
            gate.release_slot();
        }
        admit_waiting_calls(&self.node);
    }
}

/// Records that the local target did not finish a response in time.
pub(super) fn response_unfinished(node: &Rc<Node>) {
    node.target_health.borrow_mut().record_bad(node.now());
    if node.gate.borrow_mut().breaker_mut().response_unfinished() {
        node.log("\"event\":\"circuit-breaker\",\"tripped\":true");
    }
    evict_waiting_calls(node);
}

/// Admits waiting calls to the free slots.
pub fn admit_waiting_calls(node: &Rc<Node>) {
    loop {
        let next = node.gate.borrow_mut().admit_waiting();
        let Some(ticket) = next else { return };
        let waiting = node.waiting_calls.borrow_mut().remove(&ticket);
        if waiting.is_none_or(|waiting| waiting.send(true).is_err()) {
            node.gate.borrow_mut().release_slot();
        }
    }
}

/// Refuses the waiting calls whose maximum time to wait has passed, or all of them if the gate accepts no calls.
pub fn evict_waiting_calls(node: &Rc<Node>) {
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

fn refuse_waiting(node: &Node, ticket: QueueTicket) {
    if let Some(waiting) = node.waiting_calls.borrow_mut().remove(&ticket) {
        // The caller may have gone away.
        let _ = waiting.send(false);
    }
}

/// A call in the queue. It is removed from the queue if it is dropped because its caller goes away.
struct WaitingCall<'a> {
    node: &'a Rc<Node>,
    ticket: QueueTicket,
    receiver: oneshot::Receiver<Admitted>,
}

impl WaitingCall<'_> {
    async fn admitted(&mut self) -> Admitted {
        (&mut self.receiver).await.unwrap_or(false)
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        match self.receiver.try_recv() {
            // It was admitted, but nobody will use its slot.
            Ok(true) => {
                self.node.gate.borrow_mut().release_slot();
                admit_waiting_calls(self.node);
            }
            Err(oneshot::error::TryRecvError::Empty) => {
                self.node.waiting_calls.borrow_mut().remove(&self.ticket);
                self.node.gate.borrow_mut().cancel_waiting(self.ticket);
            }
            // It was refused, or has received its result.
            Ok(false) | Err(oneshot::error::TryRecvError::Closed) => {}
        }
    }
}

/// Records a refused nested call. A nested call that is refused because the gate is full fails its parent, so the
/// parent's later calls do not arrive.
fn record_refusal(node: &Node, context: &HopContext, refusal: GateRefusal) {
    if refusal == GateRefusal::Overloaded && !context.is_root {
        node.capacity.borrow_mut().nested_call_refused(context.inherited.priority);
    }
}

/// Refuses a call that exceeds the rate limit of the target.
fn check_rate_limit(node: &Node, call: &Call, context: &HopContext) -> Result<(), RateLimited> {
    let now = node.now();
    let mut limiter = node.target_limiter.borrow_mut();
    if let Some(rate_limit) = context.rate_limit {
        limiter.record_edge_knowledge(&call.expected, rate_limit, now);
    }
    let priorities = node.current_configuration().map_or(1, |configuration| configuration.priority_count());
    let precedence = Precedence::new(context.inherited.priority, context.is_root, priorities);
    limiter.admit(precedence, context.is_over_limit, now)
}

/// Whether a call may be sent to the local target now: it is the one that the call is meant for, and the call can finish
/// before the process of this node ends if it is stopping.
fn accepts(node: &Node, call: &Call) -> bool {
    if !local_target::accepts_calls_for(node, &call.expected) {
        return false;
    }
    let Some(schedule) = node.shutdown() else { return true };
    let route = call.route.as_ref();
    let duration = route.and_then(|route| node.slot_durations.borrow().needed(route, call.retryability));
    schedule.can_finish(duration, call.deadline, node.now())
}

/// Waits until a call gets a slot of the target, or is refused.
pub(super) async fn admit(node: &Rc<Node>, call: &Call, context: &HopContext, now: Timestamp) -> Result<Slot, Failure> {
    // The edge treats a call as possibly run if the gate does not respond by the deadline, so the call is refused by
    // then.
    if node.clock.timeout_at(call.deadline, local_target::verify_identity(node)).await.is_err() {
        return Err(GateRefusal::Overloaded.into());
    }
    if !accepts(node, call) || node.gate.borrow().breaker().is_blocking() {
        return Err(GateRefusal::Closed.into());
    }
    check_rate_limit(node, call, context)?;
    let InheritedContext { priority, position, admitted_permille, .. } = context.inherited;
    if let Some(route) = &call.route {
        let share = f64::from(admitted_permille) / f64::from(ALL_ADMITTED_PERMILLE);
        let mut capacity = node.capacity.borrow_mut();
        capacity.call_arrived(route, priority, share, now);
        if !context.is_root {
            capacity.nested_call_arrived(priority);
        }
    }
    // Positions order the queue only during a shortage. While the target can serve all calls that arrive, calls of the
    // same priority are served in order of arrival.
    let orders_by_root = node.is_enabled(Mechanism::SharedRootOrder) && node.shortage().is_some();
    let position = if orders_by_root { position } else { 0 };
    let priority = if node.is_enabled(Mechanism::GatePriority) { priority } else { 0 };
    let rank = Rank { priority, is_root: context.is_root, position };
    let (decision, displaced) = node.gate.borrow_mut().admit(rank, context.max_wait, now);
    if let Some(ticket) = displaced {
        refuse_waiting(node, ticket);
    }
    match decision {
        GateDecision::Runs => {
            let is_trial = node.gate.borrow().breaker().is_tripped();
            Ok(Slot::new(node, call.route.clone(), is_trial))
        }
        GateDecision::Refused(refusal) => {
            record_refusal(node, context, refusal);
            Err(refusal.into())
        }
        GateDecision::Waits(ticket) => {
            let (sender, receiver) = oneshot::channel();
            node.waiting_calls.borrow_mut().insert(ticket, sender);
            node.gate_changed.notify_one();
            if !(WaitingCall { node, ticket, receiver }).admitted().await {
                let refusal =
                    if node.gate.borrow().refuses_waiting() { GateRefusal::Closed } else { GateRefusal::Overloaded };
                record_refusal(node, context, refusal);
                return Err(refusal.into());
            }
            let slot = Slot::new(node, call.route.clone(), false);
            if accepts(node, call) {
                Ok(slot)
            } else {
                Err(GateRefusal::Closed.into())
            }
        }
    }
}
