//! Builders shared by the tests of the gate.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{
    AdmissionRank, AttemptId, CallContext, CallId, ClassConfiguration, ClassName, Configuration, DeploymentName, Epoch,
    Formation, NodeAddress, Priority, RequestKey, Revision, RootId, ServiceConfiguration, ServiceName, SiteName,
    TargetConfiguration, Timestamp, ZoneName,
};

use crate::gate::{Gate, GateInput, GateMechanisms, GateOutput, GateSettings};

pub const SLOTS: u32 = 10;
pub const QUEUE_TIMEOUT: Duration = Duration::from_millis(200);

fn node() -> NodeAddress {
    NodeAddress("127.0.0.1:7000".parse().expect("a valid address"))
}

fn class(name: &str, priority: Priority, repeatable: bool, large_answers: bool) -> ClassConfiguration {
    ClassConfiguration {
        name: ClassName::new(name).expect("a valid name"),
        methods: vec![],
        path_prefix: "/".into(),
        priority,
        repeatable,
        deadline: Duration::from_secs(1),
        retry_budget: 3,
        retry_ratio_percent: 10,
        large_answers,
    }
}

/// A service with the classes `charge` (protected, non-repeatable), `look` (interactive), `scan` (bulk) and, if
/// `with_downloads` is set, `fetch` (bulk with large answers).
pub fn configuration(with_downloads: bool) -> Configuration {
    let service = ServiceName::new("store").expect("a valid name");
    let site = SiteName::new("one").expect("a valid name");
    let zone = ZoneName::new("a").expect("a valid name");
    let mut classes = vec![
        class("charge", Priority::Protected, false, false),
        class("look", Priority::Interactive, true, false),
        class("scan", Priority::Bulk, true, false),
    ];
    if with_downloads {
        classes.push(class("fetch", Priority::Bulk, true, true));
    }
    let store = ServiceConfiguration {
        name: service.clone(),
        hosts: vec![],
        slot_count: 16,
        claim_retention: Duration::from_secs(60),
        claim_capacity: 1000,
        replay_limit_bytes: 1024,
        refused_before_running: vec![503],
        minimum_time: Duration::from_millis(5),
        queue_timeout: QUEUE_TIMEOUT,
        site_shares: BTreeMap::from([(site.clone(), 100)]),
        minimum_epoch: Epoch(0),
        classes,
        targets: vec![TargetConfiguration { node: node(), site, zone, slots: SLOTS, connections: 100 }],
    };
    Configuration {
        deployment: DeploymentName::new("test").expect("a valid name"),
        revision: Revision(1),
        formation: Formation::New,
        sites: vec![],
        services: BTreeMap::from([(service, store)]),
    }
}

pub fn settings(mechanisms: GateMechanisms) -> GateSettings {
    let service = ServiceName::new("store").expect("a valid name");
    GateSettings { mechanisms, ..GateSettings::new(service, node()) }
}

/// All mechanisms except the cold-start ramp, which most tests do not cover.
pub fn warm() -> GateMechanisms {
    GateMechanisms { cold_start: false, ..GateMechanisms::default() }
}

pub fn gate_with(settings: GateSettings, configuration: Configuration) -> Gate {
    let mut gate = Gate::new(settings, 7);
    gate.step(Timestamp::ZERO, GateInput::Configuration(Arc::new(configuration)), &mut vec![]);
    gate
}

pub fn gate(mechanisms: GateMechanisms) -> Gate {
    gate_with(settings(mechanisms), configuration(true))
}

/// A gate with a fixed limit of [`SLOTS`], for a service without large answers.
pub fn fixed_gate(mechanisms: GateMechanisms) -> Gate {
    let mechanisms = GateMechanisms { adaptive_limit: false, ..mechanisms };
    gate_with(settings(mechanisms), configuration(false))
}

pub fn context(call: u128, class: &str, rank_position: u16) -> CallContext {
    let (priority, repeatable) = match class {
        "charge" => (Priority::Protected, false),
        "look" => (Priority::Interactive, true),
        _ => (Priority::Bulk, true),
    };
    CallContext {
        call: CallId(call),
        root: RootId(call),
        attempt: 0,
        depth: 0,
        tokens: 3,
        service: ServiceName::new("store").expect("a valid name"),
        class: ClassName::new(class).expect("a valid name"),
        priority,
        rank: AdmissionRank::new(priority, false, rank_position),
        repeatable,
        key: (!repeatable).then(|| RequestKey::new(&format!("key-{call}")).expect("a valid key")),
        key_from_caller: false,
        digest: None,
        remaining: Duration::from_secs(1),
    }
}

pub fn id(call: u128) -> AttemptId {
    AttemptId { call: CallId(call), attempt: 0 }
}

pub fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

pub fn step(gate: &mut Gate, milliseconds: u64, input: GateInput) -> Vec<GateOutput> {
    let mut outputs = vec![];
    gate.step(at(milliseconds), input, &mut outputs);
    outputs
}

pub fn arrive(gate: &mut Gate, milliseconds: u64, context: CallContext) -> Vec<GateOutput> {
    step(gate, milliseconds, GateInput::Arrived(Box::new(context)))
}
