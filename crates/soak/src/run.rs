//! Runs a soak: rounds of faults and of calm, planned work in the calm ones, and a verdict at the end.

use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::caller::Caller;
use quillhatch_platform_standins::store::StandInStore;
use quillhatch_platform_standins::target::{HealthStatus, ReceivedRequest};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::runtime::LocalOptions;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::checks::{self, Violation};
use crate::faults::{inject, FaultKind};
use crate::layout::{document, MachineAddrs, SoakNet, SERVICES};
use crate::links::LinkProcess;
use crate::machine::SoakMachine;
use crate::record::{ConfigWrite, DrainSpan, FaultSpan, ProcessStart, RunRecord, SoakRecord, StopSpan};
use crate::traffic::SoakCaller;

/// Callers in all, if there are not more machines.
const CALLERS: usize = 24;
/// The machines whose links one process runs. Each may be connected to all others, with two descriptors a connection.
const LINKS_EACH: usize = 25;
/// How long the processes get to start.
const START: Duration = Duration::from_secs(10);
/// How long a round of faults lasts.
const STORM: Duration = Duration::from_secs(8);
/// How long a machine rests after a storm before planned work is done.
const REST: Duration = Duration::from_millis(3500);
/// The pause between two faults, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 300..1400;
/// How long a fault lasts, in milliseconds.
const FAULT_SPAN_MS: std::ops::Range<u64> = 300..3000;
/// How often a fault of the later kinds comes with another one.
const LATER_SHARE: f64 = 0.2;
/// Tells the schedule of the later kinds from the other one.
const LATER_SEED: u64 = 0x5eed;
/// Tells the schedule of the ways in which targets leave from the others.
const LEAVING_SEED: u64 = 0x1eaf;
/// How long a target stays draining.
const DRAIN: Duration = Duration::from_millis(4500);
/// For how long callers go on to come to a process that was asked to stop: two questions a second whether it is ready.
const LED_AWAY: Duration = Duration::from_millis(2500);
/// The time in which a process must have stopped.
const GRACE: Duration = Duration::from_secs(6);
/// Changes of the configuration in a series, with a signal to each process, and the pause between them in milliseconds.
const SERIES: usize = 5;
const SERIES_PAUSE_MS: std::ops::Range<u64> = 100..900;
/// How long after the first of two stops the second is asked for; the first takes longer.
const SECOND_STOP_AFTER: Duration = Duration::from_millis(1200);
/// How long a last call may take.
const LAST_CALLS: Duration = Duration::from_secs(5);
/// How often it is looked whether something has happened.
const CHECK: Duration = Duration::from_millis(20);

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The quillhatch program.
    pub program: PathBuf,
    /// A program that runs links in processes of their own ([`serve`](crate::links::serve)); without one they run in this process.
    pub links: Option<PathBuf>,
    /// Where settings and logs are written; it must exist.
    pub folder: PathBuf,
    /// The seed of the schedule.
    pub seed: u64,
    /// How long faults and calm take turns.
    pub duration: Duration,
    /// The targets of each service.
    pub targets_per_service: usize,
    /// Whether there are faults; without them only planned work is done.
    pub has_faults: bool,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// All that was seen.
    pub record: SoakRecord,
    /// The faults in order, each with the machine that it struck.
    pub faults: Vec<(FaultKind, usize)>,
    /// The promises that were broken.
    pub violations: Vec<Violation>,
}

/// Runs a soak on a runtime of its own.
///
/// # Errors
///
/// Returns an error if the machines can't be set up.
pub fn run(options: &SoakOptions) -> io::Result<SoakReport> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(soak(options))
}

/// The machines and what is recorded of them.
struct SoakRun {
    store: StandInStore,
    machines: Vec<Rc<SoakMachine>>,
    record: Rc<RefCell<SoakRecord>>,
    faults: Vec<(FaultKind, usize)>,
    random: Pcg64,
    /// The schedule of the later kinds of faults.
    later: Pcg64,
    /// The schedule of the ways in which targets leave.
    leaving: Pcg64,
    version: u64,
}

async fn soak(options: &SoakOptions) -> io::Result<SoakReport> {
    let mut world = SoakRun::start(options).await?;
    world.configure();
    world.wait_until_ready().await?;
    let end = Instant::now() + options.duration;
    let callers = world.start_callers(end);
    while Instant::now() < end {
        if options.has_faults {
            world.storm().await;
            sleep(REST).await;
        }
        world.planned_work().await?;
    }
    for caller in callers {
        // A caller that has ended early would have panicked, and its calls are missing.
        caller.await.map_err(io::Error::other)?;
    }
    sleep(LAST_CALLS).await;
    Ok(world.report())
}

impl SoakRun {
    async fn start(options: &SoakOptions) -> io::Result<Self> {
        let mut random = Pcg64::seed_from_u64(options.seed);
        let later = Pcg64::seed_from_u64(options.seed ^ LATER_SEED);
        let leaving = Pcg64::seed_from_u64(options.seed ^ LEAVING_SEED);
        let net = SoakNet::draw(&mut Pcg64::from_entropy());
        let store = StandInStore::start().await;
        let mut machines = Vec::new();
        let mut links = None;
        for number in 0..SERVICES.len() * options.targets_per_service {
            let addrs = MachineAddrs::new(net, number);
            if let Some(program) = options.links.as_ref().filter(|_| number % LINKS_EACH == 0) {
                links = Some(Rc::new(RefCell::new(LinkProcess::start(program)?)));
            }
            let files = (options.program.as_path(), options.folder.as_path());
            let machine = SoakMachine::start(addrs, &store, files, links.as_ref()).await?;
            let machine = Rc::new(machine);
            spawn_local(Rc::clone(&machine).keep_registered());
            machines.push(machine);
        }
        let version = random.gen_range(1..50);
        let record = Rc::default();
        Ok(SoakRun { store, machines, record, faults: Vec::new(), random, later, leaving, version })
    }

    /// Writes a configuration that moves a route to another service.
    fn configure(&mut self) {
        self.version += self.random.gen_range(1..5);
        let former = self.record.borrow().configs.last().map(|config| config.moving);
        let others: Vec<&'static str> = SERVICES.into_iter().filter(|service| Some(*service) != former).collect();
        let moving = others[self.random.gen_range(0..others.len())];
        let number = self.record.borrow().configs.len();
        self.store.write_configuration(&document(self.version, number, moving));
        self.record.borrow_mut().configs.push(ConfigWrite { moving, acked: Instant::now() });
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        let begun = Instant::now();
        for machine in &self.machines {
            while !is_ready(machine).await {
                if begun.elapsed() > START {
                    return Err(io::Error::other(format!("machine {} does not get ready", machine.addrs.number)));
                }
                sleep(CHECK).await;
            }
        }
        Ok(())
    }

    fn start_callers(&mut self, end: Instant) -> Vec<JoinHandle<()>> {
        let mut callers = Vec::new();
        let callers_each = (CALLERS / self.machines.len()).max(1);
        for machine in &self.machines {
            for number in 0..callers_each {
                let random = Pcg64::seed_from_u64(self.random.gen());
                let (machine, record) = (Rc::clone(machine), Rc::clone(&self.record));
                let caller = SoakCaller { machine, number, record, reuses_while_draining: number == 0, random };
                callers.push(spawn_local(caller.call_until(end)));
            }
        }
        callers
    }

    /// A round of faults; ends when the last of them is over.
    async fn storm(&mut self) {
        let end = Instant::now() + STORM;
        let mut strikes = Vec::new();
        while Instant::now() < end {
            let kind = FaultKind::draw(&mut self.random);
            let struck = self.random.gen_range(0..self.machines.len());
            let span = Duration::from_millis(self.random.gen_range(FAULT_SPAN_MS));
            strikes.push(self.strike(kind, struck, span));
            if self.later.gen_bool(LATER_SHARE) {
                let kind = FaultKind::draw_added(&mut self.later);
                let struck = self.later.gen_range(0..self.machines.len());
                let span = Duration::from_millis(self.later.gen_range(FAULT_SPAN_MS));
                strikes.push(self.strike(kind, struck, span));
            }
            sleep(Duration::from_millis(self.random.gen_range(FAULT_PAUSE_MS))).await;
            self.look_at_targets();
        }
        for strike in strikes {
            if let Ok(fault_span) = strike.await {
                self.record.borrow_mut().fault_spans.push(fault_span);
            }
        }
        // Faults that overlapped may have left a process frozen, down, or a link cut.
        for machine in &self.machines {
            machine.signal(Signal::CONT);
        }
    }

    fn strike(&mut self, kind: FaultKind, struck: usize, span: Duration) -> JoinHandle<FaultSpan> {
        self.faults.push((kind, struck));
        let machines = self.machines.clone();
        spawn_local(async move { inject(kind, &machines, struck, span).await })
    }

    /// Planned work: one thing of each kind, or series of them that overlap.
    async fn planned_work(&mut self) -> io::Result<()> {
        if self.random.gen() {
            self.one_of_each().await
        } else {
            self.series().await
        }
    }

    /// A change of the configuration, a target that leaves with or without a drain, and a planned stop, on machines of different services.
    async fn one_of_each(&mut self) -> io::Result<()> {
        self.configure();
        let drained = self.random.gen_range(0..self.machines.len());
        let stopped = self.of_another_service(drained);
        let draining = Rc::clone(&self.machines[drained]);
        let id = draining.target.id();
        if self.leaving.gen() {
            self.store.register(&draining.target, "draining");
        } else {
            draining.target.set_health(HealthStatus::Draining);
            self.store.deregister(&id);
        }
        let acked = Instant::now();
        self.stop_and_start(stopped).await?;
        sleep(DRAIN.saturating_sub(acked.elapsed())).await;
        // One that crashed meanwhile is another, which is not draining.
        if draining.target.id() == id {
            self.record.borrow_mut().drains.push(DrainSpan { machine: drained, acked, until: Instant::now() });
        }
        draining.target.set_health(HealthStatus::Healthy);
        self.store.register(&draining.target, "ready");
        self.look_at_targets();
        sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    /// Configurations in quick succession, signals to all processes, and two planned stops that overlap.
    async fn series(&mut self) -> io::Result<()> {
        let first = self.random.gen_range(0..self.machines.len());
        let second = self.of_another_service(first);
        let stops = [(first, Duration::ZERO), (second, SECOND_STOP_AFTER)].map(|(number, after)| {
            let (machine, record) = (Rc::clone(&self.machines[number]), Rc::clone(&self.record));
            spawn_local(async move {
                sleep(after).await;
                stop_and_start(&machine, &record).await
            })
        });
        for _ in 0..SERIES {
            self.configure();
            for machine in &self.machines {
                machine.signal(Signal::HUP);
            }
            sleep(Duration::from_millis(self.random.gen_range(SERIES_PAUSE_MS))).await;
        }
        for stop in stops {
            stop.await.map_err(io::Error::other)??;
        }
        self.look_at_targets();
        sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    /// A machine whose target serves another service than that of machine `number`.
    fn of_another_service(&mut self, number: usize) -> usize {
        (number + self.random.gen_range(1..SERVICES.len())) % self.machines.len()
    }

    async fn stop_and_start(&mut self, number: usize) -> io::Result<()> {
        stop_and_start(&self.machines[number], &self.record).await
    }

    /// Takes over what the targets have recorded.
    fn look_at_targets(&self) {
        let mut record = self.record.borrow_mut();
        for machine in &self.machines {
            let number = machine.addrs.number;
            let runs: Vec<RunRecord> =
                machine.target.take_started_requests().into_iter().map(|seen| run_record(number, seen)).collect();
            record.crashes.extend(runs.iter().filter(|run| run.crashes_targets()).map(|run| run.at));
            record.runs.extend(runs);
            record.max_running = record.max_running.max(machine.target.max_running() as u32);
        }
    }

    fn report(self) -> SoakReport {
        self.look_at_targets();
        let mut record = self.record.borrow().clone();
        for machine in &self.machines {
            let number = machine.addrs.number;
            record.starts.extend(machine.restarts().into_iter().map(|at| ProcessStart { machine: number, at }));
        }
        let violations = checks::check_all(&record);
        SoakReport { record, faults: self.faults, violations }
    }
}

/// Asks a process to stop, and starts another one after its end.
async fn stop_and_start(machine: &SoakMachine, record: &RefCell<SoakRecord>) -> io::Result<()> {
    let requested = Instant::now();
    record.borrow_mut().stops.push(StopSpan { machine: machine.addrs.number, requested, grace: GRACE });
    machine.signal(Signal::TERM);
    sleep(LED_AWAY).await;
    machine.accepts_callers.set(false);
    while machine.is_running() && requested.elapsed() < GRACE {
        sleep(CHECK).await;
    }
    if machine.is_running() {
        machine.signal(Signal::KILL);
    }
    while machine.is_running() {
        sleep(CHECK).await;
    }
    machine.start_process()?;
    let begun = Instant::now();
    while !is_ready(machine).await && begun.elapsed() < START {
        sleep(CHECK).await;
    }
    machine.accepts_callers.set(true);
    Ok(())
}

fn run_record(machine: usize, seen: ReceivedRequest) -> RunRecord {
    let id = seen.id().to_owned();
    let caller_service = seen.caller_service().to_owned();
    let (tenant, has_key) = (seen.header("quillhatch-tenant").to_owned(), !seen.header("x-api-key").is_empty());
    let body = String::from_utf8_lossy(&seen.body).into_owned();
    RunRecord {
        id,
        machine,
        at: seen.started_at,
        request: (seen.method, seen.path, body),
        caller_service,
        tenant,
        has_key,
    }
}

/// Whether the process of a machine says that it takes callers.
async fn is_ready(machine: &SoakMachine) -> bool {
    let own = machine.addrs.public.into();
    let Some(mut caller) = Caller::connect_from(own, machine.addrs.ready()).await else { return false };
    caller.send("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n").await;
    caller.answer_within(Duration::from_secs(1)).await.is_some_and(|answer| answer.status == 200)
}

/// A folder for settings and logs of one soak below `parent`.
///
/// # Errors
///
/// Returns an error if it can't be made.
pub fn make_folder(parent: &Path, seed: u64) -> io::Result<PathBuf> {
    let folder = parent.join(format!("quillhatch-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
