//! Calls that are slow while processes stop: targets that make several slow calls in a row, and callers that read large
//! responses slowly and send further requests behind them.

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::target::TargetBehaviour;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::layout::RouteKind;
use crate::machine::SoakMachine;
use crate::pipelined_calls::{PipelinedRequest, PipeliningCaller};
use crate::record::SoakRecord;

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
        let (machine, record) = (Rc::clone(machine), Rc::clone(record));
        let caller = PipeliningCaller { machine, record, deadline: DEADLINE };
        spawn_local(SlowReader { caller, random }.read_until(end))
    };
    machines.iter().map(start).collect()
}

/// A caller that reads large responses slowly. It sends further requests on its connection also while the process of its
/// machine is stopping.
struct SlowReader {
    caller: PipeliningCaller,
    random: Pcg64,
}

impl SlowReader {
    async fn read_until(mut self, end: Instant) {
        for count in 0_u64.. {
            if Instant::now() >= end {
                return;
            }
            if self.caller.machine.accepts_callers.get() {
                self.read_one(count).await;
            }
            sleep(Duration::from_millis(self.random.gen_range(PAUSE_MS))).await;
        }
    }

    /// Sends a large request and, while its response is read, further ones behind it.
    async fn read_one(&mut self, count: u64) {
        let number = self.caller.machine.addrs.number;
        let behind_count = self.random.gen_range(0..=MAX_REQUESTS_BEHIND);
        let mut requests = vec![PipelinedRequest {
            kind: RouteKind::Large,
            id: format!("reader-{number}-{count}"),
            work: None,
            delay: Duration::ZERO,
        }];
        requests.extend((0..behind_count).map(|behind| PipelinedRequest {
            id: format!("reader-{number}-{count}-behind-{behind}"),
            kind: RouteKind::Read,
            delay: BEHIND_DELAY * (behind as u32 + 1),
            work: None,
        }));
        let read_rate = self.random.gen_range(READ_RATES);
        self.caller.exchange(requests, Some(read_rate)).await;
    }
}
