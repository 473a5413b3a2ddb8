//! Few nodes read the store and the others follow them; the store comes back from an older copy, targets start again under their
//! identities, and others write among their entries.

mod support;

use std::time::Duration;

use support::caller::call;
use support::shop::{document, read, two_machines};
use support::store::{StandInStore, StoreMode};
use support::{eventually, run, start_sidecar, FullListener, Machine, BOUNDS};
use test_case::test_case;
use tokio::time::{sleep, Instant};

/// Machines of beta, and one of alpha, which comes first.
async fn machines(store: &StandInStore, count: usize) -> Vec<Machine> {
    let mut machines = vec![Machine::start(store, "alpha", 8).await];
    for _ in 1..count {
        machines.push(Machine::start(store, "beta", 8).await);
    }
    let all_know = || machines.iter().all(|machine| machine.node().targets.borrow().len() == count);
    eventually("all are listed everywhere", all_know).await;
    machines
}

fn reads(machine: &Machine) -> bool {
    machine.node().feed.place.borrow().is_reader
}

async fn calls_in_three_seconds(count: usize) -> usize {
    let store = StandInStore::start().await;
    store.write_configuration(&document(5, "alpha"));
    let machines = machines(&store, count).await;
    sleep(Duration::from_millis(1500)).await;
    let before = store.calls();
    for version in 10..25 {
        store.write_configuration(&document(version, "alpha"));
        sleep(Duration::from_millis(200)).await;
    }
    let all_have = || machines.iter().all(|machine| machine.node().configuration.borrow().version() == 24);
    eventually("the last is in force", all_have).await;
    store.calls() - before
}

#[test]
fn more_nodes_make_no_more_calls_of_the_store() {
    run(async {
        let few = calls_in_three_seconds(3).await;
        let many = calls_in_three_seconds(12).await;
        assert!(many <= few + few / 2, "{few} calls of 3 nodes, {many} of 12");
    });
}

#[test]
fn a_node_that_starts_does_not_take_for_recent_what_others_have_read_before() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let mut machines = machines(&store, 2).await;
        let silent_store = store.add_listener().await;
        silent_store.set_mode(StoreMode::Unresponsive);
        store.set_mode(StoreMode::Unresponsive);
        let lost = Instant::now();
        sleep(Duration::from_millis(1500)).await;
        let Machine { target, sidecar, address } = machines.remove(0);
        sidecar.stop().await;
        let restarted = start_sidecar(address, "alpha", target.address, silent_store.address);
        sleep(Duration::from_millis(100)).await;
        call(machines[0].outbound(), &read("shows-who-to-ask")).await;
        eventually("it has the view of the other", || restarted.node.position().is_known()).await;
        let unread_for = restarted.node.feed.read_at.get().map(|read_at| restarted.node.now().since(read_at));
        // A watch that waited when the store fell silent was answered at its end.
        let least = lost.elapsed() - BOUNDS.recovery / 2;
        assert!(unread_for >= Some(least), "{unread_for:?} of {least:?}");
    });
}

#[test]
fn a_node_that_starts_asks_the_store_once_and_the_others_for_the_rest() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let machines = machines(&store, 6).await;
        // The copy shows two items at a time.
        store.set_page_size(2);
        sleep(Duration::from_millis(500)).await;
        let before = store.calls_to("/kv-range");
        let mut late: Vec<Machine> = Vec::new();
        let mut shown_first = 0;
        for _ in 0..3 {
            let machine = Machine::start(&store, "beta", 8).await;
            let id = machine.target.id();
            let is_least = machines.iter().chain(&late).all(|other| id < other.target.id());
            shown_first += usize::from(is_least);
            late.push(machine);
        }
        let all_know = || late.iter().all(|machine| machine.node().targets.borrow().len() == 9);
        eventually("they know all targets", all_know).await;
        let pages = store.calls_to("/kv-range") - before;
        // One that finds only itself on the first page reads the other pages too, of which there are four.
        assert!(pages <= 3 + 4 * shown_first, "{pages} pages, {shown_first} found themselves");
        drop(machines);
    });
}

#[test_case(true; "killed")]
#[test_case(false; "silent")]
fn a_change_reaches_all_though_a_reader_is_lost(is_killed: bool) {
    run(async move {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let mut machines = machines(&store, 8).await;
        sleep(Duration::from_millis(700)).await;
        let reader = machines.iter().position(reads).expect("a reader");
        let lost = machines.swap_remove(reader);
        let inbound = lost.inbound();
        let Machine { target, sidecar, .. } = lost;
        drop(sidecar);
        let hanging = if is_killed { None } else { Some(FullListener::start(inbound).await) };
        store.write_configuration(&document(6, "alpha"));
        let begun = Instant::now();
        let all_have = || machines.iter().all(|machine| machine.node().configuration.borrow().version() == 6);
        eventually("all have it", all_have).await;
        assert!(begun.elapsed() < BOUNDS.apply, "{:?}", begun.elapsed());
        drop((target, hanging));
    });
}

#[test]
fn a_change_reaches_all_though_the_store_turns_all_readers_away() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let mut machines = Vec::new();
        let mut addresses = Vec::new();
        for _ in 0..8 {
            let address = store.add_listener().await;
            machines.push(Machine::start(&address, "alpha", 8).await);
            addresses.push(address);
        }
        let all_know = || machines.iter().all(|machine| machine.node().targets.borrow().len() == 8);
        eventually("all are listed everywhere", all_know).await;
        sleep(Duration::from_millis(700)).await;
        for (machine, address) in machines.iter().zip(&addresses) {
            if reads(machine) {
                address.set_mode(StoreMode::Status(503));
            }
        }
        store.write_configuration(&document(6, "alpha"));
        let begun = Instant::now();
        let all_have = || machines.iter().all(|machine| machine.node().configuration.borrow().version() == 6);
        eventually("all have it", all_have).await;
        assert!(begun.elapsed() < BOUNDS.apply, "{:?}", begun.elapsed());
    });
}

#[test]
fn a_store_that_comes_back_from_an_older_copy_takes_nothing_back() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let alpha = Machine::start(&store, "alpha", 8).await;
        let leaving = Machine::start(&store, "alpha", 8).await;
        let beta = Machine::start(&store, "beta", 8).await;
        eventually("all are listed", || beta.node().targets.borrow().len() == 3).await;
        sleep(Duration::from_millis(1500)).await;
        store.write_configuration(&document(6, "alpha"));
        store.register(&leaving.target, "draining");
        let drains = |id: &str| beta.node().targets.borrow().get(id).is_none_or(|target| target.registration.draining);
        eventually("the drain is known", || drains(&leaving.target.id())).await;
        eventually("version 6", || beta.node().configuration.borrow().version() == 6).await;

        let lost = store.restore_backup(Duration::from_millis(1200));
        assert_eq!(lost.len(), 2, "the copy lacks both changes");
        eventually("the new era is known", || beta.node().position().era == 2).await;
        let arrivals = leaving.target.received_count();
        for number in 0..20 {
            let answer = call(beta.outbound(), &read(&format!("call-{number}"))).await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
        assert_eq!(leaving.target.received_count(), arrivals, "one that drains gets nothing");
        assert_eq!(beta.node().configuration.borrow().version(), 6);

        // Revisions are given out again; what is written then is learnt.
        lost.iter().for_each(|write| store.rewrite(write));
        store.write_configuration(&document(7, "alpha"));
        let machines = [&alpha, &leaving, &beta];
        let all_have = || machines.iter().all(|machine| machine.node().configuration.borrow().version() == 7);
        eventually("version 7", all_have).await;
    });
}

#[test]
fn a_target_that_an_older_copy_lacks_serves_on() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        sleep(Duration::from_millis(1000)).await;
        let late = Machine::start(&store, "alpha", 8).await;
        eventually("it is listed", || beta.node().targets.borrow().len() == 3).await;
        store.deregister(&alpha.target.id());
        eventually("the other one has left", || beta.node().targets.borrow().len() == 2).await;
        sleep(Duration::from_millis(100)).await;
        let lost = store.restore_backup(Duration::from_millis(900));
        eventually("the new era is known", || beta.node().position().era == 2).await;
        let begun = Instant::now();
        for number in 0.. {
            if begun.elapsed() > Duration::from_millis(1500) {
                break;
            }
            let answer = call(beta.outbound(), &read(&format!("call-{number}"))).await.expect("an answer");
            assert_eq!(answer.status, 200, "after {:?}", begun.elapsed());
            sleep(Duration::from_millis(30)).await;
        }
        assert!(!late.target.started_requests().is_empty());
        lost.iter().for_each(|write| store.rewrite(write));
        sleep(Duration::from_secs(3)).await;
        assert_eq!(call(beta.outbound(), &read("later")).await.expect("an answer").status, 200);
    });
}

#[test]
fn a_target_that_starts_again_under_its_identity_serves_on() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        assert_eq!(call(beta.outbound(), &read("before")).await.expect("an answer").status, 200);
        store.register(&alpha.target, "draining");
        let id = alpha.target.id();
        let drains = || beta.node().targets.borrow().get(&id).is_some_and(|target| target.registration.draining);
        eventually("the drain is known", drains).await;
        alpha.target.restart_with_same_id();
        store.register(&alpha.target, "ready");
        eventually("the new life is known", || !drains()).await;
        eventually("its gate is open", || !alpha.node().gate.borrow().is_closed()).await;
        assert_eq!(call(beta.outbound(), &read("after")).await.expect("an answer").status, 200);
        // A late write of the earlier life.
        let entry = format!(
            r#"{{"service":"alpha","address":"{}","zone":"zone-a","version":"v1","slots":8,"state":"draining","cold_remaining_s":0,"seq":99,"born":7}}"#,
            alpha.target.address
        );
        store.write(&format!("servers/{id}"), Some(&entry));
        store.write_configuration(&document(6, "alpha"));
        eventually("what came after it is known", || beta.node().configuration.borrow().version() == 6).await;
        assert!(!drains());
        assert_eq!(call(beta.outbound(), &read("later")).await.expect("an answer").status, 200);
    });
}

#[test]
fn entries_of_another_writer_name_no_target_and_the_others_hold() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        let address = alpha.target.address;
        let forged = [
            "{}".to_owned(),
            "[1,2".to_owned(),
            format!(r#"{{"service":"alpha","address":"{address}","state":"ready"}}"#),
            format!(
                r#"{{"service":"alpha","address":"{address}","zone":"z","version":"v1","slots":8,"state":"odd","cold_remaining_s":0,"seq":1}}"#
            ),
        ];
        for (number, entry) in forged.iter().enumerate() {
            store.write(&format!("servers/forged-{number}"), Some(entry));
        }
        store.write_configuration(&document(6, "alpha"));
        eventually("version 6", || beta.node().configuration.borrow().version() == 6).await;
        assert_eq!(beta.node().targets.borrow().len(), 2);
        assert_eq!(call(beta.outbound(), &read("one")).await.expect("an answer").status, 200);
        // A node that starts reads them with everything else.
        let gamma = Machine::start(&store, "beta", 8).await;
        assert_eq!(gamma.node().targets.borrow().len(), 3);
    });
}

#[test]
fn an_entry_that_names_an_unknown_service_is_asked_for_nothing() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        // Its address is that of a machine which does not answer.
        let nowhere = support::machine();
        for number in 0..20 {
            let entry = format!(
                r#"{{"service":"nobody","address":"{nowhere}:{}","zone":"zone-a","version":"v1","slots":8,"state":"ready","cold_remaining_s":0,"seq":1}}"#,
                1000 + number
            );
            store.write(&format!("servers/odd-{number}"), Some(&entry));
        }
        let alpha = Machine::start(&store, "alpha", 8).await;
        let beta = Machine::start(&store, "beta", 8).await;
        eventually("both know each other", || beta.node().targets.borrow().len() == 22).await;
        for machine in [&alpha, &beta] {
            let place = machine.node().feed.place.borrow().clone();
            assert!(place.candidates.iter().all(|candidate| candidate.machine != nowhere), "{place:?}");
        }
    });
}

#[test]
fn a_node_that_started_after_a_registration_ran_out_learns_of_the_target_from_its_node() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let others = machines(&store, 4).await;
        let cut = store.add_listener().await;
        let alpha = Machine::start(&cut, "alpha", 8).await;
        eventually("it is listed", || others[0].node().targets.borrow().len() == 5).await;
        cut.set_mode(StoreMode::Unresponsive);
        alpha.node().must_probe_store.set(true);
        alpha.node().feed.place_changed.notify_waiters();
        eventually("it knows that it is cut off", || {
            quillhatch_sidecar::reach::own_reach(alpha.node()).store_unreachable
        })
        .await;
        store.deregister(&alpha.target.id());
        sleep(Duration::from_millis(100)).await;
        let late = Machine::start(&store, "alpha", 8).await;
        let id = alpha.target.id();
        let knows = || late.node().targets.borrow().get(&id).is_some();
        assert!(!knows(), "the store does not list it");
        // Callers of the machine that is cut off reach the new one.
        let begun = Instant::now();
        for number in 0.. {
            if knows() {
                break;
            }
            assert!(begun.elapsed() < Duration::from_secs(5), "the new node does not list it");
            call(alpha.outbound(), &read(&format!("call-{number}"))).await.expect("an answer");
            sleep(Duration::from_millis(10)).await;
        }
        drop(others);
    });
}
