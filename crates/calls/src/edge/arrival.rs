//! Checks a call on arrival and starts it.

use quillhatch_types::call::MAXIMUM_DEPTH;
use quillhatch_types::{ClassConfiguration, Refusal, RefusalReason, Timestamp};

use super::budget::RetryBudget;
use super::call::Call;
use super::caller::{KeyHash, KeyHistory};
use super::deadline::Deadline;
use super::io::{CallArrival, EdgeOutput};
use super::state::Edge;

impl Edge {
    /// Refuses a call that cannot run, or starts it and dispatches its first attempt.
    pub(super) fn arrived(&mut self, now: Timestamp, arrival: CallArrival, outputs: &mut Vec<EdgeOutput>) {
        if self.calls.contains_key(&arrival.call) {
            self.statistics.stale_inputs += 1;
            return;
        }
        self.statistics.arrived += 1;
        if arrival.outgoing && arrival.parent.is_none() {
            self.statistics.without_context += 1;
        }
        let key = self.record_key(now, &arrival);
        let reuses_key = key.is_some_and(|(_, earlier)| earlier.used_recently);
        match self.check(now, &arrival, reuses_key) {
            Ok(class) => {
                let mut call = self.start(now, arrival, &class);
                call.key = key;
                call.ranks_as_retry |= reuses_key;
                self.dispatch(now, Box::new(call), outputs);
            }
            Err(refusal) => self.refuse_arrival(&arrival, key, refusal, outputs),
        }
    }

    /// Records the key of a root call. Child calls are exempt, since the retry budget of their tree bounds them.
    fn record_key(&mut self, now: Timestamp, arrival: &CallArrival) -> Option<(KeyHash, KeyHistory)> {
        if arrival.parent.is_some() {
            return None;
        }
        let key = arrival.key.as_ref()?;
        let hash = KeyHash::new(&arrival.caller, &arrival.service, key);
        let earlier = self.callers.record_key(hash, now);
        if earlier.used_recently {
            self.statistics.reused_keys += 1;
        }
        Some((hash, earlier))
    }

    fn check(
        &mut self,
        now: Timestamp,
        arrival: &CallArrival,
        reuses_key: bool,
    ) -> Result<ClassConfiguration, Refusal> {
        let retry_after = self.settings.level.retry_after;
        // Calls made on behalf of calls in progress are still accepted: a planned shutdown interrupts nothing in
        // flight.
        if self.stopping && arrival.parent.is_none() && !arrival.outgoing {
            return Err(Refusal::not_run(RefusalReason::Stopping).with_retry_after(retry_after));
        }
        if arrival.parent.as_ref().is_some_and(|parent| parent.depth >= MAXIMUM_DEPTH) {
            return Err(Refusal::not_run(RefusalReason::TooDeep));
        }
        let service = self.services.get(&arrival.service);
        let class = service.and_then(|service| service.class(&arrival.class)).cloned();
        let class = class.ok_or(Refusal::not_run(RefusalReason::NoRoute))?;
        // Without a digest the claim could not distinguish a retry from another request with the same key.
        if !class.repeatable && arrival.key.is_some() && arrival.digest.is_none() {
            return Err(Refusal::not_run(RefusalReason::BadRequest));
        }
        if self.calls.len() >= self.settings.maximum_calls {
            return Err(Refusal::not_run(RefusalReason::Overloaded).with_retry_after(retry_after));
        }
        if self.settings.mechanisms.caller_limit && arrival.parent.is_none() {
            let admitted = self.callers.admit(&arrival.caller, reuses_key, now);
            admitted.map_err(|wait| Refusal::not_run(RefusalReason::CallerRate).with_retry_after(wait))?;
        }
        Ok(class)
    }

    fn start(&self, now: Timestamp, arrival: CallArrival, class: &ClassConfiguration) -> Call {
        let parent = arrival.parent.as_ref();
        let minimum_time = self
            .services
            .get(&arrival.service)
            .map_or(std::time::Duration::ZERO, |service| service.configuration().minimum_time);
        let limits = [arrival.remaining, Some(class.deadline), parent.map(|parent| parent.remaining)];
        let deadline = Deadline::new(now, limits, minimum_time);
        let tokens = match parent {
            Some(parent) => parent.tokens,
            None if arrival.outgoing => 0,
            None => class.retry_budget,
        };
        let bounded = self.settings.mechanisms.retry_budget;
        let budget = RetryBudget::new(tokens, self.settings.retry.retained_tokens_percent, bounded);
        Call::new(arrival, class, deadline, budget)
    }
}
