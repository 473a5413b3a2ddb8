//! Limits large answers by number of streams and by bytes in flight, separately from short calls.
//!
//! A large answer holds a slot of the back end for as long as its reader takes. If large answers shared the slots of
//! short calls, a few slow readers would block the short calls; if they were stopped in favour of short calls,
//! downloads would be cut off. So large answers may take only a share of the slots, and one that has started is never
//! stopped to free its slot.

/// The length assumed for an answer before any length was known.
const INITIAL_BYTES: u64 = 1024 * 1024;
/// Weight of the newest length in the moving average of lengths.
const LENGTH_GAIN: f64 = 0.2;

/// The number and size of the large answers in flight, and their limits.
#[derive(Clone, Debug)]
pub(super) struct LargeAnswerLimit {
    max_streams: u32,
    max_bytes: u64,
    streams: u32,
    bytes: u64,
    expected_bytes: f64,
}

impl LargeAnswerLimit {
    pub(super) fn new(max_bytes: u64) -> Self {
        let expected_bytes = INITIAL_BYTES as f64;
        LargeAnswerLimit { max_streams: 1, max_bytes, streams: 0, bytes: 0, expected_bytes }
    }

    pub(super) fn set_max_streams(&mut self, maximum: u32) {
        self.max_streams = maximum.max(1);
    }

    pub(super) fn streams(&self) -> u32 {
        self.streams
    }

    /// Whether another large answer may start; one may always run, however large.
    pub(super) fn has_capacity(&self) -> bool {
        if self.streams == 0 {
            return true;
        }
        self.streams < self.max_streams && self.bytes + self.expected_bytes as u64 <= self.max_bytes
    }

    /// Starts a large answer and returns the number of bytes reserved for it: the expected length.
    pub(super) fn begin(&mut self) -> u64 {
        let reserved = self.expected_bytes as u64;
        self.streams += 1;
        self.bytes = self.bytes.saturating_add(reserved);
        reserved
    }

    /// Replaces the bytes reserved for an answer by its actual length, and returns that length.
    pub(super) fn length_known(&mut self, reserved: u64, length: u64) -> u64 {
        self.bytes = self.bytes.saturating_sub(reserved).saturating_add(length);
        let sample = length.min(self.max_bytes) as f64;
        self.expected_bytes += LENGTH_GAIN * (sample - self.expected_bytes);
        length
    }

    /// Ends an answer for which `reserved` bytes are reserved.
    pub(super) fn end(&mut self, reserved: u64) {
        self.streams = self.streams.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(reserved);
    }
}
