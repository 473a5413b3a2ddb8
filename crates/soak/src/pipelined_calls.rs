//! Requests that a caller sends behind others on one connection, and callers that send some behind long ones.

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::caller::{request, Caller};
use quillhatch_platform_standins::target::{large_response_body, WORK_HEADER};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use crate::layout::{RouteKind, HOST};
use crate::machine::SoakMachine;
use crate::record::{CallEnd, CallRecord, SoakRecord};
use crate::target_status::ResponderStatus;
use crate::tenancy::SoakKey;

/// The timeout of all routes in seconds where long requests are sent, and the deadline that is sent with these.
pub const TIMEOUT_S: u32 = 10;
const LONG_DEADLINE: Duration = Duration::from_secs(TIMEOUT_S as u64);
/// How much longer than the deadline a caller waits for a response.
const RESPONSE_ALLOWANCE: Duration = Duration::from_secs(1);
/// Combined with the soak's seed for the schedule of callers that send long requests.
const SCHEDULE_SEED: u64 = 0xb1ad;
/// The ranges of the times that targets work on long requests and on those behind them, in milliseconds.
const LONG_WORK_MS: Range<u64> = 300..9_500;
const SHORT_WORK_MS: Range<u64> = 10..150;
/// The range of the number of requests behind a long one, and of the delays between two of them in milliseconds.
const BEHIND_COUNT: Range<usize> = 1..6;
const BEHIND_DELAY_MS: Range<u64> = 5..250;
/// The probability that a request behind a long one is a long one too.
const SECOND_LONG_PROBABILITY: f64 = 0.1;
/// The range of pauses between two connections, in milliseconds.
const PAUSE_MS: Range<u64> = 20..200;

/// A request on a connection with others.
pub(crate) struct PipelinedRequest {
    pub(crate) kind: RouteKind,
    pub(crate) id: String,
    /// When it is sent, from the first request on.
    pub(crate) delay: Duration,
    /// How long its target works on it, if that is not as usual.
    pub(crate) work: Option<Duration>,
}

impl PipelinedRequest {
    fn text(&self, deadline: Duration) -> String {
        let PipelinedRequest { kind, id, .. } = self;
        let text = request(kind.method(), HOST, kind.path(), id, deadline.as_millis() as u64, kind.body());
        let work = self.work.map_or_else(String::new, |work| format!("{WORK_HEADER}: {}\r\n", work.as_millis()));
        let headers = format!("\r\nX-Api-Key: {}\r\n{work}\r\n", SoakKey::Steady.text());
        text.replacen("\r\n\r\n", &headers, 1)
    }
}

/// A caller that sends several requests on each of its connections.
pub(crate) struct PipeliningCaller {
    pub(crate) machine: Rc<SoakMachine>,
    pub(crate) record: Rc<RefCell<SoakRecord>>,
    pub(crate) deadline: Duration,
}

impl PipeliningCaller {
    /// Sends `requests` on a new connection, also while the process of the machine is stopping, and records how each ends.
    /// With `read_rate`, it reads no more than so many bytes per second.
    pub(crate) async fn exchange(&self, requests: Vec<PipelinedRequest>, read_rate: Option<f64>) {
        let addrs = self.machine.addrs;
        let Some(mut caller) = Caller::connect_from(addrs.public.into(), addrs.outbound()).await else { return };
        let begin = Instant::now();
        for request in &requests {
            caller.send_while_reading(request.delay, request.text(self.deadline));
        }
        if let Some(rate) = read_rate {
            caller.limit_read_rate(rate);
        }
        let mut is_closed = false;
        for request in requests {
            let sent = begin + request.delay;
            if is_closed {
                self.record_call(request, sent, CallEnd::Unread);
                continue;
            }
            let time_left = (sent + self.deadline + RESPONSE_ALLOWANCE).saturating_duration_since(Instant::now());
            let Some(response) = caller.next_response_within(time_left).await else {
                let end = if Instant::now() >= sent + self.deadline { CallEnd::Silent } else { CallEnd::Cut };
                self.record_call(request, sent, end);
                is_closed = true;
                continue;
            };
            let is_own = match request.kind {
                RouteKind::Large => response.is_own_with_body(&request.id, &large_response_body(&request.id)),
                _ => response.is_own(&request.id),
            };
            is_closed = response.header("connection").eq_ignore_ascii_case("close");
            let (status, is_signed) = (response.status, response.is_signed());
            self.record_call(request, sent, CallEnd::Answered { status, is_own, is_signed });
        }
    }

    fn record_call(&self, request: PipelinedRequest, sent: Instant, end: CallEnd) {
        let PipelinedRequest { kind, id, .. } = request;
        let call = CallRecord {
            id,
            kind,
            key: SoakKey::Steady,
            machine: self.machine.addrs.number,
            sent,
            ended: Instant::now(),
            deadline: self.deadline,
            end,
            responder: ResponderStatus::default(),
        };
        self.record.borrow_mut().calls.push(call);
    }
}

/// Starts a caller at each machine that sends long requests, with others behind them.
pub(crate) fn start_long_callers(
    machines: &[Rc<SoakMachine>],
    record: &Rc<RefCell<SoakRecord>>,
    seed: u64,
    end: Instant,
) -> Vec<JoinHandle<()>> {
    let mut schedule = Pcg64::seed_from_u64(seed ^ SCHEDULE_SEED);
    let start = |machine: &Rc<SoakMachine>| {
        let random = Pcg64::seed_from_u64(schedule.gen());
        let (machine, record) = (Rc::clone(machine), Rc::clone(record));
        let caller = PipeliningCaller { machine, record, deadline: LONG_DEADLINE };
        spawn_local(send_long_until(caller, random, end))
    };
    machines.iter().map(start).collect()
}

async fn send_long_until(caller: PipeliningCaller, mut random: Pcg64, end: Instant) {
    for count in 0_u64.. {
        if Instant::now() >= end {
            return;
        }
        if caller.machine.accepts_callers.get() {
            let requests = draw_requests(&mut random, &format!("long-{}-{count}", caller.machine.addrs.number));
            caller.exchange(requests, None).await;
        }
        sleep(Duration::from_millis(random.gen_range(PAUSE_MS))).await;
    }
}

/// Draws a long request and those behind it.
fn draw_requests(random: &mut Pcg64, name: &str) -> Vec<PipelinedRequest> {
    let mut delay = Duration::ZERO;
    let behind = random.gen_range(BEHIND_COUNT);
    let mut requests = Vec::new();
    for index in 0..=behind {
        let is_long = index == 0 || random.gen_bool(SECOND_LONG_PROBABILITY);
        let work = random.gen_range(if is_long { LONG_WORK_MS } else { SHORT_WORK_MS });
        let work = Some(Duration::from_millis(work));
        requests.push(PipelinedRequest { kind: RouteKind::Read, id: format!("{name}-{index}"), delay, work });
        delay += Duration::from_millis(random.gen_range(BEHIND_DELAY_MS));
    }
    requests
}
