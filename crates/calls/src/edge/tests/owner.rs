//! A non-repeatable call is sent to the owner of its slot, waits for an owner, or is refused.

use std::time::Duration;

use quillhatch_types::{CallId, Epoch, Outcome, ParentContext, Priority, RefusalReason, RootId, SlotState, Timestamp};
use test_case::test_case;

use super::harness::{arrival, at, keyed, name, node, owned_by, refused, table, Harness, ANSWERED, NEW, OLD};
use crate::edge::{AttemptResult, CallArrival, EdgeInput, EdgeOutput};

/// A non-repeatable child call of `parent`, which lends it `tokens`.
fn child_of(parent: u128, tokens: u16, call: u128) -> CallArrival {
    let parent = ParentContext {
        call: CallId(parent),
        root: RootId(5),
        depth: 0,
        priority: Priority::Bulk,
        retry: false,
        tokens,
        remaining: Duration::from_millis(300),
    };
    CallArrival { parent: Some(parent), ..arrival(call, "pledge") }
}

#[test]
fn a_call_is_sent_to_the_owner_with_its_key() {
    let mut harness = Harness::new(|_, _| {});
    for call in 0..20 {
        harness.arrive(1, keyed(call, "pledge", &format!("key-{call}")));
        let (target, context) = harness.sent_one();
        assert_eq!(target, node(0));
        assert!(context.key.is_some() && context.key_from_caller && context.digest.is_some());
    }
    harness.arrive(1, arrival(50, "pledge"));
    let (_, context) = harness.sent_one();
    assert!(context.key.is_some() && !context.key_from_caller && context.digest.is_none());
}

#[test_case(SlotState::Sealed { destination: name(NEW) }, RefusalReason::SlotMoving; "sealed")]
#[test_case(SlotState::Vacant, RefusalReason::NotOwner; "vacant")]
fn a_call_waits_for_an_owner_for_a_bounded_time(state: SlotState, reason: RefusalReason) {
    let mut harness = Harness::new(|_, _| {});
    harness.table(0, table(OLD, 2, &state));
    harness.arrive(10, arrival(1, "pledge"));
    assert!(harness.sent().is_empty() && harness.refusals().is_empty());
    assert_eq!(harness.fetched_sites().len(), 2);
    harness.run_until(509);
    assert!(harness.refusals().is_empty());
    harness.run_until(510);
    let refusal = harness.refusal();
    assert_eq!((refusal.outcome, refusal.reason), (Outcome::NotRun, reason));
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_waiting_call_is_sent_to_the_new_owner_at_the_other_site() {
    let mut harness = Harness::new(|_, _| {});
    harness.table(0, table(OLD, 2, &SlotState::Sealed { destination: name(NEW) }));
    harness.arrive(10, arrival(1, "pledge"));
    harness.table(20, table(NEW, 3, &owned_by(101)));
    assert_eq!(harness.sent_one().0, node(101));
    // A later table of the old site that assigns the slot elsewhere does not hide the owner, and an older table is
    // ignored.
    harness.table(21, table(OLD, 4, &SlotState::Elsewhere { site: name(NEW) }));
    harness.table(22, table(OLD, 1, &owned_by(0)));
    harness.arrive(23, arrival(2, "pledge"));
    assert_eq!(harness.sent_one().0, node(101));
}

#[test]
fn an_older_table_of_a_site_is_ignored() {
    let mut harness = Harness::new(|_, _| {});
    harness.table(1, table(OLD, 5, &owned_by(1)));
    harness.table(2, table(OLD, 4, &owned_by(2)));
    harness.arrive(3, arrival(1, "pledge"));
    assert_eq!(harness.sent_one().0, node(1));
}

#[test]
fn a_retry_that_is_not_sent_is_refunded() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, child_of(77, 3, 1));
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), refused(RefusalReason::NotOwner));
    harness.table(3, table(OLD, 2, &SlotState::Vacant));
    let outputs = harness.run_until(1_000);
    let returned = EdgeOutput::ReturnTokens { parent: CallId(77), tokens: 3 };
    assert!(outputs.contains(&returned), "{outputs:?}");
}

#[test]
fn a_failed_connection_returns_its_tokens() {
    let mut harness = Harness::new(|_, _| {});
    let call = child_of(77, 3, 1);
    harness.arrive(1, call);
    let attempt = harness.sent_one().1.attempt_id();
    harness.answer(2, attempt, AttemptResult::ConnectFailed);
    harness.step(at(2), EdgeInput::CallerDisconnected { call: attempt.call });
    let returned = EdgeOutput::ReturnTokens { parent: CallId(77), tokens: 3 };
    assert!(harness.outputs.contains(&returned), "{:?}", harness.outputs);
}

#[test]
fn at_equal_epochs_the_table_with_an_owner_wins() {
    let mut harness = Harness::new(|_, _| {});
    harness.table(1, table(OLD, 2, &SlotState::Elsewhere { site: name(NEW) }));
    harness.table(1, table(NEW, 2, &owned_by(102)));
    harness.arrive(2, arrival(1, "pledge"));
    assert_eq!(harness.sent_one().0, node(102));
    harness.table(3, table(OLD, 3, &owned_by(2)));
    harness.table(3, table(NEW, 3, &SlotState::Vacant));
    harness.arrive(4, arrival(2, "pledge"));
    assert_eq!(harness.sent_one().0, node(2));
    harness.table(5, table(NEW, 4, &owned_by(100)));
    harness.table(5, table(OLD, 4, &SlotState::Vacant));
    harness.arrive(6, arrival(3, "pledge"));
    assert_eq!(harness.sent_one().0, node(100));
}

#[test]
fn without_tables_non_repeatable_calls_are_refused_and_repeatable_ones_are_sent() {
    let mut harness = Harness::without_tables(|_, _| {});
    harness.arrive(1, arrival(1, "lookup"));
    let (target, _) = harness.sent_one();
    assert_eq!(target.incarnation.0, 0);
    assert!(target.address.0.port() < 7100, "the configured shares give all slots to the old site");
    assert_eq!(harness.fetched_sites(), [name(OLD)]);
    harness.arrive(2, arrival(2, "pledge"));
    harness.run_until(600);
    assert_eq!(harness.refusal().reason, RefusalReason::NotOwner);
}

#[test]
fn a_redirect_costs_a_token_and_goes_to_the_owner_in_a_newer_table() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, arrival(1, "pledge"));
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), refused(RefusalReason::NotOwner));
    assert!(harness.sent().is_empty(), "the call is not sent to the same owner again at once");
    assert!(!harness.fetched_sites().is_empty());
    harness.table(5, table(OLD, 2, &owned_by(1)));
    let (target, second) = harness.sent_one();
    assert_eq!((target, second.attempt), (node(1), 1));
    assert_eq!(second.rank, first.rank, "a redirect is not ranked as a retry, since no work was done");
    for (step, epoch) in [(6, 3), (8, 4)] {
        let (_, context) = harness.sent_one();
        harness.answer(step, context.attempt_id(), refused(RefusalReason::NotOwner));
        harness.table(step + 1, table(OLD, epoch, &owned_by((epoch as u16 + 1) % 2)));
    }
    let (_, last) = harness.sent_one();
    harness.answer(10, last.attempt_id(), refused(RefusalReason::NotOwner));
    assert_eq!((last.attempt, harness.refusal().reason), (3, RefusalReason::NotOwner));
}

#[test]
fn an_owner_that_refused_is_retried_after_the_wait_times_out() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, arrival(1, "pledge"));
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), refused(RefusalReason::NotOwner));
    harness.run_until(502);
    assert_eq!(harness.sent_one().0, node(0));
}

#[test]
fn a_newer_epoch_in_an_answer_fetches_the_table_once_per_interval() {
    let mut harness = Harness::new(|_, _| {});
    let mut fetches = 0;
    for call in 0..50 {
        harness.arrive(200 + call, arrival(u128::from(call), "lookup"));
        let (_, context) = harness.sent_one();
        let mut newer = super::harness::feedback();
        newer.epoch = Epoch(9);
        let attempt = context.attempt_id();
        harness.step(at(200 + call), EdgeInput::AttemptAnswered { attempt, result: ANSWERED, feedback: Some(newer) });
        fetches += harness.fetched_sites().len();
    }
    assert_eq!(fetches, 1);
}

#[test]
fn repeatable_calls_of_a_slot_move_to_its_new_site() {
    let mut harness = Harness::new(|_, _| {});
    let mut half = table(NEW, 2, &SlotState::Elsewhere { site: name(OLD) });
    for slot in half.slots.iter_mut().step_by(2) {
        slot.state = owned_by(100);
    }
    harness.table(1, half);
    let mut at_new = 0;
    for call in 0..400 {
        harness.arrive(2, arrival(call, "lookup"));
        at_new += u32::from(harness.sent_one().0.address.0.port() >= 7100);
    }
    assert!((150..250).contains(&at_new), "{at_new} of 400 calls at the new site");
}

#[test]
fn a_suspected_owner_gets_a_call_only_after_a_wait() {
    let mut harness = Harness::new(|_, _| {});
    harness.step(Timestamp::ZERO, EdgeInput::Suspicion { node: node(0).address, suspected: true });
    harness.arrive(1, arrival(1, "pledge"));
    assert!(harness.sent().is_empty());
    harness.run_until(501);
    assert_eq!(harness.sent_one().0, node(0));
}

#[test]
fn an_expired_call_is_not_run_if_waiting_and_unknown_if_in_flight() {
    let mut harness = Harness::new(|settings, _| settings.owner.wait = Duration::from_secs(60));
    let short = |call| {
        let remaining = Some(Duration::from_millis(100));
        CallArrival { remaining, ..arrival(call, "pledge") }
    };
    harness.arrive(1, short(1));
    let (_, context) = harness.sent_one();
    let attempt = context.attempt_id();
    let outputs = harness.run_until(101);
    assert!(outputs.contains(&EdgeOutput::CancelAttempt { attempt }));
    assert_eq!(harness.refusal().outcome, Outcome::Unknown);
    assert!(harness.answer(102, attempt, AttemptResult::Lost).is_empty(), "a late input is ignored");
    harness.table(200, table(OLD, 2, &SlotState::Vacant));
    harness.arrive(201, short(2));
    harness.run_until(302);
    assert_eq!(harness.refusal().outcome, Outcome::NotRun);
}
