//! Targets that drain around an outage of the store or a partition of their machines from it.

mod support;

use std::time::Duration;

use quillhatch_sidecar::store_view::own_store_view;
use support::caller::call;
use support::shop::{document, read};
use support::store::{StandInStore, StoreMode};
use support::target::{HealthStatus, TargetBehaviour};
use support::{eventually, run, Machine, BOUNDS};
use tokio::time::{sleep, Instant};

/// Longer than the timeout of any request to the store.
const STORE_REQUEST_TIME: Duration = Duration::from_millis(1600);

/// How long a target works on a call. With almost no work, a difference of a microsecond decides which target gets
/// nearly all calls.
const WORK_TIME: Duration = Duration::from_millis(4);

/// The machines of one service, each with its own address of the store.
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
            machine.target.set_behaviour(TargetBehaviour::Slow(WORK_TIME));
            machines.push(machine);
            addresses.push(address);
        }
        let all_know = || machines.iter().all(|machine| machine.node().targets.borrow().len() == count);
        eventually("all are listed everywhere", all_know).await;
        Fleet { store, addresses, machines }
    }

    /// Simulates an outage of the store. For one node that had queried the store during the outage, it ends only after
    /// the other nodes have reconnected and that node has learned of it from them. Returns the index of that node.
    async fn run_outage(&self) -> usize {
        self.addresses.iter().for_each(|address| address.set_mode(StoreMode::Unresponsive));
        let has_failed = |machine: &Machine| {
            let node = machine.node();
            !node.feed.role.borrow().is_head && node.store_access_lost.get()
        };
        eventually("a follower has queried the store", || self.machines.iter().any(has_failed)).await;
        let last = self.machines.iter().position(has_failed).expect("one has");
        for (number, address) in self.addresses.iter().enumerate() {
            if number != last {
                address.set_mode(StoreMode::Normal);
            }
        }
        let follows = |machine: &Machine| machine.node().feed.store_loss.get().since().is_none();
        eventually("all have access to the store", || self.machines.iter().all(follows)).await;
        sleep(STORE_REQUEST_TIME).await;
        eventually("all still have access", || self.machines.iter().all(follows)).await;
        self.addresses[last].set_mode(StoreMode::Normal);
        last
    }

    /// Drains all targets but the one at `last`. Returns the machines whose nodes still list that one, after they have
    /// learned that the others drain.
    async fn drain_all_but(&self, last: usize) -> Vec<usize> {
        let others = || self.machines.iter().enumerate().filter(|(number, _)| *number != last);
        for (_, machine) in others() {
            machine.target.set_health(HealthStatus::Draining);
            self.store.register(&machine.target, "draining");
        }
        let id = self.machines[last].target.id();
        let lists_it = |machine: &Machine| machine.node().targets.borrow().get(&id).is_some();
        let knows = |machine: &Machine| {
            let targets = machine.node().targets.borrow();
            others().all(|(_, other)| targets.is_draining(&other.target.id()))
        };
        let all_know = || self.machines.iter().all(|machine| !lists_it(machine) || knows(machine));
        eventually("the nodes know that the other targets drain", all_know).await;
        (0..self.machines.len()).filter(|number| lists_it(&self.machines[*number])).collect()
    }

    /// Sends calls through all machines in turn for some time.
    async fn keep_calling(&self, name: &str, duration: Duration) {
        let started = Instant::now();
        for round in 0.. {
            if started.elapsed() >= duration {
                return;
            }
            for (number, machine) in self.machines.iter().enumerate() {
                let response = call(machine.outbound(), &read(&format!("{name}-{round}-{number}"))).await;
                assert_eq!(response.expect("a response").status, 200, "{name}, after {:?}", started.elapsed());
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// The index of a node that no other node uses as its source of store updates.
fn follower_index(fleet: &Fleet) -> usize {
    let follows = |machine: &Machine| !machine.node().feed.role.borrow().is_head;
    fleet.machines.iter().position(follows).expect("few nodes are heads")
}

#[test]
fn a_target_that_drains_before_its_machine_is_partitioned_gets_no_calls_after_the_drain_bound() {
    run(async {
        let fleet = Fleet::start(8).await;
        let number = follower_index(&fleet);
        let draining = &fleet.machines[number];
        fleet.keep_calling("before", Duration::from_secs(1)).await;
        draining.target.set_health(HealthStatus::Draining);
        fleet.store.deregister(&draining.target.id());
        fleet.addresses[number].set_mode(StoreMode::Unresponsive);
        fleet.keep_calling("draining", BOUNDS.drain).await;
        draining.target.take_started_requests();
        fleet.keep_calling("drained", Duration::from_secs(3)).await;
        assert_eq!(draining.target.take_started_requests().len(), 0, "calls after the drain bound");
    });
}

#[test]
fn a_target_that_drains_after_its_machine_was_partitioned_gets_no_calls_after_the_drain_bound() {
    run(async {
        let fleet = Fleet::start(8).await;
        let number = follower_index(&fleet);
        let draining = &fleet.machines[number];
        fleet.addresses[number].set_mode(StoreMode::Unresponsive);
        fleet.store.deregister(&draining.target.id());
        fleet.keep_calling("partitioned", Duration::from_secs(4)).await;
        assert!(
            !draining.target.take_started_requests().is_empty(),
            "its registration has expired, and it still serves"
        );
        fleet.addresses[number].set_mode(StoreMode::Normal);
        draining.target.set_health(HealthStatus::Draining);
        fleet.keep_calling("draining", BOUNDS.drain).await;
        draining.target.take_started_requests();
        fleet.keep_calling("drained", Duration::from_secs(3)).await;
        assert_eq!(draining.target.take_started_requests().len(), 0, "calls after the drain bound");
    });
}

#[test]
fn a_full_target_on_a_partitioned_machine_is_not_treated_as_draining() {
    run(async {
        let fleet = Fleet::start(8).await;
        let number = follower_index(&fleet);
        let full = &fleet.machines[number];
        full.target.set_health(HealthStatus::AtCapacity);
        fleet.addresses[number].set_mode(StoreMode::Unresponsive);
        fleet.store.deregister(&full.target.id());
        fleet.keep_calling("partitioned", Duration::from_secs(4)).await;
        fleet.keep_calling("still partitioned", Duration::from_secs(1)).await;
        // A slightly slower target may get no calls while there are others.
        let listing = fleet.drain_all_but(number).await;
        assert!(listing.contains(&number), "its own node still lists it");
        full.target.take_started_requests();
        for caller in &listing {
            let response = call(fleet.machines[*caller].outbound(), &read(&format!("last-{caller}"))).await;
            assert_eq!(response.expect("a response").status, 200, "through machine {caller}");
        }
        let served = full.target.take_started_requests().len();
        assert_eq!(served, listing.len(), "its registration has expired, and it still serves");
    });
}

#[test]
fn a_target_that_drains_after_an_outage_gets_no_calls_after_the_drain_bound() {
    run(async {
        let fleet = Fleet::start(8).await;
        let number = fleet.run_outage().await;
        fleet.keep_calling("recovery", BOUNDS.recovery).await;
        let draining = &fleet.machines[number];
        let reports_loss = own_store_view(draining.node()).store_unreachable;

        fleet.store.deregister(&draining.target.id());
        fleet.keep_calling("draining", BOUNDS.drain).await;
        draining.target.take_started_requests();
        fleet.keep_calling("drained", Duration::from_secs(2)).await;
        let late_calls = draining.target.take_started_requests().len();
        assert_eq!(
            (late_calls, reports_loss),
            (0, false),
            "calls after the drain bound, and whether its node reported the store as unreachable before"
        );
    });
}
