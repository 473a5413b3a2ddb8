//! Stops while responses that are ready wait behind one that is not, on the same connection.

mod support;

use std::time::Duration;

use support::caller::{request, Caller};
use support::limits::{document_with_timeout, two_machines, HOST};
use support::store::StandInStore;
use support::target::TargetBehaviour;
use support::{eventually, run, Machine};

/// Longer than the grace period of a stop.
const TIMEOUT_S: u32 = 9;
/// How long the target works on a call that outlasts the process.
const LONG: Duration = Duration::from_secs(8);

fn read(id: &str) -> String {
    request("GET", HOST, "/read/x", id, u64::from(TIMEOUT_S) * 1000, "")
}

/// A machine with a target, and one that callers use and that stops.
struct Stop {
    _store: StandInStore,
    alpha: Machine,
    beta: Machine,
}

impl Stop {
    async fn prepare() -> Self {
        let (store, alpha, beta) = two_machines().await;
        store.write_configuration(&document_with_timeout(2, TIMEOUT_S));
        let is_new = |machine: &Machine| machine.node().configuration.borrow().version() == 2;
        eventually("the timeout is in force", || is_new(&alpha) && is_new(&beta)).await;
        Stop { _store: store, alpha, beta }
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
}

const SHORT: Duration = Duration::from_millis(50);

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
