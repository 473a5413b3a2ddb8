//! Reports on the limits of tenants between nodes, in datagrams; decided in `quillhatch_mesh::limits`.
//!
//! The answer to a report also tells how recent the coordinator's configuration is, so that nodes without traffic know it too.

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

use crate::datagrams::{self, LARGEST_DATAGRAM};
use crate::node::Node;

/// The most tenants that one report names; the busiest go first. So it stays well below the largest datagram.
const MOST_REPORTED: usize = 1000;
/// The reports whose answers are still taken.
const MOST_AWAITED: usize = 4;

/// Reports that were sent and not answered yet.
#[derive(Default)]
struct Awaited {
    /// To whom the last one was sent.
    coordinator: Option<IpAddr>,
    last_sequence: u64,
    sent: VecDeque<(u64, Timestamp)>,
}

impl Awaited {
    fn send(&mut self, coordinator: IpAddr, now: Timestamp) -> u64 {
        self.coordinator = Some(coordinator);
        self.last_sequence += 1;
        self.sent.push_back((self.last_sequence, now));
        if self.sent.len() > MOST_AWAITED {
            self.sent.pop_front();
        }
        self.last_sequence
    }

    /// When the report of this number was sent. It is answered once; those before it are no longer waited for.
    fn answered(&mut self, sequence: u64) -> Option<Timestamp> {
        let place = self.sent.iter().position(|(awaited, _)| *awaited == sequence)?;
        let (_, sent) = self.sent[place];
        self.sent.drain(..=place);
        Some(sent)
    }
}

/// Reports to the coordinator and answers the reports of others until the process ends.
pub async fn exchange(node: Rc<Node>, socket: UdpSocket) {
    let mut awaited = Awaited::default();
    let mut choice = CoordinatorChoice::default();
    let mut buf = vec![0; LARGEST_DATAGRAM];
    loop {
        let period = report_period(node.tenancy.machines.get());
        let pause = node.random.borrow_mut().gen_range(period.mul_f64(0.9)..period.mul_f64(1.1));
        let next_report = sleep(pause);
        tokio::pin!(next_report);
        loop {
            let received = tokio::select! {
                () = &mut next_report => break,
                () = surge(&node, period) => {
                    report_surges(&node, &socket, awaited.coordinator).await;
                    continue;
                }
                received = socket.recv_from(&mut buf) => received,
            };
            // A machine without a node refuses datagrams, which the next call reports; its nodes report elsewhere meanwhile.
            let Ok((length, from)) = received else { continue };
            // Callers on the machines can't send from this port.
            if Some(from.port()) == node.settings.limits.map(|own| own.port()) {
                take(&node, &socket, &buf[..length], from, &mut awaited, &mut choice).await;
            }
        }
        report(&node, &socket, &mut awaited, &mut choice).await;
    }
}

/// Waits until a surge is to be reported.
async fn surge(node: &Node, period: Duration) {
    loop {
        let due = node.tenancy.limits.borrow().surge_report_in(period, node.now());
        match due {
            Some(wait) => return sleep(wait).await,
            None => node.tenancy.surge.notified().await,
        }
    }
}

/// Whether there is anything to agree on.
fn is_needed(node: &Node) -> bool {
    let Some(configuration) = node.current_configuration() else { return false };
    let tenants = &configuration.tenants;
    let is_bounded = node.settings.bounds.revocation.is_some() && !tenants.is_empty();
    node.has(Mechanism::SharedLimits) && (is_bounded || tenants.has_limits())
}

async fn report(node: &Rc<Node>, socket: &UdpSocket, awaited: &mut Awaited, choice: &mut CoordinatorChoice) {
    let machines = open_machines(node);
    if !is_needed(node) {
        return;
    }
    let now = node.now();
    let Some(coordinator) = choice.next(&coordinator_candidates(machines), now) else { return };
    let sequence = awaited.send(coordinator, now);
    let report = usage_report(node, sequence, now);
    send(node, socket, &wire::LimitMessage { report: Some(report), ..Default::default() }, coordinator).await;
}

/// Tells the coordinator of the last report of surges.
async fn report_surges(node: &Rc<Node>, socket: &UdpSocket, coordinator: Option<IpAddr>) {
    let report = surge_report(node, node.now());
    let Some(coordinator) = coordinator.filter(|_| is_needed(node)) else { return };
    send(node, socket, &wire::LimitMessage { surge_report: Some(report), ..Default::default() }, coordinator).await;
}

fn usage_report(node: &Node, sequence: u64, now: Timestamp) -> wire::UsageReport {
    let mut usages = node.tenancy.limits.borrow_mut().report(now);
    usages.sort_unstable_by(|one, other| other.arriving.total_cmp(&one.arriving));
    usages.truncate(MOST_REPORTED);
    wire::UsageReport { sequence, usages: usages.iter().map(encode_usage).collect() }
}

fn surge_report(node: &Node, now: Timestamp) -> wire::SurgeReport {
    let mut surges = node.tenancy.limits.borrow_mut().report_surges(now);
    surges.sort_unstable_by_key(|surge| Reverse(surge.calls));
    surges.truncate(MOST_REPORTED);
    wire::SurgeReport { surges: surges.iter().map(encode_surge).collect() }
}

/// The machines whose targets are not leaving.
fn open_machines(node: &Node) -> Vec<IpAddr> {
    let targets = node.targets.borrow();
    let open = targets.iter().filter(|target| !target.registration.draining);
    open.map(|target| target.registration.address.ip()).collect()
}

async fn send(node: &Node, socket: &UdpSocket, message: &wire::LimitMessage, to: IpAddr) {
    let Some(own) = node.settings.limits else { return };
    // Lost ones are made up for by the next.
    datagrams::send(node, socket, &encode(message), SocketAddr::new(to, own.port())).await;
}

async fn take(
    node: &Rc<Node>,
    socket: &UdpSocket,
    bytes: &[u8],
    from: SocketAddr,
    awaited: &mut Awaited,
    choice: &mut CoordinatorChoice,
) {
    let arrived = node.now();
    let Some(message) = datagrams::read::<wire::LimitMessage>(node, bytes, from) else { return };
    if let Some(report) = message.report {
        let shares = take_usages(node, &report, from.ip(), arrived);
        send(node, socket, &answer(node, report.sequence, &shares, arrived), from.ip()).await;
        update(node, socket, &shares, None, arrived).await;
    }
    if let Some(report) = message.surge_report {
        let shares = take_surges(node, &report, arrived);
        update(node, socket, &shares, Some(from.ip()), arrived).await;
    }
    if let Some(update) = message.update.filter(|_| awaited.coordinator == Some(from.ip())) {
        let shares: Vec<TenantShare> = update.shares.iter().filter_map(decode_share).collect();
        node.tenancy.limits.borrow_mut().apply_shares(&shares, arrived);
    }
    let Some(answer) = message.answer else { return };
    let Some(sent) = awaited.answered(answer.sequence) else { return };
    choice.answered();
    if !answer.settling {
        let shares: Vec<TenantShare> = answer.shares.iter().filter_map(decode_share).collect();
        node.tenancy.limits.borrow_mut().apply_shares(&shares, arrived);
    }
    if let Some(proof) = answer.proof {
        let proof = FreshnessProof { version: proof.version, age_at_arrival_ms: proof.age_at_arrival_ms };
        node.tenancy.heard(proof, &node.configuration.borrow(), sent);
    }
}

/// Takes a report of usage as the coordinator; the shares that hold now.
fn take_usages(node: &Node, report: &wire::UsageReport, from: IpAddr, arrived: Timestamp) -> Vec<TenantShare> {
    let configuration = node.current_configuration();
    let limit_of = |tenant: &str| configuration.as_ref()?.tenants.get(tenant)?.limit;
    let machines = node.tenancy.machines.get();
    let usages = report.usages.iter().filter_map(decode_usage).collect();
    let fleet = (machines, report_period(machines));
    node.tenancy.coordinator.borrow_mut().apply_report(from, usages, limit_of, fleet, arrived)
}

/// Takes a report of surges as the coordinator; the shares that hold now.
fn take_surges(node: &Node, report: &wire::SurgeReport, arrived: Timestamp) -> Vec<TenantShare> {
    let configuration = node.current_configuration();
    let limit_of = |tenant: &str| configuration.as_ref()?.tenants.get(tenant)?.limit;
    let surges: Vec<TenantSurge> = report.surges.iter().map(decode_surge).collect();
    let period = report_period(node.tenancy.machines.get());
    node.tenancy.coordinator.borrow_mut().apply_surge_report(&surges, limit_of, period, arrived)
}

/// The answer to a report of usage.
fn answer(node: &Node, sequence: u64, shares: &[TenantShare], arrived: Timestamp) -> wire::LimitMessage {
    let period = report_period(node.tenancy.machines.get());
    let settling = !node.tenancy.coordinator.borrow().is_settled(period, arrived);
    let proof = node.tenancy.proof(&node.configuration.borrow(), arrived);
    let answer = wire::UsageAnswer {
        sequence,
        shares: shares.iter().filter(|_| !settling).map(encode_share).collect(),
        settling,
        proof: proof
            .map(|proof| wire::FreshnessProof { version: proof.version, age_at_arrival_ms: proof.age_at_arrival_ms }),
    };
    wire::LimitMessage { answer: Some(answer), ..Default::default() }
}

/// Tells the shares to the node that has reported a surge, and to all nodes if these must know before they report again.
async fn update(node: &Node, socket: &UdpSocket, shares: &[TenantShare], reporter: Option<IpAddr>, now: Timestamp) {
    let period = report_period(node.tenancy.machines.get());
    let (is_settled, at_once) = {
        let mut coordinator = node.tenancy.coordinator.borrow_mut();
        (coordinator.is_settled(period, now), coordinator.urgent_update_recipients(period, now))
    };
    if !at_once.is_empty() {
        node.log_failure(|| format!("\"event\":\"shares-fall\",\"told\":{}", at_once.len()));
    }
    let reporter = reporter.filter(|reporter| is_settled && !at_once.contains(reporter));
    let update = wire::SharesUpdate { shares: shares.iter().map(encode_share).collect() };
    let message = wire::LimitMessage { update: Some(update), ..Default::default() };
    for to in at_once.into_iter().chain(reporter) {
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

/// A usage whose rates are no rates is passed over.
fn decode_usage(usage: &wire::TenantUsage) -> Option<TenantUsage> {
    let is_rate = |rate: f32| rate.is_finite() && rate >= 0.0;
    (is_rate(usage.arriving) && is_rate(usage.admitted)).then(|| TenantUsage {
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

/// A share that is none is passed over.
fn decode_share(share: &wire::TenantShare) -> Option<TenantShare> {
    let is_share = share.share.is_finite();
    is_share.then(|| TenantShare { tenant: Arc::from(share.tenant.as_str()), share: share.share.into() })
}
