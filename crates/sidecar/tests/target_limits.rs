//! The rate limit that a target names in its responses, across several machines.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::caller::{call, Response};
use support::shop::{document, read};
use support::store::StandInStore;
use support::target::TargetBehaviour;
use support::{eventually, run, start_sidecar, Machine};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How many times its limit a target may receive in a window, and how many requests in addition.
const TOLERANCE: (f64, f64) = (1.5, 5.0);
/// How long after a target has named its limit the limit holds.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// How long a target works on a call.
const WORK_TIME: Duration = Duration::from_millis(4);

/// The machines of one service.
struct Fleet {
    store: StandInStore,
    machines: Vec<Machine>,
}

impl Fleet {
    async fn start(count: usize) -> Self {
        let store = StandInStore::start().await;
        store.write_configuration(&document(5, "alpha"));
        let mut machines = Vec::new();
        for _ in 0..count {
            let machine = Machine::start(&store, "alpha", 64).await;
            machine.target.set_behaviour(TargetBehaviour::Slow(WORK_TIME));
            machines.push(machine);
        }
        let all_know = || machines.iter().all(|machine| machine.node().targets.borrow().len() == count);
        eventually("all are listed everywhere", all_know).await;
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

fn arrivals_since(machine: &Machine, since: Instant) -> Vec<Instant> {
    machine.target.take_arrivals().into_iter().map(|arrival| arrival.at).filter(|at| *at >= since).collect()
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
        let mut fleet = Fleet::start(6).await;
        let outbound: Vec<SocketAddr> = fleet.machines[1..].iter().map(Machine::outbound).collect();
        fleet.limited().target.set_rate_limit(Some("5.5"));
        send(&outbound, "before", 200, Duration::from_secs(1)).await;
        let Machine { target, sidecar, address } = fleet.machines.remove(0);
        sidecar.stop().await;
        target.take_arrivals();
        for other in fleet.machines.iter().map(|machine| &machine.target).chain([&target]) {
            other.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(900)));
        }
        let _restarted = start_sidecar(address, "alpha", target.address, fleet.store.address);
        let responses = send(&outbound, "restarted", 200, Duration::from_secs(2)).await;
        let arrivals: Vec<Instant> = target.take_arrivals().into_iter().map(|arrival| arrival.at).collect();
        let most = max_in_window(&arrivals);
        assert!(most <= max_allowed(5.5), "{most} requests in {WINDOW:?}, {} are allowed", max_allowed(5.5));
        assert_eq!(responses.served, 400, "the other targets have room");
    });
}
