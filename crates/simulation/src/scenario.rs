//! What each scenario makes happen, and when.

use rand::Rng;
use rand_pcg::Pcg64;

use crate::engine::Instant;
use crate::options::{RunOptions, Scenario};
use crate::profile::Deployment;
use crate::random::{generator, Stream};
use crate::timeline::{CAUSE_END, CAUSE_START, MILLISECOND, SECOND};
use crate::world::{Fault, MachineChoice, PlannedFault, PlatformState, Separation, World};

/// The load of a surge, as a multiple of the capacity.
const SURGE: f64 = 2.0;

/// How much longer a slow service takes.
const SLOW_FACTOR: f64 = 4.0;

/// How many answered requests in a hundred are asked for again, where owners of keys change.
const REPEAT_PERCENT: u32 = 20;

/// Starts of edges while the configuration service is stale.
const STALE_STARTS: usize = 12;

/// The second service of each profile has calls that may run only once.
const KEYED_SERVICE: usize = 1;

/// Messages between nodes that are lost, in a thousand, where nodes are to hear late of changes.
const SOME_LOSS: u32 = 100;

/// When the second configuration is published, in every scenario.
const SECOND_REVISION: Instant = 4 * SECOND;

struct Plan {
    faults: Vec<PlannedFault>,
}

impl Plan {
    fn at(&mut self, at: Instant, fault: Fault) {
        self.faults.push(PlannedFault { at, fault });
    }

    /// `fault` from the start to the end of the cause, then `undone`.
    fn throughout(&mut self, fault: Fault, undone: Fault) {
        self.at(CAUSE_START, fault);
        self.at(CAUSE_END, undone);
    }

    /// Callers repeat keyed requests, so that a forgotten claim shows itself as a second run.
    fn repeats(&mut self) {
        self.throughout(Fault::Repeats(REPEAT_PERCENT), Fault::Repeats(0));
    }

    fn surge(&mut self) {
        self.throughout(Fault::Rate(World::rate_factor_for(SURGE)), Fault::Rate(1.0));
    }

    fn slow_deep(&mut self, deployment: &Deployment) {
        let service = deployment.deepest;
        self.throughout(Fault::Slow { service, factor: SLOW_FACTOR }, Fault::Slow { service, factor: 1.0 });
    }

    fn pauses(&mut self, deployment: &Deployment) {
        self.repeats();
        let service = deployment.busiest;
        let pause = |choice, duration, with_back_end| Fault::Pause { choice, duration, with_back_end };
        self.at(CAUSE_START, pause(MachineChoice::Edge { site: 0, zone: 0 }, 2 * SECOND, false));
        let gate = MachineChoice::Target { service, site: 0, position: 1 };
        self.at(CAUSE_START + SECOND, pause(gate, 3 * SECOND, false));
        let leader = MachineChoice::Leader { service, site: 0 };
        self.at(CAUSE_START + 3 * SECOND, pause(leader, 4 * SECOND, true));
        for (other, _) in deployment.services.iter().enumerate() {
            let leader = MachineChoice::Leader { service: other, site: 1 };
            self.at(CAUSE_START + 4 * SECOND, pause(leader, 2_500 * MILLISECOND, false));
        }
        self.at(CAUSE_END - SECOND / 2, pause(gate, SECOND / 2, true));
    }

    fn partitions(&mut self) {
        self.repeats();
        let zone = Separation::Zone { site: 0, zone: 1 };
        self.at(CAUSE_START, Fault::Separate { separation: zone, duration: 3 * SECOND });
        let sites = Separation::Sites;
        self.at(CAUSE_START + 3 * SECOND, Fault::Separate { separation: sites, duration: 5 * SECOND });
        let zone = Separation::Zone { site: 1, zone: 0 };
        self.at(CAUSE_START + 5 * SECOND, Fault::Separate { separation: zone, duration: 3 * SECOND });
    }

    fn rolling_replacement(&mut self, deployment: &Deployment) {
        self.repeats();
        // Gates hear late of their new slots, and of those that others took over.
        self.throughout(Fault::Loss(SOME_LOSS), Fault::Loss(1));
        for (position, service) in [deployment.busiest, KEYED_SERVICE].into_iter().enumerate() {
            let targets = deployment.services[service].targets;
            for turn in 0..2 * targets {
                let choice = MachineChoice::Target { service, site: turn % 2, position: 0 };
                let at = CAUSE_START + turn as Instant * SECOND + position as Instant * SECOND / 2;
                self.at(at, Fault::Replace(choice));
            }
        }
    }

    fn retirement(&mut self, deployment: &Deployment) {
        let choice = MachineChoice::Target { service: deployment.busiest, site: 0, position: 1 };
        self.at(CAUSE_START, Fault::Retire(choice));
        // An edge that sleeps through the drain wakes up with a routing table from before.
        let choice = MachineChoice::Edge { site: 0, zone: 1 };
        self.at(CAUSE_START, Fault::Pause { choice, duration: 4 * SECOND, with_back_end: false });
    }

    fn moves(&mut self, deployment: &Deployment) {
        self.repeats();
        for (turn, (service, percent)) in [(deployment.busiest, 20), (KEYED_SERVICE, 40)].into_iter().enumerate() {
            let at = CAUSE_START + turn as Instant * 500 * MILLISECOND;
            self.at(at, Fault::Move { service, percent });
        }
    }

    /// The sites lose contact twice: before the keyed service's plan is made, and in the middle of its move.
    fn cuts_of_a_move(&mut self) {
        let separation = Separation::Sites;
        for (begin, duration) in [(300, 1_200), (3_500, 3_000)] {
            let duration = duration * MILLISECOND;
            self.at(CAUSE_START + begin * MILLISECOND, Fault::Separate { separation, duration });
        }
        self.throughout(Fault::Loss(SOME_LOSS), Fault::Loss(1));
    }

    fn stops(&mut self, deployment: &Deployment) {
        let service = deployment.downloads;
        self.at(CAUSE_START, Fault::Replace(MachineChoice::Edge { site: 0, zone: 0 }));
        self.at(CAUSE_START + SECOND, Fault::Replace(MachineChoice::Target { service, site: 0, position: 0 }));
        self.at(CAUSE_START + 3 * SECOND, Fault::Replace(MachineChoice::Edge { site: 1, zone: 2 }));
        self.at(CAUSE_START + 4 * SECOND, Fault::Stop(MachineChoice::Target { service, site: 1, position: 2 }));
    }

    fn loss_of_majority(&mut self, deployment: &Deployment) {
        self.repeats();
        let targets = deployment.services[KEYED_SERVICE].targets;
        let majority = targets / 2 + 1;
        for position in 0..majority {
            // A crashed machine is no longer among those up, so the first position is another one each time.
            let choice = MachineChoice::Target { service: KEYED_SERVICE, site: 0, position: 0 };
            self.at(CAUSE_START + position as Instant * MILLISECOND, Fault::Crash(choice));
        }
    }

    fn config_down(&mut self) {
        const AFTER_SOME_HAVE_READ_IT: Instant = 300 * MILLISECOND;
        self.at(CAUSE_START, Fault::Publish);
        self.at(CAUSE_START + AFTER_SOME_HAVE_READ_IT, Fault::Platform(PlatformState::Down));
        let edge = MachineChoice::Edge { site: 1, zone: 1 };
        self.at(CAUSE_START + 4 * SECOND, Fault::Crash(edge));
        self.at(CAUSE_END, Fault::Platform(PlatformState::Up));
    }

    fn config_stale(&mut self, deployment: &Deployment) {
        self.at(CAUSE_START, Fault::Publish);
        self.at(CAUSE_START + 2 * SECOND, Fault::Platform(PlatformState::Stale(1)));
        // A node that starts now reads an old revision, and hears of the newer one from its peers at the same time.
        for turn in 0..STALE_STARTS {
            let edge = MachineChoice::Edge { site: turn % 2, zone: turn / 2 % 3 };
            self.at(CAUSE_START + 2_500 * MILLISECOND + turn as Instant * 250 * MILLISECOND, Fault::Crash(edge));
        }
        // Here all neighbours start with the old revision as well.
        self.at(CAUSE_START + 6 * SECOND, Fault::CrashZone { site: 1, zone: 2 });
        let gate = MachineChoice::Target { service: deployment.busiest, site: 0, position: 0 };
        self.at(CAUSE_START + 4 * SECOND, Fault::Crash(gate));
        self.at(CAUSE_START + 5 * SECOND, Fault::Platform(PlatformState::Stale(2)));
        self.at(CAUSE_END, Fault::Platform(PlatformState::Up));
    }
}

/// Draws the faults of a storm.
struct Storm<'a> {
    deployment: &'a Deployment,
    generator: Pcg64,
    plan: Plan,
}

impl Storm<'_> {
    /// Kinds of trouble that a storm draws from.
    const KINDS: u32 = 14;

    /// A beginning and a length that end with the causes.
    fn span(&mut self) -> (Instant, Instant) {
        let begin = self.generator.gen_range(CAUSE_START..CAUSE_END - SECOND);
        let length = self.generator.gen_range(SECOND / 2..=4 * SECOND);
        (begin, length.min(CAUSE_END - begin))
    }

    fn service(&mut self) -> usize {
        self.generator.gen_range(0..self.deployment.services.len())
    }

    fn target(&mut self) -> MachineChoice {
        let service = self.service();
        MachineChoice::Target {
            service,
            site: self.generator.gen_range(0..2),
            position: self.generator.gen_range(0..3),
        }
    }

    fn edge(&mut self) -> MachineChoice {
        MachineChoice::Edge { site: self.generator.gen_range(0..2), zone: self.generator.gen_range(0..3) }
    }

    fn machine(&mut self) -> MachineChoice {
        match self.generator.gen_range(0..4) {
            0 => self.edge(),
            1 => MachineChoice::Leader { service: self.service(), site: self.generator.gen_range(0..2) },
            _ => self.target(),
        }
    }

    fn trouble(&mut self) {
        let (begin, length) = self.span();
        let end = begin + length;
        match self.generator.gen_range(0..Self::KINDS) {
            0 => {
                let times = self.generator.gen_range(1.2..2.2);
                self.plan.at(begin, Fault::Rate(World::rate_factor_for(times)));
                self.plan.at(end, Fault::Rate(1.0));
            }
            1 => {
                let service = self.service();
                let factor = self.generator.gen_range(2.0..6.0);
                self.plan.at(begin, Fault::Slow { service, factor });
                self.plan.at(end, Fault::Slow { service, factor: 1.0 });
            }
            2 => {
                self.plan.at(begin, Fault::HardCallers(true));
                self.plan.at(end, Fault::HardCallers(false));
            }
            3 => {
                self.plan.at(begin, Fault::Platform(PlatformState::Down));
                self.plan.at(end, Fault::Platform(PlatformState::Up));
            }
            4 => {
                self.plan.at(begin, Fault::Publish);
                self.plan.at(begin + length / 2, Fault::Platform(PlatformState::Stale(1)));
                self.plan.at(end, Fault::Platform(PlatformState::Up));
            }
            5 => {
                let choice = self.machine();
                let with_back_end = self.generator.gen();
                self.plan.at(begin, Fault::Pause { choice, duration: length, with_back_end });
            }
            6 => self.plan.at(begin, Fault::Separate { separation: Separation::Sites, duration: length }),
            7 => {
                let separation =
                    Separation::Zone { site: self.generator.gen_range(0..2), zone: self.generator.gen_range(0..3) };
                self.plan.at(begin, Fault::Separate { separation, duration: length });
            }
            8 => {
                let choice = self.machine();
                self.plan.at(begin, Fault::Replace(choice));
            }
            9 => {
                let choice = self.target();
                self.plan.at(begin, Fault::Retire(choice));
            }
            10 => {
                let service = self.service();
                self.plan.at(begin, Fault::Move { service, percent: 20 });
            }
            11 => {
                let choice = self.machine();
                self.plan.at(begin, Fault::Crash(choice));
            }
            12 => {
                self.plan.at(begin, Fault::Loss(50));
                self.plan.at(begin + length / 2, Fault::BreakConnections { percent: 30 });
                self.plan.at(end, Fault::Loss(1));
            }
            _ => {
                self.plan.at(begin, Fault::MisleadingHints(true));
                self.plan.at(end, Fault::MisleadingHints(false));
            }
        }
    }
}

fn storm(deployment: &Deployment, seed: u64) -> Plan {
    const FEWEST: usize = 4;
    const MOST: usize = 9;
    let mut storm = Storm { deployment, generator: generator(seed, Stream::Faults), plan: Plan { faults: Vec::new() } };
    storm.plan.repeats();
    for _ in 0..storm.generator.gen_range(FEWEST..=MOST) {
        storm.trouble();
    }
    storm.plan
}

/// The faults of the scenario of `options`, by time.
pub fn faults(options: &RunOptions, deployment: &Deployment) -> Vec<PlannedFault> {
    let mut plan = Plan { faults: Vec::new() };
    match options.scenario {
        Scenario::Steady => {}
        Scenario::Surge => plan.surge(),
        Scenario::SlowDeep => plan.slow_deep(deployment),
        Scenario::Metastable => {
            plan.surge();
            plan.slow_deep(deployment);
            plan.throughout(Fault::HardCallers(true), Fault::HardCallers(false));
            plan.throughout(Fault::MisleadingHints(true), Fault::MisleadingHints(false));
        }
        Scenario::ConfigDown => plan.config_down(),
        Scenario::ConfigStale => plan.config_stale(deployment),
        Scenario::Pause => plan.pauses(deployment),
        Scenario::Partition => plan.partitions(),
        Scenario::RollingReplace => plan.rolling_replacement(deployment),
        Scenario::Retire => plan.retirement(deployment),
        Scenario::Move => plan.moves(deployment),
        Scenario::MovePartition => {
            plan.moves(deployment);
            plan.cuts_of_a_move();
        }
        Scenario::Stop => plan.stops(deployment),
        Scenario::LoseMajority => plan.loss_of_majority(deployment),
        Scenario::Storm => plan = storm(deployment, options.seed),
    }
    plan.at(SECOND_REVISION, Fault::Publish);
    plan.faults.sort_by_key(|planned| planned.at);
    plan.faults
}
