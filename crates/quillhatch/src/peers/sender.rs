//! Sends frames to other nodes: one task and one connection per peer, behind a bounded queue that drops the oldest.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quillhatch_messages::{FrameSealer, Payload};
use quillhatch_types::{Incarnation, NodeAddress, Revision};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::receiver::PeerVersions;
use super::{append, FRAMES_PATH, LENGTH_BYTES, MAXIMUM_BATCH_BYTES};
use crate::driver::MessageSink;
use crate::metrics::Counters;

/// How messages to other nodes are queued and sent.
#[derive(Clone, Copy, Debug)]
pub struct SenderSettings {
    /// The largest number of messages that wait for one peer; the oldest is dropped for a further one.
    pub queue_length: usize,
    /// The longest time that sending one batch may take.
    pub timeout: Duration,
}

impl Default for SenderSettings {
    fn default() -> Self {
        SenderSettings { queue_length: 1024, timeout: Duration::from_secs(2) }
    }
}

struct Message {
    incarnation: Option<Incarnation>,
    payload: Payload,
}

#[derive(Default)]
struct Peer {
    queue: Mutex<VecDeque<Message>>,
    arrived: Notify,
    /// Whether a batch is on its way.
    sending: AtomicBool,
}

/// Sends messages to other nodes.
pub struct PeerSender {
    shared: Arc<Shared>,
    peers: Mutex<BTreeMap<NodeAddress, Arc<Peer>>>,
    tasks: Mutex<JoinSet<()>>,
    runtime: tokio::runtime::Handle,
}

struct Shared {
    sealer: Mutex<FrameSealer>,
    versions: PeerVersions,
    /// The configuration revision that frames tell.
    revision: AtomicU64,
    client: reqwest::Client,
    settings: SenderSettings,
    counters: Arc<Counters>,
}

impl PeerSender {
    /// A sender that seals with `sealer` and sends with `client`; its tasks run on the current runtime.
    pub fn new(
        sealer: FrameSealer,
        versions: PeerVersions,
        client: reqwest::Client,
        settings: SenderSettings,
        counters: Arc<Counters>,
    ) -> Self {
        let sealer = Mutex::new(sealer);
        let shared = Shared { sealer, versions, revision: AtomicU64::new(0), client, settings, counters };
        PeerSender {
            shared: Arc::new(shared),
            peers: Mutex::default(),
            tasks: Mutex::default(),
            runtime: tokio::runtime::Handle::current(),
        }
    }

    /// Waits until every message was sent or given up.
    pub async fn flush(&self) {
        const PAUSE: Duration = Duration::from_millis(5);
        let is_busy = |peer: &Arc<Peer>| peer.sending.load(Ordering::Acquire) || !lock(&peer.queue).is_empty();
        while lock(&self.peers).values().any(is_busy) {
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn peer(&self, address: NodeAddress) -> Arc<Peer> {
        let mut peers = lock(&self.peers);
        if let Some(peer) = peers.get(&address) {
            return Arc::clone(peer);
        }
        let peer = Arc::new(Peer::default());
        peers.insert(address, Arc::clone(&peer));
        let task = run(Arc::clone(&self.shared), address, Arc::clone(&peer));
        lock(&self.tasks).spawn_on(task, &self.runtime);
        peer
    }
}

impl MessageSink for Arc<PeerSender> {
    fn send(&self, to: NodeAddress, incarnation: Option<Incarnation>, payload: Payload) {
        let peer = self.peer(to);
        let mut queue = lock(&peer.queue);
        if queue.len() >= self.shared.settings.queue_length {
            // The newest message says most about the present.
            queue.pop_front();
            self.shared.counters.dropped_messages.inc();
        }
        queue.push_back(Message { incarnation, payload });
        drop(queue);
        peer.arrived.notify_one();
    }

    fn set_revision(&self, revision: Revision) {
        self.shared.revision.store(revision.0, Ordering::Relaxed);
    }
}

async fn run(shared: Arc<Shared>, address: NodeAddress, peer: Arc<Peer>) {
    let url = format!("http://{address}{FRAMES_PATH}");
    loop {
        peer.sending.store(true, Ordering::Release);
        let Some(batch) = shared.next_batch(address, &peer) else {
            peer.sending.store(false, Ordering::Release);
            peer.arrived.notified().await;
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

impl Shared {
    /// Seals what waits for the peer, as far as it fits one batch; `None` if nothing waits.
    fn next_batch(&self, address: NodeAddress, peer: &Peer) -> Option<Vec<u8>> {
        let mut batch = Vec::new();
        while let Some(message) = lock(&peer.queue).pop_front() {
            let Some(frame) = self.seal(address, message) else {
                continue;
            };
            append(&mut batch, &frame);
            let room = MAXIMUM_BATCH_BYTES - batch.len().min(MAXIMUM_BATCH_BYTES);
            if room < quillhatch_messages::MAX_FRAME_BYTES + LENGTH_BYTES {
                break;
            }
        }
        (!batch.is_empty()).then_some(batch)
    }

    fn seal(&self, address: NodeAddress, message: Message) -> Option<Vec<u8>> {
        let revision = Revision(self.revision.load(Ordering::Relaxed));
        let newest = lock(&self.versions).get(&address).copied();
        let sealed = lock(&self.sealer).seal(address, message.incarnation, message.payload, revision, newest);
        if sealed.is_err() {
            self.counters.dropped_messages.inc();
        }
        sealed.ok()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
