//! Rate-limited log lines on standard output, one JSON object each, written by a separate thread.
//!
//! Logging never blocks: a line is dropped if the queue is full, which is counted, or if the rate limit of its kind is
//! exceeded.

use std::fmt::{self, Display};
use std::io::Write;
use std::panic;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};

use log::{LevelFilter, SetLoggerError};
use serde_json::Value;

use crate::supervision::panic_message;

/// The maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 2048;
/// How long the writer thread collects lines before it writes them as one batch.
const BATCH_WINDOW: Duration = Duration::from_millis(200);

/// The state of the log: the counts of dropped, queued and written lines.
#[derive(Clone, Debug, Default)]
pub struct LogState(Arc<LogCounts>);

#[derive(Debug, Default)]
struct LogCounts {
    dropped: AtomicU64,
    queued: AtomicU64,
    written: AtomicU64,
    flush_without_delay: AtomicBool,
}

impl LogState {
    /// The number of dropped lines.
    pub fn dropped(&self) -> u64 {
        self.0.dropped.load(Ordering::Relaxed)
    }

    /// Makes the writer thread write each line without collecting a batch, from now on.
    pub fn flush_without_delay(&self) {
        self.0.flush_without_delay.store(true, Ordering::Relaxed);
    }

    /// Whether every queued line is written.
    pub fn is_written(&self) -> bool {
        self.0.written.load(Ordering::Relaxed) >= self.0.queued.load(Ordering::Relaxed)
    }
}

/// Sets up logging for the process. Each record's message must be one JSON object.
///
/// # Errors
///
/// Returns an error if the process already has a logger.
pub fn set_up() -> Result<LogState, SetLoggerError> {
    let state = LogState::default();
    let (sender, receiver) = sync_channel::<String>(MAX_QUEUED_LINES);
    let writer_state = state.clone();
    std::thread::spawn(move || write_lines(&receiver, &writer_state.0));
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

/// Logs each panic of the process with its place, besides what is written to standard error. `node` is the name of the
/// node in the line.
pub fn log_panics(node: String) {
    let started = Instant::now();
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        default_hook(info);
        let place = info.location().map_or_else(String::new, ToString::to_string);
        let (node, place, why) = (JsonText(&node), JsonText(place), JsonText(panic_message(info.payload())));
        let uptime = started.elapsed().as_secs_f64();
        log::info!("{{\"up_s\":{uptime:.3},\"node\":{node},\"event\":\"panic\",\"at\":{place},\"why\":{why}}}");
    }));
}

fn write_lines(receiver: &Receiver<String>, counts: &LogCounts) {
    while let Ok(first) = receiver.recv() {
        if !counts.flush_without_delay.load(Ordering::Relaxed) {
            std::thread::sleep(BATCH_WINDOW);
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
        // If standard output is closed there is nowhere to report the error.
        let _ = output.write_all(text.as_bytes()).and_then(|()| output.flush());
        counts.written.fetch_add(lines, Ordering::Relaxed);
    }
}

/// Displays a text as a JSON string, for a field of a log line: it may come from the store, a target or a caller.
#[derive(Clone, Copy, Debug)]
pub struct JsonText<T>(pub T);

impl<T: Display> Display for JsonText<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Value::String(self.0.to_string()).fmt(f)
    }
}

/// A token bucket for log lines, which holds the lines of one second.
#[derive(Debug)]
pub struct LineRateLimit {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl LineRateLimit {
    /// Creates a rate limit with a full bucket.
    pub fn new(per_second: f64) -> Self {
        LineRateLimit { per_second, tokens: per_second, refilled_at: Instant::now() }
    }

    /// Whether one more line may be written now; takes a token if so.
    pub fn allows(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.refilled_at = now;
        self.tokens = (self.tokens + refill).min(self.per_second);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
