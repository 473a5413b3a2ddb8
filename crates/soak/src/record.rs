//! What callers and targets saw, and what was done to the machines.

use std::time::{Duration, Instant};

use crate::layout::{RouteKind, CRASH_DOWNTIME};
use crate::tenancy::SoakKey;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With an answer.
    Answered {
        /// Its status code.
        status: u16,
        /// Whether it carries the id of the request, and as a success also the target's signature and whole body.
        is_own: bool,
    },
    /// The connection ended without a whole answer.
    Cut,
    /// Nothing came in the time that the caller gave.
    Silent,
    /// Nobody took the connection.
    Unreached,
}

/// A call as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The request's id.
    pub id: String,
    /// What was asked for.
    pub kind: RouteKind,
    /// The key that it carries.
    pub key: SoakKey,
    /// The machine whose node it was sent to.
    pub machine: usize,
    /// When its last byte was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: CallEnd,
}

/// A request as a target saw it.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The request's id.
    pub id: String,
    /// The machine of the target.
    pub machine: usize,
    /// When the target began to work on it.
    pub at: Instant,
    /// Its method, path and body.
    pub request: (String, String, String),
    /// The service that the node named as its caller.
    pub caller_service: String,
    /// The tenant that the node named; empty if it named none.
    pub tenant: String,
    /// Whether it brought a key.
    pub has_key: bool,
}

impl RunRecord {
    /// Whether its request crashes targets.
    pub fn crashes_targets(&self) -> bool {
        self.request.1 == RouteKind::Crashing.path()
    }
}

/// A time in which something was wrong with a machine, or with all of them.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    /// The machine; `None` for all.
    pub machine: Option<usize>,
    /// When it began.
    pub from: Instant,
    /// When it was over.
    pub until: Instant,
}

/// A configuration that the store has acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct ConfigWrite {
    /// The service of [`RouteKind::Moving`] in it.
    pub moving: &'static str,
    /// When it was acknowledged.
    pub acked: Instant,
}

/// A time in which a target's entry said that it is draining, or in which it had none since it had left.
#[derive(Clone, Copy, Debug)]
pub struct DrainSpan {
    /// The target's machine.
    pub machine: usize,
    /// When the store acknowledged it.
    pub acked: Instant,
    /// When it was registered as before.
    pub until: Instant,
}

/// A planned stop of a process.
#[derive(Clone, Copy, Debug)]
pub struct StopSpan {
    /// The machine.
    pub machine: usize,
    /// When the process was asked to stop.
    pub requested: Instant,
    /// How long its callers went on, and its process had to end.
    pub grace: Duration,
}

/// A process that was started after another one had ended on its machine.
#[derive(Clone, Copy, Debug)]
pub struct ProcessStart {
    /// The machine.
    pub machine: usize,
    /// When.
    pub at: Instant,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct SoakRecord {
    /// Calls, in the order of their ends.
    pub calls: Vec<CallRecord>,
    /// Requests at targets.
    pub runs: Vec<RunRecord>,
    /// What was wrong, and when.
    pub fault_spans: Vec<FaultSpan>,
    /// Configurations, in order.
    pub configs: Vec<ConfigWrite>,
    /// Drains.
    pub drains: Vec<DrainSpan>,
    /// Planned stops.
    pub stops: Vec<StopSpan>,
    /// When targets began to run requests that crash them.
    pub crashes: Vec<Instant>,
    /// Starts of processes, without the first ones.
    pub starts: Vec<ProcessStart>,
    /// The most requests that a target has worked on at a time.
    pub max_running: u32,
}

impl SoakRecord {
    /// Whether all machines were without faults from `settle` before `from` until `until`.
    pub fn is_fault_free(&self, settle: Duration, from: Instant, until: Instant) -> bool {
        !self.fault_spans.iter().any(|fault_span| fault_span.from <= until && fault_span.until + settle >= from)
    }

    /// The same, and no target was crashed by a request.
    pub fn is_fault_and_crash_free(&self, settle: Duration, from: Instant, until: Instant) -> bool {
        let is_crashed = self.crashes.iter().any(|at| *at <= until && *at + CRASH_DOWNTIME + settle >= from);
        !is_crashed && self.is_fault_free(settle, from, until)
    }
}
