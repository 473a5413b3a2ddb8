//! Limits large answers by streams and by bytes on their way, apart from short calls.
//!
//! A download holds a slot of the back end for as long as its reader takes. If it shared the slots of short calls, a few
//! slow readers would stop the short calls; if it had to make room for them, downloads would break off half way. So large
//! answers may take only a share of the slots, and a started one is never stopped to make room.

/// Bytes assumed for the first answer, before any length was seen.
const INITIAL_BYTES: u64 = 1024 * 1024;
/// The weight of the newest length in the expected length.
const LENGTH_GAIN: f64 = 0.2;

/// The large answers on their way.
#[derive(Clone, Debug)]
pub(super) struct LargeAnswerLimit {
    maximum_streams: u32,
    maximum_bytes: u64,
    streams: u32,
    bytes: u64,
    expected_bytes: f64,
}

impl LargeAnswerLimit {
    pub(super) fn new(maximum_bytes: u64) -> Self {
        let expected_bytes = INITIAL_BYTES as f64;
        LargeAnswerLimit { maximum_streams: 1, maximum_bytes, streams: 0, bytes: 0, expected_bytes }
    }

    pub(super) fn set_streams(&mut self, maximum: u32) {
        self.maximum_streams = maximum.max(1);
    }

    pub(super) fn streams(&self) -> u32 {
        self.streams
    }

    /// Whether another large answer may begin; one may always run, however large.
    pub(super) fn has_capacity(&self) -> bool {
        if self.streams == 0 {
            return true;
        }
        self.streams < self.maximum_streams && self.bytes + self.expected_bytes as u64 <= self.maximum_bytes
    }

    /// Begins a large answer and returns the bytes counted for it.
    pub(super) fn begin(&mut self) -> u64 {
        let counted = self.expected_bytes as u64;
        self.streams += 1;
        self.bytes = self.bytes.saturating_add(counted);
        counted
    }

    /// Replaces the bytes counted for an answer by its length and returns what is counted now.
    pub(super) fn length_known(&mut self, counted: u64, length: u64) -> u64 {
        self.bytes = self.bytes.saturating_sub(counted).saturating_add(length);
        let sample = length.min(self.maximum_bytes) as f64;
        self.expected_bytes += LENGTH_GAIN * (sample - self.expected_bytes);
        length
    }

    /// Ends an answer for which `counted` bytes were counted.
    pub(super) fn end(&mut self, counted: u64) {
        self.streams = self.streams.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(counted);
    }
}
