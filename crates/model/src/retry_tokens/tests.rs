//! Compares the specified account and budget with the real gate and the real edge.

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

use super::budget::{AttemptAccount, CallBudget};
use super::checks::Checks;

const NOW: Timestamp = Timestamp::ZERO;
const TOKENS: u16 = 3;
const LONG_DURATION: Duration = Duration::from_secs(60);
/// The length of each tested sequence of steps.
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
        deadline: LONG_DURATION,
        retry_budget: TOKENS,
        retry_ratio_percent: 100,
        large_answers: false,
    };
    let target = TargetConfiguration { node: node(), site: site.clone(), zone, slots: 10, connections: 10 };
    let service_configuration = ServiceConfiguration {
        name: service(),
        hosts: Vec::new(),
        slot_count: 1,
        claim_retention: LONG_DURATION,
        claim_capacity: 1,
        replay_limit_bytes: 1,
        refused_before_running: Vec::new(),
        minimum_time: Duration::ZERO,
        queue_timeout: LONG_DURATION,
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
        remaining: LONG_DURATION,
    }
}

/// Returns a real gate with a running attempt that holds `TOKENS` tokens.
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

/// Applies a step to the real gate and to the specified account and returns both results.
fn step(gate: &mut Gate, account: &mut AttemptAccount, step: Step) -> (u16, u16) {
    match step {
        Step::Lend(wanted) => (lent_by(gate, wanted), account.lend(wanted)),
        Step::TakeBack(tokens) => {
            gate.return_tokens(CallId(1), tokens);
            account.take_back(tokens);
            (0, 0)
        }
        Step::Report => {
            let reported = gate.feedback(NOW, Some(context().attempt_id())).tokens_left;
            (reported, account.report(Checks::default()))
        }
    }
}

#[test]
fn the_account_matches_the_real_gate() {
    let choices = ALL_STEPS.len();
    for sequence in 0..choices.pow(STEPS as u32) {
        let steps: Vec<Step> =
            (0..STEPS as u32).map(|place| ALL_STEPS[sequence / choices.pow(place) % choices]).collect();
        let (mut gate, mut account) = (running_gate(), AttemptAccount::new(TOKENS));
        for made in &steps {
            let (real, specified) = step(&mut gate, &mut account, *made);
            assert_eq!(real, specified, "{made:?} in {steps:?}");
        }
        assert_eq!(lent_by(&mut gate, u16::MAX), account.held, "{steps:?}");
    }
}

/// How an attempt ends at the edge: never sent, a failure that returns this many tokens, or a lost answer.
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
    // More than was lent.
    Ending::Failed(u16::MAX),
    Ending::Lost,
];

/// Returns a real edge that retries without backoff and retains `retained_percent` of a call's tokens at each attempt.
fn edge(retained_percent: u8) -> Edge {
    let off = ["backoff", "retry_ratio", "ejection", "admission_levels", "deadline_check"];
    let mut mechanisms = EdgeMechanisms::default();
    off.iter().for_each(|name| mechanisms.disable(name).expect("a mechanism of the edge"));
    let retry = RetrySettings { retained_tokens_percent: retained_percent, ..RetrySettings::default() };
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

/// A child call with the tokens that its parent lent it.
fn child_call(tokens: u16) -> CallArrival {
    let parent = ParentContext {
        call: CallId(1),
        root: RootId(1),
        depth: 0,
        priority: Priority::Interactive,
        retry: false,
        tokens,
        remaining: LONG_DURATION,
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

fn attempt_answered(ending: Ending, attempt: AttemptId) -> EdgeInput {
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

fn end_attempt(budget: &mut CallBudget, ending: Ending) {
    match ending {
        Ending::NotSent => budget.return_all_tokens(),
        Ending::Failed(tokens) => budget.return_tokens(tokens),
        Ending::Lost => budget.discard_lent(Checks::default()),
    }
}

/// Returns the attempt that was sent and its tokens, if any.
fn sent_attempt(outputs: &[EdgeOutput]) -> Option<(AttemptId, u16)> {
    outputs.iter().find_map(|output| match output {
        EdgeOutput::Send { context, .. } => Some((context.attempt_id(), context.tokens)),
        _ => None,
    })
}

fn returned_tokens(outputs: &[EdgeOutput]) -> u16 {
    let tokens = |output: &EdgeOutput| match output {
        EdgeOutput::ReturnTokens { tokens, .. } => *tokens,
        _ => 0,
    };
    outputs.iter().map(tokens).sum()
}

/// Sends an attempt in the specification with as many tokens as the real edge lent it, and checks that this is allowed.
fn send_attempt(budget: &mut CallBudget, tokens: u16, endings: &[Ending]) {
    let retain = budget.retained - tokens;
    assert!(budget.retainable().contains(&retain), "{tokens} tokens went along in {endings:?}");
    assert_eq!(budget.lend(retain, Checks::default()), tokens);
}

fn compare_call(retained_percent: u8, tokens: u16, endings: &[Ending]) {
    let (mut edge, mut budget, mut outputs) = (edge(retained_percent), CallBudget::new(tokens), Vec::new());
    edge.step(NOW, EdgeInput::Arrived(child_call(tokens)), &mut outputs);
    let (mut attempt, lent) = sent_attempt(&outputs).unwrap_or_else(|| panic!("no first try in {outputs:?}"));
    send_attempt(&mut budget, lent, endings);
    for ending in endings {
        outputs.clear();
        edge.step(NOW, attempt_answered(*ending, attempt), &mut outputs);
        end_attempt(&mut budget, *ending);
        let retry = sent_attempt(&outputs);
        assert_eq!(retry.is_some(), budget.allows_retry(), "{endings:?}");
        let Some((next, lent)) = retry else {
            assert_eq!(returned_tokens(&outputs), budget.take_remaining(), "{endings:?}");
            return;
        };
        budget.charge(Checks::default());
        attempt = next;
        send_attempt(&mut budget, lent, endings);
    }
    outputs.clear();
    edge.step(NOW, EdgeInput::CallerDisconnected { call: CallId(2) }, &mut outputs);
    budget.discard_lent(Checks::default());
    assert_eq!(returned_tokens(&outputs), budget.take_remaining(), "{endings:?}");
}

#[test_case(25; "the default share")]
#[test_case(60; "a larger share")]
fn the_budget_matches_the_real_edge(retained_percent: u8) {
    for tokens in 0..=5 {
        for sequence in 0..ENDINGS.len().pow(3) {
            let endings = [sequence, sequence / 6, sequence / 36].map(|place| ENDINGS[place % ENDINGS.len()]);
            compare_call(retained_percent, tokens, &endings);
        }
    }
}
