//! A whole deployment in this process: stand-in platform, back ends and real nodes on loopback.
//!
//! Use [`Fleet::start`] with a [`Deployment`]; every call, probe and frame goes over real sockets.

pub mod deployment;
pub mod operators;

mod ports;
mod settings;

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error, From};
use quillhatch::RunningNode;
use quillhatch_standins::backend::{Backend, BackendOptions};
use quillhatch_standins::platform::{Machine, MachineStatus, Platform};
use quillhatch_standins::server::any_loopback;
use tokio::time::Instant;

pub use deployment::{Deployment, Place, ServicePlan};

use ports::MachinePorts;

/// The longest time that a fleet may take until all nodes are ready.
const READY_WITHIN: Duration = Duration::from_secs(15);

/// The pause between two looks at the nodes.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Why a fleet did not start.
#[derive(Debug, Display, Error, From)]
pub enum FleetError {
    /// No free port.
    #[display("no free port: {_0}")]
    Port(std::io::Error),
    /// A stand-in did not start.
    #[display("a stand-in did not start: {_0}")]
    StandIn(quillhatch_standins::server::StartError),
    /// A node did not start.
    #[display("a node did not start: {_0}")]
    Node(quillhatch::StartError),
    /// The settings of a node are wrong; a fault of the lab.
    #[display("the settings of a node are wrong: {findings}")]
    #[from(ignore)]
    Settings {
        /// The findings, one a line.
        findings: String,
    },
    /// Nodes did not become ready in time.
    #[display("{count} nodes were not ready within {READY_WITHIN:?}")]
    #[from(ignore)]
    NotReady {
        /// How many.
        count: usize,
    },
}

/// A machine: a node, with a back end beside it unless it is an edge only.
pub struct FleetMachine {
    /// Where it stands.
    pub place: Place,
    /// The service of its back end; `None` for an edge.
    pub service: Option<String>,
    /// The node; `None` after it was stopped.
    pub node: Option<RunningNode>,
    /// The back end.
    pub backend: Option<Backend>,
    ports: MachinePorts,
}

impl FleetMachine {
    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.ports.callers
    }

    /// Where operators connect.
    pub fn operators(&self) -> SocketAddr {
        self.ports.operators
    }

    /// Where other nodes connect.
    pub fn peers(&self) -> SocketAddr {
        self.ports.peers
    }
}

/// A running deployment.
pub struct Fleet {
    /// The stand-in platform.
    pub platform: Platform,
    /// All machines.
    pub machines: Vec<FleetMachine>,
}

impl Fleet {
    /// Starts everything and waits until all nodes are ready.
    ///
    /// # Errors
    ///
    /// Returns what did not start.
    pub async fn start(deployment: &Deployment) -> Result<Fleet, FleetError> {
        let plan = ports::assign(deployment)?;
        let document = deployment.document(&plan);
        let platform = Platform::start(any_loopback(), document).await?;
        let listed = |ports: &MachinePorts| Machine { address: ports.peers, status: MachineStatus::Live };
        platform.state.set_machines(plan.iter().map(|machine| listed(&machine.ports)).collect());
        let mut machines = Vec::new();
        for machine in &plan {
            machines.push(start_machine(deployment, machine, platform.address()).await?);
        }
        let fleet = Fleet { platform, machines };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    async fn wait_until_ready(&self) -> Result<(), FleetError> {
        let end = Instant::now() + READY_WITHIN;
        loop {
            let nodes = self.machines.iter().filter_map(|machine| machine.node.as_ref());
            let count = nodes.filter(|node| !node.driver().is_ready()).count();
            if count == 0 {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(FleetError::NotReady { count });
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
    }

    /// The caller listeners of the edges at `site`.
    pub fn edges(&self, site: &str) -> Vec<SocketAddr> {
        let at_site = |machine: &&FleetMachine| machine.service.is_none() && machine.place.site == site;
        self.machines.iter().filter(at_site).map(FleetMachine::callers).collect()
    }

    /// The machines of `service` at `site`.
    pub fn machines_of<'a>(&'a self, service: &'a str, site: &'a str) -> impl Iterator<Item = &'a FleetMachine> {
        let belongs =
            move |machine: &&FleetMachine| machine.service.as_deref() == Some(service) && machine.place.site == site;
        self.machines.iter().filter(belongs)
    }

    /// All back ends.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.machines.iter().filter_map(|machine| machine.backend.as_ref())
    }

    /// Ends everything at once.
    pub async fn shut_down(self) {
        let Fleet { platform, machines } = self;
        let end = |machine: FleetMachine| async move {
            if let Some(node) = machine.node {
                node.kill().await;
            }
            if let Some(backend) = machine.backend {
                backend.stop().await;
            }
        };
        futures::future::join_all(machines.into_iter().map(end)).await;
        platform.stop().await;
    }
}

async fn start_machine(
    deployment: &Deployment,
    machine: &ports::PlannedMachine,
    platform: SocketAddr,
) -> Result<FleetMachine, FleetError> {
    let backend = match deployment.service_of(machine) {
        Some(service) => Some(start_backend(service, machine).await?),
        None => None,
    };
    let settings = settings::node_settings(deployment, machine, platform)?;
    let node = quillhatch::start(settings).await?;
    Ok(FleetMachine {
        place: machine.place.clone(),
        service: machine.service.clone(),
        node: Some(node),
        backend,
        ports: machine.ports,
    })
}

async fn start_backend(service: &ServicePlan, machine: &ports::PlannedMachine) -> Result<Backend, FleetError> {
    let options = BackendOptions {
        service: service.name.to_owned(),
        name: format!("{}-{}-{}", service.name, machine.place.site, machine.place.zone),
        slots: service.slots,
        service_time: service.service_time,
        edge: Some(machine.ports.callers),
        children: service.children.clone(),
    };
    Ok(Backend::start(machine.ports.backend, options).await?)
}
