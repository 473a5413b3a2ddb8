//! A second attempt beside one that takes longer than usual.
//!
//! The target of the first one may be working on the call, so that attempt goes on, and the call gets whichever response
//! comes first.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use quillhatch_mesh::balance::Choice;
use quillhatch_mesh::targets::Target;
use tokio::sync::Notify;

use super::attempt::{attempt, should_hedge, Attempt, Overdue, OverduePolicy};
use super::run::{choose_target, has_other_target, record_retry, Progress};
use super::Call;
use crate::body::Body;
use crate::node::Node;

/// Tells that a second attempt may begin, whose retry was taken from the budget.
#[derive(Default)]
struct HedgeSignal {
    overdue: Cell<Option<Overdue>>,
    notify: Notify,
}

impl HedgeSignal {
    fn send(&self, overdue: Overdue) {
        self.overdue.set(Some(overdue));
        self.notify.notify_one();
    }

    /// Waits until a second attempt may begin; returns why.
    async fn received(&self) -> Overdue {
        loop {
            self.notify.notified().await;
            if let Some(overdue) = self.overdue.get() {
                return overdue;
            }
        }
    }
}

/// The policy of an attempt beside which another one may be started.
struct FirstPolicy<'a> {
    node: &'a Node,
    call: &'a Call,
    service: &'a Arc<str>,
    target: &'a Target,
    progress: &'a Progress,
    /// Whether the body of the request can be sent once more.
    can_resend: bool,
    signal: &'a HedgeSignal,
}

impl FirstPolicy<'_> {
    /// Takes a retry from the budget if the call may be sent to another target beside this one.
    fn try_retry(&self, overdue: Overdue) -> bool {
        let Self { node, call, service, target, progress, .. } = *self;
        let is_useful = match overdue {
            Overdue::SilentNode => true,
            Overdue::SlowTarget => !progress.may_have_run() && should_hedge(node, call),
        };
        is_useful
            && self.can_resend
            && progress.may_retry_beside(call)
            && has_other_target(node, service, target, &progress.tried)
            && node.try_retry(service, &call.route.name)
    }
}

impl OverduePolicy for FirstPolicy<'_> {
    fn goes_on(&self, overdue: Overdue) -> bool {
        if self.try_retry(overdue) {
            self.signal.send(overdue);
            return true;
        }
        goes_on_alone(self.node, overdue)
    }
}

/// The policy of the second attempt.
struct SecondPolicy<'a>(&'a Node);

impl OverduePolicy for SecondPolicy<'_> {
    fn goes_on(&self, overdue: Overdue) -> bool {
        goes_on_alone(self.0, overdue)
    }
}

/// Whether an attempt goes on without another one beside it. A node that isn't stopping ends one whose node is silent, so
/// that its caller can come back at once.
fn goes_on_alone(node: &Node, overdue: Overdue) -> bool {
    overdue == Overdue::SlowTarget || node.is_stopping()
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

/// Sends a call to the chosen target, and to a second one as well if the first takes longer than usual. `body` is the body
/// for the second attempt, if the request can be sent twice.
pub(super) async fn hedged_attempt(
    node: &Rc<Node>,
    call: &Call,
    choice: &Choice,
    (first_body, body): (Body, Option<&Body>),
    service: &Arc<str>,
    progress: &Progress,
) -> HedgedEnd {
    let (signal, started) = (HedgeSignal::default(), node.now());
    let target = &choice.target;
    let policy = FirstPolicy { node, call, service, target, progress, can_resend: body.is_some(), signal: &signal };
    let mut first = pin!(attempt(node, call, choice, first_body, &policy));
    let overdue = tokio::select! {
        biased;
        outcome = &mut first => return HedgedEnd { last: EndedAttempt::new(choice, outcome), other: None },
        overdue = signal.received() => overdue,
    };
    let second_choice = choose_target(node, call, service, progress, Some(&target.id));
    let second_body = body.and_then(Body::clone_if_buffered);
    let (Some(second_choice), Some(second_body)) = (second_choice, second_body) else {
        return HedgedEnd { last: EndedAttempt::new(choice, first.await), other: None };
    };
    let mut retried = call.clone();
    record_retry(node, &mut retried);
    let second_policy = SecondPolicy(node);
    let mut second = pin!(attempt(node, &retried, &second_choice, second_body, &second_policy));
    let dropped = || Attempt::NoResponse(overdue.failure().to_owned());
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
            if !ended.has_response() {
                let outcome = if goes_on_alone(node, overdue) { first.await } else { dropped() };
                return HedgedEnd { last: EndedAttempt::new(choice, outcome), other: Some(ended) };
            }
            if overdue == Overdue::SlowTarget {
                let now = node.now();
                node.load_balancer.borrow_mut().record_unfinished(&target.id, &call.route.name, now.since(started), now);
            }
            HedgedEnd { last: ended, other: Some(EndedAttempt::new(choice, dropped())) }
        }
    }
}
