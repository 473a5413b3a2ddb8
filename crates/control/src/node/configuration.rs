//! The configuration in force: the node accepts the highest revision from any source and exchanges it with its peers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{Configuration, NodeAddress, NodeId, Revision, ServiceName, Timestamp};
use rand::seq::IteratorRandom;

use crate::io::{ControlEvent, ControlOutput, Recipient};
use crate::message::{ConfigurationContent, ControlMessage};
use crate::node::pages::{into_pages, PageAssembler};
use crate::node::ControlNode;
use crate::state::RetryLimits;

/// The number of earlier configurations retained, so that a peer a few revisions behind receives only the difference.
const MAX_EARLIER_CONFIGURATIONS: usize = 8;

/// The minimum time between two queries to peers with a higher revision.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationStore {
    current: Option<Arc<Configuration>>,
    earlier: VecDeque<Arc<Configuration>>,
    assembler: PageAssembler,
    queried_at: Option<Timestamp>,
    gossip_at: Timestamp,
}

impl ConfigurationStore {
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    pub fn revision(&self) -> Revision {
        self.current.as_ref().map(|configuration| configuration.revision).unwrap_or_default()
    }

    fn replace(&mut self, configuration: Arc<Configuration>) {
        if let Some(previous) = self.current.replace(configuration) {
            self.earlier.push_back(previous);
        }
        if self.earlier.len() > MAX_EARLIER_CONFIGURATIONS {
            self.earlier.pop_front();
        }
    }

    /// The changes since `revision`, or the whole configuration if that revision is no longer retained.
    fn content_since(&self, revision: Revision) -> ConfigurationContent {
        let Some(current) = self.current.as_ref().filter(|current| current.revision > revision) else {
            return ConfigurationContent::Nothing;
        };
        let base = self.earlier.iter().find(|earlier| earlier.revision == revision);
        match base {
            Some(base) => difference(base, current),
            None => ConfigurationContent::Whole(current.clone()),
        }
    }

    /// The configuration that `content` describes; `None` if it is a difference from a revision that isn't in force.
    fn resolve(&self, content: ConfigurationContent) -> Option<Arc<Configuration>> {
        match content {
            ConfigurationContent::Nothing => None,
            ConfigurationContent::Whole(configuration) => Some(configuration),
            ConfigurationContent::Difference { base, changed, removed } => {
                let current = self.current.as_ref().filter(|current| current.revision == base)?;
                let mut services = current.services.clone();
                services.retain(|name, _| !removed.contains(name));
                services.extend(changed.services.clone());
                Some(Arc::new(Configuration { services, ..changed.as_ref().clone() }))
            }
        }
    }
}

fn difference(base: &Configuration, current: &Configuration) -> ConfigurationContent {
    let mut changed = current.clone();
    changed.services.retain(|name, service| base.services.get(name) != Some(service));
    let removed_names = base.services.keys().filter(|name| !current.services.contains_key(*name));
    let removed = removed_names.cloned().collect();
    ConfigurationContent::Difference { base: base.revision, changed: Arc::new(changed), removed }
}

impl ControlNode {
    /// Puts `offered` in force if it belongs to this deployment and is newer than the configuration in force.
    pub(crate) fn accept_if_newer(
        &mut self,
        now: Timestamp,
        offered: Arc<Configuration>,
        outputs: &mut Vec<ControlOutput>,
    ) {
        if offered.deployment != self.settings.deployment {
            self.event(ControlEvent::ForeignConfiguration { offered: offered.deployment.to_string() }, outputs);
            return;
        }
        let in_force = self.configuration.revision();
        if offered.revision == in_force {
            return;
        }
        if offered.revision < in_force && self.settings.mechanisms.configuration_monotonic {
            let event = ControlEvent::ConfigurationIgnored { offered: offered.revision, in_force };
            self.event(event, outputs);
            return;
        }
        let revision = offered.revision;
        self.configuration.replace(offered);
        self.event(ControlEvent::ConfigurationAccepted { revision }, outputs);
        self.publish_configuration(outputs);
        self.configure_gate();
        self.join_groups(now, outputs);
        self.query_peers_until_ready(now, outputs);
    }

    /// Publishes the configuration with the retry limits that plans have set, if it differs from the last one
    /// published.
    pub(crate) fn publish_configuration(&mut self, outputs: &mut Vec<ControlOutput>) {
        let Some(current) = self.configuration.current() else {
            return;
        };
        let effective = self.with_plan_retries(current);
        if self.published.as_ref() != Some(&effective) {
            self.published = Some(effective.clone());
            outputs.push(ControlOutput::Configuration(effective));
        }
    }

    fn with_plan_retries(&self, configuration: &Arc<Configuration>) -> Arc<Configuration> {
        let limits: BTreeMap<&ServiceName, &Vec<RetryLimits>> = self.tables.retries(&self.settings.site).collect();
        if limits.values().all(|limits| limits.is_empty()) {
            return configuration.clone();
        }
        let mut changed = configuration.as_ref().clone();
        for (service, limits) in limits {
            let Some(service) = changed.services.get_mut(service) else {
                continue;
            };
            for limit in limits {
                let classes = service.classes.iter_mut().filter(|class| class.name == limit.class);
                for class in classes {
                    class.retry_budget = limit.budget;
                    class.retry_ratio_percent = limit.ratio_percent;
                }
            }
        }
        Arc::new(changed)
    }

    pub(crate) fn on_peer_revision(
        &mut self,
        now: Timestamp,
        from: NodeId,
        revision: Revision,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let queried_recently = self.configuration.queried_at.is_some_and(|at| now.since(at) < QUERY_INTERVAL);
        if revision <= self.configuration.revision() || queried_recently {
            return;
        }
        self.configuration.queried_at = Some(now);
        let query = ControlMessage::AskConfiguration { revision: self.configuration.revision() };
        self.send(Recipient::Run(from), query, outputs);
    }

    pub(crate) fn on_ask_configuration(
        &mut self,
        now: Timestamp,
        from: NodeId,
        revision: Revision,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let contents = into_pages(self.configuration.content_since(revision));
        let pages = u32::try_from(contents.len()).unwrap_or(u32::MAX);
        for (content, page) in contents.into_iter().zip(0..) {
            let revision = self.configuration.revision();
            let offer = ControlMessage::OfferConfiguration { revision, content, page, pages };
            self.send(Recipient::Run(from), offer, outputs);
        }
        self.on_peer_revision(now, from, revision, outputs);
    }

    pub(crate) fn on_offer_configuration(
        &mut self,
        now: Timestamp,
        from: NodeId,
        revision: Revision,
        page: (u32, u32),
        content: ConfigurationContent,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let Some(content) = self.configuration.assembler.add_page((from, revision), page, content) else {
            return;
        };
        if let Some(configuration) = self.configuration.resolve(content) {
            self.accept_if_newer(now, configuration, outputs);
        }
        // An answer counts for readiness only if its revision is in force; otherwise the node queries the peer again.
        if revision <= self.configuration.revision() {
            self.on_peer_answered(from, outputs);
        } else {
            self.on_peer_revision(now, from, revision, outputs);
        }
    }

    /// Compares revisions with one random peer, so that new configurations reach nodes that exchange no other messages.
    pub(crate) fn gossip_if_due(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        if now.since(self.configuration.gossip_at) < self.settings.timing.gossip {
            return;
        }
        self.configuration.gossip_at = now;
        let Some(peer) = self.random_peer() else {
            return;
        };
        let query = ControlMessage::AskConfiguration { revision: self.configuration.revision() };
        self.send(Recipient::Address(peer), query, outputs);
    }

    /// A random live member, or any known address if no member is known yet.
    fn random_peer(&mut self) -> Option<NodeAddress> {
        if let Some(peer) = self.members.keys().choose(&mut self.random) {
            return Some(*peer);
        }
        self.known_addresses().into_iter().choose(&mut self.random)
    }

    /// Every known peer address, in ascending order.
    pub(crate) fn known_addresses(&self) -> Vec<NodeAddress> {
        let listed = self.machines.keys().chain(self.members.keys()).copied();
        let mut addresses: std::collections::BTreeSet<NodeAddress> = listed.collect();
        if let Some(configuration) = self.configuration.current() {
            let targets = configuration.services.values().flat_map(|service| &service.targets);
            addresses.extend(targets.map(|target| target.node));
        }
        addresses.remove(&self.settings.node.address);
        addresses.into_iter().collect()
    }
}
