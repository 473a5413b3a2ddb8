//! Series of overlapping stops under calls of various durations, while targets are replaced, the configuration changes
//! and processes stand still for moments.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::target::{ChainedCall, TargetBehaviour};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::layout::{RouteKind, HOST, SERVICES};
use crate::machine::SoakMachine;
use crate::planned_work::restart_process;
use crate::record::{FaultSpan, SoakRecord};
use crate::run::{SoakRun, POLL_INTERVAL};

/// Combined with the soak's seed for the schedule of the series.
const SCHEDULE_SEED: u64 = 0x57e5;
/// The service whose targets receive nested calls.
const CALLED_SERVICE: &str = "beta";
/// The number of calls that a target makes in a row for one request, and of large ones.
const CALLS_IN_A_ROW: usize = 5;
const LARGE_CALLS_IN_A_ROW: usize = 3;
/// The range of the rates at which targets read large responses, in bytes per second.
const READ_RATES: std::ops::Range<f64> = 200_000.0..800_000.0;
/// The range of the times in which a target responds with 504 after a deadline, in milliseconds.
const DEADLINE_DELAY_MS: std::ops::Range<u64> = 0..120;
/// The number of stops of one process in a row, and the range of pauses between them in milliseconds.
const SERIES_LENGTH: usize = 3;
const SERIES_PAUSE_MS: std::ops::Range<u64> = 400..2000;
/// The ranges of the delays of overlapping stops, in milliseconds.
const CLOSE_STOPS_MS: std::ops::Range<u64> = 0..900;
const SPREAD_STOPS_MS: std::ops::Range<u64> = 0..3000;
/// The range of pauses between two further signals, changes or standstills, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..1500;
/// How long a process stands still, in milliseconds.
const STANDSTILL_MS: std::ops::Range<u64> = 300..500;
/// How long a target that is replaced serves on after it is registered as draining, and how long it waits for its
/// requests to end after that.
const DRAIN_TIME: Duration = Duration::from_millis(2500);
const LAST_REQUESTS_TIME: Duration = Duration::from_secs(4);

/// How long the called targets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallShape {
    /// On all requests for some tenths of a second.
    InARow,
    /// On one request in ten for up to 2.4 s.
    SometimesLong,
    /// On one request in twenty for up to 4.5 s.
    RarelyVeryLong,
    /// Their responses are large and read slowly.
    Large,
}

impl CallShape {
    const ALL: [CallShape; 4] =
        [CallShape::InARow, CallShape::SometimesLong, CallShape::RarelyVeryLong, CallShape::Large];

    fn behaviour(self) -> TargetBehaviour {
        let range = |min, max| (Duration::from_millis(min), Duration::from_millis(max));
        match self {
            CallShape::InARow => {
                TargetBehaviour::SlowUntilDeadline(Duration::from_millis(100), Duration::from_millis(500))
            }
            CallShape::SometimesLong => {
                TargetBehaviour::MostlyShort { short: range(20, 200), long: range(1500, 2400), one_in: 10 }
            }
            CallShape::RarelyVeryLong => {
                TargetBehaviour::MostlyShort { short: range(20, 200), long: range(2600, 4500), one_in: 20 }
            }
            CallShape::Large => {
                TargetBehaviour::SlowUntilDeadline(Duration::from_millis(10), Duration::from_millis(100))
            }
        }
    }
}

/// The schedule of the stops of one soak.
pub struct StopSeries {
    shape: CallShape,
    has_standstills: bool,
    replaces_targets: bool,
    changes_configuration: bool,
    random: Pcg64,
}

impl StopSeries {
    /// Draws what is played besides stops.
    pub fn draw(seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed ^ SCHEDULE_SEED);
        let shape = *CallShape::ALL.choose(&mut random).unwrap_or(&CallShape::InARow);
        let (has_standstills, replaces_targets) = (random.gen(), random.gen());
        StopSeries { shape, has_standstills, replaces_targets, changes_configuration: random.gen(), random }
    }

    /// The kind of the calls that targets make, if it isn't [`RouteKind::Read`].
    pub fn nested_kind(&self) -> Option<RouteKind> {
        (self.shape == CallShape::Large).then_some(RouteKind::Large)
    }

    /// Sets how the target of a machine works, calls and responds.
    pub fn prepare(&mut self, machine: &SoakMachine) {
        machine.target.set_deadline_delay(Duration::from_millis(self.random.gen_range(DEADLINE_DELAY_MS)));
        machine.target.set_chained_count(CALLS_IN_A_ROW);
        if self.shape == CallShape::Large {
            let (outbound, host) = (machine.addrs.outbound(), HOST.to_owned());
            let path = RouteKind::Large.path().to_owned();
            machine.target.set_chained_call(ChainedCall { outbound, host, path });
            machine.target.set_chained_count(LARGE_CALLS_IN_A_ROW);
            machine.target.set_chained_read_rate(Some(self.random.gen_range(READ_RATES)));
        }
        if machine.addrs.service() == CALLED_SERVICE {
            machine.normal_behaviour.set(self.shape.behaviour());
            machine.reset_target_behaviour();
        }
    }

    /// Starts the moments in which processes stand still, if they are played.
    pub fn start_standstills(
        &mut self,
        machines: &[Rc<SoakMachine>],
        record: &Rc<RefCell<SoakRecord>>,
        end: Instant,
    ) -> Option<JoinHandle<()>> {
        let mut random = Pcg64::seed_from_u64(self.random.gen());
        let (machines, record) = (machines.to_vec(), Rc::clone(record));
        self.has_standstills.then(|| {
            spawn_local(async move {
                while Instant::now() < end {
                    sleep(Duration::from_millis(random.gen_range(PAUSE_MS))).await;
                    let machine = &machines[random.gen_range(0..machines.len())];
                    let from = Instant::now();
                    machine.signal(Signal::STOP);
                    sleep(Duration::from_millis(random.gen_range(STANDSTILL_MS))).await;
                    machine.signal(Signal::CONT);
                    let span = FaultSpan { machine: Some(machine.addrs.number), from, until: Instant::now() };
                    record.borrow_mut().standstills.push(span);
                }
            })
        })
    }

    /// Draws the machines that are stopped in a round: all of them, or half of the machines of each service.
    fn draw_machines(&mut self, count: usize) -> Vec<usize> {
        let all: Vec<usize> = (0..count).collect();
        if self.random.gen() {
            return all;
        }
        let mut drawn = Vec::new();
        for service in 0..SERVICES.len() {
            let mut of_service: Vec<usize> = all.iter().copied().filter(|n| n % SERVICES.len() == service).collect();
            of_service.shuffle(&mut self.random);
            drawn.extend(&of_service[..of_service.len() / 2]);
        }
        drawn
    }
}

/// Stops and restarts a process several times in a row.
async fn restart_in_series(
    machine: Rc<SoakMachine>,
    record: Rc<RefCell<SoakRecord>>,
    delay: Duration,
    pauses: Vec<Duration>,
) -> io::Result<()> {
    sleep(delay).await;
    for pause in pauses {
        restart_process(&machine, &record).await?;
        sleep(pause).await;
    }
    Ok(())
}

/// Replaces a target as a release does: it is registered as draining, finishes its requests and restarts with a new id.
async fn replace_target(machine: Rc<SoakMachine>) {
    machine.store.register(&machine.target, "draining");
    sleep(DRAIN_TIME).await;
    let drained = Instant::now();
    while machine.target.running() > 0 && drained.elapsed() < LAST_REQUESTS_TIME {
        sleep(POLL_INTERVAL).await;
    }
    machine.target.restart();
}

impl SoakRun {
    /// Stops processes in overlapping series, with further signals, changes and replacements meanwhile.
    pub(crate) async fn stop_series_round(&mut self, series: &mut StopSeries) -> io::Result<()> {
        let random = &mut series.random;
        let length = if random.gen() { SERIES_LENGTH } else { 1 };
        let spread = if random.gen() { SPREAD_STOPS_MS } else { CLOSE_STOPS_MS };
        let mut stops = Vec::new();
        for number in series.draw_machines(self.machines.len()) {
            let random = &mut series.random;
            let delay = Duration::from_millis(random.gen_range(spread.clone()));
            let pauses = (0..length).map(|_| Duration::from_millis(random.gen_range(SERIES_PAUSE_MS))).collect();
            let machine = Rc::clone(&self.machines[number]);
            stops.push(spawn_local(restart_in_series(machine, Rc::clone(&self.record), delay, pauses)));
        }
        let mut replacement = None;
        while !stops.iter().all(JoinHandle::is_finished) {
            sleep(Duration::from_millis(series.random.gen_range(PAUSE_MS))).await;
            let machine = Rc::clone(&self.machines[series.random.gen_range(0..self.machines.len())]);
            if series.random.gen() {
                machine.signal(Signal::HUP);
            }
            if series.changes_configuration && series.random.gen() {
                self.configure();
            }
            if series.replaces_targets && replacement.as_ref().is_none_or(JoinHandle::is_finished) {
                replacement = Some(spawn_local(replace_target(machine)));
            }
            self.collect_requests();
        }
        for stop in stops {
            stop.await.map_err(io::Error::other)??;
        }
        if let Some(replacement) = replacement {
            replacement.await.map_err(io::Error::other)?;
        }
        self.collect_requests();
        sleep(Duration::from_secs(1)).await;
        Ok(())
    }
}
