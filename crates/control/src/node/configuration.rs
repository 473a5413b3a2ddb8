//! The configuration in force: the highest revision wins, from whatever source, and spreads from node to node.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{Configuration, NodeAddress, NodeId, Revision, ServiceName, Timestamp};
use rand::seq::IteratorRandom;

use crate::io::{ControlEvent, ControlOutput, Recipient};
use crate::message::{ConfigurationContent, ControlMessage};
use crate::node::pages::{into_pages, PageGatherer};
use crate::node::ControlNode;
use crate::state::RetryLimits;

/// Earlier configurations kept, so that a peer that is a little behind gets the difference only.
const MAXIMUM_EARLIER: usize = 8;

/// The least time between two questions to peers that turned out to be ahead.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationStore {
    current: Option<Arc<Configuration>>,
    earlier: VecDeque<Arc<Configuration>>,
    gatherer: PageGatherer,
    asked_at: Option<Timestamp>,
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
        if let Some(before) = self.current.replace(configuration) {
            self.earlier.push_back(before);
        }
        if self.earlier.len() > MAXIMUM_EARLIER {
            self.earlier.pop_front();
        }
    }

    /// What a node with `revision` lacks.
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

    /// The configuration that the content stands for, if it can be told from what is in force.
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
    let gone = base.services.keys().filter(|name| !current.services.contains_key(*name));
    let removed = gone.cloned().collect();
    ConfigurationContent::Difference { base: base.revision, changed: Arc::new(changed), removed }
}

impl ControlNode {
    /// Takes a configuration into force if it is this deployment's and newer than the one in force.
    pub(crate) fn offer(&mut self, now: Timestamp, offered: Arc<Configuration>, outputs: &mut Vec<ControlOutput>) {
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
        self.set_up_gate();
        self.join_groups(now, outputs);
        self.ask_peers_until_ready(now, outputs);
    }

    /// Hands out the configuration with the retry limits that plans have changed, if that is news.
    pub(crate) fn publish_configuration(&mut self, outputs: &mut Vec<ControlOutput>) {
        let Some(current) = self.configuration.current() else {
            return;
        };
        let effective = self.with_changed_retries(current);
        if self.published.as_ref() != Some(&effective) {
            self.published = Some(effective.clone());
            outputs.push(ControlOutput::Configuration(effective));
        }
    }

    fn with_changed_retries(&self, configuration: &Arc<Configuration>) -> Arc<Configuration> {
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
        let asked_lately = self.configuration.asked_at.is_some_and(|at| now.since(at) < ASK_INTERVAL);
        if revision <= self.configuration.revision() || asked_lately {
            return;
        }
        self.configuration.asked_at = Some(now);
        let ask = ControlMessage::AskConfiguration { revision: self.configuration.revision() };
        self.send(Recipient::Run(from), ask, outputs);
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
        let Some(content) = self.configuration.gatherer.gather((from, revision), page, content) else {
            return;
        };
        if let Some(configuration) = self.configuration.resolve(content) {
            self.offer(now, configuration, outputs);
        }
        // Only an answer whose content is in force counts: a difference that did not fit is asked for again.
        if revision <= self.configuration.revision() {
            self.on_peer_asked(from, outputs);
        } else {
            self.on_peer_revision(now, from, revision, outputs);
        }
    }

    /// Compares revisions with one random peer, so that news reaches nodes that exchange nothing else.
    pub(crate) fn gossip_if_due(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        if now.since(self.configuration.gossip_at) < self.settings.timing.gossip {
            return;
        }
        self.configuration.gossip_at = now;
        let Some(peer) = self.random_peer() else {
            return;
        };
        let ask = ControlMessage::AskConfiguration { revision: self.configuration.revision() };
        self.send(Recipient::Address(peer), ask, outputs);
    }

    /// A member that answers; before any is known, any address that this node has heard of.
    fn random_peer(&mut self) -> Option<NodeAddress> {
        if let Some(peer) = self.members.keys().choose(&mut self.random) {
            return Some(*peer);
        }
        self.known_addresses().into_iter().choose(&mut self.random)
    }

    /// Every peer address that this node has heard of, in ascending order.
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
