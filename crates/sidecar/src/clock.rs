//! The clock by which leases, windows and deadlines are counted.
//!
//! A machine may be suspended for seconds while others go on. The steady clock of the system does not count that time, so a lease measured
//! with it would last too long. This clock counts it. Timers of the runtime do not; what waits until a moment on this clock waits with
//! [`Clock::timeout_at`] and looks again when the machine wakes.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quillhatch_types::Timestamp;
use rustix::time::{clock_gettime, ClockId};
use tokio::sync::Notify;

/// A suspension that is noticed. Shorter ones are within what timers may be late.
const SHORTEST_SUSPENSION: Duration = Duration::from_millis(150);

/// What the clock shows when the process starts: far enough from zero for what others tell of the time before. What happened longer ago is too
/// old to be used.
const STARTED: Timestamp = Timestamp::from_millis(60_000);

/// A clock that counts the time for which the machine is suspended.
#[derive(Clone, Debug)]
pub struct Clock(Rc<State>);

#[derive(Debug)]
struct State {
    /// The time since the machine started, suspensions included, at the start of the process.
    booted: Duration,
    /// The steady clock at that moment.
    steady: Instant,
    /// By how much this clock is set ahead of the machine's; only tests do so.
    ahead: Cell<Duration>,
    /// The time for which the machine was suspended, as far as it was noticed.
    suspended: Cell<Duration>,
    resumed: Notify,
}

/// The time of a call is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlineElapsed;

impl Default for Clock {
    fn default() -> Self {
        Clock(Rc::new(State {
            booted: since_boot(),
            steady: Instant::now(),
            ahead: Cell::default(),
            suspended: Cell::default(),
            resumed: Notify::new(),
        }))
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Timestamp {
        STARTED + self.elapsed()
    }

    /// When the process started.
    pub fn started(&self) -> Timestamp {
        STARTED
    }

    /// The time since the process started.
    pub fn elapsed(&self) -> Duration {
        since_boot().saturating_sub(self.0.booted) + self.0.ahead.get()
    }

    /// Sets this clock ahead and not the runtime's, as a suspension of the machine does.
    pub fn suspend_for(&self, time: Duration) {
        self.0.ahead.set(self.0.ahead.get() + time);
    }

    /// For how long the machine was suspended since this was asked last, if at all. Wakes whoever waits for a moment on this clock.
    pub fn detect_suspension(&self) -> Option<Duration> {
        let missed = self.elapsed().saturating_sub(self.0.steady.elapsed()).saturating_sub(self.0.suspended.get());
        if missed < SHORTEST_SUSPENSION {
            return None;
        }
        self.0.suspended.set(self.0.suspended.get() + missed);
        self.0.resumed.notify_waiters();
        Some(missed)
    }

    /// Ends when it is noticed that the machine was suspended.
    pub async fn resumed(&self) {
        self.0.resumed.notified().await;
    }

    /// Waits for `future` until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error if the deadline comes first.
    pub async fn timeout_at<F: Future>(&self, deadline: Timestamp, future: F) -> Result<F::Output, DeadlineElapsed> {
        let mut future = pin!(future);
        loop {
            let left = self.now().until(deadline);
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                () = tokio::time::sleep(left) => return Err(DeadlineElapsed),
                () = self.resumed() => {}
            }
        }
    }
}
