//! A starting node takes no calls until a majority of its peers has told it their configuration.
//!
//! Otherwise a platform that is stale could take the node, and whoever it talks to, back in time.

use std::collections::BTreeSet;

use quillhatch_types::{NodeAddress, NodeId, Timestamp};

use crate::io::{ControlOutput, Recipient};
use crate::message::ControlMessage;
use crate::node::ControlNode;

/// The most peers that a starting node asks.
const MAXIMUM_PEERS: usize = 15;

#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness {
    ready: bool,
    asked_at: Option<Timestamp>,
    answered: BTreeSet<NodeAddress>,
}

impl Readiness {
    pub fn is_ready(&self) -> bool {
        self.ready
    }
}

impl ControlNode {
    /// The gates of the same service at this site; for a node without a gate, the targets in its zone.
    fn readiness_peers(&self) -> Vec<NodeAddress> {
        let Some(configuration) = self.configuration.current() else {
            return self.known_addresses().into_iter().take(MAXIMUM_PEERS).collect();
        };
        let me = self.settings.node.address;
        let own_service = self.gate.as_ref().map(|gate| gate.service.clone());
        let targets = configuration.services.values().flat_map(|service| {
            let wanted = own_service.as_ref().is_none_or(|own| *own == service.name);
            service.targets_at(&self.settings.site).filter(move |_| wanted)
        });
        let near = targets.filter(|target| own_service.is_some() || target.zone == self.settings.zone);
        let addresses: BTreeSet<NodeAddress> = near.map(|target| target.node).filter(|node| *node != me).collect();
        addresses.into_iter().take(MAXIMUM_PEERS).collect()
    }

    pub(crate) fn ask_peers_until_ready(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        if self.readiness.ready {
            return;
        }
        let peers = self.readiness_peers();
        let due = self.readiness.asked_at.is_none_or(|at| now.since(at) >= self.settings.timing.resend);
        if due && !peers.is_empty() {
            self.readiness.asked_at = Some(now);
            let revision = self.configuration.revision();
            let silent: Vec<NodeAddress> =
                peers.iter().filter(|peer| !self.readiness.answered.contains(peer)).copied().collect();
            for peer in silent {
                self.send(Recipient::Address(peer), ControlMessage::AskConfiguration { revision }, outputs);
            }
        }
        self.become_ready_if_possible(outputs);
    }

    pub(crate) fn on_peer_asked(&mut self, from: NodeId, outputs: &mut Vec<ControlOutput>) {
        if !self.readiness.ready {
            self.readiness.answered.insert(from.address);
            self.become_ready_if_possible(outputs);
        }
    }

    fn become_ready_if_possible(&mut self, outputs: &mut Vec<ControlOutput>) {
        if self.readiness.ready || self.configuration.current().is_none() {
            return;
        }
        let peers = self.readiness_peers();
        let answered = peers.iter().filter(|peer| self.readiness.answered.contains(peer)).count();
        let enough = peers.is_empty() || answered * 2 > peers.len() || !self.settings.mechanisms.readiness_asks_peers;
        if enough {
            self.readiness.ready = true;
            outputs.push(ControlOutput::Ready);
            self.heed_known_table(outputs);
        }
    }
}
