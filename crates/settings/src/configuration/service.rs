//! Services, their targets and the checks between their parts.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use quillhatch_types::{
    ClassConfiguration, NodeAddress, ServiceConfiguration, ServiceName, SiteName, TargetConfiguration, ZoneName,
};

use super::class::{read_class, LocatedClass};
use super::read::read_epoch;
use super::sites::Sites;
use super::MAX_SLOT_COUNT;
use crate::report::{Report, Spot};
use crate::section::{Field, Section};

/// How long a claim is kept if the service does not say.
pub(super) const DEFAULT_CLAIM_RETENTION: Duration = Duration::from_secs(3600);
/// How many claims a voter keeps if the service does not say.
pub(super) const DEFAULT_CLAIM_CAPACITY: u32 = 100_000;
/// The largest recorded answer if the service does not say, in bytes.
pub(super) const DEFAULT_REPLAY_LIMIT_BYTES: u32 = 16 << 10;
/// The shortest time of an answer if the service does not say.
pub(super) const DEFAULT_MINIMUM_TIME: Duration = Duration::from_millis(1);
/// The longest wait in a queue if the service does not say.
pub(super) const DEFAULT_QUEUE_TIMEOUT: Duration = Duration::from_millis(250);

const RETENTIONS: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(7 * 24 * 3600);
const CLAIM_CAPACITIES: RangeInclusive<u64> = 1..=10_000_000;
const REPLAY_LIMITS: RangeInclusive<u64> = 0..=1 << 20;
const MINIMUM_TIMES: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(3600);
const QUEUE_TIMEOUTS: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(60);
const REFUSAL_CODES: RangeInclusive<u64> = 400..=599;
const TARGET_SLOTS: RangeInclusive<u64> = 1..=100_000;
const TARGET_CONNECTIONS: RangeInclusive<u64> = 1..=1_000_000;
const WHOLE_SHARE: u64 = 100;

/// What the services of one document share: the sites, and what only one service may have.
#[derive(Debug)]
pub(super) struct ServiceContext<'sites> {
    sites: &'sites Sites,
    nodes: BTreeMap<NodeAddress, String>,
    hosts: BTreeMap<String, String>,
}

impl<'sites> ServiceContext<'sites> {
    /// The context before the first service.
    pub(super) fn new(sites: &'sites Sites) -> Self {
        ServiceContext { sites, nodes: BTreeMap::new(), hosts: BTreeMap::new() }
    }
}

/// Reads one service; `None` if a key without default is missing or wrong, which is reported.
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
    let claim_retention = section
        .optional(report, "claim_retention", DEFAULT_CLAIM_RETENTION, |field, report| field.time(report, RETENTIONS));
    let claim_capacity = section.optional(report, "claim_capacity", DEFAULT_CLAIM_CAPACITY, |field, report| {
        u32::try_from(field.integer(report, CLAIM_CAPACITIES)?).ok()
    });
    let replay_limit_bytes = section.optional(report, "replay_limit", DEFAULT_REPLAY_LIMIT_BYTES, |field, report| {
        u32::try_from(field.size(report, REPLAY_LIMITS)?).ok()
    });
    let refused_before_running = read_refusal_codes(report, &mut section);
    let minimum_time = section
        .optional(report, "minimum_time", DEFAULT_MINIMUM_TIME, |field, report| field.time(report, MINIMUM_TIMES));
    let queue_timeout = section
        .optional(report, "queue_timeout", DEFAULT_QUEUE_TIMEOUT, |field, report| field.time(report, QUEUE_TIMEOUTS));
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
        let Some(host) = item.text(report) else {
            continue;
        };
        let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._:[]".contains(&byte);
        if host.is_empty() || !host.bytes().all(allowed) {
            let problem = format!("{host:?} is no host in lower case");
            report.error(&item.spot, problem, "write a host as callers name it, such as \"giving.example.org\"");
            continue;
        }
        if let Some(other) = context.hosts.insert(host.to_string(), item.spot.path.clone()) {
            let problem = format!("the host {host} is already given by {other}");
            report.error(&item.spot, problem, "let each host select one service");
            continue;
        }
        hosts.push(host.to_string());
    }
    hosts
}

fn read_refusal_codes(report: &mut Report<'_>, section: &mut Section<'_>) -> Vec<u16> {
    let mut codes = Vec::new();
    for item in section.list(report, "refused_before_running") {
        let Some(code) = item.integer(report, REFUSAL_CODES).and_then(|code| u16::try_from(code).ok()) else {
            continue;
        };
        if codes.contains(&code) {
            report.error(&item.spot, format!("the status code {code} is given twice"), "remove one of the two");
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
        report.error(&field.spot, "the service has no class", "give at least one class; a call without one is refused");
    }
    let mut classes: Vec<LocatedClass> = Vec::new();
    for item in &items {
        let Some(class) = read_class(report, item) else {
            continue;
        };
        for other in &classes {
            check_pair(report, &class, other);
        }
        classes.push(class);
    }
    classes
}

/// Reports two classes that can't be told apart.
fn check_pair(report: &mut Report<'_>, class: &LocatedClass, other: &LocatedClass) {
    let (ours, theirs) = (&class.configuration, &other.configuration);
    if ours.name == theirs.name {
        let problem = format!("the class {} is given twice", ours.name);
        report.error(&class.spots.name, problem, "give each class its own name");
    }
    if ours.path_prefix == theirs.path_prefix && methods_overlap(ours, theirs) {
        let problem = format!("the class {} matches the same requests as the class {}", ours.name, theirs.name);
        report.error(&class.spots.path_prefix, problem, "give each its own methods or another path_prefix");
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
        report.warning(&field.spot, "the service has no target", "every call is refused until there is one");
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
    let slots = section.require(report, "slots").and_then(|field| field.integer(report, TARGET_SLOTS));
    let connections =
        section.require(report, "connections").and_then(|field| field.integer(report, TARGET_CONNECTIONS));
    if let Some(site) = &site {
        context.sites.check_site(report, &section.spot("site"), site);
        if let Some(zone) = &zone {
            context.sites.check_zone(report, &section.spot("zone"), site, zone);
        }
    }
    if let Some(node) = node {
        check_node(report, &section.spot("node"), node, &section.spot, context);
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

/// Reports a node that is a target already: a node stands beside one back end of one service.
fn check_node(
    report: &mut Report<'_>,
    spot: &Spot,
    node: NodeAddress,
    target: &Spot,
    context: &mut ServiceContext<'_>,
) {
    let Some(other) = context.nodes.get(&node) else {
        context.nodes.insert(node, target.path.clone());
        return;
    };
    let problem = format!("the node {node} is already the target {other}");
    report.error(spot, problem, "give each target the peer address of its own node");
}

fn check_connections(report: &mut Report<'_>, section: &Section<'_>, slots: u64, connections: u64) {
    if connections < slots {
        let problem = format!("{connections} connections can't carry {slots} calls at once");
        report.warning(&section.spot("connections"), problem, "raise connections or lower slots");
    }
}

fn read_site_shares(
    report: &mut Report<'_>,
    section: &mut Section<'_>,
    sites: &Sites,
    targets: &[TargetConfiguration],
) -> BTreeMap<SiteName, u8> {
    let Some(field) = section.take("site_shares") else {
        return default_shares(report, section, sites);
    };
    let mut shares = BTreeMap::new();
    let mut sum = 0;
    let mut complete = true;
    for (name, name_spot, member) in field.members(report) {
        let site = SiteName::new(name).ok();
        let share = member.integer(report, 0..=WHOLE_SHARE);
        complete &= share.is_some();
        sum += share.unwrap_or(0);
        let Some(site) = site else {
            report.error(&name_spot, format!("there is no site {name:?}"), "name one of the document's sites");
            continue;
        };
        let known = sites.check_site(report, &name_spot, &site);
        let Some(share) = share.and_then(|share| u8::try_from(share).ok()) else {
            continue;
        };
        if known && share > 0 && !targets.is_empty() && !targets.iter().any(|target| target.site == site) {
            let problem = format!("the service has no target at {site}, which is to have {share} percent");
            report.error(&member.spot, problem, "add a target there or give the share to another site");
        }
        shares.insert(site, share);
    }
    if complete && sum != WHOLE_SHARE {
        let problem = format!("the shares sum to {sum} percent");
        report.error(&field.spot, problem, "make them sum to 100");
    }
    shares
}

/// The whole share for the only site; with several sites nobody can guess.
fn default_shares(report: &mut Report<'_>, section: &Section<'_>, sites: &Sites) -> BTreeMap<SiteName, u8> {
    let names: Vec<&SiteName> = sites.names().collect();
    if names.len() > 1 {
        let problem = "the key is missing, and there are several sites";
        report.error(&section.spot("site_shares"), problem, "add site_shares, percentages that sum to 100");
    }
    names.into_iter().take(1).map(|name| (name.clone(), 100)).collect()
}

fn check_deadlines(report: &mut Report<'_>, classes: &[LocatedClass], minimum_time: Duration) {
    for class in classes.iter().filter(|class| class.configuration.deadline <= minimum_time) {
        let problem = "the deadline is not longer than the service's minimum_time, so that every call is refused";
        report.error(&class.spots.deadline, problem, "lengthen the deadline or shorten minimum_time");
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
        report.warning(&section.spot("queue_timeout"), problem, "make queue_timeout shorter than every deadline");
    }
}

/// A claim that is forgotten while its caller still repeats the request would let the request run a second time.
fn check_retention(report: &mut Report<'_>, section: &Section<'_>, classes: &[LocatedClass], retention: Duration) {
    let keyed = classes.iter().map(|class| &class.configuration).filter(|class| !class.repeatable);
    if let Some(class) = keyed.into_iter().find(|class| class.deadline > retention) {
        let problem = format!("claims are forgotten before calls of the class {} reach their deadline", class.name);
        report.error(&section.spot("claim_retention"), problem, "keep claims for at least the longest deadline");
    }
}

fn check_slot_count(report: &mut Report<'_>, section: &Section<'_>, slot_count: Option<u16>, targets: usize) {
    if slot_count.is_some_and(|count| usize::from(count) < targets) {
        let problem = format!("there are fewer slots than the {targets} targets, so that some never own one");
        report.warning(&section.spot("slot_count"), problem, "choose several slots for each target");
    }
}
