//! Exchanges evidence against requests that crash targets between the gates of a service, in datagrams.
//! `quillhatch_mesh::quarantine` makes the decisions.
//!
//! A crash is broadcast at once and once more, since datagrams are sometimes lost. Evidence of more than one crash is
//! gossiped to one random gate each second, so that it reaches parts of the fleet that were partitioned. A gate that
//! starts, or resumes after a suspension, queries others. While no request is suspect nothing is sent.

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

use crate::datagrams::{self, MAX_DATAGRAM_BYTES};
use crate::node::Node;
use messages::{decode_record, message};
pub use outbox::Outbox;

/// The delay after which a broadcast is repeated.
const REBROADCAST_DELAY: Duration = Duration::from_millis(300);
/// The maximum number of messages that wait for their second broadcast. Each belongs to a crash of the one local
/// target, or to a request that was cleared.
const MAX_PENDING_REBROADCASTS: usize = 32;
/// The interval of gossip: a fraction of [`quillhatch_mesh::settings::Bounds::recovery`], after which machines that
/// were partitioned must meet all bounds again.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which a gate that has started sends queries, until a gate responds.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);
/// The number of gates that receive each query.
const QUERY_FANOUT: usize = 3;
/// The maximum number of gates that receive a broadcast; the others receive the evidence by gossip.
const MAX_BROADCAST_RECIPIENTS: usize = 128;

/// Exchanges evidence with the other gates of the service until the process ends.
pub async fn exchange(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let Some(port) = node.settings.quarantine.map(|address| address.port()) else { return };
    let mut channel = Channel { node, socket, port, rebroadcasts: VecDeque::new(), next_round: Timestamp::ZERO };
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let pause = channel.pause();
        tokio::select! {
            received = channel.socket.recv_from(&mut buf) => {
                // A machine without a node refuses datagrams, and the next call on the socket returns that error.
                let Ok((length, from)) = received else { continue };
                channel.handle_datagram(&buf[..length], from).await;
            }
            () = channel.node.quarantine_outbox.filled.notified() => channel.broadcast().await,
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

/// The exchange of evidence over one socket.
struct Channel {
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    port: u16,
    /// Messages that are broadcast a second time, and when.
    rebroadcasts: VecDeque<(Timestamp, wire::QuarantineMessage)>,
    /// When the next query or the next gossip message is due.
    next_round: Timestamp,
}

impl Channel {
    /// The time until the next message is due; `None` if there is none.
    fn pause(&self) -> Option<Duration> {
        let now = self.node.now();
        let has_round = self.node.quarantine_outbox.has_queries() || self.node.quarantine.borrow().has_gossip();
        let round = has_round.then_some(self.next_round);
        let rebroadcast = self.rebroadcasts.front().map(|(at, _)| *at);
        round.into_iter().chain(rebroadcast).min().map(|at| now.until(at))
    }

    async fn broadcast(&mut self) {
        let Some(message) = self.node.quarantine_outbox.take_broadcast(&self.node.settings.service) else { return };
        self.send_all(&message, &self.sample_gates(MAX_BROADCAST_RECIPIENTS)).await;
        if self.rebroadcasts.len() < MAX_PENDING_REBROADCASTS {
            self.rebroadcasts.push_back((self.node.now() + REBROADCAST_DELAY, message));
        }
    }

    async fn send_due(&mut self) {
        let now = self.node.now();
        while self.rebroadcasts.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, message)) = self.rebroadcasts.pop_front() else { break };
            self.send_all(&message, &self.sample_gates(MAX_BROADCAST_RECIPIENTS)).await;
        }
        if now < self.next_round {
            return;
        }
        if self.node.quarantine_outbox.take_query() {
            self.next_round = now + QUERY_INTERVAL;
            let query = wire::QuarantineMessage { asks: true, ..message(&self.node.settings.service, &[], &[]) };
            self.send_all(&query, &self.sample_gates(QUERY_FANOUT)).await;
        } else {
            self.next_round = now + GOSSIP_INTERVAL;
            self.gossip(now).await;
        }
    }

    fn sample_gates(&self, limit: usize) -> Vec<IpAddr> {
        self.node.quarantine_outbox.sample_gates(&self.node, limit)
    }

    /// Sends one random gate the evidence against requests with more than one crash.
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
        self.send_all(&message, &self.sample_gates(1)).await;
    }

    async fn send_all(&self, message: &wire::QuarantineMessage, peers: &[IpAddr]) {
        let bytes = encode(message);
        for peer in peers {
            datagrams::send(&self.node, &self.socket, &bytes, SocketAddr::new(*peer, self.port)).await;
        }
    }

    async fn handle_datagram(&self, bytes: &[u8], from: SocketAddr) {
        // Callers on the same machines can't send from this port.
        if from.port() != self.port {
            return;
        }
        let node = &self.node;
        let Some(received) = datagrams::read::<wire::QuarantineMessage>(node, bytes, from) else { return };
        // The sender's address may have been reassigned to another service.
        if received.service != node.settings.service {
            return;
        }
        let now = node.now();
        let records: Vec<SuspectRecord> = received.suspects.iter().map(decode_record).collect();
        let cleared: Vec<SignatureKey> = received.cleared.iter().map(|key| SignatureKey(*key)).collect();
        let completed = {
            let mut quarantine = node.quarantine.borrow_mut();
            quarantine.record_cleared(&cleared, now);
            quarantine.merge(&records, now)
        };
        if !received.asks {
            node.quarantine_outbox.stop_queries();
        }
        let known = if received.asks { node.quarantine.borrow().all_records(now) } else { Vec::new() };
        if received.asks || !completed.is_empty() {
            self.send_all(&message(&node.settings.service, &known, &completed), &[from.ip()]).await;
        }
    }
}
