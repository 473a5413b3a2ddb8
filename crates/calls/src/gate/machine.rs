//! The state of a gate and its step function.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quillhatch_types::{
    AdmissionLevel, AttemptId, CallId, Configuration, Epoch, Feedback, ParentContext, Refusal, RefusalReason, Revision,
    Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::admission::{AdmissionController, GateState};
use super::attempt::{Attempt, Lane, Phase};
use super::classes::GateTarget;
use super::cold_start::ColdStart;
use super::hint::HintWeight;
use super::io::{GateInput, GateOutput};
use super::large_answers::LargeAnswerLimit;
use super::limit::{AdaptiveLimit, ConcurrencyLimit, FixedLimit, LimitBounds};
use super::queue::{QueueOrder, WaitingQueue};
use super::recent::RecentAttempts;
use super::settings::GateSettings;

const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Weight of the admission level in the retry-after time: at the lowest level it adds this many queue timeouts.
const RETRY_AFTER_LEVEL_FACTOR: f64 = 4.0;
/// Weight of the newest sample in the moving average of the time for which an attempt holds a slot.
const SLOT_TIME_GAIN: f64 = 0.1;
/// How long slots remain reserved for protected calls after the last one arrived.
const RESERVE_DURATION: Duration = Duration::from_secs(5);
/// The smallest limit of which a part is reserved for protected calls.
const MIN_LIMIT_FOR_RESERVE: u32 = 4;

/// Why and since when a gate accepts no new attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClosedState {
    pub(super) reason: RefusalReason,
    pub(super) since: Timestamp,
    pub(super) idle_reported: bool,
}

/// Slots held by short calls, from the end of their wait until they end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotCount {
    pub(super) total: u32,
    pub(super) unprotected: u32,
}

/// The state machine that decides which attempts run at one back end; see [the module](super) for their phases.
#[derive(Debug)]
pub struct Gate {
    pub(super) settings: GateSettings,
    pub(super) random: Pcg64,
    pub(super) target: Option<GateTarget>,
    pub(super) limit: Box<dyn ConcurrencyLimit>,
    pub(super) cold_start: ColdStart,
    pub(super) hint: HintWeight,
    pub(super) admission: AdmissionController,
    pub(super) large_limit: LargeAnswerLimit,
    pub(super) short_queue: WaitingQueue,
    pub(super) large_queue: WaitingQueue,
    pub(super) slots: SlotCount,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    /// Timeouts of claims and deadlines of running attempts; the queues hold the expiry times of waiting ones.
    pub(super) timers: BTreeSet<(Timestamp, AttemptId)>,
    pub(super) recent: RecentAttempts,
    pub(super) closed: Option<ClosedState>,
    pub(super) mean_slot_seconds: f64,
    pub(super) last_protected_arrival: Option<Timestamp>,
    epoch: Epoch,
    revision: Revision,
}

impl Gate {
    /// Creates a gate that refuses every attempt as not ready until it receives a configuration that lists its target.
    ///
    /// `seed` seeds the random generator, which is used only for the jitter of the retry-after times.
    pub fn new(settings: GateSettings, seed: u64) -> Self {
        let order = if settings.mechanisms.priority_queue { QueueOrder::Rank } else { QueueOrder::Arrival };
        let bounds = LimitBounds { initial_limit: 1, maximum: 1 };
        let cold_start = if settings.mechanisms.cold_start { settings.cold_start } else { Duration::ZERO };
        Gate {
            random: Pcg64::seed_from_u64(seed),
            target: None,
            limit: new_limit(&settings, bounds),
            cold_start: ColdStart::new(cold_start),
            hint: HintWeight::default(),
            admission: AdmissionController::new(),
            large_limit: LargeAnswerLimit::new(settings.large_answer_bytes),
            short_queue: WaitingQueue::new(order),
            large_queue: WaitingQueue::new(order),
            slots: SlotCount::default(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            recent: RecentAttempts::default(),
            closed: None,
            mean_slot_seconds: 0.0,
            last_protected_arrival: None,
            epoch: Epoch::default(),
            revision: Revision::default(),
            settings,
        }
    }

    /// Processes one input at `now` and appends the resulting actions to `outputs`.
    pub fn step(&mut self, now: Timestamp, input: GateInput, outputs: &mut Vec<GateOutput>) {
        self.expire(now, outputs);
        match input {
            GateInput::Arrived(context) => self.arrive(now, context, outputs),
            GateInput::ClaimResolved { attempt, resolution } => self.claim_resolved(now, attempt, resolution, outputs),
            GateInput::AnswerStarted { attempt, status, length } => self.answer_started(now, attempt, status, length),
            GateInput::AnswerEnded { attempt, end } => self.answer_ended(now, attempt, end, outputs),
            GateInput::Cancelled { attempt } => self.cancelled(now, attempt, outputs),
            GateInput::Hint(hint) => self.hint.record(now, hint),
            GateInput::Configuration(configuration) => self.configure(&configuration),
            GateInput::Close { reason } => self.close(now, reason),
            GateInput::Open => self.closed = None,
            GateInput::Tick => {}
        }
        self.start_waiting(now, outputs);
        self.advance_admission(now);
        self.report_idle(outputs);
    }

    /// The time at which the gate must be stepped with [`GateInput::Tick`], unless another input comes first.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let queues = [self.short_queue.first_expiry(), self.large_queue.first_expiry()];
        let queues = queues.into_iter().flatten().map(|(at, _)| at);
        let timer = self.timers.first().map(|(at, _)| *at);
        queues.chain(timer).chain(self.admission.next_wake()).chain(self.drain_end()).min()
    }

    /// The end of the drain's grace period, during which waiting attempts may still start; `None` if none waits.
    fn drain_end(&self) -> Option<Timestamp> {
        let closed = self.closed.filter(|closed| closed.reason == RefusalReason::Draining)?;
        let any_waiting = !self.short_queue.is_empty() || !self.large_queue.is_empty();
        any_waiting.then_some(closed.since + self.settings.drain_grace)
    }

    /// The feedback that goes to the edge with an answer. If `attempt` is given, its retry tokens go with it.
    ///
    /// Call this once per answer, when its head is sent: tokens that child calls return later are lost.
    pub fn feedback(&mut self, now: Timestamp, attempt: Option<AttemptId>) -> Feedback {
        let tokens = attempt.and_then(|attempt| self.attempts.get_mut(&attempt)).map(|entry| entry.tokens.report());
        self.advance_admission(now);
        self.feedback_with(now, tokens.unwrap_or(0))
    }

    /// Sets the service epoch known to this node, which the feedback reports.
    pub fn set_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
    }

    /// Sets the configuration revision in force at this node, which the feedback reports.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Lends up to `wanted` retry tokens of a running call to a child call, and returns what the child inherits.
    ///
    /// Returns `None` if the call is not running at the back end: the child then has no known parent and gets no
    /// budget.
    pub fn lend_tokens(&mut self, now: Timestamp, parent: CallId, wanted: u16) -> Option<ParentContext> {
        let range = attempts_of(parent);
        let running = |entry: &&mut Attempt| matches!(entry.phase, Phase::Running { .. });
        let entry = self.attempts.range_mut(range).rev().map(|(_, entry)| entry).find(running)?;
        Some(ParentContext {
            call: parent,
            root: entry.context.root,
            depth: entry.context.depth,
            priority: entry.context.priority,
            retry: entry.is_retry(),
            tokens: entry.tokens.lend(wanted),
            remaining: now.until(entry.deadline),
        })
    }

    /// Returns tokens that a child call did not use. Tokens that were not lent here, or come back too late, are lost.
    pub fn return_tokens(&mut self, parent: CallId, tokens: u16) {
        let mut unmatched = tokens;
        for (_, entry) in self.attempts.range_mut(attempts_of(parent)).rev() {
            unmatched = entry.tokens.take_back(unmatched);
        }
    }

    /// The concurrency limit in force at `now`, including the effects of cold start and load hints.
    pub fn concurrency_limit(&mut self, now: Timestamp) -> u32 {
        let Some(target) = &self.target else { return 0 };
        let connections = target.connections;
        if !self.settings.mechanisms.concurrency_limit {
            return connections;
        }
        let mut limit = f64::from(self.limit.limit());
        if let Some(cap) = self.cold_start.cap(now, target.slots) {
            limit = limit.min(cap);
        }
        if self.settings.mechanisms.load_hint {
            limit *= self.hint.factor(now, self.limit.congested());
        }
        (limit as u32).clamp(1, connections)
    }

    fn configure(&mut self, configuration: &Configuration) {
        let Some(target) = GateTarget::read(configuration, &self.settings, self.target.as_ref()) else { return };
        let max_streams = target.slots * u32::from(self.settings.large_answer_share_percent.min(100)) / 100;
        self.large_limit.set_max_streams(max_streams);
        let bounds = LimitBounds { initial_limit: target.slots, maximum: target.connections };
        if self.target.is_none() {
            self.limit = new_limit(&self.settings, bounds);
        } else {
            self.limit.set_bounds(bounds);
        }
        self.target = Some(target);
    }

    fn close(&mut self, now: Timestamp, reason: RefusalReason) {
        if !self.settings.mechanisms.drain {
            return;
        }
        match &mut self.closed {
            // A drain's grace period starts with the drain, not with an earlier close for another reason.
            Some(closed) if closed.reason == reason => {}
            Some(closed) => *closed = ClosedState { reason, since: now, ..*closed },
            None => self.closed = Some(ClosedState { reason, since: now, idle_reported: false }),
        }
    }

    fn report_idle(&mut self, outputs: &mut Vec<GateOutput>) {
        if let Some(closed) = self.closed.as_mut().filter(|closed| !closed.idle_reported) {
            if self.attempts.is_empty() {
                closed.idle_reported = true;
                outputs.push(GateOutput::Idle);
            }
        }
    }

    pub(super) fn queue(&self, lane: Lane) -> &WaitingQueue {
        match lane {
            Lane::Short => &self.short_queue,
            Lane::Large => &self.large_queue,
        }
    }

    pub(super) fn queue_mut(&mut self, lane: Lane) -> &mut WaitingQueue {
        match lane {
            Lane::Short => &mut self.short_queue,
            Lane::Large => &mut self.large_queue,
        }
    }

    pub(super) fn overloaded(&self, now: Timestamp) -> bool {
        self.admission.overloaded(now)
    }

    fn advance_admission(&mut self, now: Timestamp) {
        if !self.settings.mechanisms.admission_level {
            return;
        }
        if let Some(target) = &self.target {
            if self.short_queue.longest_wait(now) > target.queue_timeout / 2 {
                self.admission.record_pressure(now);
            }
        }
        let unprotected_waits = [Lane::Short, Lane::Large].into_iter().any(|lane| {
            let least = self.queue(lane).least_important();
            least.is_some_and(|(_, waiting)| !super::attempt::is_protected(waiting.rank))
        });
        let idle = self.short_queue.is_empty() && self.slots.total < self.short_call_limit(now);
        self.admission
            .advance(now, GateState { unprotected_present: unprotected_waits || self.slots.unprotected > 0, idle });
    }

    pub(super) fn level(&self) -> AdmissionLevel {
        if self.settings.mechanisms.admission_level {
            self.admission.level()
        } else {
            AdmissionLevel::OPEN
        }
    }

    pub(super) fn feedback_with(&mut self, now: Timestamp, tokens_left: u16) -> Feedback {
        let waiting = self.short_queue.len() + self.large_queue.len();
        Feedback {
            level: self.level(),
            running: self.slots.total + self.large_limit.streams(),
            waiting: waiting as u32,
            limit: self.concurrency_limit(now),
            tokens_left,
            epoch: self.epoch,
            revision: self.revision,
        }
    }

    /// The share of the limit that large answers may take, in percent; zero if no class of the service has large
    /// answers.
    pub(super) fn large_share_percent(&self) -> u32 {
        let separate = self.settings.mechanisms.large_answer_limit;
        let large = separate && self.target.as_ref().is_some_and(GateTarget::has_large_answers);
        if large {
            u32::from(self.settings.large_answer_share_percent.min(100))
        } else {
            0
        }
    }

    /// The number of slots out of `limit` that are reserved for protected calls.
    pub(super) fn reserve(&self, now: Timestamp, limit: u32) -> u32 {
        let recent = self.last_protected_arrival.is_some_and(|at| now.since(at) < RESERVE_DURATION);
        if !self.settings.mechanisms.protected_reserve || !recent || limit < MIN_LIMIT_FOR_RESERVE {
            return 0;
        }
        (limit * u32::from(self.settings.protected_reserve_percent.min(50)) / 100).max(1)
    }

    pub(super) fn record_slot_time(&mut self, held: Duration) {
        let sample = held.as_secs_f64();
        if self.mean_slot_seconds == 0.0 {
            self.mean_slot_seconds = sample;
        }
        self.mean_slot_seconds += SLOT_TIME_GAIN * (sample - self.mean_slot_seconds);
    }

    /// A refusal for lack of capacity, whose retry-after time grows as the admission level falls.
    pub(super) fn overload_refusal(&mut self, reason: RefusalReason) -> Refusal {
        let timeout = self.target.as_ref().map(|target| target.queue_timeout).unwrap_or_default();
        let level_reduction = 1.0 - f64::from(self.level().0) / f64::from(AdmissionLevel::OPEN.0);
        // The jitter keeps callers that were refused together from retrying at the same time.
        let jitter = self.random.gen_range(0.5..1.5);
        let retry_after = timeout.mul_f64((1.0 + RETRY_AFTER_LEVEL_FACTOR * level_reduction) * jitter);
        Refusal::not_run(reason).with_retry_after(retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }
}

fn attempts_of(call: CallId) -> std::ops::RangeInclusive<AttemptId> {
    AttemptId { call, attempt: 0 }..=AttemptId { call, attempt: u8::MAX }
}

fn new_limit(settings: &GateSettings, bounds: LimitBounds) -> Box<dyn ConcurrencyLimit> {
    if settings.mechanisms.adaptive_limit {
        Box::new(AdaptiveLimit::new(bounds))
    } else {
        Box::new(FixedLimit::new(bounds))
    }
}
