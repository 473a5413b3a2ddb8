//! Targets that say in their responses that they are leaving, whatever the store says.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::caller::call;
use support::shop::{read, start_fleet};
use support::store::{StandInStore, StoreMode};
use support::target::{HealthStatus, ResponderStatus};
use support::{eventually, run, start_sidecar, Machine, BOUNDS};
use tokio::time::{sleep, Instant};

struct Fleet {
    store: StandInStore,
    machines: Vec<Machine>,
}

impl Fleet {
    async fn start(count: usize) -> Self {
        let (store, machines) = start_fleet(&vec!["alpha"; count], 8).await;
        Fleet { store, machines }
    }

    /// Restarts the node of the first machine, and removes the machine from the fleet.
    async fn restart_first_node(&mut self) -> Machine {
        let Machine { target, sidecar, address } = self.machines.remove(0);
        sidecar.stop().await;
        let sidecar = start_sidecar(address, "alpha", target.address, self.store.address);
        eventually("its node has restarted", || sidecar.node.is_ready()).await;
        Machine { target, sidecar, address }
    }

    fn outbound(&self) -> Vec<SocketAddr> {
        self.machines.iter().map(Machine::outbound).collect()
    }
}

/// Sends calls through these nodes in turn for some time, one after the other. All must be served. Returns the nodes
/// that have passed on a response of a target that is leaving.
async fn keep_calling(outbound: &[SocketAddr], name: &str, duration: Duration) -> Vec<SocketAddr> {
    let started = Instant::now();
    let mut informed = Vec::new();
    for round in 0.. {
        if started.elapsed() >= duration {
            break;
        }
        for (number, address) in outbound.iter().enumerate() {
            let response = call(*address, &read(&format!("{name}-{round}-{number}"))).await.expect("a response");
            assert_eq!(response.status, 200, "{name}, after {:?}", started.elapsed());
            if ResponderStatus::read(&response).is_leaving && !informed.contains(address) {
                informed.push(*address);
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    informed
}

#[test]
fn a_target_that_says_in_its_responses_that_it_is_leaving_gets_no_calls_after_the_drain_bound() {
    run(async {
        let fleet = Fleet::start(4).await;
        let leaving = &fleet.machines[0].target;
        keep_calling(&fleet.outbound(), "before", Duration::from_secs(1)).await;
        leaving.set_leaving(true);
        fleet.store.set_mode(StoreMode::Unresponsive);
        keep_calling(&fleet.outbound(), "leaving", BOUNDS.drain).await;
        leaving.take_arrivals();
        keep_calling(&fleet.outbound(), "left", Duration::from_secs(2)).await;
        assert_eq!(leaving.take_arrivals().len(), 0, "calls after the drain bound");
    });
}

#[test]
fn a_leaving_target_gets_no_calls_from_machines_that_know_after_a_restart_of_its_node() {
    run(async {
        let mut fleet = Fleet::start(4).await;
        let outbound = fleet.outbound()[1..].to_vec();
        fleet.machines[0].target.set_leaving(true);
        fleet.machines[0].target.set_health_shows_status(false);
        let informed = keep_calling(&outbound, "leaving", BOUNDS.drain).await;
        let restarted = fleet.restart_first_node().await;
        restarted.target.take_arrivals();
        assert!(!informed.is_empty());
        keep_calling(&informed, "left", Duration::from_secs(2)).await;
        assert_eq!(restarted.target.take_arrivals().len(), 0, "calls of machines that know");
    });
}

#[test]
fn a_leaving_target_gets_no_calls_when_its_registration_lapses_and_comes_back() {
    run(async {
        let fleet = Fleet::start(4).await;
        let leaving = &fleet.machines[0].target;
        leaving.set_leaving(true);
        keep_calling(&fleet.outbound(), "leaving", BOUNDS.drain).await;
        fleet.store.deregister(&leaving.id());
        keep_calling(&fleet.outbound(), "lapsed", Duration::from_millis(300)).await;
        fleet.store.register(leaving, "ready");
        keep_calling(&fleet.outbound(), "registered", Duration::from_millis(500)).await;
        leaving.take_arrivals();
        keep_calling(&fleet.outbound(), "left", Duration::from_secs(1)).await;
        assert_eq!(leaving.take_arrivals().len(), 0, "calls after the drain bound");
    });
}

#[test]
fn a_target_that_starts_again_with_its_id_after_it_was_leaving_is_called_again() {
    run(async {
        let fleet = Fleet::start(2).await;
        let leaving = &fleet.machines[0].target;
        leaving.set_leaving(true);
        keep_calling(&fleet.outbound(), "leaving", BOUNDS.drain).await;
        leaving.restart_with_same_id();
        fleet.store.register(leaving, "ready");
        sleep(Duration::from_millis(500)).await;
        leaving.take_arrivals();
        keep_calling(&fleet.outbound(), "again", Duration::from_secs(2)).await;
        assert!(leaving.take_arrivals().len() > 10, "it is another target");
    });
}

#[test]
fn a_health_check_that_denies_it_does_not_end_the_leaving() {
    run(async {
        let fleet = Fleet::start(3).await;
        let leaving = &fleet.machines[0].target;
        leaving.set_leaving(true);
        leaving.set_health_shows_status(false);
        leaving.set_health(HealthStatus::Healthy);
        keep_calling(&fleet.outbound(), "leaving", BOUNDS.drain).await;
        fleet.store.deregister(&leaving.id());
        leaving.take_arrivals();
        keep_calling(&fleet.outbound(), "left", Duration::from_secs(4)).await;
        assert_eq!(leaving.take_arrivals().len(), 0, "calls after the drain bound");
    });
}

/// Lets the first target start again with its identity while the nodes can't read the store, and then announce a drain.
/// Returns once the store is back and shows the restart, with the nodes that have passed on a response that says so.
async fn restart_and_leave_in_outage(fleet: &Fleet, outbound: &[SocketAddr]) -> Vec<SocketAddr> {
    let leaving = &fleet.machines[0].target;
    leaving.set_health_shows_status(false);
    keep_calling(outbound, "before", Duration::from_millis(500)).await;
    fleet.store.set_mode(StoreMode::Status(503));
    sleep(Duration::from_millis(500)).await;
    leaving.restart_with_same_id();
    fleet.store.register(leaving, "ready");
    keep_calling(outbound, "restarted", Duration::from_millis(500)).await;
    leaving.set_leaving(true);
    let informed = keep_calling(outbound, "leaving", BOUNDS.drain).await;
    assert!(!informed.is_empty());
    fleet.store.set_mode(StoreMode::Normal);
    let shows_restart = |machine: &Machine| {
        let targets = machine.node().targets.borrow();
        targets.get(&leaving.id()).is_some_and(|target| target.registration.started == leaving.start_time_ms())
    };
    eventually("all know the restart", || fleet.machines.iter().all(shows_restart)).await;
    informed
}

#[test]
fn a_target_that_restarted_unseen_and_is_leaving_gets_no_calls_once_its_registration_shows_the_restart() {
    run(async {
        let fleet = Fleet::start(4).await;
        restart_and_leave_in_outage(&fleet, &fleet.outbound()).await;
        fleet.machines[0].target.take_arrivals();
        keep_calling(&fleet.outbound(), "left", Duration::from_secs(3)).await;
        assert_eq!(fleet.machines[0].target.take_arrivals().len(), 0, "calls after the drain bound");
    });
}

#[test]
fn a_target_that_restarted_unseen_and_is_leaving_gets_no_calls_after_a_restart_of_its_node() {
    run(async {
        let mut fleet = Fleet::start(4).await;
        let outbound = fleet.outbound()[1..].to_vec();
        let informed = restart_and_leave_in_outage(&fleet, &outbound).await;
        let restarted = fleet.restart_first_node().await;
        restarted.target.take_arrivals();
        keep_calling(&informed, "left", Duration::from_secs(2)).await;
        assert_eq!(restarted.target.take_arrivals().len(), 0, "calls of machines that know");
    });
}

#[test]
fn a_service_whose_targets_are_all_leaving_gets_no_calls_and_its_callers_are_refused_in_time() {
    run(async {
        let fleet = Fleet::start(3).await;
        fleet.machines.iter().for_each(|machine| machine.target.set_leaving(true));
        let started = Instant::now();
        for number in 0.. {
            if started.elapsed() >= BOUNDS.drain {
                break;
            }
            for outbound in fleet.outbound() {
                call(outbound, &read(&format!("leaving-{number}-{outbound}"))).await;
            }
        }
        fleet.machines.iter().for_each(|machine| drop(machine.target.take_arrivals()));
        for number in 0..20 {
            for outbound in fleet.outbound() {
                let sent = Instant::now();
                let response = call(outbound, &read(&format!("left-{number}-{outbound}"))).await.expect("a response");
                assert_eq!((response.status, response.header("retry-after").is_empty()), (503, false));
                assert!(sent.elapsed() < Duration::from_millis(500), "{:?}", sent.elapsed());
            }
        }
        let arrivals: usize = fleet.machines.iter().map(|machine| machine.target.take_arrivals().len()).sum();
        assert_eq!(arrivals, 0, "calls after the drain bound");
    });
}
