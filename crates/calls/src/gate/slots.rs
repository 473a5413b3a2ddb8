//! Selects the waiting attempt that gets a slot next, if one is free for it.

use quillhatch_types::Timestamp;

use super::attempt::{is_protected, Lane};
use super::io::GateOutput;
use super::machine::Gate;

impl Gate {
    /// Whether a slot is free for an attempt of this lane.
    pub(super) fn has_free_slot(&mut self, now: Timestamp, lane: Lane, protected: bool) -> bool {
        let connections = self.target.as_ref().map_or(0, |target| target.connections);
        if self.slots.total + self.large_limit.streams() >= connections {
            return false;
        }
        match lane {
            Lane::Large => self.has_free_large_slot(now, protected),
            Lane::Short => self.has_free_short_slot(now, protected),
        }
    }

    /// The number of slots that short calls may hold: all that large answers do not use, and at least the share that
    /// large answers may not take.
    pub(super) fn short_call_limit(&mut self, now: Timestamp) -> u32 {
        let limit = self.concurrency_limit(now);
        let guaranteed = limit - limit * self.large_share_percent() / 100;
        limit.saturating_sub(self.large_limit.streams()).max(guaranteed)
    }

    fn has_free_short_slot(&mut self, now: Timestamp, protected: bool) -> bool {
        let limit = self.short_call_limit(now);
        if self.slots.total >= limit {
            return false;
        }
        if protected {
            return true;
        }
        // At such a level edges refuse even protected calls, so no less important call may take their place.
        if self.only_protected() {
            return false;
        }
        self.slots.unprotected < limit - self.reserve(now, limit)
    }

    fn has_free_large_slot(&mut self, now: Timestamp, protected: bool) -> bool {
        if !self.large_limit.has_capacity() || (!protected && self.only_protected()) {
            return false;
        }
        self.large_limit.streams() == 0 || self.slots.total + self.large_limit.streams() < self.concurrency_limit(now)
    }

    fn only_protected(&self) -> bool {
        self.settings.mechanisms.admission_level && self.admission.only_protected()
    }

    /// Assigns free slots to waiting attempts.
    ///
    /// A large answer holds its slot for a long time and is never stopped, so none starts while a more important short
    /// call waits. Short calls still start while a more important large answer waits for other large answers to end.
    pub(super) fn start_waiting(&mut self, now: Timestamp, outputs: &mut Vec<GateOutput>) {
        while let Some(lane) = self.first_lane(now) {
            let started = self.start_next(now, lane, outputs)
                || (lane == Lane::Large && self.start_next(now, Lane::Short, outputs));
            if !started {
                break;
            }
        }
    }

    /// The lane whose first waiting attempt is the next to start.
    fn first_lane(&self, now: Timestamp) -> Option<Lane> {
        let overloaded = self.overloaded(now);
        let key = |lane: Lane| {
            let (_, head) = self.queue(lane).peek(overloaded)?;
            Some((self.queue(lane).precedence(&head, overloaded), lane))
        };
        [key(Lane::Short), key(Lane::Large)].into_iter().flatten().min().map(|(_, lane)| lane)
    }

    /// Assigns a slot to the first waiting attempt of a lane; returns `false` if none waits or no slot is free for it.
    fn start_next(&mut self, now: Timestamp, lane: Lane, outputs: &mut Vec<GateOutput>) -> bool {
        let Some((ticket, waiting)) = self.queue(lane).peek(self.overloaded(now)) else { return false };
        if !self.has_free_slot(now, lane, is_protected(waiting.rank)) {
            return false;
        }
        self.queue_mut(lane).remove(ticket);
        self.take_slot(now, waiting.attempt, outputs);
        true
    }
}
