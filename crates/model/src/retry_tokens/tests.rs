//! Both sides of the specification do what the real gate and the real edge do.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_calls::edge::{
    AttemptResult, CallArrival, Edge, EdgeInput, EdgeMechanisms, EdgeOutput, EdgeSettings, RetrySettings,
};
use quillhatch_calls::gate::{Gate, GateInput, GateMechanisms, GateSettings};
use quillhatch_types::{
    AdmissionRank, AttemptId, CallContext, CallId, CallerName, ClassConfiguration, ClassName, Configuration,
    DeploymentName, Epoch, Feedback, Formation, GateEntry, GateStatus, Generation, Incarnation, NodeAddress, NodeId,
    ParentContext, Priority, Refusal, RefusalReason, RequestKey, Revision, RootId, ServiceConfiguration, ServiceName,
    ServiceTable, SiteConfiguration, SiteName, SlotAssignment, SlotId, SlotState, TargetConfiguration, Timestamp,
    ZoneName,
};
use test_case::test_case;

use super::budget::{Budget, Purse};
use super::checks::Checks;

const NOW: Timestamp = Timestamp::ZERO;
const TOKENS: u16 = 3;
const LONG: Duration = Duration::from_secs(60);
/// Steps of each sequence that is tried.
const STEPS: usize = 5;

#[derive(Clone, Copy, Debug)]
enum Step {
    Lend(u16),
    TakeBack(u16),
    Report,
}

const ALL_STEPS: [Step; 5] = [Step::Lend(1), Step::Lend(2), Step::TakeBack(1), Step::TakeBack(2), Step::Report];

fn service() -> ServiceName {
    ServiceName::new("service").expect("a valid name")
}

fn class() -> ClassName {
    ClassName::new("class").expect("a valid name")
}

fn node() -> NodeAddress {
    NodeAddress(([10, 0, 0, 1], 7000).into())
}

fn configuration() -> Configuration {
    let site = SiteName::new("site").expect("a valid name");
    let zone = ZoneName::new("zone").expect("a valid name");
    let class = ClassConfiguration {
        name: class(),
        methods: Vec::new(),
        path_prefix: "/".to_owned(),
        priority: Priority::Interactive,
        repeatable: true,
        deadline: LONG,
        retry_budget: TOKENS,
        retry_ratio_percent: 100,
        large_answers: false,
    };
    let target = TargetConfiguration { node: node(), site: site.clone(), zone, slots: 10, connections: 10 };
    let service_configuration = ServiceConfiguration {
        name: service(),
        hosts: Vec::new(),
        slot_count: 1,
        claim_retention: LONG,
        claim_capacity: 1,
        replay_limit_bytes: 1,
        refused_before_running: Vec::new(),
        minimum_time: Duration::ZERO,
        queue_timeout: LONG,
        site_shares: BTreeMap::from([(site.clone(), 100)]),
        minimum_epoch: Epoch(0),
        classes: vec![class],
        targets: vec![target],
    };
    Configuration {
        deployment: DeploymentName::new("test").expect("a valid name"),
        revision: Revision(1),
        formation: Formation::New,
        sites: vec![SiteConfiguration { name: site, zones: Vec::new() }],
        services: BTreeMap::from([(service(), service_configuration)]),
    }
}

fn context() -> CallContext {
    CallContext {
        call: CallId(1),
        root: RootId(1),
        attempt: 0,
        depth: 0,
        tokens: TOKENS,
        service: service(),
        class: class(),
        priority: Priority::Interactive,
        rank: AdmissionRank::new(Priority::Interactive, false, 0),
        repeatable: true,
        key: None,
        key_from_caller: false,
        digest: None,
        remaining: LONG,
    }
}

/// A real gate at whose back end an attempt runs that holds the tokens.
fn running_gate() -> Gate {
    let mechanisms = GateMechanisms { cold_start: false, ..GateMechanisms::default() };
    let mut gate = Gate::new(GateSettings { mechanisms, ..GateSettings::new(service(), node()) }, 1);
    gate.step(NOW, GateInput::Configuration(Arc::new(configuration())), &mut Vec::new());
    gate.step(NOW, GateInput::Arrived(Box::new(context())), &mut Vec::new());
    gate
}

fn lent_by(gate: &mut Gate, wanted: u16) -> u16 {
    gate.lend_tokens(NOW, CallId(1), wanted).expect("the attempt runs").tokens
}

/// Does a step with both and returns what each said.
fn step(gate: &mut Gate, purse: &mut Purse, step: Step) -> (u16, u16) {
    match step {
        Step::Lend(wanted) => (lent_by(gate, wanted), purse.lend(wanted)),
        Step::TakeBack(tokens) => {
            gate.return_tokens(CallId(1), tokens);
            purse.take_back(tokens);
            (0, 0)
        }
        Step::Report => {
            let reported = gate.feedback(NOW, Some(context().attempt_id())).tokens_left;
            (reported, purse.report(Checks::default()))
        }
    }
}

#[test]
fn the_purse_is_that_of_the_real_gate() {
    let choices = ALL_STEPS.len();
    for sequence in 0..choices.pow(STEPS as u32) {
        let steps: Vec<Step> =
            (0..STEPS as u32).map(|place| ALL_STEPS[sequence / choices.pow(place) % choices]).collect();
        let (mut gate, mut purse) = (running_gate(), Purse::new(TOKENS));
        for made in &steps {
            let (real, specified) = step(&mut gate, &mut purse, *made);
            assert_eq!(real, specified, "{made:?} in {steps:?}");
        }
        assert_eq!(lent_by(&mut gate, u16::MAX), purse.held, "{steps:?}");
    }
}

/// How an attempt ends at the edge: never sent, a failure with as many tokens left, or a lost answer.
#[derive(Clone, Copy, Debug)]
enum Ending {
    NotSent,
    Failed(u16),
    Lost,
}

const ENDINGS: [Ending; 6] = [
    Ending::NotSent,
    Ending::Failed(0),
    Ending::Failed(1),
    Ending::Failed(2),
    // More than went along.
    Ending::Failed(u16::MAX),
    Ending::Lost,
];

/// The real edge, which sends at once and keeps `kept_percent` of a call's tokens.
fn edge(kept_percent: u8) -> Edge {
    let off = ["backoff", "retry_ratio", "ejection", "admission_levels", "deadline_check"];
    let mut mechanisms = EdgeMechanisms::default();
    off.iter().for_each(|name| mechanisms.disable(name).expect("a mechanism of the edge"));
    let retry = RetrySettings { retained_tokens_percent: kept_percent, ..RetrySettings::default() };
    let configuration = configuration();
    let target = &configuration.services[&service()].targets[0];
    let settings = EdgeSettings { mechanisms, retry, ..EdgeSettings::new(target.site.clone(), target.zone.clone()) };
    let mut edge = Edge::new(settings, 1);
    let table = Arc::new(table(target));
    edge.step(NOW, EdgeInput::Configuration(Arc::new(configuration.clone())), &mut Vec::new());
    edge.step(NOW, EdgeInput::Table(table), &mut Vec::new());
    edge
}

fn table(target: &TargetConfiguration) -> ServiceTable {
    let node = NodeId { address: target.node, incarnation: Incarnation(1) };
    let gate =
        GateEntry { node, zone: target.zone.clone(), status: GateStatus::Serving, connections: target.connections };
    ServiceTable {
        service: service(),
        site: target.site.clone(),
        generation: Generation(1),
        epoch: Epoch(1),
        slots: vec![SlotAssignment { slot: SlotId(0), epoch: Epoch(1), state: SlotState::Owned { owner: node } }],
        gates: vec![gate],
        voters: Vec::new(),
        previous_voters: Vec::new(),
        claims_lost: false,
    }
}

/// A call below another, with the tokens that it was lent.
fn child_call(tokens: u16) -> CallArrival {
    let parent = ParentContext {
        call: CallId(1),
        root: RootId(1),
        depth: 0,
        priority: Priority::Interactive,
        retry: false,
        tokens,
        remaining: LONG,
    };
    CallArrival {
        call: CallId(2),
        root: RootId(1),
        caller: CallerName::new("caller").expect("a valid name"),
        service: service(),
        class: class(),
        key: None,
        generated_key: RequestKey::new("drawn").expect("a valid key"),
        digest: None,
        remaining: None,
        parent: Some(parent),
        replayable_body: true,
        outgoing: true,
    }
}

fn input_of(ending: Ending, attempt: AttemptId) -> EdgeInput {
    let (result, feedback) = match ending {
        Ending::NotSent => (AttemptResult::ConnectFailed, None),
        Ending::Failed(tokens_left) => {
            let refusal = Refusal::failed(RefusalReason::AnswerBroken);
            (AttemptResult::Refused(refusal), Some(Feedback { tokens_left, ..Feedback::default() }))
        }
        Ending::Lost => (AttemptResult::Lost, None),
    };
    EdgeInput::AttemptAnswered { attempt, result, feedback }
}

fn settle(budget: &mut Budget, ending: Ending) {
    match ending {
        Ending::NotSent => budget.bring_back_all(),
        Ending::Failed(tokens) => budget.bring_back(tokens),
        Ending::Lost => budget.lose_lent(Checks::default()),
    }
}

/// The attempt that was sent and its tokens, if one was.
fn sent(outputs: &[EdgeOutput]) -> Option<(AttemptId, u16)> {
    outputs.iter().find_map(|output| match output {
        EdgeOutput::Send { context, .. } => Some((context.attempt_id(), context.tokens)),
        _ => None,
    })
}

fn returned(outputs: &[EdgeOutput]) -> u16 {
    let tokens = |output: &EdgeOutput| match output {
        EdgeOutput::ReturnTokens { tokens, .. } => *tokens,
        _ => 0,
    };
    outputs.iter().map(tokens).sum()
}

/// The specification sends an attempt with the tokens that the real edge has sent, if its rules allow that.
fn launch(budget: &mut Budget, tokens: u16, endings: &[Ending]) {
    let stays = budget.kept - tokens;
    assert!(budget.shares().contains(&stays), "{tokens} tokens went along in {endings:?}");
    assert_eq!(budget.lend(stays, Checks::default()), tokens);
}

fn compare_call(kept_percent: u8, tokens: u16, endings: &[Ending]) {
    let (mut edge, mut budget, mut outputs) = (edge(kept_percent), Budget::new(tokens), Vec::new());
    edge.step(NOW, EdgeInput::Arrived(child_call(tokens)), &mut outputs);
    let (mut attempt, along) = sent(&outputs).unwrap_or_else(|| panic!("no first try in {outputs:?}"));
    launch(&mut budget, along, endings);
    for ending in endings {
        outputs.clear();
        edge.step(NOW, input_of(*ending, attempt), &mut outputs);
        settle(&mut budget, *ending);
        let again = sent(&outputs);
        assert_eq!(again.is_some(), budget.allows_retry(), "{endings:?}");
        let Some((next, along)) = again else {
            assert_eq!(returned(&outputs), budget.end(), "{endings:?}");
            return;
        };
        budget.charge(Checks::default());
        attempt = next;
        launch(&mut budget, along, endings);
    }
    outputs.clear();
    edge.step(NOW, EdgeInput::CallerDisconnected { call: CallId(2) }, &mut outputs);
    budget.lose_lent(Checks::default());
    assert_eq!(returned(&outputs), budget.end(), "{endings:?}");
}

#[test_case(25; "the default share")]
#[test_case(60; "a larger share")]
fn the_budget_is_that_of_the_real_edge(kept_percent: u8) {
    for tokens in 0..=5 {
        for sequence in 0..ENDINGS.len().pow(3) {
            let endings = [sequence, sequence / 6, sequence / 36].map(|place| ENDINGS[place % ENDINGS.len()]);
            compare_call(kept_percent, tokens, &endings);
        }
    }
}
