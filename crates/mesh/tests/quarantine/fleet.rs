//! The gates of one service on a virtual clock, with the actual decision code. Copies of a request that crashes targets
//! arrive among other requests; targets restart, datagrams are lost, nodes are partitioned, and gates restart.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use quillhatch_mesh::quarantine::{
    Quarantine, RequestParts, RequestSignature, RunId, RunTracker, RunVerdict, SignatureKey, SuspectRecord,
};
use quillhatch_mesh::targets::TargetProcess;
use quillhatch_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// The nodes that store the evidence against requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceHolder {
    /// No node.
    Nobody,
    /// The gate of a crashed target counts the crash against all requests that ran there; gates refuse requests.
    Gates,
    /// Each edge counts a crash against its own call that was interrupted; edges refuse requests.
    Edges,
}

/// The exchange of evidence between the nodes that store it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// In datagrams: broadcast at once, and gossiped to one random node each second.
    Datagrams,
    /// With calls: a response carries the gate's evidence, and the edge's next call carries it on.
    WithCalls,
}

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub holder: EvidenceHolder,
    pub exchange: Exchange,
    /// The number of nodes; each has a target of the service.
    pub nodes: usize,
    /// Calls per second, without copies of the crashing request: most with a path of their own, the others with one
    /// popular path.
    pub rate: f64,
    /// The minimum and maximum run time of these calls, in seconds.
    pub run_time_s: (f64, f64),
    /// The maximum number of attempts of a call whose targets crash, by edges and by its caller.
    pub attempts: u32,
    /// Copies of the crashing request per second.
    pub crashing_rate: f64,
    /// The share of datagrams that are lost.
    pub datagram_loss: f64,
    /// The number of nodes that are partitioned from the others, and the start and end in seconds.
    pub partition: Option<(usize, f64, f64)>,
    /// Nodes whose gates restart without evidence, and when, in seconds.
    pub gate_restarts: &'static [(usize, f64)],
    /// Nodes whose targets crash for another reason, and when, in seconds.
    pub unrelated_crashes: &'static [(usize, f64)],
    pub seed: u64,
    pub seconds: f64,
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The times at which a target crashed under the crashing request, in seconds.
    pub crashes: Vec<f64>,
    /// The number of other calls that were refused by the quarantine.
    pub refused_others: usize,
    /// The number of other calls.
    pub others: usize,
    /// The number of datagrams sent.
    pub datagrams: usize,
}

/// The time that a crashed target takes to restart, in seconds.
const TARGET_RESTART_S: f64 = 1.5;
const CRASHING_REQUEST: u64 = 0;
const POPULAR_REQUEST: u64 = 1;

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Arrives { request: u64, edge: usize, attempt: u32 },
    Completes { node: usize, incarnation: u32, run: RunId, request: u64, edge: usize },
    Crashes { node: usize, incarnation: u32, is_by_request: bool },
    TargetUp { node: usize },
    Datagram { to: usize, records: Vec<SuspectRecord>, cleared: Vec<SignatureKey>, from: usize },
    GossipRound { node: usize },
    GateRestarts { node: usize },
}

struct Node {
    quarantine: Quarantine,
    runs: RunTracker,
    /// The calls that run: run, request, edge and number of the attempt.
    running: Vec<(RunId, u64, usize, u32)>,
    incarnation: u32,
    is_up: bool,
}

pub struct Fleet {
    scenario: Scenario,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Option<Event>>,
    random: Pcg64,
    now: Timestamp,
    outcome: Outcome,
    /// The evidence that each edge has received with responses.
    carried: Vec<Vec<SuspectRecord>>,
    next_path: u64,
}

fn signature(request: u64) -> RequestSignature {
    let path = format!("/{request}");
    RequestSignature::of(&RequestParts {
        method: "GET",
        host: "shop.example",
        path: &path,
        query: "",
        body: b"",
        tenant: "",
        caller_service: "alpha",
    })
}

impl Fleet {
    pub fn run(scenario: Scenario) -> Outcome {
        let node = |number: usize| Node {
            quarantine: Quarantine::new(number as f64 / scenario.nodes as f64),
            runs: RunTracker::default(),
            running: Vec::new(),
            incarnation: 0,
            is_up: true,
        };
        let mut fleet = Fleet {
            scenario,
            nodes: (0..scenario.nodes).map(node).collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            random: Pcg64::seed_from_u64(scenario.seed),
            now: Timestamp::ZERO,
            outcome: Outcome::default(),
            carried: vec![Vec::new(); scenario.nodes],
            next_path: POPULAR_REQUEST + 1,
        };
        fleet.schedule_arrivals();
        for node in 0..scenario.nodes {
            let first = fleet.random.gen_range(0.0..1.0);
            fleet.at(first, Event::GossipRound { node });
        }
        for (node, at) in scenario.gate_restarts {
            fleet.at(*at, Event::GateRestarts { node: *node });
        }
        for (node, at) in scenario.unrelated_crashes {
            fleet.at(*at, Event::Crashes { node: *node, incarnation: u32::MAX, is_by_request: false });
        }
        while let Some(Reverse((at, number))) = fleet.queue.pop() {
            fleet.now = Timestamp(at);
            let event = fleet.events[number as usize].take().expect("an event happens once");
            fleet.handle(event);
        }
        fleet.outcome
    }

    fn seconds(&self) -> f64 {
        self.now.0 as f64 / 1e6
    }

    fn at(&mut self, seconds: f64, event: Event) {
        if seconds < self.scenario.seconds {
            self.queue.push(Reverse(((seconds * 1e6) as u64, self.events.len() as u64)));
            self.events.push(Some(event));
        }
    }

    fn after(&mut self, seconds: f64, event: Event) {
        self.at(self.seconds() + seconds, event);
    }

    fn schedule_arrivals(&mut self) {
        let (rate, crashing_rate) = (self.scenario.rate, self.scenario.crashing_rate);
        for (rate, request) in
            [(rate * 0.8, None), (rate * 0.2, Some(POPULAR_REQUEST)), (crashing_rate, Some(CRASHING_REQUEST))]
        {
            // The crashing request starts when the service is already in use.
            let mut at = if request == Some(CRASHING_REQUEST) { 4.0 } else { 1.0 };
            while rate > 0.0 && at < self.scenario.seconds {
                at += self.random.gen_range(0.0..2.0) / rate;
                let edge = self.random.gen_range(0..self.scenario.nodes);
                let request = request.unwrap_or_else(|| {
                    self.next_path += 1;
                    self.next_path
                });
                self.at(at, Event::Arrives { request, edge, attempt: 1 });
            }
        }
    }

    fn is_partitioned(&self, one: usize, other: usize) -> bool {
        let now = self.seconds();
        let during = self.scenario.partition.filter(|(_, from, to)| (*from..*to).contains(&now));
        one != other && during.is_some_and(|(nodes, ..)| (one < nodes) != (other < nodes))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives { request, edge, attempt } => self.handle_arrival(request, edge, attempt),
            Event::Completes { node, incarnation, run, request, edge } => {
                self.handle_completion(node, incarnation, run, request, edge)
            }
            Event::Crashes { node, incarnation, is_by_request } => self.handle_crash(node, incarnation, is_by_request),
            Event::TargetUp { node } => self.nodes[node].is_up = true,
            Event::Datagram { to, records, cleared, from } => {
                let quarantine = &mut self.nodes[to].quarantine;
                quarantine.record_cleared(&cleared, self.now);
                let completed = quarantine.merge(&records, self.now);
                if !completed.is_empty() {
                    self.send(to, from, Vec::new(), completed);
                }
            }
            Event::GossipRound { node } => {
                let records = self.nodes[node].quarantine.gossip_records(self.now);
                if !records.is_empty() && self.scenario.exchange == Exchange::Datagrams {
                    let to = self.random.gen_range(0..self.scenario.nodes);
                    self.send(node, to, records, Vec::new());
                }
                self.after(1.0, Event::GossipRound { node });
            }
            Event::GateRestarts { node } => self.restart_gate(node),
        }
    }

    fn restart_gate(&mut self, node: usize) {
        self.nodes[node].quarantine = Quarantine::new(0.5);
        if self.scenario.exchange != Exchange::Datagrams {
            return;
        }
        // It queries another gate, which responds with all its evidence.
        let queried = (node + 1) % self.scenario.nodes;
        let records = self.nodes[queried].quarantine.all_records(self.now);
        self.send(queried, node, records, Vec::new());
    }

    fn send(&mut self, from: usize, to: usize, records: Vec<SuspectRecord>, cleared: Vec<SignatureKey>) {
        self.outcome.datagrams += 1;
        let is_lost = self.random.gen_bool(self.scenario.datagram_loss) || self.is_partitioned(from, to);
        if from != to && !is_lost {
            self.after(0.002, Event::Datagram { to, records, cleared, from });
        }
    }

    fn broadcast(&mut self, from: usize, records: &[SuspectRecord], cleared: &[SignatureKey]) {
        if self.scenario.exchange != Exchange::Datagrams || (records.is_empty() && cleared.is_empty()) {
            return;
        }
        for to in 0..self.scenario.nodes {
            self.send(from, to, records.to_vec(), cleared.to_vec());
        }
    }

    /// Returns whether the quarantine of a node refuses the request.
    fn refuses(&mut self, node: usize, request: u64) -> bool {
        let verdict = self.nodes[node].quarantine.verdict(&signature(request), self.now);
        let is_refused = matches!(verdict, RunVerdict::Refused(_));
        self.outcome.refused_others += usize::from(is_refused && request != CRASHING_REQUEST);
        is_refused
    }

    fn handle_arrival(&mut self, request: u64, edge: usize, attempt: u32) {
        self.outcome.others += usize::from(request != CRASHING_REQUEST && attempt == 1);
        if self.scenario.holder == EvidenceHolder::Edges && self.refuses(edge, request) {
            return;
        }
        let up: Vec<usize> = (0..self.scenario.nodes)
            .filter(|node| self.nodes[*node].is_up && !self.is_partitioned(edge, *node))
            .collect();
        let Some(&node) = (!up.is_empty()).then(|| &up[self.random.gen_range(0..up.len())]) else { return };
        if self.scenario.exchange == Exchange::WithCalls {
            let carried = std::mem::take(&mut self.carried[edge]);
            self.nodes[node].quarantine.merge(&carried, self.now);
        }
        if self.scenario.holder == EvidenceHolder::Gates && self.refuses(node, request) {
            return;
        }
        let now = self.now;
        let gate = &mut self.nodes[node];
        let run = gate.runs.begin(signature(request), now);
        gate.running.push((run, request, edge, attempt));
        let incarnation = gate.incarnation;
        if request == CRASHING_REQUEST {
            let after = self.random.gen_range(0.03..0.3);
            self.after(after, Event::Crashes { node, incarnation, is_by_request: true });
        } else {
            let after = self.random.gen_range(self.scenario.run_time_s.0..self.scenario.run_time_s.1);
            self.after(after, Event::Completes { node, incarnation, run, request, edge });
        }
    }

    fn handle_completion(&mut self, node: usize, incarnation: u32, run: RunId, request: u64, edge: usize) {
        let gate = &mut self.nodes[node];
        if gate.incarnation != incarnation {
            return;
        }
        gate.running.retain(|(running, ..)| *running != run);
        gate.runs.completed(run);
        let storing_node = if self.scenario.holder == EvidenceHolder::Edges { edge } else { node };
        let cleared = self.nodes[storing_node].quarantine.record_completion(&signature(request), self.now);
        self.broadcast(storing_node, &[], &cleared);
        if self.scenario.exchange == Exchange::WithCalls && self.scenario.holder == EvidenceHolder::Gates {
            let known = self.nodes[node].quarantine.all_records(self.now);
            self.carried[edge] = known;
        }
    }

    fn handle_crash(&mut self, node: usize, incarnation: u32, is_by_request: bool) {
        let gate = &mut self.nodes[node];
        if !gate.is_up || (is_by_request && gate.incarnation != incarnation) {
            return;
        }
        if is_by_request {
            self.outcome.crashes.push(self.now.0 as f64 / 1e6);
        }
        let target = format!("i-{node}-{}", gate.incarnation);
        gate.incarnation += 1;
        gate.is_up = false;
        let running = std::mem::take(&mut gate.running);
        for (run, ..) in &running {
            gate.runs.connection_lost(*run, Some(TargetProcess { id: target.as_str().into(), started: 1 }), self.now);
        }
        let crash = gate.runs.target_crashed(self.now);
        match (self.scenario.holder, crash) {
            (EvidenceHolder::Gates, Some(crash)) => {
                let records = self.nodes[node].quarantine.record_crash(&crash, self.now);
                self.broadcast(node, &records, &[]);
            }
            (EvidenceHolder::Edges, Some(crash)) => {
                for (_, request, edge, _) in &running {
                    let edge_crash = quillhatch_mesh::quarantine::TargetCrash {
                        target: crash.target.clone(),
                        signatures: vec![signature(*request)],
                    };
                    let records = self.nodes[*edge].quarantine.record_crash(&edge_crash, self.now);
                    self.broadcast(*edge, &records, &[]);
                }
            }
            _ => {}
        }
        for (_, request, edge, attempt) in running {
            if attempt < self.scenario.attempts {
                self.after(0.001, Event::Arrives { request, edge, attempt: attempt + 1 });
            }
        }
        self.after(TARGET_RESTART_S, Event::TargetUp { node });
    }
}
