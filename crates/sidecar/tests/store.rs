//! A store in trouble, and nodes that are cut off from it.

mod support;

use std::time::Duration;

use quillhatch_mesh::mechanisms::Mechanisms;
use quillhatch_mesh::settings::SidecarSettings;
use support::caller::call;
use support::shop::{document, read, two_machines};
use support::store::{StandInStore, StoreMode};
use support::{eventually, run, start_sidecar, Machine, OUTBOUND};
use test_case::test_case;
use tokio::time::{sleep, Instant};

#[test_case(StoreMode::Status(429))]
#[test_case(StoreMode::Status(503))]
#[test_case(StoreMode::Unresponsive)]
fn a_store_in_trouble_changes_nothing_and_is_followed_again(mode: StoreMode) {
    run(async move {
        let (store, _alpha, beta) = two_machines().await;
        let before = store.calls();
        store.set_mode(mode);
        sleep(Duration::from_millis(1200)).await;
        assert!(beta.node().is_ready());
        assert_eq!(call(beta.outbound(), &read("one")).await.expect("an answer").status, 200);
        assert!(store.calls() - before < 20, "two nodes ask {} times in 1.2 s", store.calls() - before);
        store.set_mode(StoreMode::Normal);
        store.write_configuration(&document(6, "beta"));
        eventually("version 6", || beta.node().configuration.borrow().version() == 6).await;
    });
}

#[test]
fn a_store_that_forgot_its_history_is_read_anew() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        store.set_mode(StoreMode::WatchGone);
        sleep(Duration::from_millis(100)).await;
        store.deregister(&alpha.target.id());
        eventually("the gone target is noticed", || beta.node().targets.borrow().len() == 1).await;
        store.set_mode(StoreMode::Normal);
    });
}

#[test]
fn a_list_of_several_pages_is_read_whole() {
    run(async {
        let store = StandInStore::start().await;
        store.set_page_size(1);
        store.write_configuration(&document(5, "alpha"));
        let alpha = Machine::start(&store, "alpha", 8).await;
        let beta = Machine::start(&store, "beta", 8).await;
        let gamma = Machine::start(&store, "alpha", 8).await;
        eventually("all pages are read", || gamma.node().targets.borrow().len() == 3).await;
        drop((alpha, beta));
    });
}

#[test]
fn a_node_that_hears_of_a_newer_configuration_looks_at_once() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        // Beta's watch hangs on a silent connection; alpha's is answered.
        store.set_mode(StoreMode::Unresponsive);
        sleep(Duration::from_millis(100)).await;
        store.set_mode(StoreMode::Normal);
        store.write_configuration(&document(6, "alpha"));
        let begun = Instant::now();
        eventually("alpha has it", || alpha.node().configuration.borrow().version() == 6).await;
        call(beta.outbound(), &read("one")).await.expect("an answer");
        eventually("beta has it", || beta.node().configuration.borrow().version() == 6).await;
        assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    });
}

#[test]
fn a_node_whose_watch_hangs_learns_of_a_drain_from_what_others_tell() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        // Nodes that don't ask each other: only their calls tell.
        let alone = Mechanisms::without("shared-reads").expect("a mechanism");
        let alone = |settings| SidecarSettings { mechanisms: alone, ..settings };
        let alpha = Machine::start_with(&store, "alpha", 8, alone).await;
        let hanging = store.add_listener().await;
        let beta = Machine::start_with(&hanging, "beta", 8, alone).await;
        eventually("both are listed at alpha", || alpha.node().targets.borrow().len() == 2).await;
        hanging.set_mode(StoreMode::WatchHangs);
        sleep(Duration::from_millis(100)).await;
        store.register(&beta.target, "draining");
        let begun = Instant::now();
        eventually("alpha knows", || {
            alpha.node().targets.borrow().get(&beta.target.id()).unwrap().registration.draining
        })
        .await;
        // The connection of the watch stays silent; a new one is answered.
        hanging.set_mode(StoreMode::Normal);
        assert!(!beta.node().gate.borrow().is_closed());
        call(beta.outbound(), &read("one")).await.expect("an answer");
        eventually("beta's gate is closed", || beta.node().gate.borrow().is_closed()).await;
        assert!(begun.elapsed() < support::BOUNDS.drain, "{:?}", begun.elapsed());
    });
}

#[test]
fn a_watch_is_not_asked_again_and_again_for_a_change_that_it_does_not_have() {
    run(async {
        let (store, _alpha, beta) = two_machines().await;
        sleep(Duration::from_millis(1500)).await;
        // Nodes of so small a fleet renew their watches often, which goes on meanwhile.
        let before = store.calls();
        sleep(Duration::from_secs(3)).await;
        let renewals = store.calls() - before;
        let before = store.calls();
        let position = quillhatch_mesh::replica::Position { era: 1, revision: 1_000_000 };
        let unknown = quillhatch_sidecar::hop::StoreView { position, store_unreachable: false };
        for _ in 0..6 {
            quillhatch_sidecar::reach::heard(beta.node(), beta.address.into(), unknown);
            sleep(Duration::from_millis(500)).await;
        }
        let calls = store.calls() - before;
        assert!(calls <= renewals + 2, "{calls} calls, {renewals} without it");
    });
}

#[test]
fn changes_that_keep_coming_are_gathered() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        sleep(Duration::from_millis(1500)).await;
        let before = store.calls();
        let begun = Instant::now();
        for version in 10..40 {
            store.write_configuration(&document(version, "alpha"));
            sleep(Duration::from_millis(100)).await;
        }
        eventually("the last is in force", || beta.node().configuration.borrow().version() == 39).await;
        let calls = store.calls() - before;
        assert!(calls <= 2 * 7, "{calls} calls of two nodes for 30 changes in 3 s");
        assert!(begun.elapsed() < Duration::from_secs(4), "{:?}", begun.elapsed());
        drop(alpha);
    });
}

#[test]
fn a_node_that_starts_while_the_store_is_silent_gets_the_view_of_its_callers() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        store.set_mode(StoreMode::Unresponsive);
        let (address, local) = (alpha.address, alpha.target.address);
        alpha.sidecar.stop().await;
        let restarted = start_sidecar(address, "alpha", local, store.address);
        assert!(!restarted.node.is_ready());
        let answer = call(beta.outbound(), &read("one")).await.expect("an answer");
        assert_eq!(answer.status, 200);
        eventually("the restarted node has the view", || restarted.node.is_ready()).await;
        assert_eq!(restarted.node.configuration.borrow().version(), 5);
        assert_eq!(restarted.node.targets.borrow().len(), 2);
        let own = call((address, OUTBOUND).into(), &read("two")).await.expect("an answer");
        assert_eq!(own.status, 200);
    });
}

#[test]
fn a_question_of_another_node_is_answered_or_refused_and_changes_nothing() {
    use quillhatch_messages::generated::replica::{Position, ReplicaQuestion};
    run(async {
        let (store, alpha, _beta) = two_machines().await;
        let path = quillhatch_sidecar::feed::FEED_PATH;
        let ahead =
            ReplicaQuestion { position: Some(Position { era: 9, revision: 1_000 }), hold_ms: 0, wants_kept: false };
        for question in [ReplicaQuestion::default(), ahead] {
            let question = quillhatch_messages::encode(&question);
            assert_eq!(support::caller::post(alpha.inbound(), path, &question).await, 200);
        }
        assert_eq!(support::caller::post(alpha.inbound(), path, b"nonsense").await, 400);
        assert_eq!(alpha.node().configuration.borrow().version(), 5);
        assert_eq!(alpha.node().position().era, 1, "the era of the store");
        drop(store);
    });
}

#[test]
fn a_target_whose_machine_is_cut_off_from_the_store_serves_on_when_its_entry_runs_out() {
    // Found on the users' bench: two of three targets of a service left the list while they served.
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let beta = Machine::start(&store, "beta", 8).await;
        let cut = store.add_listener().await;
        let alpha = Machine::start(&cut, "alpha", 8).await;
        eventually("both are listed at beta", || beta.node().targets.borrow().len() == 2).await;
        cut.set_mode(StoreMode::Unresponsive);
        eventually("alpha is cut off", || {
            let reach = quillhatch_sidecar::reach::own_reach(alpha.node());
            reach.store_unreachable
        })
        .await;
        assert_eq!(call(beta.outbound(), &read("before")).await.expect("an answer").status, 200);
        store.deregister(&alpha.target.id());
        let begun = Instant::now();
        for number in 0.. {
            if begun.elapsed() > Duration::from_secs(6) {
                break;
            }
            let answer = call(beta.outbound(), &read(&format!("call-{number}"))).await.expect("an answer");
            assert_eq!(answer.status, 200, "after {:?}", begun.elapsed());
            sleep(Duration::from_millis(50)).await;
        }
        // The cut is over, and the target has written its entry again.
        store.register(&alpha.target, "ready");
        cut.set_mode(StoreMode::Normal);
        sleep(Duration::from_millis(4500)).await;
        assert_eq!(call(beta.outbound(), &read("healed")).await.expect("an answer").status, 200);
        // A target that leaves while its machine reads the store is left.
        store.deregister(&alpha.target.id());
        eventually("it is left", || beta.node().targets.borrow().len() == 1).await;
    });
}

#[test]
fn targets_whose_entries_ran_out_while_the_store_was_down_are_kept_until_they_are_listed_again() {
    // Found on the users' bench: when the store came back it listed one of twelve targets.
    run(async {
        let (store, alpha, beta) = two_machines().await;
        store.set_mode(StoreMode::Status(503));
        sleep(Duration::from_millis(400)).await;
        store.deregister(&alpha.target.id());
        store.deregister(&beta.target.id());
        store.set_mode(StoreMode::Normal);
        eventually("the store is read", || beta.node().feed.loss.get().since().is_none()).await;
        for number in 0..5 {
            let answer = call(beta.outbound(), &read(&format!("call-{number}"))).await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
        store.register(&alpha.target, "ready");
        sleep(Duration::from_millis(4500)).await;
        let targets = || beta.node().targets.borrow().len();
        eventually("the one that was not listed again is dropped", || targets() == 1).await;
        assert_eq!(call(beta.outbound(), &read("after")).await.expect("an answer").status, 200);
    });
}

#[test]
fn a_target_that_is_told_of_and_gone_in_one_answer_is_gone() {
    // Found on the users' bench: changes of one target that were gathered listed it again.
    run(async {
        let (store, alpha, beta) = two_machines().await;
        sleep(Duration::from_millis(1500)).await;
        store.write_configuration(&document(6, "alpha"));
        eventually("the first change is taken", || beta.node().configuration.borrow().version() == 6).await;
        // Beta gathers what follows.
        store.register(&alpha.target, "ready");
        store.deregister(&alpha.target.id());
        store.write_configuration(&document(7, "alpha"));
        eventually("the others are taken", || beta.node().configuration.borrow().version() == 7).await;
        assert!(beta.node().targets.borrow().get(&alpha.target.id()).is_none());
    });
}

#[test]
fn a_node_that_starts_reads_a_copy_that_lags_and_then_what_the_copy_lacks() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        store.freeze_stale_copy();
        let gamma = Machine::start(&store, "alpha", 8).await;
        store.deregister(&alpha.target.id());
        store.write_configuration(&document(6, "alpha"));
        eventually("beta knows the changes", || beta.node().configuration.borrow().version() == 6).await;
        let before = store.calls_to("/kv-range?prefix=&stale=1");
        let delta = Machine::start(&store, "beta", 8).await;
        assert_eq!(delta.node().configuration.borrow().version(), 6, "it takes callers only with what the copy lacks");
        assert!(delta.node().targets.borrow().get(&alpha.target.id()).is_none());
        assert!(delta.node().targets.borrow().get(&gamma.target.id()).is_some());
        assert_eq!(store.calls_to("/kv-range?prefix=&stale=1"), before + 1);
    });
}

#[test]
fn a_node_whose_copy_lags_behind_the_history_reads_the_store_itself() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        store.freeze_stale_copy();
        store.write_configuration(&document(6, "alpha"));
        store.set_mode(StoreMode::WatchGone);
        let gamma = Machine::start(&store, "alpha", 8).await;
        eventually("it reads the store itself", || gamma.node().configuration.borrow().version() == 6).await;
        drop((alpha, beta));
    });
}

#[test]
fn a_store_whose_changes_cannot_be_read_is_read_anew() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        store.set_mode(StoreMode::WatchGarbage);
        sleep(Duration::from_millis(100)).await;
        store.write_configuration(&document(6, "alpha"));
        eventually("beta has it", || beta.node().configuration.borrow().version() == 6).await;
        drop(alpha);
    });
}

#[test]
fn after_an_outage_only_the_changes_are_read() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        store.set_mode(StoreMode::Status(503));
        sleep(Duration::from_millis(1500)).await;
        let lists = store.calls_to("/kv-range");
        store.write_configuration(&document(6, "beta"));
        store.set_mode(StoreMode::Normal);
        eventually("alpha has it", || alpha.node().configuration.borrow().version() == 6).await;
        eventually("beta has it", || beta.node().configuration.borrow().version() == 6).await;
        assert_eq!(store.calls_to("/kv-range"), lists);
    });
}

#[test]
fn a_long_outage_costs_few_calls_and_is_over_soon_after_its_end() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        store.set_mode(StoreMode::Status(503));
        let before = store.calls();
        sleep(Duration::from_secs(8)).await;
        let calls = store.calls() - before;
        assert!(calls <= 2 * 14, "{calls} calls of two nodes in 8 s");
        store.set_mode(StoreMode::Normal);
        let returned = Instant::now();
        let is_back = |machine: &Machine| machine.node().feed.loss.get().since().is_none();
        eventually("both read the store again", || is_back(&alpha) && is_back(&beta)).await;
        assert!(returned.elapsed() < support::BOUNDS.recovery, "{:?}", returned.elapsed());
    });
}

#[test]
fn a_target_whose_registration_ran_out_in_an_outage_is_kept_until_it_may_have_registered_again() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        let others = [Machine::start(&store, "beta", 8).await, Machine::start(&store, "beta", 8).await];
        eventually("all are listed", || beta.node().targets.borrow().len() == 4).await;
        store.set_mode(StoreMode::Status(503));
        sleep(Duration::from_millis(1500)).await;
        store.deregister(&alpha.target.id());
        store.set_mode(StoreMode::Normal);
        eventually("the store is read", || beta.node().feed.loss.get().since().is_none()).await;
        let read_at = Instant::now();
        assert_eq!(call(beta.outbound(), &read("kept")).await.expect("an answer").status, 200);
        eventually("it did not register again", || beta.node().targets.borrow().len() == 3).await;
        let kept = read_at.elapsed();
        assert!(kept > Duration::from_millis(1500) && kept < Duration::from_millis(2500), "{kept:?}");
        drop(others);
    });
}
