//! The behaviour of a back end: its slots, its service time and its injected faults.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use super::record::{RunAnswer, Runs};
use super::BackendOptions;

/// The header with the identity of a request. Back ends send it with their child calls, with the child's path appended.
pub const IDENTITY_HEADER: &str = "x-request-identity";

/// The opaque header that a back end copies to its child calls.
pub const CONTEXT_HEADER: &str = "quillhatch-context";

/// The maximum factor by which contention lengthens the service time.
const MAX_CONTENTION_FACTOR: f64 = 4.0;

/// The faults injected into a back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// The factor by which the service time is multiplied.
    pub slowdown: f64,
    /// The service time of every call is longer by this many milliseconds.
    pub delay_milliseconds: u64,
    /// Every call is refused with 503 and does not run.
    pub shedding: bool,
    /// File downloads are aborted once this many bytes were sent.
    pub break_after_bytes: Option<u64>,
    /// The health endpoint reports healthy even while calls are shed.
    pub always_healthy: bool,
    /// The load endpoint returns this value instead of the actual load.
    pub claimed_load: Option<f64>,
}

impl Default for BackendFaults {
    fn default() -> Self {
        BackendFaults {
            slowdown: 1.0,
            delay_milliseconds: 0,
            shedding: false,
            break_after_bytes: None,
            always_healthy: true,
            claimed_load: None,
        }
    }
}

/// The options and the state of a back end.
pub struct Behaviour {
    /// The options of the back end.
    pub options: BackendOptions,
    /// The record of its runs.
    pub runs: Runs,
    slots: Semaphore,
    waiting: AtomicUsize,
    faults: Mutex<BackendFaults>,
    client: reqwest::Client,
}

/// A call as received by the back end.
pub struct Arrival {
    /// The path without the service's prefix.
    pub path: String,
    /// The identity of the request.
    pub identity: String,
    /// The opaque context header from the node, which child calls copy.
    pub context: Option<String>,
    /// The time at which the caller stops waiting, if the request states it.
    pub deadline: Option<Instant>,
}

impl Behaviour {
    /// Creates a back end with `options` and without faults.
    pub fn new(options: BackendOptions) -> Self {
        Behaviour {
            slots: Semaphore::new(options.slots),
            options,
            runs: Runs::default(),
            waiting: AtomicUsize::new(0),
            faults: Mutex::new(BackendFaults::default()),
            client: reqwest::Client::new(),
        }
    }

    /// Returns the active faults.
    pub fn faults(&self) -> BackendFaults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns the number of running and waiting calls divided by the number of slots.
    pub fn load(&self) -> f64 {
        let running = self.options.slots - self.slots.available_permits();
        (running + self.waiting.load(Ordering::Relaxed)) as f64 / self.options.slots as f64
    }

    /// Runs a call to its end, or returns `None` if the caller's deadline passed while the call waited for a slot.
    pub async fn run(&self, arrival: &Arrival) -> Option<RunAnswer> {
        let _slot = self.wait_for_slot(arrival.deadline).await?;
        self.runs.start(&arrival.identity, &arrival.path);
        let service_time = self.service_time();
        // Even a sleep of zero lasts until the next tick of the timer.
        if !service_time.is_zero() {
            tokio::time::sleep(service_time).await;
        }
        let children = self.call_children(arrival).await;
        self.runs.finish(&arrival.identity);
        Some(RunAnswer { identity: arrival.identity.clone(), backend: self.options.name.clone(), children })
    }

    async fn wait_for_slot(&self, deadline: Option<Instant>) -> Option<tokio::sync::SemaphorePermit<'_>> {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let acquire = self.slots.acquire();
        let slot = match deadline {
            Some(deadline) => tokio::time::timeout_at(deadline.into(), acquire).await.ok().and_then(Result::ok),
            None => acquire.await.ok(),
        };
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        slot
    }

    /// Returns the service time, which grows with the number of waiting calls like that of a real process under
    /// contention.
    fn service_time(&self) -> Duration {
        let waiting = self.waiting.load(Ordering::Relaxed) as f64;
        let contention = (1.0 + waiting / self.options.slots as f64 / 4.0).min(MAX_CONTENTION_FACTOR);
        let faults = self.faults();
        let delay = Duration::from_millis(faults.delay_milliseconds);
        self.options.service_time.mul_f64(faults.slowdown * contention) + delay
    }

    async fn call_children(&self, arrival: &Arrival) -> Vec<String> {
        let mut answers = Vec::new();
        let children = self.options.children.iter().filter(|child| arrival.path.starts_with(&child.below));
        for child in children {
            let Some(answer) = self.call_child(arrival, &child.method, &child.path).await else { break };
            answers.push(answer);
        }
        answers
    }

    async fn call_child(&self, arrival: &Arrival, method: &str, path: &str) -> Option<String> {
        let edge = self.options.edge?;
        let method = reqwest::Method::from_bytes(method.as_bytes()).ok()?;
        let identity = format!("{}>{}", arrival.identity, path);
        let mut request = self.client.request(method, format!("http://{edge}{path}")).header(IDENTITY_HEADER, identity);
        if let Some(context) = &arrival.context {
            request = request.header(CONTEXT_HEADER, context);
        }
        let answer = request.send().await.ok()?.error_for_status().ok()?;
        answer.text().await.ok()
    }
}
