//! Random histories of reads, calls between nodes, pauses and restarts. After a configuration without a key was
//! written, no node accepts the key for longer than the bound. Mutations of the rules, each wrong in one point, violate
//! the bound.

use std::time::Duration;

use quillhatch_mesh::freshness::{FreshnessLease, FreshnessProof};
use quillhatch_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const REVOCATION_MS: u64 = 5000;
const NODES: usize = 4;
const HISTORIES: u64 = 3000;
const STEPS: u32 = 250;
/// How long a watch may stay without a response although there are changes.
const MAX_WATCH_LAG_MS: u64 = 1000;

/// How a node determines the age of its proofs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// By the rules of the product.
    Product,
    /// A read of the store counts from the arrival of its response.
    ReadFromResponse,
    /// The proof of another node counts from the arrival of its response.
    ProofFromResponse,
    /// The proof of another node counts whatever configuration it is about.
    AnyVersion,
}

struct Node {
    /// When the process started, in global time.
    started: u64,
    version: u64,
    lease: FreshnessLease,
    paused_until: u64,
}

impl Node {
    fn new(started: u64) -> Self {
        let revocation = Some(Duration::from_millis(REVOCATION_MS));
        Node { started, version: 0, lease: FreshnessLease::new(revocation, 0.5), paused_until: 0 }
    }

    fn clock(&self, now: u64) -> Timestamp {
        Timestamp::from_millis(now - self.started)
    }
}

/// A message on its way to a node.
struct Delivery {
    at: u64,
    node: usize,
    /// The start of the process at that node when the message was sent.
    started: u64,
    /// When the read or call was sent, in global time.
    sent: u64,
    message: Message,
}

enum Message {
    /// The store's response to a read, with the configuration version that it holds.
    ReadResponse(u64),
    /// A call of another node, from the process that started at that time.
    Call { from: usize, from_started: u64 },
    /// The response to a call.
    CallResponse(Option<FreshnessProof>),
}

struct World {
    rule: Rule,
    random: Pcg64,
    now: u64,
    /// When each version was written; the first one is version 1.
    written: Vec<u64>,
    nodes: Vec<Node>,
    deliveries: Vec<Delivery>,
}

impl World {
    fn new(rule: Rule, seed: u64) -> Self {
        let nodes = (0..NODES).map(|_| Node::new(0)).collect();
        World { rule, random: Pcg64::seed_from_u64(seed), now: 0, written: vec![0], nodes, deliveries: Vec::new() }
    }

    fn version_at(&self, moment: u64) -> u64 {
        self.written.iter().filter(|written| **written <= moment).count() as u64
    }

    /// Most messages take some milliseconds, some take seconds.
    fn delay(&mut self) -> u64 {
        if self.random.gen_bool(0.8) {
            self.random.gen_range(1..60)
        } else {
            self.random.gen_range(60..4500)
        }
    }

    fn send(&mut self, node: usize, sent: u64, message: Message) {
        let delay = self.delay();
        let started = self.nodes[node].started;
        // A tenth of the messages is lost.
        if self.random.gen_bool(0.9) {
            self.deliveries.push(Delivery { at: self.now + delay, node, started, sent, message });
        }
    }

    fn step(&mut self) {
        self.now += self.random.gen_range(1..120);
        let node = self.random.gen_range(0..NODES);
        match self.random.gen_range(0..100) {
            0..=2 => self.written.push(self.now),
            3 => self.nodes[node] = Node::new(self.now),
            4..=6 => self.nodes[node].paused_until = self.now + self.random.gen_range(100..6000),
            7..=30 => {
                // A watch may lack the changes of the last second.
                let lag = if self.random.gen_bool(0.2) { self.random.gen_range(0..MAX_WATCH_LAG_MS) } else { 0 };
                let version = self.version_at(self.now.saturating_sub(lag));
                self.send(node, self.now, Message::ReadResponse(version));
            }
            31..=70 => {
                let other = self.random.gen_range(0..NODES);
                let from_started = self.nodes[node].started;
                self.send(other, self.now, Message::Call { from: node, from_started });
            }
            _ => {}
        }
        self.deliver();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let nodes = &self.nodes;
        let is_due = |delivery: &Delivery| delivery.at <= now && nodes[delivery.node].paused_until <= now;
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.deliveries).into_iter().partition(|delivery| is_due(delivery));
        self.deliveries = waiting;
        for Delivery { node: index, started, sent, message, .. } in due {
            let rule = self.rule;
            let node = &mut self.nodes[index];
            if node.started != started && !matches!(message, Message::Call { .. }) {
                continue;
            }
            match message {
                Message::ReadResponse(version) => {
                    node.version = node.version.max(version);
                    let counted = if rule == Rule::ReadFromResponse { now } else { sent };
                    node.lease.record_read(node.version, node.clock(counted));
                }
                Message::Call { from, from_started } => {
                    let arrived = node.clock(now);
                    let proof = node.lease.proof(node.version, arrived);
                    if self.nodes[from].started == from_started {
                        self.send(from, sent, Message::CallResponse(proof));
                    }
                }
                Message::CallResponse(Some(proof)) => {
                    let counted = if rule == Rule::ProofFromResponse { now } else { sent };
                    let own = if rule == Rule::AnyVersion { u64::MAX } else { node.version };
                    node.lease.record_proof(proof, own, node.clock(counted));
                }
                Message::CallResponse(None) => {}
            }
        }
    }

    /// By how much, at the worst node, keys of a replaced configuration are accepted beyond the bound, in milliseconds.
    fn overrun(&self) -> u64 {
        let beyond = self.nodes.iter().filter(|node| node.lease.is_valid(node.clock(self.now))).map(|node| {
            let replaced = self.written.get(node.version as usize).copied().unwrap_or(u64::MAX);
            self.now.saturating_sub(replaced.saturating_add(REVOCATION_MS))
        });
        beyond.max().unwrap_or(0)
    }
}

/// The greatest overrun in all histories, and the number of node steps with a valid lease.
fn explore(rule: Rule) -> (u64, u64) {
    let (mut worst, mut valid) = (0, 0);
    for seed in 0..HISTORIES {
        let mut world = World::new(rule, seed);
        for _ in 0..STEPS {
            world.step();
            worst = worst.max(world.overrun());
            let now = world.now;
            valid += world.nodes.iter().filter(|node| node.lease.is_valid(node.clock(now))).count() as u64;
        }
    }
    (worst, valid)
}

#[test]
fn no_key_is_accepted_beyond_the_bound() {
    let (worst, valid) = explore(Rule::Product);
    assert_eq!(worst, 0, "milliseconds beyond the bound");
    assert!(valid > HISTORIES * u64::from(STEPS), "keys are accepted at a quarter of the nodes at least: {valid}");
}

#[test]
fn a_lease_that_starts_with_the_response_violates_the_bound() {
    assert!(explore(Rule::ReadFromResponse).0 > 0);
}

#[test]
fn an_age_that_counts_from_the_response_violates_the_bound() {
    assert!(explore(Rule::ProofFromResponse).0 > 0);
}

#[test]
fn a_proof_about_a_newer_configuration_violates_the_bound() {
    assert!(explore(Rule::AnyVersion).0 > 0);
}
