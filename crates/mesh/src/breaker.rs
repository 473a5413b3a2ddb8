//! A circuit breaker for a target that does not finish its responses.
//!
//! Such a target may have as many slots as all calls of its service need. After a response that it did not finish in
//! time it gets one trial call at a time, until it completes a response. Calls that run from before don't count: a
//! response that is read slowly may take long.

/// The circuit breaker of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    is_tripped: bool,
    trials: u32,
}

impl CircuitBreaker {
    /// Records a response that the target did not finish in time. Returns whether this has tripped the breaker.
    pub fn response_unfinished(&mut self) -> bool {
        !std::mem::replace(&mut self.is_tripped, true)
    }

    /// Records a complete response of the target. Returns whether the breaker was tripped.
    pub fn response_completed(&mut self) -> bool {
        std::mem::take(&mut self.is_tripped)
    }

    /// Whether the breaker is tripped, so that a call which is admitted is a trial.
    pub fn is_tripped(&self) -> bool {
        self.is_tripped
    }

    /// Whether no call is admitted, since a trial is running.
    pub fn is_blocking(&self) -> bool {
        self.is_tripped && self.trials > 0
    }

    /// Records that a trial starts.
    pub fn trial_started(&mut self) {
        self.trials += 1;
    }

    /// Records that a trial has ended.
    pub fn trial_ended(&mut self) {
        self.trials = self.trials.saturating_sub(1);
    }
}
