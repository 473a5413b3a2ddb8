//! The deployment under test: machines, services, routes and configuration documents.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use quillhatch_platform_standins::configuration::{configuration_document, DocumentRoute};
use quillhatch_platform_standins::target::LARGE_PATH;
use rand::Rng;

use crate::tenancy::tenants;

/// The host of all routes.
pub const HOST: &str = "soak.example";
/// The services, all of which have the same number of targets.
pub const SERVICES: [&str; 3] = ["alpha", "beta", "gamma"];
/// The default number of targets of a service.
pub const DEFAULT_TARGETS_PER_SERVICE: usize = 2;
/// The maximum number of targets of a service for which there are addresses.
pub const MAX_TARGETS_PER_SERVICE: usize = 75;
/// The number of requests that a target runs concurrently.
pub const SLOTS: u32 = 24;

/// How long a crashed target stays down.
pub const CRASH_DOWNTIME: Duration = Duration::from_millis(400);

const OUTBOUND_PORT: u16 = 22501;
const INBOUND_PORT: u16 = 22502;
const READY_PORT: u16 = 22503;
/// The first and the last of the ports reserved for the project: for the metrics page, for reports on tenants' rate
/// limits, and for reports on requests that crash targets.
const PROJECT_PORTS: (u16, u16) = (22504, 22506);
const TARGET_PORT: u16 = 22507;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Retryable; served by beta.
    Read,
    /// Runs at most once; served by gamma.
    Pay,
    /// Retryable; served by alpha, whose targets make a chained call to beta.
    Chain,
    /// Retryable; successive configurations move it between services.
    Moving,
    /// Retryable; served by beta, whose targets it crashes.
    Crashing,
    /// Retryable; served by beta, with a large response.
    Large,
}

impl RouteKind {
    /// The kinds that do not crash targets.
    pub const NON_CRASHING: [RouteKind; 4] = [RouteKind::Read, RouteKind::Pay, RouteKind::Chain, RouteKind::Moving];

    /// The path of its requests.
    pub fn path(self) -> &'static str {
        match self {
            RouteKind::Read => "/read/x",
            RouteKind::Pay => "/pay/x",
            RouteKind::Chain => "/chain/x",
            RouteKind::Moving => "/moving/x",
            RouteKind::Crashing => "/read/harmful",
            RouteKind::Large => LARGE_PATH,
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

    /// The service that serves it; `None` if the configuration moves it between services.
    pub fn service(self) -> Option<&'static str> {
        match self {
            RouteKind::Read | RouteKind::Crashing | RouteKind::Large => Some("beta"),
            RouteKind::Pay => Some("gamma"),
            RouteKind::Chain => Some("alpha"),
            RouteKind::Moving => None,
        }
    }

    /// Whether its requests, or the calls that targets make for them, may need a target of this service.
    pub fn may_need(self, service: &str) -> bool {
        match self {
            RouteKind::Chain => service == "alpha" || service == "beta",
            _ => self.service().is_none_or(|own| own == service),
        }
    }

    /// Whether its requests may run more than once.
    pub fn is_retryable(self) -> bool {
        self != RouteKind::Pay
    }
}

/// The configuration document with the given version, number and timeout of all routes in seconds, in which the service
/// `moving` serves [`RouteKind::Moving`].
pub fn document(version: u64, number: usize, moving: &str, timeout_s: u32) -> String {
    let route = |name, kind, service, priority| DocumentRoute { name, kind, service, priority, timeout_s };
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
    /// The public address. Its callers and its target use it, and a proxy listens on it for other nodes.
    pub public: Ipv4Addr,
    /// The address on which its process listens.
    pub process: Ipv4Addr,
}

impl MachineAddrs {
    /// The addresses of machine `number` in the network `net`.
    pub fn new(net: SoakNet, number: usize) -> Self {
        let at = |third: u8| Ipv4Addr::new(127, net.0, third, 10 + number as u8);
        MachineAddrs { number, public: at(net.1), process: at(net.1 + 1) }
    }

    /// The service of the target of machine `number`.
    pub fn service_of(number: usize) -> &'static str {
        SERVICES[number % SERVICES.len()]
    }

    /// The service of its target.
    pub fn service(&self) -> &'static str {
        Self::service_of(self.number)
    }

    /// The address to which callers send their calls.
    pub fn outbound(&self) -> SocketAddr {
        (self.process, OUTBOUND_PORT).into()
    }

    /// The address to which other nodes send calls for the target; the link's proxy listens on it.
    pub fn proxy(&self) -> SocketAddr {
        (self.public, INBOUND_PORT).into()
    }

    /// The address to which the proxy forwards the calls of other nodes.
    pub fn inbound(&self) -> SocketAddr {
        (self.process, INBOUND_PORT).into()
    }

    /// The address at which the process reports whether it is ready.
    pub fn ready(&self) -> SocketAddr {
        (self.process, READY_PORT).into()
    }

    /// The first and the last of the ports reserved for the project.
    pub fn project_ports(self) -> (u16, u16) {
        PROJECT_PORTS
    }

    /// The address on which the target listens.
    pub fn target(&self) -> SocketAddr {
        (self.public, TARGET_PORT).into()
    }
}

/// The part of the loopback address range that one soak uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakNet(u8, u8);

impl SoakNet {
    /// Draws a random part, which another concurrent soak on this machine is unlikely to use.
    pub fn draw(random: &mut impl Rng) -> Self {
        SoakNet(random.gen_range(60..250), 2 * random.gen_range(1..125))
    }
}
