//! Log lines on standard output: one JSON object each, bounded in rate, written by a thread of their own.
//!
//! A line that finds the queue full, or the rate of its kind used up, is dropped and counted; nothing waits for the output.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

use log::{LevelFilter, SetLoggerError};

/// Lines that wait for the output at most.
const QUEUE_LINES: usize = 2048;
/// How long the writing thread gathers lines before it writes them together.
const GATHER: Duration = Duration::from_millis(200);

/// Counts the lines that were dropped.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// The number of dropped lines.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Sets up logging for the process; the message of a record is one JSON object.
///
/// # Errors
///
/// Returns an error if the process has a logger already.
pub fn set_up() -> Result<DroppedLines, SetLoggerError> {
    let dropped = DroppedLines::default();
    let (sender, receiver) = sync_channel::<String>(QUEUE_LINES);
    std::thread::spawn(move || write_lines(&receiver));
    let counted = dropped.clone();
    let output = fern::Output::call(move |record| {
        if sender.try_send(record.args().to_string()).is_err() {
            counted.add();
        }
    });
    fern::Dispatch::new()
        .level(LevelFilter::Off)
        .level_for("quillhatch_sidecar", LevelFilter::Info)
        .chain(output)
        .apply()?;
    Ok(dropped)
}

fn write_lines(receiver: &Receiver<String>) {
    while let Ok(first) = receiver.recv() {
        std::thread::sleep(GATHER);
        let mut text = first;
        text.push('\n');
        while let Ok(line) = receiver.try_recv() {
            text.push_str(&line);
            text.push('\n');
        }
        let mut output = std::io::stdout().lock();
        // Nobody is left to tell if standard output is closed.
        let _ = output.write_all(text.as_bytes()).and_then(|()| output.flush());
    }
}

/// Allows so many lines a second, and a burst of as many.
#[derive(Debug)]
pub struct LineRate {
    per_second: f64,
    allowed: f64,
    at: std::time::Instant,
}

impl LineRate {
    /// A rate whose first second's lines are allowed at once.
    pub fn new(per_second: f64) -> Self {
        LineRate { per_second, allowed: per_second, at: std::time::Instant::now() }
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
