//! Machines that can't use the store while it serves the operator and the other machines.

mod support;

use std::time::Duration;

use quillhatch_mesh::feed::watch_timeout;
use support::caller::call;
use support::shop::{document, read};
use support::store::{StandInStore, StoreMode};
use support::target::TargetBehaviour;
use support::{eventually, run, start_sidecar, Machine, BOUNDS, OUTBOUND};
use test_case::test_case;
use tokio::time::{sleep, Instant};

/// The store fails for `alpha` only. `gamma` runs a target of the same service, and callers use `beta`; both can read
/// the store.
struct Fleet {
    store: StandInStore,
    store_of_alpha: StandInStore,
    alpha: Machine,
    beta: Machine,
    gamma: Machine,
}

impl Fleet {
    async fn start(mode: StoreMode) -> Self {
        let store = StandInStore::start().await;
        let store_of_alpha = store.add_listener().await;
        store.write_configuration(&document(5, "alpha"));
        let beta = Machine::start(&store, "beta", 8).await;
        let gamma = Machine::start(&store, "alpha", 8).await;
        let alpha = Machine::start(&store_of_alpha, "alpha", 8).await;
        eventually("all are listed at beta", || beta.node().targets.borrow().len() == 3).await;
        eventually("all are listed at alpha", || alpha.node().targets.borrow().len() == 3).await;
        store_of_alpha.set_mode(mode);
        Fleet { store, store_of_alpha, alpha, beta, gamma }
    }

    /// Sends calls through `beta` and `alpha` until `condition` holds. All calls must be served, and `condition` must
    /// hold within `limit`.
    async fn call_until(&self, what: &str, limit: Duration, condition: impl Fn() -> bool) {
        let started = Instant::now();
        for number in 0.. {
            if condition() {
                return;
            }
            assert!(started.elapsed() < limit, "not within {limit:?}: {what}");
            for entry in [self.beta.outbound(), self.alpha.outbound()] {
                let response = call(entry, &read(&format!("{what}-{number}-{entry}"))).await.expect("a response");
                assert_eq!(response.status, 200, "{what}, after {:?}", started.elapsed());
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[test_case(StoreMode::Status(503))]
#[test_case(StoreMode::Status(429))]
#[test_case(StoreMode::Reset)]
#[test_case(StoreMode::Unresponsive)]
#[test_case(StoreMode::WatchHangs; "only watches hang")]
fn a_machine_that_cannot_use_the_store_serves_and_receives_changes_from_others(mode: StoreMode) {
    run(async move {
        let fleet = Fleet::start(mode).await;
        sleep(Duration::from_millis(1500)).await;
        fleet.store.write_configuration(&document(6, "alpha"));
        let alpha = fleet.alpha.node();
        // Includes the time to detect a connection on which the store no longer responds.
        let limit = BOUNDS.recovery + BOUNDS.apply;
        let is_in_force = || alpha.configuration.borrow().version() == 6;
        fleet.call_until("configuration", limit, is_in_force).await;
        fleet.store.register(&fleet.gamma.target, "draining");
        let gamma = fleet.gamma.target.id();
        let is_known = || alpha.targets.borrow().get(&gamma).is_none_or(|target| target.registration.draining);
        fleet.call_until("drain", limit, is_known).await;
        fleet.store_of_alpha.set_mode(StoreMode::Normal);
        eventually("alpha reads the store again", || !alpha.store_access_lost.get()).await;
    });
}

#[test_case(StoreMode::Status(503))]
#[test_case(StoreMode::Reset)]
#[test_case(StoreMode::Unresponsive)]
fn a_node_that_starts_while_it_cannot_use_the_store_gets_the_data_of_others(mode: StoreMode) {
    run(async move {
        let fleet = Fleet::start(mode).await;
        let (address, target) = (fleet.alpha.address, fleet.alpha.target.address);
        let Fleet { store, store_of_alpha, alpha, beta, gamma } = fleet;
        alpha.sidecar.stop().await;
        let restarted = start_sidecar(address, "alpha", target, store_of_alpha.address);
        let started = Instant::now();
        for number in 0.. {
            if restarted.node.is_ready() {
                break;
            }
            assert!(started.elapsed() < Duration::from_secs(5), "it is not ready in time");
            let response = call(beta.outbound(), &read(&format!("call-{number}"))).await.expect("a response");
            assert_eq!(response.status, 200);
            sleep(Duration::from_millis(20)).await;
        }
        let own = call((address, OUTBOUND).into(), &read("own")).await.expect("a response");
        assert_eq!(own.status, 200);
        drop((store, gamma));
    });
}

#[test]
fn a_draining_target_receives_no_calls_during_a_store_outage() {
    run(async {
        let fleet = Fleet::start(StoreMode::Normal).await;
        let (alpha, beta) = (&fleet.alpha, &fleet.beta);
        fleet.store.register(&alpha.target, "draining");
        let id = alpha.target.id();
        let knows_drain = |machine: &Machine| machine.node().targets.borrow().get(&id).unwrap().registration.draining;
        eventually("all nodes have received the drain", || {
            knows_drain(alpha) && knows_drain(beta) && knows_drain(&fleet.gamma)
        })
        .await;
        alpha.target.take_started_requests();
        for store in [&fleet.store, &fleet.store_of_alpha] {
            store.set_mode(StoreMode::Status(503));
        }
        let started = Instant::now();
        for number in 0.. {
            if started.elapsed() > Duration::from_secs(3) {
                break;
            }
            for entry in [beta.outbound(), alpha.outbound()] {
                let response = call(entry, &read(&format!("call-{number}-{entry}"))).await.expect("a response");
                assert_eq!(response.status, 200);
            }
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(alpha.target.take_started_requests().len(), 0, "no node used a list from before the drain");
    });
}

#[test]
fn calls_that_run_when_the_store_fails_are_answered() {
    run(async {
        let fleet = Fleet::start(StoreMode::Normal).await;
        for machine in [&fleet.alpha, &fleet.gamma] {
            machine.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(700)));
        }
        let outbound = fleet.beta.outbound();
        let calls: Vec<_> = (0..8)
            .map(|number| {
                tokio::task::spawn_local(async move { call(outbound, &read(&format!("call-{number}"))).await })
            })
            .collect();
        sleep(Duration::from_millis(100)).await;
        for store in [&fleet.store, &fleet.store_of_alpha] {
            store.set_mode(StoreMode::Reset);
        }
        for call in calls {
            assert_eq!(call.await.expect("the caller ends").expect("a response").status, 200);
        }
    });
}

#[test]
fn a_change_is_in_force_in_time_when_all_watches_hang_at_once() {
    // Guards against this failure: after an outage every watch hung, so no node could send the change to the others.
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let mut machines = Vec::new();
        for service in ["alpha", "beta", "alpha", "beta", "alpha", "beta"] {
            machines.push(Machine::start(&store, service, 8).await);
        }
        let lists_all = |machine: &Machine| machine.node().targets.borrow().len() == 6;
        eventually("all are listed everywhere", || machines.iter().all(lists_all)).await;
        sleep(Duration::from_millis(1000)).await;
        store.set_mode(StoreMode::WatchHangs);
        sleep(Duration::from_millis(100)).await;
        store.set_mode(StoreMode::Normal);
        store.write_configuration(&document(6, "alpha"));
        let written = Instant::now();
        let is_in_force = |machine: &Machine| machine.node().configuration.borrow().version() == 6;
        for number in 0.. {
            if machines.iter().all(is_in_force) {
                break;
            }
            assert!(written.elapsed() < BOUNDS.recovery, "the change is not in force everywhere in time");
            for machine in &machines {
                let response = call(machine.outbound(), &read(&format!("call-{number}"))).await.expect("a response");
                assert_eq!(response.status, 200);
            }
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// The time within which a change is to arrive from a standby: a fraction of the time after which the first head takes
/// over from readers whose watches hang.
const STANDBY_BOUND: Duration = Duration::from_millis(500);

#[test]
fn a_change_arrives_from_a_standby_while_the_watches_of_all_readers_hang() {
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let mut addresses = Vec::new();
        let mut machines = Vec::new();
        for _ in 0..8 {
            let address = store.add_listener().await;
            machines.push(Machine::start(&address, "alpha", 8).await);
            addresses.push(address);
        }
        let all_know = || machines.iter().all(|machine| machine.node().targets.borrow().len() == 8);
        eventually("all are listed everywhere", all_know).await;
        for (machine, address) in machines.iter().zip(&addresses) {
            if machine.node().feed.role.borrow().is_reader {
                address.set_mode(StoreMode::WatchHangs);
            }
        }
        // The watches that are open now still return.
        sleep(watch_timeout(&BOUNDS) + Duration::from_millis(100)).await;
        let written = Instant::now();
        store.write_configuration(&document(6, "alpha"));
        let standbys: Vec<&Machine> =
            machines.iter().filter(|machine| machine.node().feed.role.borrow().is_standby).collect();
        assert_eq!(standbys.len(), 2);
        let know = || standbys.iter().all(|machine| machine.node().configuration.borrow().version() == 6);
        eventually("the standbys know", know).await;
        assert!(written.elapsed() < STANDBY_BOUND, "{:?}", written.elapsed());
    });
}
