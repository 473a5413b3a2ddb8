//! Splits a configuration between services into pages that fit into frames, and reassembles it at the receiver.

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_types::{Configuration, NodeId, Revision, ServiceConfiguration, ServiceName};

use crate::message::ConfigurationContent;

/// A page that exceeds this size, in bytes of JSON, gets no further service.
const PAGE_BYTES: usize = 64 * 1024;

/// Splits the content into pages.
pub(crate) fn into_pages(content: ConfigurationContent) -> Vec<ConfigurationContent> {
    match content {
        ConfigurationContent::Nothing => vec![ConfigurationContent::Nothing],
        ConfigurationContent::Whole(configuration) => {
            split_by_service(&configuration).into_iter().map(ConfigurationContent::Whole).collect()
        }
        ConfigurationContent::Difference { base, changed, removed } => {
            let page = |changed| ConfigurationContent::Difference { base, changed, removed: removed.clone() };
            split_by_service(&changed).into_iter().map(page).collect()
        }
    }
}

fn split_by_service(configuration: &Arc<Configuration>) -> Vec<Arc<Configuration>> {
    let mut parts: Vec<BTreeMap<ServiceName, ServiceConfiguration>> = vec![BTreeMap::new()];
    let mut size = 0;
    for (name, service) in &configuration.services {
        if size > PAGE_BYTES {
            parts.push(BTreeMap::new());
            size = 0;
        }
        size += serde_json::to_vec(service).map_or(0, |text| text.len());
        if let Some(part) = parts.last_mut() {
            part.insert(name.clone(), service.clone());
        }
    }
    if parts.len() == 1 {
        return vec![configuration.clone()];
    }
    let with_services = |services| Arc::new(Configuration { services, ..without_services(configuration) });
    parts.into_iter().map(with_services).collect()
}

fn without_services(configuration: &Configuration) -> Configuration {
    Configuration {
        deployment: configuration.deployment.clone(),
        revision: configuration.revision,
        formation: configuration.formation,
        sites: configuration.sites.clone(),
        services: BTreeMap::new(),
    }
}

/// The pages of one peer's configuration received so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct PageAssembler {
    source: Option<(NodeId, Revision, u32)>,
    pages: BTreeMap<u32, ConfigurationContent>,
}

impl PageAssembler {
    /// Adds a page. Returns the whole content once all pages have been received.
    pub fn add_page(
        &mut self,
        (peer, revision): (NodeId, Revision),
        (page, pages): (u32, u32),
        content: ConfigurationContent,
    ) -> Option<ConfigurationContent> {
        if pages == 1 {
            return Some(content);
        }
        let source = (peer, revision, pages);
        if self.source != Some(source) {
            self.source = Some(source);
            self.pages.clear();
        }
        self.pages.insert(page, content);
        if self.pages.len() < pages as usize {
            return None;
        }
        self.source = None;
        std::mem::take(&mut self.pages).into_values().reduce(join_pages)
    }
}

fn join_pages(first: ConfigurationContent, next: ConfigurationContent) -> ConfigurationContent {
    match (first, next) {
        (ConfigurationContent::Whole(first), ConfigurationContent::Whole(next)) => {
            ConfigurationContent::Whole(join_services(&first, &next))
        }
        (
            ConfigurationContent::Difference { base, changed: first, removed },
            ConfigurationContent::Difference { base: same, changed: next, .. },
        ) if base == same => ConfigurationContent::Difference { base, changed: join_services(&first, &next), removed },
        // Pages of different kinds don't belong together; the node requests the configuration again.
        _ => ConfigurationContent::Nothing,
    }
}

fn join_services(first: &Configuration, next: &Configuration) -> Arc<Configuration> {
    let services = first.services.iter().chain(&next.services);
    let services = services.map(|(name, service)| (name.clone(), service.clone())).collect();
    Arc::new(Configuration { services, ..without_services(first) })
}
