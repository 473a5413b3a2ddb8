//! Targets that leave shortly after the store was in trouble.

mod support;

use std::time::Duration;

use quillhatch_sidecar::reach::own_reach;
use support::caller::call;
use support::shop::{document, read};
use support::store::{StandInStore, StoreMode};
use support::target::{HealthStatus, TargetBehaviour};
use support::{eventually, run, Machine, BOUNDS};
use tokio::time::{sleep, Instant};

/// Longer than any call of the store takes until it is given up.
const CALL_TIME: Duration = Duration::from_millis(1600);

/// How long a target works on a call. Where it takes next to no time, a microsecond decides who gets nearly all calls.
const WORK: Duration = Duration::from_millis(4);

/// The machines of one service, each with an address of the store of its own.
struct Fleet {
    store: StandInStore,
    addresses: Vec<StandInStore>,
    machines: Vec<Machine>,
}

impl Fleet {
    async fn start(count: usize) -> Self {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let mut addresses = Vec::new();
        let mut machines = Vec::new();
        for _ in 0..count {
            let address = store.add_listener().await;
            let machine = Machine::start(&address, "alpha", 8).await;
            machine.target.set_behaviour(TargetBehaviour::Slow(WORK));
            machines.push(machine);
            addresses.push(address);
        }
        let all_know = || machines.iter().all(|machine| machine.node().targets.borrow().len() == count);
        eventually("all are listed everywhere", all_know).await;
        Fleet { store, addresses, machines }
    }

    /// The store is in an outage, which ends for one node that had called it after the others have told that one of the end. Returns the
    /// number of the node.
    async fn outage(&self) -> usize {
        self.addresses.iter().for_each(|address| address.set_mode(StoreMode::Unresponsive));
        let has_failed = |machine: &Machine| {
            let node = machine.node();
            !node.feed.place.borrow().is_head && node.own_access_lost.get()
        };
        eventually("a follower has called the store", || self.machines.iter().any(has_failed)).await;
        let last = self.machines.iter().position(has_failed).expect("one has");
        for (number, address) in self.addresses.iter().enumerate() {
            if number != last {
                address.set_mode(StoreMode::Normal);
            }
        }
        let follows = |machine: &Machine| machine.node().feed.loss.get().since().is_none();
        eventually("all have a way to the store", || self.machines.iter().all(follows)).await;
        sleep(CALL_TIME).await;
        eventually("all still have one", || self.machines.iter().all(follows)).await;
        self.addresses[last].set_mode(StoreMode::Normal);
        last
    }

    /// Calls through all machines in turn for a time.
    async fn keep_calling(&self, name: &str, longest: Duration) {
        let begun = Instant::now();
        for round in 0.. {
            if begun.elapsed() >= longest {
                return;
            }
            for (number, machine) in self.machines.iter().enumerate() {
                let answer = call(machine.outbound(), &read(&format!("{name}-{round}-{number}"))).await;
                assert_eq!(answer.expect("an answer").status, 200, "{name}, after {:?}", begun.elapsed());
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// The number of a node that no other one follows.
fn follower(fleet: &Fleet) -> usize {
    let follows = |machine: &Machine| !machine.node().feed.place.borrow().is_head;
    fleet.machines.iter().position(follows).expect("few nodes are heads")
}

#[test]
fn a_target_that_leaves_before_its_machine_is_cut_off_gets_no_calls_beyond_the_bound_on_drains() {
    run(async {
        let fleet = Fleet::start(8).await;
        let number = follower(&fleet);
        let leaving = &fleet.machines[number];
        fleet.keep_calling("before", Duration::from_secs(1)).await;
        leaving.target.set_health(HealthStatus::Draining);
        fleet.store.deregister(&leaving.target.id());
        fleet.addresses[number].set_mode(StoreMode::Unresponsive);
        fleet.keep_calling("leaving", BOUNDS.drain).await;
        leaving.target.take_started_requests();
        fleet.keep_calling("left", Duration::from_secs(3)).await;
        assert_eq!(leaving.target.take_started_requests().len(), 0, "late calls");
    });
}

#[test]
fn a_target_that_leaves_when_its_machine_is_no_longer_cut_off_gets_no_calls_beyond_the_bound_on_drains() {
    run(async {
        let fleet = Fleet::start(8).await;
        let number = follower(&fleet);
        let leaving = &fleet.machines[number];
        fleet.addresses[number].set_mode(StoreMode::Unresponsive);
        fleet.store.deregister(&leaving.target.id());
        fleet.keep_calling("cut off", Duration::from_secs(4)).await;
        assert!(!leaving.target.take_started_requests().is_empty(), "its registration has run out, and it serves");
        fleet.addresses[number].set_mode(StoreMode::Normal);
        leaving.target.set_health(HealthStatus::Draining);
        fleet.keep_calling("leaving", BOUNDS.drain).await;
        leaving.target.take_started_requests();
        fleet.keep_calling("left", Duration::from_secs(3)).await;
        assert_eq!(leaving.target.take_started_requests().len(), 0, "late calls");
    });
}

#[test]
fn a_full_target_whose_machine_is_cut_off_is_not_taken_for_one_that_leaves() {
    run(async {
        let fleet = Fleet::start(8).await;
        let number = follower(&fleet);
        let full = &fleet.machines[number];
        full.target.set_health(HealthStatus::AtCapacity);
        fleet.addresses[number].set_mode(StoreMode::Unresponsive);
        fleet.store.deregister(&full.target.id());
        fleet.keep_calling("cut off", Duration::from_secs(4)).await;
        full.target.take_started_requests();
        fleet.keep_calling("still cut off", Duration::from_secs(1)).await;
        assert!(!full.target.take_started_requests().is_empty(), "its registration has run out, and it serves");
    });
}

#[test]
fn a_target_that_leaves_after_an_outage_gets_no_calls_beyond_the_bound_on_drains() {
    run(async {
        let fleet = Fleet::start(8).await;
        let number = fleet.outage().await;
        fleet.keep_calling("recovery", BOUNDS.recovery).await;
        let leaving = &fleet.machines[number];
        let reports_loss = own_reach(leaving.node()).store_unreachable;

        fleet.store.deregister(&leaving.target.id());
        fleet.keep_calling("leaving", BOUNDS.drain).await;
        leaving.target.take_started_requests();
        fleet.keep_calling("left", Duration::from_secs(2)).await;
        let late = leaving.target.take_started_requests().len();
        assert_eq!((late, reports_loss), (0, false), "late calls, and whether its node reported a lost store before");
    });
}
