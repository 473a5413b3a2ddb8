//! Entries, nodes in between and gates of one bottleneck service, simulated in steps of a millisecond.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::admission_level::{AdmissionLevel, RouteAdmissionLevels};
use quillhatch_mesh::capacity::CapacityMeter;
use quillhatch_mesh::gate::{Gate, GateDecision};
use quillhatch_mesh::mechanisms::Mechanisms;
use quillhatch_mesh::queue::{QueueTicket, Rank};
use quillhatch_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// The slots of a target.
pub const SLOTS: u32 = 20;
/// The time for which a call holds its slot, in milliseconds.
const SLOT_TIME_MS: u64 = 20;
/// The number of calls that a root makes, one after the other.
const CALLS_PER_ROOT: u32 = 4;
/// The maximum time that a call waits at a gate.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// The number of priorities in use; roots have the first or the last.
const PRIORITIES: u32 = 3;
/// The number of nodes between the entries and the gates.
const INTERMEDIATES: usize = 5;

/// The outcomes of the roots of each priority.
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

    /// Returns the share of the roots of a priority that were refused where they entered.
    pub fn refused_share(&self, priority: u8) -> f64 {
        self.share(&self.refused, priority)
    }

    /// Returns the share of the roots of a priority that were served.
    pub fn served_share(&self, priority: u8) -> f64 {
        self.share(&self.served, priority)
    }

    /// Returns the share of the admitted roots that failed further down.
    pub fn wasted_share(&self) -> f64 {
        let served: u32 = self.served.values().sum();
        f64::from(self.failed) / f64::from((self.failed + served).max(1))
    }
}

#[derive(Clone, Copy)]
struct Root {
    entry: usize,
    intermediate: usize,
    priority: u8,
    position: u8,
    share: f64,
    calls_left: u32,
}

struct Target {
    gate: Gate,
    meter: CapacityMeter,
    waiting: HashMap<QueueTicket, Root>,
}

/// The simulated fleet.
pub struct Fleet {
    /// The outcomes of the roots since this was last reset.
    pub totals: Totals,
    now: u64,
    route: Arc<str>,
    entries: Vec<RouteAdmissionLevels>,
    intermediates: Vec<RouteAdmissionLevels>,
    targets: Vec<Target>,
    open: usize,
    call_ends: BTreeMap<u64, Vec<(usize, Root)>>,
    roots_per_ms: [f64; 2],
    due_roots: [f64; 2],
    random: Pcg64,
}

impl Fleet {
    /// A fleet whose roots of the highest and the lowest priority demand these shares of all slots.
    pub fn new(entries: usize, targets: usize, demand: [f64; 2], seed: u64) -> Self {
        let target = |_| Target {
            gate: Gate::new(SLOTS),
            meter: CapacityMeter::new(Mechanisms::default(), Timestamp::ZERO),
            waiting: HashMap::new(),
        };
        let targets: Vec<Target> = (0..targets).map(target).collect();
        let slots: u32 = targets.iter().map(|target| target.gate.limit()).sum();
        let total_roots_per_ms = f64::from(slots) / (SLOT_TIME_MS as f64 * f64::from(CALLS_PER_ROOT));
        Fleet {
            totals: Totals::default(),
            now: 0,
            route: Arc::from("deep"),
            entries: vec![RouteAdmissionLevels::default(); entries],
            intermediates: vec![RouteAdmissionLevels::default(); INTERMEDIATES],
            open: targets.len(),
            targets,
            call_ends: BTreeMap::new(),
            roots_per_ms: demand.map(|share| share * total_roots_per_ms),
            due_roots: [0.0; 2],
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// Sends new calls to the first `open` targets only.
    pub fn open_targets(&mut self, open: usize) {
        self.open = open;
    }

    /// Runs the simulation for some milliseconds.
    pub fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += 1;
            self.end_calls();
            self.expire_waiting();
            self.enter_roots();
        }
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn enter_roots(&mut self) {
        for (kind, priority) in [(0, 0), (1, 2)] {
            // Between zero and twice the average.
            self.due_roots[kind] += self.roots_per_ms[kind] * self.random.gen_range(0.0..2.0);
            while self.due_roots[kind] >= 1.0 {
                self.due_roots[kind] -= 1.0;
                self.enter_root(priority);
            }
        }
    }

    fn enter_root(&mut self, priority: u8) {
        let entry = self.random.gen_range(0..self.entries.len());
        let intermediate = self.random.gen_range(0..INTERMEDIATES);
        let position = self.random.gen();
        let share = self.entries[entry].level(&self.route, self.time()).admitted_share(priority, PRIORITIES);
        *self.totals.entered.entry(priority).or_default() += 1;
        if f64::from(position) / 256.0 >= share {
            *self.totals.refused.entry(priority).or_default() += 1;
            return;
        }
        self.send_call(Root { entry, intermediate, priority, position, share, calls_left: CALLS_PER_ROOT });
    }

    /// Sends the next call of a root to the less loaded of two random gates.
    fn send_call(&mut self, root: Root) {
        let now = self.time();
        let (one, other) = (self.random.gen_range(0..self.open), self.random.gen_range(0..self.open));
        let utilization = |number: usize| self.targets[number].gate.load().utilization();
        let number = if utilization(one) <= utilization(other) { one } else { other };
        let target = &mut self.targets[number];
        target.meter.call_arrived(&self.route, root.priority, root.share, now);
        target.meter.nested_call_arrived(root.priority);
        let rank = Rank { priority: root.priority, position: root.position, is_root: false };
        let (admission, displaced) = target.gate.admit(rank, MAX_WAIT, now);
        let displaced = displaced.and_then(|ticket| target.waiting.remove(&ticket));
        match admission {
            GateDecision::Runs => self.call_ends.entry(self.now + SLOT_TIME_MS).or_default().push((number, root)),
            GateDecision::Waits(ticket) => {
                target.waiting.insert(ticket, root);
            }
            GateDecision::Refused(_) => self.fail_root(number, root),
        }
        if let Some(root) = displaced {
            self.fail_root(number, root);
        }
    }

    fn end_calls(&mut self) {
        let now = self.time();
        for (number, mut root) in self.call_ends.remove(&self.now).unwrap_or_default() {
            let target = &mut self.targets[number];
            target.meter.record_slot_time(&self.route, Duration::from_millis(SLOT_TIME_MS), now);
            target.gate.release_slot();
            if let Some(next) = target.gate.admit_waiting().and_then(|ticket| target.waiting.remove(&ticket)) {
                self.call_ends.entry(self.now + SLOT_TIME_MS).or_default().push((number, next));
            }
            self.report_to_intermediate(number, &root);
            root.calls_left -= 1;
            if root.calls_left > 0 {
                self.send_call(root);
                continue;
            }
            *self.totals.served.entry(root.priority).or_default() += 1;
            self.report_to_entry(&root);
        }
    }

    fn expire_waiting(&mut self) {
        let now = self.time();
        for number in 0..self.targets.len() {
            while let Some(ticket) = self.targets[number].gate.pop_expired(now) {
                if let Some(root) = self.targets[number].waiting.remove(&ticket) {
                    self.fail_root(number, root);
                }
            }
        }
    }

    fn fail_root(&mut self, number: usize, root: Root) {
        self.targets[number].meter.nested_call_refused(root.priority);
        self.totals.failed += 1;
        self.report_to_intermediate(number, &root);
        self.report_to_entry(&root);
    }

    /// Reports the admission level of a gate to the node that called it.
    fn report_to_intermediate(&mut self, number: usize, root: &Root) {
        let now = self.time();
        let target = &mut self.targets[number];
        let shortage = target.meter.shortage(target.gate.load(), PRIORITIES, |_| AdmissionLevel::FULL, now);
        let level = shortage.map_or(AdmissionLevel::FULL, |shortage| shortage.admission_level(&self.route));
        self.intermediates[root.intermediate].record_report(&self.route, level, now);
    }

    /// Reports the admission level of the node in between to the entry, with the response to a root.
    fn report_to_entry(&mut self, root: &Root) {
        let now = self.time();
        let level = self.intermediates[root.intermediate].level(&self.route, now);
        self.entries[root.entry].record_report(&self.route, level, now);
    }
}
