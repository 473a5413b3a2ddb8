//! The status that the local target sends in the headers of its responses.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use hyper::HeaderMap;
use quillhatch_mesh::targets::{RunningAt, TargetId, TargetStatus};
use quillhatch_platform::headers;
use quillhatch_platform::target_status::{is_leaving, read_rate_limit};
use quillhatch_types::Timestamp;

use crate::local_target;
use crate::logging::JsonText;
use crate::node::Node;

/// The status that the local target last sent.
#[derive(Default)]
pub struct LocalTargetStatus {
    /// The target that sent it.
    target: RefCell<Option<TargetId>>,
    status: Cell<TargetStatus>,
    /// When the process that sent it was running.
    running_at: Cell<RunningAt>,
    /// The last rate limit that could not be parsed, while the target keeps sending it.
    invalid_rate_limit: RefCell<Option<String>>,
}

impl LocalTargetStatus {
    /// The status that the local target last sent.
    pub fn current(&self) -> TargetStatus {
        self.status.get()
    }
}

/// Forgets the status of processes of the local target that are older than the one that started at `started`, and logs
/// whether they had a rate limit.
pub fn forget_status_before(node: &Node, target: &str, started: u64) {
    node.target_limiter.borrow_mut().forget_before(started);
    if !node.local_target_status.running_at.get().precedes(started) {
        return;
    }
    let before = node.local_target_status.status.take();
    if before.rate_limit.is_some() {
        log_rate_limit(node, target, None, before.rate_limit);
    }
}

/// Records the status in the headers of the response of `target` to a call that was sent at `sent_at`.
pub fn record_response(node: &Rc<Node>, target: &str, sent_at: Timestamp, headers: &HeaderMap) {
    record_status(node, target, sent_at, read_status(node, target, headers));
}

/// The same for a health check, whose response may lack the headers.
pub fn record_health_check(node: &Rc<Node>, target: &str, sent_at: Timestamp, headers: &HeaderMap) {
    let local = &node.local_target_status;
    let is_known = local.target.borrow().as_deref() == Some(target);
    let known = if is_known { local.status.get() } else { TargetStatus::default() };
    let status = read_status(node, target, headers);
    if status != TargetStatus::default() {
        let rate_limit = status.rate_limit.or(known.rate_limit);
        let is_draining = status.is_draining || known.is_draining;
        record_status(node, target, sent_at, TargetStatus { rate_limit, is_draining });
    }
}

fn read_status(node: &Node, target: &str, headers: &HeaderMap) -> TargetStatus {
    TargetStatus {
        rate_limit: rate_limit(node, target, headers),
        is_draining: headers.get(headers::TARGET_LEAVING).is_some_and(|value| is_leaving(value.as_bytes())),
    }
}

/// Records the status of `target`, and logs what has changed.
fn record_status(node: &Rc<Node>, target: &str, sent_at: Timestamp, status: TargetStatus) {
    let local = &node.local_target_status;
    if local.target.borrow().as_deref() != Some(target) {
        *local.target.borrow_mut() = Some(TargetId::from(target));
        local.status.take();
        local.running_at.take();
    }
    let is_unchanged_default = status == TargetStatus::default() && local.status.get() == status;
    let running_at = if is_unchanged_default { Some(RunningAt::default()) } else { running_at(node, target, sent_at) };
    let Some(running_at) = running_at else { return };
    let before = local.status.replace(status);
    local.running_at.set(local.running_at.get().max(running_at));
    node.target_limiter.borrow_mut().record_response(target, status.rate_limit, running_at, node.now());
    if before.rate_limit != status.rate_limit {
        log_rate_limit(node, target, status.rate_limit, before.rate_limit);
    }
    if !status.is_draining {
        return;
    }
    if node.targets.borrow_mut().record_drain_notice(target, running_at, node.now()) {
        let RunningAt(running_at) = running_at;
        node.log(&format!(
            "\"event\":\"target-leaving\",\"target\":{},\"leaving\":true,\"running_at\":{running_at}",
            JsonText(target)
        ));
        local_target::update_gate(node);
    }
}

/// The time of day at `sent_at`, when the process of `target` that has responded was running; `None` if a later process
/// has been listed since.
fn running_at(node: &Node, target: &str, sent_at: Timestamp) -> Option<RunningAt> {
    let sent = RunningAt(node.clock.unix_millis(sent_at));
    let targets = node.targets.borrow();
    let Some(listed) = targets.get(target) else { return Some(sent) };
    let started = listed.registration.started;
    if listed.listed_at <= sent_at {
        // The process that was listed by then, or a later one, has responded, whatever the clocks show.
        return Some(sent.max(RunningAt(started)));
    }
    (!sent.precedes(started)).then_some(sent)
}

/// Parses the rate limit in the headers of a response. One that can't be parsed counts as none, and is logged when the
/// target starts to send it.
fn rate_limit(node: &Node, target: &str, headers: &HeaderMap) -> Option<f64> {
    let parsed = headers.get(headers::TARGET_RATE_LIMIT).map(|value| read_rate_limit(value.as_bytes())).transpose();
    let mut invalid = node.local_target_status.invalid_rate_limit.borrow_mut();
    match parsed {
        Ok(limit) => {
            *invalid = None;
            limit
        }
        Err(error) => {
            if invalid.as_ref() != Some(&error.value) {
                let (target, why) = (JsonText(target), JsonText(&error));
                node.log(&format!("\"event\":\"target-rate-limit-unusable\",\"target\":{target},\"why\":{why}"));
                *invalid = Some(error.value);
            }
            None
        }
    }
}

fn log_rate_limit(node: &Node, target: &str, current: Option<f64>, before: Option<f64>) {
    let (current, before) = (json_number(current), json_number(before));
    node.log(&format!(
        "\"event\":\"target-rate-limit\",\"target\":{},\"per_second\":{current},\"before\":{before}",
        JsonText(target)
    ));
}

fn json_number(number: Option<f64>) -> String {
    number.map_or_else(|| "null".to_owned(), |number| number.to_string())
}
