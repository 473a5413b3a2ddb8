//! Takes frames of other nodes, checks them and hands their payloads to the decision code.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use quillhatch_messages::{FrameOpener, ProtocolVersion};
use quillhatch_types::NodeAddress;

use super::{split, MAXIMUM_BATCH_BYTES};
use crate::decisions::NodeInput;
use crate::driver::Driver;
use crate::http::body::{buffer_body, incoming, BufferedBody};
use crate::http::{body, Answer};
use crate::metrics::Counters;

/// The newest protocol version that each peer was heard to read.
pub type PeerVersions = Arc<Mutex<BTreeMap<NodeAddress, ProtocolVersion>>>;

/// Takes frames of other nodes.
#[derive(Debug)]
pub struct FrameReceiver {
    opener: Mutex<FrameOpener>,
    versions: PeerVersions,
    driver: Arc<Driver>,
    counters: Arc<Counters>,
}

impl FrameReceiver {
    /// A receiver that checks frames with `opener` and notes the versions of their senders.
    pub fn new(opener: FrameOpener, versions: PeerVersions, driver: Arc<Driver>, counters: Arc<Counters>) -> Self {
        FrameReceiver { opener: Mutex::new(opener), versions, driver, counters }
    }

    /// Takes the body of a request: 204 if it could be read, whatever became of each frame.
    pub async fn receive(&self, request: Incoming) -> Answer {
        let status = match buffer_body(incoming(request), MAXIMUM_BATCH_BYTES as u64).await {
            Ok(BufferedBody::Complete(batch)) => self.take(&batch),
            Ok(BufferedBody::OverLimit(_)) => StatusCode::PAYLOAD_TOO_LARGE,
            Err(_) => StatusCode::BAD_REQUEST,
        };
        let mut answer = Response::new(body::full(Vec::new()));
        *answer.status_mut() = status;
        answer
    }

    fn take(&self, batch: &[u8]) -> StatusCode {
        let Some(frames) = split(batch) else {
            self.counters.rejected_frames.inc();
            return StatusCode::BAD_REQUEST;
        };
        for frame in frames {
            self.open(frame);
        }
        StatusCode::NO_CONTENT
    }

    fn open(&self, frame: &[u8]) {
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
