//! Nodes that can't read the platform's store get the view of it from nodes that call them or that they call.
//!
//! Nothing is written anywhere and nobody knows all nodes: each header between two nodes tells how far its sender's view of
//! the store reaches and whether the sender is cut off from the store. Whoever reaches further hands its view to the other,
//! if that one is cut off. A view is only ever replaced by one that reaches further.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use quillhatch_mesh::targets::Registration;
use quillhatch_messages::generated::view::{ListedTarget, View};
use quillhatch_messages::{decode, encode};
use quillhatch_platform::configuration::read_configuration;

use crate::body::{read_up_to, Body, Read};
use crate::hop::Reach;
use crate::node::Node;
use crate::present_target;

/// The path at which a node takes a view.
pub const VIEW_PATH: &str = "/quillhatch/view";
/// The largest view in bytes.
const LARGEST_VIEW: usize = 8 * 1024 * 1024;
/// How often a view is handed to the same node at most.
const HAND_OVER_PAUSE: Duration = Duration::from_secs(1);
/// How long handing over a view may take.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);
/// For how long the store must be out of reach before a node says that it is cut off.
const CUT_OFF_AFTER: Duration = Duration::from_millis(700);

/// How far this node's view reaches.
pub fn own_reach(node: &Node) -> Reach {
    let is_cut_off =
        node.store_lost.get().is_some_and(|since| node.now().since(since) >= CUT_OFF_AFTER || node.revision.get() == 0);
    Reach { revision: node.revision.get(), is_cut_off }
}

/// Takes how far the view of the node at `peer` reaches.
///
/// If it reaches further than this node's own, the watch on the store may hang, and its reader is told. If it reaches less
/// far and the other one is cut off from the store, it is handed this node's view.
pub fn heard(node: &Rc<Node>, peer: IpAddr, reach: Reach) {
    note_cuts(node, peer, reach);
    if reach.revision > node.revision.get().max(node.heard_revision.get()) {
        node.heard_revision.set(reach.revision);
        node.later_change.notify_one();
    }
    hand_over_if_needed(node, peer, reach);
}

/// Whether a node is cut off from the store that it has read before. One that has just started says that it is cut off too,
/// which tells nothing of its machine.
fn has_lost_the_store(reach: Reach) -> bool {
    reach.is_cut_off && reach.revision > 0
}

/// Lets the list of targets know which machines can't read the store, this one too.
fn note_cuts(node: &Rc<Node>, peer: IpAddr, reach: Reach) {
    let now = node.now();
    let own = node.settings.local_target.ip();
    let mut targets = node.targets.borrow_mut();
    let grace_end = targets.next_grace_end();
    targets.report_store_access(peer, has_lost_the_store(reach), now);
    targets.report_store_access(own, has_lost_the_store(own_reach(node)), now);
    if grace_end != targets.next_grace_end() {
        node.grace_changed.notify_one();
    }
}

fn hand_over_if_needed(node: &Rc<Node>, peer: IpAddr, reach: Reach) {
    if !reach.is_cut_off || reach.revision >= node.revision.get() {
        return;
    }
    let now = node.now();
    let is_recent = |last: &quillhatch_types::Timestamp| now.since(*last) < HAND_OVER_PAUSE;
    let mut handed = node.views_handed.borrow_mut();
    if handed.get(&peer).is_some_and(is_recent) {
        return;
    }
    handed.retain(|_, last| is_recent(last));
    handed.insert(peer, now);
    drop(handed);
    tokio::task::spawn_local(hand_over(Rc::clone(node), peer));
}

async fn hand_over(node: Rc<Node>, peer: IpAddr) {
    let Some(view) = own_view(&node) else { return };
    let revision = view.revision;
    let request = Request::post(VIEW_PATH).header("host", peer.to_string()).body(Body::Whole(encode(&view).into()));
    let Ok(request) = request else { return };
    let address = SocketAddr::new(peer, node.settings.inbound.port());
    let exchange = async {
        let (response, lease) = node.peers.exchange(address, request).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        lease.keep();
        Some(status)
    };
    let status = tokio::time::timeout(HAND_OVER_TIMEOUT, exchange).await.ok().flatten();
    let outcome = status.map_or("no answer".to_owned(), |status| status.as_u16().to_string());
    node.log(&format!(
        "\"event\":\"view-handed\",\"peer\":\"{peer}\",\"revision\":{revision},\"outcome\":\"{outcome}\""
    ));
}

fn own_view(node: &Node) -> Option<View> {
    let configuration = node.current_configuration()?;
    let now = node.now();
    let targets = node.targets.borrow();
    let listed = targets.iter().map(|target| ListedTarget {
        id: target.id.to_string(),
        service: target.registration.service.to_string(),
        address: target.registration.address.to_string(),
        zone: target.registration.zone.to_string(),
        slots: target.registration.slots,
        draining: target.registration.draining,
        cold_ms: now.until(target.cold_until).as_millis() as u32,
    });
    let targets = listed.collect();
    Some(View { revision: node.revision.get(), configuration: configuration.document.0.to_vec(), targets })
}

/// Takes a view that another node hands over.
pub async fn receive(node: &Rc<Node>, body: Option<Incoming>) -> Response<Body> {
    let status = match take(node, body).await {
        Ok(true) => StatusCode::OK,
        Ok(false) => StatusCode::CONFLICT,
        Err(()) => StatusCode::BAD_REQUEST,
    };
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Says whether the view was taken; an error if it can't be read.
async fn take(node: &Rc<Node>, body: Option<Incoming>) -> Result<bool, ()> {
    let Read::Whole(bytes) = read_up_to(body.ok_or(())?, LARGEST_VIEW).await.map_err(|_| ())? else { return Err(()) };
    let view: View = decode(&bytes).map_err(|_| ())?;
    let configuration = read_configuration(&view.configuration).map_err(|_| ())?;
    let targets: Vec<(Arc<str>, Registration)> = view.targets.iter().filter_map(registration).collect();
    // What was read of the store meanwhile goes before it.
    if !own_reach(node).is_cut_off || view.revision <= node.revision.get() {
        return Ok(false);
    }
    node.revision.set(view.revision);
    node.store_reader.borrow_mut().view_replaced();
    let version = configuration.version;
    let taken = node.configuration.borrow_mut().offer(configuration);
    let (now, count) = (node.now(), targets.len());
    {
        let mut table = node.targets.borrow_mut();
        table.report_store_access(node.settings.local_target.ip(), true, now);
        let listed: HashSet<Arc<str>> = targets.iter().map(|(id, _)| id.clone()).collect();
        let missing = table.missing_from(&listed);
        table.remove_reported(&missing, Duration::ZERO, now);
        for (id, registration) in targets {
            table.update(id, registration, now);
        }
    }
    node.targets_known.set(true);
    let revision = view.revision;
    node.log(&format!(
        "\"event\":\"view-taken\",\"revision\":{revision},\"version\":{version},\"newer\":{taken},\"targets\":{count}"
    ));
    node.count_machines();
    present_target::follow_list(node);
    Ok(true)
}

fn registration(listed: &ListedTarget) -> Option<(Arc<str>, Registration)> {
    let registration = Registration {
        service: Arc::from(listed.service.as_str()),
        address: listed.address.parse().ok()?,
        zone: Arc::from(listed.zone.as_str()),
        slots: listed.slots,
        draining: listed.draining,
        cold_for: Duration::from_millis(u64::from(listed.cold_ms)),
    };
    Some((Arc::from(listed.id.as_str()), registration))
}
