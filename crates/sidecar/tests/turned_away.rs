//! Machines that the store turns away while it serves the operator and the other machines.

mod support;

use std::time::Duration;

use support::caller::call;
use support::shop::{document, read};
use support::store::{StandInStore, StoreMode};
use support::target::TargetBehaviour;
use support::{eventually, run, start_sidecar, Machine, BOUNDS, OUTBOUND};
use test_case::test_case;
use tokio::time::{sleep, Instant};

/// The store turns alpha away; gamma serves the same service and beta is where callers are; both read the store.
struct Fleet {
    store: StandInStore,
    turned_away: StandInStore,
    alpha: Machine,
    beta: Machine,
    gamma: Machine,
}

impl Fleet {
    async fn start(mode: StoreMode) -> Self {
        let store = StandInStore::start().await;
        let turned_away = store.add_listener().await;
        store.write_configuration(&document(5, "alpha"));
        let beta = Machine::start(&store, "beta", 8).await;
        let gamma = Machine::start(&store, "alpha", 8).await;
        let alpha = Machine::start(&turned_away, "alpha", 8).await;
        eventually("all are listed at beta", || beta.node().targets.borrow().len() == 3).await;
        eventually("all are listed at alpha", || alpha.node().targets.borrow().len() == 3).await;
        turned_away.set_mode(mode);
        Fleet { store, turned_away, alpha, beta, gamma }
    }

    /// Calls through both machines of callers until `condition` holds; all must be served.
    async fn serve_until(&self, what: &str, longest: Duration, condition: impl Fn() -> bool) {
        let begun = Instant::now();
        for number in 0.. {
            if condition() {
                return;
            }
            assert!(begun.elapsed() < longest, "not within {longest:?}: {what}");
            for entry in [self.beta.outbound(), self.alpha.outbound()] {
                let answer = call(entry, &read(&format!("{what}-{number}-{entry}"))).await.expect("an answer");
                assert_eq!(answer.status, 200, "{what}, after {:?}", begun.elapsed());
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[test_case(StoreMode::Status(503))]
#[test_case(StoreMode::Status(429))]
#[test_case(StoreMode::Reset)]
#[test_case(StoreMode::Unresponsive)]
#[test_case(StoreMode::WatchHangs; "only its watches hang")]
fn a_machine_that_is_turned_away_serves_on_and_learns_of_changes_from_others(mode: StoreMode) {
    run(async move {
        let fleet = Fleet::start(mode).await;
        sleep(Duration::from_millis(1500)).await;
        fleet.store.write_configuration(&document(6, "alpha"));
        let alpha = fleet.alpha.node();
        // Until a silent connection is noticed.
        let longest = BOUNDS.recovery + BOUNDS.apply;
        let is_in_force = || alpha.configuration.borrow().version() == 6;
        fleet.serve_until("configuration", longest, is_in_force).await;
        fleet.store.register(&fleet.gamma.target, "draining");
        let gamma = fleet.gamma.target.id();
        let is_known = || alpha.targets.borrow().get(&gamma).is_none_or(|target| target.registration.draining);
        fleet.serve_until("drain", longest, is_known).await;
        fleet.turned_away.set_mode(StoreMode::Normal);
        eventually("it reads the store again", || !alpha.own_access_lost.get()).await;
    });
}

#[test_case(StoreMode::Status(503))]
#[test_case(StoreMode::Reset)]
#[test_case(StoreMode::Unresponsive)]
fn a_node_that_starts_while_it_is_turned_away_gets_the_view_of_others(mode: StoreMode) {
    run(async move {
        let fleet = Fleet::start(mode).await;
        let (address, target) = (fleet.alpha.address, fleet.alpha.target.address);
        let Fleet { store, turned_away, alpha, beta, gamma } = fleet;
        alpha.sidecar.stop().await;
        let restarted = start_sidecar(address, "alpha", target, turned_away.address);
        let begun = Instant::now();
        for number in 0.. {
            if restarted.node.is_ready() {
                break;
            }
            assert!(begun.elapsed() < Duration::from_secs(5), "it is not ready in time");
            let answer = call(beta.outbound(), &read(&format!("call-{number}"))).await.expect("an answer");
            assert_eq!(answer.status, 200);
            sleep(Duration::from_millis(20)).await;
        }
        let own = call((address, OUTBOUND).into(), &read("own")).await.expect("an answer");
        assert_eq!(own.status, 200);
        drop((store, gamma));
    });
}

#[test]
fn a_target_whose_drain_is_known_gets_nothing_while_the_store_is_in_trouble() {
    run(async {
        let fleet = Fleet::start(StoreMode::Normal).await;
        let (alpha, beta) = (&fleet.alpha, &fleet.beta);
        fleet.store.register(&alpha.target, "draining");
        let id = alpha.target.id();
        let knows = |machine: &Machine| machine.node().targets.borrow().get(&id).unwrap().registration.draining;
        eventually("all know", || knows(alpha) && knows(beta) && knows(&fleet.gamma)).await;
        alpha.target.take_started_requests();
        for store in [&fleet.store, &fleet.turned_away] {
            store.set_mode(StoreMode::Status(503));
        }
        let begun = Instant::now();
        for number in 0.. {
            if begun.elapsed() > Duration::from_secs(3) {
                break;
            }
            for entry in [beta.outbound(), alpha.outbound()] {
                let answer = call(entry, &read(&format!("call-{number}-{entry}"))).await.expect("an answer");
                assert_eq!(answer.status, 200);
            }
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(alpha.target.take_started_requests().len(), 0, "a view of the time before would have sent it calls");
    });
}

#[test]
fn requests_that_run_when_the_store_goes_are_answered() {
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
        for store in [&fleet.store, &fleet.turned_away] {
            store.set_mode(StoreMode::Reset);
        }
        for call in calls {
            assert_eq!(call.await.expect("the caller ends").expect("an answer").status, 200);
        }
    });
}

#[test]
fn when_all_watches_hang_at_once_a_change_is_still_in_force_in_time() {
    // Found on the users' bench (inc-1720): after an outage every watch hung, and nobody could tell the others.
    run(async {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let mut machines = Vec::new();
        for service in ["alpha", "beta", "alpha", "beta", "alpha", "beta"] {
            machines.push(Machine::start(&store, service, 8).await);
        }
        let knows_all = |machine: &Machine| machine.node().targets.borrow().len() == 6;
        eventually("all are listed everywhere", || machines.iter().all(knows_all)).await;
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
            assert!(written.elapsed() < BOUNDS.recovery, "not everywhere in time");
            for machine in &machines {
                let answer = call(machine.outbound(), &read(&format!("call-{number}"))).await.expect("an answer");
                assert_eq!(answer.status, 200);
            }
            sleep(Duration::from_millis(20)).await;
        }
    });
}
