//! Requests that crash the targets that run them.
//!
//! Guards against this failure: copies of one request, with different ids and through different machines, crashed all
//! targets of a service within half a second, and again after each restart, five times in a row, and the same later.
//! Its callers got failures for 16 s, although the targets had spare capacity and all other services were healthy. No
//! node recorded what a request had done to a target: each treated every copy as a new request, and its retries sent it
//! to a second target. The calls that kept crashing targets were first attempts, seconds after the previous crash,
//! through machines that had not seen the request before.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::caller::{call, request, Response};
use support::store::{StandInStore, StoreMode};
use support::target::{ChainedCall, CrashRule, TargetBehaviour};
use support::{eventually, run, start_sidecar, Machine, OUTBOUND};
use tokio::time::{sleep, Instant};

const HOST: &str = "shop.example";
/// The path of the request that crashes targets.
const CRASHING_PATH: &str = "/read/crash";
/// How long the request runs before its target crashes.
const CRASHES_AFTER: Duration = Duration::from_millis(10);
/// How long a crashed target is down.
const DOWN_FOR: Duration = Duration::from_millis(250);
/// The number of targets of the service.
const TARGETS: usize = 4;
/// The maximum number of crashes: three until the request is quarantined, and three by copies that were already in
/// progress at the third.
const MAX_CRASHES: usize = 3 + 3;

fn document() -> String {
    format!(
        r#"{{"version":"r5","listeners":[{{"host":"{HOST}","rules":[
          {{"name":"read","kind":"safe","aim_s":1,"priority":2,"match":{{"prefix":"/read/"}},"action":{{"service":"alpha","timeout_s":2,"max_attempts":2}}}},
          {{"name":"chain","kind":"safe","aim_s":1,"priority":2,"match":{{"prefix":"/chain/"}},"action":{{"service":"beta","timeout_s":2,"max_attempts":1}}}}]}}],
        "clusters":[{{"name":"alpha","health_path":"/health"}},{{"name":"beta","health_path":"/health"}}]}}"#
    )
}

/// The machines of the service, and one more machine with callers.
struct Fleet {
    store: StandInStore,
    alphas: Vec<Machine>,
    beta: Machine,
}

impl Fleet {
    async fn start() -> Self {
        Self::start_with(TARGETS, false).await
    }

    /// Starts all machines. Crashed targets restart, with `keeps_id` under their previous identities.
    async fn start_with(count: usize, keeps_id: bool) -> Self {
        let store = StandInStore::start().await;
        store.write_configuration(&document());
        let beta = Machine::start(&store, "beta", 8).await;
        let mut alphas = Vec::new();
        for _ in 0..count {
            let alpha = Machine::start(&store, "alpha", 8).await;
            alpha.target.set_crash_rule(CrashRule {
                path: CRASHING_PATH.to_owned(),
                after: CRASHES_AFTER,
                down_for: DOWN_FOR,
                keeps_id,
            });
            alphas.push(alpha);
        }
        let fleet = Fleet { store, alphas, beta };
        eventually("all are listed everywhere", || {
            fleet.all().all(|one| one.node().targets.borrow().len() == count + 1)
        })
        .await;
        fleet
    }

    fn all(&self) -> impl Iterator<Item = &Machine> {
        self.alphas.iter().chain([&self.beta])
    }

    fn crash_count(&self) -> usize {
        self.alphas.iter().map(|alpha| alpha.target.crashes()).sum()
    }

    /// Renews the registrations of all targets.
    fn heartbeat(&self) {
        for alpha in &self.alphas {
            self.store.register(&alpha.target, "ready");
        }
    }

    /// Sends copies of one request through all machines in turn for some time.
    async fn send_copies(&self, path: &str, name: &str, time: Duration) -> Vec<Response> {
        let started = Instant::now();
        let mut responses = Vec::new();
        let machines: Vec<&Machine> = self.all().collect();
        for number in 0.. {
            if started.elapsed() >= time {
                break;
            }
            self.heartbeat();
            let machine = machines[number % machines.len()];
            let text = request("GET", HOST, path, &format!("{name}-{number}"), 3000, "");
            responses.extend(call(machine.outbound(), &text).await);
            sleep(Duration::from_millis(40)).await;
        }
        responses
    }
}

/// Calls `path` through all machines until each has served it once. Panics if one does not within 3 s.
async fn assert_served_everywhere(fleet: &Fleet, path: &str) {
    for machine in fleet.all() {
        let started = Instant::now();
        for number in 0.. {
            fleet.heartbeat();
            let text = request("GET", HOST, path, &format!("served-{number}-{}", machine.address), 3000, "");
            if call(machine.outbound(), &text).await.is_some_and(|response| response.status == 200) {
                break;
            }
            assert!(started.elapsed() < Duration::from_secs(3), "{path} is not served at {}", machine.address);
            sleep(Duration::from_millis(50)).await;
        }
    }
}

#[test]
fn a_crashing_request_crashes_a_bounded_number_of_targets() {
    run(async {
        let fleet = Fleet::start().await;
        fleet.send_copies(CRASHING_PATH, "crashing", Duration::from_secs(4)).await;
        let crashes = fleet.crash_count();
        assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} targets crashed");
    });
}

#[test]
fn a_restart_under_the_same_identity_counts_as_a_crash() {
    run(async {
        let fleet = Fleet::start_with(TARGETS, true).await;
        fleet.send_copies(CRASHING_PATH, "crashing", Duration::from_secs(6)).await;
        let crashes = fleet.crash_count();
        assert!(crashes > 0 && crashes <= MAX_CRASHES, "{crashes} targets crashed");
        assert_served_everywhere(&fleet, "/read/harmless").await;
    });
}

#[test]
fn a_target_that_restarts_under_the_same_identity_is_not_crashed_again_and_again() {
    run(async {
        let fleet = Fleet::start_with(1, true).await;
        fleet.send_copies(CRASHING_PATH, "crashing", Duration::from_secs(6)).await;
        let crashes = fleet.crash_count();
        assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} crashes of one target");
    });
}

#[test]
fn a_quarantined_request_is_refused_at_once_with_retry_after() {
    run(async {
        let fleet = Fleet::start().await;
        fleet.send_copies(CRASHING_PATH, "crashing", Duration::from_secs(2)).await;
        sleep(DOWN_FOR * 2).await;
        fleet.heartbeat();
        for machine in fleet.all() {
            let started = Instant::now();
            let text = request("GET", HOST, CRASHING_PATH, &format!("late-{}", machine.address), 3000, "");
            let response = call(machine.outbound(), &text).await.expect("a response");
            assert_eq!(response.status, 503);
            let seconds: f64 = response.header("retry-after").parse().expect("a time");
            assert!((60.0..=200.0).contains(&seconds), "{seconds} s");
            assert!(started.elapsed() < Duration::from_millis(300), "{:?}", started.elapsed());
        }
    });
}

#[test]
fn requests_that_ran_beside_a_crashing_one_are_served() {
    run(async {
        let fleet = Fleet::start().await;
        for alpha in &fleet.alphas {
            alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(30)));
        }
        let other_calls = async {
            let (mut first, mut second) = (Vec::new(), Vec::new());
            for _ in 0..12 {
                first.extend(fleet.send_copies("/read/popular", "popular", Duration::from_millis(100)).await);
                second.extend(fleet.send_copies("/read/seldom", "seldom", Duration::from_millis(30)).await);
            }
            (first, second)
        };
        let copies = fleet.send_copies(CRASHING_PATH, "crashing", Duration::from_secs(2));
        let _ = tokio::join!(copies, other_calls);
        assert_served_everywhere(&fleet, "/read/popular").await;
        assert_served_everywhere(&fleet, "/read/seldom").await;
        assert!(fleet.crash_count() <= MAX_CRASHES, "{} targets crashed", fleet.crash_count());
    });
}

#[test]
fn targets_that_crash_for_another_cause_quarantine_no_request() {
    run(async {
        let fleet = Fleet::start().await;
        for alpha in &fleet.alphas {
            alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(30)));
        }
        let kills = async {
            for round in 0..6 {
                for alpha in &fleet.alphas {
                    // All at once in the first rounds, then one after the other.
                    sleep(Duration::from_millis(if round < 3 { 0 } else { 60 })).await;
                    alpha.target.crash();
                }
                sleep(DOWN_FOR * 2).await;
            }
        };
        let calls = fleet.send_copies("/read/popular", "popular", Duration::from_secs(4));
        tokio::join!(kills, calls);
        assert_served_everywhere(&fleet, "/read/popular").await;
    });
}

#[test]
fn a_restarted_gate_receives_the_quarantine_entries() {
    run(async {
        let mut fleet = Fleet::start().await;
        fleet.send_copies(CRASHING_PATH, "crashing", Duration::from_secs(2)).await;
        let alpha = fleet.alphas.remove(0);
        let before = alpha.target.crashes();
        let (address, target, store) = (alpha.address, alpha.target.address, fleet.store.address);
        alpha.sidecar.stop().await;
        let restarted = start_sidecar(address, "alpha", target, store);
        eventually("it is ready", || restarted.node.is_ready()).await;
        eventually("it has quarantine entries", || restarted.node.quarantine.borrow().has_gossip()).await;
        let outbound = SocketAddr::from((address, OUTBOUND));
        for number in 0..20 {
            fleet.heartbeat();
            fleet.store.register(&alpha.target, "ready");
            call(outbound, &request("GET", HOST, CRASHING_PATH, &format!("again-{number}"), 3000, "")).await;
            sleep(Duration::from_millis(30)).await;
        }
        assert_eq!(alpha.target.crashes(), before, "its target has crashed again");
    });
}

#[test]
fn a_nested_call_that_crashes_targets_is_quarantined() {
    run(async {
        let fleet = Fleet::start().await;
        let beta = &fleet.beta;
        beta.target.set_chained_call(ChainedCall {
            outbound: beta.outbound(),
            host: HOST.to_owned(),
            path: CRASHING_PATH.to_owned(),
        });
        let started = Instant::now();
        for number in 0.. {
            if started.elapsed() > Duration::from_secs(4) {
                break;
            }
            fleet.heartbeat();
            let text = request("GET", HOST, "/chain/x", &format!("parent-{number}"), 1500, "");
            call(beta.outbound(), &text).await;
            sleep(Duration::from_millis(30)).await;
        }
        let crashes = fleet.crash_count();
        assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} targets crashed");
        assert_eq!(beta.target.crashes(), 0);
    });
}

#[test]
fn lost_responses_of_live_targets_quarantine_no_request() {
    run(async {
        let fleet = Fleet::start().await;
        for alpha in &fleet.alphas {
            alpha.target.set_behaviour(TargetBehaviour::NoResponse);
        }
        fleet.send_copies("/read/lost", "lost", Duration::from_secs(2)).await;
        sleep(Duration::from_millis(500)).await;
        assert!(fleet.alphas.iter().all(|alpha| alpha.node().quarantine.borrow().is_empty()));
        for alpha in &fleet.alphas {
            alpha.target.set_behaviour(TargetBehaviour::Normal);
        }
        assert_served_everywhere(&fleet, "/read/lost").await;
    });
}

#[test]
fn a_target_that_keeps_restarting_unseen_is_not_crashed_again_and_again() {
    run(async {
        let fleet = Fleet::start_with(1, true).await;
        fleet.store.set_mode(StoreMode::Status(503));
        fleet.send_copies(CRASHING_PATH, "crashing", Duration::from_secs(6)).await;
        let crashes = fleet.crash_count();
        assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} crashes of one target");
    });
}
