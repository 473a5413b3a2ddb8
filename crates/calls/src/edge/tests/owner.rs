//! A call that may run only once goes to the owner of its slot, or waits for one, or is refused.

use std::time::Duration;

use quillhatch_types::{CallId, Epoch, Outcome, ParentContext, Priority, RefusalReason, RootId, SlotState, Timestamp};
use test_case::test_case;

use super::harness::{arrival, at, keyed, name, node, owned_by, refused, table, Harness, ANSWERED, NEW, OLD};
use crate::edge::{AttemptResult, CallArrival, EdgeInput, EdgeOutput};

/// A pledge that a call in progress makes with `tokens` lent to it.
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
fn goes_to_the_owner_with_its_key() {
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
fn waits_for_an_owner_for_a_bounded_time(state: SlotState, reason: RefusalReason) {
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
fn a_waiting_call_goes_to_the_new_owner_at_the_other_site() {
    let mut harness = Harness::new(|_, _| {});
    harness.table(0, table(OLD, 2, &SlotState::Sealed { destination: name(NEW) }));
    harness.arrive(10, arrival(1, "pledge"));
    harness.table(20, table(NEW, 3, &owned_by(101)));
    assert_eq!(harness.sent_one().0, node(101));
    // The old site's later word that the slot is elsewhere does not hide the owner, nor does an older table come back.
    harness.table(21, table(OLD, 4, &SlotState::Elsewhere { site: name(NEW) }));
    harness.table(22, table(OLD, 1, &owned_by(0)));
    harness.arrive(23, arrival(2, "pledge"));
    assert_eq!(harness.sent_one().0, node(101));
}

#[test]
fn an_older_table_of_a_site_never_comes_back() {
    let mut harness = Harness::new(|_, _| {});
    harness.table(1, table(OLD, 5, &owned_by(1)));
    harness.table(2, table(OLD, 4, &owned_by(2)));
    harness.arrive(3, arrival(1, "pledge"));
    assert_eq!(harness.sent_one().0, node(1));
}

#[test]
fn a_retry_that_is_not_sent_costs_nothing() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, child_of(77, 3, 1));
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), refused(RefusalReason::NotOwner));
    harness.table(3, table(OLD, 2, &SlotState::Vacant));
    let said = harness.run_until(1_000);
    let returned = EdgeOutput::ReturnTokens { parent: CallId(77), tokens: 3 };
    assert!(said.contains(&returned), "{said:?}");
}

#[test]
fn a_connection_that_fails_brings_its_tokens_back() {
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
fn of_two_sites_at_one_epoch_the_one_that_names_an_owner_counts() {
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
fn without_any_table_a_call_that_may_run_once_is_refused_and_others_go_on() {
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
fn a_redirect_costs_a_token_and_leads_to_the_owner_of_a_newer_table() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, arrival(1, "pledge"));
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), refused(RefusalReason::NotOwner));
    assert!(harness.sent().is_empty(), "the same owner is not asked again at once");
    assert!(!harness.fetched_sites().is_empty());
    harness.table(5, table(OLD, 2, &owned_by(1)));
    let (target, second) = harness.sent_one();
    assert_eq!((target, second.attempt), (node(1), 1));
    assert_eq!(second.rank, first.rank, "a redirect did no work and ranks as before");
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
fn an_owner_that_says_no_is_asked_again_after_a_wait_in_vain() {
    let mut harness = Harness::new(|_, _| {});
    harness.arrive(1, arrival(1, "pledge"));
    let (_, first) = harness.sent_one();
    harness.answer(2, first.attempt_id(), refused(RefusalReason::NotOwner));
    harness.run_until(502);
    assert_eq!(harness.sent_one().0, node(0));
}

#[test]
fn a_newer_epoch_on_an_answer_fetches_the_table_once_per_interval() {
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
fn a_slots_share_of_repeatable_calls_moves_with_it() {
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
fn a_suspected_owner_is_sent_to_only_after_a_wait() {
    let mut harness = Harness::new(|_, _| {});
    harness.step(Timestamp::ZERO, EdgeInput::Suspicion { node: node(0).address, suspected: true });
    harness.arrive(1, arrival(1, "pledge"));
    assert!(harness.sent().is_empty());
    harness.run_until(501);
    assert_eq!(harness.sent_one().0, node(0));
}

#[test]
fn time_running_out_while_waiting_is_not_run_and_in_flight_unknown() {
    let mut harness = Harness::new(|settings, _| settings.owner.wait = Duration::from_secs(60));
    let short = |call| {
        let remaining = Some(Duration::from_millis(100));
        CallArrival { remaining, ..arrival(call, "pledge") }
    };
    harness.arrive(1, short(1));
    let (_, context) = harness.sent_one();
    let attempt = context.attempt_id();
    let said = harness.run_until(101);
    assert!(said.contains(&EdgeOutput::CancelAttempt { attempt }));
    assert_eq!(harness.refusal().outcome, Outcome::Unknown);
    assert!(harness.answer(102, attempt, AttemptResult::Lost).is_empty(), "a late input changes nothing");
    harness.table(200, table(OLD, 2, &SlotState::Vacant));
    harness.arrive(201, short(2));
    harness.run_until(302);
    assert_eq!(harness.refusal().outcome, Outcome::NotRun);
}
