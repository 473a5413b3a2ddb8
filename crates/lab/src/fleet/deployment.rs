//! What a fleet consists of, and its configuration document.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_standins::backend::ChildCall;
use serde_json::{json, Value};

use super::ports::PlannedMachine;

/// The name of the deployment.
pub const DEPLOYMENT: &str = "lab";

/// Where a machine stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The site.
    pub site: String,
    /// The zone.
    pub zone: String,
}

/// A service with one target in each zone of each site.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Its name.
    pub name: &'static str,
    /// Calls that each back end runs at once.
    pub slots: usize,
    /// The time that a call runs.
    pub service_time: Duration,
    /// Calls that each back end makes.
    pub children: Vec<ChildCall>,
    /// Its classes, as the configuration document has them.
    pub classes: Value,
    /// The longest wait in a gate's queue, as the document has it.
    pub queue_timeout: &'static str,
}

/// A fleet: sites with zones, services with a target in each zone, and an edge in each zone.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The sites, each with the share of slots that it starts with, in percent.
    pub sites: Vec<(&'static str, u8)>,
    /// The zones of every site.
    pub zones: Vec<&'static str>,
    /// The services.
    pub services: Vec<ServicePlan>,
}

/// A class of calls, as the configuration document has it.
pub fn class(name: &str, prefix: &str, methods: &[&str], priority: &str, repeatable: bool, deadline: &str) -> Value {
    json!({
        "name": name,
        "methods": methods,
        "path_prefix": prefix,
        "priority": priority,
        "repeatable": repeatable,
        "deadline": deadline,
        "retry_budget": 3,
        "retry_ratio_percent": 10,
        "large_answers": priority == "bulk",
    })
}

impl Deployment {
    fn places(&self) -> Vec<Place> {
        let place = |site: &str, zone: &str| Place { site: site.to_owned(), zone: zone.to_owned() };
        self.sites.iter().flat_map(|(site, _)| self.zones.iter().map(|zone| place(site, zone))).collect()
    }

    /// All machines: in each zone an edge and one target of each service.
    pub(super) fn machines(&self) -> Vec<(Place, Option<String>)> {
        let mut machines = Vec::new();
        for place in self.places() {
            machines.push((place.clone(), None));
            machines.extend(self.services.iter().map(|service| (place.clone(), Some(service.name.to_owned()))));
        }
        machines
    }

    pub(super) fn service_of(&self, machine: &PlannedMachine) -> Option<&ServicePlan> {
        self.services.iter().find(|service| machine.service.as_deref() == Some(service.name))
    }

    /// The configuration document.
    pub(super) fn document(&self, machines: &[PlannedMachine]) -> String {
        let sites = self.sites.iter().map(|(name, _)| json!({ "name": name, "zones": self.zones }));
        let services: BTreeMap<&str, Value> =
            self.services.iter().map(|service| (service.name, self.service_document(service, machines))).collect();
        let document = json!({
            "deployment": DEPLOYMENT,
            "revision": 1,
            "formation": "new",
            "sites": sites.collect::<Vec<_>>(),
            "services": services,
        });
        document.to_string()
    }

    fn service_document(&self, service: &ServicePlan, machines: &[PlannedMachine]) -> Value {
        let shares: BTreeMap<&str, u8> = self.sites.iter().copied().collect();
        let own = machines.iter().filter(|machine| machine.service.as_deref() == Some(service.name));
        let targets = own.map(|machine| {
            json!({
                "node": machine.ports.peers,
                "site": machine.place.site,
                "zone": machine.place.zone,
                "slots": service.slots,
                "connections": 1_000,
            })
        });
        json!({
            "slot_count": 48,
            "claim_retention": "1 h",
            "claim_capacity": 1_000_000,
            "queue_timeout": service.queue_timeout,
            "site_shares": shares,
            "classes": service.classes,
            "targets": targets.collect::<Vec<_>>(),
        })
    }
}
