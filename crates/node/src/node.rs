//! The node: its parts, and the loop that passes each part its inputs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_calls::edge::{Edge, EdgeInput, EdgeSettings};
use quillhatch_calls::gate::{Gate, GateInput, GateSettings};
use quillhatch_claims::ClaimVoter;
use quillhatch_control::io::RequestNumber;
use quillhatch_control::{ControlInput, ControlNode};
use quillhatch_membership::{Membership, MembershipInput};
use quillhatch_types::{
    AttemptId, CallId, Configuration, Epoch, Feedback, ParentContext, Priority, ServiceName, Timestamp,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::claims::GateClaims;
use crate::inbox::{Inbox, PartInput};
use crate::io::{NodeInput, NodeOutput};
use crate::options::NodeOptions;
use crate::refusals::{RefusalEntry, RefusalHistory};
use crate::statistics::Statistic;

/// The interval at which the gate's load is reported to the control part.
pub(crate) const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The local gate with its claims and counters.
pub(crate) struct GatePart {
    pub(crate) service: ServiceName,
    pub(crate) gate: Gate,
    pub(crate) claims: GateClaims,
    /// Priorities of the attempts in progress, to count refusals of protected ones.
    pub(crate) priorities: BTreeMap<AttemptId, Priority>,
    pub(crate) load: LoadCounts,
}

/// Counters between two load reports.
#[derive(Debug, Default)]
pub(crate) struct LoadCounts {
    pub(crate) completions: u32,
    pub(crate) protected_refusals: u32,
    pub(crate) since: Timestamp,
}

/// One node without I/O.
///
/// The driver passes every event to [`Node::step`] with the time of a monotonic clock, carries out each output, and steps
/// with [`NodeInput::Tick`] at [`Node::next_wake`].
pub struct Node {
    pub(crate) options: NodeOptions,
    pub(crate) edge: Edge,
    pub(crate) gate: Option<GatePart>,
    pub(crate) voters: BTreeMap<ServiceName, ClaimVoter>,
    pub(crate) membership: Membership,
    pub(crate) control: ControlNode,
    pub(crate) configuration: Option<Arc<Configuration>>,
    pub(crate) refusals: RefusalHistory,
    pub(crate) undecodable: u64,
    pub(crate) exiting: bool,
}

impl Node {
    /// Creates a node without configuration or members. `seed` seeds its random generators.
    pub fn new(options: NodeOptions, seed: u64) -> Self {
        let mut generator = Pcg64::seed_from_u64(seed);
        let mut membership = Membership::new(options.member_info(), options.membership, generator.gen());
        membership.step(Timestamp::ZERO, MembershipInput::Seeds(options.seeds.clone()), &mut Vec::new());
        let mut edge_settings = EdgeSettings::new(options.site.clone(), options.zone.clone());
        edge_settings.mechanisms = options.mechanisms.edge;
        let gate = options.service.clone().map(|service| GatePart::new(&options, service, generator.gen()));
        Node {
            edge: Edge::new(edge_settings, generator.gen()),
            gate,
            voters: BTreeMap::new(),
            membership,
            control: ControlNode::new(options.control_settings(), generator.gen()),
            configuration: None,
            refusals: RefusalHistory::default(),
            undecodable: 0,
            exiting: false,
            options,
        }
    }

    /// Handles one input and appends the resulting outputs to `outputs`.
    pub fn step(&mut self, now: Timestamp, input: NodeInput, outputs: &mut Vec<NodeOutput>) {
        let mut inbox = Inbox::default();
        self.accept(now, input, &mut inbox, outputs);
        self.push_due_ticks(now, &mut inbox);
        while let Some(input) = inbox.pop() {
            self.step_part(now, input, &mut inbox, outputs);
        }
    }

    /// The latest time for the next step with [`NodeInput::Tick`].
    pub fn next_wake(&self) -> Option<Timestamp> {
        let gate = self.gate.as_ref().into_iter().flat_map(|part| {
            [part.gate.next_wake(), part.claims.next_wake(), Some(part.load.since + LOAD_REPORT_INTERVAL)]
        });
        let others = [self.edge.next_wake(), self.membership.next_wake(), self.control.next_wake()];
        gate.chain(others).flatten().min()
    }

    /// The feedback that the gate sends to the edge with the answer to `attempt`. Call it when the head of the answer is
    /// sent.
    pub fn feedback(&mut self, now: Timestamp, attempt: Option<AttemptId>) -> Feedback {
        let Some(part) = &mut self.gate else { return Feedback::default() };
        part.gate.feedback(now, attempt)
    }

    /// The context that a nested call inherits from `parent`, with up to `wanted` retry tokens; `None` if `parent` is not
    /// running.
    pub fn lend_tokens(&mut self, now: Timestamp, parent: CallId, wanted: u16) -> Option<ParentContext> {
        self.gate.as_mut()?.gate.lend_tokens(now, parent, wanted)
    }

    /// The active configuration.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.clone()
    }

    /// Whether the node is ready and takes calls.
    pub fn is_ready(&self) -> bool {
        self.control.is_ready()
    }

    /// The refusal that a caller received for `call`, if it is retained.
    pub fn refusal(&self, call: CallId) -> Option<&RefusalEntry> {
        self.refusals.find(call)
    }

    /// Counters and gauges for the metrics page.
    pub fn statistics(&self) -> Vec<Statistic> {
        let edge = self.edge.statistics();
        let held = self.gate.as_ref().map_or(0, |part| part.claims.held_claims());
        let pending = self.gate.as_ref().map_or(0, |part| part.claims.pending_claims());
        let recorded: usize = self.voters.values().map(ClaimVoter::held_claims).sum();
        vec![
            Statistic::counter("calls_arrived", "Calls that arrived at the edge.", edge.arrived),
            Statistic::counter("calls_relayed", "Calls answered by a back end.", edge.relayed),
            Statistic::counter("calls_refused", "Calls refused.", edge.refused),
            Statistic::counter("answers_broken_off", "Answers that were visibly broken off.", edge.aborted_streams),
            Statistic::counter("attempts_first", "First tries sent.", edge.first_attempts),
            Statistic::counter("attempts_retry", "Retries sent.", edge.retries),
            Statistic::counter("downloads_resumed", "Broken downloads continued from another target.", edge.resumes),
            Statistic::counter("retries_denied_budget", "Retries that the budget denied.", edge.budget_denied),
            Statistic::counter("retries_denied_ratio", "Retries that the ratio limit denied.", edge.ratio_denied),
            Statistic::counter("targets_ejected", "Ejections of targets as outliers.", edge.ejections),
            Statistic::counter(
                "calls_without_context",
                "Calls of the back end without a context.",
                edge.without_context,
            ),
            Statistic::counter("messages_undecodable", "Messages that could not be decoded.", self.undecodable),
            Statistic::gauge("members", "Members that can be reached.", self.membership.reachable().count() as f64),
            Statistic::gauge("claims_open", "Attempts whose claim has not ended.", pending as f64),
            Statistic::gauge("claims_held", "Claims held as owner.", held as f64),
            Statistic::gauge("claims_recorded", "Claims held as voter.", recorded as f64),
            Statistic::gauge("configuration_revision", "Revision in force.", self.control.revision().0 as f64),
        ]
    }

    fn accept(&mut self, now: Timestamp, input: NodeInput, inbox: &mut Inbox, outputs: &mut Vec<NodeOutput>) {
        match input {
            NodeInput::Edge(input) => inbox.push(input),
            NodeInput::Gate(input) => self.accept_gate(input, inbox),
            NodeInput::Platform(reading) => {
                let machines = reading.machines.iter().map(|machine| machine.address);
                let seeds = self.options.seeds.iter().copied().chain(machines).collect();
                inbox.push(MembershipInput::Seeds(seeds));
                inbox.push(ControlInput::Platform(reading));
            }
            NodeInput::Operator { request, body } => self.accept_operator(now, request, body, inbox, outputs),
            NodeInput::Message { from, revision, payload } => {
                if revision != self.control.revision() {
                    inbox.push(ControlInput::PeerRevision { from, revision });
                }
                self.route_payload(from, payload, inbox, outputs);
            }
            NodeInput::Stop { grace } => {
                inbox.push(EdgeInput::Stop);
                inbox.push(ControlInput::Stop { grace });
            }
            NodeInput::Tick => {}
        }
    }

    fn accept_gate(&mut self, input: GateInput, inbox: &mut Inbox) {
        if let (Some(part), GateInput::Arrived(context)) = (&mut self.gate, &input) {
            part.priorities.insert(context.attempt_id(), context.priority);
        }
        inbox.push(input);
    }

    fn accept_operator(
        &mut self,
        now: Timestamp,
        request: RequestNumber,
        body: Box<quillhatch_control::operator::OperatorRequest>,
        inbox: &mut Inbox,
        outputs: &mut Vec<NodeOutput>,
    ) {
        match self.explain_refusal(now, &body) {
            Some(reply) => outputs.push(NodeOutput::Operator { request, reply: Box::new(reply) }),
            None => inbox.push(ControlInput::Operator { request, body }),
        }
    }

    fn push_due_ticks(&mut self, now: Timestamp, inbox: &mut Inbox) {
        let is_due = |wake: Option<Timestamp>| wake.is_some_and(|wake| wake <= now);
        if is_due(self.membership.next_wake()) {
            inbox.push(MembershipInput::Tick);
        }
        if is_due(self.control.next_wake()) {
            inbox.push(ControlInput::Tick);
        }
        if is_due(self.edge.next_wake()) {
            inbox.push(EdgeInput::Tick);
        }
        let Some(part) = &mut self.gate else { return };
        if is_due(part.gate.next_wake()) {
            inbox.push(GateInput::Tick);
        }
        if is_due(part.claims.next_wake()) {
            inbox.push(quillhatch_claims::OwnerInput::Tick);
        }
        if let Some(report) = part.load_report(now) {
            inbox.push(ControlInput::Load(report));
        }
    }

    fn step_part(&mut self, now: Timestamp, input: PartInput, inbox: &mut Inbox, outputs: &mut Vec<NodeOutput>) {
        match input {
            PartInput::Edge(input) => self.step_edge(now, input, inbox, outputs),
            PartInput::Gate(input) => self.step_gate(now, input, inbox, outputs),
            PartInput::Owner(input) => self.step_owner(now, input, inbox, outputs),
            PartInput::Voter { from, message } => self.step_voter(now, from, message, inbox, outputs),
            PartInput::Control(input) => self.step_control(now, input, inbox, outputs),
            PartInput::Membership(input) => self.step_membership(now, input, inbox, outputs),
        }
    }

    pub(crate) fn set_gate_epoch(&mut self, epoch: Epoch) {
        if let Some(part) = &mut self.gate {
            part.gate.set_epoch(epoch);
        }
    }
}

impl GatePart {
    fn new(options: &NodeOptions, service: ServiceName, seed: u64) -> Self {
        let mut settings = GateSettings::new(service.clone(), options.node.address);
        settings.mechanisms = options.mechanisms.gate;
        GatePart {
            gate: Gate::new(settings, seed),
            claims: GateClaims::new(options.node, service.clone(), options.mechanisms.claims),
            service,
            priorities: BTreeMap::new(),
            load: LoadCounts::default(),
        }
    }
}
