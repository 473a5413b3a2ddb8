//! Tells what happens: lines with the time, and on a terminal a line that shows what goes on now.

use std::time::{Duration, Instant};

use indicatif::ProgressBar;

const TICK: Duration = Duration::from_millis(120);

/// Where the story goes.
pub struct Narrator {
    start: Instant,
    spinner: ProgressBar,
    quiet: bool,
}

impl Narrator {
    /// A narrator; a `quiet` one says nothing on the standard output.
    pub fn new(quiet: bool) -> Self {
        let spinner = if quiet { ProgressBar::hidden() } else { ProgressBar::new_spinner() };
        spinner.enable_steady_tick(TICK);
        Narrator { start: Instant::now(), spinner, quiet }
    }

    /// Shows what goes on from now on, on a terminal only.
    pub fn busy(&self, what: &'static str) {
        self.spinner.set_message(what);
    }

    /// Tells what has happened.
    pub fn tell(&self, what: impl AsRef<str>) {
        if self.quiet {
            return;
        }
        let seconds = self.start.elapsed().as_secs_f64();
        self.spinner.suspend(|| println!("[{seconds:5.1} s] {}", what.as_ref()));
    }

    /// The story is over.
    pub fn end(&self) {
        self.spinner.finish_and_clear();
    }
}
