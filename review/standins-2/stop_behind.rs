//! A machine is stopped while clients wait for long requests. The answers to the requests behind these on the same
//! connections arrive at the machine seconds before it ends.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{configuration, request, Deployment, Route};
use crate::http::{Connection, ReadFailure, Request};
use crate::target::{Reply, Run, Target};

const CONNECTIONS: usize = 6;
/// Requests sent on a connection behind the long one.
const BEHIND: usize = 3;
/// As `spot-lookup` of the site.
const DEADLINE: Duration = Duration::from_secs(6);
const LONG_WORK: Duration = Duration::from_millis(5920);
/// When the machine is stopped, after the clients have begun to send.
const STOP_AFTER: Duration = Duration::from_millis(80);
const SHORT_WORK: Duration = Duration::from_millis(90);
const GRACE: Duration = Duration::from_secs(6);

/// What a client got for one request.
#[derive(Debug)]
struct Outcome {
    id: String,
    status: Option<u16>,
    failure: Option<ReadFailure>,
    at: f64,
}

pub fn play(case_folder: &Path, program: &Path, folder: &Path) -> ! {
    let mut deployment = Deployment::prepare(case_folder, program, folder, 4);
    let routes = [Route { name: "lookup", kind: "safe", service: "disponibilidad", timeout_s: 6.0, max_attempts: 2 }];
    deployment.store.put("op/config", &configuration(3, &routes, &["disponibilidad", "flotillas"], &[]));
    let work = Arc::new(|request: &Request, _: &Target| {
        let time = if request.path().ends_with("/long") { LONG_WORK } else { SHORT_WORK };
        Target::work_for(request, time);
        Reply::Whole(format!("the answer to {}", request.header("quillhatch-request-id")))
    });
    // Machine 1 takes the requests of the clients; the targets that run them are beside machines 2 to 4.
    for (number, service) in [(1, "flotillas"), (2, "disponibilidad"), (3, "disponibilidad"), (4, "disponibilidad")] {
        deployment.start_target(number, &format!("i-{service}-{number}"), service, work.clone());
        deployment.start_sidecar(number, service);
    }
    deployment.wait_ready();

    let outbound = deployment.network.outbound(1);
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            let record = deployment.record.clone();
            thread::spawn(move || client(number, outbound, &record))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let stopped_at = deployment.record.now();
    if deployment.trouble {
        deployment.sidecars[0].signal("TERM");
        // The platform kills a process that has not ended by then.
        thread::sleep(GRACE);
        match deployment.sidecars[0].ended() {
            Some(status) => deployment.record.line(&format!("the process has ended by itself: {status}")),
            None => deployment.sidecars[0].kill(),
        }
    }
    let outcomes: Vec<Outcome> = clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    let runs: Vec<Run> = deployment
        .targets
        .iter()
        .flat_map(|target| target.runs.lock().expect("no thread panics with the lock").clone())
        .collect();
    let mut lost = 0;
    for outcome in outcomes.iter().filter(|outcome| outcome.status.is_none()) {
        let Outcome { id, failure, at, .. } = outcome;
        let run = runs.iter().find(|run| run.id == *id);
        let answered = run.and_then(|run| run.ended);
        deployment.record.line(&format!("{id}: no complete answer by {at:.3} ({failure:?}); its target had answered at {answered:?}"));
        // Excused: its target was still at work in the last sixth of the grace period.
        let last_sixth = stopped_at + GRACE.as_secs_f64() * 5.0 / 6.0;
        // Excused: the client's own deadline came first, so the connection had not ended.
        let has_ended = matches!(failure, Some(ReadFailure::Closed | ReadFailure::Incomplete(..)));
        if has_ended && answered.is_some_and(|answered| answered < last_sixth) {
            lost += 1;
        }
    }
    let summary = format!(
        "requests {}, complete answers {}, answered by their targets before the last sixth of the grace period and lost: {lost}",
        outcomes.len(),
        outcomes.iter().filter(|outcome| outcome.status.is_some()).count()
    );
    deployment.finish(lost > 0, &summary)
}

/// Sends a long request and others behind it, and reads the answers in that order.
fn client(number: usize, outbound: std::net::SocketAddr, record: &crate::record::Record) -> Vec<Outcome> {
    let Ok(mut connection) = Connection::connect(outbound) else { return Vec::new() };
    let ids: Vec<String> = (0..=BEHIND).map(|index| format!("c{number}-{index}")).collect();
    let until = Instant::now() + DEADLINE;
    for (index, id) in ids.iter().enumerate() {
        let path = if index == 0 { "/lookup/long" } else { "/lookup/short" };
        record.line(&format!("client {number} sends {id} GET {path}"));
        if connection.send(&request("GET", path, id, DEADLINE.as_millis() as u64)).is_err() {
            record.line(&format!("client {number} could not send {id}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let mut outcomes = Vec::new();
    let mut failure = None;
    for id in ids {
        let (status, failed) = match &failure {
            Some(failure) => (None, Some(failure)),
            None => match connection.next_response(until) {
                Ok(response) => {
                    record.line(&format!("client {number} gets {} for {id}", response.status));
                    (Some(response.status), None)
                }
                Err(failed) => {
                    record.line(&format!("client {number} gets {failed:?} for {id}"));
                    failure = Some(failed);
                    (None, failure.as_ref())
                }
            },
        };
        outcomes.push(Outcome { id, status, failure: failed.cloned(), at: record.now() });
    }
    outcomes
}
