//! The gate before a target: it hands over at most what the target can work on, and queues or refuses the rest.

use std::time::Duration;

use quillhatch_types::Timestamp;

use crate::queue::{Rank, Ticket, WaitingQueue};

/// The share of a target's slots that is used, rounded down; some targets slow down when the last ones fill. Rounded up, all slots of a target
/// with 16 were in use, which then took 1.3 times as long: with such a scarce service the worth of five days was 0.682 instead of 0.726. A
/// smaller share takes a slot of a target with 20: 0.512 instead of 0.544 on a day on which such a service was scarce (one play each).
const USED_SHARE: f64 = 0.95;
/// The slots up to which all are used: one of them would be an eighth or more, which is what a target that slows down loses too.
const ALL_USED_UP_TO: u32 = 8;
/// The longest queue, as a multiple of the calls that run.
const QUEUE_PER_RUNNING: usize = 4;

/// How loaded a gate is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The calls that the target works on.
    pub running: u32,
    /// The most calls that it is given at a time.
    pub limit: u32,
    /// The calls that wait.
    pub waiting: u32,
}

impl Load {
    /// Running and waiting calls as a share of the limit; more than one if calls wait.
    pub fn utilization(&self) -> f64 {
        f64::from(self.running + self.waiting) / f64::from(self.limit.max(1))
    }
}

/// Why a gate does not take a call. In each case the call has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Too many calls wait.
    Overloaded,
    /// The target is leaving, or this node stops.
    Closed,
}

/// What becomes of a call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It goes to the target now.
    Runs,
    /// It waits; the caller keeps the ticket.
    Waits(Ticket),
    /// It is refused.
    Refused(Refusal),
}

/// The gate's state.
#[derive(Clone, Debug)]
pub struct Gate {
    slots: Option<u32>,
    fallback_slots: u32,
    closed: bool,
    running: u32,
    queue: WaitingQueue,
}

impl Gate {
    /// A gate that assumes `fallback_slots` until the target's own number is known.
    pub fn new(fallback_slots: u32) -> Self {
        Gate { slots: None, fallback_slots, closed: false, running: 0, queue: WaitingQueue::default() }
    }

    /// Takes the number of slots that the target announces.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = Some(slots);
    }

    /// The most calls that the target is given at a time.
    pub fn limit(&self) -> u32 {
        let slots = self.slots.unwrap_or(self.fallback_slots);
        if slots <= ALL_USED_UP_TO {
            return slots.max(1);
        }
        (f64::from(slots) * USED_SHARE) as u32
    }

    /// How loaded the gate is.
    pub fn load(&self) -> Load {
        Load { running: self.running, limit: self.limit(), waiting: self.queue.len() as u32 }
    }

    /// Whether new calls are refused.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// A call arrives that can wait for `patience`. The second value is a waiting call that gives way to it.
    pub fn admit(&mut self, rank: Rank, patience: Duration, now: Timestamp) -> (Admission, Option<Ticket>) {
        if self.closed {
            return (Admission::Refused(Refusal::Closed), None);
        }
        if self.running < self.limit() && self.queue.is_empty() {
            self.running += 1;
            return (Admission::Runs, None);
        }
        let displaced = if self.queue.len() >= self.limit() as usize * QUEUE_PER_RUNNING {
            match self.queue.lowest_ranked_behind(rank) {
                Some(ticket) => Some(ticket),
                None => return (Admission::Refused(Refusal::Overloaded), None),
            }
        } else {
            None
        };
        if patience.is_zero() {
            return (Admission::Refused(Refusal::Overloaded), None);
        }
        if let Some(ticket) = displaced {
            self.queue.remove(ticket);
        }
        (Admission::Waits(self.queue.push(rank, now + patience)), displaced)
    }

    /// A running call is over.
    pub fn release_slot(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// The next waiting call that goes to the target, if there is room; call again until there is none.
    pub fn admit_waiting(&mut self) -> Option<Ticket> {
        if self.running >= self.limit() {
            return None;
        }
        let ticket = self.queue.pop()?;
        self.running += 1;
        Some(ticket)
    }

    /// A waiting call has left; says whether it still waited.
    pub fn cancel_waiting(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// A waiting call whose time to wait is over and that is now refused; call again until there is none.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<Ticket> {
        self.queue.pop_expired(now)
    }

    /// When the next waiting call expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.queue.next_expiry()
    }

    /// Refuses all new calls from now on.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Takes calls again.
    pub fn open(&mut self) {
        self.closed = false;
    }

    /// A waiting call that is refused because the gate is closed; call again until there is none.
    pub fn pop_refused(&mut self) -> Option<Ticket> {
        if self.closed {
            return self.queue.pop();
        }
        None
    }
}
