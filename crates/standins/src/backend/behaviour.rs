//! How a back end behaves: its slots, its service time, and its faults.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use super::record::{RunAnswer, Runs};
use super::BackendOptions;

/// The header in which a caller names its request; back ends pass it on.
pub const IDENTITY_HEADER: &str = "x-request-identity";

/// The opaque header that a back end copies to the calls it makes.
pub const CONTEXT_HEADER: &str = "quillhatch-context";

/// The longest factor by which contention slows a call down.
const CONTENTION_LIMIT: f64 = 4.0;

/// How a back end misbehaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// The service time is multiplied by this.
    pub slowdown: f64,
    /// Every call runs longer by this many milliseconds.
    pub delay_milliseconds: u64,
    /// Every call is answered 503 before it runs.
    pub shedding: bool,
    /// Calls stop in the middle of their answer after this many bytes.
    pub break_after_bytes: Option<u64>,
    /// The health endpoint says healthy whatever happens.
    pub always_healthy: bool,
    /// The load endpoint answers this instead of the truth.
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

/// The state of a back end.
pub struct Behaviour {
    /// What it is like.
    pub options: BackendOptions,
    /// What it has run.
    pub runs: Runs,
    slots: Semaphore,
    waiting: AtomicUsize,
    faults: Mutex<BackendFaults>,
    client: reqwest::Client,
}

/// A call as the back end sees it.
pub struct Arrival {
    /// The path.
    pub path: String,
    /// The identity that the caller gave.
    pub identity: String,
    /// The opaque header of the node, to be copied.
    pub context: Option<String>,
    /// When the caller stops waiting, if it said so.
    pub deadline: Option<Instant>,
}

impl Behaviour {
    /// A back end as `options` say.
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

    /// The faults in force.
    pub fn faults(&self) -> BackendFaults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Running and waiting calls as a share of the slots.
    pub fn load(&self) -> f64 {
        let running = self.options.slots - self.slots.available_permits();
        (running + self.waiting.load(Ordering::Relaxed)) as f64 / self.options.slots as f64
    }

    /// Runs a call to its end, or `None` if the caller's deadline passed while it waited.
    pub async fn run(&self, arrival: &Arrival) -> Option<RunAnswer> {
        let _slot = self.wait_for_slot(arrival.deadline).await?;
        self.runs.start(&arrival.identity, &arrival.path);
        let service_time = self.service_time();
        // Even an empty sleep lasts until the next tick of the timer.
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

    /// Contention: what waits costs the calls that run, as in a real process that thrashes.
    fn service_time(&self) -> Duration {
        let waiting = self.waiting.load(Ordering::Relaxed) as f64;
        let contention = (1.0 + waiting / self.options.slots as f64 / 4.0).min(CONTENTION_LIMIT);
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
