//! The store turns away, in silence, a third of the machines: those that read it, and then those that come to read it. It
//! serves the others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{configuration, or_stop, request, Deployment, Route};
use crate::http::{Connection, Request};
use crate::record::Record;
use crate::store::Door;
use crate::target::{Reply, Target};

const MACHINES: u8 = 24;
/// The machines that the store turns away: a third.
const MAX_REFUSED: usize = 8;
const ROUNDS: u64 = 5;
const ROUND_TIME: Duration = Duration::from_millis(8500);
/// From the first change of the configuration until the store turns machines away, and from then until the second one.
const REFUSED_AFTER: Duration = Duration::from_millis(150);
const CHANGED_AFTER: Duration = Duration::from_millis(100);
const REFUSED_FOR: Duration = Duration::from_secs(3);
const SEND_PAUSE: Duration = Duration::from_millis(90);
const CONFIG_APPLY: f64 = 2.0;

/// The second change of a round.
struct Round {
    acknowledged: f64,
    ends: f64,
    service: &'static str,
    refused: Vec<u8>,
}

struct Sent {
    id: String,
    at: f64,
    machine: u8,
}

pub fn play(case_folder: &Path, program: &Path, folder: &Path) -> ! {
    let mut deployment = Deployment::prepare(case_folder, program, folder, MACHINES);
    let services = ["directory", "events"];
    let lookup = |service| [Route { name: "lookup", kind: "safe", service, timeout_s: 5.0, max_attempts: 2 }];
    deployment.store.put("op/config", &configuration(3, &lookup("directory"), &services, &[]));
    let work = Arc::new(|request: &Request, _: &Target| {
        Target::work_for(request, Duration::from_millis(10));
        Reply::Whole(format!("the answer to {}", request.header("quillhatch-request-id")))
    });
    let mut doors: Vec<Door> = Vec::new();
    for number in 1..=MACHINES {
        let service = if number <= MACHINES / 2 { "directory" } else { "events" };
        let door = or_stop(deployment.store.open_door(deployment.network.store_ip()), "a door of the store");
        deployment.start_target(number, &format!("i-{service}-{number}"), service, work.clone()).record_runs_later();
        deployment.start_sidecar_at(number, service, door.address);
        doors.push(door);
    }
    deployment.wait_ready();

    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (1..=MACHINES)
        .map(|machine| {
            let outbound = deployment.network.outbound(machine);
            let (record, is_over) = (deployment.record.clone(), Arc::clone(&is_over));
            thread::spawn(move || client(machine, outbound, &record, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let mut rounds: Vec<Round> = Vec::new();
    for number in 0..ROUNDS {
        let began = Instant::now();
        let (old, new) = if number % 2 == 0 { ("directory", "events") } else { ("events", "directory") };
        let is_watching = |machine: &u8| doors[usize::from(*machine) - 1].is_watching();
        let mut refused: Vec<u8> = (1..=MACHINES).filter(is_watching).take(MAX_REFUSED).collect();
        deployment.store.put("op/config", &configuration(10 + 2 * number, &lookup(old), &services, &[]));
        thread::sleep(REFUSED_AFTER);
        let until = Instant::now() + REFUSED_FOR;
        if deployment.trouble {
            deployment.record.line(&format!("the store turns the machines {refused:?} away, which read it"));
            refused.iter().for_each(|machine| doors[usize::from(*machine) - 1].shut(true));
        }
        thread::sleep(CHANGED_AFTER);
        let version = 11 + 2 * number;
        deployment.store.put("op/config", &configuration(version, &lookup(new), &services, &[]));
        let acknowledged = deployment.record.now();
        deployment.record.line(&format!("the store acknowledges r{version}, which sends the route to {new}"));
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
            for machine in 1..=MACHINES {
                let door = &doors[usize::from(machine) - 1];
                if deployment.trouble && refused.len() < MAX_REFUSED && door.is_watching() && !refused.contains(&machine) {
                    deployment.record.line(&format!("the store turns machine {machine} away too"));
                    door.shut(true);
                    refused.push(machine);
                }
            }
        }
        doors.iter().for_each(|door| door.shut(false));
        deployment.record.line("the store serves all machines");
        thread::sleep(ROUND_TIME.saturating_sub(began.elapsed()));
        rounds.push(Round { acknowledged, ends: deployment.record.now(), service: new, refused });
    }
    is_over.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> = clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    deployment.targets.iter().for_each(Target::list_runs);
    let mut ran_by: HashMap<String, String> = HashMap::new();
    for target in &deployment.targets {
        for run in target.runs.lock().expect("no thread panics with the lock").iter() {
            ran_by.insert(run.id.clone(), run.service.clone());
        }
    }
    let mut late = 0;
    for Sent { id, at, machine } in &sent {
        let Some(service) = ran_by.get(id) else { continue };
        let in_round = |round: &&Round| *at > round.acknowledged + CONFIG_APPLY && *at < round.ends;
        let Some(round) = rounds.iter().find(in_round) else { continue };
        if *service != round.service && !round.refused.contains(machine) {
            late += 1;
            let later = at - round.acknowledged;
            deployment.record.line(&format!("{id}: sent to machine {machine}, which the store served, {later:.3} s after the acknowledgement, and the service {service} ran it"));
        }
    }
    let summary = format!(
        "requests {}; sent to machines that the store served more than {CONFIG_APPLY} s after the acknowledgement and run by the old service: {late}",
        sent.len()
    );
    deployment.finish(late > 0, &summary)
}

fn client(machine: u8, outbound: SocketAddr, record: &Record, is_over: &AtomicBool) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut connection = None;
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(SEND_PAUSE);
        if connection.is_none() {
            connection = Connection::connect(outbound).ok();
        }
        let Some(kept) = connection.as_mut() else { continue };
        let id = format!("m{machine}-{}", sent.len());
        let at = record.now();
        let response = kept
            .send(&request("GET", "/lookup/page", &id, 2000))
            .ok()
            .and_then(|()| kept.next_response(Instant::now() + Duration::from_secs(2)).ok());
        if response.as_ref().is_none_or(|response| response.status != 200) {
            let status = response.as_ref().map(|response| response.status);
            record.line(&format!("client of machine {machine} sent {id} at {at:.3} and gets {status:?}"));
        }
        if response.is_none_or(|response| response.header("connection").eq_ignore_ascii_case("close")) {
            connection = None;
        }
        sent.push(Sent { id, at, machine });
    }
    sent
}
