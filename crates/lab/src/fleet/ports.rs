//! Finds free loopback ports before anything starts, as the configuration document names them.

use std::net::{SocketAddr, TcpListener};

use super::deployment::{Deployment, Place};

/// The addresses of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachinePorts {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where the back end listens.
    pub backend: SocketAddr,
}

/// A machine that is going to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedMachine {
    /// Where it stands.
    pub place: Place,
    /// The service of its back end; `None` for an edge.
    pub service: Option<String>,
    /// Its addresses.
    pub ports: MachinePorts,
}

/// Gives every machine of `deployment` its own ports.
pub fn assign(deployment: &Deployment) -> std::io::Result<Vec<PlannedMachine>> {
    let wanted = deployment.machines();
    // All ports are held until the last one is found, so that none is found twice.
    let mut held = Vec::new();
    let mut machines = Vec::new();
    for (place, service) in wanted {
        let ports = MachinePorts {
            callers: hold(&mut held)?,
            peers: hold(&mut held)?,
            operators: hold(&mut held)?,
            backend: hold(&mut held)?,
        };
        machines.push(PlannedMachine { place, service, ports });
    }
    Ok(machines)
}

fn hold(held: &mut Vec<TcpListener>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    held.push(listener);
    Ok(address)
}
