//! Time of the edge's decisions on a call.
//!
//! One iteration is a whole call: arrival, the choice of a target, the head of the answer and the end of the body.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BatchSize, Criterion};
use quillhatch_calls::edge::{AttemptResult, CallArrival, Edge, EdgeInput, EdgeOutput, EdgeSettings};
use quillhatch_types::{
    AdmissionLevel, CallId, CallerName, ClassConfiguration, ClassName, Configuration, DeploymentName, Digest, Epoch,
    Feedback, Formation, GateEntry, GateStatus, Generation, Incarnation, NodeAddress, NodeId, Priority, RequestKey,
    Revision, RootId, ServiceConfiguration, ServiceName, ServiceTable, SiteConfiguration, SiteName, SlotAssignment,
    SlotId, SlotState, TargetConfiguration, Timestamp, ZoneName,
};

const SLOTS: u16 = 64;
const TARGETS: u16 = 4;
const CALLS_IN_PROGRESS: u64 = 1_000;
/// Longer than the bench on its own clock, so that the calls in progress stay.
const CLASS_DEADLINE: Duration = Duration::from_secs(1_000_000);
const MICROSECONDS_BETWEEN_CALLS: u64 = 500;

fn name<Name: TryFrom<String>>(text: &str) -> Name {
    Name::try_from(text.to_owned()).unwrap_or_else(|_| panic!("{text} is no name"))
}

fn node(number: u16) -> NodeId {
    let address = NodeAddress(SocketAddr::from(([127, 0, 0, 1], 7000 + number)));
    NodeId { address, incarnation: Incarnation(1) }
}

fn class(class: &str, repeatable: bool) -> ClassConfiguration {
    ClassConfiguration {
        name: name(class),
        methods: Vec::new(),
        path_prefix: "/".to_owned(),
        priority: Priority::Interactive,
        repeatable,
        deadline: CLASS_DEADLINE,
        retry_budget: 3,
        retry_ratio_percent: 10,
        large_answers: false,
    }
}

fn configuration() -> Configuration {
    let site: SiteName = name("old");
    let target = |number| TargetConfiguration {
        node: node(number).address,
        site: site.clone(),
        zone: name(&format!("zone-{}", number % 3)),
        slots: 10,
        connections: 100_000,
    };
    let service = ServiceConfiguration {
        name: name("directory"),
        hosts: Vec::new(),
        slot_count: SLOTS,
        claim_retention: Duration::from_secs(60),
        claim_capacity: 1_000,
        replay_limit_bytes: 1_000,
        refused_before_running: Vec::new(),
        minimum_time: Duration::from_millis(1),
        queue_timeout: Duration::from_millis(100),
        site_shares: BTreeMap::from([(site.clone(), 100)]),
        minimum_epoch: Epoch(0),
        classes: vec![class("lookup", true), class("pledge", false)],
        targets: (0..TARGETS).map(target).collect(),
    };
    Configuration {
        deployment: name::<DeploymentName>("bench"),
        revision: Revision(1),
        formation: Formation::New,
        sites: vec![SiteConfiguration {
            name: site,
            zones: (0..3).map(|zone| name(&format!("zone-{zone}"))).collect(),
        }],
        services: BTreeMap::from([(service.name.clone(), service)]),
    }
}

fn table() -> ServiceTable {
    let gate = |number| GateEntry {
        node: node(number),
        zone: name::<ZoneName>(&format!("zone-{}", number % 3)),
        status: GateStatus::Serving,
        connections: 100_000,
    };
    let slot = |slot| SlotAssignment {
        slot: SlotId(slot),
        epoch: Epoch(1),
        state: SlotState::Owned { owner: node(slot % TARGETS) },
    };
    ServiceTable {
        service: name("directory"),
        site: name("old"),
        generation: Generation(1),
        epoch: Epoch(1),
        slots: (0..SLOTS).map(slot).collect(),
        gates: (0..TARGETS).map(gate).collect(),
        voters: Vec::new(),
        previous_voters: Vec::new(),
        claims_lost: false,
    }
}

fn arrival(number: u64, class: &ClassName, key: Option<RequestKey>) -> CallArrival {
    CallArrival {
        call: CallId(u128::from(number)),
        root: RootId(u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        caller: name::<CallerName>(&format!("caller-{}", number % 100)),
        service: name::<ServiceName>("directory"),
        class: class.clone(),
        digest: key.as_ref().map(|_| Digest(1)),
        key,
        generated_key: RequestKey::new("drawn").expect("valid key"),
        remaining: None,
        parent: None,
        replayable_body: true,
        outgoing: false,
    }
}

fn edge_with_load() -> Edge {
    let mut edge = Edge::new(EdgeSettings::new(name("old"), name("zone-0")), 1);
    let mut outputs = Vec::new();
    edge.step(Timestamp::ZERO, EdgeInput::Configuration(Arc::new(configuration())), &mut outputs);
    edge.step(Timestamp::ZERO, EdgeInput::Table(Arc::new(table())), &mut outputs);
    for number in 0..CALLS_IN_PROGRESS {
        edge.step(Timestamp::ZERO, EdgeInput::Arrived(arrival(number, &name("lookup"), None)), &mut outputs);
    }
    edge
}

fn feedback() -> Feedback {
    Feedback {
        level: AdmissionLevel::OPEN,
        running: 3,
        waiting: 0,
        limit: 10,
        tokens_left: 2,
        epoch: Epoch(1),
        revision: Revision(1),
    }
}

fn whole_call(edge: &mut Edge, now: Timestamp, arrival: CallArrival, outputs: &mut Vec<EdgeOutput>) {
    edge.step(now, EdgeInput::Arrived(arrival), outputs);
    let attempt = match outputs.first() {
        Some(EdgeOutput::Send { context, .. }) => context.attempt_id(),
        other => panic!("no attempt was sent: {other:?}"),
    };
    let result = AttemptResult::Answered { status: 200 };
    edge.step(now, EdgeInput::AttemptAnswered { attempt, result, feedback: Some(feedback()) }, outputs);
    edge.step(now, EdgeInput::BodyEnded { attempt, incomplete: None }, outputs);
    outputs.clear();
}

fn decisions(criterion: &mut Criterion) {
    for (title, class, keyed) in [("repeatable", "lookup", false), ("keyed", "pledge", true)] {
        let mut edge = edge_with_load();
        let mut number = CALLS_IN_PROGRESS;
        let mut outputs = Vec::new();
        let class: ClassName = name(class);
        criterion.bench_function(&format!("edge/whole call, {title}"), |bencher| {
            bencher.iter_batched(
                || {
                    number += 1;
                    let key = keyed.then(|| RequestKey::new(&format!("key-{number}")).expect("valid key"));
                    (Timestamp(number * MICROSECONDS_BETWEEN_CALLS), arrival(number, &class, key))
                },
                |(now, arrival)| whole_call(&mut edge, now, arrival, &mut outputs),
                BatchSize::SmallInput,
            );
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decisions(&mut criterion);
    criterion.final_summary();
}
