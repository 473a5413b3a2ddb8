//! Calls and attempts, as the world's own bookkeeping of what travels where.

use quillhatch_calls::edge::io::CallArrival;
use quillhatch_types::hash::digest;
use quillhatch_types::{
    AttemptId, CallContext, CallId, CallerName, ClassName, Feedback, NodeId, ParentContext, Priority, Refusal,
    RequestKey, RootId, ServiceName,
};
use rand::Rng;

use super::machine::MachineIndex;
use super::runs::RunIndex;
use super::World;
use crate::engine::Instant;
use crate::profile::StepIndex;
use crate::record::{AnswerPart, CallNumber, RequestTag, RunNumber, TreeNumber};

/// The position of a call in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallIndex(pub u32);

impl CallIndex {
    /// The position as an index.
    pub fn at(self) -> usize {
        self.0 as usize
    }

    /// The number by which the record knows the call.
    pub fn number(self) -> CallNumber {
        CallNumber(self.0)
    }
}

/// The position of an attempt in the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptIndex(pub u32);

impl AttemptIndex {
    /// The position as an index.
    pub fn at(self) -> usize {
        self.0 as usize
    }
}

/// Who made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// An outside caller, for one of its requests.
    Caller(usize),
    /// A run at a back end.
    Run(RunIndex),
    /// The world itself, to see which configuration an edge has in force.
    Probe(MachineIndex),
}

/// How far a call has come at its edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPhase {
    /// The edge has not decided yet.
    Open,
    /// The answer of this attempt is relayed.
    Relaying(AttemptIndex),
    /// The caller has its answer, or is gone.
    Done,
}

/// One call.
pub struct Call {
    /// Its identity for the policy.
    pub id: CallId,
    /// The root of its tree for the policy.
    pub root: RootId,
    /// The tree that it counts in.
    pub tree: TreeNumber,
    /// Who made it.
    pub origin: Origin,
    /// The machine of its edge.
    pub edge: MachineIndex,
    /// The life of the edge's process in which the call arrived.
    pub edge_life: u32,
    /// What is called.
    pub step: StepIndex,
    /// The request's identity for its caller.
    pub tag: RequestTag,
    /// The caller's key.
    pub key: Option<RequestKey>,
    /// How far it has come.
    pub phase: CallPhase,
    /// Its attempts, in the order sent.
    pub attempts: Vec<(u8, AttemptIndex)>,
    /// What the caller has received of the answer.
    pub parts: Vec<AnswerPart>,
    /// The status code of the answer.
    pub status: u16,
    /// The run that the answer came from.
    pub answered_by: Option<RunNumber>,
}

/// What the edge has seen of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeSide {
    /// Nothing yet.
    Waiting,
    /// The head of the answer.
    Streaming,
    /// The attempt is over for the edge.
    Done,
}

/// Where an attempt is at its gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateSide {
    /// On its way.
    Absent,
    /// With the gate.
    Waiting,
    /// With the back end.
    Running,
    /// Over.
    Done,
}

/// One attempt.
pub struct Attempt {
    /// Its identity for the policy.
    pub id: AttemptId,
    /// Its call.
    pub call: CallIndex,
    /// The machine of the edge.
    pub edge: MachineIndex,
    /// The life of the edge's process.
    pub edge_life: u32,
    /// The machine of the gate.
    pub gate: MachineIndex,
    /// The run of the gate's node that is meant.
    pub target: NodeId,
    /// The life of the gate's process in which it arrived.
    pub gate_life: u32,
    /// What the gate is told; taken on arrival.
    pub context: Option<Box<CallContext>>,
    /// How important it is.
    pub priority: Priority,
    /// The first byte wanted of the answer.
    pub offset: u64,
    /// The content version that a resumed answer must have.
    pub version_wanted: Option<u32>,
    /// What the edge has seen.
    pub at_edge: EdgeSide,
    /// Where it is at the gate.
    pub at_gate: GateSide,
    /// When it reached the gate.
    pub arrived: Instant,
    /// Its run at the back end.
    pub run: Option<RunIndex>,
    /// When the edge received the head of a download, and what the whole rest of it is.
    pub stream: Option<StreamState>,
}

/// A download on its way to the edge.
#[derive(Clone, Copy, Debug)]
pub struct StreamState {
    /// When its head reached the edge.
    pub began: Instant,
    /// How long it takes in all.
    pub takes: Instant,
    /// The part that it will be when it is whole.
    pub part: AnswerPart,
    /// The length of the whole answer.
    pub length: u64,
}

impl StreamState {
    /// What has been received by `now`, cut at whole packets.
    pub fn received(&self, now: Instant) -> AnswerPart {
        const PACKET: u64 = 1_400;
        let share = (now - self.began) as f64 / self.takes.max(1) as f64;
        let bytes = ((self.part.to - self.part.from) as f64 * share.min(1.0)) as u64;
        AnswerPart { to: self.part.from + bytes / PACKET * PACKET, ..self.part }
    }
}

/// What reaches the edge of an attempt.
#[derive(Clone, Debug)]
pub enum EdgeNews {
    /// The gate answered in the place of the back end.
    Refused(Refusal, Option<Feedback>),
    /// The whole of a short answer.
    Whole {
        /// The status code.
        status: u16,
        /// What the gate said with it.
        feedback: Option<Feedback>,
        /// The body.
        part: AnswerPart,
        /// The run that it came from, unless it is a recorded answer.
        run: Option<RunNumber>,
    },
    /// The head of a download.
    Head {
        /// What the gate said with it.
        feedback: Option<Feedback>,
        /// The body to come.
        part: AnswerPart,
        /// The length of the whole answer.
        length: u64,
        /// How long the body takes.
        takes: Instant,
        /// The run that it comes from.
        run: Option<RunNumber>,
    },
    /// The last byte of a download.
    End,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke.
    ConnectionLost,
}

/// What a call starts from.
pub struct CallStart {
    /// Who makes it.
    pub origin: Origin,
    /// The tree that it counts in.
    pub tree: TreeNumber,
    /// The root's identity for the policy.
    pub root: RootId,
    /// The machine of the edge.
    pub edge: MachineIndex,
    /// What is called.
    pub step: StepIndex,
    /// The request's identity for its caller.
    pub tag: RequestTag,
    /// The caller's key.
    pub key: Option<RequestKey>,
}

impl World {
    /// Notes a new call. Its identity carries its position, so that the policy's outputs find it again.
    pub(super) fn new_call(&mut self, start: CallStart) -> CallIndex {
        let index = CallIndex(self.calls.len() as u32);
        let random: u128 = self.generators.identities.gen();
        let id = CallId((random << 32) | u128::from(index.0));
        self.record.called(start.tree);
        self.calls.push(Call {
            id,
            root: start.root,
            tree: start.tree,
            origin: start.origin,
            edge: start.edge,
            edge_life: self.machines[start.edge.at()].life,
            step: start.step,
            tag: start.tag,
            key: start.key,
            phase: CallPhase::Open,
            attempts: Vec::new(),
            parts: Vec::new(),
            status: 0,
            answered_by: None,
        });
        index
    }

    /// The call with the policy's identity `id`.
    pub(super) fn find_call(&self, id: CallId) -> Option<CallIndex> {
        let index = CallIndex((id.0 & u128::from(u32::MAX)) as u32);
        let call = self.calls.get(index.at())?;
        (call.id == id).then_some(index)
    }

    /// The attempt with the policy's identity `id`.
    pub(super) fn find_attempt(&self, id: AttemptId) -> Option<AttemptIndex> {
        let call = self.find_call(id.call)?;
        let attempts = &self.calls[call.at()].attempts;
        attempts.iter().rev().find(|(number, _)| *number == id.attempt).map(|(_, index)| *index)
    }

    /// What the edge is told of a call.
    pub(super) fn arrival_of(
        &mut self,
        index: CallIndex,
        caller: &str,
        remaining: Option<std::time::Duration>,
        parent: Option<ParentContext>,
    ) -> Option<CallArrival> {
        let drawn: u128 = self.generators.identities.gen();
        let call = &self.calls[index.at()];
        let step = &self.deployment.steps[call.step];
        let service = &self.deployment.services[step.service];
        let class = &service.classes[step.class];
        Some(CallArrival {
            call: call.id,
            root: call.root,
            caller: CallerName::new(caller).ok()?,
            service: ServiceName::new(service.name).ok()?,
            class: ClassName::new(class.name).ok()?,
            digest: call.key.as_ref().map(|_| digest(&call.tag.0.to_le_bytes())),
            key: call.key.clone(),
            generated_key: RequestKey::new(&format!("{drawn:032x}")).ok()?,
            remaining,
            parent,
            replayable_body: true,
            outgoing: matches!(call.origin, Origin::Run(_)),
        })
    }
}
