//! Each promise is found broken on a record in which it is, and on nothing else.

use std::time::{Duration, Instant};

use quillhatch_soak::checks::{check_all, Guarantee};
use quillhatch_soak::layout::{RouteKind, SLOTS};
use quillhatch_soak::record::{
    CallEnd, CallRecord, ConfigWrite, DrainSpan, FaultSpan, ProcessStart, RunRecord, SoakRecord, StopSpan,
};
use quillhatch_soak::tenancy::SoakKey;
use test_case::test_case;

/// Machines by the service of their target.
const ALPHA: usize = 0;
const BETA: usize = 1;
const GAMMA: usize = 2;

/// A soak of some seconds in which all went well.
struct Story {
    record: SoakRecord,
    begin: Instant,
}

impl Story {
    fn new() -> Self {
        let begin = Instant::now();
        let mut story = Story { record: SoakRecord::default(), begin };
        story.record.configs.push(ConfigWrite { moving: "beta", acked: begin });
        for number in 0..40 {
            let at = 5_000 + number * 20;
            story.call(&format!("read-{number}"), RouteKind::Read, at, ok());
            story.run(&format!("read-{number}"), RouteKind::Read, BETA, at + 5);
        }
        story.call("pay", RouteKind::Pay, 6_000, ok());
        story.run("pay", RouteKind::Pay, GAMMA, 6_010);
        story.call("chain", RouteKind::Chain, 6_000, ok());
        story.run("chain", RouteKind::Chain, ALPHA, 6_010);
        story.run("chain-chained", RouteKind::Read, BETA, 6_020);
        story.record.runs.last_mut().expect("a run").caller_service = "alpha".to_owned();
        story
    }

    fn at(&self, ms: u64) -> Instant {
        self.begin + Duration::from_millis(ms)
    }

    fn call(&mut self, id: &str, kind: RouteKind, sent_ms: u64, end: CallEnd) {
        let (sent, ended) = (self.at(sent_ms), self.at(sent_ms + 400));
        self.record.calls.push(CallRecord {
            id: id.to_owned(),
            kind,
            key: SoakKey::Steady,
            machine: ALPHA,
            sent,
            ended,
            end,
        });
    }

    fn run(&mut self, id: &str, kind: RouteKind, machine: usize, ms: u64) {
        let request = (kind.method().to_owned(), kind.path().to_owned(), kind.body().to_owned());
        let caller_service = "alpha".to_owned();
        let is_callers = self.record.calls.iter().any(|call| call.id == id);
        let tenant = if is_callers { "steady" } else { "" }.to_owned();
        self.record.runs.push(RunRecord {
            id: id.to_owned(),
            machine,
            at: self.at(ms),
            request,
            caller_service,
            tenant,
            has_key: false,
        });
    }

    fn disturb(&mut self, from_ms: u64, until_ms: u64) {
        let (from, until) = (self.at(from_ms), self.at(until_ms));
        self.record.fault_spans.push(FaultSpan { machine: None, from, until });
    }

    /// Crashing requests run at these times.
    fn harm(&mut self, times: &[u64]) {
        for (number, at) in times.iter().enumerate() {
            let id = format!("harmful-{number}");
            self.call(&id, RouteKind::Crashing, *at, status(502));
            self.run(&id, RouteKind::Crashing, BETA, *at);
            let at = self.at(*at);
            self.record.crashes.push(at);
        }
    }

    fn broken(&self) -> Vec<Guarantee> {
        let mut broken: Vec<Guarantee> =
            check_all(&self.record).into_iter().map(|violation| violation.guarantee).collect();
        broken.sort();
        broken.dedup();
        broken
    }
}

#[test]
fn harm_is_bounded_where_few_targets_end_late_or_nobody_knows_any_more() {
    let mut story = Story::new();
    story.harm(&[5_000, 5_500, 6_000, 6_100, 6_200, 10_000, 11_000, 12_000]);
    assert_eq!(story.broken(), []);
    let mut story = Story::new();
    story.harm(&[5_000, 5_500, 6_000, 10_000, 11_000, 12_000, 13_000]);
    let at = story.at(9_500);
    story.record.starts.push(ProcessStart { machine: BETA, at });
    assert_eq!(story.broken(), [], "the only gate of the service started anew");
}

fn ok() -> CallEnd {
    CallEnd::Answered { status: 200, is_own: true }
}

fn status(status: u16) -> CallEnd {
    CallEnd::Answered { status, is_own: true }
}

#[test]
fn a_soak_in_which_all_went_well_breaks_nothing() {
    assert_eq!(Story::new().broken(), []);
}

#[test_case(Guarantee::OwnAnswer, |story| story.call("x", RouteKind::Read, 6_000, CallEnd::Answered { status: 200, is_own: false }))]
#[test_case(Guarantee::AsSent, |story| story.run("nobody-sent", RouteKind::Read, BETA, 6_000))]
#[test_case(Guarantee::AsSent, |story| story.record.runs[0].request.1 = "/read/y".to_owned())]
#[test_case(Guarantee::AsSent, |story| story.record.runs[0].caller_service = "beta".to_owned())]
#[test_case(Guarantee::Keys, |story| story.record.runs[0].has_key = true)]
#[test_case(Guarantee::Keys, |story| story.record.runs[0].tenant = "rotating".to_owned())]
#[test_case(Guarantee::Keys, |story| story.record.runs[0].tenant.clear())]
#[test_case(Guarantee::Keys, |story| story.record.runs.last_mut().expect("a run").tenant = "steady".to_owned())]
#[test_case(Guarantee::BoundedCrashes, |story| story.harm(&[5_000, 5_500, 6_000, 10_000, 11_000, 12_000, 13_000]))]
#[test_case(Guarantee::Revoked, |story| {
    let acked = story.at(0);
    story.record.configs.push(ConfigWrite { moving: "beta", acked });
    story.record.calls[30].key = SoakKey::Rotating(0);
    story.record.calls[30].sent = story.at(5_600);
    story.record.runs[30].tenant = "rotating".to_owned();
})]
#[test_case(Guarantee::Limits, |story| {
    for number in 0..100 {
        let id = format!("limited-{number}");
        story.call(&id, RouteKind::Read, 6_000, ok());
        story.run(&id, RouteKind::Read, BETA, 6_000 + number * 30);
        story.record.calls.last_mut().expect("a call").key = SoakKey::Limited;
        story.record.runs.last_mut().expect("a run").tenant = "limited".to_owned();
    }
})]
#[test_case(Guarantee::Once, |story| story.run("pay", RouteKind::Pay, GAMMA, 6_500))]
#[test_case(Guarantee::Routed, |story| story.record.runs[0].machine = GAMMA)]
#[test_case(Guarantee::Routed, |story| {
    story.call("x", RouteKind::Moving, 6_000, status(500));
    story.run("x", RouteKind::Moving, GAMMA, 6_010);
    story.disturb(5_900, 6_100);
})]
#[test_case(Guarantee::Slots, |story| story.record.max_running = SLOTS + 1)]
#[test_case(Guarantee::Uncut, |story| story.call("x", RouteKind::Read, 6_000, CallEnd::Cut))]
#[test_case(Guarantee::Uncut, |story| story.call("x", RouteKind::Read, 6_000, CallEnd::Silent))]
fn a_broken_promise_is_found(guarantee: Guarantee, breaks: fn(&mut Story)) {
    let mut story = Story::new();
    breaks(&mut story);
    assert_eq!(story.broken(), [guarantee]);
}

#[test]
fn a_refused_request_that_ran_is_found() {
    let mut story = Story::new();
    story.call("refused", RouteKind::Pay, 6_000, status(503));
    story.run("refused", RouteKind::Pay, GAMMA, 6_700);
    assert_eq!(story.broken(), [Guarantee::NotRun]);
}

#[test]
fn repeats_beyond_the_budget_are_found() {
    let mut story = Story::new();
    // 41 requests and the slack allow 63.2.
    for number in 0..64 {
        story.run(&format!("read-{}", number % 40), RouteKind::Read, BETA, 6_500);
    }
    assert_eq!(story.broken(), [Guarantee::RetryBudget]);
    story.record.runs.pop();
    assert_eq!(story.broken(), []);
}

#[test]
fn calls_that_are_not_served_in_calm_are_found() {
    let mut story = Story::new();
    for number in 0..4 {
        story.call(&format!("x-{number}"), RouteKind::Read, 6_000, status(503));
    }
    assert_eq!(story.broken(), [Guarantee::Served]);
    story.disturb(5_900, 5_950);
    assert_eq!(story.broken(), [], "faults excuse it for a while");
}

#[test]
fn a_cut_while_faults_last_is_not_held_against_anybody() {
    let mut story = Story::new();
    story.call("x", RouteKind::Read, 6_000, CallEnd::Cut);
    story.disturb(5_000, 5_100);
    assert_eq!(story.broken(), []);
}

#[test]
fn an_old_configuration_is_found_after_its_time() {
    let mut story = Story::new();
    let acked = story.at(6_000);
    story.record.configs.push(ConfigWrite { moving: "gamma", acked });
    story.call("soon", RouteKind::Moving, 8_000, ok());
    story.run("soon", RouteKind::Moving, BETA, 8_010);
    assert_eq!(story.broken(), []);
    story.call("late", RouteKind::Moving, 8_600, ok());
    story.run("late", RouteKind::Moving, BETA, 8_610);
    assert_eq!(story.broken(), [Guarantee::InForce]);
}

#[test]
fn work_for_a_draining_target_is_found_after_its_time() {
    let mut story = Story::new();
    let (acked, until) = (story.at(4_000), story.at(20_000));
    story.record.drains.push(DrainSpan { machine: BETA, acked, until });
    assert_eq!(story.broken(), []);
    story.call("late", RouteKind::Read, 6_600, ok());
    story.run("late", RouteKind::Read, BETA, 6_610);
    assert_eq!(story.broken(), [Guarantee::Drained]);
}

#[test]
fn callers_that_come_to_a_process_which_was_asked_to_stop_are_not_counted() {
    let mut story = Story::new();
    for number in 0..10 {
        story.call(&format!("x-{number}"), RouteKind::Read, 6_000, CallEnd::Unreached);
    }
    assert_eq!(story.broken(), [Guarantee::Served]);
    let requested = story.at(5_900);
    story.record.stops.push(StopSpan { machine: ALPHA, requested, grace: Duration::from_secs(6) });
    assert_eq!(story.broken(), []);
}
