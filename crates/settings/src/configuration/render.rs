//! Renders a configuration as a JSON document.

use std::collections::BTreeMap;

use quillhatch_types::{
    ClassConfiguration, Configuration, Formation, Priority, ServiceConfiguration, SiteConfiguration,
    TargetConfiguration,
};
use serde::Serialize;

use crate::units::{render_duration, render_size};

#[derive(Serialize)]
struct ConfigurationDocument<'value> {
    deployment: &'value str,
    revision: u64,
    formation: Formation,
    sites: &'value [SiteConfiguration],
    services: BTreeMap<&'value str, ServiceDocument<'value>>,
}

#[derive(Serialize)]
struct ServiceDocument<'value> {
    hosts: &'value [String],
    slot_count: u16,
    claim_retention: String,
    claim_capacity: u32,
    replay_limit: String,
    refused_before_running: &'value [u16],
    minimum_time: String,
    queue_timeout: String,
    site_shares: BTreeMap<&'value str, u8>,
    minimum_epoch: u64,
    classes: Vec<ClassDocument<'value>>,
    targets: &'value [TargetConfiguration],
}

#[derive(Serialize)]
struct ClassDocument<'value> {
    name: &'value str,
    methods: &'value [String],
    path_prefix: &'value str,
    priority: Priority,
    repeatable: bool,
    deadline: String,
    retry_budget: u16,
    retry_ratio_percent: u8,
    large_answers: bool,
}

/// Renders `configuration` as a document.
///
/// A value that [`parse_configuration`](super::parse_configuration) returned is parsed back to the same value. Another
/// value may violate a rule of the document; it is rendered unchecked, and parsing the document reports the errors.
pub fn render_configuration(configuration: &Configuration) -> String {
    let services = configuration.services.iter().map(|(name, service)| (name.as_str(), service_document(service)));
    let document = ConfigurationDocument {
        deployment: configuration.deployment.as_str(),
        revision: configuration.revision.0,
        formation: configuration.formation,
        sites: &configuration.sites,
        services: services.collect(),
    };
    let mut text = serde_json::to_string_pretty(&document).expect("strings, numbers and arrays always serialize");
    text.push('\n');
    text
}

fn service_document(service: &ServiceConfiguration) -> ServiceDocument<'_> {
    ServiceDocument {
        hosts: &service.hosts,
        slot_count: service.slot_count,
        claim_retention: render_duration(service.claim_retention),
        claim_capacity: service.claim_capacity,
        replay_limit: render_size(u64::from(service.replay_limit_bytes)),
        refused_before_running: &service.refused_before_running,
        minimum_time: render_duration(service.minimum_time),
        queue_timeout: render_duration(service.queue_timeout),
        site_shares: service.site_shares.iter().map(|(site, share)| (site.as_str(), *share)).collect(),
        minimum_epoch: service.minimum_epoch.0,
        classes: service.classes.iter().map(class_document).collect(),
        targets: &service.targets,
    }
}

fn class_document(class: &ClassConfiguration) -> ClassDocument<'_> {
    ClassDocument {
        name: class.name.as_str(),
        methods: &class.methods,
        path_prefix: &class.path_prefix,
        priority: class.priority,
        repeatable: class.repeatable,
        deadline: render_duration(class.deadline),
        retry_budget: class.retry_budget,
        retry_ratio_percent: class.retry_ratio_percent,
        large_answers: class.large_answers,
    }
}
