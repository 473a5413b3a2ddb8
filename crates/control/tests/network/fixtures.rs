//! One service at two sites, three targets and an edge each.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_control::{ControlMechanisms, ControlSettings, ControlTiming};
use quillhatch_group::GroupSettings;
use quillhatch_types::{
    ClassConfiguration, ClassName, Configuration, DeploymentName, Epoch, Formation, NodeAddress, NodeId, Priority,
    Revision, ServiceConfiguration, ServiceName, SiteConfiguration, SiteName, TargetConfiguration, ZoneName,
};

pub const SLOTS: u16 = 16;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub address: NodeAddress,
    pub site: SiteName,
    pub zone: ZoneName,
    number: u8,
}

impl Place {
    pub fn is_gate(&self) -> bool {
        self.number % 10 < 4
    }
}

pub fn address(number: u8) -> NodeAddress {
    NodeAddress(([10, 0, 0, number], 7000).into())
}

pub fn site(name: &str) -> SiteName {
    SiteName::new(name).expect("a name")
}

pub fn service() -> ServiceName {
    ServiceName::new("giving").expect("a name")
}

pub fn class() -> ClassName {
    ClassName::new("pledge").expect("a name")
}

/// Gates 11 to 13 and edge 14 at "old", gates 21 to 23 and edge 24 at "new".
pub fn places() -> Vec<Place> {
    let numbers = [11u8, 12, 13, 14, 21, 22, 23, 24];
    let place = |number: u8| Place {
        address: address(number),
        site: site(if number < 20 { "old" } else { "new" }),
        zone: ZoneName::new(["a", "b", "c", "a"][usize::from(number % 10 - 1)]).expect("a name"),
        number,
    };
    numbers.into_iter().map(place).collect()
}

pub fn addresses(name: &str) -> Vec<NodeAddress> {
    places().into_iter().filter(|place| place.site == site(name)).map(|place| place.address).collect()
}

pub fn configuration(revision: u64) -> Configuration {
    let target = |place: &Place| TargetConfiguration {
        node: place.address,
        site: place.site.clone(),
        zone: place.zone.clone(),
        slots: 10,
        connections: 100,
    };
    let pledge = ClassConfiguration {
        name: class(),
        methods: vec![],
        path_prefix: "/".into(),
        priority: Priority::Protected,
        repeatable: false,
        deadline: Duration::from_secs(5),
        retry_budget: 3,
        retry_ratio_percent: 10,
        large_answers: false,
    };
    let giving = ServiceConfiguration {
        name: service(),
        hosts: vec![],
        slot_count: SLOTS,
        claim_retention: Duration::from_secs(60),
        claim_capacity: 1000,
        replay_limit_bytes: 1024,
        refused_before_running: vec![],
        minimum_time: Duration::from_millis(1),
        queue_timeout: Duration::from_millis(100),
        site_shares: BTreeMap::from([(site("old"), 100), (site("new"), 0)]),
        minimum_epoch: Epoch(0),
        classes: vec![pledge],
        targets: places().iter().filter(|place| place.is_gate()).map(target).collect(),
    };
    let zones = ["a", "b", "c"].map(|name| ZoneName::new(name).expect("a name")).to_vec();
    Configuration {
        deployment: DeploymentName::new("test").expect("a name"),
        revision: Revision(revision),
        formation: Formation::New,
        sites: ["old", "new"].map(|name| SiteConfiguration { name: site(name), zones: zones.clone() }).to_vec(),
        services: BTreeMap::from([(service(), giving)]),
    }
}

pub fn settings(node: NodeId, place: &Place, mechanisms: ControlMechanisms) -> ControlSettings {
    ControlSettings {
        node,
        site: place.site.clone(),
        zone: place.zone.clone(),
        deployment: DeploymentName::new("test").expect("a name"),
        timing: ControlTiming::default(),
        group: GroupSettings::default(),
        mechanisms,
    }
}
