//! Standby watches: heads that are not readers watch the store too, for long times.
//!
//! What a node knows of the store depends on what its source reports. A source may report that the store was read just
//! now and still pass no changes on, and everyone who follows it, at any distance, then believes that nothing has
//! changed. So a few heads don't rely on reports: each holds a watch of its own, which returns as soon as something
//! changes. A watch costs one call for as long as it lasts, so these last much longer than those of the readers, who
//! must also notice soon that a watch hangs. A standby only adds what it receives; it decides neither whether the store
//! can be reached nor whom a node follows.

use std::time::Duration;

use crate::replica::Position;
use crate::settings::Bounds;
use crate::store_reader::{NextRead, StoreReader};

/// The number of heads that hold a standby watch. Together with the readers, they get each change even if all readers
/// and one of them fail.
pub const STANDBYS: usize = 2;
/// How long the store may hold a standby watch without changes.
pub const STANDBY_WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause after a standby watch has returned changes, as a fraction of the shortest bound. Changes that follow soon
/// need no call of their own, and mostly arrive from the readers by then.
const PAUSE_FRACTION: f64 = 0.5;

/// The maximum pause after failed reads in a row, as a fraction of [`Bounds::recovery`].
const MAX_BACKOFF_FRACTION: f64 = 0.25;
/// The pause before a list after the store has lost its history. Mostly another node has listed everything by then.
const HISTORY_LOST_PAUSE: Duration = Duration::from_millis(500);

/// Decides what a standby reads next, and when.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandbyReader {
    reader: StoreReader,
    /// The position at which the last read failed.
    failed_at: Option<Position>,
}

impl StandbyReader {
    /// The next read of a node whose view has reached `position`: the watch after it, or a list if the store has no
    /// history after it any more and no other node has supplied what follows.
    pub fn next(&mut self, position: Position) -> NextRead {
        if self.failed_at.is_some_and(|failed_at| failed_at != position) {
            *self = StandbyReader::default();
        }
        self.reader.next(position)
    }

    /// Records that the store was read; returns the pause before the next read.
    pub fn read_succeeded(&mut self, bounds: &Bounds) -> Duration {
        *self = StandbyReader::default();
        bounds.shortest().mul_f64(PAUSE_FRACTION).max(bounds.batch_window())
    }

    /// Records that the read at `position` failed; `is_history_lost` if the store no longer has the changes after it.
    /// Returns the maximum pause before the next read.
    pub fn read_failed(&mut self, position: Position, is_history_lost: bool, bounds: &Bounds) -> Duration {
        self.failed_at = Some(position);
        if is_history_lost {
            self.reader.history_lost();
            return HISTORY_LOST_PAUSE;
        }
        self.reader.read_failed(true, bounds).min(bounds.recovery.mul_f64(MAX_BACKOFF_FRACTION))
    }
}
