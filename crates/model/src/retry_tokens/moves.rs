//! Everything that may happen next in a tree of calls.

use derive_more::Display;

use super::checks::Checks;
use super::tree::{Attempt, Call};

/// Calls stand at depth 0 up to this number less one.
pub(super) const HOPS: u8 = 3;
/// How many calls with tokens a back end makes for one attempt.
pub(super) const FAN_OUT: u8 = 2;
/// The tokens of the root call.
pub(super) const ROOT_TOKENS: u16 = 4;

/// What happened, for a trace.
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
    /// The edge knows that no gate has it; a refusal with all tokens comes to the same.
    #[display("the attempt was never sent")]
    NotSent,
    #[display("the attempt answers with a failure")]
    Failed,
    /// The answer is lost or late, or the call was cancelled; the attempt may run on.
    #[display("the answer is lost")]
    Lost,
}

/// A tree after something happened.
#[derive(Clone, Debug)]
pub(super) struct Move {
    pub event: Event,
    pub call: Call,
    /// Whether a retry was sent.
    pub retried: bool,
    /// Tokens that the call at the top gives back to its parent, once it ends.
    pub returned: Option<u16>,
}

/// All that may happen next in the part of the tree below `call`, which stands at `depth`.
pub(super) fn moves(call: &Call, depth: u8, checks: Checks) -> Vec<Move> {
    let mut found = Vec::new();
    if call.in_flight {
        settle(call, depth, checks, &mut found);
    }
    for index in 0..call.attempts.len() {
        if !call.is_in_flight(index) {
            answer_late(call, index, depth, checks, &mut found);
            copy_arrives(call, index, depth, &mut found);
        }
        if depth + 1 < HOPS {
            start_children(call, index, depth, checks, &mut found);
            move_children(call, index, depth, checks, &mut found);
        }
    }
    for made in &mut found {
        made.call.tidy();
    }
    found
}

/// The attempt in flight comes to its end at the edge.
fn settle(call: &Call, depth: u8, checks: Checks, found: &mut Vec<Move>) {
    let mut answered = call.clone();
    let tokens = report_last(&mut answered, checks);
    answered.budget.bring_back(tokens);
    end(answered, Event::Answered { depth, tokens }, found);
    for failure in [Failure::NotSent, Failure::Failed, Failure::Lost] {
        let Some(failed) = fail(call, failure, checks) else {
            continue;
        };
        if failed.budget.allows_retry() {
            let mut charged = failed.clone();
            charged.budget.charge(checks);
            let event = Event::Retried { depth, failure };
            let again = charged.launched(checks).into_iter();
            found.extend(again.map(|call| Move { event, call, retried: true, returned: None }));
        }
        end(failed, Event::GivenUp { depth, failure }, found);
    }
}

fn report_last(call: &mut Call, checks: Checks) -> u16 {
    call.attempts.last_mut().map_or(0, |attempt| attempt.report(checks))
}

fn fail(call: &Call, failure: Failure, checks: Checks) -> Option<Call> {
    let mut failed = call.clone();
    match failure {
        Failure::NotSent if failed.attempts.last().is_some_and(Attempt::is_untouched) => {
            failed.attempts.pop();
            failed.budget.bring_back_all();
        }
        Failure::NotSent => return None,
        Failure::Failed => {
            let tokens = report_last(&mut failed, checks);
            failed.budget.bring_back(tokens);
        }
        Failure::Lost => failed.budget.lose_lent(checks),
    }
    failed.in_flight = false;
    Some(failed)
}

fn end(mut call: Call, event: Event, found: &mut Vec<Move>) {
    call.in_flight = false;
    let returned = Some(call.budget.end());
    found.push(Move { event, call, retried: false, returned });
}

/// An attempt that the edge no longer waits for answers; its tokens are lost with the answer.
fn answer_late(call: &Call, index: usize, depth: u8, checks: Checks, found: &mut Vec<Move>) {
    if call.attempts[index].purse.reported {
        return;
    }
    let mut next = call.clone();
    let tokens = next.attempts[index].report(checks);
    found.push(Move { event: Event::AnsweredLate { depth, tokens }, call: next, retried: false, returned: None });
}

/// A copy of an answer, which only an edge that doesn't look at the attempt's number takes in.
fn copy_arrives(call: &Call, index: usize, depth: u8, found: &mut Vec<Move>) {
    let tokens = call.attempts[index].copy;
    if tokens == 0 || !call.in_flight {
        return;
    }
    let mut next = call.clone();
    next.attempts[index].copy = 0;
    next.budget.bring_back(tokens);
    found.push(Move { event: Event::CopyArrived { depth, tokens }, call: next, retried: false, returned: None });
}

/// The back end makes a call. One without tokens can never be sent again, nor one below it; such calls are left out.
fn start_children(call: &Call, index: usize, depth: u8, checks: Checks, found: &mut Vec<Move>) {
    let attempt = &call.attempts[index];
    if attempt.started >= FAN_OUT {
        return;
    }
    // A count per hop lends nothing.
    let wanted = if checks.one_budget { 1..=attempt.purse.held } else { 0..=0 };
    for wanted in wanted {
        let mut lending = call.clone();
        let lent = lending.attempts[index].purse.lend(wanted);
        lending.attempts[index].started += 1;
        let tokens = if checks.one_budget { lent } else { ROOT_TOKENS };
        let event = Event::Started { depth: depth + 1, tokens };
        for child in Call::started(tokens, checks) {
            let mut next = lending.clone();
            next.attempts[index].children.push(child);
            found.push(Move { event, call: next, retried: false, returned: None });
        }
    }
}

/// Something happens below an attempt.
fn move_children(call: &Call, index: usize, depth: u8, checks: Checks, found: &mut Vec<Move>) {
    for (place, child) in call.attempts[index].children.iter().enumerate() {
        for made in moves(child, depth + 1, checks) {
            let mut next = call.clone();
            next.attempts[index].children[place] = made.call;
            let Move { event, retried, returned, .. } = made;
            let Some(tokens) = returned.filter(|tokens| *tokens > 0) else {
                found.push(Move { event, call: next, retried, returned: None });
                continue;
            };
            // A call's attempts may be at one gate, which knows a child's tokens only by the call, or at several.
            let mut shared = next.clone();
            for _ in 0..if checks.return_once { 1 } else { 2 } {
                next.attempts[index].purse.take_back(tokens);
                take_back_at_gate(&mut shared, tokens);
            }
            found.push(Move { event, call: next, retried, returned: None });
            found.push(Move { event, call: shared, retried, returned: None });
        }
    }
}

fn take_back_at_gate(call: &mut Call, tokens: u16) {
    let mut left = tokens;
    for attempt in call.attempts.iter_mut().rev() {
        left = attempt.purse.take_back(left);
    }
}
