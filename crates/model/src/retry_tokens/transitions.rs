//! The possible transitions of a tree of calls.

use derive_more::Display;

use super::checks::Checks;
use super::tree::{Attempt, Call};

/// The number of levels of the tree; calls are at depth 0 to `HOPS - 1`.
pub(super) const HOPS: u8 = 3;
/// The maximum number of child calls with tokens that a back end makes for one attempt.
pub(super) const FAN_OUT: u8 = 2;
/// The number of tokens with which the root call starts.
pub(super) const ROOT_TOKENS: u16 = 4;

/// The event of a transition, as shown in a trace.
#[derive(Clone, Copy, Debug, Display)]
pub(super) enum Event {
    #[display("a call at depth {depth} starts with {tokens} tokens lent by its parent")]
    Started { depth: u8, tokens: u16 },
    #[display("the answer with {tokens} tokens reaches the call at depth {depth}, which ends")]
    Answered { depth: u8, tokens: u16 },
    #[display("the call at depth {depth} fails: {failure}; it is sent again")]
    Retried { depth: u8, failure: Failure },
    #[display("the call at depth {depth} fails: {failure}; it ends")]
    GivenUp { depth: u8, failure: Failure },
    #[display("an attempt at depth {depth} that was given up answers late, with {tokens} tokens")]
    AnsweredLate { depth: u8, tokens: u16 },
    #[display("a copy of an earlier answer with {tokens} tokens counts for the call at depth {depth}")]
    CopyArrived { depth: u8, tokens: u16 },
}

/// How an attempt fails.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Failure {
    /// The edge knows that no gate received the attempt. A refusal that returns all tokens has the same effect.
    #[display("the attempt was never sent")]
    NotSent,
    #[display("the attempt answers with a failure")]
    Failed,
    /// The answer is lost or late, or the call was cancelled; the attempt may keep running.
    #[display("the answer is lost")]
    Lost,
}

/// One transition: its event and the tree after it.
#[derive(Clone, Debug)]
pub(super) struct Transition {
    pub event: Event,
    pub call: Call,
    /// Whether a retry was sent.
    pub retried: bool,
    /// The tokens that the topmost call returns to its parent, if this transition ends the call.
    pub returned: Option<u16>,
}

/// Returns all possible transitions of the subtree whose root is `call`, at `depth`.
pub(super) fn transitions(call: &Call, depth: u8, checks: Checks) -> Vec<Transition> {
    let mut found = Vec::new();
    if call.in_flight {
        end_latest_attempt(call, depth, checks, &mut found);
    }
    for index in 0..call.attempts.len() {
        if !call.is_in_flight(index) {
            answer_late(call, index, depth, checks, &mut found);
            deliver_duplicate(call, index, depth, &mut found);
        }
        if depth + 1 < HOPS {
            start_child(call, index, depth, checks, &mut found);
            child_transitions(call, index, depth, checks, &mut found);
        }
    }
    for transition in &mut found {
        transition.call.normalize();
    }
    found
}

/// Ends the attempt in flight at the edge: it is answered or fails, and a failed one is retried or ends the call.
fn end_latest_attempt(call: &Call, depth: u8, checks: Checks, found: &mut Vec<Transition>) {
    let mut answered = call.clone();
    let tokens = report_latest_attempt(&mut answered, checks);
    answered.budget.return_tokens(tokens);
    end_call(answered, Event::Answered { depth, tokens }, found);
    for failure in [Failure::NotSent, Failure::Failed, Failure::Lost] {
        let Some(failed) = fail_attempt(call, failure, checks) else {
            continue;
        };
        if failed.budget.allows_retry() {
            let mut charged = failed.clone();
            charged.budget.charge(checks);
            let event = Event::Retried { depth, failure };
            let retried = charged.send_with_each_share(checks).into_iter();
            found.extend(retried.map(|call| Transition { event, call, retried: true, returned: None }));
        }
        end_call(failed, Event::GivenUp { depth, failure }, found);
    }
}

fn report_latest_attempt(call: &mut Call, checks: Checks) -> u16 {
    call.attempts.last_mut().map_or(0, |attempt| attempt.report(checks))
}

fn fail_attempt(call: &Call, failure: Failure, checks: Checks) -> Option<Call> {
    let mut failed = call.clone();
    match failure {
        Failure::NotSent if failed.attempts.last().is_some_and(Attempt::is_untouched) => {
            failed.attempts.pop();
            failed.budget.return_all_tokens();
        }
        Failure::NotSent => return None,
        Failure::Failed => {
            let tokens = report_latest_attempt(&mut failed, checks);
            failed.budget.return_tokens(tokens);
        }
        Failure::Lost => failed.budget.discard_lent(checks),
    }
    failed.in_flight = false;
    Some(failed)
}

fn end_call(mut call: Call, event: Event, found: &mut Vec<Transition>) {
    call.in_flight = false;
    let returned = Some(call.budget.take_remaining());
    found.push(Transition { event, call, retried: false, returned });
}

/// Answers an attempt for which the edge no longer waits; its tokens are lost with the answer.
fn answer_late(call: &Call, index: usize, depth: u8, checks: Checks, found: &mut Vec<Transition>) {
    if call.attempts[index].account.reported {
        return;
    }
    let mut next = call.clone();
    let tokens = next.attempts[index].report(checks);
    found.push(Transition { event: Event::AnsweredLate { depth, tokens }, call: next, retried: false, returned: None });
}

/// Delivers a duplicate of an answer. Only an edge that does not check the attempt number accepts it.
fn deliver_duplicate(call: &Call, index: usize, depth: u8, found: &mut Vec<Transition>) {
    let tokens = call.attempts[index].duplicate_tokens;
    if tokens == 0 || !call.in_flight {
        return;
    }
    let mut next = call.clone();
    next.attempts[index].duplicate_tokens = 0;
    next.budget.return_tokens(tokens);
    found.push(Transition { event: Event::CopyArrived { depth, tokens }, call: next, retried: false, returned: None });
}

/// The back end of an attempt starts a child call. Calls without tokens are left out: neither they nor calls below them
/// can ever be retried.
fn start_child(call: &Call, index: usize, depth: u8, checks: Checks, found: &mut Vec<Transition>) {
    let attempt = &call.attempts[index];
    if attempt.started >= FAN_OUT {
        return;
    }
    // Without the shared budget, each call has a retry count of its own and its parent lends nothing.
    let wanted = if checks.one_budget { 1..=attempt.account.held } else { 0..=0 };
    for wanted in wanted {
        let mut parent = call.clone();
        let lent = parent.attempts[index].account.lend(wanted);
        parent.attempts[index].started += 1;
        let tokens = if checks.one_budget { lent } else { ROOT_TOKENS };
        let event = Event::Started { depth: depth + 1, tokens };
        for child in Call::start_with_each_share(tokens, checks) {
            let mut next = parent.clone();
            next.attempts[index].children.push(child);
            found.push(Transition { event, call: next, retried: false, returned: None });
        }
    }
}

/// Adds the transitions of the child calls of an attempt.
fn child_transitions(call: &Call, index: usize, depth: u8, checks: Checks, found: &mut Vec<Transition>) {
    for (child_index, child) in call.attempts[index].children.iter().enumerate() {
        for transition in transitions(child, depth + 1, checks) {
            let mut next = call.clone();
            next.attempts[index].children[child_index] = transition.call;
            let Transition { event, retried, returned, .. } = transition;
            let Some(tokens) = returned.filter(|tokens| *tokens > 0) else {
                found.push(Transition { event, call: next, retried, returned: None });
                continue;
            };
            // The attempts of a call may be at several gates (`next`) or at one gate (`shared`). One gate identifies
            // the lender only by the parent call, so it returns a child's tokens to the latest attempt first.
            let mut shared = next.clone();
            for _ in 0..if checks.return_once { 1 } else { 2 } {
                next.attempts[index].account.take_back(tokens);
                take_back_at_gate(&mut shared, tokens);
            }
            found.push(Transition { event, call: next, retried, returned: None });
            found.push(Transition { event, call: shared, retried, returned: None });
        }
    }
}

fn take_back_at_gate(call: &mut Call, tokens: u16) {
    let mut remaining = tokens;
    for attempt in call.attempts.iter_mut().rev() {
        remaining = attempt.account.take_back(remaining);
    }
}
