//! Requests that crash the targets that run them.
//!
//! The story: callers of one service got failures for 16 s while all other services were well. All targets of the service ended within half a
//! second, came back after some seconds, and ended again, five times over; later the same again. Each time copies of one request were running,
//! with other ids and at other machines, and none of the targets was short of room. The cause: nothing remembered what a request had done to a
//! target. Each node took each copy for a new request, and its own retries took it to a second target.
//! The evidence: the calls that went on ending targets were first attempts, seconds after the ends, at machines that had not seen them before.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::caller::{call, request, Answer};
use support::store::StandInStore;
use support::target::{ChainedCall, CrashRule, TargetBehaviour};
use support::{eventually, run, start_sidecar, Machine, OUTBOUND};
use tokio::time::{sleep, Instant};

const HOST: &str = "shop.example";
/// The request that ends targets asks for this.
const CRASHING: &str = "/read/crash";
/// How long it runs before.
const CRASHES_AFTER: Duration = Duration::from_millis(10);
/// For how long a target is away.
const DOWN_FOR: Duration = Duration::from_millis(250);
/// The targets of the service.
const TARGETS: usize = 4;
/// The ends that show that a request crashes targets, and those that may come beyond: copies that were under way when the last one was seen.
const MOST_ENDS: usize = 3 + 3;

fn document() -> String {
    format!(
        r#"{{"version":"r5","listeners":[{{"host":"{HOST}","rules":[
          {{"name":"read","kind":"safe","aim_s":1,"priority":2,"match":{{"prefix":"/read/"}},"action":{{"service":"alpha","timeout_s":2,"max_attempts":2}}}},
          {{"name":"chain","kind":"safe","aim_s":1,"priority":2,"match":{{"prefix":"/chain/"}},"action":{{"service":"beta","timeout_s":2,"max_attempts":1}}}}]}}],
        "clusters":[{{"name":"alpha","health_path":"/health"}},{{"name":"beta","health_path":"/health"}}]}}"#
    )
}

/// The machines of the service, and one at which callers are besides.
struct Fleet {
    store: StandInStore,
    alphas: Vec<Machine>,
    beta: Machine,
}

impl Fleet {
    async fn start() -> Self {
        Self::start_with(false).await
    }

    /// Targets that crash start again, under the identities that they had if they keep them.
    async fn start_with(keeps_id: bool) -> Self {
        let store = StandInStore::start().await;
        store.write_configuration(&document());
        let beta = Machine::start(&store, "beta", 8).await;
        let mut alphas = Vec::new();
        for _ in 0..TARGETS {
            let alpha = Machine::start(&store, "alpha", 8).await;
            alpha.target.set_crash_rule(CrashRule {
                path: CRASHING.to_owned(),
                after: CRASHES_AFTER,
                down_for: DOWN_FOR,
                keeps_id,
            });
            alphas.push(alpha);
        }
        let fleet = Fleet { store, alphas, beta };
        eventually("all are listed everywhere", || {
            fleet.all().all(|one| one.node().targets.borrow().len() == TARGETS + 1)
        })
        .await;
        fleet
    }

    fn all(&self) -> impl Iterator<Item = &Machine> {
        self.alphas.iter().chain([&self.beta])
    }

    fn ends(&self) -> usize {
        self.alphas.iter().map(|alpha| alpha.target.crashes()).sum()
    }

    /// The targets register themselves again and again.
    fn heartbeat(&self) {
        for alpha in &self.alphas {
            self.store.register(&alpha.target, "ready");
        }
    }

    /// Copies of one request arrive at all machines in turn for some time.
    async fn copies(&self, path: &str, name: &str, time: Duration) -> Vec<Answer> {
        let begun = Instant::now();
        let mut answers = Vec::new();
        let machines: Vec<&Machine> = self.all().collect();
        for number in 0.. {
            if begun.elapsed() >= time {
                break;
            }
            self.heartbeat();
            let machine = machines[number % machines.len()];
            let text = request("GET", HOST, path, &format!("{name}-{number}"), 3000, "");
            answers.extend(call(machine.outbound(), &text).await);
            sleep(Duration::from_millis(40)).await;
        }
        answers
    }
}

/// Calls `path` at all machines until each is served once; panics if one is not in time.
async fn served_everywhere(fleet: &Fleet, path: &str) {
    for machine in fleet.all() {
        let begun = Instant::now();
        for number in 0.. {
            fleet.heartbeat();
            let text = request("GET", HOST, path, &format!("served-{number}-{}", machine.address), 3000, "");
            if call(machine.outbound(), &text).await.is_some_and(|answer| answer.status == 200) {
                break;
            }
            assert!(begun.elapsed() < Duration::from_secs(3), "{path} is not served at {}", machine.address);
            sleep(Duration::from_millis(50)).await;
        }
    }
}

#[test]
fn a_request_that_crashes_targets_ends_a_bounded_number_of_them() {
    run(async {
        let fleet = Fleet::start().await;
        fleet.copies(CRASHING, "crashing", Duration::from_secs(4)).await;
        let ends = fleet.ends();
        assert!((3..=MOST_ENDS).contains(&ends), "{ends} targets ended");
    });
}

#[test]
fn a_target_that_starts_again_under_its_identity_has_crashed_too() {
    run(async {
        let fleet = Fleet::start_with(true).await;
        fleet.copies(CRASHING, "crashing", Duration::from_secs(6)).await;
        let ends = fleet.ends();
        assert!(ends > 0 && ends <= MOST_ENDS, "{ends} targets ended");
        served_everywhere(&fleet, "/read/harmless").await;
    });
}

#[test]
fn a_copy_is_refused_at_once_and_told_when_to_come_back() {
    run(async {
        let fleet = Fleet::start().await;
        fleet.copies(CRASHING, "crashing", Duration::from_secs(2)).await;
        sleep(DOWN_FOR * 2).await;
        fleet.heartbeat();
        for machine in fleet.all() {
            let begun = Instant::now();
            let text = request("GET", HOST, CRASHING, &format!("late-{}", machine.address), 3000, "");
            let answer = call(machine.outbound(), &text).await.expect("an answer");
            assert_eq!(answer.status, 503);
            let seconds: f64 = answer.header("retry-after").parse().expect("a time");
            assert!((60.0..=200.0).contains(&seconds), "{seconds} s");
            assert!(begun.elapsed() < Duration::from_millis(300), "{:?}", begun.elapsed());
        }
    });
}

#[test]
fn requests_that_ran_beside_are_served() {
    run(async {
        let fleet = Fleet::start().await;
        for alpha in &fleet.alphas {
            alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(30)));
        }
        let beside = async {
            let (mut first, mut second) = (Vec::new(), Vec::new());
            for _ in 0..12 {
                first.extend(fleet.copies("/read/popular", "popular", Duration::from_millis(100)).await);
                second.extend(fleet.copies("/read/seldom", "seldom", Duration::from_millis(30)).await);
            }
            (first, second)
        };
        let copies = fleet.copies(CRASHING, "crashing", Duration::from_secs(2));
        let _ = tokio::join!(copies, beside);
        served_everywhere(&fleet, "/read/popular").await;
        served_everywhere(&fleet, "/read/seldom").await;
        assert!(fleet.ends() <= MOST_ENDS, "{} targets ended", fleet.ends());
    });
}

#[test]
fn targets_that_end_for_another_cause_are_held_against_nobody() {
    run(async {
        let fleet = Fleet::start().await;
        for alpha in &fleet.alphas {
            alpha.target.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(30)));
        }
        let kills = async {
            for round in 0..6 {
                for alpha in &fleet.alphas {
                    // All at once, then one after the other.
                    sleep(Duration::from_millis(if round < 3 { 0 } else { 60 })).await;
                    alpha.target.crash();
                }
                sleep(DOWN_FOR * 2).await;
            }
        };
        let calls = fleet.copies("/read/popular", "popular", Duration::from_secs(4));
        tokio::join!(kills, calls);
        served_everywhere(&fleet, "/read/popular").await;
    });
}

#[test]
fn a_gate_that_starts_again_learns_of_it() {
    run(async {
        let mut fleet = Fleet::start().await;
        fleet.copies(CRASHING, "crashing", Duration::from_secs(2)).await;
        let alpha = fleet.alphas.remove(0);
        let before = alpha.target.crashes();
        let (address, target, store) = (alpha.address, alpha.target.address, fleet.store.address);
        alpha.sidecar.stop().await;
        let restarted = start_sidecar(address, "alpha", target, store);
        eventually("it is ready", || restarted.node.is_ready()).await;
        eventually("it has learnt", || restarted.node.quarantine.borrow().has_notable()).await;
        let outbound = SocketAddr::from((address, OUTBOUND));
        for number in 0..20 {
            fleet.heartbeat();
            fleet.store.register(&alpha.target, "ready");
            call(outbound, &request("GET", HOST, CRASHING, &format!("again-{number}"), 3000, "")).await;
            sleep(Duration::from_millis(30)).await;
        }
        assert_eq!(alpha.target.crashes(), before, "its target has ended again");
    });
}

#[test]
fn a_call_of_a_target_that_crashes_others_is_refused_below() {
    run(async {
        let fleet = Fleet::start().await;
        let beta = &fleet.beta;
        beta.target.set_chained_call(ChainedCall {
            outbound: beta.outbound(),
            host: HOST.to_owned(),
            path: CRASHING.to_owned(),
        });
        let begun = Instant::now();
        for number in 0.. {
            if begun.elapsed() > Duration::from_secs(4) {
                break;
            }
            fleet.heartbeat();
            let text = request("GET", HOST, "/chain/x", &format!("parent-{number}"), 1500, "");
            call(beta.outbound(), &text).await;
            sleep(Duration::from_millis(30)).await;
        }
        let ends = fleet.ends();
        assert!((3..=MOST_ENDS).contains(&ends), "{ends} targets ended");
        assert_eq!(beta.target.crashes(), 0);
    });
}

#[test]
fn lost_answers_of_targets_that_live_are_held_against_nobody() {
    run(async {
        let fleet = Fleet::start().await;
        for alpha in &fleet.alphas {
            alpha.target.set_behaviour(TargetBehaviour::NoAnswer);
        }
        fleet.copies("/read/lost", "lost", Duration::from_secs(2)).await;
        sleep(Duration::from_millis(500)).await;
        assert!(fleet.alphas.iter().all(|alpha| alpha.node().quarantine.borrow().is_empty()));
        for alpha in &fleet.alphas {
            alpha.target.set_behaviour(TargetBehaviour::Normal);
        }
        served_everywhere(&fleet, "/read/lost").await;
    });
}
