//! The gate in front of a target: it forwards at most as many calls as the target has usable slots, and queues or
//! refuses the rest.

use std::time::Duration;

use quillhatch_types::Timestamp;

use crate::breaker::CircuitBreaker;
use crate::queue::{QueueTicket, Rank, WaitingQueue};

/// The fraction of a target's slots that is used, rounded down, since some targets slow down when their last slots
/// fill. Rounded up, all slots of a target with 16 were in use and its calls took 1.3 times as long: where such a
/// service was the bottleneck, the value served in five test days was 0.682 instead of 0.726. A smaller fraction takes
/// a slot of a target with 20: 0.512 instead of 0.544 in one test day on which such a service was the bottleneck. Each
/// figure is from one run.
const USED_SLOT_FRACTION: f64 = 0.95;
/// The maximum number of slots of which all are used: one of them would be an eighth or more, as much as a target that
/// slows down loses.
const MAX_SLOTS_ALL_USED: u32 = 8;
/// The maximum queue length, as a multiple of the limit of running calls.
const MAX_QUEUE_PER_RUNNING_CALL: usize = 4;

/// The load of a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateLoad {
    /// The calls that run at the target.
    pub running: u32,
    /// The maximum number of calls that may run at the target.
    pub limit: u32,
    /// The calls that wait for a slot.
    pub waiting: u32,
}

impl GateLoad {
    /// Returns the running and waiting calls as a fraction of the limit; above one if calls wait.
    pub fn utilization(&self) -> f64 {
        f64::from(self.running + self.waiting) / f64::from(self.limit.max(1))
    }
}

/// The reason why a gate refuses a call. A refused call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateRefusal {
    /// Too many calls wait, or the call may not wait longer.
    Overloaded,
    /// The target is draining, its circuit breaker blocks calls, or this node stops.
    Closed,
}

/// The gate's decision on a call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// The call is forwarded to the target now.
    Runs,
    /// The call waits, identified by the ticket.
    Waits(QueueTicket),
    /// The call is refused.
    Refused(GateRefusal),
}

/// The slots of a target and the calls that wait for one.
#[derive(Clone, Debug)]
pub struct Gate {
    slots: Option<u32>,
    fallback_slots: u32,
    closed: bool,
    breaker: CircuitBreaker,
    running: u32,
    queue: WaitingQueue,
}

impl Gate {
    /// A gate that assumes `fallback_slots` until the target has announced its number of slots.
    pub fn new(fallback_slots: u32) -> Self {
        Gate {
            slots: None,
            fallback_slots,
            closed: false,
            breaker: CircuitBreaker::default(),
            running: 0,
            queue: WaitingQueue::default(),
        }
    }

    /// Sets the number of slots that the target announced.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = Some(slots);
    }

    /// Returns the maximum number of calls that may run at the target.
    pub fn limit(&self) -> u32 {
        let slots = self.slots.unwrap_or(self.fallback_slots);
        if slots <= MAX_SLOTS_ALL_USED {
            return slots.max(1);
        }
        (f64::from(slots) * USED_SLOT_FRACTION) as u32
    }

    /// Returns the load of the gate.
    pub fn load(&self) -> GateLoad {
        GateLoad { running: self.running, limit: self.limit(), waiting: self.queue.len() as u32 }
    }

    /// Returns whether new calls are refused.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns the target's circuit breaker.
    pub fn breaker(&self) -> &CircuitBreaker {
        &self.breaker
    }

    /// Returns the target's circuit breaker, to record what happens at the target.
    pub fn breaker_mut(&mut self) -> &mut CircuitBreaker {
        &mut self.breaker
    }

    /// Returns whether all calls are refused now.
    pub fn refuses_all(&self) -> bool {
        let has_no_trial_slot = self.breaker.is_tripped() && self.running >= self.limit();
        self.closed || self.breaker.is_blocking() || has_no_trial_slot
    }

    /// Returns whether all waiting calls are refused now.
    pub fn refuses_waiting(&self) -> bool {
        self.closed || self.breaker.is_tripped()
    }

    /// Decides on a call that may wait for at most `max_wait`. The second value is a waiting call that ranks behind it
    /// and is refused instead.
    pub fn admit(&mut self, rank: Rank, max_wait: Duration, now: Timestamp) -> (GateDecision, Option<QueueTicket>) {
        if self.refuses_all() {
            return (GateDecision::Refused(GateRefusal::Closed), None);
        }
        if self.running < self.limit() && self.queue.is_empty() {
            self.running += 1;
            if self.breaker.is_tripped() {
                self.breaker.trial_started();
            }
            return (GateDecision::Runs, None);
        }
        let displaced = if self.queue.len() >= self.limit() as usize * MAX_QUEUE_PER_RUNNING_CALL {
            match self.queue.last_behind(rank) {
                Some(ticket) => Some(ticket),
                None => return (GateDecision::Refused(GateRefusal::Overloaded), None),
            }
        } else {
            None
        };
        if max_wait.is_zero() {
            return (GateDecision::Refused(GateRefusal::Overloaded), None);
        }
        if let Some(ticket) = displaced {
            self.queue.remove(ticket);
        }
        (GateDecision::Waits(self.queue.push(rank, now + max_wait)), displaced)
    }

    /// Releases the slot of a call that has ended.
    pub fn release_slot(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Gives a free slot to the next waiting call; call again until it returns `None`.
    pub fn admit_waiting(&mut self) -> Option<QueueTicket> {
        if self.running >= self.limit() {
            return None;
        }
        let ticket = self.queue.pop()?;
        self.running += 1;
        Some(ticket)
    }

    /// Removes a waiting call whose caller is gone; returns whether it was still waiting.
    pub fn cancel_waiting(&mut self, ticket: QueueTicket) -> bool {
        self.queue.remove(ticket)
    }

    /// Removes a waiting call whose time to wait is over, to be refused; call again until it returns `None`.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<QueueTicket> {
        self.queue.pop_expired(now)
    }

    /// Returns when the next waiting call expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.queue.next_expiry()
    }

    /// Refuses all new calls from now on.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Accepts calls again.
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// If the gate is closed or the circuit breaker is tripped, removes a waiting call, to be refused; call again until it
    /// returns `None`.
    pub fn pop_refused(&mut self) -> Option<QueueTicket> {
        if self.refuses_waiting() {
            return self.queue.pop();
        }
        None
    }
}
