//! Decision time of a gate per call: arrival, dispatch, head, end and feedback.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use criterion::Criterion;
use quillhatch_calls::gate::{AnswerEnd, ClaimResolution, Gate, GateInput, GateMechanisms, GateOutput, GateSettings};
use quillhatch_types::{
    AdmissionRank, CallContext, CallId, ClassConfiguration, ClassName, Configuration, DeploymentName, Epoch, Formation,
    NodeAddress, Priority, RequestKey, Revision, RootId, ServiceConfiguration, ServiceName, SiteName,
    TargetConfiguration, Timestamp, ZoneName,
};

fn class(priority: Priority, name: &str) -> ClassConfiguration {
    ClassConfiguration {
        name: ClassName::new(name).expect("a valid name"),
        methods: vec![],
        path_prefix: "/".into(),
        priority,
        repeatable: priority != Priority::Protected,
        deadline: Duration::from_secs(1),
        retry_budget: 3,
        retry_ratio_percent: 10,
        large_answers: false,
    }
}

fn configuration(service: &ServiceName, node: NodeAddress) -> Configuration {
    let site = SiteName::new("one").expect("a valid name");
    let zone = ZoneName::new("a").expect("a valid name");
    let target = TargetConfiguration { node, site, zone, slots: 10, connections: 100 };
    let entry = ServiceConfiguration {
        name: service.clone(),
        hosts: vec![],
        slot_count: 16,
        claim_retention: Duration::from_secs(60),
        claim_capacity: 1000,
        replay_limit_bytes: 1024,
        refused_before_running: vec![],
        minimum_time: Duration::from_millis(1),
        queue_timeout: Duration::from_millis(200),
        site_shares: BTreeMap::new(),
        minimum_epoch: Epoch(0),
        classes: vec![class(Priority::Protected, "charge"), class(Priority::Bulk, "scan")],
        targets: vec![target],
    };
    Configuration {
        deployment: DeploymentName::new("bench").expect("a valid name"),
        revision: Revision(1),
        formation: Formation::New,
        sites: vec![],
        services: BTreeMap::from([(service.clone(), entry)]),
    }
}

struct Bench {
    gate: Gate,
    service: ServiceName,
    classes: [ClassName; 2],
    key: RequestKey,
    now: Timestamp,
    next_call: u128,
    outputs: Vec<GateOutput>,
}

impl Bench {
    fn new() -> Self {
        let service = ServiceName::new("store").expect("a valid name");
        let node = NodeAddress("127.0.0.1:7000".parse().expect("a valid address"));
        let mechanisms = GateMechanisms { cold_start: false, ..GateMechanisms::default() };
        let settings = GateSettings { mechanisms, ..GateSettings::new(service.clone(), node) };
        let mut gate = Gate::new(settings, 1);
        let input = GateInput::Configuration(Arc::new(configuration(&service, node)));
        gate.step(Timestamp::ZERO, input, &mut vec![]);
        let classes = ["charge", "scan"].map(|name| ClassName::new(name).expect("a valid name"));
        let key = RequestKey::new("0123456789abcdef").expect("a valid key");
        Bench { gate, service, classes, key, now: Timestamp::ZERO, next_call: 0, outputs: vec![] }
    }

    fn context(&mut self, protected: bool) -> Box<CallContext> {
        self.next_call += 1;
        let priority = if protected { Priority::Protected } else { Priority::Bulk };
        Box::new(CallContext {
            call: CallId(self.next_call),
            root: RootId(self.next_call),
            attempt: 0,
            depth: 0,
            tokens: 3,
            service: self.service.clone(),
            class: self.classes[usize::from(!protected)].clone(),
            priority,
            rank: AdmissionRank::new(priority, false, (self.next_call % 1021) as u16),
            repeatable: !protected,
            key: protected.then(|| self.key.clone()),
            key_from_caller: false,
            digest: None,
            remaining: Duration::from_secs(1),
        })
    }

    fn step(&mut self, input: GateInput) {
        self.gate.step(self.now, input, &mut self.outputs);
    }

    /// A call from arrival to end at a gate with free slots.
    fn serve(&mut self, protected: bool) {
        self.now = self.now + Duration::from_micros(500);
        self.outputs.clear();
        let context = self.context(protected);
        let attempt = context.attempt_id();
        self.step(GateInput::Arrived(context));
        if protected {
            self.step(GateInput::ClaimResolved { attempt, resolution: ClaimResolution::Granted });
        }
        self.step(GateInput::AnswerStarted { attempt, status: 200, length: Some(10) });
        self.gate.feedback(self.now, Some(attempt));
        self.step(GateInput::AnswerEnded { attempt, end: AnswerEnd::Whole { status: 200, bytes: 10, record: None } });
    }

    /// A call that arrives at a gate whose slots are all taken: it waits, evicts or is refused.
    fn overload(&mut self) {
        self.now = self.now + Duration::from_micros(100);
        self.outputs.clear();
        let protected = self.next_call % 10 == 0;
        let context = self.context(protected);
        self.step(GateInput::Arrived(context));
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("gate");
    group.warm_up_time(Duration::from_millis(500)).measurement_time(Duration::from_secs(2)).sample_size(50);
    let mut bench = Bench::new();
    group.bench_function("ordinary call, free slot, whole life", |b| b.iter(|| bench.serve(false)));
    let mut bench = Bench::new();
    group.bench_function("claimed call, free slot, whole life", |b| b.iter(|| bench.serve(true)));
    let mut bench = Bench::new();
    group.bench_function("arrival at a full gate", |b| b.iter(|| bench.overload()));
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decisions(&mut criterion);
    criterion.final_summary();
}
