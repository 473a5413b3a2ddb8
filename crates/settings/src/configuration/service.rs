//! Reads services with their classes and targets, and checks that the parts are consistent.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use quillhatch_types::{
    ClassConfiguration, NodeAddress, ServiceConfiguration, ServiceName, SiteName, TargetConfiguration, ZoneName,
};

use super::class::{read_class, LocatedClass};
use super::read::read_epoch;
use super::sites::DeclaredSites;
use super::MAX_SLOT_COUNT;
use crate::report::{Report, ValueLocation};
use crate::section::{Field, Section};

/// The default retention time of a claim.
pub(super) const DEFAULT_CLAIM_RETENTION: Duration = Duration::from_secs(3600);
/// The default maximum number of claims that a voter retains.
pub(super) const DEFAULT_CLAIM_CAPACITY: u32 = 100_000;
/// The default maximum size of an answer that is recorded for replay, in bytes.
pub(super) const DEFAULT_REPLAY_LIMIT_BYTES: u32 = 16 << 10;
/// The default minimum time that a service needs to respond; calls with less time left are refused.
pub(super) const DEFAULT_MINIMUM_TIME: Duration = Duration::from_millis(1);
/// The default maximum time that a call waits in a queue.
pub(super) const DEFAULT_QUEUE_TIMEOUT: Duration = Duration::from_millis(250);

const CLAIM_RETENTION_RANGE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(7 * 24 * 3600);
const CLAIM_CAPACITY_RANGE: RangeInclusive<u64> = 1..=10_000_000;
const REPLAY_LIMIT_RANGE: RangeInclusive<u64> = 0..=1 << 20;
const MINIMUM_TIME_RANGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(3600);
const QUEUE_TIMEOUT_RANGE: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(60);
const REFUSAL_CODE_RANGE: RangeInclusive<u64> = 400..=599;
const TARGET_SLOTS_RANGE: RangeInclusive<u64> = 1..=100_000;
const TARGET_CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const TOTAL_SHARE_PERCENT: u64 = 100;

/// The state shared by the services of one document: the sites, and the nodes and hosts that may be used only once.
#[derive(Debug)]
pub(super) struct ServiceContext<'sites> {
    sites: &'sites DeclaredSites,
    /// The path of the target at each node.
    target_paths: BTreeMap<NodeAddress, String>,
    /// The path at which each host was given.
    host_paths: BTreeMap<String, String>,
}

impl<'sites> ServiceContext<'sites> {
    /// Creates the context for the first service.
    pub(super) fn new(sites: &'sites DeclaredSites) -> Self {
        ServiceContext { sites, target_paths: BTreeMap::new(), host_paths: BTreeMap::new() }
    }
}

/// Reads one service. Returns `None` if a key without default is missing or invalid, which is reported.
pub(super) fn read_service(
    report: &mut Report<'_>,
    field: &Field<'_>,
    name: Option<ServiceName>,
    context: &mut ServiceContext<'_>,
) -> Option<ServiceConfiguration> {
    let mut section = Section::open(report, field)?;
    let hosts = read_hosts(report, &mut section, context);
    let slot_count = section.require(report, "slot_count").and_then(|field| {
        let count = field.integer(report, 1..=u64::from(MAX_SLOT_COUNT))?;
        u16::try_from(count).ok()
    });
    let claim_retention = section.optional(report, "claim_retention", DEFAULT_CLAIM_RETENTION, |field, report| {
        field.duration(report, CLAIM_RETENTION_RANGE)
    });
    let claim_capacity = section.optional(report, "claim_capacity", DEFAULT_CLAIM_CAPACITY, |field, report| {
        u32::try_from(field.integer(report, CLAIM_CAPACITY_RANGE)?).ok()
    });
    let replay_limit_bytes = section.optional(report, "replay_limit", DEFAULT_REPLAY_LIMIT_BYTES, |field, report| {
        u32::try_from(field.size(report, REPLAY_LIMIT_RANGE)?).ok()
    });
    let refused_before_running = read_refusal_codes(report, &mut section);
    let minimum_time = section.optional(report, "minimum_time", DEFAULT_MINIMUM_TIME, |field, report| {
        field.duration(report, MINIMUM_TIME_RANGE)
    });
    let queue_timeout = section.optional(report, "queue_timeout", DEFAULT_QUEUE_TIMEOUT, |field, report| {
        field.duration(report, QUEUE_TIMEOUT_RANGE)
    });
    let minimum_epoch = read_epoch(report, &mut section, "minimum_epoch");
    let classes = read_classes(report, &mut section);
    let targets = read_targets(report, &mut section, context);
    let site_shares = read_site_shares(report, &mut section, context.sites, &targets);
    check_deadlines(report, &classes, minimum_time);
    check_queue_timeout(report, &section, &classes, queue_timeout);
    check_retention(report, &section, &classes, claim_retention);
    check_slot_count(report, &section, slot_count, targets.len());
    section.finish(report);
    Some(ServiceConfiguration {
        name: name?,
        hosts,
        slot_count: slot_count?,
        claim_retention,
        claim_capacity,
        replay_limit_bytes,
        refused_before_running,
        minimum_time,
        queue_timeout,
        site_shares,
        minimum_epoch,
        classes: classes.into_iter().map(|class| class.configuration).collect(),
        targets,
    })
}

fn read_hosts(report: &mut Report<'_>, section: &mut Section<'_>, context: &mut ServiceContext<'_>) -> Vec<String> {
    let mut hosts = Vec::new();
    for item in section.list(report, "hosts") {
        let Some(host) = item.string(report) else {
            continue;
        };
        let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._:[]".contains(&byte);
        if host.is_empty() || !host.bytes().all(allowed) {
            let problem = format!("{host:?} is not a Host value in lower case");
            report.error(
                &item.location,
                problem,
                "write the Host value that callers send, such as \"giving.example.org\"",
            );
            continue;
        }
        if let Some(other) = context.host_paths.insert(host.to_string(), item.location.path.clone()) {
            let problem = format!("the host {host} is already given by {other}");
            report.error(&item.location, problem, "use each host for one service only");
            continue;
        }
        hosts.push(host.to_string());
    }
    hosts
}

fn read_refusal_codes(report: &mut Report<'_>, section: &mut Section<'_>) -> Vec<u16> {
    let mut codes = Vec::new();
    for item in section.list(report, "refused_before_running") {
        let Some(code) = item.integer(report, REFUSAL_CODE_RANGE).and_then(|code| u16::try_from(code).ok()) else {
            continue;
        };
        if codes.contains(&code) {
            report.error(&item.location, format!("the status code {code} is given twice"), "remove one of the two");
            continue;
        }
        codes.push(code);
    }
    codes
}

fn read_classes(report: &mut Report<'_>, section: &mut Section<'_>) -> Vec<LocatedClass> {
    let Some(field) = section.require(report, "classes") else {
        return Vec::new();
    };
    let items = field.items(report);
    if items.is_empty() {
        report.error(
            &field.location,
            "the service has no class",
            "give at least one class; a call without one is refused",
        );
    }
    let mut classes: Vec<LocatedClass> = Vec::new();
    for item in &items {
        let Some(class) = read_class(report, item) else {
            continue;
        };
        for other in &classes {
            check_distinct_classes(report, &class, other);
        }
        classes.push(class);
    }
    classes
}

/// Reports two classes that have the same name or match the same requests.
fn check_distinct_classes(report: &mut Report<'_>, class: &LocatedClass, other: &LocatedClass) {
    let (ours, theirs) = (&class.configuration, &other.configuration);
    if ours.name == theirs.name {
        let problem = format!("the class {} is given twice", ours.name);
        report.error(&class.locations.name, problem, "give each class its own name");
    }
    if ours.path_prefix == theirs.path_prefix && methods_overlap(ours, theirs) {
        let problem = format!("the class {} matches the same requests as the class {}", ours.name, theirs.name);
        report.error(&class.locations.path_prefix, problem, "give each its own methods or another path_prefix");
    }
}

fn methods_overlap(first: &ClassConfiguration, second: &ClassConfiguration) -> bool {
    let all = first.methods.is_empty() || second.methods.is_empty();
    all || first.methods.iter().any(|method| second.methods.contains(method))
}

fn read_targets(
    report: &mut Report<'_>,
    section: &mut Section<'_>,
    context: &mut ServiceContext<'_>,
) -> Vec<TargetConfiguration> {
    let Some(field) = section.require(report, "targets") else {
        return Vec::new();
    };
    let items = field.items(report);
    if items.is_empty() {
        report.warning(&field.location, "the service has no target", "every call is refused until there is one");
    }
    items.iter().filter_map(|item| read_target(report, item, context)).collect()
}

fn read_target(
    report: &mut Report<'_>,
    item: &Field<'_>,
    context: &mut ServiceContext<'_>,
) -> Option<TargetConfiguration> {
    let mut section = Section::open(report, item)?;
    let node = section.require(report, "node").and_then(|field| field.reachable_address(report)).map(NodeAddress);
    let site = section.require(report, "site").and_then(|field| field.name(report, SiteName::new));
    let zone = section.require(report, "zone").and_then(|field| field.name(report, ZoneName::new));
    let slots = section.require(report, "slots").and_then(|field| field.integer(report, TARGET_SLOTS_RANGE));
    let connections =
        section.require(report, "connections").and_then(|field| field.integer(report, TARGET_CONNECTIONS_RANGE));
    if let Some(site) = &site {
        context.sites.check_site(report, &section.location_of("site"), site);
        if let Some(zone) = &zone {
            context.sites.check_zone(report, &section.location_of("zone"), site, zone);
        }
    }
    if let Some(node) = node {
        check_node(report, &section.location_of("node"), node, &section.location, context);
    }
    if let (Some(slots), Some(connections)) = (slots, connections) {
        check_connections(report, &section, slots, connections);
    }
    section.finish(report);
    Some(TargetConfiguration {
        node: node?,
        site: site?,
        zone: zone?,
        slots: u32::try_from(slots?).ok()?,
        connections: u32::try_from(connections?).ok()?,
    })
}

/// Reports a node that is already a target: a node serves one back end of one service.
fn check_node(
    report: &mut Report<'_>,
    location: &ValueLocation,
    node: NodeAddress,
    target: &ValueLocation,
    context: &mut ServiceContext<'_>,
) {
    let Some(other) = context.target_paths.get(&node) else {
        context.target_paths.insert(node, target.path.clone());
        return;
    };
    let problem = format!("the node {node} is already the target {other}");
    report.error(location, problem, "give each target the peer address of its own node");
}

fn check_connections(report: &mut Report<'_>, section: &Section<'_>, slots: u64, connections: u64) {
    if connections < slots {
        let problem = format!("{connections} connections can't carry {slots} calls at once");
        report.warning(&section.location_of("connections"), problem, "raise connections or lower slots");
    }
}

fn read_site_shares(
    report: &mut Report<'_>,
    section: &mut Section<'_>,
    sites: &DeclaredSites,
    targets: &[TargetConfiguration],
) -> BTreeMap<SiteName, u8> {
    let Some(field) = section.take("site_shares") else {
        return default_site_shares(report, section, sites);
    };
    let mut shares = BTreeMap::new();
    let mut sum = 0;
    let mut complete = true;
    for (name, name_location, member) in field.members(report) {
        let site = SiteName::new(name).ok();
        let share = member.integer(report, 0..=TOTAL_SHARE_PERCENT);
        complete &= share.is_some();
        sum += share.unwrap_or(0);
        let Some(site) = site else {
            report.error(&name_location, format!("there is no site {name:?}"), "use one of the document's sites");
            continue;
        };
        let known = sites.check_site(report, &name_location, &site);
        let Some(share) = share.and_then(|share| u8::try_from(share).ok()) else {
            continue;
        };
        if known && share > 0 && !targets.is_empty() && !targets.iter().any(|target| target.site == site) {
            let problem = format!("the service has no target at {site}, whose share is {share} percent");
            report.error(&member.location, problem, "add a target there or give the share to another site");
        }
        shares.insert(site, share);
    }
    if complete && sum != TOTAL_SHARE_PERCENT {
        let problem = format!("the shares sum to {sum} percent");
        report.error(&field.location, problem, "make them sum to 100");
    }
    shares
}

/// The default is 100 percent for the only site. With several sites there is no default, which is reported.
fn default_site_shares(
    report: &mut Report<'_>,
    section: &Section<'_>,
    sites: &DeclaredSites,
) -> BTreeMap<SiteName, u8> {
    let names: Vec<&SiteName> = sites.names().collect();
    if names.len() > 1 {
        let problem = "the key is missing, and there are several sites";
        report.error(&section.location_of("site_shares"), problem, "add site_shares, percentages that sum to 100");
    }
    names.into_iter().take(1).map(|name| (name.clone(), 100)).collect()
}

fn check_deadlines(report: &mut Report<'_>, classes: &[LocatedClass], minimum_time: Duration) {
    for class in classes.iter().filter(|class| class.configuration.deadline <= minimum_time) {
        let problem = "the deadline is not longer than the service's minimum_time, so every call is refused";
        report.error(&class.locations.deadline, problem, "lengthen the deadline or shorten minimum_time");
    }
}

fn check_queue_timeout(
    report: &mut Report<'_>,
    section: &Section<'_>,
    classes: &[LocatedClass],
    queue_timeout: Duration,
) {
    if let Some(class) = classes.iter().find(|class| class.configuration.deadline <= queue_timeout) {
        let problem = format!("calls of the class {} can reach their deadline in the queue", class.configuration.name);
        report.warning(
            &section.location_of("queue_timeout"),
            problem,
            "make queue_timeout shorter than every deadline",
        );
    }
}

/// Reports a retention shorter than a deadline: if a claim expired while its caller still retries the request, the
/// request could run a second time.
fn check_retention(report: &mut Report<'_>, section: &Section<'_>, classes: &[LocatedClass], retention: Duration) {
    let not_repeatable = classes.iter().map(|class| &class.configuration).filter(|class| !class.repeatable);
    if let Some(class) = not_repeatable.into_iter().find(|class| class.deadline > retention) {
        let problem = format!("claims expire before calls of the class {} reach their deadline", class.name);
        report.error(
            &section.location_of("claim_retention"),
            problem,
            "retain claims for at least the longest deadline",
        );
    }
}

fn check_slot_count(report: &mut Report<'_>, section: &Section<'_>, slot_count: Option<u16>, targets: usize) {
    if slot_count.is_some_and(|count| usize::from(count) < targets) {
        let problem = format!("there are fewer slots than the {targets} targets, so some targets never own a slot");
        report.warning(&section.location_of("slot_count"), problem, "configure several slots for each target");
    }
}
