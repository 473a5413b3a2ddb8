//! Log lines on standard output: one JSON object each, bounded in rate, written by a thread of their own.
//!
//! A line that finds the queue full, or the rate of its kind used up, is dropped and counted; nothing waits for the output.

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

use log::{LevelFilter, SetLoggerError};

/// Lines that wait for the output at most.
const QUEUE_LINES: usize = 2048;
/// How long the writing thread gathers lines before it writes them together.
const GATHER: Duration = Duration::from_millis(200);

/// The state of the log: what was dropped, and what still waits to be written.
#[derive(Clone, Debug, Default)]
pub struct LogState(Arc<LogCounts>);

#[derive(Debug, Default)]
struct LogCounts {
    dropped: AtomicU64,
    queued: AtomicU64,
    written: AtomicU64,
    at_once: AtomicBool,
}

impl LogState {
    /// The number of dropped lines.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    /// Has what waits written without gathering more, from now on.
    pub fn flush_without_delay(&self) {
        self.0.at_once.store(true, Ordering::Relaxed);
    }

    /// Whether every line that was taken is written.
    pub fn is_written(&self) -> bool {
        self.0.written.load(Ordering::Relaxed) >= self.0.queued.load(Ordering::Relaxed)
    }
}

/// Sets up logging for the process; the message of a record is one JSON object.
///
/// # Errors
///
/// Returns an error if the process has a logger already.
pub fn set_up() -> Result<LogState, SetLoggerError> {
    let state = LogState::default();
    let (sender, receiver) = sync_channel::<String>(QUEUE_LINES);
    let writing = state.clone();
    std::thread::spawn(move || write_lines(&receiver, &writing.0));
    let counts = state.clone();
    let output = fern::Output::call(move |record| {
        let counter = match sender.try_send(record.args().to_string()) {
            Ok(()) => &counts.0.queued,
            Err(_) => &counts.0.dropped,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    });
    fern::Dispatch::new()
        .level(LevelFilter::Off)
        .level_for("quillhatch_sidecar", LevelFilter::Info)
        .chain(output)
        .apply()?;
    Ok(state)
}

fn write_lines(receiver: &Receiver<String>, counts: &LogCounts) {
    while let Ok(first) = receiver.recv() {
        if !counts.at_once.load(Ordering::Relaxed) {
            std::thread::sleep(GATHER);
        }
        let mut text = first;
        text.push('\n');
        let mut lines = 1;
        while let Ok(line) = receiver.try_recv() {
            text.push_str(&line);
            text.push('\n');
            lines += 1;
        }
        let mut output = std::io::stdout().lock();
        // Nobody is left to tell if standard output is closed.
        let _ = output.write_all(text.as_bytes()).and_then(|()| output.flush());
        counts.written.fetch_add(lines, Ordering::Relaxed);
    }
}

/// Allows so many lines a second, and a burst of as many.
#[derive(Debug)]
pub struct LineRateLimit {
    per_second: f64,
    allowed: f64,
    at: std::time::Instant,
}

impl LineRateLimit {
    /// A rate whose first second's lines are allowed at once.
    pub fn new(per_second: f64) -> Self {
        LineRateLimit { per_second, allowed: per_second, at: std::time::Instant::now() }
    }

    /// Whether one more line may be written now.
    pub fn allows(&mut self) -> bool {
        let now = std::time::Instant::now();
        let earned = now.duration_since(self.at).as_secs_f64() * self.per_second;
        self.at = now;
        self.allowed = (self.allowed + earned).min(self.per_second);
        if self.allowed < 1.0 {
            return false;
        }
        self.allowed -= 1.0;
        true
    }
}
