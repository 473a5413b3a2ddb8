//! Targets that send bytes without end, and the checks of what their callers and the processes bear.

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::target::{EndlessPart, EndlessResponse, TargetBehaviour};
use rand::Rng;
use rand_pcg::Pcg64;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::checks::{violation, Guarantee, Violation, SETTLE_TIME};
use crate::machine::SoakMachine;
use crate::record::{CallEnd, CallRecord, FaultSpan, SoakRecord};

/// The range of pauses between two such faults, in milliseconds. They may overlap.
const PAUSE_MS: Range<u64> = 500..4_000;
/// The range of their durations, in milliseconds.
const DURATION_MS: Range<u64> = 500..9_000;
/// The pause between two units of a target that sends slowly.
const SLOW: Duration = Duration::from_millis(50);
/// The probability that health checks are answered so as well.
const HEALTH_PROBABILITY: f64 = 0.3;
/// How long after the timeout of its route a call may still lack its final answer.
const LATE_BOUND: Duration = Duration::from_millis(500);
/// The minimum number of calls without one for a violation.
const MIN_LATE_CALLS: usize = 8;
/// The maximum ratio of these calls to those that outlast the timeout.
const MAX_LATE_RATIO: f64 = 0.25;
/// The memory of a machine.
const MAX_MEMORY_BYTES: u64 = 260 * 1024 * 1024;

/// Makes targets send without end until `end`, one or several at once.
pub async fn play_endless(
    machines: Vec<Rc<SoakMachine>>,
    record: Rc<RefCell<SoakRecord>>,
    mut random: Pcg64,
    end: Instant,
) {
    let mut faults = Vec::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(random.gen_range(PAUSE_MS))).await;
        let machine = Rc::clone(&machines[random.gen_range(0..machines.len())]);
        let part = EndlessPart::ALL[random.gen_range(0..EndlessPart::ALL.len())];
        let pause = if random.gen_bool(0.5) { Duration::ZERO } else { SLOW };
        let affects_health = random.gen_bool(HEALTH_PROBABILITY);
        let duration = Duration::from_millis(random.gen_range(DURATION_MS));
        let response = EndlessResponse { part, pause };
        faults.push(spawn_local(send_without_end(machine, Rc::clone(&record), response, affects_health, duration)));
    }
    for fault in faults {
        // A fault that failed here has panicked, and its span is missing from the record.
        let _ = fault.await;
    }
}

async fn send_without_end(
    machine: Rc<SoakMachine>,
    record: Rc<RefCell<SoakRecord>>,
    response: EndlessResponse,
    affects_health: bool,
    duration: Duration,
) {
    let from = Instant::now();
    machine.target.set_behaviour(TargetBehaviour::Endless(response));
    machine.target.set_endless_health_checks(affects_health.then_some(response));
    sleep(duration).await;
    machine.reset_target_behaviour();
    machine.target.set_endless_health_checks(None);
    let span = FaultSpan { machine: Some(machine.addrs.number), from, until: Instant::now() };
    record.borrow_mut().endless_spans.push(span);
    record.borrow_mut().fault_spans.push(span);
}

/// Finds out whether calls went without a final answer after the timeout of their routes while targets sent without end,
/// and whether processes exceeded the memory of a machine.
pub fn check(record: &SoakRecord, timeout: Duration) -> Vec<Violation> {
    let mut found = Vec::new();
    let took = |call: &CallRecord| call.ended - call.sent;
    // A machine that another fault strikes can't keep to a time.
    let is_endless = |span: &FaultSpan| record.endless_spans.iter().any(|endless| endless.from == span.from);
    let others: Vec<&FaultSpan> = record.fault_spans.iter().filter(|span| !is_endless(span)).collect();
    let is_in_touch = |call: &&CallRecord| {
        !others.iter().any(|span| span.from <= call.ended && span.until + SETTLE_TIME >= call.sent)
    };
    let outlasting: Vec<&CallRecord> =
        record.calls.iter().filter(|call| took(call) > timeout).filter(is_in_touch).collect();
    let is_late = |call: &&&CallRecord| took(call) > timeout + LATE_BOUND || call.end == CallEnd::Silent;
    let late: Vec<&&CallRecord> = outlasting.iter().filter(is_late).collect();
    if late.len() >= MIN_LATE_CALLS && late.len() as f64 > MAX_LATE_RATIO * outlasting.len() as f64 {
        let CallRecord { id, machine, .. } = late[0];
        let description = format!(
            "{} of {} calls that outlast the timeout had no final answer {LATE_BOUND:?} later; the first: {id} at machine {machine}, {:?}",
            late.len(), outlasting.len(), took(late[0])
        );
        found.push(violation(Guarantee::FinalAnswer, description));
    }
    for (machine, bytes) in record.peak_memory.iter().filter(|(_, bytes)| *bytes > MAX_MEMORY_BYTES) {
        let description = format!("machine {machine} used {} MiB", bytes / 1024 / 1024);
        found.push(violation(Guarantee::Memory, description));
    }
    found
}
