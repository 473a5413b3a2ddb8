//! Evidence against requests that crash targets, exchanged between the gates of a service in datagrams; decided in
//! `quillhatch_mesh::quarantine`.
//!
//! A crash is broadcast at once and once more, since datagrams are lost now and then. Evidence of more than one crash is gossiped to one random gate
//! each second, so that parts of the fleet that were partitioned learn of it. A gate that starts, or wakes from a suspension, queries others.
//! While no request is suspect nothing is sent.

mod gates;
mod messages;
mod outbox;

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use quillhatch_mesh::quarantine::{SignatureKey, SuspectRecord};
use quillhatch_messages::encode;
use quillhatch_messages::generated::quarantine as wire;
use quillhatch_types::Timestamp;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::datagrams::{self, LARGEST_DATAGRAM};
use crate::node::Node;
use messages::{message, read_record};
pub use outbox::Outbox;

/// How long after the first time news is sent once more.
const SENT_AGAIN_AFTER: Duration = Duration::from_millis(300);
/// The most messages that wait to be sent once more; each belongs to an end of the one target beside this node, or to a request that was cleared.
const MOST_SENT_AGAIN: usize = 32;
/// How often evidence is gossiped: several times within the time in which a machine that was partitioned must keep all bounds again.
const GOSSIP_PERIOD: Duration = Duration::from_secs(1);
/// How often a gate that has started asks, until it is answered.
const QUERY_PERIOD: Duration = Duration::from_millis(300);
/// How many others it asks at a time.
const QUERIED_AT_ONCE: usize = 3;
/// The most gates that a broadcast reaches; the others learn by gossip.
const MOST_BROADCAST: usize = 128;

/// Exchanges evidence with the other gates of the service until the process ends.
pub async fn exchange(node: Rc<Node>, socket: UdpSocket) {
    let Some(port) = node.settings.quarantine.map(|own| own.port()) else { return };
    let mut channel = Channel { node, socket, port, again: VecDeque::new(), next_round: Timestamp::ZERO };
    let mut buf = vec![0; LARGEST_DATAGRAM];
    loop {
        let pause = channel.pause();
        tokio::select! {
            received = channel.socket.recv_from(&mut buf) => {
                // A machine without a node refuses datagrams, which the next call reports.
                let Ok((length, from)) = received else { continue };
                channel.take(&buf[..length], from).await;
            }
            () = channel.node.quarantine_outbox.filled.notified() => channel.broadcast_news().await,
            () = sleep_if_any(pause) => channel.send_due().await,
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
    /// News that is sent once more, and when.
    again: VecDeque<(Timestamp, wire::QuarantineMessage)>,
    /// When the next query, or the next round of gossip, is due.
    next_round: Timestamp,
}

impl Channel {
    /// How long until something is due; `None` if nothing is.
    fn pause(&self) -> Option<Duration> {
        let now = self.node.now();
        let has_round = self.node.quarantine_outbox.has_queries() || self.node.quarantine.borrow().has_gossip();
        let round = has_round.then_some(self.next_round);
        let again = self.again.front().map(|(at, _)| *at);
        round.into_iter().chain(again).min().map(|at| now.until(at))
    }

    async fn broadcast_news(&mut self) {
        let Some(message) = self.node.quarantine_outbox.take(&self.node.settings.service) else { return };
        self.send_all(&message, &self.some_gates(MOST_BROADCAST)).await;
        if self.again.len() < MOST_SENT_AGAIN {
            self.again.push_back((self.node.now() + SENT_AGAIN_AFTER, message));
        }
    }

    async fn send_due(&mut self) {
        let now = self.node.now();
        while self.again.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, message)) = self.again.pop_front() else { break };
            self.send_all(&message, &self.some_gates(MOST_BROADCAST)).await;
        }
        if now < self.next_round {
            return;
        }
        if self.node.quarantine_outbox.take_query() {
            self.next_round = now + QUERY_PERIOD;
            let question = wire::QuarantineMessage { asks: true, ..message(&self.node.settings.service, &[], &[]) };
            self.send_all(&question, &self.some_gates(QUERIED_AT_ONCE)).await;
        } else {
            self.next_round = now + GOSSIP_PERIOD;
            self.gossip(now).await;
        }
    }

    fn some_gates(&self, most: usize) -> Vec<IpAddr> {
        self.node.quarantine_outbox.some_gates(&self.node, most)
    }

    /// Tells one other gate of the requests against which more than one end is held.
    async fn gossip(&self, now: Timestamp) {
        let records = {
            let mut quarantine = self.node.quarantine.borrow_mut();
            quarantine.remove_expired(now);
            quarantine.gossip_records(now)
        };
        if records.is_empty() {
            return;
        }
        let message = message(&self.node.settings.service, &records, &[]);
        self.send_all(&message, &self.some_gates(1)).await;
    }

    async fn send_all(&self, message: &wire::QuarantineMessage, peers: &[IpAddr]) {
        let bytes = encode(message);
        for peer in peers {
            datagrams::send(&self.node, &self.socket, &bytes, SocketAddr::new(*peer, self.port)).await;
        }
    }

    async fn take(&self, bytes: &[u8], from: SocketAddr) {
        // Callers on the machines can't send from this port.
        if from.port() != self.port {
            return;
        }
        let node = &self.node;
        let Some(received) = datagrams::read::<wire::QuarantineMessage>(node, bytes, from) else { return };
        // Addresses are used again by other services.
        if received.service != node.settings.service {
            return;
        }
        let now = node.now();
        let records: Vec<SuspectRecord> = received.suspects.iter().map(read_record).collect();
        let cleared: Vec<SignatureKey> = received.cleared.iter().map(|key| SignatureKey(*key)).collect();
        let harmless = {
            let mut quarantine = node.quarantine.borrow_mut();
            quarantine.record_cleared(&cleared, now);
            quarantine.merge(&records, now)
        };
        if !received.asks {
            node.quarantine_outbox.answered();
        }
        let known = if received.asks { node.quarantine.borrow().all_records(now) } else { Vec::new() };
        if received.asks || !harmless.is_empty() {
            self.send_all(&message(&node.settings.service, &known, &harmless), &[from.ip()]).await;
        }
    }
}
