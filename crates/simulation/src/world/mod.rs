//! The emulated world: callers, machines with nodes and back ends, the network, the platform and the operators.
//!
//! All changes happen in handlers of [`Event`]s; a handler steps a node's policy at most a few times and never from inside
//! another step. What follows later is scheduled on the agenda.

mod back_ends;
mod callers;
mod calls;
mod edges;
mod faults;
mod gates;
mod machine;
mod network;
mod operators;
mod platform;
mod probes;
mod runs;

use quillhatch_types::{NodeId, Timestamp};
use rand_pcg::Pcg64;

pub use faults::{Fault, MachineChoice, PlannedFault, Separation};
pub use platform::PlatformState;

use self::callers::{CallerNews, Request};
use self::calls::{Attempt, AttemptIndex, Call, CallIndex, EdgeNews};
use self::machine::{Machine, MachineIndex, Presence};
use self::network::Network;
use self::operators::Operators;
use self::platform::Platform;
use self::probes::Probes;
use self::runs::{BackEndNews, Run, RunIndex};
use crate::engine::{self, Instant, Reactor};
use crate::options::RunOptions;
use crate::policy::{HostInput, HostOutput, PeerMessage, PlatformView, PolicyFactory};
use crate::profile::{capacity_roots_per_second, Deployment, StepIndex};
use crate::random::{generator, Stream};
use crate::record::Record;
use crate::timeline::{ARRIVALS_START, SECOND};

/// Events to come in the world.
pub type Agenda = engine::Agenda<Event>;

/// The share of the capacity that is offered under normal load.
const NORMAL_LOAD: f64 = 0.55;

/// What can happen in the world.
#[derive(Debug)]
pub enum Event {
    /// An outside caller of one kind of traffic makes a new request.
    Arrival { traffic: usize },
    /// An outside caller tries again.
    Retry { request: usize },
    /// An outside caller asks again under the key of a request that was answered.
    Repeat { request: usize },
    /// An outside caller has waited long enough for one try.
    Patience { call: CallIndex },
    /// An answer, or the lack of one, reaches an outside caller.
    AtCaller { call: CallIndex, news: CallerNews },
    /// A call of an outside caller reaches its edge.
    AtEdgeCall { call: CallIndex },
    /// The edge notices that the caller went away.
    AtEdgeCallerGone { call: CallIndex },
    /// A back end calls another service through its own node.
    ChildCall { run: RunIndex, step: StepIndex },
    /// An attempt reaches the gate.
    AtGate { attempt: AttemptIndex },
    /// The gate notices that the edge gave an attempt up.
    AtGateCancelled { attempt: AttemptIndex },
    /// Something of an attempt reaches the edge.
    AtEdge { attempt: AttemptIndex, news: EdgeNews },
    /// The time given to an attempt is over.
    AttemptDeadline { attempt: AttemptIndex },
    /// The back end tells its gate something of an attempt.
    FromBackEnd { attempt: AttemptIndex, news: BackEndNews },
    /// A back end has finished a part of a run's own work.
    PartDone { run: RunIndex },
    /// A back end has sent the last byte of a download.
    StreamDone { run: RunIndex },
    /// A policy wants to be stepped.
    Wake { machine: MachineIndex, at: Instant },
    /// A message of another node arrives.
    Peer { machine: MachineIndex, from: NodeId, message: PeerMessage },
    /// A node asks the platform's service.
    PlatformPoll { machine: MachineIndex, life: u32 },
    /// The platform's service answers.
    PlatformAnswer { machine: MachineIndex, life: u32, view: PlatformView },
    /// A node asks its back end's health and load endpoints.
    Hint { machine: MachineIndex, life: u32 },
    /// A probe of the configuration in force is sent to an edge.
    Probe { machine: MachineIndex },
    /// A planned fault begins or ends.
    Fault(Box<Fault>),
    /// A paused process goes on.
    Resume { machine: MachineIndex },
    /// A stopped process is gone at the latest.
    StopDeadline { machine: MachineIndex, life: u32 },
    /// A stopping process looks whether anything is left to finish.
    ExitWhenIdle { machine: MachineIndex, life: u32 },
    /// An operator acts, or asks again.
    Operate { number: u64 },
}

/// The generators of the world's own randomness.
struct Generators {
    callers: Pcg64,
    back_ends: Pcg64,
    network: Pcg64,
    faults: Pcg64,
    identities: Pcg64,
    nodes: Pcg64,
    repeats: Pcg64,
}

/// The whole emulated world of one run.
pub struct World {
    options: RunOptions,
    factory: PolicyFactory,
    deployment: Deployment,
    generators: Generators,
    machines: Vec<Machine>,
    network: Network,
    platform: Platform,
    operators: Operators,
    probes: Probes,
    requests: Vec<Request>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    runs: Vec<Run>,
    /// Factor on the normal rate of arrivals.
    rate_factor: f64,
    /// Root calls per second under normal load.
    normal_rate: f64,
    /// Factors on the work of each service's back ends.
    slowness: Vec<f64>,
    /// Whether load endpoints say that all is well.
    misleading_hints: bool,
    /// Whether callers try again at once and more often.
    hard_callers: bool,
    /// How many keyed requests in a hundred are asked for again after they were answered.
    repeat_percent: u32,
    outputs: Vec<HostOutput>,
    /// What callers and back ends saw.
    pub record: Record,
}

impl World {
    /// The world of a run, at its start.
    pub fn new(options: RunOptions, factory: PolicyFactory) -> Self {
        let mut deployment = Deployment::of(options.profile);
        let normal_rate = capacity_roots_per_second(&deployment) * NORMAL_LOAD;
        let probes = Probes::new(probes::add_probes(&mut deployment));
        let generators = Generators {
            callers: generator(options.seed, Stream::Callers),
            back_ends: generator(options.seed, Stream::BackEnds),
            network: generator(options.seed, Stream::Network),
            faults: generator(options.seed, Stream::Faults),
            identities: generator(options.seed, Stream::Identities),
            nodes: generator(options.seed, Stream::Nodes),
            repeats: generator(options.seed, Stream::Repeats),
        };
        let machines = machine::layout(&deployment);
        let platform = Platform::new(&deployment, &machines);
        World {
            options,
            factory,
            network: Network::new(deployment.latencies),
            slowness: vec![1.0; deployment.services.len()],
            probes,
            operators: Operators::default(),
            deployment,
            generators,
            machines,
            platform,
            requests: Vec::new(),
            calls: Vec::new(),
            attempts: Vec::new(),
            runs: Vec::new(),
            rate_factor: 1.0,
            normal_rate,
            misleading_hints: false,
            hard_callers: false,
            repeat_percent: 0,
            outputs: Vec::new(),
            record: Record::default(),
        }
    }

    /// The factor on the normal rate at which `times` the capacity is offered.
    pub fn rate_factor_for(times: f64) -> f64 {
        times / NORMAL_LOAD
    }

    /// Schedules the start of machines and callers, and `faults`.
    pub fn begin(&mut self, faults: Vec<PlannedFault>, agenda: &mut Agenda) {
        for machine in 0..self.machines.len() {
            self.boot(MachineIndex(machine as u16), agenda);
        }
        for traffic in 0..self.deployment.traffic.len() {
            agenda.at(ARRIVALS_START, Event::Arrival { traffic });
        }
        self.begin_probes(agenda);
        for planned in faults {
            agenda.at(planned.at, Event::Fault(Box::new(planned.fault)));
        }
    }

    /// Closes the record at the end of the run.
    pub fn finish(&mut self, now: Instant) {
        self.close_probes(now);
    }

    /// The deployment that is emulated.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Steps a node's policy and carries out what it wants.
    fn step(&mut self, index: MachineIndex, input: HostInput, agenda: &mut Agenda) {
        let now = self.local_time(index, agenda.now());
        let mut outputs = std::mem::take(&mut self.outputs);
        if let Some(policy) = self.machines[index.at()].policy.as_mut() {
            policy.step(now, input, &mut outputs);
        }
        for output in outputs.drain(..) {
            self.carry_out(index, output, agenda);
        }
        self.outputs = outputs;
        self.schedule_wake(index, agenda);
    }

    fn carry_out(&mut self, index: MachineIndex, output: HostOutput, agenda: &mut Agenda) {
        match output {
            HostOutput::Edge(output) => self.carry_out_edge(index, output, agenda),
            HostOutput::Gate(output) => self.carry_out_gate(index, output, agenda),
            HostOutput::Send { to, message } => self.send_message(index, to, message, agenda),
            HostOutput::Operator { number, result } => self.operator_result(number, &result, agenda),
            HostOutput::Event(text) => {
                let text = format!("{}: {text}", self.machines[index.at()].label);
                self.record.event(agenda.now(), text);
            }
            HostOutput::ReadyToExit => self.ready_to_exit(index, agenda),
        }
    }

    fn local_time(&self, index: MachineIndex, now: Instant) -> Timestamp {
        Timestamp(now + self.machines[index.at()].clock_offset)
    }

    fn schedule_wake(&mut self, index: MachineIndex, agenda: &mut Agenda) {
        let machine = &mut self.machines[index.at()];
        let Some(wanted) = machine.policy.as_ref().and_then(|policy| policy.next_wake()) else { return };
        let at = wanted.0.saturating_sub(machine.clock_offset).max(agenda.now() + engine::RESOLUTION);
        let at = at.div_ceil(engine::RESOLUTION) * engine::RESOLUTION;
        if machine.wake_at.is_none_or(|earlier| at < earlier) {
            machine.wake_at = Some(at);
            agenda.at(at, Event::Wake { machine: index, at });
        }
    }

    fn wake(&mut self, index: MachineIndex, at: Instant, agenda: &mut Agenda) {
        let machine = &mut self.machines[index.at()];
        if machine.wake_at == Some(at) {
            machine.wake_at = None;
            self.step(index, HostInput::Tick, agenda);
        }
    }

    /// The machine whose process handles `event`, if one does.
    fn handler_of(&self, event: &Event) -> Option<MachineIndex> {
        match event {
            Event::AtEdgeCall { call } | Event::AtEdgeCallerGone { call } => Some(self.calls[call.at()].edge),
            Event::ChildCall { run, .. } => Some(self.runs[run.at()].machine),
            Event::AtGate { attempt } | Event::AtGateCancelled { attempt } | Event::FromBackEnd { attempt, .. } => {
                Some(self.attempts[attempt.at()].gate)
            }
            Event::AtEdge { attempt, .. } | Event::AttemptDeadline { attempt } => {
                Some(self.attempts[attempt.at()].edge)
            }
            Event::Wake { machine, .. }
            | Event::Peer { machine, .. }
            | Event::PlatformPoll { machine, .. }
            | Event::PlatformAnswer { machine, .. }
            | Event::Hint { machine, .. } => Some(*machine),
            _ => None,
        }
    }

    /// Whether `event` has to wait because the process that handles it is paused.
    fn hold_back(&mut self, event: Event) -> Option<Event> {
        let handler = match &event {
            Event::PartDone { run } | Event::StreamDone { run } => {
                let machine = self.runs[run.at()].machine;
                self.machines[machine.at()].pause_holds_back_end.then_some(machine)
            }
            other => self.handler_of(other),
        };
        let Some(machine) = handler.map(|index| &mut self.machines[index.at()]) else { return Some(event) };
        if machine.presence != Presence::Paused {
            return Some(event);
        }
        machine.held.push(event);
        None
    }
}

impl Reactor for World {
    type Event = Event;

    fn handle(&mut self, event: Event, agenda: &mut Agenda) {
        let Some(event) = self.hold_back(event) else { return };
        match event {
            Event::Arrival { traffic } => self.arrival(traffic, agenda),
            Event::Retry { request } => self.start_try(request, agenda),
            Event::Repeat { request } => self.repeat(request, agenda),
            Event::Patience { call } => self.patience_over(call, agenda),
            Event::AtCaller { call, news } => self.at_caller(call, news, agenda),
            Event::AtEdgeCall { call } => self.at_edge_call(call, agenda),
            Event::AtEdgeCallerGone { call } => self.at_edge_caller_gone(call, agenda),
            Event::ChildCall { run, step } => self.child_call(run, step, agenda),
            Event::AtGate { attempt } => self.at_gate(attempt, agenda),
            Event::AtGateCancelled { attempt } => self.at_gate_cancelled(attempt, agenda),
            Event::AtEdge { attempt, news } => self.at_edge(attempt, news, agenda),
            Event::AttemptDeadline { attempt } => self.attempt_deadline(attempt, agenda),
            Event::FromBackEnd { attempt, news } => self.back_end_told(attempt, news, agenda),
            Event::PartDone { run } => self.part_done(run, agenda),
            Event::StreamDone { run } => self.stream_done(run, agenda),
            Event::Wake { machine, at } => self.wake(machine, at, agenda),
            Event::Peer { machine, from, message } => self.peer_message(machine, from, message, agenda),
            Event::PlatformPoll { machine, life } => self.platform_poll(machine, life, agenda),
            Event::PlatformAnswer { machine, life, view } => self.platform_answer(machine, life, view, agenda),
            Event::Hint { machine, life } => self.hint(machine, life, agenda),
            Event::Probe { machine } => self.probe(machine, agenda),
            Event::Fault(fault) => self.apply(*fault, agenda),
            Event::Resume { machine } => self.resume(machine, agenda),
            Event::StopDeadline { machine, life } => self.stop_deadline(machine, life, agenda),
            Event::ExitWhenIdle { machine, life } => self.exit_when_idle(machine, life, agenda),
            Event::Operate { number } => self.operate(number, agenda),
        }
    }
}

/// How often each machine asks the platform's service, in microseconds.
const PLATFORM_INTERVAL: Instant = SECOND;
