//! A starting node accepts no calls until a majority of its peers has answered with their configuration.
//!
//! Otherwise a stale platform could make the node, and the nodes that it talks to, use an outdated configuration.

use std::collections::BTreeSet;

use quillhatch_types::{NodeAddress, NodeId, Timestamp};

use crate::io::{ControlOutput, Recipient};
use crate::message::ControlMessage;
use crate::node::ControlNode;

/// The maximum number of peers that a starting node queries.
const MAX_QUERIED_PEERS: usize = 15;

#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness {
    ready: bool,
    queried_at: Option<Timestamp>,
    answered: BTreeSet<NodeAddress>,
}

impl Readiness {
    pub fn is_ready(&self) -> bool {
        self.ready
    }
}

impl ControlNode {
    /// The peers to query: the targets of the same service at this site or, for a node without a gate, all targets in
    /// its zone.
    fn readiness_peers(&self) -> Vec<NodeAddress> {
        let Some(configuration) = self.configuration.current() else {
            return self.known_addresses().into_iter().take(MAX_QUERIED_PEERS).collect();
        };
        let own_address = self.settings.node.address;
        let own_service = self.gate.as_ref().map(|gate| gate.service.clone());
        let targets = configuration.services.values().flat_map(|service| {
            let matches_service = own_service.as_ref().is_none_or(|own| *own == service.name);
            service.targets_at(&self.settings.site).filter(move |_| matches_service)
        });
        let eligible = targets.filter(|target| own_service.is_some() || target.zone == self.settings.zone);
        let addresses: BTreeSet<NodeAddress> =
            eligible.map(|target| target.node).filter(|node| *node != own_address).collect();
        addresses.into_iter().take(MAX_QUERIED_PEERS).collect()
    }

    pub(crate) fn query_peers_until_ready(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        if self.readiness.ready {
            return;
        }
        let peers = self.readiness_peers();
        let due = self.readiness.queried_at.is_none_or(|at| now.since(at) >= self.settings.timing.resend);
        if due && !peers.is_empty() {
            self.readiness.queried_at = Some(now);
            let revision = self.configuration.revision();
            let unanswered: Vec<NodeAddress> =
                peers.iter().filter(|peer| !self.readiness.answered.contains(peer)).copied().collect();
            for peer in unanswered {
                self.send(Recipient::Address(peer), ControlMessage::AskConfiguration { revision }, outputs);
            }
        }
        self.become_ready_if_possible(outputs);
    }

    pub(crate) fn on_peer_answered(&mut self, from: NodeId, outputs: &mut Vec<ControlOutput>) {
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
            self.update_gate_from_known_table(outputs);
        }
    }
}
