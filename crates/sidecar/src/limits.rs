//! Reports on the limits of tenants between nodes, in datagrams; decided in `quillhatch_mesh::limits`.
//!
//! The answer to a report also tells how recent the coordinator's configuration is, so that nodes without traffic know it too.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;

use quillhatch_mesh::freshness::FreshnessProof;
use quillhatch_mesh::limits::{candidates, report_period, CoordinatorChoice, TenantShare, TenantUsage};
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
    last_sequence: u64,
    sent: VecDeque<(u64, Timestamp)>,
}

impl Awaited {
    fn send(&mut self, now: Timestamp) -> u64 {
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
    let Some(coordinator) = choice.next(&candidates(machines), now) else { return };
    let mut usages = node.tenancy.limits.borrow_mut().report(now);
    usages.sort_unstable_by(|one, other| other.arriving.total_cmp(&one.arriving));
    usages.truncate(MOST_REPORTED);
    let usages = usages.iter().map(encode_usage).collect();
    let sequence = awaited.send(now);
    let message = wire::LimitMessage { report: Some(wire::UsageReport { sequence, usages }), answer: None };
    send(node, socket, &message, coordinator).await;
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
        let answer = coordinate(node, report, from.ip(), arrived);
        send(node, socket, &wire::LimitMessage { report: None, answer: Some(answer) }, from.ip()).await;
    }
    let Some(answer) = message.answer else { return };
    let Some(sent) = awaited.answered(answer.sequence) else { return };
    choice.answered();
    if !answer.settling {
        let shares: Vec<TenantShare> = answer.shares.iter().filter_map(decode_share).collect();
        node.tenancy.limits.borrow_mut().answered(&shares, arrived);
    }
    if let Some(proof) = answer.proof {
        let proof = FreshnessProof { version: proof.version, age_at_arrival_ms: proof.age_at_arrival_ms };
        node.tenancy.heard(proof, &node.configuration.borrow(), sent);
    }
}

/// Answers the report of the node at `from`.
fn coordinate(node: &Node, report: wire::UsageReport, from: IpAddr, arrived: Timestamp) -> wire::UsageAnswer {
    let configuration = node.current_configuration();
    let limit_of = |tenant: &str| configuration.as_ref()?.tenants.get(tenant)?.limit;
    let machines = node.tenancy.machines.get();
    let usages = report.usages.iter().filter_map(decode_usage).collect();
    let fleet = (machines, report_period(machines));
    let mut coordinator = node.tenancy.coordinator.borrow_mut();
    let shares = coordinator.take(from, usages, limit_of, fleet, arrived);
    let settling = !coordinator.is_settled(report_period(machines), arrived);
    drop(coordinator);
    let proof = node.tenancy.proof(&node.configuration.borrow(), arrived);
    wire::UsageAnswer {
        sequence: report.sequence,
        shares: shares.iter().filter(|_| !settling).map(encode_share).collect(),
        settling,
        proof: proof
            .map(|proof| wire::FreshnessProof { version: proof.version, age_at_arrival_ms: proof.age_at_arrival_ms }),
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

fn encode_share(share: &TenantShare) -> wire::TenantShare {
    wire::TenantShare { tenant: share.tenant.to_string(), share: share.share as f32 }
}

/// A share that is none is passed over.
fn decode_share(share: &wire::TenantShare) -> Option<TenantShare> {
    let is_share = share.share.is_finite();
    is_share.then(|| TenantShare { tenant: Arc::from(share.tenant.as_str()), share: share.share.into() })
}
