//! Settings of a gate, and the switches by which its mechanisms are compared.
//!
//! What operators set per service (slots, connections, deadlines, the queue timeout) comes with the
//! [`Configuration`](quillhatch_types::Configuration); the values here are the same for the whole program.

use std::time::Duration;

use quillhatch_types::{NodeAddress, ServiceName};

/// Which mechanisms of the gate are in force; all are by default.
///
/// Switching one off shows what it is worth: the simulation does so by name. It is no way to run a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateMechanisms {
    /// Order and evict waiting attempts by rank; off: first in, first out, and a full queue refuses the newcomer.
    pub priority_queue: bool,
    /// Refuse waiting attempts after the service's queue timeout; off: they wait until their deadline.
    pub queue_timeout: bool,
    /// Limit running attempts at all; off: only the back end's connections limit them.
    pub concurrency_limit: bool,
    /// Adapt the limit to measured latency; off: the configured slots are the limit.
    pub adaptive_limit: bool,
    /// Lower the admission level under overload; off: it stays open.
    pub admission_level: bool,
    /// Refuse an arrival at once when its expected wait is too long; off: it waits in vain.
    pub early_refusal: bool,
    /// Keep a share of the limit for protected calls while some arrive.
    pub protected_reserve: bool,
    /// Raise the limit step by step when the back end starts cold.
    pub cold_start: bool,
    /// Limit large answers apart from short calls; off: they take the slots of short calls.
    pub large_answer_limit: bool,
    /// Refuse attempts that have too little time left; off: they run in vain.
    pub deadline_check: bool,
    /// Heed the back end's own health and load reports within their bound.
    pub load_hint: bool,
    /// Ask for a claim before an attempt that may not be repeated runs.
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
    /// The address of the gate's own node, by which its target is found in the configuration.
    pub node: NodeAddress,
    /// The largest number of attempts that wait for a slot of the concurrency limit.
    pub maximum_waiting: usize,
    /// The largest number of attempts that wait to begin a large answer.
    pub maximum_waiting_large: usize,
    /// The largest number of attempts that hold a slot at once, whatever the configuration says.
    pub maximum_running: u32,
    /// The time after which an undecided claim is given up.
    pub claim_timeout: Duration,
    /// The time after a drain began during which attempts that already wait may still start.
    pub drain_grace: Duration,
    /// The time beyond its deadline that a run which may not be repeated is let go on, so that its answer is recorded.
    pub deadline_overrun: Duration,
    /// The time over which a cold back end's limit rises to the configured slots.
    pub cold_start: Duration,
    /// The share of the back end's slots that large answers may take, in percent.
    pub large_answer_share_percent: u8,
    /// The number of bytes of large answers on their way at once.
    pub large_answer_bytes: u64,
    /// The share of the limit that is kept for protected calls while some arrive, in percent.
    pub protected_reserve_percent: u8,
    /// The mechanisms in force.
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
