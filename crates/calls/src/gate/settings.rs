//! Settings of a gate, and switches that turn its mechanisms off for comparison.
//!
//! What operators set per service (slots, connections, deadlines, the queue timeout) comes with the
//! [`Configuration`](quillhatch_types::Configuration); the values here are the same for the whole program.

use std::time::Duration;

use quillhatch_types::{NodeAddress, ServiceName};

/// Which mechanisms of the gate are enabled; by default all are.
///
/// The simulation disables them by name, to measure the effect of each. Do not disable any in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateMechanisms {
    /// Order and evict waiting attempts by rank; off: first in, first out, and a full queue refuses new attempts.
    pub priority_queue: bool,
    /// Refuse waiting attempts after the service's queue timeout; off: they may wait until their deadline.
    pub queue_timeout: bool,
    /// Limit the number of running attempts; off: only the back end's connections limit it.
    pub concurrency_limit: bool,
    /// Adapt the limit to the measured latency; off: the configured slots are the limit.
    pub adaptive_limit: bool,
    /// Lower the admission level under overload; off: it stays open.
    pub admission_level: bool,
    /// Refuse an arrival immediately if its expected wait is too long; off: it waits and is refused later.
    pub early_refusal: bool,
    /// Reserve a share of the limit for protected calls while some arrive.
    pub protected_reserve: bool,
    /// Ramp up the limit after a cold start of the back end.
    pub cold_start: bool,
    /// Limit large answers separately from short calls; off: they take the slots of short calls.
    pub large_answer_limit: bool,
    /// Refuse attempts with too little remaining time; off: they run although they cannot finish in time.
    pub deadline_check: bool,
    /// Let the back end's own health and load reports lower the limit within a bound.
    pub load_hint: bool,
    /// Request a claim before a non-repeatable attempt runs.
    pub claims: bool,
    /// Refuse arrivals while closed.
    pub drain: bool,
}

impl Default for GateMechanisms {
    fn default() -> Self {
        GateMechanisms {
            priority_queue: true,
            queue_timeout: true,
            concurrency_limit: true,
            adaptive_limit: true,
            admission_level: true,
            early_refusal: true,
            protected_reserve: true,
            cold_start: true,
            large_answer_limit: true,
            deadline_check: true,
            load_hint: true,
            claims: true,
            drain: true,
        }
    }
}

/// Settings of one gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateSettings {
    /// The service of the back end.
    pub service: ServiceName,
    /// The address of the gate's own node, which identifies its target in the configuration.
    pub node: NodeAddress,
    /// The maximum number of attempts that wait for a slot of the concurrency limit.
    pub maximum_waiting: usize,
    /// The maximum number of attempts that wait for the limit of large answers.
    pub maximum_waiting_large: usize,
    /// The maximum number of attempts that hold a slot at once, even if the configuration allows more.
    pub maximum_running: u32,
    /// The time after which an undecided claim request times out.
    pub claim_timeout: Duration,
    /// How long after the start of a drain attempts that are already waiting may still start.
    pub drain_grace: Duration,
    /// How long a non-repeatable attempt may run past its deadline, so that its answer can be recorded.
    pub deadline_overrun: Duration,
    /// The time over which the limit of a cold back end rises to the configured slots.
    pub cold_start: Duration,
    /// The share of the back end's slots that large answers may take, in percent.
    pub large_answer_share_percent: u8,
    /// The maximum number of bytes of large answers in flight.
    pub large_answer_bytes: u64,
    /// The share of the limit reserved for protected calls while some arrive, in percent.
    pub protected_reserve_percent: u8,
    /// The enabled mechanisms.
    pub mechanisms: GateMechanisms,
}

impl GateSettings {
    /// The default settings of the gate of `service` at `node`.
    pub fn new(service: ServiceName, node: NodeAddress) -> Self {
        GateSettings {
            service,
            node,
            maximum_waiting: 512,
            maximum_waiting_large: 128,
            maximum_running: 4096,
            claim_timeout: Duration::from_secs(1),
            drain_grace: Duration::from_millis(1_500),
            deadline_overrun: Duration::from_secs(10),
            cold_start: Duration::from_secs(3),
            large_answer_share_percent: 50,
            large_answer_bytes: 256 * 1024 * 1024,
            protected_reserve_percent: 10,
            mechanisms: GateMechanisms::default(),
        }
    }
}
