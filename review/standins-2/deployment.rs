//! A small deployment: a store with a configuration, and machines with a target and a sidecar each.

use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::machine::{Network, Sidecar};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Target, Work};

/// The case couldn't run.
pub const COULD_NOT_RUN: i32 = 2;
/// The longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
    pub max_attempts: u32,
}

/// The host of all routes.
pub const HOST: &str = "hulo84.example";

/// A tenant of the configuration.
pub struct Tenant<'a> {
    pub name: &'a str,
    pub keys: &'a [&'a str],
}

pub fn configuration(version: u64, routes: &[Route<'_>], services: &[&str], tenants: &[Tenant<'_>]) -> String {
    let rule = |route: &Route<'_>| {
        let Route { name, kind, service, timeout_s, max_attempts } = route;
        format!(
            r#"{{"name":"r-{name}","kind":"{kind}","aim_s":1.5,"priority":0,"match":{{"prefix":"/{name}/"}},"action":{{"service":"{service}","timeout_s":{timeout_s},"max_attempts":{max_attempts}}}}}"#
        )
    };
    let rules: Vec<String> = routes.iter().map(rule).collect();
    let cluster =
        |name: &&str| format!(r#"{{"name":"{name}","health_path":"/health","max_connections":952,"protocol":"h1","tls":false}}"#);
    let tenant = |Tenant { name, keys }: &Tenant<'_>| {
        format!(r#"{{"name":"{name}","api_keys":["{}"],"priority":0,"rate_per_s":0,"burst":0}}"#, keys.join("\",\""))
    };
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    let tenants =
        if tenants.is_empty() { String::new() } else { format!(r#","tenants":[{}]"#, tenants.join(",")) };
    let clusters: Vec<String> = services.iter().map(cluster).collect();
    format!(
        r#"{{"version":"r{version}","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}},"listeners":[{{"host":"{HOST}","rules":[{}]}}],"clusters":[{}]{tenants}}}"#,
        rules.join(","),
        clusters.join(",")
    )
}

pub struct Deployment {
    pub record: Record,
    pub network: Network,
    pub store: Store,
    pub program: PathBuf,
    pub folder: PathBuf,
    pub targets: Vec<Target>,
    pub sidecars: Vec<Sidecar>,
    /// Whether the case plays its disruption.
    pub trouble: bool,
    /// Bounds beyond those that every deployment has, as further fields of a JSON object.
    pub bounds: &'static str,
}

impl Deployment {
    /// Prepares a deployment of `machines` machines. The case's folder, the program and a temporary folder come from the
    /// arguments.
    pub fn prepare(case_folder: &Path, program: &Path, folder: &Path, machines: u8) -> Self {
        // The time limit holds whatever happens. The sidecars end with this process: the script kills their group.
        thread::spawn(|| {
            thread::sleep(TIME_LIMIT);
            println!("the case took too long");
            exit(COULD_NOT_RUN);
        });
        let record = or_stop(Record::create(case_folder), "record.txt");
        let Some(network) = Network::find(machines) else {
            println!("no free ports");
            exit(COULD_NOT_RUN);
        };
        let store = or_stop(Store::start(network.store_ip()), "the store");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.say(&format!("disruption: {}", if trouble { "yes" } else { "no" }));
        Deployment {
            record,
            network,
            store,
            program: program.to_owned(),
            folder: folder.to_owned(),
            targets: Vec::new(),
            sidecars: Vec::new(),
            trouble,
            bounds: "",
        }
    }

    /// Starts the target of machine `number`, and registers it.
    pub fn start_target(&mut self, number: u8, id: &str, service: &str, work: Arc<Work>) -> Target {
        let address = self.network.target(number);
        let target = or_stop(Target::start(id, service, address, &self.record, work), "a target");
        target.register(&self.store, zone(number));
        self.targets.push(target.clone());
        target
    }

    /// Starts the sidecar of machine `number`.
    pub fn start_sidecar(&mut self, number: u8, service: &str) {
        self.start_sidecar_at(number, service, self.store.address);
    }

    /// The same with an address of the store of its own.
    pub fn start_sidecar_at(&mut self, number: u8, service: &str, store: std::net::SocketAddr) {
        let Deployment { record, network, program, folder, bounds, .. } = self;
        let zone = zone(number);
        let sidecar = Sidecar::start(program, folder, network, number, service, zone, store, bounds, record);
        self.sidecars.push(or_stop(sidecar, "a sidecar"));
    }

    /// Waits until all sidecars are ready, and for `contact_s` beyond that, so that all machines are in touch.
    pub fn wait_ready(&self) {
        for sidecar in &self.sidecars {
            if !sidecar.wait_ready(Duration::from_secs(10)) {
                self.stop(&format!("{} did not become ready", sidecar.name));
            }
        }
        thread::sleep(Duration::from_secs(4));
        self.record.line("all machines are in touch");
    }

    /// Ends the case as one that couldn't run.
    pub fn stop(&self, why: &str) -> ! {
        self.record.say(why);
        exit(COULD_NOT_RUN);
    }

    /// Ends all processes, and the case with its result.
    pub fn finish(mut self, is_broken: bool, summary: &str) -> ! {
        self.sidecars.clear();
        self.record.say(summary);
        self.record.say(if is_broken { "the rule was broken" } else { "the rule held" });
        exit(i32::from(is_broken));
    }
}

/// The zone of a machine.
pub fn zone(number: u8) -> &'static str {
    if number % 2 == 1 {
        "hall-a"
    } else {
        "hall-b"
    }
}

pub fn or_stop<T>(result: std::io::Result<T>, what: &str) -> T {
    result.unwrap_or_else(|error| {
        println!("{what}: {error}");
        exit(COULD_NOT_RUN);
    })
}

/// The text of a request of a client without a body.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    request_with(method, path, id, deadline_ms, "")
}

/// The same with further headers, each with its line end.
pub fn request_with(method: &str, path: &str, id: &str, deadline_ms: u64, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nQuillhatch-Request-Id: {id}\r\nQuillhatch-Deadline-Ms: {deadline_ms}\r\n{headers}\r\n"
    )
}
