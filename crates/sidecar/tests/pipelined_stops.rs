//! Stops while responses that are ready wait behind one that is not, on the same connection.

mod support;

use std::time::Duration;

use support::caller::{request, Caller};
use support::limits::{document_with_timeout, two_machines, HOST};
use support::store::StandInStore;
use support::target::TargetBehaviour;
use support::{eventually, run, Machine, BOUNDS};
use test_case::test_case;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::Instant;

/// Longer than the grace period of a stop.
const TIMEOUT_S: u32 = 9;
/// How long the target works on a call that outlasts the process.
const LONG: Duration = Duration::from_secs(8);

fn read(id: &str) -> String {
    request("GET", HOST, "/read/x", id, u64::from(TIMEOUT_S) * 1000, "")
}

/// A machine with a target, and one that callers use and that stops.
struct Stop {
    store: StandInStore,
    alpha: Machine,
    beta: Machine,
}

impl Stop {
    async fn prepare() -> Self {
        let (store, alpha, beta) = two_machines().await;
        store.write_configuration(&document_with_timeout(2, TIMEOUT_S));
        let is_new = |machine: &Machine| machine.node().configuration.borrow().version() == 2;
        eventually("the timeout is in force", || is_new(&alpha) && is_new(&beta)).await;
        Stop { store, alpha, beta }
    }

    /// Sends requests on one connection, each of which takes its time at the target.
    async fn send(&self, times: &[Duration]) -> Caller {
        let mut caller = Caller::connect(self.beta.outbound()).await;
        for (number, time) in times.iter().enumerate() {
            let started = self.alpha.target.started_requests().len();
            self.alpha.target.set_behaviour(TargetBehaviour::Slow(*time));
            caller.send(&read(&format!("call-{number}"))).await;
            eventually("it runs", || self.alpha.target.started_requests().len() > started).await;
        }
        caller
    }

    /// Stops the node that callers use; returns the number of calls that it cut.
    fn start(self) -> JoinHandle<usize> {
        let Stop { store, alpha, beta } = self;
        spawn_local(async move {
            let cut = beta.sidecar.stop().await;
            drop((store, alpha, beta.target));
            cut
        })
    }
}

const SHORT: Duration = Duration::from_millis(50);

// The responses behind one that outlasted the process were ready for seconds, and never written.
#[test_case(&[LONG, SHORT, SHORT, SHORT], &[504, 200, 200, 200]; "three behind one")]
#[test_case(&[LONG, SHORT, LONG, SHORT], &[504, 200, 504, 200]; "behind two")]
#[test_case(&[SHORT, LONG, SHORT], &[200, 504, 200]; "one before it")]
fn a_stop_delivers_the_responses_that_are_ready_behind_one_that_outlasts_it(times: &[Duration], statuses: &[u16]) {
    let (times, statuses) = (times.to_vec(), statuses.to_vec());
    run(async move {
        let stop = Stop::prepare().await;
        let mut caller = stop.send(&times).await;
        let stopping = stop.start();
        for (number, expected) in statuses.iter().enumerate() {
            let response =
                caller.next_response().await.unwrap_or_else(|| panic!("the response to call-{number} is lost"));
            assert_eq!(response.status, *expected, "call-{number}");
            assert!(response.is_own(&format!("call-{number}")), "{response:?}");
        }
        assert_eq!(caller.next_response().await, None, "the connection closes");
        assert_eq!(stopping.await.expect("it stops"), 0);
    });
}

#[test]
fn a_stop_gives_up_no_response_before_the_last_sixth_of_the_grace_period() {
    run(async {
        let stop = Stop::prepare().await;
        let mut caller = stop.send(&[LONG, SHORT]).await;
        let started = Instant::now();
        let stopping = stop.start();
        let first = caller.next_response().await.expect("a response");
        assert_eq!(first.status, 504);
        assert!(started.elapsed() >= BOUNDS.stop_grace * 5 / 6, "{:?}", started.elapsed());
        stopping.await.expect("it stops");
    });
}

#[test_case(&[Duration::from_millis(5_250)]; "alone")]
#[test_case(&[Duration::from_millis(5_250), LONG]; "before another one that is not ready")]
#[test_case(&[Duration::from_millis(4_700), SHORT]; "before one that is ready, soon enough")]
fn a_stop_awaits_a_response_as_long_as_that_delays_no_other(times: &[Duration]) {
    let times = times.to_vec();
    run(async move {
        let stop = Stop::prepare().await;
        let mut caller = stop.send(&times).await;
        let stopping = stop.start();
        let first = caller.next_response().await.expect("a response");
        assert_eq!(first.status, 200);
        stopping.await.expect("it stops");
    });
}

#[test]
fn the_responses_that_wait_behind_another_one_are_counted_with_their_ids() {
    run(async {
        let stop = Stop::prepare().await;
        let caller = stop.send(&[LONG, SHORT, SHORT]).await;
        let waiting = std::rc::Rc::clone(&stop.beta.node().waiting_responses);
        eventually("both wait", || waiting.len() == 2).await;
        let ids: Vec<String> = waiting.oldest(5).into_iter().map(|call| call.id).collect();
        assert_eq!(ids, ["call-1", "call-2"]);
        drop(caller);
        eventually("none waits any more", || waiting.is_empty()).await;
    });
}
