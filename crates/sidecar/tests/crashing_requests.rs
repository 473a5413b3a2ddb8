//! Requests that crash the targets that run them.
//!
//! The story: callers of one service got failures for 16 s while all other services were well. All targets of the service ended within half a
//! second, came back after some seconds, and ended again, five times over; later the same again. Each time copies of one request were running,
//! with other ids and at other machines, and none of the targets was short of room. The cause: nothing remembered what a request had done to a
//! target. Each node took each copy for a new request, and its own retries took it to a second target.
//! The evidence: the calls that went on ending targets were first attempts, seconds after the ends, at machines that had not seen them before.

mod support;

use std::time::Duration;

use support::caller::{call, request, Answer};
use support::store::StandInStore;
use support::target::CrashRule;
use support::{eventually, run, Machine};
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
          {{"name":"read","kind":"safe","aim_s":1,"priority":2,"match":{{"prefix":"/read/"}},"action":{{"service":"alpha","timeout_s":2,"max_attempts":2}}}}]}}],
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
        let store = StandInStore::start().await;
        store.configure(&document());
        let beta = Machine::start(&store, "beta", 8).await;
        let mut alphas = Vec::new();
        for _ in 0..TARGETS {
            let alpha = Machine::start(&store, "alpha", 8).await;
            alpha.target.crash_on(CrashRule { path: CRASHING.to_owned(), after: CRASHES_AFTER, down_for: DOWN_FOR });
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
            self.store.list(&alpha.target, "ready");
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

#[test]
fn a_request_that_crashes_targets_ends_a_bounded_number_of_them() {
    run(async {
        let fleet = Fleet::start().await;
        fleet.copies(CRASHING, "crashing", Duration::from_secs(4)).await;
        let ends = fleet.ends();
        assert!((3..=MOST_ENDS).contains(&ends), "{ends} targets ended");
    });
}
