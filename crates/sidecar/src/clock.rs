//! The clock that measures leases, windows and deadlines.
//!
//! A machine may be suspended for seconds while others continue. The monotonic clock of the system does not count that
//! time, so a lease measured with it would last too long. This clock counts it. The runtime's timers don't, so a task
//! that waits until a time on this clock uses [`Clock::timeout_at`], which recomputes the remaining time when the
//! machine resumes.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use quillhatch_types::Timestamp;
use rustix::time::{clock_gettime, ClockId};
use tokio::sync::Notify;

/// The minimum suspension that is detected. Shorter ones can't be distinguished from late timers.
const MIN_SUSPENSION: Duration = Duration::from_millis(150);

/// The clock's time at the start of the process. It is far enough from zero to represent earlier events that other
/// nodes report; events before zero are too old to be used.
const START_TIME: Timestamp = Timestamp::from_millis(60_000);

/// A clock that counts the time for which the machine is suspended.
#[derive(Clone, Debug)]
pub struct Clock(Rc<State>);

#[derive(Debug)]
struct State {
    /// The time from the boot of the machine to the start of the process, including suspensions.
    boot_offset: Duration,
    /// The monotonic clock, without suspensions, at the start of the process.
    monotonic_start: Instant,
    /// The time of day at the start of the process, since the Unix epoch.
    unix_start: Duration,
    /// How far this clock is ahead of the machine's; only tests set it.
    simulated_suspension: Cell<Duration>,
    /// The total time of the detected suspensions.
    detected_suspension: Cell<Duration>,
    resumed: Notify,
}

/// The error of [`Clock::timeout_at`]: the deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlineElapsed;

impl Default for Clock {
    fn default() -> Self {
        Clock(Rc::new(State {
            boot_offset: since_boot(),
            monotonic_start: Instant::now(),
            unix_start: since_epoch(),
            simulated_suspension: Cell::default(),
            detected_suspension: Cell::default(),
            resumed: Notify::new(),
        }))
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

/// The time of day since the Unix epoch; zero if it is set to before that.
fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Clock {
    /// The current time.
    pub fn now(&self) -> Timestamp {
        START_TIME + self.elapsed()
    }

    /// When the process started.
    pub fn started(&self) -> Timestamp {
        START_TIME
    }

    /// The time since the process started.
    pub fn elapsed(&self) -> Duration {
        since_boot().saturating_sub(self.0.boot_offset) + self.0.simulated_suspension.get()
    }

    /// The time of day at `time`, in Unix milliseconds. While the time of day is set back, it is counted from the start
    /// of the process.
    pub fn unix_millis(&self, time: Timestamp) -> u64 {
        let current = since_epoch().max(self.0.unix_start + self.elapsed());
        let then = current.saturating_sub(self.now().since(time));
        u64::try_from(then.as_millis()).unwrap_or(u64::MAX)
    }

    /// Advances this clock but not the runtime's timers, as a suspension of the machine does. For tests.
    pub fn suspend_for(&self, time: Duration) {
        self.0.simulated_suspension.set(self.0.simulated_suspension.get() + time);
    }

    /// Returns how long the machine was suspended since the last call of this method, if it was. Wakes the tasks that
    /// wait for a time on this clock.
    pub fn detect_suspension(&self) -> Option<Duration> {
        let missed = self
            .elapsed()
            .saturating_sub(self.0.monotonic_start.elapsed())
            .saturating_sub(self.0.detected_suspension.get());
        if missed < MIN_SUSPENSION {
            return None;
        }
        self.0.detected_suspension.set(self.0.detected_suspension.get() + missed);
        self.0.resumed.notify_waiters();
        Some(missed)
    }

    /// Waits until a suspension of the machine is detected.
    pub async fn resumed(&self) {
        self.0.resumed.notified().await;
    }

    /// Waits for `future` until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error if the deadline passes first.
    pub async fn timeout_at<F: Future>(&self, deadline: Timestamp, future: F) -> Result<F::Output, DeadlineElapsed> {
        let mut future = pin!(future);
        loop {
            let remaining = self.now().until(deadline);
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                () = tokio::time::sleep(remaining) => return Err(DeadlineElapsed),
                () = self.resumed() => {}
            }
        }
    }
}
