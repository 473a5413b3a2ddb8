//! When a streamed response is aborted.
//!
//! A response that is late may still be delivered, however slowly it is read. What must end is one whose source is
//! silent or sends without end, and one that nobody reads. A source that has finished its work has no more bytes than
//! the buffers on the way hold, so passing these on takes little time, apart from the time in which the reader accepts
//! none.
//!
//! All times are those of a monotonic clock that stops while the machine is suspended: what arrived meanwhile is read
//! before a limit applies.

use std::time::Duration;

use derive_more::Display;
use quillhatch_types::Timestamp;

/// How long a late stream waits for the next bytes of its source.
const MAX_SOURCE_SILENCE: Duration = Duration::from_millis(200);
/// How long a late stream waits for its reader to accept bytes.
const MAX_READER_STALL: Duration = Duration::from_secs(5);
/// How long passing on what a source had left at the end of its work may take while the reader accepts bytes.
pub const MAX_REST_TIME: Duration = Duration::from_millis(200);
/// How many bytes a source may have left at the end of its work if the length of the response is unknown: as many as the
/// buffers between the two hold, 2.5 MiB to send on the loopback interface of Linux and a limited number to receive.
pub const MAX_UNKNOWN_REST_BYTES: u64 = 4 * 1024 * 1024;
/// The same if the length is known, so that the source may hold the rest itself.
const MAX_KNOWN_REST_BYTES: u64 = 16 * 1024 * 1024;

/// Why a streamed response is aborted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StreamFault {
    /// The source has sent nothing for some time.
    #[display("source is silent")]
    SourceSilent,
    /// The source goes on sending after the end of its work.
    #[display("source sends beyond its deadline")]
    SourceEndless,
    /// The reader has accepted nothing for some time.
    #[display("reader has stalled")]
    ReaderStalled,
}

impl StreamFault {
    /// Whether the source is at fault.
    pub fn is_of_source(self) -> bool {
        self != StreamFault::ReaderStalled
    }
}

/// The end of a source's work.
#[derive(Clone, Copy, Debug)]
struct WorkEnd {
    at: Timestamp,
    /// How long the reader had accepted no bytes until then, in total.
    reader_blocked: Duration,
    /// The number of bytes that may still be passed on; `None` once there were more.
    rest: Option<u64>,
}

/// The progress of one streamed response.
#[derive(Clone, Debug)]
pub struct StreamMonitor {
    is_late: bool,
    work_end: Option<WorkEnd>,
    /// Since when the source is waited for, if it is.
    source_awaited_since: Option<Timestamp>,
    /// When bytes were last passed on.
    last_passed: Timestamp,
}

impl StreamMonitor {
    /// Starts with the first byte of the body.
    pub fn new(now: Timestamp) -> Self {
        StreamMonitor { is_late: false, work_end: None, source_awaited_since: None, last_passed: now }
    }

    /// Records that the source has no bytes now.
    pub fn source_awaited(&mut self, now: Timestamp) {
        self.source_awaited_since.get_or_insert(now);
    }

    /// Records that bytes of the source were passed on.
    pub fn bytes_passed(&mut self, count: u64, now: Timestamp) {
        self.source_awaited_since = None;
        self.last_passed = now;
        if let Some(work_end) = &mut self.work_end {
            work_end.rest = work_end.rest.and_then(|rest| rest.checked_sub(count));
        }
    }

    /// Records that the source has finished its work. `remaining` is the number of bytes that are still to come, if that is
    /// known, and `reader_blocked` the total time in which the reader has accepted no bytes so far.
    pub fn work_ended(&mut self, remaining: Option<u64>, reader_blocked: Duration, now: Timestamp) {
        let rest = match remaining {
            Some(remaining) => (remaining <= MAX_KNOWN_REST_BYTES).then_some(remaining),
            None => Some(MAX_UNKNOWN_REST_BYTES),
        };
        self.work_end = Some(WorkEnd { at: now, reader_blocked, rest });
    }

    /// Records that all bytes of the source have arrived.
    pub fn source_ended(&mut self) {
        self.work_end = None;
        self.source_awaited_since = None;
    }

    /// Records that the response is late from now on.
    pub fn became_late(&mut self) {
        self.is_late = true;
    }

    /// Why the response is to be aborted now, if it is. `reader_blocked` is the total time in which the reader has
    /// accepted no bytes so far.
    pub fn fault(&self, reader_blocked: Duration, now: Timestamp) -> Option<StreamFault> {
        if let Some(WorkEnd { at, reader_blocked: blocked_before, rest }) = self.work_end {
            let blocked = reader_blocked.saturating_sub(blocked_before);
            if rest.is_none() || now.since(at).saturating_sub(blocked) >= MAX_REST_TIME {
                return Some(StreamFault::SourceEndless);
            }
        }
        if !self.is_late {
            return None;
        }
        match self.source_awaited_since {
            Some(since) => (now.since(since) >= MAX_SOURCE_SILENCE).then_some(StreamFault::SourceSilent),
            None => (now.since(self.last_passed) >= MAX_READER_STALL).then_some(StreamFault::ReaderStalled),
        }
    }
}
