//! The calls that a target works on, and those that broke off: what ran when it ended.
//!
//! An answer may be lost while the target lives on. A target that ends breaks off all of its calls, so those that broke off are held
//! until something shows whether it did.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_types::Timestamp;

use super::RequestSignature;
use crate::targets::TargetId;

/// The most calls that broke off and are held; more than the slots of most targets.
const MOST_LOST: usize = 1024;

/// For how long calls are held that broke off at a target which then told the same identity: it may have started again under it, which its
/// registration tells within a heartbeat and the time of a change to spread.
const HELD_FOR: Duration = Duration::from_secs(8);

/// Identifies a run of a call at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

#[derive(Clone, Copy, Debug)]
struct Run {
    began: Timestamp,
    signature: RequestSignature,
}

#[derive(Clone, Copy, Debug)]
struct LostRun {
    at: Timestamp,
    signature: RequestSignature,
}

/// The runs at one target.
#[derive(Clone, Debug, Default)]
pub struct RunTracker {
    next: u64,
    running: BTreeMap<RunId, Run>,
    lost: Vec<LostRun>,
    /// The target at which they broke off, if it was known.
    lost_at: Option<TargetId>,
    /// Those after which the target told the identity that it had before.
    held: Vec<LostRun>,
}

/// A target that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCrash {
    /// The target.
    pub target: TargetId,
    /// The calls that it was working on.
    pub signatures: Vec<RequestSignature>,
}

impl RunTracker {
    /// A call goes to the target.
    pub fn begin(&mut self, signature: RequestSignature, now: Timestamp) -> RunId {
        let id = RunId(self.next);
        self.next += 1;
        self.running.insert(id, Run { began: now, signature });
        id
    }

    /// The target has answered: it has survived the call, and whatever broke off before the call began. Returns the call's signature.
    pub fn completed(&mut self, id: RunId) -> Option<RequestSignature> {
        let run = self.running.remove(&id)?;
        self.lost.retain(|lost| lost.at >= run.began);
        Some(run.signature)
    }

    /// The call's connection to `target` ended without a whole answer.
    pub fn connection_lost(&mut self, id: RunId, target: Option<TargetId>, now: Timestamp) {
        let Some(run) = self.running.remove(&id) else { return };
        if self.lost.is_empty() {
            self.lost_at = target;
        }
        if self.lost.len() < MOST_LOST {
            self.lost.push(LostRun { at: now, signature: run.signature });
        }
    }

    /// The call was given up by its caller, was refused by the target or is out of time, which says nothing of the target.
    pub fn abandoned(&mut self, id: RunId) {
        self.running.remove(&id);
    }

    /// Whether calls have broken off and nothing has shown since whether the target ended.
    pub fn has_interrupted(&self) -> bool {
        !self.lost.is_empty()
    }

    /// The target with this identity answers.
    pub fn target_identified(&mut self, id: &str) -> Option<TargetCrash> {
        if self.lost_at.as_deref() == Some(id) {
            self.held.append(&mut self.lost);
            self.held.truncate(MOST_LOST);
        }
        self.target_crashed()
    }

    /// Whether a call that was under way when the last one broke off still is; then the target lives.
    pub fn has_survivors(&self) -> bool {
        let last = self.lost.iter().map(|lost| lost.at).max();
        last.is_some_and(|last| self.running.values().any(|run| run.began < last))
    }

    /// The target lives: what broke off did not end it.
    pub fn target_alive(&mut self) {
        self.lost.clear();
    }

    /// The target has started again under its identity `id`.
    pub fn target_restarted(&mut self, id: &TargetId, now: Timestamp) -> Option<TargetCrash> {
        let held = self.held.drain(..).filter(|lost| now.since(lost.at) <= HELD_FOR);
        let signatures: Vec<RequestSignature> = held.chain(self.lost.drain(..)).map(|lost| lost.signature).collect();
        self.lost_at = None;
        (!signatures.is_empty()).then(|| TargetCrash { target: id.clone(), signatures })
    }

    /// The target at which calls broke off has ended. `None` if none did, or if it was not known.
    pub fn target_crashed(&mut self) -> Option<TargetCrash> {
        let signatures: Vec<RequestSignature> = self.lost.drain(..).map(|lost| lost.signature).collect();
        let target = self.lost_at.take()?;
        (!signatures.is_empty()).then_some(TargetCrash { target, signatures })
    }
}
