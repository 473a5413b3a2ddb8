//! Calls that are slow while processes stop: targets that make several slow calls in a row, and callers that read large
//! responses slowly and send further requests behind them.

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::caller::{request, Caller};
use quillhatch_platform_standins::target::{large_response_body, TargetBehaviour};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::layout::{RouteKind, HOST};
use crate::machine::SoakMachine;
use crate::record::{CallEnd, CallRecord, SoakRecord};
use crate::target_status::ResponderStatus;
use crate::tenancy::SoakKey;

/// The timeout of all routes in seconds.
pub const TIMEOUT_S: u32 = 6;
/// The deadline that callers send with a request.
pub const DEADLINE: Duration = Duration::from_secs(6);
/// The maximum number of calls that a target makes for one request.
pub const MAX_CHAINED_CALLS: usize = 6;
/// The service whose targets receive nested calls.
const CALLED_SERVICE: &str = "beta";
/// The range of the times that such a target works on a request.
const WORK_TIME: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(500));
/// Combined with the soak's seed for the schedule of slow readers.
const READER_SCHEDULE_SEED: u64 = 0x51ed;
/// The range of the rates at which a large response is read, in bytes per second.
const READ_RATES: Range<f64> = 200_000.0..800_000.0;
/// The maximum number of requests that are sent behind a large one, and the delay of each after the one before.
const MAX_REQUESTS_BEHIND: usize = 3;
const BEHIND_DELAY: Duration = Duration::from_millis(300);
/// The range of pauses of a reader, in milliseconds.
const PAUSE_MS: Range<u64> = 50..400;
/// How much longer than the deadline a reader waits for the end of a response.
const RESPONSE_ALLOWANCE: Duration = Duration::from_secs(1);

/// Makes the target of a machine make several calls in a row, and those that receive these calls slow.
pub fn slow_down(machine: &SoakMachine) {
    machine.target.set_chained_count(MAX_CHAINED_CALLS);
    if machine.addrs.service() == CALLED_SERVICE {
        machine.normal_behaviour.set(TargetBehaviour::SlowUntilDeadline(WORK_TIME.0, WORK_TIME.1));
        machine.reset_target_behaviour();
    }
}

/// Starts a slow reader at each machine.
pub fn start_readers(
    machines: &[Rc<SoakMachine>],
    record: &Rc<RefCell<SoakRecord>>,
    seed: u64,
    end: Instant,
) -> Vec<JoinHandle<()>> {
    let mut schedule = Pcg64::seed_from_u64(seed ^ READER_SCHEDULE_SEED);
    let start = |machine: &Rc<SoakMachine>| {
        let random = Pcg64::seed_from_u64(schedule.gen());
        let reader = SlowReader { machine: Rc::clone(machine), record: Rc::clone(record), random };
        spawn_local(reader.read_until(end))
    };
    machines.iter().map(start).collect()
}

/// A caller that reads large responses slowly. It sends further requests on its connection also while the process of its
/// machine is stopping.
struct SlowReader {
    machine: Rc<SoakMachine>,
    record: Rc<RefCell<SoakRecord>>,
    random: Pcg64,
}

impl SlowReader {
    async fn read_until(mut self, end: Instant) {
        for count in 0_u64.. {
            if Instant::now() >= end {
                return;
            }
            if self.machine.accepts_callers.get() {
                self.read_one(count).await;
            }
            sleep(Duration::from_millis(self.random.gen_range(PAUSE_MS))).await;
        }
    }

    /// Sends a large request and, while its response is read, further ones behind it.
    async fn read_one(&mut self, count: u64) {
        let addrs = self.machine.addrs;
        let id = |name: &str| format!("reader-{}-{count}{name}", addrs.number);
        let Some(mut caller) = Caller::connect_from(addrs.public.into(), addrs.outbound()).await else { return };
        let mut requests = vec![(RouteKind::Large, id(""))];
        let behind_count = self.random.gen_range(0..=MAX_REQUESTS_BEHIND);
        requests.extend((0..behind_count).map(|number| (RouteKind::Read, id(&format!("-behind-{number}")))));
        let sent = Instant::now();
        for (index, (kind, id)) in requests.iter().enumerate() {
            let deadline = DEADLINE.as_millis() as u64;
            let text = request(kind.method(), HOST, kind.path(), id, deadline, kind.body());
            let text = text.replacen("\r\n\r\n", &format!("\r\nX-Api-Key: {}\r\n\r\n", SoakKey::Steady.text()), 1);
            caller.send_while_reading(BEHIND_DELAY * index as u32, text);
        }
        caller.limit_read_rate(self.random.gen_range(READ_RATES));
        let mut is_closed = false;
        for (index, (kind, id)) in requests.into_iter().enumerate() {
            let sent = sent + BEHIND_DELAY * index as u32;
            let time_left = (sent + DEADLINE + RESPONSE_ALLOWANCE).saturating_duration_since(Instant::now());
            if is_closed {
                self.record_call(kind, id, sent, CallEnd::Unread);
                continue;
            }
            let response = caller.next_response_within(time_left).await;
            let Some(response) = response else {
                let end = if Instant::now() >= sent + DEADLINE { CallEnd::Silent } else { CallEnd::Cut };
                self.record_call(kind, id, sent, end);
                is_closed = true;
                continue;
            };
            let is_own = match kind {
                RouteKind::Large => response.is_own_with_body(&id, &large_response_body(&id)),
                _ => response.is_own(&id),
            };
            is_closed = response.header("connection").eq_ignore_ascii_case("close");
            self.record_call(
                kind,
                id,
                sent,
                CallEnd::Answered { status: response.status, is_own, is_signed: response.is_signed() },
            );
        }
    }

    fn record_call(&self, kind: RouteKind, id: String, sent: Instant, end: CallEnd) {
        let (machine, responder) = (self.machine.addrs.number, ResponderStatus::default());
        let call = CallRecord { id, kind, key: SoakKey::Steady, machine, sent, ended: Instant::now(), end, responder };
        self.record.borrow_mut().calls.push(call);
    }
}
