//! Carries messages between nodes: frames in the bodies of `POST /frames` on the peers' listener.
//!
//! A body is a sequence of frames, each after its length (4 bytes, big endian). Frames may be lost, doubled or reordered
//! by a broken connection; the protocols above expect it.

mod receiver;
mod sender;
#[cfg(test)]
mod tests;

pub use receiver::FrameReceiver;
pub use sender::{PeerSender, SenderSettings};

/// The path at which a node takes frames.
pub const FRAMES_PATH: &str = "/frames";

/// The bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// The largest body of frames, in bytes; one frame of the largest size always fits.
const MAXIMUM_BATCH_BYTES: usize = 1024 * 1024;

/// Appends `frame` with its length to `batch`.
fn append(batch: &mut Vec<u8>, frame: &[u8]) {
    let length = u32::try_from(frame.len()).unwrap_or(u32::MAX);
    batch.extend_from_slice(&length.to_be_bytes());
    batch.extend_from_slice(frame);
}

/// The frames of a batch; `None` if it is cut off or has a length that does not fit.
fn split(mut batch: &[u8]) -> Option<Vec<&[u8]>> {
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
