//! The record of a soak: what callers and targets observed, and what was done to the machines.

use std::time::{Duration, Instant};

use quillhatch_platform_standins::target::{ChainedRecord, FinishedRun, RunningPeak};

use crate::layout::{RouteKind, CRASH_DOWNTIME};
use crate::target_status::{AnnouncementSpan, ArrivalRecord, NestedResponse, RateLimitSpan, ResponderStatus};
use crate::tenancy::SoakKey;

/// How a call ended for its caller. The soak prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller received a complete response.
    Answered {
        /// Its status code.
        status: u16,
        /// Whether the response has the id of the request and, on success, also the target's signature and complete
        /// body.
        is_own: bool,
        /// Whether it has a target's signature. Otherwise it is a node's.
        is_signed: bool,
    },
    /// The connection was reset or closed before a complete response.
    Cut,
    /// The call timed out.
    Silent,
    /// The connection was refused or could not be opened in time.
    Unreached,
    /// The request was sent behind another one, whose response closed the connection.
    Unread,
}

/// A call as observed by its caller.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The request's id.
    pub id: String,
    /// The kind of the request.
    pub kind: RouteKind,
    /// The API key that was sent with it.
    pub key: SoakKey,
    /// The machine whose node it was sent to.
    pub machine: usize,
    /// When its last byte was sent.
    pub sent: Instant,
    /// When the call ended.
    pub ended: Instant,
    /// The deadline that was sent with it.
    pub deadline: Duration,
    /// How the call ended.
    pub end: CallEnd,
    /// What the target announced in the response.
    pub responder: ResponderStatus,
}

/// A call that a target made, as it observed it.
#[derive(Clone, Debug)]
pub struct NestedCall {
    /// The machine of the target.
    pub machine: usize,
    /// The call.
    pub call: ChainedRecord,
}

/// A request as observed by a target.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The request's id.
    pub id: String,
    /// The machine of the target.
    pub machine: usize,
    /// When the target started to run it.
    pub at: Instant,
    /// Its method, path and body.
    pub request: (String, String, String),
    /// The service that the node named as its caller.
    pub caller_service: String,
    /// The tenant that the node named; empty if it named none.
    pub tenant: String,
    /// Whether it contained an API key.
    pub has_key: bool,
}

impl RunRecord {
    /// Whether the request crashes targets.
    pub fn crashes_targets(&self) -> bool {
        self.request.1 == RouteKind::Crashing.path()
    }
}

/// A time span during which a fault affected one machine or all of them.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    /// The affected machine; `None` for all.
    pub machine: Option<usize>,
    /// When the fault was injected.
    pub from: Instant,
    /// When the fault was reverted.
    pub until: Instant,
}

/// A configuration whose write the store has acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct ConfigWrite {
    /// The service of [`RouteKind::Moving`] in it.
    pub moving: &'static str,
    /// When the write was acknowledged.
    pub acked: Instant,
}

/// A time span during which a target was registered as draining or was deregistered.
#[derive(Clone, Copy, Debug)]
pub struct DrainSpan {
    /// The target's machine.
    pub machine: usize,
    /// When the store acknowledged the change.
    pub acked: Instant,
    /// When the target was registered as ready again.
    pub until: Instant,
}

/// A planned stop of a process.
#[derive(Clone, Copy, Debug)]
pub struct StopSpan {
    /// The machine.
    pub machine: usize,
    /// When the process was asked to stop.
    pub requested: Instant,
    /// The time within which the process had to stop; its callers may have continued to use it during this time.
    pub grace: Duration,
}

/// A restart of a machine's process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRestart {
    /// The machine.
    pub machine: usize,
    /// When the process was restarted.
    pub at: Instant,
}

/// All observations of a soak.
#[derive(Clone, Debug, Default)]
pub struct SoakRecord {
    /// Calls, in the order of their ends.
    pub calls: Vec<CallRecord>,
    /// Requests that targets ran.
    pub runs: Vec<RunRecord>,
    /// Requests that targets have stopped working on.
    pub finished_runs: Vec<FinishedRun>,
    /// The injected faults.
    pub fault_spans: Vec<FaultSpan>,
    /// When targets sent without end.
    pub endless_spans: Vec<FaultSpan>,
    /// The peak of the memory of each process, with the number of its machine, in bytes.
    pub peak_memory: Vec<(usize, u64)>,
    /// Configurations, in the order in which they were written.
    pub configs: Vec<ConfigWrite>,
    /// Drains and deregistrations of targets.
    pub drains: Vec<DrainSpan>,
    /// Planned stops.
    pub stops: Vec<StopSpan>,
    /// When processes stood still during stops, which is not counted as a fault.
    pub standstills: Vec<FaultSpan>,
    /// The kind of the calls that targets make, if it isn't [`RouteKind::Read`].
    pub nested_kind: Option<RouteKind>,
    /// Whether the stops are so many that all machines of a service may stop at once.
    pub has_stop_series: bool,
    /// When targets started to run requests that crash them.
    pub crashes: Vec<Instant>,
    /// Restarts of processes.
    pub restarts: Vec<ProcessRestart>,
    /// Arrivals of requests at targets.
    pub arrivals: Vec<ArrivalRecord>,
    /// Calls that targets made.
    pub nested_calls: Vec<NestedCall>,
    /// Responses to calls that targets made.
    pub nested_responses: Vec<NestedResponse>,
    /// Rate limits that targets announced.
    pub rate_limits: Vec<RateLimitSpan>,
    /// When targets had announced a rate limit or a drain.
    pub announcements: Vec<AnnouncementSpan>,
    /// The moments at which targets ran most requests concurrently, each with the number of its machine.
    pub running_peaks: Vec<(usize, RunningPeak)>,
}

impl SoakRecord {
    /// Whether no fault affected any machine between `from - settle` and `until`.
    pub fn is_fault_free(&self, settle: Duration, from: Instant, until: Instant) -> bool {
        !self.fault_spans.iter().any(|fault_span| fault_span.from <= until && fault_span.until + settle >= from)
    }

    /// Whether, in addition, no request had crashed a target in this time.
    pub fn is_fault_and_crash_free(&self, settle: Duration, from: Instant, until: Instant) -> bool {
        let is_crashed = self.crashes.iter().any(|at| *at <= until && *at + CRASH_DOWNTIME + settle >= from);
        !is_crashed && self.is_fault_free(settle, from, until)
    }
}
