//! The rate limit that a target names in its responses, across several machines.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::caller::{call, Response};
use support::shop::{read, start_fleet};
use support::store::{StandInStore, StoreMode};
use support::target::{StandInTarget, TargetBehaviour};
use support::{eventually, run, start_sidecar, Machine};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How many times its limit a target may receive in a window, and how many requests in addition.
const TOLERANCE: (f64, f64) = (1.5, 5.0);
/// How long after a target has named its limit the limit holds.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Machines whose first target has a limit.
struct Fleet {
    store: StandInStore,
    machines: Vec<Machine>,
}

impl Fleet {
    async fn start(count: usize) -> Self {
        Self::start_with(&vec!["alpha"; count]).await
    }

    /// Starts a machine for a target of each of these services. Calls go to `alpha`.
    async fn start_with(services: &[&str]) -> Self {
        let (store, machines) = start_fleet(services, 64).await;
        Fleet { store, machines }
    }

    fn limited(&self) -> &Machine {
        &self.machines[0]
    }

    /// Sends calls through all machines in turn, `per_second` altogether, without waiting for their responses.
    async fn send(&self, name: &str, per_second: u32, duration: Duration) -> Responses {
        let outbound: Vec<SocketAddr> = self.machines.iter().map(Machine::outbound).collect();
        send(&outbound, name, per_second, duration).await
    }
}

/// The responses to a series of calls.
#[derive(Default)]
struct Responses {
    served: usize,
    refused: Vec<(Response, Duration)>,
    other: usize,
}

async fn send(outbound: &[SocketAddr], name: &str, per_second: u32, duration: Duration) -> Responses {
    let started = Instant::now();
    let mut calls = Vec::new();
    for number in 0.. {
        let due = Duration::from_secs(1) * number / per_second;
        if due >= duration {
            break;
        }
        sleep(due.saturating_sub(started.elapsed())).await;
        let (address, request) = (outbound[number as usize % outbound.len()], read(&format!("{name}-{number}")));
        calls.push(spawn_local(async move {
            let sent = Instant::now();
            (call(address, &request).await, sent.elapsed())
        }));
    }
    let mut responses = Responses::default();
    for call in calls {
        match call.await.expect("the caller ends") {
            (Some(response), _) if response.status == 200 => responses.served += 1,
            (Some(response), took) if response.status == 503 => responses.refused.push((response, took)),
            _ => responses.other += 1,
        }
    }
    responses
}

/// The most requests in any window.
fn max_in_window(arrivals: &[Instant]) -> usize {
    let in_window = |first: &Instant| arrivals.iter().filter(|at| (*first..*first + WINDOW).contains(at)).count();
    arrivals.iter().map(in_window).max().unwrap_or_default()
}

/// When requests arrived since this was last called.
fn arrivals_of(target: &StandInTarget) -> Vec<Instant> {
    target.take_arrivals().into_iter().map(|arrival| arrival.at).collect()
}

fn arrivals_since(machine: &Machine, since: Instant) -> Vec<Instant> {
    arrivals_of(&machine.target).into_iter().filter(|at| *at >= since).collect()
}

fn max_allowed(limit: f64) -> usize {
    (TOLERANCE.0 * limit * WINDOW.as_secs_f64() + TOLERANCE.1) as usize
}

#[test]
fn all_machines_together_keep_to_the_limit_that_a_target_names() {
    run(async {
        let fleet = Fleet::start(6).await;
        fleet.send("before", 200, Duration::from_secs(1)).await;
        fleet.limited().target.set_rate_limit(Some("5.5"));
        fleet.send("notice", 200, NOTICE_TIME).await;
        let since = Instant::now();
        let responses = fleet.send("limited", 200, WINDOW + Duration::from_secs(2)).await;
        let arrivals = arrivals_since(fleet.limited(), since);
        let most = max_in_window(&arrivals);
        assert!(most <= max_allowed(5.5), "{most} requests in {WINDOW:?}, {} are allowed", max_allowed(5.5));
        let sent = 200 * (WINDOW.as_secs() as usize + 2);
        assert_eq!((responses.served, responses.other), (sent, 0), "the other targets have room");
    });
}

#[test]
fn the_limit_holds_after_a_restart_of_the_process_beside_a_slow_target() {
    run(async {
        let mut fleet = Fleet::start_with(&["alpha", "beta", "beta", "beta", "beta", "beta"]).await;
        let outbound: Vec<SocketAddr> = fleet.machines[1..].iter().map(Machine::outbound).collect();
        fleet.limited().target.set_rate_limit(Some("5.5"));
        fleet.limited().target.set_health_shows_status(false);
        send(&outbound, "before", 200, Duration::from_secs(1)).await;
        let Machine { target, sidecar, address } = fleet.machines.remove(0);
        sidecar.stop().await;
        target.take_arrivals();
        target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(700)));
        let _restarted = start_sidecar(address, "alpha", target.address, fleet.store.address);
        send(&outbound, "restarted", 200, Duration::from_secs(2)).await;
        assert_within_limit(&arrivals_of(&target), 5.5);
    });
}

#[test]
fn calls_beyond_the_limits_of_all_targets_are_refused_at_once_and_told_when_to_return() {
    run(async {
        let fleet = Fleet::start(3).await;
        fleet.machines.iter().for_each(|machine| machine.target.set_rate_limit(Some("8")));
        fleet.send("notice", 100, NOTICE_TIME).await;
        fleet.machines.iter().for_each(|machine| drop(machine.target.take_arrivals()));
        let responses = fleet.send("limited", 100, WINDOW).await;
        assert_eq!(responses.other, 0);
        for (response, took) in &responses.refused {
            let delay: f64 = response.header("retry-after").parse().expect("a delay in seconds");
            assert!((0.1..=10.0).contains(&delay), "{delay}");
            assert!(*took < Duration::from_millis(250), "{took:?}");
        }
        let arrivals: usize = fleet.machines.iter().map(|machine| machine.target.take_arrivals().len()).sum();
        assert_eq!(arrivals, responses.served, "a refused call reaches no target");
        let accepted = 3.0 * 8.0 * WINDOW.as_secs_f64();
        assert!(responses.served as f64 >= 0.9 * accepted, "{} served, {accepted} accepted", responses.served);
        let retries: u64 = fleet.machines.iter().map(|machine| machine.node().counters.retries.get()).sum();
        assert_eq!(retries, 0, "calls that reached no target are not retries");
    });
}

#[test]
fn a_target_that_gives_up_a_limit_of_zero_is_called_again() {
    run(async {
        let fleet = Fleet::start(2).await;
        fleet.limited().target.set_rate_limit(Some("0"));
        fleet.send("notice", 100, NOTICE_TIME).await;
        fleet.limited().target.take_arrivals();
        fleet.send("limited", 100, Duration::from_secs(2)).await;
        let received = fleet.limited().target.take_arrivals().len();
        assert!(received <= max_allowed(0.0), "{received} requests");
        fleet.limited().target.set_rate_limit(None);
        fleet.send("given up", 100, Duration::from_secs(16)).await;
        let received = fleet.limited().target.take_arrivals().len();
        assert!(received > 50, "{received} requests");
    });
}

#[test]
fn a_limit_in_rejections_counts() {
    run(async {
        let fleet = Fleet::start(3).await;
        fleet.limited().target.set_behaviour(TargetBehaviour::RefusesRequests);
        fleet.limited().target.set_rate_limit(Some("2"));
        fleet.send("notice", 100, NOTICE_TIME).await;
        fleet.limited().target.take_arrivals();
        fleet.send("limited", 100, WINDOW).await;
        let most = fleet.limited().target.take_arrivals().len();
        assert!(most <= max_allowed(2.0), "{most} requests");
    });
}

#[test]
fn a_limit_that_is_no_number_is_passed_on_unchanged_and_limits_nothing() {
    run(async {
        let fleet = Fleet::start(1).await;
        fleet.limited().target.set_rate_limit(Some("2 a second"));
        let responses = fleet.send("all", 100, Duration::from_secs(1)).await;
        assert_eq!(responses.served, 100);
        let response = call(fleet.limited().outbound(), &read("one")).await.expect("a response");
        assert_eq!(response.header("server-limit"), "2 a second");
    });
}

#[test]
fn a_target_that_restarts_with_its_id_has_the_limit_no_more() {
    run(async {
        let fleet = Fleet::start(1).await;
        fleet.limited().target.set_rate_limit(Some("0.2"));
        fleet.send("notice", 100, NOTICE_TIME).await;
        fleet.limited().target.restart_with_same_id();
        fleet.store.register(&fleet.limited().target, "ready");
        sleep(Duration::from_millis(500)).await;
        let responses = fleet.send("restarted", 100, Duration::from_secs(1)).await;
        assert_eq!(responses.served, 100);
    });
}

/// Lets the limited target, which is slow, start again with its identity while the nodes can't read the store, and then
/// name a limit. Returns once the store is back and shows the restart.
async fn restart_and_name_limit_in_outage(fleet: &Fleet, outbound: &[SocketAddr]) {
    let target = &fleet.limited().target;
    target.set_health_shows_status(false);
    fleet.store.set_mode(StoreMode::Status(503));
    sleep(NOTICE_TIME).await;
    target.restart_with_same_id();
    fleet.store.register(target, "ready");
    target.set_rate_limit(Some("5.5"));
    send(outbound, "notice", 200, Duration::from_secs(1)).await;
    target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(700)));
    target.take_arrivals();
    fleet.store.set_mode(StoreMode::Normal);
    let shows_restart = |machine: &Machine| {
        let targets = machine.node().targets.borrow();
        targets.get(&target.id()).is_some_and(|listed| listed.registration.started == target.start_time_ms())
    };
    eventually("all know the restart", || fleet.machines.iter().all(shows_restart)).await;
}

fn assert_within_limit(arrivals: &[Instant], limit: f64) {
    let most = max_in_window(arrivals);
    assert!(most <= max_allowed(limit), "{most} requests in {WINDOW:?}, {} are allowed", max_allowed(limit));
    assert!(most > 0, "it still gets calls");
}

#[test]
fn the_limit_of_a_target_that_restarted_unseen_holds_once_its_registration_shows_the_restart() {
    run(async {
        let fleet = Fleet::start_with(&["alpha", "beta", "beta", "beta", "beta", "beta"]).await;
        let outbound: Vec<SocketAddr> = fleet.machines[1..].iter().map(Machine::outbound).collect();
        restart_and_name_limit_in_outage(&fleet, &outbound).await;
        send(&outbound, "shown", 200, Duration::from_secs(2)).await;
        assert_within_limit(&arrivals_of(&fleet.limited().target), 5.5);
    });
}

#[test]
fn the_limit_of_a_target_that_restarted_unseen_holds_after_a_restart_of_its_node() {
    run(async {
        let mut fleet = Fleet::start_with(&["alpha", "beta", "beta", "beta", "beta", "beta"]).await;
        let outbound: Vec<SocketAddr> = fleet.machines[1..].iter().map(Machine::outbound).collect();
        restart_and_name_limit_in_outage(&fleet, &outbound).await;
        let Machine { target, sidecar, address } = fleet.machines.remove(0);
        sidecar.stop().await;
        target.take_arrivals();
        let _restarted = start_sidecar(address, "alpha", target.address, fleet.store.address);
        send(&outbound, "restarted", 200, Duration::from_secs(2)).await;
        assert_within_limit(&arrivals_of(&target), 5.5);
    });
}
