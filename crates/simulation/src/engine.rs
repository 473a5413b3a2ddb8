//! The virtual clock: runs a world on `nexosim`'s discrete-event queue.
//!
//! `nexosim` orders the points in time at which something happens; all events of one point are kept here in the order in
//! which they were scheduled. One event of `nexosim` costs several times what a call in the world costs, so the clock
//! advances in steps of [`RESOLUTION`], and the events of one step share one event of `nexosim`.

use std::collections::HashMap;
use std::time::Duration;

use nexosim::model::{Context, Model};
use nexosim::simulation::{ExecutionError, Mailbox, SimInit, SimulationError};
use nexosim::time::MonotonicTime;

/// Virtual time in microseconds since the start of the run.
pub type Instant = u64;

/// The step of the virtual clock, in microseconds.
pub const RESOLUTION: Instant = 50;

/// Events to come.
pub struct Agenda<E> {
    now: Instant,
    batches: HashMap<Instant, Vec<E>>,
    new_points: Vec<Instant>,
    spare: Vec<Vec<E>>,
    handled: u64,
}

impl<E> Agenda<E> {
    fn new() -> Self {
        Agenda { now: 0, batches: HashMap::new(), new_points: Vec::new(), spare: Vec::new(), handled: 0 }
    }

    /// The present virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Schedules `event` at `time`, rounded up to the clock's step, and at least one step from now.
    pub fn at(&mut self, time: Instant, event: E) {
        let earliest = self.now + RESOLUTION;
        let point = time.max(earliest).div_ceil(RESOLUTION) * RESOLUTION;
        let spare = &mut self.spare;
        let new_points = &mut self.new_points;
        let batch = self.batches.entry(point).or_insert_with(|| {
            new_points.push(point);
            spare.pop().unwrap_or_default()
        });
        batch.push(event);
    }

    /// Schedules `event` after `delay` microseconds.
    pub fn after(&mut self, delay: Instant, event: E) {
        self.at(self.now + delay, event);
    }
}

/// A world that reacts to events.
pub trait Reactor: Send + 'static {
    /// What can happen.
    type Event: Send + 'static;

    /// Handles `event` and schedules what follows from it.
    fn handle(&mut self, event: Self::Event, agenda: &mut Agenda<Self::Event>);
}

struct Clocked<R: Reactor> {
    reactor: Option<R>,
    agenda: Agenda<R::Event>,
}

impl<R: Reactor> Model for Clocked<R> {}

impl<R: Reactor> Clocked<R> {
    fn advance(&mut self, point: Instant, context: &mut Context<Self>) {
        self.agenda.now = point;
        let Some(mut batch) = self.agenda.batches.remove(&point) else { return };
        if let Some(reactor) = self.reactor.as_mut() {
            self.agenda.handled += batch.len() as u64;
            for event in batch.drain(..) {
                reactor.handle(event, &mut self.agenda);
            }
        }
        self.agenda.spare.push(batch);
        for point in self.agenda.new_points.drain(..) {
            let deadline = MonotonicTime::EPOCH + Duration::from_micros(point);
            // A deadline in the past is the only error, and `Agenda::at` never gives one.
            let _ = context.schedule_event(deadline, Self::advance, point);
        }
    }

    fn take(&mut self) -> (Option<R>, u64) {
        (self.reactor.take(), self.agenda.handled)
    }
}

/// Runs `reactor` from the events that `start` schedules until virtual time `end`; returns it with the number of events.
///
/// # Errors
///
/// Returns the error of `nexosim` if the simulation could not be run, for instance because the world panicked.
pub fn run<R: Reactor>(
    mut reactor: R,
    start: impl FnOnce(&mut R, &mut Agenda<R::Event>),
    end: Instant,
) -> Result<(R, u64), SimulationError> {
    let mut agenda = Agenda::new();
    start(&mut reactor, &mut agenda);
    let first_points = std::mem::take(&mut agenda.new_points);

    let mailbox = Mailbox::new();
    let address = mailbox.address();
    let clocked = Clocked { reactor: Some(reactor), agenda };
    let (mut simulation, scheduler) =
        SimInit::with_num_threads(1).add_model(clocked, mailbox, "world").init(MonotonicTime::EPOCH)?;
    for point in first_points {
        let deadline = MonotonicTime::EPOCH + Duration::from_micros(point);
        let _ = scheduler.schedule_event(deadline, Clocked::advance, point, &address);
    }
    simulation.step_until(Duration::from_micros(end))?;
    let (reactor, handled) = simulation.process_query(
        |clocked: &mut Clocked<R>, ()| {
            let taken = clocked.take();
            std::future::ready(taken)
        },
        (),
        &address,
    )?;
    let reactor = reactor.ok_or(ExecutionError::Terminated)?;
    Ok((reactor, handled))
}
