//! Transports messages between nodes: frames in the bodies of `POST /frames` requests to the peers' listener.
//!
//! A body is a sequence of frames, each preceded by its length (4 bytes, big endian). A broken connection may lose,
//! duplicate or reorder frames; the protocols that use them tolerate this.

mod receiver;
mod sender;
#[cfg(test)]
mod tests;

pub use receiver::FrameReceiver;
pub use sender::{PeerSender, SenderSettings};

/// The path at which a node receives frames.
pub const FRAMES_PATH: &str = "/frames";

/// The size in bytes of the length field before each frame.
const LENGTH_BYTES: usize = 4;

/// The maximum size of a batch in bytes; a frame of the maximum size always fits.
const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// Appends the length of `frame` and the frame to `batch`.
fn append_frame(batch: &mut Vec<u8>, frame: &[u8]) {
    let length = u32::try_from(frame.len()).unwrap_or(u32::MAX);
    batch.extend_from_slice(&length.to_be_bytes());
    batch.extend_from_slice(frame);
}

/// Splits a batch into its frames; `None` if the batch is truncated or a length exceeds it.
fn split_frames(mut batch: &[u8]) -> Option<Vec<&[u8]>> {
    let mut frames = Vec::new();
    while !batch.is_empty() {
        let (length, rest) = batch.split_first_chunk::<LENGTH_BYTES>()?;
        let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
        let (frame, rest) = rest.split_at_checked(length)?;
        frames.push(frame);
        batch = rest;
    }
    Some(frames)
}
