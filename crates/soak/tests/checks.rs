//! Each violation is reported for a record that contains it, and no other violation is reported.

use std::time::{Duration, Instant};

use quillhatch_platform_standins::target::{ChainedRecord, FinishedRun, RunEnd, RunningPeak, RunningRequest};
use quillhatch_soak::checks::{check_all, Guarantee};
use quillhatch_soak::layout::{RouteKind, SLOTS};
use quillhatch_soak::record::{
    CallEnd, CallRecord, ConfigWrite, DrainSpan, FaultSpan, NestedCall, ProcessRestart, RunRecord, SoakRecord, StopSpan,
};
use quillhatch_soak::target_status::{AnnouncementSpan, ArrivalRecord, NestedResponse, RateLimitSpan, ResponderStatus};
use quillhatch_soak::tenancy::SoakKey;
use test_case::test_case;

// The machine of each service.
const ALPHA: usize = 0;
const BETA: usize = 1;
const GAMMA: usize = 2;

/// The record of a soak of a few seconds; a new one contains no violation.
struct Scenario {
    record: SoakRecord,
    begin: Instant,
}

impl Scenario {
    fn new() -> Self {
        let begin = Instant::now();
        let mut scenario = Scenario { record: SoakRecord::default(), begin };
        scenario.record.configs.push(ConfigWrite { moving: "beta", acked: begin });
        for number in 0..40 {
            let at = 5_000 + number * 20;
            scenario.call(&format!("read-{number}"), RouteKind::Read, at, ok());
            scenario.run(&format!("read-{number}"), RouteKind::Read, BETA, at + 5);
        }
        scenario.call("pay", RouteKind::Pay, 6_000, ok());
        scenario.run("pay", RouteKind::Pay, GAMMA, 6_010);
        scenario.call("chain", RouteKind::Chain, 6_000, ok());
        scenario.run("chain", RouteKind::Chain, ALPHA, 6_010);
        scenario.run("chain-chained", RouteKind::Read, BETA, 6_020);
        scenario.record.runs.last_mut().expect("a run").caller_service = "alpha".to_owned();
        scenario
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
            deadline: Duration::from_secs(6),
            end,
            responder: ResponderStatus::default(),
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

    fn run_at_once(&mut self, count: u32) {
        let started = self.at(7_000);
        let request = RunningRequest { id: "x".to_owned(), started, is_calling: false };
        let peak = RunningPeak { at: started, requests: vec![request; count as usize] };
        self.record.running_peaks.push((ALPHA, peak));
    }

    fn add_fault(&mut self, from_ms: u64, until_ms: u64) {
        let (from, until) = (self.at(from_ms), self.at(until_ms));
        self.record.fault_spans.push(FaultSpan { machine: None, from, until });
    }

    /// Runs crashing requests at the given times, in milliseconds.
    fn run_crashing_requests(&mut self, times: &[u64]) {
        for (number, at) in times.iter().enumerate() {
            let id = format!("crashing-{number}");
            self.call(&id, RouteKind::Crashing, *at, status(502));
            self.run(&id, RouteKind::Crashing, BETA, *at);
            let at = self.at(*at);
            self.record.crashes.push(at);
        }
    }

    fn violated_guarantees(&self) -> Vec<Guarantee> {
        let mut violated: Vec<Guarantee> =
            check_all(&self.record).into_iter().map(|violation| violation.guarantee).collect();
        violated.sort();
        violated.dedup();
        violated
    }
}

#[test]
fn crashes_are_bounded_if_few_happen_late_or_all_processes_lost_their_state() {
    let mut scenario = Scenario::new();
    scenario.run_crashing_requests(&[5_000, 5_500, 6_000, 6_100, 6_200, 10_000, 11_000, 12_000]);
    assert_eq!(scenario.violated_guarantees(), []);
    let mut scenario = Scenario::new();
    scenario.run_crashing_requests(&[5_000, 5_500, 6_000, 10_000, 11_000, 12_000, 13_000]);
    let at = scenario.at(9_500);
    scenario.record.restarts.push(ProcessRestart { machine: BETA, at });
    assert_eq!(scenario.violated_guarantees(), [], "the only process of the service restarted and lost its state");
}

fn ok() -> CallEnd {
    CallEnd::Answered { status: 200, is_own: true, is_signed: true }
}

fn status(status: u16) -> CallEnd {
    CallEnd::Answered { status, is_own: true, is_signed: false }
}

#[test]
fn a_soak_in_which_all_calls_succeed_violates_no_guarantee() {
    assert_eq!(Scenario::new().violated_guarantees(), []);
}

#[test_case(Guarantee::OwnAnswer, |scenario| scenario.call("x", RouteKind::Read, 6_000, CallEnd::Answered { status: 200, is_own: false, is_signed: true }))]
#[test_case(Guarantee::AsSent, |scenario| scenario.run("nobody-sent", RouteKind::Read, BETA, 6_000))]
#[test_case(Guarantee::AsSent, |scenario| scenario.record.runs[0].request.1 = "/read/y".to_owned())]
#[test_case(Guarantee::AsSent, |scenario| scenario.record.runs[0].caller_service = "beta".to_owned())]
#[test_case(Guarantee::Keys, |scenario| scenario.record.runs[0].has_key = true)]
#[test_case(Guarantee::Keys, |scenario| scenario.record.runs[0].tenant = "rotating".to_owned())]
#[test_case(Guarantee::Keys, |scenario| scenario.record.runs[0].tenant.clear())]
#[test_case(Guarantee::Keys, |scenario| scenario.record.runs.last_mut().expect("a run").tenant = "steady".to_owned())]
#[test_case(Guarantee::BoundedCrashes, |scenario| scenario.run_crashing_requests(&[5_000, 5_500, 6_000, 10_000, 11_000, 12_000, 13_000]))]
#[test_case(Guarantee::Revoked, |scenario| {
    let acked = scenario.at(0);
    scenario.record.configs.push(ConfigWrite { moving: "beta", acked });
    scenario.record.calls[30].key = SoakKey::Rotating(0);
    scenario.record.calls[30].sent = scenario.at(5_600);
    scenario.record.runs[30].tenant = "rotating".to_owned();
})]
#[test_case(Guarantee::Limits, |scenario| {
    for number in 0..100 {
        let id = format!("limited-{number}");
        scenario.call(&id, RouteKind::Read, 6_000, ok());
        scenario.run(&id, RouteKind::Read, BETA, 6_000 + number * 30);
        scenario.record.calls.last_mut().expect("a call").key = SoakKey::Limited;
        scenario.record.runs.last_mut().expect("a run").tenant = "limited".to_owned();
    }
})]
#[test_case(Guarantee::Once, |scenario| scenario.run("pay", RouteKind::Pay, GAMMA, 6_500))]
#[test_case(Guarantee::Routed, |scenario| scenario.record.runs[0].machine = GAMMA)]
#[test_case(Guarantee::Routed, |scenario| {
    scenario.call("x", RouteKind::Moving, 6_000, status(500));
    scenario.run("x", RouteKind::Moving, GAMMA, 6_010);
    scenario.add_fault(5_900, 6_100);
})]
#[test_case(Guarantee::Slots, |scenario| scenario.run_at_once(SLOTS + 1))]
#[test_case(Guarantee::Uncut, |scenario| scenario.call("x", RouteKind::Read, 6_000, CallEnd::Cut))]
#[test_case(Guarantee::Uncut, |scenario| scenario.call("x", RouteKind::Read, 6_000, CallEnd::Silent))]
fn a_violated_guarantee_is_reported(guarantee: Guarantee, violate: fn(&mut Scenario)) {
    let mut scenario = Scenario::new();
    violate(&mut scenario);
    assert_eq!(scenario.violated_guarantees(), [guarantee]);
}

#[test]
fn a_refused_request_that_ran_is_reported() {
    let mut scenario = Scenario::new();
    scenario.call("refused", RouteKind::Pay, 6_000, status(503));
    scenario.run("refused", RouteKind::Pay, GAMMA, 6_700);
    assert_eq!(scenario.violated_guarantees(), [Guarantee::NotRun]);
}

#[test]
fn retries_beyond_the_budget_are_reported() {
    let mut scenario = Scenario::new();
    // The 41 requests and the slack allow 63.2 retries.
    for number in 0..64 {
        scenario.run(&format!("read-{}", number % 40), RouteKind::Read, BETA, 6_500);
    }
    assert_eq!(scenario.violated_guarantees(), [Guarantee::RetryBudget]);
    scenario.record.runs.pop();
    assert_eq!(scenario.violated_guarantees(), []);
}

#[test]
fn unserved_calls_in_fault_free_periods_are_reported() {
    let mut scenario = Scenario::new();
    for number in 0..4 {
        scenario.call(&format!("x-{number}"), RouteKind::Read, 6_000, status(503));
    }
    assert_eq!(scenario.violated_guarantees(), [Guarantee::Served]);
    scenario.add_fault(5_900, 5_950);
    assert_eq!(scenario.violated_guarantees(), [], "calls may fail soon after a fault");
}

#[test]
fn a_lost_connection_during_a_fault_is_not_a_violation() {
    let mut scenario = Scenario::new();
    scenario.call("x", RouteKind::Read, 6_000, CallEnd::Cut);
    scenario.add_fault(5_000, 5_100);
    assert_eq!(scenario.violated_guarantees(), []);
}

#[test]
fn a_stale_configuration_is_reported_after_the_bound() {
    let mut scenario = Scenario::new();
    let acked = scenario.at(6_000);
    scenario.record.configs.push(ConfigWrite { moving: "gamma", acked });
    scenario.call("soon", RouteKind::Moving, 8_000, ok());
    scenario.run("soon", RouteKind::Moving, BETA, 8_010);
    assert_eq!(scenario.violated_guarantees(), []);
    scenario.call("late", RouteKind::Moving, 8_600, ok());
    scenario.run("late", RouteKind::Moving, BETA, 8_610);
    assert_eq!(scenario.violated_guarantees(), [Guarantee::InForce]);
}

#[test]
fn requests_to_a_draining_target_are_reported_after_the_bound() {
    let mut scenario = Scenario::new();
    let (acked, until) = (scenario.at(4_000), scenario.at(20_000));
    scenario.record.drains.push(DrainSpan { machine: BETA, acked, until });
    assert_eq!(scenario.violated_guarantees(), []);
    scenario.call("late", RouteKind::Read, 6_600, ok());
    scenario.run("late", RouteKind::Read, BETA, 6_610);
    assert_eq!(scenario.violated_guarantees(), [Guarantee::Drained]);
}

#[test]
fn connections_refused_by_a_stopping_process_are_not_counted() {
    let mut scenario = Scenario::new();
    for number in 0..10 {
        scenario.call(&format!("x-{number}"), RouteKind::Read, 6_000, CallEnd::Unreached);
    }
    assert_eq!(scenario.violated_guarantees(), [Guarantee::Served]);
    let requested = scenario.at(5_900);
    scenario.record.stops.push(StopSpan { machine: ALPHA, requested, grace: Duration::from_secs(6) });
    assert_eq!(scenario.violated_guarantees(), []);
}

#[test_case(None, false, 6_000, true; "cut")]
#[test_case(Some(503), false, 6_000, false; "refused")]
#[test_case(None, true, 6_000, false; "unanswered at its deadline")]
#[test_case(None, false, 9_000, false; "during a fault")]
fn a_call_of_a_target_that_is_cut_is_reported(status: Option<u16>, is_timed_out: bool, at_ms: u64, reported: bool) {
    let mut scenario = Scenario::new();
    scenario.add_fault(8_000, 9_500);
    let (sent, ended) = (scenario.at(at_ms), scenario.at(at_ms + 300));
    let deadline = sent + Duration::from_secs(6);
    let id = "chain-chained".to_owned();
    let call = ChainedRecord { id, sent, ended, status, is_timed_out, deadline, is_signed: false };
    scenario.record.nested_calls.push(NestedCall { machine: ALPHA, call });
    let expected: &[Guarantee] = if reported { &[Guarantee::Uncut] } else { &[] };
    assert_eq!(scenario.violated_guarantees(), expected);
}

/// A request that is sent at 6 s ends after 400 ms; its run ends at `run_ended`. The process of its machine is stopped at
/// `stopped`. All in milliseconds.
#[test_case(CallEnd::Cut, Some((RunEnd::Unfinished, 6_390)), 5_000, true; "cut at work")]
#[test_case(CallEnd::Cut, Some((RunEnd::TargetEnded, 6_390)), 5_000, false; "cut by the end of its target")]
#[test_case(CallEnd::Cut, None, 5_000, true; "cut and never passed on")]
#[test_case(CallEnd::Unread, None, 5_000, false; "behind a closing response")]
#[test_case(status(502), Some((RunEnd::Responded, 6_500)), 5_000, true; "answered at work")]
#[test_case(status(502), Some((RunEnd::Unfinished, 6_390)), 5_000, true; "answered after the attempt was broken off")]
#[test_case(status(504), Some((RunEnd::Responded, 6_390)), 5_000, false; "answered after its target")]
#[test_case(status(503), None, 5_000, false; "refused")]
#[test_case(status(502), Some((RunEnd::Responded, 6_500)), 1_350, true; "at work at the end of the grace period but sent late")]
#[test_case(status(502), Some((RunEnd::Responded, 6_500)), 3_100, true; "at work before the end of the grace period")]
#[test_case(status(502), Some((RunEnd::Responded, 8_100)), 3_100, false; "at work at the end of the grace period")]
fn a_request_that_a_stop_costs_its_response_is_reported(
    end: CallEnd,
    run: Option<(RunEnd, u64)>,
    stopped_ms: u64,
    reported: bool,
) {
    let mut scenario = Scenario::new();
    scenario.record.has_stop_series = true;
    scenario.call("stopped", RouteKind::Read, 6_000, end);
    if let Some((end, ended_ms)) = run {
        scenario.run("stopped", RouteKind::Read, BETA, 6_010);
        let (started, ended) = (scenario.at(6_010), scenario.at(ended_ms));
        scenario.record.finished_runs.push(FinishedRun { id: "stopped".to_owned(), started, ended, end });
    }
    let requested = scenario.at(stopped_ms);
    scenario.record.stops.push(StopSpan { machine: ALPHA, requested, grace: Duration::from_secs(6) });
    let expected: &[Guarantee] = if reported { &[Guarantee::Lost] } else { &[] };
    assert_eq!(scenario.violated_guarantees(), expected);
}

#[test]
fn a_request_that_a_process_has_not_read_while_it_stood_still_is_not_reported() {
    let mut scenario = Scenario::new();
    scenario.record.has_stop_series = true;
    scenario.call("unread", RouteKind::Read, 6_000, CallEnd::Cut);
    let requested = scenario.at(5_000);
    scenario.record.stops.push(StopSpan { machine: ALPHA, requested, grace: Duration::from_secs(6) });
    assert_eq!(scenario.violated_guarantees(), [Guarantee::Lost]);
    let (from, until) = (scenario.at(5_900), scenario.at(6_350));
    scenario.record.standstills.push(FaultSpan { machine: Some(ALPHA), from, until });
    assert_eq!(scenario.violated_guarantees(), []);
    scenario.run("unread", RouteKind::Read, BETA, 6_010);
    let (started, ended) = (scenario.at(6_010), scenario.at(6_390));
    let run = FinishedRun { id: "unread".to_owned(), started, ended, end: RunEnd::Unfinished };
    scenario.record.finished_runs.push(run);
    assert_eq!(scenario.violated_guarantees(), [Guarantee::Lost]);
}

#[test]
fn a_request_behind_a_closing_response_is_reported_only_if_it_ran() {
    let mut scenario = Scenario::new();
    scenario.call("behind", RouteKind::Read, 6_000, CallEnd::Unread);
    assert_eq!(scenario.violated_guarantees(), []);
    scenario.run("behind", RouteKind::Read, BETA, 6_010);
    assert_eq!(scenario.violated_guarantees(), [Guarantee::Uncut]);
}

const PROCESS: &str = "i-1/7";

impl Scenario {
    /// Lets a target announce a limit of 4 a second from 5 s to 15 s, and a machine pass on a response with it at 5.4 s.
    fn announce_rate_limit(&mut self) {
        let (from, until) = (self.at(5_000), self.at(15_000));
        self.record.rate_limits.push(RateLimitSpan { process: PROCESS.to_owned(), per_second: 4.0, from, until });
        self.respond(ResponderStatus { has_rate_limit: true, ..responder() });
    }

    fn respond(&mut self, responder: ResponderStatus) {
        self.call("notice", RouteKind::Read, 5_000, ok());
        self.record.calls.last_mut().expect("a call").responder = responder;
    }

    /// Lets calls of the machine arrive at the target at this interval from 8 s to 12 s.
    fn arrive(&mut self, interval_ms: usize) {
        for at in (8_000..12_000).step_by(interval_ms) {
            let (id, at) = (format!("arrival-{at}"), at as u64);
            self.call(&id, RouteKind::Read, at, ok());
            let arrival = ArrivalRecord { id, process: PROCESS.to_owned(), at: self.at(at + 5), is_misdirected: false };
            self.record.arrivals.push(arrival);
        }
    }
}

fn responder() -> ResponderStatus {
    ResponderStatus { process: PROCESS.to_owned(), ..ResponderStatus::default() }
}

#[test]
fn requests_beyond_the_rate_limit_of_a_target_are_reported() {
    let mut scenario = Scenario::new();
    scenario.announce_rate_limit();
    // 29 requests are allowed in 4 s.
    scenario.arrive(140);
    assert_eq!(scenario.violated_guarantees(), []);
    scenario.arrive(130);
    assert_eq!(scenario.violated_guarantees(), [Guarantee::TargetLimits]);
    let at = scenario.at(7_000);
    scenario.record.restarts.push(ProcessRestart { machine: ALPHA, at });
    assert_eq!(scenario.violated_guarantees(), [], "the restarted process doesn't know");
}

#[test]
fn requests_beyond_a_rate_limit_of_which_their_machine_had_no_response_are_allowed() {
    let mut scenario = Scenario::new();
    scenario.announce_rate_limit();
    scenario.arrive(50);
    assert_eq!(scenario.violated_guarantees(), [Guarantee::TargetLimits]);
    for call in scenario.record.calls.iter_mut().filter(|call| call.id == "notice") {
        call.responder = ResponderStatus::default();
    }
    assert_eq!(scenario.violated_guarantees(), []);
}

#[test]
fn requests_to_a_target_that_announced_a_drain_are_reported_after_the_bound() {
    let mut scenario = Scenario::new();
    scenario.respond(ResponderStatus { is_leaving: true, ..responder() });
    assert_eq!(scenario.violated_guarantees(), []);
    scenario.arrive(4_000);
    assert_eq!(scenario.violated_guarantees(), [Guarantee::AnnouncedDrain]);
    scenario.record.arrivals[0].is_misdirected = true;
    assert_eq!(scenario.violated_guarantees(), [], "the target has refused it as not its own");
    scenario.record.arrivals[0].is_misdirected = false;
    let at = scenario.at(7_000);
    scenario.record.restarts.push(ProcessRestart { machine: ALPHA, at });
    assert_eq!(scenario.violated_guarantees(), [], "the restarted process doesn't know");
}

#[test]
fn a_drain_that_a_target_learns_from_the_response_to_its_call_counts_for_its_machine() {
    let mut scenario = Scenario::new();
    scenario.arrive(4_000);
    assert_eq!(scenario.violated_guarantees(), []);
    let responder = ResponderStatus { is_leaving: true, ..responder() };
    scenario.record.nested_responses.push(NestedResponse { machine: BETA, at: scenario.at(5_000), responder });
    assert_eq!(scenario.violated_guarantees(), [], "another machine");
    scenario.record.nested_responses[0].machine = ALPHA;
    assert_eq!(scenario.violated_guarantees(), [Guarantee::AnnouncedDrain]);
}

#[test]
fn unserved_calls_count_unless_the_other_target_of_their_service_was_taken_away() {
    let mut scenario = Scenario::new();
    for number in 0..4 {
        scenario.call(&format!("x-{number}"), RouteKind::Read, 6_000, status(503));
    }
    let (from, until) = (scenario.at(5_000), scenario.at(8_000));
    scenario.record.announcements.push(AnnouncementSpan { machine: BETA, from, until });
    assert_eq!(scenario.violated_guarantees(), [Guarantee::Served]);
    scenario.record.drains.push(DrainSpan { machine: GAMMA + 3, acked: from, until });
    assert_eq!(scenario.violated_guarantees(), [Guarantee::Served], "a target of another service");
    scenario.record.drains.push(DrainSpan { machine: BETA + 3, acked: from, until });
    assert_eq!(scenario.violated_guarantees(), []);
}
