//! Sends frames to other nodes: one task and one connection per peer, with a bounded queue that drops the oldest
//! message.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quillhatch_messages::{FrameSealer, Payload};
use quillhatch_types::{Incarnation, NodeAddress, Revision};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::receiver::PeerVersions;
use super::{append_frame, FRAMES_PATH, LENGTH_BYTES, MAX_BATCH_BYTES};
use crate::driver::MessageSink;
use crate::metrics::Counters;

/// How messages to other nodes are queued and sent.
#[derive(Clone, Copy, Debug)]
pub struct SenderSettings {
    /// The maximum number of messages queued for one peer; when the queue is full, its oldest message is dropped.
    pub queue_length: usize,
    /// The timeout for sending one batch.
    pub timeout: Duration,
}

impl Default for SenderSettings {
    fn default() -> Self {
        SenderSettings { queue_length: 1024, timeout: Duration::from_secs(2) }
    }
}

struct QueuedMessage {
    incarnation: Option<Incarnation>,
    payload: Payload,
}

#[derive(Default)]
struct PeerQueue {
    messages: Mutex<VecDeque<QueuedMessage>>,
    message_queued: Notify,
    /// Whether the peer's task is building or sending a batch.
    sending: AtomicBool,
}

/// Sends messages to other nodes.
pub struct PeerSender {
    shared: Arc<SharedState>,
    peers: Mutex<BTreeMap<NodeAddress, Arc<PeerQueue>>>,
    tasks: Mutex<JoinSet<()>>,
    runtime: tokio::runtime::Handle,
}

struct SharedState {
    sealer: Mutex<FrameSealer>,
    versions: PeerVersions,
    /// The configuration revision that frames carry.
    revision: AtomicU64,
    client: reqwest::Client,
    settings: SenderSettings,
    counters: Arc<Counters>,
}

impl PeerSender {
    /// Creates a sender that seals frames with `sealer` and sends them with `client`. Its tasks run on the current
    /// runtime.
    pub fn new(
        sealer: FrameSealer,
        versions: PeerVersions,
        client: reqwest::Client,
        settings: SenderSettings,
        counters: Arc<Counters>,
    ) -> Self {
        let sealer = Mutex::new(sealer);
        let shared = SharedState { sealer, versions, revision: AtomicU64::new(0), client, settings, counters };
        PeerSender {
            shared: Arc::new(shared),
            peers: Mutex::default(),
            tasks: Mutex::default(),
            runtime: tokio::runtime::Handle::current(),
        }
    }

    /// Waits until every message has been sent or dropped.
    pub async fn flush(&self) {
        const PAUSE: Duration = Duration::from_millis(5);
        let is_busy = |peer: &Arc<PeerQueue>| peer.sending.load(Ordering::Acquire) || !lock(&peer.messages).is_empty();
        while lock(&self.peers).values().any(is_busy) {
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn peer(&self, address: NodeAddress) -> Arc<PeerQueue> {
        let mut peers = lock(&self.peers);
        if let Some(peer) = peers.get(&address) {
            return Arc::clone(peer);
        }
        let peer = Arc::new(PeerQueue::default());
        peers.insert(address, Arc::clone(&peer));
        let task = run_peer(Arc::clone(&self.shared), address, Arc::clone(&peer));
        lock(&self.tasks).spawn_on(task, &self.runtime);
        peer
    }
}

impl MessageSink for Arc<PeerSender> {
    fn send(&self, to: NodeAddress, incarnation: Option<Incarnation>, payload: Payload) {
        let peer = self.peer(to);
        let mut queue = lock(&peer.messages);
        if queue.len() >= self.shared.settings.queue_length {
            // Drops the oldest message because newer ones carry more current information.
            queue.pop_front();
            self.shared.counters.dropped_messages.inc();
        }
        queue.push_back(QueuedMessage { incarnation, payload });
        drop(queue);
        peer.message_queued.notify_one();
    }

    fn set_revision(&self, revision: Revision) {
        self.shared.revision.store(revision.0, Ordering::Relaxed);
    }
}

async fn run_peer(shared: Arc<SharedState>, address: NodeAddress, peer: Arc<PeerQueue>) {
    let url = format!("http://{address}{FRAMES_PATH}");
    loop {
        peer.sending.store(true, Ordering::Release);
        let Some(batch) = shared.next_batch(address, &peer) else {
            peer.sending.store(false, Ordering::Release);
            peer.message_queued.notified().await;
            continue;
        };
        let request = shared.client.post(&url).timeout(shared.settings.timeout).body(batch);
        match request.send().await {
            Ok(response) if response.status().is_success() => {
                shared.counters.sent_batches.inc();
            }
            _ => {
                shared.counters.failed_batches.inc();
            }
        }
    }
}

impl SharedState {
    /// Seals queued messages for the peer until the batch is full; `None` if there are none.
    fn next_batch(&self, address: NodeAddress, peer: &PeerQueue) -> Option<Vec<u8>> {
        let mut batch = Vec::new();
        while let Some(message) = lock(&peer.messages).pop_front() {
            let Some(frame) = self.seal(address, message) else {
                continue;
            };
            append_frame(&mut batch, &frame);
            let spare_bytes = MAX_BATCH_BYTES - batch.len().min(MAX_BATCH_BYTES);
            if spare_bytes < quillhatch_messages::MAX_FRAME_BYTES + LENGTH_BYTES {
                break;
            }
        }
        (!batch.is_empty()).then_some(batch)
    }

    fn seal(&self, address: NodeAddress, message: QueuedMessage) -> Option<Vec<u8>> {
        let revision = Revision(self.revision.load(Ordering::Relaxed));
        let newest_version = lock(&self.versions).get(&address).copied();
        let sealed = lock(&self.sealer).seal(address, message.incarnation, message.payload, revision, newest_version);
        if sealed.is_err() {
            self.counters.dropped_messages.inc();
        }
        sealed.ok()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
