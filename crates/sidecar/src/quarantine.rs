//! What the gates of a service tell each other of requests that crash targets, in datagrams; decided in `quillhatch_mesh::quarantine`.
//!
//! A gate tells all others of an end at once and once more, since datagrams are lost now and then. While ends are held against a request more
//! than once it tells one other gate each second, drawn at random, so that parts that were cut off learn of it. A gate that starts, or that
//! wakes, asks. While nothing is held against any request nothing is sent.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use quillhatch_mesh::quarantine::{EndId, SignatureKey, SuspectRecord};
use quillhatch_messages::generated::quarantine as wire;
use quillhatch_messages::{decode, encode};
use quillhatch_types::Timestamp;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::datagrams::LARGEST_DATAGRAM;
use crate::node::Node;

/// How long after the first time news is sent once more.
const SENT_AGAIN_AFTER: Duration = Duration::from_millis(300);
/// The most messages that wait to be sent once more; each belongs to an end of the one target beside this node, or to a request that was cleared.
const MOST_SENT_AGAIN: usize = 32;
/// How often another gate is told of the requests against which more than one end is held: several times within the time in which a machine
/// that was cut off must keep all bounds again.
const TOLD_EACH: Duration = Duration::from_secs(1);
/// How often a gate that has started asks, until it is answered.
const ASKED_EACH: Duration = Duration::from_millis(300);
/// How many others it asks at a time.
const ASKED_AT_ONCE: usize = 3;
/// How often it asks at most. Where it has no answer by then, no other gate of its service is there.
const MOST_ASKED: u32 = 10;
/// For how long a machine counts as one of the service after its target was listed last. A target that has crashed is listed again within
/// seconds, and its gate must not miss the news meanwhile.
const PEER_REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// The most gates that are told at once; the others learn from these, one a second each.
const MOST_TOLD: usize = 128;

/// What the other gates are to be told.
#[derive(Debug, Default)]
pub struct Outbox {
    suspects: RefCell<Vec<SuspectRecord>>,
    cleared: RefCell<Vec<SignatureKey>>,
    /// How often it is still asked what others know.
    questions: Cell<u32>,
    filled: Notify,
}

impl Outbox {
    /// Ends are held against these requests.
    pub fn suspect(&self, records: Vec<SuspectRecord>) {
        if !records.is_empty() {
            self.suspects.borrow_mut().extend(records);
            self.filled.notify_one();
        }
    }

    /// These requests have run to their end here.
    pub fn clear(&self, keys: Vec<SignatureKey>) {
        if !keys.is_empty() {
            self.cleared.borrow_mut().extend(keys);
            self.filled.notify_one();
        }
    }

    /// What others know may have passed this node by.
    pub fn ask(&self) {
        self.questions.set(MOST_ASKED);
        self.filled.notify_one();
    }

    /// Another node has told all that it knows.
    fn answered(&self) {
        self.questions.set(0);
    }

    fn has_question(&self) -> bool {
        let left = self.questions.get();
        self.questions.set(left.saturating_sub(1));
        left > 0
    }

    fn take(&self, service: &str) -> Option<wire::QuarantineMessage> {
        let suspects = std::mem::take(&mut *self.suspects.borrow_mut());
        let cleared = std::mem::take(&mut *self.cleared.borrow_mut());
        (!suspects.is_empty() || !cleared.is_empty()).then(|| message(service, &suspects, &cleared))
    }
}

/// The gates of the service.
#[derive(Default)]
struct Peers {
    listed: HashMap<IpAddr, Timestamp>,
}

impl Peers {
    fn update(&mut self, node: &Node) {
        let now = node.now();
        let targets = node.targets.borrow();
        for target in targets.of_service(&node.settings.service) {
            self.listed.insert(target.registration.address.ip(), now);
        }
        self.listed.remove(&node.settings.local_target.ip());
        self.listed.retain(|_, listed| now.since(*listed) < PEER_REMEMBERED_FOR);
    }

    /// Some of them, at random.
    fn some(&self, node: &Node, most: usize) -> Vec<IpAddr> {
        let mut peers: Vec<IpAddr> = self.listed.keys().copied().collect();
        peers.sort_unstable();
        let (some, _) = peers.partial_shuffle(&mut *node.random.borrow_mut(), most);
        some.to_vec()
    }
}

/// Tells the other gates of the service, and takes what they tell, until the process ends.
pub async fn exchange(node: Rc<Node>, socket: UdpSocket) {
    let Some(port) = node.settings.quarantine.map(|own| own.port()) else { return };
    let mut channel =
        Channel { node, socket, port, peers: Peers::default(), again: VecDeque::new(), next_round: Timestamp::ZERO };
    let mut buf = vec![0; LARGEST_DATAGRAM];
    channel.node.quarantine_news.ask();
    loop {
        let pause = channel.pause();
        tokio::select! {
            received = channel.socket.recv_from(&mut buf) => {
                // A machine without a node refuses datagrams, which the next call reports.
                let Ok((length, from)) = received else { continue };
                channel.take(&buf[..length], from).await;
            }
            () = channel.node.quarantine_news.filled.notified() => channel.tell_news().await,
            () = sleep_if_any(pause) => channel.tell_what_is_due().await,
        }
    }
}

async fn sleep_if_any(pause: Option<Duration>) {
    match pause {
        Some(pause) => sleep(pause).await,
        None => std::future::pending().await,
    }
}

struct Channel {
    node: Rc<Node>,
    socket: UdpSocket,
    port: u16,
    peers: Peers,
    /// News that is sent once more, and when.
    again: VecDeque<(Timestamp, wire::QuarantineMessage)>,
    /// When it is asked next, or another gate is told what is held against requests.
    next_round: Timestamp,
}

impl Channel {
    /// How long until something is due; `None` if nothing is.
    fn pause(&self) -> Option<Duration> {
        let now = self.node.now();
        let has_round = self.node.quarantine_news.questions.get() > 0 || self.node.quarantine.borrow().has_notable();
        let round = has_round.then_some(self.next_round);
        let again = self.again.front().map(|(at, _)| *at);
        round.into_iter().chain(again).min().map(|at| now.until(at))
    }

    async fn tell_news(&mut self) {
        let Some(message) = self.node.quarantine_news.take(&self.node.settings.service) else { return };
        self.peers.update(&self.node);
        self.send_all(&message, &self.peers.some(&self.node, MOST_TOLD)).await;
        if self.again.len() < MOST_SENT_AGAIN {
            self.again.push_back((self.node.now() + SENT_AGAIN_AFTER, message));
        }
    }

    async fn tell_what_is_due(&mut self) {
        let now = self.node.now();
        self.peers.update(&self.node);
        while self.again.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, message)) = self.again.pop_front() else { break };
            self.send_all(&message, &self.peers.some(&self.node, MOST_TOLD)).await;
        }
        if now < self.next_round {
            return;
        }
        if self.node.quarantine_news.has_question() {
            self.next_round = now + ASKED_EACH;
            let question = wire::QuarantineMessage { asks: true, ..message(&self.node.settings.service, &[], &[]) };
            self.send_all(&question, &self.peers.some(&self.node, ASKED_AT_ONCE)).await;
        } else {
            self.next_round = now + TOLD_EACH;
            self.tell_notable(now).await;
        }
    }

    /// Tells one other gate of the requests against which more than one end is held.
    async fn tell_notable(&self, now: Timestamp) {
        let records = {
            let mut quarantine = self.node.quarantine.borrow_mut();
            quarantine.forget(now);
            quarantine.notable(now)
        };
        if records.is_empty() {
            return;
        }
        let message = message(&self.node.settings.service, &records, &[]);
        self.send_all(&message, &self.peers.some(&self.node, 1)).await;
    }

    async fn send_all(&self, message: &wire::QuarantineMessage, peers: &[IpAddr]) {
        let bytes = encode(message);
        for peer in peers {
            if let Err(error) = self.socket.send_to(&bytes, SocketAddr::new(*peer, self.port)).await {
                self.node.log_failure(|| {
                    let why = error.to_string();
                    format!("\"event\":\"datagram-unsent\",\"peer\":\"{peer}\",\"why\":{why:?}")
                });
            }
        }
    }

    async fn take(&self, bytes: &[u8], from: SocketAddr) {
        // Callers on the machines can't send from this port.
        if from.port() != self.port {
            return;
        }
        let node = &self.node;
        let told: wire::QuarantineMessage = match decode(bytes) {
            Ok(told) => told,
            Err(error) => {
                let why = error.to_string();
                node.log_failure(|| format!("\"event\":\"datagram-unusable\",\"peer\":\"{from}\",\"why\":{why:?}"));
                return;
            }
        };
        // Addresses are used again by other services.
        if told.service != node.settings.service {
            return;
        }
        let now = node.now();
        let records: Vec<SuspectRecord> = told.suspects.iter().map(read_record).collect();
        let cleared: Vec<SignatureKey> = told.cleared.iter().map(|key| SignatureKey(*key)).collect();
        let harmless = {
            let mut quarantine = node.quarantine.borrow_mut();
            quarantine.cleared(&cleared, now);
            quarantine.take(&records, now)
        };
        if !told.asks {
            node.quarantine_news.answered();
        }
        let known = if told.asks { node.quarantine.borrow().all(now) } else { Vec::new() };
        if told.asks || !harmless.is_empty() {
            self.send_all(&message(&node.settings.service, &known, &harmless), &[from.ip()]).await;
        }
    }
}

fn message(service: &str, suspects: &[SuspectRecord], cleared: &[SignatureKey]) -> wire::QuarantineMessage {
    wire::QuarantineMessage {
        service: service.to_owned(),
        suspects: suspects.iter().map(write_record).collect(),
        cleared: cleared.iter().map(|key| key.0).collect(),
        asks: false,
    }
}

fn write_record(record: &SuspectRecord) -> wire::SuspectRecord {
    wire::SuspectRecord {
        key: record.key.0,
        ends: record.ends.iter().map(|end| end.0).collect(),
        age_ms: record.age.as_millis() as u64,
    }
}

fn read_record(record: &wire::SuspectRecord) -> SuspectRecord {
    SuspectRecord {
        key: SignatureKey(record.key),
        ends: record.ends.iter().map(|end| EndId(*end)).collect(),
        age: Duration::from_millis(record.age_ms),
    }
}
