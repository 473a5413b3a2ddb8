//! Planned work in fault-free rounds: changes of the configuration, drains, and restarts of processes.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::target::HealthStatus;
use rand::Rng;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::layout::SERVICES;
use crate::machine::SoakMachine;
use crate::record::{DrainSpan, SoakRecord, StopSpan};
use crate::run::{is_ready, SoakRun, POLL_INTERVAL, START_TIMEOUT};

/// How long a target stays draining or deregistered.
const DRAIN_DURATION: Duration = Duration::from_millis(4500);
/// How long callers continue to use a process after it was asked to stop: until it has failed two readiness probes,
/// which are sent once per second.
const READINESS_DELAY: Duration = Duration::from_millis(2500);
/// The time within which a process must stop.
const STOP_GRACE: Duration = Duration::from_secs(6);
/// The number of configuration changes in a series, each with a signal to all processes, and the range of pauses
/// between them in milliseconds.
const SERIES_LENGTH: usize = 5;
const SERIES_PAUSE_MS: std::ops::Range<u64> = 100..900;
/// The delay of the second of two planned stops after the first; the first takes longer than this.
const SECOND_STOP_DELAY: Duration = Duration::from_millis(1200);
/// The range of the delays of stops that overlap, in milliseconds.
const OVERLAPPING_STOP_DELAY_MS: std::ops::Range<u64> = 0..900;

impl SoakRun {
    /// Does planned work: one change of each kind or a series of overlapping changes, or overlapping stops if calls are
    /// slow, or a restore of the store.
    pub(crate) async fn planned_work(&mut self) -> io::Result<()> {
        if let Some(mut series) = self.stop_series.take() {
            let round = self.stop_series_round(&mut series).await;
            self.stop_series = Some(series);
            round
        } else if let Some(mut restores) = self.restores.take() {
            let round = self.restore_round(&mut restores).await;
            self.restores = Some(restores);
            round
        } else if self.has_slow_calls {
            self.overlapping_stops().await
        } else if self.random.gen() {
            self.one_of_each_kind().await
        } else {
            self.overlapping_series().await
        }
    }

    /// Changes the configuration, drains one target and restarts the process of a machine of another service. The
    /// target is either registered as draining, or deregistered while its health check reports that it is draining.
    async fn one_of_each_kind(&mut self) -> io::Result<()> {
        self.configure();
        let drained = self.random.gen_range(0..self.machines.len());
        let stopped = self.machine_of_another_service(drained);
        let draining = Rc::clone(&self.machines[drained]);
        let (id, process) = (draining.target.id(), draining.target.process());
        if self.drain_schedule.gen() {
            self.store.register(&draining.target, "draining");
        } else {
            draining.target.set_health(HealthStatus::Draining);
            self.store.deregister(&id);
        }
        let acked = Instant::now();
        self.restart_process(stopped).await?;
        sleep(DRAIN_DURATION.saturating_sub(acked.elapsed())).await;
        // A process that has started in the meantime is registered as ready.
        if draining.target.process() == process {
            self.record.borrow_mut().drains.push(DrainSpan { machine: drained, acked, until: Instant::now() });
        }
        draining.target.set_health(HealthStatus::Healthy);
        self.store.register(&draining.target, "ready");
        self.collect_requests();
        sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    /// Changes the configuration in quick succession, signals all processes, and performs two overlapping planned
    /// stops.
    async fn overlapping_series(&mut self) -> io::Result<()> {
        let first = self.random.gen_range(0..self.machines.len());
        let second = self.machine_of_another_service(first);
        let stops = [(first, Duration::ZERO), (second, SECOND_STOP_DELAY)].map(|(number, delay)| {
            let (machine, record) = (Rc::clone(&self.machines[number]), Rc::clone(&self.record));
            spawn_local(async move {
                sleep(delay).await;
                restart_process(&machine, &record).await
            })
        });
        for _ in 0..SERIES_LENGTH {
            self.configure();
            for machine in &self.machines {
                machine.signal(Signal::HUP);
            }
            sleep(Duration::from_millis(self.random.gen_range(SERIES_PAUSE_MS))).await;
        }
        for stop in stops {
            stop.await.map_err(io::Error::other)??;
        }
        self.collect_requests();
        sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    /// Stops half of the processes, one soon after the other, and at most one of two targets of a service.
    async fn overlapping_stops(&mut self) -> io::Result<()> {
        let mut stops = Vec::new();
        for service in 0..SERVICES.len() {
            let targets = self.machines.len() / SERVICES.len();
            for target in 0..targets / 2 {
                let first = self.random.gen_range(0..2);
                let number = service + SERVICES.len() * (2 * target + first);
                let delay = Duration::from_millis(self.random.gen_range(OVERLAPPING_STOP_DELAY_MS));
                let (machine, record) = (Rc::clone(&self.machines[number]), Rc::clone(&self.record));
                stops.push(spawn_local(async move {
                    sleep(delay).await;
                    restart_process(&machine, &record).await
                }));
            }
        }
        for stop in stops {
            stop.await.map_err(io::Error::other)??;
        }
        self.collect_requests();
        sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    /// Draws a machine of another service than that of machine `number`.
    fn machine_of_another_service(&mut self, number: usize) -> usize {
        (number + self.random.gen_range(1..SERVICES.len())) % self.machines.len()
    }

    async fn restart_process(&mut self, number: usize) -> io::Result<()> {
        restart_process(&self.machines[number], &self.record).await
    }
}

/// Asks a process to stop, and restarts it after it has exited.
pub(crate) async fn restart_process(machine: &SoakMachine, record: &RefCell<SoakRecord>) -> io::Result<()> {
    let requested = Instant::now();
    record.borrow_mut().stops.push(StopSpan { machine: machine.addrs.number, requested, grace: STOP_GRACE });
    machine.signal(Signal::TERM);
    sleep(READINESS_DELAY).await;
    machine.accepts_callers.set(false);
    while machine.is_running() && requested.elapsed() < STOP_GRACE {
        sleep(POLL_INTERVAL).await;
    }
    if machine.is_running() {
        machine.signal(Signal::KILL);
    }
    start_after_exit(machine).await?;
    machine.accepts_callers.set(true);
    Ok(())
}

/// Starts a process once the one before has exited, and waits until it is ready.
pub(crate) async fn start_after_exit(machine: &SoakMachine) -> io::Result<()> {
    while machine.is_running() {
        sleep(POLL_INTERVAL).await;
    }
    machine.start_process()?;
    let started = Instant::now();
    while !is_ready(machine).await && started.elapsed() < START_TIMEOUT {
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
