//! A sliding window over the sequence numbers of one sender, which accepts each number once.

/// The number of sequence numbers that may arrive out of order.
pub const WINDOW_SIZE: u64 = 64;

/// Accepts each sequence number once; numbers older than the window are refused, since nobody can tell any more.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Whether `sequence` is new; a new one is marked as seen. Zero is never new.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 {
            return false;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift >= WINDOW_SIZE { 0 } else { self.seen << shift };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_SIZE {
            return false;
        }
        let bit = 1 << age;
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
