//! The deployment that is soaked: machines, services, routes and the configuration documents.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use quillhatch_platform_standins::configuration::{configuration_document, DocumentRoute};
use rand::Rng;

use crate::tenancy::tenants;

/// The host of all routes.
pub const HOST: &str = "soak.example";
/// The services; all have the same number of targets.
pub const SERVICES: [&str; 3] = ["alpha", "beta", "gamma"];
/// The targets of a service, unless the command line names another number.
pub const DEFAULT_TARGETS_PER_SERVICE: usize = 2;
/// The most targets of a service for which there are addresses.
pub const MAX_TARGETS_PER_SERVICE: usize = 75;
/// The requests that a target works on at a time.
pub const SLOTS: u32 = 24;

/// For how long a crashed target is away.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(400);

const OUTBOUND: u16 = 22501;
const INBOUND: u16 = 22502;
const READY: u16 = 22503;
/// The ports that are left to the project: of counters, of reports on limits and of what is told of requests that crash targets.
const OWN_PORTS: (u16, u16) = (22504, 22506);
const TARGET: u16 = 22507;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// May be repeated; served by beta.
    Read,
    /// Runs at most once; served by gamma.
    Pay,
    /// May be repeated; served by alpha, whose targets call beta for it.
    Chain,
    /// May be repeated; the configuration moves it from service to service.
    Moving,
    /// May be repeated; served by beta, whose targets it crashes.
    Crashing,
}

impl RouteKind {
    /// The kinds that do no harm.
    pub const NON_CRASHING: [RouteKind; 4] = [RouteKind::Read, RouteKind::Pay, RouteKind::Chain, RouteKind::Moving];

    /// The path of its requests.
    pub fn path(self) -> &'static str {
        match self {
            RouteKind::Read => "/read/x",
            RouteKind::Pay => "/pay/x",
            RouteKind::Chain => "/chain/x",
            RouteKind::Moving => "/moving/x",
            RouteKind::Crashing => "/read/harmful",
        }
    }

    /// The method of its requests.
    pub fn method(self) -> &'static str {
        match self {
            RouteKind::Pay => "POST",
            _ => "GET",
        }
    }

    /// The body of its requests.
    pub fn body(self) -> &'static str {
        match self {
            RouteKind::Pay => "one pledge",
            _ => "",
        }
    }

    /// The service that always serves it, unless the configuration moves it.
    pub fn service(self) -> Option<&'static str> {
        match self {
            RouteKind::Read | RouteKind::Crashing => Some("beta"),
            RouteKind::Pay => Some("gamma"),
            RouteKind::Chain => Some("alpha"),
            RouteKind::Moving => None,
        }
    }

    /// Whether its requests may run more than once.
    pub fn is_repeatable(self) -> bool {
        self != RouteKind::Pay
    }
}

/// The configuration of a version, the one with this number, in which [`RouteKind::Moving`] is served by `moving`.
pub fn document(version: u64, number: usize, moving: &str) -> String {
    let route = |name, kind, service, priority| DocumentRoute { name, kind, service, priority, timeout_s: 2 };
    let routes = [
        route("read", "safe", "beta", 2),
        route("pay", "unsafe", "gamma", 0),
        route("chain", "safe", "alpha", 1),
        route("moving", "safe", moving, 2),
    ];
    configuration_document(version, HOST, &routes, &SERVICES, &tenants(number))
}

/// The addresses of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineAddrs {
    /// Its number.
    pub number: usize,
    /// The address that others know; its callers and its target use it, and a proxy listens there for other nodes.
    pub public: Ipv4Addr,
    /// The address at which its process listens.
    pub own: Ipv4Addr,
}

impl MachineAddrs {
    /// The addresses of machine `number` of the soak that drew `net`.
    pub fn new(net: SoakNet, number: usize) -> Self {
        let at = |third: u8| Ipv4Addr::new(127, net.0, third, 10 + number as u8);
        MachineAddrs { number, public: at(net.1), own: at(net.1 + 1) }
    }

    /// The service of the target of machine `number`.
    pub fn service_of(number: usize) -> &'static str {
        SERVICES[number % SERVICES.len()]
    }

    /// The service of its target.
    pub fn service(&self) -> &'static str {
        Self::service_of(self.number)
    }

    /// Where callers send their calls.
    pub fn outbound(&self) -> SocketAddr {
        (self.own, OUTBOUND).into()
    }

    /// Where other nodes send their calls.
    pub fn proxy(&self) -> SocketAddr {
        (self.public, INBOUND).into()
    }

    /// Where the process takes what comes through the proxy.
    pub fn inbound(&self) -> SocketAddr {
        (self.own, INBOUND).into()
    }

    /// Where the process says whether it is ready.
    pub fn ready(&self) -> SocketAddr {
        (self.own, READY).into()
    }

    /// The first and the last of the ports that are left to the project.
    pub fn own_ports(self) -> (u16, u16) {
        OWN_PORTS
    }

    /// Where the target listens.
    pub fn target(&self) -> SocketAddr {
        (self.public, TARGET).into()
    }
}

/// The part of the loopback range that one soak uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakNet(u8, u8);

impl SoakNet {
    /// Draws a part that other soaks on this machine hardly ever use at the same time.
    pub fn draw(random: &mut impl Rng) -> Self {
        SoakNet(random.gen_range(60..250), 2 * random.gen_range(1..125))
    }
}
