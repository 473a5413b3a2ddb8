//! Tracks the calls that run at a target, and those whose connection was lost: these ran when the target crashed, if it
//! did.
//!
//! A response may be lost while the target stays up. A target that crashes interrupts all of its calls, so interrupted
//! calls are retained until the target's state is known.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_types::Timestamp;

use super::RequestSignature;
use crate::targets::{TargetId, TargetProcess};

/// The maximum number of interrupted calls that are retained; more than the slots of most targets.
const MAX_INTERRUPTED: usize = 1024;

/// How long calls are retained that were interrupted at a target which then reported the same identity. It may have
/// restarted under that identity; its registration shows this within a heartbeat and the time that the change takes to
/// spread.
const RESTART_REPORT_TIMEOUT: Duration = Duration::from_secs(8);

/// Identifies a run of a call at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

#[derive(Clone, Copy, Debug)]
struct Run {
    started: Timestamp,
    signature: RequestSignature,
}

#[derive(Clone, Copy, Debug)]
struct InterruptedRun {
    at: Timestamp,
    signature: RequestSignature,
}

/// The runs at one target.
#[derive(Clone, Debug, Default)]
pub struct RunTracker {
    next: u64,
    running: BTreeMap<RunId, Run>,
    interrupted: Vec<InterruptedRun>,
    /// The target at which the calls were interrupted, if it was known.
    interrupted_target: Option<TargetProcess>,
    /// Interrupted calls after which the target reported the same identity as before.
    undecided: Vec<InterruptedRun>,
    /// The process at which these were interrupted.
    undecided_target: Option<TargetProcess>,
    /// The process that crashed last, and when that was known.
    last_crash: Option<(TargetProcess, Timestamp)>,
}

/// The crash of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCrash {
    /// The process of the target that crashed. If the list did not show its start, a start after that of the process
    /// that crashed before it.
    pub target: TargetProcess,
    /// The calls that were running there.
    pub signatures: Vec<RequestSignature>,
}

impl RunTracker {
    /// Records that a call is forwarded to the target.
    pub fn begin(&mut self, signature: RequestSignature, now: Timestamp) -> RunId {
        let id = RunId(self.next);
        self.next += 1;
        self.running.insert(id, Run { started: now, signature });
        id
    }

    /// Records that the target has responded: it has survived this call, and whatever was interrupted before the call
    /// began. Returns the call's signature.
    pub fn completed(&mut self, id: RunId) -> Option<RequestSignature> {
        let run = self.running.remove(&id)?;
        self.interrupted.retain(|interrupted| interrupted.at >= run.started);
        Some(run.signature)
    }

    /// Records that the call's connection to the target was lost before the end of the response. `listed` is the process
    /// that the list shows.
    pub fn connection_lost(&mut self, id: RunId, listed: Option<TargetProcess>, now: Timestamp) {
        let Some(run) = self.running.remove(&id) else { return };
        if self.interrupted.is_empty() {
            self.interrupted_target = listed.map(|listed| self.process_of(&run, listed));
        }
        if self.interrupted.len() < MAX_INTERRUPTED {
            self.interrupted.push(InterruptedRun { at: now, signature: run.signature });
        }
    }

    /// The process that ran a call. The list may not show yet that the target has restarted since its last crash.
    fn process_of(&self, run: &Run, listed: TargetProcess) -> TargetProcess {
        let Some((crashed, at)) = &self.last_crash else { return listed };
        if crashed.id != listed.id || crashed.started < listed.started {
            return listed;
        }
        let started = if run.started <= *at { crashed.started } else { crashed.started + 1 };
        TargetProcess { started, ..listed }
    }

    /// Records that the call was cancelled by its caller, refused by the target, or timed out. This shows nothing about
    /// the target.
    pub fn abandoned(&mut self, id: RunId) {
        self.running.remove(&id);
    }

    /// Returns whether calls were interrupted and it is still unknown whether the target crashed.
    pub fn has_interrupted(&self) -> bool {
        !self.interrupted.is_empty()
    }

    /// Records that the target has reported this identity. Returns the crash of the previous target, if there was one.
    pub fn target_identified(&mut self, id: &str, now: Timestamp) -> Option<TargetCrash> {
        if self.interrupted_target.as_ref().is_some_and(|process| *process.id == *id) {
            self.undecided_target.clone_from(&self.interrupted_target);
            self.undecided.append(&mut self.interrupted);
            self.undecided.truncate(MAX_INTERRUPTED);
        }
        self.target_crashed(now)
    }

    /// Returns whether a call that was running before the last interruption still runs; then the target is up.
    pub fn has_survivors(&self) -> bool {
        let last = self.interrupted.iter().map(|interrupted| interrupted.at).max();
        last.is_some_and(|last| self.running.values().any(|run| run.started < last))
    }

    /// Records that the target is up: the interrupted calls have not crashed it.
    pub fn target_alive(&mut self) {
        self.interrupted.clear();
    }

    /// Records that the target has restarted under its identity `id`. Returns the crash, if calls were interrupted by
    /// it.
    pub fn target_restarted(&mut self, id: &TargetId, now: Timestamp) -> Option<TargetCrash> {
        let undecided =
            self.undecided.drain(..).filter(|interrupted| now.since(interrupted.at) <= RESTART_REPORT_TIMEOUT);
        let signatures: Vec<RequestSignature> =
            undecided.chain(self.interrupted.drain(..)).map(|interrupted| interrupted.signature).collect();
        let process = self.interrupted_target.take().or(self.undecided_target.take());
        let target = process.unwrap_or_else(|| TargetProcess { id: id.clone(), started: 0 });
        self.crash_of(target, signatures, now)
    }

    /// Records that the target at which calls were interrupted has crashed. Returns `None` if no calls were
    /// interrupted, or if the target was unknown.
    pub fn target_crashed(&mut self, now: Timestamp) -> Option<TargetCrash> {
        let signatures: Vec<RequestSignature> =
            self.interrupted.drain(..).map(|interrupted| interrupted.signature).collect();
        let target = self.interrupted_target.take()?;
        self.crash_of(target, signatures, now)
    }

    /// The crash of `target`, unless no calls were running.
    fn crash_of(
        &mut self,
        target: TargetProcess,
        signatures: Vec<RequestSignature>,
        now: Timestamp,
    ) -> Option<TargetCrash> {
        if signatures.is_empty() {
            return None;
        }
        self.last_crash = Some((target.clone(), now));
        Some(TargetCrash { target, signatures })
    }
}
