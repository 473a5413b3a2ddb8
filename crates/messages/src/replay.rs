//! Replay protection: a sliding window over the sequence numbers of one sender.

/// The size of the window: a sequence number can arrive out of order if it is less than this far below the highest one.
pub const WINDOW_SIZE: u64 = 64;

/// Accepts each sequence number once. Numbers below the window are rejected, because it is no longer known whether they
/// were received.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Returns whether `sequence` is new, and marks it as received. Zero is never accepted.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 {
            return false;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.received = if shift >= WINDOW_SIZE { 0 } else { self.received << shift };
            self.received |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_SIZE {
            return false;
        }
        let bit = 1 << age;
        let new = self.received & bit == 0;
        self.received |= bit;
        new
    }
}
