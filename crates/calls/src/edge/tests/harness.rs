//! A service with targets at two sites, and helpers that step an edge in front of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{
    AdmissionLevel, AttemptId, CallContext, CallId, ClassConfiguration, Configuration, Digest, Epoch, Feedback,
    Formation, GateEntry, GateStatus, Generation, Incarnation, NodeAddress, NodeId, Priority, Refusal, RefusalReason,
    RequestKey, Revision, RootId, ServiceConfiguration, ServiceTable, SiteConfiguration, SiteName, SlotAssignment,
    SlotId, SlotState, TargetConfiguration, Timestamp,
};

use crate::edge::{Answer, AttemptResult, CallArrival, Edge, EdgeInput, EdgeOutput, EdgeSettings};

pub(super) const SLOTS: u16 = 12;
pub(super) const TARGETS: u16 = 3;
pub(super) const OLD: &str = "old";
pub(super) const NEW: &str = "new";

pub(super) fn name<Name: TryFrom<String>>(text: &str) -> Name {
    Name::try_from(text.to_owned()).unwrap_or_else(|_| panic!("{text} is not a valid name"))
}

/// The node with this number. Nodes of the old site are numbered from 0, those of the new site from 100.
pub(super) fn node(number: u16) -> NodeId {
    let address = NodeAddress(SocketAddr::from(([127, 0, 0, 1], 7000 + number)));
    NodeId { address, incarnation: Incarnation(1) }
}

pub(super) fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

pub(super) fn class(title: &str, priority: Priority, repeatable: bool) -> ClassConfiguration {
    ClassConfiguration {
        name: name(title),
        methods: Vec::new(),
        path_prefix: "/".to_owned(),
        priority,
        repeatable,
        deadline: Duration::from_secs(2),
        retry_budget: 3,
        retry_ratio_percent: 10,
        large_answers: false,
    }
}

pub(super) fn configuration() -> Configuration {
    let targets = [(OLD, 0), (NEW, 100)].into_iter().flat_map(|(site, first)| {
        (first..first + TARGETS).map(move |number| TargetConfiguration {
            node: node(number).address,
            site: name(site),
            zone: name(&format!("zone-{}", number - first)),
            slots: 10,
            connections: 1_000,
        })
    });
    let service = ServiceConfiguration {
        name: name("giving"),
        hosts: Vec::new(),
        slot_count: SLOTS,
        claim_retention: Duration::from_secs(60),
        claim_capacity: 1_000,
        replay_limit_bytes: 1_000,
        refused_before_running: Vec::new(),
        minimum_time: Duration::from_millis(2),
        queue_timeout: Duration::from_millis(100),
        site_shares: BTreeMap::from([(name(OLD), 100), (name(NEW), 0)]),
        minimum_epoch: Epoch(0),
        classes: vec![
            class("lookup", Priority::Interactive, true),
            class("pledge", Priority::Protected, false),
            class("archive", Priority::Bulk, true),
        ],
        targets: targets.collect(),
    };
    let site = |site: &str| SiteConfiguration { name: name(site), zones: Vec::new() };
    Configuration {
        deployment: name("test"),
        revision: Revision(1),
        formation: Formation::New,
        sites: vec![site(OLD), site(NEW)],
        services: BTreeMap::from([(service.name.clone(), service)]),
    }
}

/// The table of `site` in which every slot has the same state.
pub(super) fn table(site: &str, epoch: u64, state: &SlotState) -> ServiceTable {
    let first = if site == OLD { 0 } else { 100 };
    let gate = |number: u16| GateEntry {
        node: node(number),
        zone: name(&format!("zone-{}", number - first)),
        status: GateStatus::Serving,
        connections: 1_000,
    };
    let slot = |slot| SlotAssignment { slot: SlotId(slot), epoch: Epoch(epoch), state: state.clone() };
    ServiceTable {
        service: name("giving"),
        site: name::<SiteName>(site),
        generation: Generation(1),
        epoch: Epoch(epoch),
        slots: (0..SLOTS).map(slot).collect(),
        gates: (first..first + TARGETS).map(gate).collect(),
        voters: Vec::new(),
        previous_voters: Vec::new(),
        claims_lost: false,
    }
}

pub(super) fn owned_by(number: u16) -> SlotState {
    SlotState::Owned { owner: node(number) }
}

pub(super) fn arrival(call: u128, title: &str) -> CallArrival {
    CallArrival {
        call: CallId(call),
        root: RootId(call),
        caller: name("caller"),
        service: name("giving"),
        class: name(title),
        key: None,
        generated_key: RequestKey::new(&format!("drawn-{call}")).expect("a valid key"),
        digest: None,
        remaining: None,
        parent: None,
        replayable_body: true,
        outgoing: false,
    }
}

pub(super) fn keyed(call: u128, title: &str, key: &str) -> CallArrival {
    let key = Some(RequestKey::new(key).expect("a valid key"));
    CallArrival { key, digest: Some(Digest(1)), ..arrival(call, title) }
}

/// The feedback of an idle gate, which returns all tokens.
pub(super) fn feedback() -> Feedback {
    let tokens_left = u16::MAX;
    Feedback { level: AdmissionLevel::OPEN, limit: 10, epoch: Epoch(1), tokens_left, ..Feedback::default() }
}

pub(super) fn refused(reason: RefusalReason) -> AttemptResult {
    AttemptResult::Refused(Refusal::not_run(reason))
}

pub(super) const ANSWERED: AttemptResult = AttemptResult::Answered { status: 200 };

/// An edge and the outputs of its last step.
pub(super) struct Harness {
    pub(super) edge: Edge,
    pub(super) outputs: Vec<EdgeOutput>,
}

impl Harness {
    pub(super) fn without_tables(change: impl FnOnce(&mut EdgeSettings, &mut Configuration)) -> Self {
        let mut settings = EdgeSettings::new(name(OLD), name("zone-0"));
        let mut configuration = configuration();
        change(&mut settings, &mut configuration);
        let mut harness = Harness { edge: Edge::new(settings, 7), outputs: Vec::new() };
        harness.step(Timestamp::ZERO, EdgeInput::Configuration(Arc::new(configuration)));
        harness
    }

    /// An edge with the tables of both sites; node 0 of the old site owns all slots.
    pub(super) fn new(change: impl FnOnce(&mut EdgeSettings, &mut Configuration)) -> Self {
        let mut harness = Self::without_tables(change);
        harness.table(0, table(OLD, 1, &owned_by(0)));
        harness.table(0, table(NEW, 1, &SlotState::Elsewhere { site: name(OLD) }));
        harness
    }

    pub(super) fn step(&mut self, now: Timestamp, input: EdgeInput) -> &[EdgeOutput] {
        self.outputs.clear();
        self.edge.step(now, input, &mut self.outputs);
        &self.outputs
    }

    pub(super) fn table(&mut self, now: u64, table: ServiceTable) -> &[EdgeOutput] {
        self.step(at(now), EdgeInput::Table(Arc::new(table)))
    }

    pub(super) fn arrive(&mut self, now: u64, arrival: CallArrival) -> &[EdgeOutput] {
        self.step(at(now), EdgeInput::Arrived(arrival))
    }

    pub(super) fn answer(&mut self, now: u64, attempt: AttemptId, result: AttemptResult) -> &[EdgeOutput] {
        self.step(at(now), EdgeInput::AttemptAnswered { attempt, result, feedback: Some(feedback()) })
    }

    /// Steps the edge at every wake-up until `end` and returns all outputs.
    pub(super) fn run_until(&mut self, end: u64) -> Vec<EdgeOutput> {
        let mut outputs = Vec::new();
        while let Some(wake) = self.edge.next_wake().filter(|wake| *wake <= at(end)) {
            outputs.extend_from_slice(self.step(wake, EdgeInput::Tick));
        }
        self.outputs.clone_from(&outputs);
        outputs
    }

    /// The attempts sent by the last step, resumed ones included.
    pub(super) fn sent(&self) -> Vec<(NodeId, CallContext)> {
        let sent = |output: &EdgeOutput| match output {
            EdgeOutput::Send { target, context } | EdgeOutput::Resume { target, context, .. } => {
                Some((*target, (**context).clone()))
            }
            _ => None,
        };
        self.outputs.iter().filter_map(sent).collect()
    }

    /// The one attempt sent by the last step.
    pub(super) fn sent_one(&self) -> (NodeId, CallContext) {
        let sent = self.sent();
        assert_eq!(sent.len(), 1, "one attempt expected: {:?}", self.outputs);
        sent[0].clone()
    }

    /// The refusals of the last step.
    pub(super) fn refusals(&self) -> Vec<Refusal> {
        let refusal = |output: &EdgeOutput| match output {
            EdgeOutput::Finish { answer: Answer::Refuse(refusal), .. } => Some(*refusal),
            _ => None,
        };
        self.outputs.iter().filter_map(refusal).collect()
    }

    /// The one refusal of the last step.
    pub(super) fn refusal(&self) -> Refusal {
        let refusals = self.refusals();
        assert_eq!(refusals.len(), 1, "one refusal expected: {:?}", self.outputs);
        refusals[0]
    }

    pub(super) fn is_relayed(&self) -> bool {
        self.outputs.iter().any(|output| matches!(output, EdgeOutput::Finish { answer: Answer::Relay(_), .. }))
    }

    pub(super) fn fetched_sites(&self) -> Vec<SiteName> {
        let site = |output: &EdgeOutput| match output {
            EdgeOutput::FetchTable { site, .. } => Some(site.clone()),
            _ => None,
        };
        self.outputs.iter().filter_map(site).collect()
    }
}
