//! Runs a soak: rounds of faults alternate with fault-free rounds of planned work, and a final check of the guarantees.

use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::caller::Caller;
use quillhatch_platform_standins::store::StandInStore;
use quillhatch_platform_standins::target::{ChainedResponse, ReceivedRequest};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::runtime::LocalOptions;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::checks::{self, Violation};
use crate::endless;
use crate::faults::{inject, FaultKind};
use crate::layout::{document, MachineAddrs, SoakNet, SERVICES};
use crate::links::LinkProcess;
use crate::machine::SoakMachine;
use crate::outages::play_outages;
use crate::pipelined_calls;
use crate::record::{ConfigWrite, FaultSpan, NestedCall, ProcessRestart, RunRecord, SoakRecord};
use crate::restores::Restores;
use crate::slow_calls;
use crate::stop_series::StopSeries;
use crate::target_status::{play_announcements, ArrivalRecord, NestedResponse};
use crate::traffic::{SoakCaller, DEADLINE};

/// The total number of callers; with more machines than this, each machine has one.
const TOTAL_CALLERS: usize = 24;
/// The number of links that one process runs. Each machine may be connected to all others, with two descriptors per
/// connection.
const LINKS_PER_PROCESS: usize = 25;
/// The time within which the processes must become ready.
pub(crate) const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The duration of a round of faults.
const FAULT_ROUND_DURATION: Duration = Duration::from_secs(8);
/// The pause between a round of faults and planned work.
const SETTLE_PAUSE: Duration = Duration::from_millis(3500);
/// The range of pauses between two faults, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 300..1400;
/// The range of durations of a fault, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..3000;
/// The probability that one of [`FaultKind::ADDED`] accompanies a fault of the main schedule.
const ADDED_FAULT_PROBABILITY: f64 = 0.2;
/// Combined with the soak's seed for the schedule of [`FaultKind::ADDED`].
const ADDED_SCHEDULE_SEED: u64 = 0x5eed;
/// Combined with the soak's seed for the schedule of the ways in which targets drain.
const DRAIN_SCHEDULE_SEED: u64 = 0x1eaf;
/// Combined with the soak's seed for the schedule of what targets announce in their responses.
const ANNOUNCEMENT_SCHEDULE_SEED: u64 = 0x5a1d;
/// Combined with the soak's seed for the schedule of outages.
const OUTAGE_SCHEDULE_SEED: u64 = 0x0fa1;
/// Combined with the soak's seed for the schedule of targets that send without end.
const ENDLESS_SCHEDULE_SEED: u64 = 0xe4d1;
/// The interval at which the memory of the processes is read.
const MEMORY_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout of all routes in seconds.
const TIMEOUT_S: u32 = 2;
/// The time for the last calls to finish.
const LAST_CALLS_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which conditions are polled.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The number of items in one page of the store, so small that processes always start with several pages.
const STORE_PAGE_SIZE: usize = 4;
/// The names of entries of another writer among those of the targets.
const FOREIGN_NAMES: [&str; 8] = [" blank", "a&b", "a&c", "a+b", "a#b", "a%7Eb", "a\"\r\n\u{1}b", "\u{fc}"];

/// The options of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The quillhatch program.
    pub program: PathBuf,
    /// A program that runs links in separate processes ([`serve`](crate::links::serve)); without one they run in this
    /// process.
    pub links: Option<PathBuf>,
    /// An existing folder to which settings and logs are written.
    pub folder: PathBuf,
    /// The seed of the schedules.
    pub seed: u64,
    /// How long rounds of faults and of planned work alternate.
    pub duration: Duration,
    /// The number of targets of each service.
    pub targets_per_service: usize,
    /// Whether faults are injected; without them only planned work is done.
    pub has_faults: bool,
    /// Whether long outages of the store are played as well, in which targets restart unseen.
    pub has_outages: bool,
    /// Whether targets make several slow calls in a row and callers read large responses slowly, while processes stop.
    pub has_slow_calls: bool,
    /// Whether processes stop in overlapping series, under calls of various durations.
    pub has_stop_series: bool,
    /// Whether callers send long requests, with others behind them.
    pub has_long_requests: bool,
    /// Whether the store is restored from backups while processes start again.
    pub has_restores: bool,
    /// Whether targets send bytes without end.
    pub has_endless_responses: bool,
}

/// The result of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// All observations.
    pub record: SoakRecord,
    /// The faults in order, each with the machine on which it was injected.
    pub faults: Vec<(FaultKind, usize)>,
    /// The violations of guarantees.
    pub violations: Vec<Violation>,
}

/// Runs a soak on a new runtime.
///
/// # Errors
///
/// Returns an error if the machines can't be set up.
pub fn run(options: &SoakOptions) -> io::Result<SoakReport> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(run_rounds(options))
}

/// The state of a running soak.
pub(crate) struct SoakRun {
    pub(crate) store: StandInStore,
    pub(crate) machines: Vec<Rc<SoakMachine>>,
    pub(crate) record: Rc<RefCell<SoakRecord>>,
    faults: Vec<(FaultKind, usize)>,
    pub(crate) random: Pcg64,
    /// The schedule of [`FaultKind::ADDED`].
    added_schedule: Pcg64,
    /// The schedule of the ways in which targets drain.
    pub(crate) drain_schedule: Pcg64,
    version: u64,
    pub(crate) has_slow_calls: bool,
    has_long_requests: bool,
    pub(crate) stop_series: Option<StopSeries>,
    pub(crate) restores: Option<Restores>,
}

async fn run_rounds(options: &SoakOptions) -> io::Result<SoakReport> {
    let mut run = SoakRun::start(options).await?;
    run.configure();
    run.wait_until_ready().await?;
    let end = Instant::now() + options.duration;
    let callers = run.start_callers(end);
    let schedule = Pcg64::seed_from_u64(options.seed ^ ANNOUNCEMENT_SCHEDULE_SEED);
    let announcements = play_announcements(run.machines.clone(), Rc::clone(&run.record), schedule, end);
    let mut schedules = Vec::new();
    if run.has_slow_calls {
        schedules.extend(slow_calls::start_readers(&run.machines, &run.record, options.seed, end));
    } else if !options.has_restores {
        schedules.push(spawn_local(announcements));
    }
    if options.has_long_requests {
        schedules.extend(pipelined_calls::start_long_callers(&run.machines, &run.record, options.seed, end));
    }
    if let Some(series) = &mut run.stop_series {
        schedules.extend(series.start_standstills(&run.machines, &run.record, end));
    }
    if options.has_outages {
        let schedule = Pcg64::seed_from_u64(options.seed ^ OUTAGE_SCHEDULE_SEED);
        let outages = play_outages(run.machines.clone(), Rc::clone(&run.record), schedule, end);
        schedules.push(spawn_local(outages));
    }
    if options.has_endless_responses {
        let schedule = Pcg64::seed_from_u64(options.seed ^ ENDLESS_SCHEDULE_SEED);
        let faults = endless::play_endless(run.machines.clone(), Rc::clone(&run.record), schedule, end);
        schedules.push(spawn_local(faults));
        schedules.push(spawn_local(watch_memory(run.machines.clone(), Rc::clone(&run.record), end)));
    }
    while Instant::now() < end {
        if options.has_faults {
            run.fault_round().await;
            sleep(SETTLE_PAUSE).await;
        }
        run.planned_work().await?;
    }
    for caller in callers {
        // A caller that failed here has panicked, and its calls are missing from the record.
        caller.await.map_err(io::Error::other)?;
    }
    for schedule in schedules {
        schedule.await.map_err(io::Error::other)?;
    }
    sleep(LAST_CALLS_TIMEOUT).await;
    Ok(run.report(options.has_endless_responses))
}

impl SoakRun {
    async fn start(options: &SoakOptions) -> io::Result<Self> {
        let mut random = Pcg64::seed_from_u64(options.seed);
        let added_schedule = Pcg64::seed_from_u64(options.seed ^ ADDED_SCHEDULE_SEED);
        let drain_schedule = Pcg64::seed_from_u64(options.seed ^ DRAIN_SCHEDULE_SEED);
        let net = SoakNet::draw(&mut Pcg64::from_entropy());
        let store = StandInStore::start().await;
        store.set_page_size(STORE_PAGE_SIZE);
        for name in FOREIGN_NAMES {
            store.write(&format!("servers/{name}"), Some("none"));
        }
        let mut machines = Vec::new();
        let mut links = None;
        for number in 0..SERVICES.len() * options.targets_per_service {
            let addrs = MachineAddrs::new(net, number);
            if let Some(program) = options.links.as_ref().filter(|_| number % LINKS_PER_PROCESS == 0) {
                links = Some(Rc::new(RefCell::new(LinkProcess::start(program)?)));
            }
            let files = (options.program.as_path(), options.folder.as_path());
            let machine = SoakMachine::start(addrs, &store, files, links.as_ref()).await?;
            let machine = Rc::new(machine);
            spawn_local(Rc::clone(&machine).keep_registered());
            machines.push(machine);
        }
        let version = random.gen_range(1..50);
        let has_slow_calls = options.has_slow_calls || options.has_stop_series;
        let mut stop_series = options.has_stop_series.then(|| StopSeries::draw(options.seed));
        let record = Rc::new(RefCell::new(SoakRecord {
            nested_kind: stop_series.as_ref().and_then(StopSeries::nested_kind),
            has_stop_series: options.has_stop_series,
            ..Default::default()
        }));
        for machine in machines.iter().filter(|_| has_slow_calls) {
            match &mut stop_series {
                Some(series) => series.prepare(machine),
                None => slow_calls::slow_down(machine),
            }
        }
        Ok(SoakRun {
            store,
            machines,
            record,
            faults: Vec::new(),
            random,
            added_schedule,
            drain_schedule,
            version,
            has_slow_calls,
            has_long_requests: options.has_long_requests,
            stop_series,
            restores: options.has_restores.then(|| Restores::new(options.seed)),
        })
    }

    /// Writes a configuration that moves the route of [`RouteKind::Moving`](crate::layout::RouteKind::Moving) to
    /// another service.
    pub(crate) fn configure(&mut self) {
        self.version += self.random.gen_range(1..5);
        let current = self.record.borrow().configs.last().map(|config| config.moving);
        let others: Vec<&'static str> = SERVICES.into_iter().filter(|service| Some(*service) != current).collect();
        let moving = others[self.random.gen_range(0..others.len())];
        let number = self.record.borrow().configs.len();
        self.store.write_configuration(&document(self.version, number, moving, self.timeout_s()));
        self.record.borrow_mut().configs.push(ConfigWrite { moving, acked: Instant::now() });
    }

    /// The timeout of all routes in seconds.
    fn timeout_s(&self) -> u32 {
        if self.has_long_requests {
            pipelined_calls::TIMEOUT_S
        } else if self.has_slow_calls {
            slow_calls::TIMEOUT_S
        } else {
            TIMEOUT_S
        }
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        let started = Instant::now();
        for machine in &self.machines {
            while !is_ready(machine).await {
                if started.elapsed() > START_TIMEOUT {
                    return Err(io::Error::other(format!("machine {} did not become ready", machine.addrs.number)));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn start_callers(&mut self, end: Instant) -> Vec<JoinHandle<()>> {
        let mut callers = Vec::new();
        let callers_each = (TOTAL_CALLERS / self.machines.len()).max(1);
        for machine in &self.machines {
            for number in 0..callers_each {
                let random = Pcg64::seed_from_u64(self.random.gen());
                let (machine, record) = (Rc::clone(machine), Rc::clone(&self.record));
                let deadline = if self.has_slow_calls { slow_calls::DEADLINE } else { DEADLINE };
                let crashes_targets = !self.has_slow_calls && self.restores.is_none();
                let reuses_while_draining = number == 0;
                let caller =
                    SoakCaller { machine, number, record, reuses_while_draining, deadline, crashes_targets, random };
                callers.push(spawn_local(caller.call_until(end)));
            }
        }
        callers
    }

    /// Runs a round of faults, which ends when the last of them has been reverted.
    async fn fault_round(&mut self) {
        let end = Instant::now() + FAULT_ROUND_DURATION;
        let mut faults = Vec::new();
        while Instant::now() < end {
            let kind = FaultKind::draw(&mut self.random);
            let index = self.random.gen_range(0..self.machines.len());
            let duration = Duration::from_millis(self.random.gen_range(FAULT_DURATION_MS));
            faults.push(self.start_fault(kind, index, duration));
            if self.added_schedule.gen_bool(ADDED_FAULT_PROBABILITY) {
                let kind = FaultKind::draw_added(&mut self.added_schedule);
                let index = self.added_schedule.gen_range(0..self.machines.len());
                let duration = Duration::from_millis(self.added_schedule.gen_range(FAULT_DURATION_MS));
                faults.push(self.start_fault(kind, index, duration));
            }
            sleep(Duration::from_millis(self.random.gen_range(FAULT_PAUSE_MS))).await;
            self.collect_requests();
        }
        for fault in faults {
            if let Ok(fault_span) = fault.await {
                self.record.borrow_mut().fault_spans.push(fault_span);
            }
        }
        // Overlapping faults may have left a process suspended or down, or a link blocked.
        for machine in &self.machines {
            machine.signal(Signal::CONT);
        }
    }

    fn start_fault(&mut self, kind: FaultKind, index: usize, duration: Duration) -> JoinHandle<FaultSpan> {
        self.faults.push((kind, index));
        let machines = self.machines.clone();
        spawn_local(async move { inject(kind, &machines, index, duration).await })
    }

    /// Adds the requests that the targets have run to the record.
    pub(crate) fn collect_requests(&self) {
        let mut record = self.record.borrow_mut();
        for machine in &self.machines {
            let number = machine.addrs.number;
            let runs: Vec<RunRecord> =
                machine.target.take_started_requests().into_iter().map(|request| run_record(number, request)).collect();
            record.crashes.extend(runs.iter().filter(|run| run.crashes_targets()).map(|run| run.at));
            record.runs.extend(runs);
            record.finished_runs.extend(machine.target.take_finished_runs());
            record.arrivals.extend(machine.target.take_arrivals().into_iter().map(ArrivalRecord::from));
            let calls = machine.target.take_chained_records().into_iter();
            record.nested_calls.extend(calls.map(|call| NestedCall { machine: number, call }));
            let responses = machine.target.take_chained_responses().into_iter();
            record.nested_responses.extend(responses.map(|ChainedResponse { at, responder }| NestedResponse {
                machine: number,
                at,
                responder,
            }));
        }
    }

    fn report(self, has_endless_responses: bool) -> SoakReport {
        self.collect_requests();
        let mut record = self.record.borrow().clone();
        for machine in &self.machines {
            let number = machine.addrs.number;
            record.restarts.extend(machine.restarts().into_iter().map(|at| ProcessRestart { machine: number, at }));
            record.running_peaks.extend(machine.target.running_peak().map(|peak| (number, peak)));
        }
        let mut violations = checks::check_all(&record);
        if has_endless_responses {
            let timeout = Duration::from_secs(u64::from(self.timeout_s()));
            violations.extend(endless::check(&record, timeout));
        }
        SoakReport { record, faults: self.faults, violations }
    }
}

/// Records the peak of the memory of each process until `end`.
async fn watch_memory(machines: Vec<Rc<SoakMachine>>, record: Rc<RefCell<SoakRecord>>, end: Instant) {
    let mut peaks = vec![0; machines.len()];
    while Instant::now() < end {
        for (machine, peak) in machines.iter().zip(&mut peaks) {
            *peak = machine.peak_memory().unwrap_or(0).max(*peak);
        }
        sleep(MEMORY_INTERVAL).await;
    }
    record.borrow_mut().peak_memory = peaks.into_iter().enumerate().collect();
}

fn run_record(machine: usize, request: ReceivedRequest) -> RunRecord {
    let id = request.id().to_owned();
    let caller_service = request.caller_service().to_owned();
    let (tenant, has_key) = (request.header("quillhatch-tenant").to_owned(), !request.header("x-api-key").is_empty());
    let body = String::from_utf8_lossy(&request.body).into_owned();
    RunRecord {
        id,
        machine,
        at: request.started_at,
        request: (request.method, request.path, body),
        caller_service,
        tenant,
        has_key,
    }
}

/// Whether the process of a machine reports that it is ready.
pub(crate) async fn is_ready(machine: &SoakMachine) -> bool {
    let source = machine.addrs.public.into();
    let Some(mut caller) = Caller::connect_from(source, machine.addrs.ready()).await else { return false };
    caller.send("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n").await;
    caller.next_response_within(Duration::from_secs(1)).await.is_some_and(|response| response.status == 200)
}

/// Creates a folder in `parent` for the settings and logs of one soak.
///
/// # Errors
///
/// Returns an error if the folder can't be created.
pub fn make_folder(parent: &Path, seed: u64) -> io::Result<PathBuf> {
    let folder = parent.join(format!("quillhatch-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
