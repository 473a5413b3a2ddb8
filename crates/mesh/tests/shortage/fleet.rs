//! Entries, nodes in between and gates of one scarce service, in steps of a millisecond.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::admission_level::{AdmissionLevel, RouteAdmissionLevels};
use quillhatch_mesh::capacity::CapacityMeter;
use quillhatch_mesh::gate::{Admission, Gate};
use quillhatch_mesh::mechanisms::Mechanisms;
use quillhatch_mesh::queue::{Rank, Ticket};
use quillhatch_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// The slots of a target.
pub const SLOTS: u32 = 20;
/// The time for which a call holds its slot, in milliseconds.
const HELD: u64 = 20;
/// The calls that a root makes, one after the other.
const CALLS: u32 = 4;
/// How long a call waits at a gate.
const PATIENCE: Duration = Duration::from_millis(400);
/// The priorities in use; roots have the first or the last.
const PRIORITIES: u32 = 3;
/// The nodes between the entries and the gates.
const BETWEEN: usize = 5;

/// What became of the roots of each priority.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    entered: BTreeMap<u8, u32>,
    refused: BTreeMap<u8, u32>,
    served: BTreeMap<u8, u32>,
    failed: u32,
}

impl Totals {
    fn share(&self, of: &BTreeMap<u8, u32>, priority: u8) -> f64 {
        let count = |counts: &BTreeMap<u8, u32>| f64::from(counts.get(&priority).copied().unwrap_or(0));
        count(of) / count(&self.entered).max(1.0)
    }

    /// The share of the roots of a priority that were refused where they entered.
    pub fn refused_share(&self, priority: u8) -> f64 {
        self.share(&self.refused, priority)
    }

    /// The share of the roots of a priority that were served.
    pub fn served_share(&self, priority: u8) -> f64 {
        self.share(&self.served, priority)
    }

    /// The share of the roots that were let in and failed further down.
    pub fn wasted_share(&self) -> f64 {
        let served: u32 = self.served.values().sum();
        f64::from(self.failed) / f64::from((self.failed + served).max(1))
    }
}

#[derive(Clone, Copy)]
struct Root {
    entry: usize,
    between: usize,
    priority: u8,
    position: u8,
    share: f64,
    calls_left: u32,
}

struct Target {
    gate: Gate,
    meter: CapacityMeter,
    waiting: HashMap<Ticket, Root>,
}

/// The fleet.
pub struct Fleet {
    /// What became of the roots since this was set last.
    pub totals: Totals,
    now: u64,
    route: Arc<str>,
    entries: Vec<RouteAdmissionLevels>,
    between: Vec<RouteAdmissionLevels>,
    targets: Vec<Target>,
    open: usize,
    ends: BTreeMap<u64, Vec<(usize, Root)>>,
    rates: [f64; 2],
    due: [f64; 2],
    random: Pcg64,
}

impl Fleet {
    /// A fleet whose roots of the greatest and the least importance ask for these shares of all slots.
    pub fn new(entries: usize, targets: usize, asked: [f64; 2], seed: u64) -> Self {
        let target = |_| Target {
            gate: Gate::new(SLOTS),
            meter: CapacityMeter::new(Mechanisms::default(), Timestamp::ZERO),
            waiting: HashMap::new(),
        };
        let targets: Vec<Target> = (0..targets).map(target).collect();
        let slots: u32 = targets.iter().map(|target| target.gate.limit()).sum();
        let roots_each_ms = f64::from(slots) / (HELD as f64 * f64::from(CALLS));
        Fleet {
            totals: Totals::default(),
            now: 0,
            route: Arc::from("deep"),
            entries: vec![RouteAdmissionLevels::default(); entries],
            between: vec![RouteAdmissionLevels::default(); BETWEEN],
            open: targets.len(),
            targets,
            ends: BTreeMap::new(),
            rates: asked.map(|share| share * roots_each_ms),
            due: [0.0; 2],
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// Sends new calls to the first `open` targets only.
    pub fn open_targets(&mut self, open: usize) {
        self.open = open;
    }

    /// Lets time pass.
    pub fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += 1;
            self.end_calls();
            self.expire();
            self.enter();
        }
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn enter(&mut self) {
        for (kind, priority) in [(0, 0), (1, 2)] {
            // Between none and twice as many as on average.
            self.due[kind] += self.rates[kind] * self.random.gen_range(0.0..2.0);
            while self.due[kind] >= 1.0 {
                self.due[kind] -= 1.0;
                self.enter_one(priority);
            }
        }
    }

    fn enter_one(&mut self, priority: u8) {
        let entry = self.random.gen_range(0..self.entries.len());
        let between = self.random.gen_range(0..BETWEEN);
        let position = self.random.gen();
        let share = self.entries[entry].level(&self.route, self.time()).admitted_share(priority, PRIORITIES);
        *self.totals.entered.entry(priority).or_default() += 1;
        if f64::from(position) / 256.0 >= share {
            *self.totals.refused.entry(priority).or_default() += 1;
            return;
        }
        self.call(Root { entry, between, priority, position, share, calls_left: CALLS });
    }

    /// The next call of a root arrives at the less busy of two gates.
    fn call(&mut self, root: Root) {
        let now = self.time();
        let (one, other) = (self.random.gen_range(0..self.open), self.random.gen_range(0..self.open));
        let busy = |number: usize| self.targets[number].gate.load().utilization();
        let number = if busy(one) <= busy(other) { one } else { other };
        let target = &mut self.targets[number];
        target.meter.call_arrived(&self.route, root.priority, root.share, now);
        target.meter.inner_call_arrived(root.priority);
        let rank = Rank { priority: root.priority, position: root.position, is_root: false };
        let (arrival, displaced) = target.gate.admit(rank, PATIENCE, now);
        let displaced = displaced.and_then(|ticket| target.waiting.remove(&ticket));
        match arrival {
            Admission::Runs => self.ends.entry(self.now + HELD).or_default().push((number, root)),
            Admission::Waits(ticket) => {
                target.waiting.insert(ticket, root);
            }
            Admission::Refused(_) => self.fail(number, root),
        }
        if let Some(root) = displaced {
            self.fail(number, root);
        }
    }

    fn end_calls(&mut self) {
        let now = self.time();
        for (number, mut root) in self.ends.remove(&self.now).unwrap_or_default() {
            let target = &mut self.targets[number];
            target.meter.record_slot_time(&self.route, Duration::from_millis(HELD), now);
            target.gate.release_slot();
            if let Some(next) = target.gate.admit_waiting().and_then(|ticket| target.waiting.remove(&ticket)) {
                self.ends.entry(self.now + HELD).or_default().push((number, next));
            }
            self.report(number, &root);
            root.calls_left -= 1;
            if root.calls_left > 0 {
                self.call(root);
                continue;
            }
            *self.totals.served.entry(root.priority).or_default() += 1;
            self.answer(&root);
        }
    }

    fn expire(&mut self) {
        let now = self.time();
        for number in 0..self.targets.len() {
            while let Some(ticket) = self.targets[number].gate.pop_expired(now) {
                if let Some(root) = self.targets[number].waiting.remove(&ticket) {
                    self.fail(number, root);
                }
            }
        }
    }

    fn fail(&mut self, number: usize, root: Root) {
        self.targets[number].meter.inner_call_refused(root.priority);
        self.totals.failed += 1;
        self.report(number, &root);
        self.answer(&root);
    }

    /// A gate's answer brings its cut to the node that called.
    fn report(&mut self, number: usize, root: &Root) {
        let now = self.time();
        let target = &mut self.targets[number];
        let shortage = target.meter.shortage(target.gate.load(), PRIORITIES, |_| AdmissionLevel::FULL, now);
        let cut = shortage.map_or(AdmissionLevel::FULL, |shortage| shortage.admission_level(&self.route));
        self.between[root.between].record_report(&self.route, cut, now);
    }

    /// The answer of a root brings the cut of the node in between to the entry.
    fn answer(&mut self, root: &Root) {
        let now = self.time();
        let cut = self.between[root.between].level(&self.route, now);
        self.entries[root.entry].record_report(&self.route, cut, now);
    }
}
