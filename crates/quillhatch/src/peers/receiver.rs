//! Receives frames from other nodes, authenticates them and passes their payloads to the decision code.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use quillhatch_messages::{FrameOpener, ProtocolVersion};
use quillhatch_types::NodeAddress;

use super::{split_frames, MAX_BATCH_BYTES};
use crate::decisions::NodeInput;
use crate::driver::Driver;
use crate::http::body::{buffer_body, incoming, BufferedBody};
use crate::http::{body, Answer};
use crate::metrics::Counters;

/// The newest protocol version that each peer announced in its frames.
pub type PeerVersions = Arc<Mutex<BTreeMap<NodeAddress, ProtocolVersion>>>;

/// Receives frames from other nodes.
#[derive(Debug)]
pub struct FrameReceiver {
    opener: Mutex<FrameOpener>,
    versions: PeerVersions,
    driver: Arc<Driver>,
    counters: Arc<Counters>,
}

impl FrameReceiver {
    /// Creates a receiver that opens frames with `opener` and records the protocol versions of their senders in
    /// `versions`.
    pub fn new(opener: FrameOpener, versions: PeerVersions, driver: Arc<Driver>, counters: Arc<Counters>) -> Self {
        FrameReceiver { opener: Mutex::new(opener), versions, driver, counters }
    }

    /// Receives the body of a request. Responds with 204 if it could be split into frames, even if frames were
    /// rejected.
    pub async fn receive(&self, request: Incoming) -> Answer {
        let status = match buffer_body(incoming(request), MAX_BATCH_BYTES as u64).await {
            Ok(BufferedBody::Complete(batch)) => self.process_batch(&batch),
            Ok(BufferedBody::OverLimit(_)) => StatusCode::PAYLOAD_TOO_LARGE,
            Err(_) => StatusCode::BAD_REQUEST,
        };
        let mut answer = Response::new(body::full(Vec::new()));
        *answer.status_mut() = status;
        answer
    }

    fn process_batch(&self, batch: &[u8]) -> StatusCode {
        let Some(frames) = split_frames(batch) else {
            self.counters.rejected_frames.inc();
            return StatusCode::BAD_REQUEST;
        };
        for frame in frames {
            self.process_frame(frame);
        }
        StatusCode::NO_CONTENT
    }

    fn process_frame(&self, frame: &[u8]) {
        let opened = self.opener.lock().unwrap_or_else(PoisonError::into_inner).open(frame);
        match opened {
            Ok(opened) => {
                self.counters.received_frames.inc();
                let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
                versions.insert(opened.sender.address, opened.sender_newest_version);
                drop(versions);
                self.driver.input(NodeInput::Message {
                    from: opened.sender,
                    revision: opened.revision,
                    payload: opened.payload,
                });
            }
            Err(_) => {
                self.counters.rejected_frames.inc();
            }
        }
    }
}
