//! A second attempt beside one whose node has failed a liveness probe.
//!
//! The node may only be standing still for a moment while its target works on the call. So the first attempt goes on, and
//! the call gets whichever response comes first.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use quillhatch_mesh::balance::Choice;
use quillhatch_mesh::targets::Target;
use tokio::sync::Notify;

use super::attempt::{attempt, should_abandon, Attempt, SilentNode, SlowAttemptPolicy, SILENT_NODE};
use super::run::{choose_target, has_other_target, record_retry, Progress};
use super::Call;
use crate::body::Body;
use crate::node::Node;

/// The policy of an attempt beside which another one may be started.
struct HedgedPolicy<'a> {
    node: &'a Node,
    call: &'a Call,
    service: &'a Arc<str>,
    target: &'a Target,
    progress: &'a Progress,
    /// Whether the body of the request can be sent once more.
    can_resend: bool,
    /// Notified when a second attempt may begin, whose retry was taken from the budget.
    hedge: &'a Notify,
}

impl HedgedPolicy<'_> {
    /// Takes a retry from the budget if the call may be sent to another target beside this one.
    fn try_retry(&self) -> bool {
        let Self { node, call, service, target, progress, .. } = *self;
        self.can_resend
            && progress.may_retry_beside(call)
            && has_other_target(node, service, target, &progress.tried)
            && node.try_retry(service, &call.route.name)
    }
}

impl SlowAttemptPolicy for HedgedPolicy<'_> {
    fn may_abandon(&self) -> bool {
        !self.progress.may_have_run() && should_abandon(self.node, self.call) && self.try_retry()
    }

    fn on_silent_node(&self) -> SilentNode {
        if self.try_retry() {
            self.hedge.notify_one();
            return SilentNode::Wait;
        }
        end_unless_stopping(self.node)
    }
}

/// The policy of the second attempt.
struct SecondPolicy<'a>(&'a Node);

impl SlowAttemptPolicy for SecondPolicy<'_> {
    fn may_abandon(&self) -> bool {
        false
    }

    fn on_silent_node(&self) -> SilentNode {
        end_unless_stopping(self.0)
    }
}

/// A stopping node ends no attempt that a target may be at work on.
fn end_unless_stopping(node: &Node) -> SilentNode {
    match node.is_stopping() {
        true => SilentNode::Wait,
        false => SilentNode::End,
    }
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) target: Arc<Target>,
    pub(super) outcome: Attempt,
}

impl EndedAttempt {
    fn new(choice: &Choice, outcome: Attempt) -> Self {
        EndedAttempt { target: Arc::clone(&choice.target), outcome }
    }

    fn has_response(&self) -> bool {
        matches!(self.outcome, Attempt::Response(_) | Attempt::Interrupted(_))
    }
}

/// The ends of an attempt and of the one that was started beside it.
pub(super) struct HedgedEnd {
    /// The attempt that decides what becomes of the call.
    pub(super) last: EndedAttempt,
    /// The other one, if there was one. It has brought no response.
    pub(super) other: Option<EndedAttempt>,
}

/// Sends a call to the chosen target, and to a second one as well if the node of the first is silent.
pub(super) async fn hedged_attempt(
    node: &Rc<Node>,
    call: &Call,
    choice: &Choice,
    (first_body, body): (Body, Option<&Body>),
    service: &Arc<str>,
    progress: &Progress,
) -> HedgedEnd {
    let hedge = Notify::new();
    let policy = HedgedPolicy {
        node,
        call,
        service,
        target: &choice.target,
        progress,
        can_resend: body.is_some(),
        hedge: &hedge,
    };
    let mut first = pin!(attempt(node, call, choice, first_body, &policy));
    tokio::select! {
        biased;
        outcome = &mut first => return HedgedEnd { last: EndedAttempt::new(choice, outcome), other: None },
        () = hedge.notified() => {}
    }
    let second_choice = choose_target(node, call, service, progress, Some(&choice.target.id));
    let second_body = body.and_then(Body::clone_if_buffered);
    let (Some(second_choice), Some(second_body)) = (second_choice, second_body) else {
        return HedgedEnd { last: EndedAttempt::new(choice, first.await), other: None };
    };
    let mut retried = call.clone();
    record_retry(node, &mut retried);
    let second_policy = SecondPolicy(node);
    let mut second = pin!(attempt(node, &retried, &second_choice, second_body, &second_policy));
    let silent = || Attempt::NoResponse(SILENT_NODE.to_owned());
    tokio::select! {
        biased;
        outcome = &mut first => {
            let ended = EndedAttempt::new(choice, outcome);
            if ended.has_response() {
                return HedgedEnd { last: ended, other: None };
            }
            let last = EndedAttempt::new(&second_choice, second.await);
            HedgedEnd { last, other: Some(ended) }
        }
        outcome = &mut second => {
            let ended = EndedAttempt::new(&second_choice, outcome);
            if ended.has_response() {
                return HedgedEnd { last: ended, other: Some(EndedAttempt::new(choice, silent())) };
            }
            let outcome = if node.is_stopping() { first.await } else { silent() };
            HedgedEnd { last: EndedAttempt::new(choice, outcome), other: Some(ended) }
        }
    }
}
