//! A simulated fleet with the limit of one tenant on a virtual clock: calls arrive, reports are delayed or lost, and
//! nodes fail.

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

/// By how much the limit may be exceeded.
pub const BOUNDS: LimitBounds = LimitBounds { window: Duration::from_secs(5), tolerance: 0.25, slack: 20.0 };
/// The one-way latency of a datagram in milliseconds.
const LATENCY_MS: u64 = 2;
/// Changes the seed for the random losses of irregular datagrams, so that they differ from the other random numbers.
const IRREGULAR_SEED_MASK: u64 = 0x5u64 << 32;
/// The fraction of datagrams that is lost.
const LOSS_RATE: f64 = 0.01;

/// How the nodes share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharingMode {
    /// Each node admits the share that a coordinator sends.
    Coordinator,
    /// Each node has an equal part.
    EqualParts,
}

/// A fault of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It stops, and is back without any state after this time in milliseconds.
    Restart(u64),
    /// It can only reach nodes on the same side of the partition, which has this number.
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
    /// The shares in response to a report, unless the coordinator does not know the demand yet.
    Response(Option<Vec<TenantShare>>),
    /// The shares, not in response to a regular report.
    Update(Vec<TenantShare>),
}

struct Datagram {
    arrives: u64,
    from: usize,
    to: usize,
    message: Message,
}

/// A simulated fleet.
pub struct Fleet {
    mode: SharingMode,
    nodes: Vec<Node>,
    order: Vec<IpAddr>,
    limit: RateLimit,
    random: Pcg64,
    /// For datagrams other than regular reports and their responses, so that these do not change the calls of a seed.
    irregular_random: Pcg64,
    now: u64,
    in_flight: Vec<Datagram>,
    /// When calls were admitted, in milliseconds.
    pub admitted: Vec<u64>,
    /// When calls were refused that an ideal limit would have admitted, in milliseconds.
    pub wrongly_refused: Vec<u64>,
    ideal_tokens: f64,
    /// The number of datagrams sent.
    pub datagrams: usize,
}

fn address(node: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, (node / 250) as u8, (node % 250) as u8))
}

impl Fleet {
    pub fn new(mode: SharingMode, nodes: usize, limit: RateLimit, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        Fleet {
            mode,
            nodes: (0..nodes).map(|_| Node::new(0, &mut random)).collect(),
            order: coordinator_candidates((0..nodes).map(address).collect()),
            limit,
            random,
            irregular_random: Pcg64::seed_from_u64(seed ^ IRREGULAR_SEED_MASK),
            now: 0,
            in_flight: Vec::new(),
            admitted: Vec::new(),
            wrongly_refused: Vec::new(),
            ideal_tokens: limit.burst,
            datagrams: 0,
        }
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
    }

    /// The node that is the coordinator if no node fails.
    pub fn coordinator(&self) -> usize {
        (0..self.nodes.len()).find(|node| address(*node) == self.order[0]).expect("a node")
    }

    /// Injects a fault into a node.
    pub fn inject(&mut self, node: usize, fault: Fault) {
        match fault {
            Fault::Restart(downtime) => {
                let side = self.nodes[node].side;
                self.nodes[node] = Node { side, ..Node::new(self.now + downtime, &mut self.random) };
            }
            Fault::Partition(side) => self.nodes[node].side = side,
        }
    }

    /// Runs the fleet for `duration_ms`. Meanwhile `rate` calls per second arrive at nodes that `pick_node` selects.
    pub fn run(&mut self, duration_ms: u64, rate: f64, pick_node: impl Fn(&mut Pcg64, usize) -> usize) {
        for _ in 0..duration_ms {
            self.now += 1;
            self.ideal_tokens = (self.ideal_tokens + self.limit.rate / 1000.0).min(self.limit.burst);
            let mut expected_calls = rate / 1000.0;
            while expected_calls > 0.0 {
                if self.random.gen::<f64>() < expected_calls.min(1.0) {
                    let node = pick_node(&mut self.random, self.nodes.len());
                    self.call(node);
                }
                expected_calls -= 1.0;
            }
            if self.mode == SharingMode::Coordinator {
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
        let random = self.random.gen();
        let is_ideally_admitted = self.ideal_tokens >= 1.0;
        self.ideal_tokens -= f64::from(u8::from(is_ideally_admitted));
        let period = report_period(machines);
        match self.nodes[node].limits.admit(&tenant, machines, period, random, now) {
            Ok(_) => self.admitted.push(self.now),
            Err(_) if is_ideally_admitted => self.wrongly_refused.push(self.now),
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
            std::mem::take(&mut self.in_flight).into_iter().partition(|datagram| datagram.arrives <= self.now);
        self.in_flight = waiting;
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
                    let settled_shares = node.coordinator.is_settled(period, now).then(|| shares.clone());
                    self.send(to, from, Message::Response(settled_shares), true);
                    self.update(to, None, &shares);
                }
                Message::Surges(surges) => {
                    let limit = self.limit;
                    let shares = node.coordinator.apply_surge_report(&surges, |_| Some(limit), period, now);
                    self.update(to, Some(from), &shares);
                }
                Message::Update(shares) if node.reports_to == from => node.limits.apply_shares(&shares, now),
                Message::Update(_) => {}
                Message::Response(shares) => {
                    node.choice.record_response();
                    if let Some(shares) = shares {
                        node.limits.apply_shares(&shares, now);
                    }
                }
            }
        }
    }

    /// Sends the shares to the node that has reported a surge, and to all nodes if they must know before their next
    /// reports.
    fn update(&mut self, coordinator: usize, reporter: Option<usize>, shares: &[TenantShare]) {
        let now = Timestamp::from_millis(self.now);
        let period = report_period(self.nodes.len());
        let coordinator_state = &mut self.nodes[coordinator].coordinator;
        let reporter = reporter.filter(|_| coordinator_state.is_settled(period, now));
        let urgent_recipients = coordinator_state.urgent_update_recipients(period, now);
        for to in 0..self.nodes.len() {
            if Some(to) == reporter || urgent_recipients.contains(&address(to)) {
                self.send(coordinator, to, Message::Update(shares.to_vec()), false);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, is_regular: bool) {
        self.datagrams += 1;
        let random = if is_regular { &mut self.random } else { &mut self.irregular_random };
        let is_connected = self.nodes[from].side == self.nodes[to].side;
        if is_connected && random.gen::<f64>() >= LOSS_RATE {
            self.in_flight.push(Datagram { arrives: self.now + LATENCY_MS, from, to, message });
        }
    }

    /// The highest number of calls admitted within a window, relative to the bound, among the windows that start at
    /// `from` or later.
    pub fn worst_window(&self, limit: RateLimit, from: u64) -> f64 {
        let window = BOUNDS.window.as_millis() as u64;
        let allowed =
            (limit.rate * BOUNDS.window.as_secs_f64() + limit.burst) * (1.0 + BOUNDS.tolerance) + BOUNDS.slack;
        let counted: Vec<u64> = self.admitted.iter().copied().filter(|at| *at >= from).collect();
        let mut first = 0;
        let mut max = 0;
        for (last, at) in counted.iter().enumerate() {
            while counted[first] + window <= *at {
                first += 1;
            }
            max = max.max(last + 1 - first);
        }
        max as f64 / allowed
    }

    /// The calls per second that were admitted from `from` to `to`.
    pub fn admitted_rate(&self, from: u64, to: u64) -> f64 {
        let count = self.admitted.iter().filter(|at| (from..to).contains(at)).count();
        count as f64 * 1000.0 / (to - from) as f64
    }
}
