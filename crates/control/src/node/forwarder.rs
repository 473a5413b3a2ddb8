//! Operators' requests at the node that received them: answered locally or forwarded to the group that they concern.

use std::collections::BTreeMap;

use quillhatch_types::{Configuration, Findings, NodeId, ServiceConfiguration, ServiceName, SiteName, Timestamp};

use crate::host::nth_member;
use crate::io::{ControlOutput, Recipient, RequestNumber};
use crate::message::GroupBody;
use crate::node::ControlNode;
use crate::operator::{finding, group_prefix, Intent, OperatorReply, OperatorRequest};

/// The maximum number of forwarded requests that await a reply.
const MAX_FORWARDED_REQUESTS: usize = 256;

#[derive(Clone, Debug)]
struct ForwardedRequest {
    request: RequestNumber,
    body: OperatorRequest,
    service: ServiceName,
    site: SiteName,
    leader: Option<NodeId>,
    attempt: usize,
    since: Timestamp,
    sent_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct RequestForwarder {
    next: u64,
    forwarded: BTreeMap<u64, ForwardedRequest>,
}

type Route = Result<(ServiceName, SiteName), OperatorReply>;

impl ControlNode {
    pub(crate) fn on_operator(
        &mut self,
        now: Timestamp,
        request: RequestNumber,
        body: OperatorRequest,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let reply = match &body {
            OperatorRequest::Status { export } => self.status(*export),
            OperatorRequest::Plans => self.plans(),
            _ => match self.route(&body) {
                Ok((service, site)) => {
                    self.forward(now, request, body, service, site, outputs);
                    return;
                }
                Err(refusal) => refusal,
            },
        };
        outputs.push(ControlOutput::Operator { request, reply: Box::new(reply) });
    }

    fn route(&self, body: &OperatorRequest) -> Route {
        let Some(configuration) = self.configuration.current() else {
            let advice = "check the platform's service and the settings of this node";
            return Err(OperatorReply::refused("node", "no configuration is in force here yet", advice));
        };
        match body {
            OperatorRequest::Plan { intent } => self.route_intent(configuration, intent),
            OperatorRequest::Confirm { plan } | OperatorRequest::Cancel { plan } => {
                route_plan(configuration, "plan", plan.as_str())
            }
            OperatorRequest::Explain { id } => route_plan(configuration, "id", id),
            OperatorRequest::AcceptLoss { service } => {
                configured_service(configuration, service)?;
                Ok((service.clone(), self.settings.site.clone()))
            }
            OperatorRequest::Plans | OperatorRequest::Status { .. } => {
                Err(OperatorReply::refused("request", "this request is answered by the node itself", "ask again"))
            }
        }
    }

    fn route_intent(&self, configuration: &Configuration, intent: &Intent) -> Route {
        match intent {
            Intent::MoveShare { service, from, to, percent } => {
                let findings = move_findings(configuration, service, from, to, *percent);
                if findings.has_errors() {
                    return Err(OperatorReply::Refused { findings });
                }
                Ok((service.clone(), from.clone()))
            }
            Intent::Retire { target } => {
                let services = configuration.services.values();
                let mut owners = services.filter_map(|service| {
                    let found = service.targets.iter().find(|candidate| candidate.node == *target)?;
                    Some((service.name.clone(), found.site.clone()))
                });
                owners.next().ok_or_else(|| {
                    let problem = format!("no service has a target at {target}");
                    OperatorReply::refused("intent.target", problem, "check the address with the configuration")
                })
            }
            Intent::ChangeRetries { service, class, ratio, .. } => {
                let configured = configured_service(configuration, service)?;
                if configured.class(class).is_none() {
                    let problem = format!("{service} has no class {class}");
                    return Err(OperatorReply::refused("intent.class", problem, "check the configuration"));
                }
                if *ratio > 100 {
                    let problem = format!("a ratio of {ratio} percent is outside 0 to 100");
                    return Err(OperatorReply::refused("intent.ratio", problem, "give a ratio from 0 to 100"));
                }
                // A single group commits all changes of a service's retries, so that the last change is the same at
                // every site.
                let first = configured.targets.iter().map(|target| &target.site).min();
                let site = first.unwrap_or(&self.settings.site);
                Ok((service.clone(), site.clone()))
            }
            Intent::CancelPlan { id } => route_plan(configuration, "intent.id", id.as_str()),
        }
    }

    fn forward(
        &mut self,
        now: Timestamp,
        request: RequestNumber,
        body: OperatorRequest,
        service: ServiceName,
        site: SiteName,
        outputs: &mut Vec<ControlOutput>,
    ) {
        if self.forwarder.forwarded.len() >= MAX_FORWARDED_REQUESTS {
            let reply = OperatorReply::refused("node", "too many requests are on their way", "ask again in a moment");
            outputs.push(ControlOutput::Operator { request, reply: Box::new(reply) });
            return;
        }
        self.forwarder.next += 1;
        let number = self.forwarder.next;
        let forwarded =
            ForwardedRequest { request, body, service, site, leader: None, attempt: 0, since: now, sent_at: now };
        self.forwarder.forwarded.insert(number, forwarded);
        self.send_request(now, number, outputs);
    }

    fn send_request(&mut self, now: Timestamp, number: u64, outputs: &mut Vec<ControlOutput>) {
        let Some(configuration) = self.configuration.current().cloned() else {
            return;
        };
        let Some(forwarded) = self.forwarder.forwarded.get_mut(&number) else {
            return;
        };
        forwarded.sent_at = now;
        let member = nth_member(&configuration, &forwarded.service, &forwarded.site, forwarded.attempt);
        let Some(recipient) = forwarded.leader.map(Recipient::Run).or(member.map(Recipient::Address)) else {
            return;
        };
        let body = GroupBody::Request { number, request: Box::new(forwarded.body.clone()) };
        let (service, site) = (forwarded.service.clone(), forwarded.site.clone());
        self.send_about(recipient, &service, &site, body, outputs);
    }

    pub(crate) fn resend_requests(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        let timing = self.settings.timing.clone();
        let numbers: Vec<u64> = self.forwarder.forwarded.keys().copied().collect();
        for number in numbers {
            let Some(forwarded) = self.forwarder.forwarded.get_mut(&number) else {
                continue;
            };
            if now.since(forwarded.since) >= timing.request_timeout {
                self.time_out_request(number, outputs);
            } else if now.since(forwarded.sent_at) >= timing.resend {
                forwarded.attempt += 1;
                forwarded.leader = None;
                self.send_request(now, number, outputs);
            }
        }
    }

    fn time_out_request(&mut self, number: u64, outputs: &mut Vec<ControlOutput>) {
        let Some(forwarded) = self.forwarder.forwarded.remove(&number) else {
            return;
        };
        let problem = format!(
            "no leader of the group of {} at {} answers: it has no majority, or cannot be reached from here",
            forwarded.service, forwarded.site
        );
        let changes_state = !matches!(forwarded.body, OperatorRequest::Plan { .. } | OperatorRequest::Explain { .. });
        let reply = if changes_state {
            let problem = format!("{problem}; ask `plans` once it answers, or ask the same again");
            OperatorReply::Undecided { problem }
        } else {
            OperatorReply::refused("group", problem, "ask a node on the other side of a cut link, or wait")
        };
        outputs.push(ControlOutput::Operator { request: forwarded.request, reply: Box::new(reply) });
    }

    pub(crate) fn on_not_leader(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        site: &SiteName,
        leader: Option<NodeId>,
        outputs: &mut Vec<ControlOutput>,
    ) {
        if *site == self.settings.site {
            self.on_gate_not_leader(service, leader);
        }
        let without_leader = self.forwarder.forwarded.iter().filter(|(_, forwarded)| {
            forwarded.service == *service && forwarded.site == *site && forwarded.leader.is_none()
        });
        let numbers: Vec<u64> = without_leader.map(|(number, _)| *number).collect();
        for number in numbers {
            if let Some(forwarded) = self.forwarder.forwarded.get_mut(&number).filter(|_| leader.is_some()) {
                forwarded.leader = leader;
                self.send_request(now, number, outputs);
            }
        }
    }

    pub(crate) fn on_reply(&mut self, number: u64, reply: &OperatorReply, outputs: &mut Vec<ControlOutput>) {
        if let Some(forwarded) = self.forwarder.forwarded.remove(&number) {
            outputs.push(ControlOutput::Operator { request: forwarded.request, reply: Box::new(reply.clone()) });
        }
    }
}

fn configured_service<'a>(
    configuration: &'a Configuration,
    service: &ServiceName,
) -> Result<&'a ServiceConfiguration, OperatorReply> {
    configuration.services.get(service).ok_or_else(|| {
        let problem = format!("the service {service} is not configured");
        OperatorReply::refused("intent.service", problem, "check its name with the configuration")
    })
}

/// Finds the group of a plan by the prefix of the plan's id.
fn route_plan(configuration: &Configuration, path: &str, id: &str) -> Route {
    let prefix = id.split('-').next().unwrap_or_default();
    let groups = configuration.services.values().flat_map(|service| {
        let sites: std::collections::BTreeSet<&SiteName> = service.targets.iter().map(|target| &target.site).collect();
        sites.into_iter().map(|site| (service.name.clone(), site.clone()))
    });
    let mut matching = groups.filter(|(service, site)| group_prefix(service, site) == prefix);
    matching.next().ok_or_else(|| {
        let problem = format!("{id} is not the id of a plan of this deployment");
        OperatorReply::refused(path, problem, "copy the id from the answer to `plan`")
    })
}

fn move_findings(
    configuration: &Configuration,
    service: &ServiceName,
    from: &SiteName,
    to: &SiteName,
    percent: u32,
) -> Findings {
    let mut findings = Findings::default();
    if percent > 100 {
        let problem = format!("a share of {percent} percent is outside 0 to 100");
        findings.push(finding("intent.percent", problem, "give a share from 1 to 100"));
    }
    if from == to {
        findings.push(finding("intent.to", "both sites are the same", "name the other site"));
    }
    let Some(configured) = configuration.services.get(service) else {
        let problem = format!("the service {service} is not configured");
        findings.push(finding("intent.service", problem, "check its name with the configuration"));
        return findings;
    };
    for (path, site) in [("intent.from", from), ("intent.to", to)] {
        if configured.targets_at(site).next().is_none() {
            let problem = format!("{service} has no target at {site}");
            findings.push(finding(path, problem, "check the site's name, or configure targets there"));
        }
    }
    findings
}
