//! Nodes with the limits of one tenant on a virtual clock: calls arrive, reports travel, are lost, and nodes fail.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::limits::{
    coordinator_candidates, report_period, CoordinatorChoice, LimitBounds, LimitCoordinator, LocalLimits, TenantShare,
    TenantSurge, TenantUsage,
};
use quillhatch_mesh::tenants::{RateLimit, Tenant};
use quillhatch_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// What the operators allow.
pub const BOUNDS: LimitBounds = LimitBounds { window: Duration::from_secs(5), tolerance: 0.25, slack: 20.0 };
/// How long a datagram is on its way, in milliseconds.
const ON_THE_WAY_MS: u64 = 2;
/// Tells the losses of datagrams besides regular ones from the other draws.
const SEED_BESIDES: u64 = 0x5u64 << 32;
/// The share of datagrams that is lost.
const LOST: f64 = 0.01;

/// How nodes share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// By what a coordinator tells them.
    Coordinator,
    /// Each has an equal part.
    EqualParts,
}

/// What a node does at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It ends and is back with nothing known after this time in milliseconds.
    Restart(u64),
    /// It only reaches nodes with the same number.
    Partition(u8),
}

struct Node {
    limits: LocalLimits,
    coordinator: LimitCoordinator,
    choice: CoordinatorChoice,
    next_report: u64,
    reports_to: usize,
    down_until: u64,
    side: u8,
}

impl Node {
    fn new(now: u64, random: &mut Pcg64) -> Self {
        Node {
            limits: LocalLimits::new(BOUNDS),
            coordinator: LimitCoordinator::new(BOUNDS),
            choice: CoordinatorChoice::default(),
            next_report: now + random.gen_range(0..300),
            reports_to: 0,
            down_until: now,
            side: 0,
        }
    }
}

enum Message {
    Report(Vec<TenantUsage>),
    Surges(Vec<TenantSurge>),
    /// The shares, unless the coordinator does not know the demand yet.
    Answer(Option<Vec<TenantShare>>),
    /// The shares, not in answer to a regular report.
    Update(Vec<TenantShare>),
}

struct Datagram {
    arrives: u64,
    from: usize,
    to: usize,
    message: Message,
}

/// A fleet.
pub struct Fleet {
    way: Way,
    nodes: Vec<Node>,
    order: Vec<IpAddr>,
    limit: RateLimit,
    random: Pcg64,
    /// For datagrams besides regular reports and their answers, so that the calls of a seed do not depend on them.
    random_besides: Pcg64,
    now: u64,
    on_the_way: Vec<Datagram>,
    /// When calls were let in, and when calls were refused that an ideal limit would have let in; in milliseconds.
    pub admitted: Vec<u64>,
    pub wrongly_refused: Vec<u64>,
    ideal_tokens: f64,
    /// The datagrams that were sent.
    pub datagrams: usize,
}

fn address(node: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, (node / 250) as u8, (node % 250) as u8))
}

impl Fleet {
    pub fn new(way: Way, nodes: usize, limit: RateLimit, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        Fleet {
            way,
            nodes: (0..nodes).map(|_| Node::new(0, &mut random)).collect(),
            order: coordinator_candidates((0..nodes).map(address).collect()),
            limit,
            random,
            random_besides: Pcg64::seed_from_u64(seed ^ SEED_BESIDES),
            now: 0,
            on_the_way: Vec::new(),
            admitted: Vec::new(),
            wrongly_refused: Vec::new(),
            ideal_tokens: limit.burst,
            datagrams: 0,
        }
    }

    /// Sets another limit from now on.
    pub fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
    }

    /// The node that coordinates.
    pub fn coordinator(&self) -> usize {
        (0..self.nodes.len()).find(|node| address(*node) == self.order[0]).expect("it is one of them")
    }

    /// Lets something happen to a node.
    pub fn strike(&mut self, node: usize, fault: Fault) {
        match fault {
            Fault::Restart(down) => {
                let side = self.nodes[node].side;
                self.nodes[node] = Node { side, ..Node::new(self.now + down, &mut self.random) };
            }
            Fault::Partition(side) => self.nodes[node].side = side,
        }
    }

    /// Plays `span` milliseconds in which `rate` calls a second arrive at nodes that `place` draws.
    pub fn play(&mut self, span: u64, rate: f64, place: impl Fn(&mut Pcg64, usize) -> usize) {
        for _ in 0..span {
            self.now += 1;
            self.ideal_tokens = (self.ideal_tokens + self.limit.rate / 1000.0).min(self.limit.burst);
            let mut due = rate / 1000.0;
            while due > 0.0 {
                if self.random.gen::<f64>() < due.min(1.0) {
                    let node = place(&mut self.random, self.nodes.len());
                    self.call(node);
                }
                due -= 1.0;
            }
            if self.way == Way::Coordinator {
                self.exchange();
            }
        }
    }

    fn call(&mut self, node: usize) {
        let (machines, now) = (self.nodes.len(), Timestamp::from_millis(self.now));
        if self.nodes[node].down_until > self.now {
            return;
        }
        let tenant = Tenant { name: Arc::from("first"), priority: 0, limit: Some(self.limit) };
        let draw = self.random.gen();
        let is_ideal = self.ideal_tokens >= 1.0;
        self.ideal_tokens -= f64::from(u8::from(is_ideal));
        let period = report_period(machines);
        match self.nodes[node].limits.admit(&tenant, machines, period, draw, now) {
            Ok(_) => self.admitted.push(self.now),
            Err(_) if is_ideal => self.wrongly_refused.push(self.now),
            Err(_) => {}
        }
    }

    fn exchange(&mut self) {
        let now = Timestamp::from_millis(self.now);
        let period = report_period(self.nodes.len());
        for from in 0..self.nodes.len() {
            let node = &mut self.nodes[from];
            if node.down_until > self.now {
                continue;
            }
            let has_surge = node.limits.surge_report_in(period, now).is_some_and(|wait| wait.is_zero());
            let is_regular = node.next_report <= self.now;
            if !is_regular && !has_surge {
                continue;
            }
            if !is_regular {
                let (to, surges) = (node.reports_to, node.limits.report_surges(now));
                self.send(from, to, Message::Surges(surges), false);
                continue;
            }
            node.next_report = self.now + self.random.gen_range(9..=11) * period.as_millis() as u64 / 10;
            let to = node.choice.next(&self.order, now).expect("there are machines");
            let usages = node.limits.report(now);
            let to = (0..self.nodes.len()).find(|node| address(*node) == to).expect("a node");
            self.nodes[from].reports_to = to;
            self.send(from, to, Message::Report(usages), true);
        }
        let (arrived, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.on_the_way).into_iter().partition(|datagram| datagram.arrives <= self.now);
        self.on_the_way = waiting;
        for Datagram { from, to, message, .. } in arrived {
            let machines = self.nodes.len();
            let node = &mut self.nodes[to];
            if node.down_until > self.now {
                continue;
            }
            match message {
                Message::Report(usages) => {
                    let limit = self.limit;
                    let fleet = (machines, period);
                    let shares = node.coordinator.apply_report(address(from), usages, |_| Some(limit), fleet, now);
                    let told = node.coordinator.is_settled(period, now).then(|| shares.clone());
                    self.send(to, from, Message::Answer(told), true);
                    self.update(to, None, &shares);
                }
                Message::Surges(surges) => {
                    let limit = self.limit;
                    let shares = node.coordinator.apply_surge_report(&surges, |_| Some(limit), period, now);
                    self.update(to, Some(from), &shares);
                }
                Message::Update(shares) if node.reports_to == from => node.limits.apply_shares(&shares, now),
                Message::Update(_) => {}
                Message::Answer(shares) => {
                    node.choice.answered();
                    if let Some(shares) = shares {
                        node.limits.apply_shares(&shares, now);
                    }
                }
            }
        }
    }

    /// Tells the shares to the node that has reported a surge, and to all nodes if these must know before they report again.
    fn update(&mut self, coordinator: usize, reporter: Option<usize>, shares: &[TenantShare]) {
        let now = Timestamp::from_millis(self.now);
        let period = report_period(self.nodes.len());
        let deciding = &mut self.nodes[coordinator].coordinator;
        let reporter = reporter.filter(|_| deciding.is_settled(period, now));
        let at_once = deciding.urgent_update_recipients(period, now);
        for to in 0..self.nodes.len() {
            if Some(to) == reporter || at_once.contains(&address(to)) {
                self.send(coordinator, to, Message::Update(shares.to_vec()), false);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, is_regular: bool) {
        self.datagrams += 1;
        let random = if is_regular { &mut self.random } else { &mut self.random_besides };
        let is_connected = self.nodes[from].side == self.nodes[to].side;
        if is_connected && random.gen::<f64>() >= LOST {
            self.on_the_way.push(Datagram { arrives: self.now + ON_THE_WAY_MS, from, to, message });
        }
    }

    /// The calls that were let in within a window, as a share of what the bound allows, where it is greatest from `from` on.
    pub fn worst_window(&self, limit: RateLimit, from: u64) -> f64 {
        let window = BOUNDS.window.as_millis() as u64;
        let allowed =
            (limit.rate * BOUNDS.window.as_secs_f64() + limit.burst) * (1.0 + BOUNDS.tolerance) + BOUNDS.slack;
        let counted: Vec<u64> = self.admitted.iter().copied().filter(|at| *at >= from).collect();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in counted.iter().enumerate() {
            while counted[first] + window <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most as f64 / allowed
    }

    /// The calls that were let in from `from` to `to`, a second.
    pub fn admitted_rate(&self, from: u64, to: u64) -> f64 {
        let count = self.admitted.iter().filter(|at| (from..to).contains(at)).count();
        count as f64 * 1000.0 / (to - from) as f64
    }
}
