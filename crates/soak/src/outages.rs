//! Long outages of the store in which targets restart unseen, under their identities, and announce limits and drains.

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::store::StoreMode;
use quillhatch_platform_standins::target::TargetBehaviour;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::layout::SERVICES;
use crate::machine::SoakMachine;
use crate::record::{FaultSpan, SoakRecord};
use crate::target_status::announce_limits;

/// The range of the durations of an outage, in milliseconds.
const OUTAGE_MS: Range<u64> = 12_000..14_000;
/// The range of pauses between two outages, in milliseconds.
const PAUSE_MS: Range<u64> = 3_000..8_000;
/// The range of the delays after which a machine loses or regains access, in milliseconds.
const ACCESS_SPREAD_MS: Range<u64> = 0..1_500;
/// The range of times for which a machine's access fails in one way, in milliseconds.
const FAILURE_MS: Range<u64> = 300..4_000;
/// The range of times for which a machine has access during an outage, in milliseconds.
const FLAP_MS: Range<u64> = 30..500;
/// The probability that a machine has access for a moment between two failures.
const FLAP_PROBABILITY: f64 = 0.3;
/// The probability that an outage spares one machine.
const SPARED_PROBABILITY: f64 = 0.3;
/// The ways in which the store fails.
const FAILURES: [StoreMode; 4] =
    [StoreMode::Status(503), StoreMode::Status(429), StoreMode::Reset, StoreMode::Unresponsive];

/// The probability that a target of a service restarts unseen in an outage.
const RESTART_PROBABILITY: f64 = 0.8;
/// The range of times for which a restarting target refuses connections, in milliseconds.
const DOWNTIME_MS: Range<u64> = 0..1_500;
/// The range of times after its restart at which a target announces a drain or a limit, in milliseconds.
const ANNOUNCEMENT_DELAY_MS: Range<u64> = 0..2_500;
/// The range of times after the outage for which it keeps announcing that, in milliseconds.
const ANNOUNCEMENT_REST_MS: Range<u64> = 3_000..9_000;
/// The range of rate limits in requests per second.
const RATE_LIMITS: Range<f64> = 1.0..15.0;
/// The range of times for which its registration is missing, in milliseconds.
const LAPSE_MS: Range<u64> = 500..8_000;
/// The range of times for which the process beside it is suspended or down, in milliseconds.
const INTERRUPTION_MS: Range<u64> = 500..4_000;
/// The range of the times that a slow target works on a request, in milliseconds.
const SLOW_MS: Range<u64> = 200..1_200;

/// Plays outages of the store until `end`.
pub async fn play_outages(
    machines: Vec<Rc<SoakMachine>>,
    record: Rc<RefCell<SoakRecord>>,
    mut random: Pcg64,
    end: Instant,
) {
    while Instant::now() < end {
        sleep(draw_ms(&mut random, PAUSE_MS)).await;
        let from = Instant::now();
        let until = from + draw_ms(&mut random, OUTAGE_MS);
        let spared = random.gen_bool(SPARED_PROBABILITY).then(|| random.gen_range(0..machines.len()));
        let mut tasks = Vec::new();
        for machine in &machines {
            let schedule = Pcg64::seed_from_u64(random.gen());
            if Some(machine.addrs.number) != spared {
                tasks.push(spawn_local(lose_access(Rc::clone(machine), schedule, until)));
            }
        }
        for service in 0..SERVICES.len() {
            let of_service = random.gen_range(0..machines.len() / SERVICES.len());
            let machine = Rc::clone(&machines[service + of_service * SERVICES.len()]);
            let schedule = Pcg64::seed_from_u64(random.gen());
            if random.gen_bool(RESTART_PROBABILITY) {
                tasks.push(spawn_local(restart_and_announce(machine, Rc::clone(&record), schedule, until)));
            }
        }
        for task in tasks {
            // A task that failed here has panicked, which the missing faults would hide.
            task.await.expect("the schedule of an outage ends");
        }
        record.borrow_mut().fault_spans.push(FaultSpan { machine: None, from, until: Instant::now() });
    }
}

fn draw_ms(random: &mut impl Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(random.gen_range(range))
}

/// Lets the store fail for one machine until `until`, in changing ways and with moments of access.
async fn lose_access(machine: Rc<SoakMachine>, mut random: Pcg64, until: Instant) {
    sleep(draw_ms(&mut random, ACCESS_SPREAD_MS)).await;
    while Instant::now() < until {
        machine.store.set_mode(FAILURES[random.gen_range(0..FAILURES.len())]);
        let failure = draw_ms(&mut random, FAILURE_MS);
        sleep(failure.min(until.saturating_duration_since(Instant::now()))).await;
        if random.gen_bool(FLAP_PROBABILITY) {
            machine.store.set_mode(StoreMode::Normal);
            sleep(draw_ms(&mut random, FLAP_MS)).await;
        }
    }
    sleep(draw_ms(&mut random, ACCESS_SPREAD_MS)).await;
    machine.store.set_mode(StoreMode::Normal);
}

/// Lets a target restart under its identity some time before `until`, and lets its new process announce a drain or a
/// limit until some time after it. Meanwhile its registration may lapse, and the process beside it may be interrupted.
async fn restart_and_announce(
    machine: Rc<SoakMachine>,
    record: Rc<RefCell<SoakRecord>>,
    mut random: Pcg64,
    until: Instant,
) {
    let outage = until.saturating_duration_since(Instant::now());
    sleep(outage.mul_f64(random.gen_range(0.05..0.7))).await;
    if machine.is_announcing.replace(true) {
        return;
    }
    let before = machine.target.process();
    let downtime = draw_ms(&mut random, DOWNTIME_MS);
    machine.target.restart_after(downtime, true);
    sleep(downtime + draw_ms(&mut random, ANNOUNCEMENT_DELAY_MS)).await;
    if machine.target.process() != before {
        let duration = until.saturating_duration_since(Instant::now()) + draw_ms(&mut random, ANNOUNCEMENT_REST_MS);
        machine.target.set_health_shows_status(random.gen());
        let side = spawn_local(disturb(Rc::clone(&machine), Pcg64::seed_from_u64(random.gen()), duration));
        if random.gen() {
            leave(&machine, &mut random, duration).await;
        } else {
            let limit = (random.gen_range(RATE_LIMITS) * 10.0).round() / 10.0;
            let spans = announce_limits(&machine, &[limit], duration).await;
            record.borrow_mut().rate_limits.extend(spans);
        }
        side.await.expect("the schedule of disturbances ends");
        machine.target.set_health_shows_status(true);
    }
    machine.is_announcing.set(false);
}

/// Lets a target announce a drain, then end and start again with the same identity or another one.
async fn leave(machine: &SoakMachine, random: &mut Pcg64, duration: Duration) {
    let process = machine.target.process();
    machine.target.set_leaving(true);
    sleep(duration).await;
    if machine.target.process() != process {
        // It has crashed in the meantime, which ended the drain.
        return;
    }
    machine.target.restart_after(draw_ms(random, DOWNTIME_MS), random.gen());
}

/// Disturbs the machine of a target that announces something, in one of several ways, within `duration`.
async fn disturb(machine: Rc<SoakMachine>, mut random: Pcg64, duration: Duration) {
    sleep(duration.mul_f64(random.gen_range(0.1..0.8))).await;
    match random.gen_range(0..5) {
        0 => {
            let id = machine.target.id();
            machine.store.deregister(&id);
            sleep(draw_ms(&mut random, LAPSE_MS)).await;
            if machine.target.id() == id {
                machine.store.register(&machine.target, "ready");
            }
        }
        1 => {
            machine.signal(Signal::KILL);
            sleep(draw_ms(&mut random, INTERRUPTION_MS)).await;
            machine.start_process().expect("a program that started before starts again");
        }
        2 => {
            machine.signal(Signal::STOP);
            sleep(draw_ms(&mut random, INTERRUPTION_MS)).await;
            machine.signal(Signal::CONT);
        }
        3 => {
            machine.target.set_behaviour(TargetBehaviour::Slow(draw_ms(&mut random, SLOW_MS)));
            sleep(draw_ms(&mut random, INTERRUPTION_MS)).await;
            machine.reset_target_behaviour();
        }
        _ => {}
    }
}
