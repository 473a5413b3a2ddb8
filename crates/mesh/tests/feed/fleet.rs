//! A fleet whose nodes follow the store by the real decisions, on a virtual clock, with a store and links that fail.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::feed::{
    long_poll_timeout, response_timeout, watch_timeout, FeedRole, FeedTree, ReadReason, ReadSchedule,
    ReadScheduleInputs, SoloReads, SourceChoice, SourceStatus, SourceVerdict, StoreAccessLoss,
};
use quillhatch_mesh::limits::LimitBounds;
use quillhatch_mesh::replica::{Change, Position, Replica, Update};
use quillhatch_mesh::settings::Bounds;
use quillhatch_mesh::store_reader::{NextRead, StoreReader};
use quillhatch_mesh::targets::Target;
use quillhatch_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::node::{Access, Ailment, Asking, Reading, SimNode};
use crate::store::{registration, target_id, SimStore};

pub const BOUNDS: Bounds = Bounds {
    stop_grace: Duration::from_secs(10),
    drain: Duration::from_secs(4),
    apply: Duration::from_secs(4),
    recovery: Duration::from_secs(5),
    retry_ratio: 0.2,
    retry_window: Duration::from_secs(10),
    retry_slack: 100.0,
    revocation: None,
    limits: LimitBounds { window: Duration::from_secs(5), tolerance: 0.25, slack: 20.0 },
    heartbeat: Duration::from_secs(3),
};

/// The bounds of a small deployment.
pub const SHORT_BOUNDS: Bounds = Bounds {
    drain: Duration::from_secs(2),
    apply: Duration::from_secs(2),
    recovery: Duration::from_secs(3),
    heartbeat: Duration::from_millis(1500),
    ..BOUNDS
};

/// The virtual clock's step, which is also what a message takes one way.
const TICK: Duration = Duration::from_millis(10);
/// The calls of a node with others in a step: five a second.
const CALLS_A_TICK: f64 = 0.05;
/// For how long another node may be ahead before it is asked.
const HANGING_AFTER: Duration = Duration::from_millis(400);
/// What a watch may take beyond its wait.
const WATCH_ALLOWANCE: Duration = Duration::from_millis(600);

/// A rule of the decisions that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WrongRule {
    /// A node starts from nothing when the store comes back from an older copy.
    ForgetsOnNewEra,
    /// An update of an earlier era is taken as if it were a later one.
    TakesEarlierEras,
    /// Whoever calls itself well is followed.
    BelievesAnySource,
    /// No other node reads while readers say nothing.
    WaitsForReaders,
    /// A node whose call failed calls no more while it follows others.
    NeverVerifiesAccess,
}

pub struct Fleet {
    pub now: Timestamp,
    pub nodes: Vec<SimNode>,
    pub store: SimStore,
    pub wrong_rule: Option<WrongRule>,
    bounds: Bounds,
    random: Pcg64,
    by_machine: HashMap<IpAddr, usize>,
}

impl Fleet {
    /// A fleet of `count` nodes in `zones`, of which all know everything.
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        Self::with_bounds(count, zones, seed, BOUNDS)
    }

    /// The same with other bounds.
    pub fn with_bounds(count: usize, zones: usize, seed: u64, bounds: Bounds) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut store = SimStore { position: Position::default(), calls: 0, log: Vec::new(), is_down: false };
        let mut nodes = Vec::new();
        for number in 0..count {
            let machine =
                IpAddr::from([10, (number % zones) as u8, (number / zones / 250) as u8, (number / zones % 250) as u8]);
            let zone = format!("zone-{}", number % zones);
            store.write(Change::Target(target_id(number), registration(machine, &zone, false, 1)));
            nodes.push(SimNode {
                machine,
                zone,
                replica: Replica::default(),
                place: FeedRole::default(),
                access: Access::Served,
                ailment: Ailment::None,
                loss: StoreAccessLoss::default(),
                own_call_failed: false,
                read_at: Some(Timestamp::ZERO),
                choice: SourceChoice::default(),
                reader: StoreReader::default(),
                asking: None,
                reading: None,
                ask_after: Timestamp::ZERO,
                read_after: Timestamp::ZERO,
                is_isolated: false,
                is_unproved: false,
                is_answered: false,
                lone_readings: SoloReads::default(),
                draw: random.gen(),
                heard: None,
                answered: 0,
                changes_told: 0,
            });
        }
        let by_machine = nodes.iter().enumerate().map(|(number, node)| (node.machine, number)).collect();
        let mut fleet =
            Fleet { now: Timestamp::from_millis(1_000), nodes, store, wrong_rule: None, bounds, random, by_machine };
        let everything = fleet.store.whole();
        for number in 0..count {
            fleet.nodes[number].replica.apply(everything.clone(), fleet.now).expect("the first update is taken");
        }
        fleet.place_all();
        fleet.play(3_000);
        fleet.store.calls = 0;
        fleet
    }

    /// All nodes have the same list here, so the tree is built once.
    fn place_all(&mut self) {
        let targets: Vec<Arc<Target>> = self
            .store
            .whole()
            .changes
            .into_iter()
            .filter_map(|revised| match revised.change {
                Change::Target(id, registration) => {
                    let (cold_until, listed_at) = (Timestamp::ZERO, Timestamp::ZERO);
                    Some(Arc::new(Target { id, registration, cold_until, listed_at }))
                }
                _ => None,
            })
            .collect();
        let tree = FeedTree::new(targets.iter());
        for node in &mut self.nodes {
            node.place = tree.role_of(node.machine, &node.zone);
        }
    }

    /// The target beside a node says that it is leaving, or is back.
    pub fn drain(&mut self, number: usize, draining: bool, sequence: u64) {
        let node = &self.nodes[number];
        let registration = registration(node.machine, &node.zone, draining, sequence);
        self.store.write(Change::Target(target_id(number), registration));
    }

    pub fn set_down(&mut self, is_down: bool) {
        self.store.is_down = is_down;
    }

    /// The store comes back from a copy that lacks its last `lost` changes.
    pub fn restore(&mut self, lost: usize) {
        self.store.restore(lost);
    }

    /// The numbers of the nodes that read the store.
    pub fn readers(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|number| self.nodes[*number].place.is_reader).collect()
    }

    /// The numbers of the nodes that `number` asks, in order.
    pub fn candidates(&self, number: usize) -> Vec<usize> {
        self.nodes[number].place.candidates.iter().map(|candidate| self.by_machine[&candidate.machine]).collect()
    }

    /// Whether all nodes in touch stand where the store stands.
    pub fn is_up_to_date(&self) -> bool {
        self.nodes.iter().filter(|node| node.is_in_touch()).all(|node| node.position() == self.store.position)
    }

    /// Plays until all nodes in touch are up to date; returns how long it took.
    pub fn catch_up(&mut self, longest: Duration) -> Duration {
        let begun = self.now;
        while !self.is_up_to_date() {
            self.tick();
            let took = self.now.since(begun);
            if took > longest {
                let behind: Vec<_> = self
                    .nodes
                    .iter()
                    .filter(|node| node.is_in_touch() && node.position() != self.store.position)
                    .map(|node| (node.machine, node.position(), node.place.clone(), node.loss))
                    .take(3)
                    .collect();
                panic!("not in {longest:?}: {behind:?}, the store stands at {:?}", self.store.position);
            }
        }
        self.now.since(begun)
    }

    pub fn play(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        for number in 0..self.nodes.len() {
            if matches!(self.nodes[number].ailment, Ailment::Dead | Ailment::Silent) {
                continue;
            }
            self.step_calls(number);
            self.step_question(number);
            self.step_reading(number);
        }
    }

    /// A call between this node and another one tells how far their views reach; whoever is behind for long asks the other one.
    fn step_calls(&mut self, number: usize) {
        let now = self.now;
        if self.random.gen_bool(CALLS_A_TICK) {
            let other = self.random.gen_range(0..self.nodes.len());
            let is_reached = self.nodes[other].ailment == Ailment::None;
            if is_reached && self.nodes[other].position() > self.nodes[number].position() {
                self.nodes[number].heard.get_or_insert((now, other));
            }
        }
        let Some((heard, other)) = self.nodes[number].heard else { return };
        if now.since(heard) < HANGING_AFTER {
            return;
        }
        self.nodes[number].heard = None;
        if self.nodes[other].ailment == Ailment::None {
            let update = self.nodes[other].replica.update_since(self.nodes[number].position(), now);
            let _ = update.map(|update| self.nodes[number].replica.apply(update, now));
        }
    }

    fn step_question(&mut self, number: usize) {
        let now = self.now;
        let Some(asking) = &self.nodes[number].asking else {
            if now >= self.nodes[number].ask_after {
                self.ask(number);
            }
            return;
        };
        if now.since(asking.sent) < TICK * 2 {
            return;
        }
        let (peer, from, sent, hold) = (asking.peer, asking.from, asking.sent, asking.hold);
        let other = &mut self.nodes[peer];
        match other.ailment {
            Ailment::Dead => self.question_failed(number),
            Ailment::Silent if now.since(sent) >= response_timeout(hold, &self.bounds) => self.question_failed(number),
            Ailment::Silent => {}
            Ailment::Lies if now.since(sent) >= hold => self.question_answered(number, None, Some(now), None),
            Ailment::Lies => {}
            Ailment::None => {
                let arrives = now.since(sent) == TICK * 2;
                let is_lost = other.loss.is_confirmed() || (arrives && other.loss.since().is_some());
                let has_news = other.position() > from || is_lost;
                if !has_news && now.since(sent) < hold {
                    return;
                }
                let update = other.replica.update_since(from, now);
                other.answered += 1;
                other.changes_told += update.as_ref().map_or(0, |update| update.changes.len());
                let (read_at, lost) = (other.read_at, other.loss.since());
                self.question_answered(number, update, read_at, lost);
            }
        }
    }

    fn ask(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(candidate) = node.choice.next(&node.place.candidates, now) else { return };
        let hold = if node.choice.is_searching() {
            Duration::ZERO
        } else {
            long_poll_timeout(node.place.is_head, &self.bounds)
        };
        let asking = Asking {
            peer: self.by_machine[&candidate.machine],
            is_before: candidate.is_upstream,
            sent: now,
            hold,
            from: node.position(),
        };
        self.nodes[number].asking = Some(asking);
    }

    /// Takes an update over. What does not fit was overtaken by what others have told.
    fn take(&mut self, number: usize, update: Update) {
        let replica = &mut self.nodes[number].replica;
        let is_new_era = replica.position().era < update.position.era;
        let is_earlier = replica.position().era > update.position.era;
        match self.wrong_rule {
            Some(WrongRule::ForgetsOnNewEra) if is_new_era => *replica = Replica::default(),
            Some(WrongRule::TakesEarlierEras) if is_earlier => *replica = Replica::default(),
            _ => {}
        }
        let _ = replica.apply(update, self.now);
    }

    fn question_answered(
        &mut self,
        number: usize,
        update: Option<Update>,
        read_at: Option<Timestamp>,
        lost: Option<Timestamp>,
    ) {
        let now = self.now;
        if let Some(update) = update {
            self.take(number, update);
        }
        let node = &mut self.nodes[number];
        let is_before = node.asking.as_ref().is_some_and(|asking| asking.is_before);
        let supply = SourceStatus { store_read_at: read_at, lost_since: lost };
        node.read_at = node.read_at.max(read_at);
        let believes_all = self.wrong_rule == Some(WrongRule::BelievesAnySource);
        let verdict = match lost {
            None if believes_all => SourceVerdict::Usable,
            _ => supply.verdict(is_before, node.loss, &self.bounds, now),
        };
        if verdict == SourceVerdict::Usable {
            node.is_isolated = false;
            node.is_answered = false;
            node.loss.source_available(read_at);
            node.choice.answered();
            node.is_unproved = false;
            node.asking = None;
            return;
        }
        node.is_answered = true;
        node.is_unproved |= verdict == SourceVerdict::Unverified;
        self.question_failed(number);
    }

    fn question_failed(&mut self, number: usize) {
        let now = self.now;
        let pause = Duration::from_millis(self.random.gen_range(250..500));
        let node = &mut self.nodes[number];
        let sent = node.asking.take().map_or(now, |asking| asking.sent);
        node.choice.failed(now);
        let is_read_here = node.place.is_reader && node.loss.since().is_none();
        if !is_read_here {
            node.loss.source_failed(sent);
        }
        if !node.choice.all_failed(&node.place.candidates) {
            return;
        }
        node.ask_after = now + pause;
        node.is_isolated = !node.is_answered;
        node.is_answered = false;
        if !is_read_here && !node.is_unproved {
            node.loss.all_sources_failed(sent);
        }
        node.is_unproved = false;
    }

    fn step_reading(&mut self, number: usize) {
        let now = self.now;
        let store_is_down = self.store.is_down;
        let store_position = self.store.position;
        let node = &mut self.nodes[number];
        let Some(reading) = &node.reading else {
            if now >= node.read_after {
                self.read(number);
            }
            return;
        };
        if now.since(reading.sent) < TICK * 2 {
            return;
        }
        let access = if store_is_down { Access::Refused } else { node.access };
        match access {
            Access::Refused => self.reading_failed(number),
            Access::Silent if now.since(reading.sent) >= reading.wait + WATCH_ALLOWANCE => self.reading_failed(number),
            Access::Silent => {}
            Access::Served => {
                let has_news = match reading.read {
                    NextRead::Watch { after } => {
                        store_position.revision > after || store_position.era != node.position().era
                    }
                    NextRead::StaleList | NextRead::List => true,
                };
                if has_news || now.since(reading.sent) >= reading.wait {
                    self.reading_answered(number);
                }
            }
        }
    }

    fn read(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let inputs = ReadScheduleInputs {
            has_view: true,
            must_probe: false,
            own_call_failed: node.own_call_failed && self.wrong_rule != Some(WrongRule::NeverVerifiesAccess),
            role: &node.place,
            loss: node.loss,
            store_read_at: node.read_at.filter(|_| self.wrong_rule != Some(WrongRule::WaitsForReaders)),
            is_isolated: node.is_isolated,
            solo_reads: node.lone_readings,
            proof_renewal_in: None,
            jitter: node.draw,
        };
        let ReadSchedule::Now(turn) = inputs.schedule(&self.bounds, now) else { return };
        let is_probing = turn == ReadReason::Once || node.loss.since().is_some();
        let wait = if is_probing { Duration::from_millis(200) } else { watch_timeout(&self.bounds) };
        node.reading = Some(Reading { sent: now, wait, read: node.reader.next(node.replica.position()) });
        self.store.calls += 1;
    }

    fn reading_answered(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(reading) = node.reading.take() else { return };
        let update = match reading.read {
            NextRead::Watch { .. } if self.store.position.era != node.position().era => {
                node.reader.history_lost();
                return;
            }
            NextRead::Watch { after } => self.store.since(after),
            NextRead::StaleList | NextRead::List => self.store.whole(),
        };
        let has_changes = !update.changes.is_empty();
        self.take(number, update);
        let node = &mut self.nodes[number];
        node.reader.read_succeeded();
        node.own_call_failed = false;
        node.read_at = node.read_at.max(Some(reading.sent));
        node.loss.store_read();
        if has_changes {
            node.read_after = now + self.bounds.batch_window();
        }
    }

    fn reading_failed(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(reading) = node.reading.take() else { return };
        node.own_call_failed = true;
        node.loss.store_call_failed(reading.sent, node.read_at);
        let longest = node.reader.read_failed(true, &self.bounds);
        node.read_after = now + longest.mul_f64(self.random.gen_range(0.5..1.0));
    }
}
