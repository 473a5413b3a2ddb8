//! The gates of one service on a virtual clock, with the real decisions: copies of a request that crashes targets arrive among others, targets
//! come back, datagrams are lost, parts are cut off, gates start again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use quillhatch_mesh::quarantine::{
    Quarantine, RequestParts, RequestSignature, RunId, RunTracker, SignatureKey, SuspectRecord, Verdict,
};
use quillhatch_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Who remembers what requests did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowing {
    /// Nobody.
    Nobody,
    /// The gate of a target that ended holds the end against all that ran there; gates refuse.
    Gates,
    /// Each edge holds an end against its own call that broke off; edges refuse.
    Edges,
}

/// How others learn of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Telling {
    /// In datagrams to all who remember, and to one of them each second.
    Datagrams,
    /// With calls: an answer brings what the gate knows, the edge's next call takes it on.
    WithCalls,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub knowing: Knowing,
    pub telling: Telling,
    /// Nodes with a target of the service each.
    pub nodes: usize,
    /// Calls a second with paths of their own, and with one popular path.
    pub rate: f64,
    /// How long such a call runs, in seconds, at least and at most.
    pub work: (f64, f64),
    /// How often a call is sent in all, by edges and by its caller, while targets end under it.
    pub attempts: u32,
    /// Copies of the harmful request a second.
    pub copies: f64,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// Nodes that get no datagrams and no calls of others between these seconds.
    pub cut: Option<(usize, f64, f64)>,
    /// Seconds at which the gate of a node starts again and knows nothing.
    pub restarts: &'static [(usize, f64)],
    /// Seconds at which the target of a node ends for a cause of its own.
    pub kills: &'static [(usize, f64)],
    pub seed: u64,
    pub seconds: f64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When a target ended under the harmful request, in seconds.
    pub ends: Vec<f64>,
    /// Other calls that were refused as harmful.
    pub refused_others: usize,
    /// Other calls in all.
    pub others: usize,
    /// Datagrams that were sent.
    pub datagrams: usize,
}

const DOWN_S: f64 = 1.5;
const HARMFUL: u64 = 0;
const POPULAR: u64 = 1;

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Arrives { request: u64, edge: usize, attempt: u32 },
    Answers { node: usize, life: u32, run: RunId, request: u64, edge: usize },
    Ends { node: usize, life: u32, is_harm: bool },
    Back { node: usize },
    Datagram { to: usize, records: Vec<SuspectRecord>, cleared: Vec<SignatureKey>, from: usize },
    Round { node: usize },
    Restarts { node: usize },
}

struct Node {
    quarantine: Quarantine,
    runs: RunTracker,
    /// Calls that run: the edge and the request, to be sent again.
    running: Vec<(RunId, u64, usize, u32)>,
    life: u32,
    is_up: bool,
}

pub struct Fleet {
    play: Play,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Option<Event>>,
    random: Pcg64,
    now: Timestamp,
    outcome: Outcome,
    /// What each edge has heard with answers.
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
        caller: "alpha",
    })
}

impl Fleet {
    pub fn play(play: Play) -> Outcome {
        let node = |number: usize| Node {
            quarantine: Quarantine::new(number as f64 / play.nodes as f64),
            runs: RunTracker::default(),
            running: Vec::new(),
            life: 0,
            is_up: true,
        };
        let mut fleet = Fleet {
            play,
            nodes: (0..play.nodes).map(node).collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            random: Pcg64::seed_from_u64(play.seed),
            now: Timestamp::ZERO,
            outcome: Outcome::default(),
            carried: vec![Vec::new(); play.nodes],
            next_path: POPULAR + 1,
        };
        fleet.schedule_arrivals();
        for node in 0..play.nodes {
            let first = fleet.random.gen_range(0.0..1.0);
            fleet.at(first, Event::Round { node });
        }
        for (node, at) in play.restarts {
            fleet.at(*at, Event::Restarts { node: *node });
        }
        for (node, at) in play.kills {
            fleet.at(*at, Event::Ends { node: *node, life: u32::MAX, is_harm: false });
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
        if seconds < self.play.seconds {
            self.queue.push(Reverse(((seconds * 1e6) as u64, self.events.len() as u64)));
            self.events.push(Some(event));
        }
    }

    fn after(&mut self, seconds: f64, event: Event) {
        self.at(self.seconds() + seconds, event);
    }

    fn schedule_arrivals(&mut self) {
        let (rate, copies) = (self.play.rate, self.play.copies);
        for (rate, request) in [(rate * 0.8, None), (rate * 0.2, Some(POPULAR)), (copies, Some(HARMFUL))] {
            // The harmful one comes into a service that runs.
            let mut at = if request == Some(HARMFUL) { 4.0 } else { 1.0 };
            while rate > 0.0 && at < self.play.seconds {
                at += self.random.gen_range(0.0..2.0) / rate;
                let edge = self.random.gen_range(0..self.play.nodes);
                let request = request.unwrap_or_else(|| {
                    self.next_path += 1;
                    self.next_path
                });
                self.at(at, Event::Arrives { request, edge, attempt: 1 });
            }
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let now = self.seconds();
        let during = self.play.cut.filter(|(_, from, to)| (*from..*to).contains(&now));
        one != other && during.is_some_and(|(nodes, ..)| (one < nodes) != (other < nodes))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives { request, edge, attempt } => self.arrives(request, edge, attempt),
            Event::Answers { node, life, run, request, edge } => self.answers(node, life, run, request, edge),
            Event::Ends { node, life, is_harm } => self.ends(node, life, is_harm),
            Event::Back { node } => self.nodes[node].is_up = true,
            Event::Datagram { to, records, cleared, from } => {
                let quarantine = &mut self.nodes[to].quarantine;
                quarantine.record_cleared(&cleared, self.now);
                let harmless = quarantine.merge(&records, self.now);
                if !harmless.is_empty() {
                    self.send(to, from, Vec::new(), harmless);
                }
            }
            Event::Round { node } => {
                let records = self.nodes[node].quarantine.gossip_records(self.now);
                if !records.is_empty() && self.play.telling == Telling::Datagrams {
                    let to = self.random.gen_range(0..self.play.nodes);
                    self.send(node, to, records, Vec::new());
                }
                self.after(1.0, Event::Round { node });
            }
            Event::Restarts { node } => self.restarts(node),
        }
    }

    fn restarts(&mut self, node: usize) {
        self.nodes[node].quarantine = Quarantine::new(0.5);
        if self.play.telling != Telling::Datagrams {
            return;
        }
        // It asks another one, which answers with all that it knows.
        let asked = (node + 1) % self.play.nodes;
        let records = self.nodes[asked].quarantine.all_records(self.now);
        self.send(asked, node, records, Vec::new());
    }

    fn send(&mut self, from: usize, to: usize, records: Vec<SuspectRecord>, cleared: Vec<SignatureKey>) {
        self.outcome.datagrams += 1;
        let is_lost = self.random.gen_bool(self.play.loss) || self.is_cut(from, to);
        if from != to && !is_lost {
            self.after(0.002, Event::Datagram { to, records, cleared, from });
        }
    }

    fn tell_all(&mut self, from: usize, records: &[SuspectRecord], cleared: &[SignatureKey]) {
        if self.play.telling != Telling::Datagrams || (records.is_empty() && cleared.is_empty()) {
            return;
        }
        for to in 0..self.play.nodes {
            self.send(from, to, records.to_vec(), cleared.to_vec());
        }
    }

    /// Whether the node that remembers refuses the request.
    fn refuses(&mut self, node: usize, request: u64) -> bool {
        let verdict = self.nodes[node].quarantine.verdict(&signature(request), self.now);
        let is_refused = matches!(verdict, Verdict::Refused(_));
        self.outcome.refused_others += usize::from(is_refused && request != HARMFUL);
        is_refused
    }

    fn arrives(&mut self, request: u64, edge: usize, attempt: u32) {
        self.outcome.others += usize::from(request != HARMFUL && attempt == 1);
        if self.play.knowing == Knowing::Edges && self.refuses(edge, request) {
            return;
        }
        let up: Vec<usize> =
            (0..self.play.nodes).filter(|node| self.nodes[*node].is_up && !self.is_cut(edge, *node)).collect();
        let Some(&node) = (!up.is_empty()).then(|| &up[self.random.gen_range(0..up.len())]) else { return };
        if self.play.telling == Telling::WithCalls {
            let carried = std::mem::take(&mut self.carried[edge]);
            self.nodes[node].quarantine.merge(&carried, self.now);
        }
        if self.play.knowing == Knowing::Gates && self.refuses(node, request) {
            return;
        }
        let now = self.now;
        let gate = &mut self.nodes[node];
        let run = gate.runs.begin(signature(request), now);
        gate.running.push((run, request, edge, attempt));
        let life = gate.life;
        if request == HARMFUL {
            let after = self.random.gen_range(0.03..0.3);
            self.after(after, Event::Ends { node, life, is_harm: true });
        } else {
            let after = self.random.gen_range(self.play.work.0..self.play.work.1);
            self.after(after, Event::Answers { node, life, run, request, edge });
        }
    }

    fn answers(&mut self, node: usize, life: u32, run: RunId, request: u64, edge: usize) {
        let gate = &mut self.nodes[node];
        if gate.life != life {
            return;
        }
        gate.running.retain(|(running, ..)| *running != run);
        gate.runs.completed(run);
        let holder = if self.play.knowing == Knowing::Edges { edge } else { node };
        let cleared = self.nodes[holder].quarantine.record_completion(&signature(request), self.now);
        self.tell_all(holder, &[], &cleared);
        if self.play.telling == Telling::WithCalls && self.play.knowing == Knowing::Gates {
            let known = self.nodes[node].quarantine.all_records(self.now);
            self.carried[edge] = known;
        }
    }

    fn ends(&mut self, node: usize, life: u32, is_harm: bool) {
        let gate = &mut self.nodes[node];
        if !gate.is_up || (is_harm && gate.life != life) {
            return;
        }
        if is_harm {
            self.outcome.ends.push(self.now.0 as f64 / 1e6);
        }
        let target = format!("i-{node}-{}", gate.life);
        gate.life += 1;
        gate.is_up = false;
        let running = std::mem::take(&mut gate.running);
        for (run, ..) in &running {
            gate.runs.connection_lost(*run, Some(target.as_str().into()), self.now);
        }
        let end = gate.runs.target_crashed();
        match (self.play.knowing, end) {
            (Knowing::Gates, Some(end)) => {
                let records = self.nodes[node].quarantine.record_crash(&end, self.now);
                self.tell_all(node, &records, &[]);
            }
            (Knowing::Edges, Some(end)) => {
                for (_, request, edge, _) in &running {
                    let own = quillhatch_mesh::quarantine::TargetCrash {
                        target: end.target.clone(),
                        signatures: vec![signature(*request)],
                    };
                    let records = self.nodes[*edge].quarantine.record_crash(&own, self.now);
                    self.tell_all(*edge, &records, &[]);
                }
            }
            _ => {}
        }
        for (_, request, edge, attempt) in running {
            if attempt < self.play.attempts {
                self.after(0.001, Event::Arrives { request, edge, attempt: attempt + 1 });
            }
        }
        self.after(DOWN_S, Event::Back { node });
    }
}
