//! A tour of the product in one process: calls, an overload, a plan with its confirmation, and a planned stop.
//!
//! [`run`] starts a fleet of two sites on loopback, tells what happens through a [`Narrator`], and judges at the end, from
//! the callers' answers and the back ends' records, whether anything was lost or doubled.

pub mod audit;
mod deployment;
mod narrator;

use std::time::Duration;

use derive_more::{Display, Error, From};
use quillhatch_control::operator::{Intent, Plan};
use quillhatch_standins::backend::BackendFaults;
use quillhatch_standins::load::LoadSummary;
use quillhatch_types::names::NameError;
use quillhatch_types::{ServiceName, SiteName};

use crate::fleet::operators::{Operator, OperatorError};
use crate::fleet::{Fleet, FleetError, FleetMachine};
use audit::{Audit, Ledger, LoadKind};
use deployment::{calls, downloads, overload, NEW_SITE, OLD_SITE};

pub use narrator::Narrator;

/// The longest time that the move of the demo may take.
const MOVE_WITHIN: Duration = Duration::from_secs(12);

/// How long downloads have run when the planned stop begins.
const STOP_AFTER: Duration = Duration::from_millis(700);

/// The grace of the planned stop.
const STOP_GRACE: Duration = Duration::from_secs(8);

/// The factor by which downloads are slowed down for the planned stop.
const DOWNLOAD_SLOWDOWN: f64 = 20.0;

/// The seeds of the loads; each gives its requests other identities.
const FIRST_SEED: u64 = 0xd0;

/// Why the demo did not come to its end.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// The fleet did not start.
    Fleet(FleetError),
    /// The operator did not get what was asked for.
    Operator(OperatorError),
    /// The load generator failed.
    Load(reqwest::Error),
    /// A name is not valid; a fault of the lab.
    Name(NameError),
    /// A machine that the demo needs is not there; a fault of the lab.
    #[display("there is no machine of {service} at {site}")]
    #[from(ignore)]
    NoMachine {
        /// The service.
        service: &'static str,
        /// The site.
        site: &'static str,
    },
}

/// Runs the whole demo.
///
/// # Errors
///
/// Returns what could not be carried out; what callers and back ends saw is in the [`Audit`].
pub async fn run(narrator: &Narrator) -> Result<Audit, DemoError> {
    narrator.busy("starting the platform, the back ends and the nodes of two sites");
    let mut fleet = Fleet::start(&deployment::deployment()).await?;
    let nodes = fleet.machines.len();
    narrator.tell(format!("{nodes} nodes of two sites with three zones each are ready"));
    let mut ledger = Ledger::default();
    let outcome = tour(&mut fleet, &mut ledger, narrator).await;
    let audit = ledger.close(&fleet);
    fleet.shut_down().await;
    outcome.map(|()| audit)
}

async fn tour(fleet: &mut Fleet, ledger: &mut Ledger, narrator: &Narrator) -> Result<(), DemoError> {
    ordinary_calls(fleet, ledger, narrator).await?;
    overload_and_recovery(fleet, ledger, narrator).await?;
    planned_move(fleet, ledger, narrator).await?;
    planned_stop(fleet, ledger, narrator).await
}

async fn ordinary_calls(fleet: &Fleet, ledger: &mut Ledger, narrator: &Narrator) -> Result<(), DemoError> {
    narrator.busy("callers look things up, make pledges and download files");
    let edges = fleet.edges(OLD_SITE);
    let summary = quillhatch_standins::load::run(calls(edges, Duration::from_secs(3), FIRST_SEED)).await?;
    narrator.tell(format!("ordinary calls: {}", describe(&summary)));
    ledger.add(LoadKind::WithinCapacity, summary);
    Ok(())
}

async fn overload_and_recovery(fleet: &Fleet, ledger: &mut Ledger, narrator: &Narrator) -> Result<(), DemoError> {
    narrator.busy("twice as many lookups as the directory can serve, from callers that retry at once");
    let edges = fleet.edges(OLD_SITE);
    let summary = quillhatch_standins::load::run(overload(edges.clone(), FIRST_SEED + 1)).await?;
    narrator.tell(format!("overload: {}", describe(&summary)));
    let pledges = summary.whole_identities.iter().filter(|(share, _)| *share == deployment::PLEDGES).count();
    narrator.tell(format!("overload: {pledges} pledges were served meanwhile"));
    ledger.add(LoadKind::Overload, summary);
    narrator.busy("the overload is over");
    let summary = quillhatch_standins::load::run(calls(edges, Duration::from_secs(2), FIRST_SEED + 2)).await?;
    narrator.tell(format!("afterwards: {}", describe(&summary)));
    ledger.add(LoadKind::WithinCapacity, summary);
    Ok(())
}

async fn planned_move(fleet: &Fleet, ledger: &mut Ledger, narrator: &Narrator) -> Result<(), DemoError> {
    narrator.busy("an operator moves half of the pledges to the new site, while calls go on");
    let operator = Operator::new(machine_of(fleet, "giving", OLD_SITE)?.operators());
    let intent = Intent::MoveShare {
        service: ServiceName::new("giving")?,
        from: SiteName::new(OLD_SITE)?,
        to: SiteName::new(NEW_SITE)?,
        percent: 50,
    };
    let before = runs_at(fleet, "giving", NEW_SITE);
    let load = calls(fleet.edges(OLD_SITE), Duration::from_secs(6), FIRST_SEED + 3);
    let (summary, moved) = tokio::join!(quillhatch_standins::load::run(load), carry_out(&operator, intent, narrator));
    let summary = summary?;
    narrator.tell(format!("during the move: {}", describe(&summary)));
    ledger.add(LoadKind::WithinCapacity, summary);
    moved?;
    let after = runs_at(fleet, "giving", NEW_SITE);
    narrator.tell(format!("the new site has run {} calls of giving since the plan was made", after - before));
    Ok(())
}

async fn carry_out(operator: &Operator, intent: Intent, narrator: &Narrator) -> Result<(), DemoError> {
    let Plan { id, draft, .. } = operator.plan(intent).await?;
    narrator.tell(format!("plan {id}: {} steps, nothing is changed yet", draft.steps.len()));
    for step in &draft.steps {
        narrator.tell(format!("  {step}"));
    }
    operator.confirm(&id).await?;
    narrator.tell(format!("plan {id} is confirmed"));
    operator.wait_until_done(&id, MOVE_WITHIN).await?;
    narrator.tell(format!("plan {id} is done"));
    Ok(())
}

async fn planned_stop(fleet: &mut Fleet, ledger: &mut Ledger, narrator: &Narrator) -> Result<(), DemoError> {
    narrator.busy("a node is stopped as planned under downloads");
    slow_down(fleet, "archives", OLD_SITE);
    let edges = fleet.edges(OLD_SITE);
    let stopping = fleet.machines.iter_mut().find(|machine| is_at(machine, "archives", OLD_SITE));
    let node = stopping.and_then(|machine| machine.node.take());
    let node = node.ok_or(DemoError::NoMachine { service: "archives", site: OLD_SITE })?;
    let address = node.addresses.peers;
    let stop = async {
        tokio::time::sleep(STOP_AFTER).await;
        let running = node.driver().active_requests().len();
        narrator.tell(format!("{address} is told to stop with {running} calls in flight"));
        let report = node.stop_within(STOP_GRACE).await;
        narrator.tell(format!("{address} has stopped; {} calls were cut", report.aborted.len()));
    };
    let load = quillhatch_standins::load::run(downloads(edges, FIRST_SEED + 4));
    let (summary, ()) = tokio::join!(load, stop);
    let summary = summary?;
    narrator.tell(format!("during the stop: {}", describe(&summary)));
    ledger.add(LoadKind::WithinCapacity, summary);
    Ok(())
}

/// Lets downloads take long enough to be in flight when the node stops.
fn slow_down(fleet: &Fleet, service: &str, site: &str) {
    for backend in fleet.machines_of(service, site).filter_map(|machine| machine.backend.as_ref()) {
        backend.behaviour.set_faults(BackendFaults { slowdown: DOWNLOAD_SLOWDOWN, ..BackendFaults::default() });
    }
}

fn is_at(machine: &FleetMachine, service: &str, site: &str) -> bool {
    machine.service.as_deref() == Some(service) && machine.place.site == site
}

fn machine_of<'a>(fleet: &'a Fleet, service: &'static str, site: &'static str) -> Result<&'a FleetMachine, DemoError> {
    fleet.machines_of(service, site).next().ok_or(DemoError::NoMachine { service, site })
}

/// Runs that began at the back ends of `service` at `site`.
fn runs_at(fleet: &Fleet, service: &str, site: &str) -> u64 {
    let backends = fleet.machines_of(service, site).filter_map(|machine| machine.backend.as_ref());
    backends.map(|backend| backend.behaviour.runs.started()).sum()
}

fn describe(summary: &LoadSummary) -> String {
    let refused: u64 = summary.refused.values().sum();
    let other = summary.timed_out + summary.broken + summary.partial + summary.foreign;
    format!(
        "{} calls, {} whole, {refused} refused, {other} otherwise; half within {:.0} ms, 99% within {:.0} ms",
        summary.offered, summary.whole, summary.latency.p50, summary.latency.p99
    )
}
