//! Replication of the store between nodes: only a few read it and the others receive changes from them. Also restores
//! of the store from a backup, targets that restart under the same identity, and entries of other writers.

mod support;

use std::time::Duration;

use support::caller::call;
use support::shop::{document, read, two_machines};
use support::store::{StandInStore, StoreMode};
use support::{eventually, run, start_sidecar, FullListener, Machine, BOUNDS};
use test_case::test_case;
use tokio::time::{sleep, Instant};

/// Starts one machine of `alpha`, which comes first, and `count - 1` of `beta`.
async fn start_machines(store: &StandInStore, count: usize) -> Vec<Machine> {
    let mut machines = vec![Machine::start(store, "alpha", 8).await];
    for _ in 1..count {
        machines.push(Machine::start(store, "beta", 8).await);
    }
    let all_know = || machines.iter().all(|machine| machine.node().targets.borrow().len() == count);
    eventually("all are listed everywhere", all_know).await;
    machines
}

fn is_reader(machine: &Machine) -> bool {
    machine.node().feed.role.borrow().is_reader
}

async fn store_calls_in_three_seconds(count: usize) -> usize {
    let store = StandInStore::start().await;
    store.write_configuration(&document(5, "alpha"));
    let machines = start_machines(&store, count).await;
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
fn the_number_of_store_calls_does_not_grow_with_the_fleet() {
    run(async {
        let few = store_calls_in_three_seconds(3).await;
        let many = store_calls_in_three_seconds(12).await;
        assert!(many <= few + few / 2, "{few} calls by 3 nodes, {many} by 12");
    });
}

#[test]
fn a_node_that_starts_keeps_the_age_of_data_from_other_nodes() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let mut machines = start_machines(&store, 2).await;
        let unresponsive_store = store.add_listener().await;
        unresponsive_store.set_mode(StoreMode::Unresponsive);
        store.set_mode(StoreMode::Unresponsive);
        let lost = Instant::now();
        sleep(Duration::from_millis(1500)).await;
        let Machine { target, sidecar, address } = machines.remove(0);
        sidecar.stop().await;
        let restarted = start_sidecar(address, "alpha", target.address, unresponsive_store.address);
        sleep(Duration::from_millis(100)).await;
        call(machines[0].outbound(), &read("reveals-a-source")).await;
        eventually("it has the other node's data", || restarted.node.position().is_known()).await;
        let unread_for = restarted.node.feed.store_read_at.get().map(|read_at| restarted.node.now().since(read_at));
        // A watch that was waiting when the store stopped responding still got its response at its end.
        let min_age = lost.elapsed() - BOUNDS.recovery / 2;
        assert!(unread_for >= Some(min_age), "{unread_for:?}, expected at least {min_age:?}");
    });
}

#[test]
fn a_node_that_starts_reads_one_page_of_the_store_and_gets_the_rest_from_other_nodes() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let machines = start_machines(&store, 6).await;
        // Each page of a listing contains two items.
        store.set_page_size(2);
        sleep(Duration::from_millis(500)).await;
        let before = store.calls_to("/kv-range");
        let mut late_machines: Vec<Machine> = Vec::new();
        let mut listed_first = 0;
        for _ in 0..3 {
            let machine = Machine::start(&store, "beta", 8).await;
            let id = machine.target.id();
            let is_first = machines.iter().chain(&late_machines).all(|other| id < other.target.id());
            listed_first += usize::from(is_first);
            late_machines.push(machine);
        }
        let all_know = || late_machines.iter().all(|machine| machine.node().targets.borrow().len() == 9);
        eventually("they list all targets", all_know).await;
        let pages = store.calls_to("/kv-range") - before;
        // A node that finds only itself on the first page also reads the other pages, of which there are four.
        assert!(pages <= 3 + 4 * listed_first, "{pages} pages, {listed_first} nodes found only themselves");
        drop(machines);
    });
}

#[test_case(true; "killed")]
#[test_case(false; "unresponsive")]
fn a_change_reaches_all_nodes_when_a_reader_fails(is_killed: bool) {
    run(async move {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let mut machines = start_machines(&store, 8).await;
        sleep(Duration::from_millis(700)).await;
        let reader = machines.iter().position(is_reader).expect("a reader");
        let lost = machines.swap_remove(reader);
        let inbound = lost.inbound();
        let Machine { target, sidecar, .. } = lost;
        drop(sidecar);
        let hanging = if is_killed { None } else { Some(FullListener::start(inbound).await) };
        store.write_configuration(&document(6, "alpha"));
        let started = Instant::now();
        let all_have = || machines.iter().all(|machine| machine.node().configuration.borrow().version() == 6);
        eventually("all have it", all_have).await;
        assert!(started.elapsed() < BOUNDS.apply, "{:?}", started.elapsed());
        drop((target, hanging));
    });
}

#[test]
fn a_change_reaches_all_nodes_when_the_store_refuses_all_readers() {
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
            if is_reader(machine) {
                address.set_mode(StoreMode::Status(503));
            }
        }
        store.write_configuration(&document(6, "alpha"));
        let started = Instant::now();
        let all_have = || machines.iter().all(|machine| machine.node().configuration.borrow().version() == 6);
        eventually("all have it", all_have).await;
        assert!(started.elapsed() < BOUNDS.apply, "{:?}", started.elapsed());
    });
}

#[test]
fn a_restore_of_the_store_from_a_backup_reverts_nothing() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let alpha = Machine::start(&store, "alpha", 8).await;
        let draining = Machine::start(&store, "alpha", 8).await;
        let beta = Machine::start(&store, "beta", 8).await;
        eventually("all are listed", || beta.node().targets.borrow().len() == 3).await;
        sleep(Duration::from_millis(1500)).await;
        store.write_configuration(&document(6, "alpha"));
        store.register(&draining.target, "draining");
        let is_draining =
            |id: &str| beta.node().targets.borrow().get(id).is_none_or(|target| target.registration.draining);
        eventually("the drain is known", || is_draining(&draining.target.id())).await;
        eventually("version 6", || beta.node().configuration.borrow().version() == 6).await;

        let lost = store.restore_backup(Duration::from_millis(1200));
        assert_eq!(lost.len(), 2, "the backup lacks both changes");
        eventually("the new era is known", || beta.node().position().era == 2).await;
        let arrivals = draining.target.received_count();
        for number in 0..20 {
            let response = call(beta.outbound(), &read(&format!("call-{number}"))).await.expect("a response");
            assert_eq!(response.status, 200);
        }
        assert_eq!(draining.target.received_count(), arrivals, "a draining target receives no calls");
        assert_eq!(beta.node().configuration.borrow().version(), 6);

        // Revisions are reused after the restore, and writes with them are still received.
        lost.iter().for_each(|write| store.rewrite(write));
        store.write_configuration(&document(7, "alpha"));
        let machines = [&alpha, &draining, &beta];
        let all_have = || machines.iter().all(|machine| machine.node().configuration.borrow().version() == 7);
        eventually("version 7", all_have).await;
    });
}

#[test]
fn a_target_that_is_missing_in_a_backup_continues_to_serve() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        sleep(Duration::from_millis(1000)).await;
        let late = Machine::start(&store, "alpha", 8).await;
        eventually("it is listed", || beta.node().targets.borrow().len() == 3).await;
        store.deregister(&alpha.target.id());
        eventually("the other one is removed", || beta.node().targets.borrow().len() == 2).await;
        sleep(Duration::from_millis(100)).await;
        let lost = store.restore_backup(Duration::from_millis(900));
        eventually("the new era is known", || beta.node().position().era == 2).await;
        let started = Instant::now();
        for number in 0.. {
            if started.elapsed() > Duration::from_millis(1500) {
                break;
            }
            let response = call(beta.outbound(), &read(&format!("call-{number}"))).await.expect("a response");
            assert_eq!(response.status, 200, "after {:?}", started.elapsed());
            sleep(Duration::from_millis(30)).await;
        }
        assert!(!late.target.started_requests().is_empty());
        lost.iter().for_each(|write| store.rewrite(write));
        sleep(Duration::from_secs(3)).await;
        assert_eq!(call(beta.outbound(), &read("later")).await.expect("a response").status, 200);
    });
}

#[test]
fn a_target_that_restarts_under_the_same_identity_receives_calls_again() {
    run(async {
        let (store, alpha, beta) = two_machines().await;
        assert_eq!(call(beta.outbound(), &read("before")).await.expect("a response").status, 200);
        store.register(&alpha.target, "draining");
        let id = alpha.target.id();
        let is_draining = || beta.node().targets.borrow().get(&id).is_some_and(|target| target.registration.draining);
        eventually("the drain is known", is_draining).await;
        alpha.target.restart_with_same_id();
        store.register(&alpha.target, "ready");
        eventually("the restart is known", || !is_draining()).await;
        eventually("its gate is open", || !alpha.node().gate.borrow().is_closed()).await;
        assert_eq!(call(beta.outbound(), &read("after")).await.expect("a response").status, 200);
        // A late write from before the restart.
        let entry = format!(
            r#"{{"service":"alpha","address":"{}","zone":"zone-a","version":"v1","slots":8,"state":"draining","cold_remaining_s":0,"seq":99,"born":7}}"#,
            alpha.target.address
        );
        store.write(&format!("servers/{id}"), Some(&entry));
        store.write_configuration(&document(6, "alpha"));
        eventually("the next change is known", || beta.node().configuration.borrow().version() == 6).await;
        assert!(!is_draining());
        assert_eq!(call(beta.outbound(), &read("later")).await.expect("a response").status, 200);
    });
}

#[test]
fn malformed_entries_of_another_writer_are_ignored() {
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
        assert_eq!(call(beta.outbound(), &read("one")).await.expect("a response").status, 200);
        // A node that starts reads the malformed entries with all others.
        let gamma = Machine::start(&store, "beta", 8).await;
        assert_eq!(gamma.node().targets.borrow().len(), 3);
    });
}

#[test]
fn an_entry_with_an_unknown_service_is_not_queried() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        // No machine responds at the entries' address.
        let unused = support::unused_address();
        for number in 0..20 {
            let entry = format!(
                r#"{{"service":"nobody","address":"{unused}:{}","zone":"zone-a","version":"v1","slots":8,"state":"ready","cold_remaining_s":0,"seq":1}}"#,
                1000 + number
            );
            store.write(&format!("servers/odd-{number}"), Some(&entry));
        }
        let alpha = Machine::start(&store, "alpha", 8).await;
        let beta = Machine::start(&store, "beta", 8).await;
        eventually("all entries are listed", || beta.node().targets.borrow().len() == 22).await;
        for machine in [&alpha, &beta] {
            let role = machine.node().feed.role.borrow().clone();
            assert!(role.candidates.iter().all(|candidate| candidate.machine != unused), "{role:?}");
        }
    });
}

#[test]
fn a_node_that_started_after_a_registration_expired_gets_the_target_from_its_node() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let others = start_machines(&store, 4).await;
        let store_of_alpha = store.add_listener().await;
        let alpha = Machine::start(&store_of_alpha, "alpha", 8).await;
        eventually("it is listed", || others[0].node().targets.borrow().len() == 5).await;
        store_of_alpha.set_mode(StoreMode::Unresponsive);
        alpha.node().must_probe_store.set(true);
        alpha.node().feed.role_changed.notify_waiters();
        eventually("it has detected the partition", || {
            quillhatch_sidecar::store_view::own_store_view(alpha.node()).store_unreachable
        })
        .await;
        store.deregister(&alpha.target.id());
        sleep(Duration::from_millis(100)).await;
        let late = Machine::start(&store, "alpha", 8).await;
        let id = alpha.target.id();
        let knows = || late.node().targets.borrow().get(&id).is_some();
        assert!(!knows(), "the store does not list it");
        // Calls that enter at the partitioned machine reach the new one.
        let started = Instant::now();
        for number in 0.. {
            if knows() {
                break;
            }
            assert!(started.elapsed() < Duration::from_secs(5), "the new node does not list it");
            call(alpha.outbound(), &read(&format!("call-{number}"))).await.expect("a response");
            sleep(Duration::from_millis(10)).await;
        }
        drop(others);
    });
}
