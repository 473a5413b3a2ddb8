//! Exchanges usage reports for tenants' rate limits between nodes and their coordinator, in datagrams.
//! `quillhatch_mesh::limits` makes the decisions.
//!
//! The response to a report also contains a proof of how recent the coordinator's configuration is, so that nodes
//! without traffic receive one too.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::freshness::FreshnessProof;
use quillhatch_mesh::limits::{
    coordinator_candidates, report_period, CoordinatorChoice, TenantShare, TenantSurge, TenantUsage,
};
use quillhatch_mesh::mechanisms::Mechanism;
use quillhatch_messages::encode;
use quillhatch_messages::generated::limits as wire;
use quillhatch_types::Timestamp;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::datagrams::{self, MAX_DATAGRAM_BYTES};
use crate::node::Node;

/// The maximum number of tenants in one report, which keeps it well below the maximum datagram size. The busiest
/// tenants have precedence.
const MAX_REPORTED_TENANTS: usize = 1000;
/// The maximum number of reports that await a response; responses to older ones are ignored.
const MAX_PENDING_REPORTS: usize = 4;

/// Reports that were sent and have no response yet.
#[derive(Default)]
struct PendingReports {
    /// The machine to which the last report was sent.
    coordinator: Option<IpAddr>,
    last_sequence: u64,
    sent: VecDeque<(u64, Timestamp)>,
}

impl PendingReports {
    /// Adds a report that is being sent to `coordinator`, and returns its sequence number.
    fn add(&mut self, coordinator: IpAddr, now: Timestamp) -> u64 {
        self.coordinator = Some(coordinator);
        self.last_sequence += 1;
        self.sent.push_back((self.last_sequence, now));
        if self.sent.len() > MAX_PENDING_REPORTS {
            self.sent.pop_front();
        }
        self.last_sequence
    }

    /// Removes the report with this sequence number and all earlier ones, and returns when it was sent. Returns `None`
    /// if it is not pending.
    fn remove(&mut self, sequence: u64) -> Option<Timestamp> {
        let index = self.sent.iter().position(|(pending, _)| *pending == sequence)?;
        let (_, sent) = self.sent[index];
        self.sent.drain(..=index);
        Some(sent)
    }
}

/// Sends reports to the coordinator and responds to the reports of other nodes until the process ends.
pub async fn exchange(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut pending = PendingReports::default();
    let mut choice = CoordinatorChoice::default();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let period = report_period(node.tenancy.machine_count.get());
        let pause = node.random.borrow_mut().gen_range(period.mul_f64(0.9)..period.mul_f64(1.1));
        let next_report = sleep(pause);
        tokio::pin!(next_report);
        loop {
            let received = tokio::select! {
                () = &mut next_report => break,
                () = wait_for_surge(&node, period) => {
                    report_surges(&node, &socket, pending.coordinator).await;
                    continue;
                }
                received = socket.recv_from(&mut buf) => received,
            };
            // A machine without a node refuses datagrams, and the next call on the socket returns that error. Reports
            // then go to another coordinator.
            let Ok((length, from)) = received else { continue };
            // Callers on the same machines can't send from this port.
            if Some(from.port()) == node.settings.limits.map(|address| address.port()) {
                handle_datagram(&node, &socket, &buf[..length], from, &mut pending, &mut choice).await;
            }
        }
        report(&node, &socket, &mut pending, &mut choice).await;
    }
}

/// Waits until a surge must be reported.
async fn wait_for_surge(node: &Node, period: Duration) {
    loop {
        let due = node.tenancy.limits.borrow().surge_report_in(period, node.now());
        match due {
            Some(wait) => return sleep(wait).await,
            None => node.tenancy.surge.notified().await,
        }
    }
}

/// Whether the configuration needs reports: it has limits to share, or a bound on revocation for which nodes need
/// proofs.
fn needs_reports(node: &Node) -> bool {
    let Some(configuration) = node.current_configuration() else { return false };
    let tenants = &configuration.tenants;
    let is_bounded = node.settings.bounds.revocation.is_some() && !tenants.is_empty();
    node.is_enabled(Mechanism::SharedLimits) && (is_bounded || tenants.has_limits())
}

async fn report(node: &Rc<Node>, socket: &UdpSocket, pending: &mut PendingReports, choice: &mut CoordinatorChoice) {
    let machines = serving_machines(node);
    if !needs_reports(node) {
        return;
    }
    let now = node.now();
    let Some(coordinator) = choice.next(&coordinator_candidates(machines), now) else { return };
    let sequence = pending.add(coordinator, now);
    let report = usage_report(node, sequence, now);
    send(node, socket, &wire::LimitMessage { report: Some(report), ..Default::default() }, coordinator).await;
}

/// Reports surges to the coordinator to which the last regular report was sent.
async fn report_surges(node: &Rc<Node>, socket: &UdpSocket, coordinator: Option<IpAddr>) {
    let report = surge_report(node, node.now());
    let Some(coordinator) = coordinator.filter(|_| needs_reports(node)) else { return };
    send(node, socket, &wire::LimitMessage { surge_report: Some(report), ..Default::default() }, coordinator).await;
}

fn usage_report(node: &Node, sequence: u64, now: Timestamp) -> wire::UsageReport {
    let mut usages = node.tenancy.limits.borrow_mut().report(now);
    usages.sort_unstable_by(|one, other| other.arriving.total_cmp(&one.arriving));
    usages.truncate(MAX_REPORTED_TENANTS);
    wire::UsageReport { sequence, usages: usages.iter().map(encode_usage).collect() }
}

fn surge_report(node: &Node, now: Timestamp) -> wire::SurgeReport {
    let mut surges = node.tenancy.limits.borrow_mut().report_surges(now);
    surges.sort_unstable_by_key(|surge| Reverse(surge.calls));
    surges.truncate(MAX_REPORTED_TENANTS);
    wire::SurgeReport { surges: surges.iter().map(encode_surge).collect() }
}

/// The machines whose targets are not draining.
fn serving_machines(node: &Node) -> Vec<IpAddr> {
    let targets = node.targets.borrow();
    let serving = targets.iter().filter(|target| !target.registration.draining);
    serving.map(|target| target.registration.address.ip()).collect()
}

async fn send(node: &Node, socket: &UdpSocket, message: &wire::LimitMessage, to: IpAddr) {
    let Some(own_address) = node.settings.limits else { return };
    // A lost message needs no retransmission: the next one replaces it.
    datagrams::send(node, socket, &encode(message), SocketAddr::new(to, own_address.port())).await;
}

async fn handle_datagram(
    node: &Rc<Node>,
    socket: &UdpSocket,
    bytes: &[u8],
    from: SocketAddr,
    pending: &mut PendingReports,
    choice: &mut CoordinatorChoice,
) {
    let arrived = node.now();
    let Some(message) = datagrams::read::<wire::LimitMessage>(node, bytes, from) else { return };
    if let Some(report) = message.report {
        let shares = record_usages(node, &report, from.ip(), arrived);
        send(node, socket, &usage_response(node, report.sequence, &shares, arrived), from.ip()).await;
        send_shares(node, socket, &shares, None, arrived).await;
    }
    if let Some(report) = message.surge_report {
        let shares = record_surges(node, &report, arrived);
        send_shares(node, socket, &shares, Some(from.ip()), arrived).await;
    }
    if let Some(update) = message.update.filter(|_| pending.coordinator == Some(from.ip())) {
        let shares: Vec<TenantShare> = update.shares.iter().filter_map(decode_share).collect();
        node.tenancy.limits.borrow_mut().apply_shares(&shares, arrived);
    }
    let Some(response) = message.answer else { return };
    let Some(sent) = pending.remove(response.sequence) else { return };
    choice.record_response();
    if !response.settling {
        let shares: Vec<TenantShare> = response.shares.iter().filter_map(decode_share).collect();
        node.tenancy.limits.borrow_mut().apply_shares(&shares, arrived);
    }
    if let Some(proof) = response.proof {
        let proof = FreshnessProof { version: proof.version, age_at_arrival_ms: proof.age_at_arrival_ms };
        node.tenancy.record_peer_proof(proof, &node.configuration.borrow(), sent);
    }
}

/// Records a usage report as the coordinator, and returns the current shares.
fn record_usages(node: &Node, report: &wire::UsageReport, from: IpAddr, arrived: Timestamp) -> Vec<TenantShare> {
    let configuration = node.current_configuration();
    let limit_of = |tenant: &str| configuration.as_ref()?.tenants.get(tenant)?.limit;
    let machines = node.tenancy.machine_count.get();
    let usages = report.usages.iter().filter_map(decode_usage).collect();
    let fleet = (machines, report_period(machines));
    node.tenancy.coordinator.borrow_mut().apply_report(from, usages, limit_of, fleet, arrived)
}

/// Records a surge report as the coordinator, and returns the current shares.
fn record_surges(node: &Node, report: &wire::SurgeReport, arrived: Timestamp) -> Vec<TenantShare> {
    let configuration = node.current_configuration();
    let limit_of = |tenant: &str| configuration.as_ref()?.tenants.get(tenant)?.limit;
    let surges: Vec<TenantSurge> = report.surges.iter().map(decode_surge).collect();
    let period = report_period(node.tenancy.machine_count.get());
    node.tenancy.coordinator.borrow_mut().apply_surge_report(&surges, limit_of, period, arrived)
}

/// The response to a usage report.
fn usage_response(node: &Node, sequence: u64, shares: &[TenantShare], arrived: Timestamp) -> wire::LimitMessage {
    let period = report_period(node.tenancy.machine_count.get());
    let settling = !node.tenancy.coordinator.borrow().is_settled(period, arrived);
    let proof = node.tenancy.peer_proof(&node.configuration.borrow(), arrived);
    let response = wire::UsageAnswer {
        sequence,
        shares: shares.iter().filter(|_| !settling).map(encode_share).collect(),
        settling,
        proof: proof
            .map(|proof| wire::FreshnessProof { version: proof.version, age_at_arrival_ms: proof.age_at_arrival_ms }),
    };
    wire::LimitMessage { answer: Some(response), ..Default::default() }
}

/// Sends the shares to the node that has reported a surge, and to all nodes if a share has dropped so steeply that they
/// need it before their next reports.
async fn send_shares(
    node: &Node,
    socket: &UdpSocket,
    shares: &[TenantShare],
    reporter: Option<IpAddr>,
    now: Timestamp,
) {
    let period = report_period(node.tenancy.machine_count.get());
    let (is_settled, recipients) = {
        let mut coordinator = node.tenancy.coordinator.borrow_mut();
        (coordinator.is_settled(period, now), coordinator.urgent_update_recipients(period, now))
    };
    if !recipients.is_empty() {
        node.log_failure(|| format!("\"event\":\"shares-fall\",\"told\":{}", recipients.len()));
    }
    let reporter = reporter.filter(|reporter| is_settled && !recipients.contains(reporter));
    let update = wire::SharesUpdate { shares: shares.iter().map(encode_share).collect() };
    let message = wire::LimitMessage { update: Some(update), ..Default::default() };
    for to in recipients.into_iter().chain(reporter) {
        send(node, socket, &message, to).await;
    }
}

fn encode_usage(usage: &TenantUsage) -> wire::TenantUsage {
    wire::TenantUsage {
        tenant: usage.tenant.to_string(),
        arriving: usage.arriving as f32,
        admitted: usage.admitted as f32,
    }
}

/// Decodes a usage; `None` if a rate is negative or not finite.
fn decode_usage(usage: &wire::TenantUsage) -> Option<TenantUsage> {
    let is_valid = |rate: f32| rate.is_finite() && rate >= 0.0;
    (is_valid(usage.arriving) && is_valid(usage.admitted)).then(|| TenantUsage {
        tenant: Arc::from(usage.tenant.as_str()),
        arriving: usage.arriving.into(),
        admitted: usage.admitted.into(),
    })
}

fn encode_surge(surge: &TenantSurge) -> wire::TenantSurge {
    wire::TenantSurge { tenant: surge.tenant.to_string(), calls: surge.calls }
}

fn decode_surge(surge: &wire::TenantSurge) -> TenantSurge {
    TenantSurge { tenant: Arc::from(surge.tenant.as_str()), calls: surge.calls }
}

fn encode_share(share: &TenantShare) -> wire::TenantShare {
    wire::TenantShare { tenant: share.tenant.to_string(), share: share.share as f32 }
}

/// Decodes a share; `None` if it is not finite.
fn decode_share(share: &wire::TenantShare) -> Option<TenantShare> {
    let is_valid = share.share.is_finite();
    is_valid.then(|| TenantShare { tenant: Arc::from(share.tenant.as_str()), share: share.share.into() })
}
