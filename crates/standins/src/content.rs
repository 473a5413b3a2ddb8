//! Generated file content, which back ends serve and callers verify without storing it.

use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64;

/// The size in bytes of the blocks in which content is generated.
pub const BLOCK_BYTES: usize = 64 * 1024;

/// A file whose bytes are generated from a seed, so that every back end serves the same content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GeneratedFile {
    /// The seed of the content.
    pub seed: u64,
    /// The length in bytes.
    pub length: u64,
}

impl GeneratedFile {
    /// Returns the strong entity tag, including the quotes.
    pub fn entity_tag(self) -> String {
        format!("\"{:x}-{:x}\"", self.seed, self.length)
    }

    /// Returns the block at `index`, which is empty past the end of the file.
    pub fn block(self, index: u64) -> Vec<u8> {
        let start = index.saturating_mul(BLOCK_BYTES as u64);
        let size = self.length.saturating_sub(start).min(BLOCK_BYTES as u64) as usize;
        let mut bytes = vec![0; BLOCK_BYTES];
        Pcg64::seed_from_u64(self.seed ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15)).fill_bytes(&mut bytes);
        bytes.truncate(size);
        bytes
    }
}

/// Checks that a stream of bytes equals the content of a file.
#[derive(Clone, Debug)]
pub struct ContentChecker {
    file: GeneratedFile,
    position: u64,
    block: Vec<u8>,
    matches: bool,
}

impl ContentChecker {
    /// Creates a checker for all of `file`.
    pub fn new(file: GeneratedFile) -> Self {
        ContentChecker { file, position: 0, block: file.block(0), matches: true }
    }

    /// Compares the next bytes of the stream.
    pub fn update(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.matches {
            let offset = (self.position % BLOCK_BYTES as u64) as usize;
            let expected = &self.block[offset.min(self.block.len())..];
            let size = expected.len().min(bytes.len());
            if size == 0 || expected[..size] != bytes[..size] {
                self.matches = false;
                return;
            }
            self.position += size as u64;
            bytes = &bytes[size..];
            if self.position % BLOCK_BYTES as u64 == 0 {
                self.block = self.file.block(self.position / BLOCK_BYTES as u64);
            }
        }
    }

    /// Whether every byte so far matches; the stream may still end too early.
    pub fn is_prefix(&self) -> bool {
        self.matches
    }

    /// Whether the stream contained the whole file.
    pub fn is_whole(&self) -> bool {
        self.matches && self.position == self.file.length
    }
}
