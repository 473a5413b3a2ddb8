//! The usual alternative: each hop retries three times with a timeout, round robin, without limits.
//!
//! Attempts go to the live targets of the platform's list. Nothing is cancelled: a caller that gives up leaves the work
//! behind it running. Outcomes are never proven, so every failure is `unknown`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_calls::edge::io::{Answer, AttemptResult, CallArrival, EdgeInput, EdgeOutput};
use quillhatch_types::hash::slot_of_root;
use quillhatch_types::{
    AdmissionRank, AttemptId, CallContext, CallId, Configuration, Feedback, NodeAddress, NodeId, ParentContext,
    Refusal, RefusalReason, ServiceConfiguration, SiteName, Timestamp,
};

use super::passage::Passage;
use super::{HostInput, HostOutput, ListedAs, NodeStart, PlatformView, Policy};

/// Attempts after the first.
const RETRIES: u8 = 3;

/// How long one attempt of a short call may take.
const SHORT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long one attempt of a call that may not be repeated may take; it is retried all the same.
const CAREFUL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long one attempt of a bulk call or a download may take.
const LONG_TIMEOUT: Duration = Duration::from_secs(8);

struct OpenCall {
    arrival: CallArrival,
    attempt: u8,
}

/// The edge of the direct policy; its gate passes everything on.
pub struct Direct {
    start: NodeStart,
    configuration: Option<Arc<Configuration>>,
    listed: BTreeMap<NodeAddress, ListedAs>,
    calls: BTreeMap<CallId, OpenCall>,
    next_target: usize,
    passage: Passage,
}

impl Direct {
    /// A node that has just started.
    pub fn new(start: NodeStart) -> Self {
        Direct {
            start,
            configuration: None,
            listed: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_target: 0,
            passage: Passage::default(),
        }
    }

    fn read_platform(&mut self, view: PlatformView) {
        if view.configuration.is_some() {
            self.configuration = view.configuration;
        }
        if !view.machines.is_empty() {
            self.listed = view.machines.into_iter().collect();
        }
    }

    fn site_of(service: &ServiceConfiguration, arrival: &CallArrival, local: &SiteName) -> SiteName {
        // Calls below another stay at its site, as a service usually calls its neighbours.
        if arrival.parent.is_some() {
            return local.clone();
        }
        let position = slot_of_root(arrival.root, 100).0;
        let mut below = 0;
        for (site, share) in &service.site_shares {
            below += u16::from(*share);
            if position < below {
                return site.clone();
            }
        }
        local.clone()
    }

    fn choose_target(&mut self, arrival: &CallArrival) -> Option<NodeId> {
        let configuration = self.configuration.as_ref()?;
        let service = configuration.services.get(&arrival.service)?;
        let site = Self::site_of(service, arrival, &self.start.site);
        let live = |address: &NodeAddress| self.listed.get(address) == Some(&ListedAs::Live);
        let targets: Vec<NodeAddress> =
            service.targets_at(&site).map(|target| target.node).filter(|address| live(address)).collect();
        if targets.is_empty() {
            return None;
        }
        self.next_target = self.next_target.wrapping_add(1);
        let address = targets[self.next_target % targets.len()];
        Some(NodeId { address, incarnation: quillhatch_types::Incarnation(0) })
    }

    fn context(&self, arrival: &CallArrival, attempt: u8) -> Option<CallContext> {
        let class = self.configuration.as_ref()?.services.get(&arrival.service)?.class(&arrival.class)?;
        let long = class.large_answers || class.priority == quillhatch_types::Priority::Bulk;
        let timeout = match (long, class.repeatable) {
            (true, _) => LONG_TIMEOUT,
            (false, true) => SHORT_TIMEOUT,
            (false, false) => CAREFUL_TIMEOUT,
        };
        let key = arrival.key.clone().or_else(|| (!class.repeatable).then(|| arrival.generated_key.clone()));
        Some(CallContext {
            call: arrival.call,
            root: arrival.root,
            attempt,
            depth: arrival.parent.as_ref().map_or(0, |parent| parent.depth + 1),
            tokens: 0,
            service: arrival.service.clone(),
            class: arrival.class.clone(),
            priority: class.priority,
            rank: AdmissionRank::new(class.priority, attempt > 0, 0),
            repeatable: class.repeatable,
            key,
            key_from_caller: arrival.key.is_some(),
            digest: arrival.digest,
            remaining: timeout,
        })
    }

    fn send(&mut self, call: CallId, outputs: &mut Vec<HostOutput>) {
        let Some(open) = self.calls.get(&call) else { return };
        let (arrival, attempt) = (open.arrival.clone(), open.attempt);
        let target = self.choose_target(&arrival);
        match (target, self.context(&arrival, attempt)) {
            (Some(target), Some(context)) => {
                outputs.push(HostOutput::Edge(EdgeOutput::Send { target, context: Box::new(context) }));
            }
            _ => self.finish(call, Answer::Refuse(Refusal::unknown(RefusalReason::NoTarget)), outputs),
        }
    }

    fn finish(&mut self, call: CallId, answer: Answer, outputs: &mut Vec<HostOutput>) {
        self.calls.remove(&call);
        outputs.push(HostOutput::Edge(EdgeOutput::Finish { call, answer }));
    }

    fn answered(&mut self, attempt: AttemptId, result: AttemptResult, outputs: &mut Vec<HostOutput>) {
        let Some(open) = self.calls.get_mut(&attempt.call) else { return };
        if open.attempt != attempt.attempt {
            return;
        }
        const SERVER_ERRORS: u16 = 500;
        let failed = !matches!(result, AttemptResult::Answered { status } if status < SERVER_ERRORS);
        if failed && open.attempt < RETRIES {
            open.attempt += 1;
            return self.send(attempt.call, outputs);
        }
        let answer = match result {
            AttemptResult::Answered { .. } => Answer::Relay(attempt),
            AttemptResult::Refused(refusal) => Answer::Refuse(Refusal::unknown(refusal.reason)),
            _ => Answer::Refuse(Refusal::unknown(RefusalReason::ConnectionLost)),
        };
        self.finish(attempt.call, answer, outputs);
    }

    fn edge(&mut self, input: EdgeInput, outputs: &mut Vec<HostOutput>) {
        match input {
            EdgeInput::Arrived(arrival) => {
                let call = arrival.call;
                self.calls.insert(call, OpenCall { arrival, attempt: 0 });
                self.send(call, outputs);
            }
            EdgeInput::AttemptAnswered { attempt, result, .. } => self.answered(attempt, result, outputs),
            EdgeInput::BodyEnded { attempt, incomplete: Some(_) } => {
                outputs.push(HostOutput::Edge(EdgeOutput::AbortStream { call: attempt.call }));
            }
            _ => {}
        }
    }
}

impl Policy for Direct {
    fn step(&mut self, _now: Timestamp, input: HostInput, outputs: &mut Vec<HostOutput>) {
        match input {
            HostInput::Edge(input) => self.edge(input, outputs),
            HostInput::Gate(input) => self.passage.step(input, outputs),
            HostInput::Platform(view) => self.read_platform(view),
            HostInput::Stop { .. } => outputs.push(HostOutput::ReadyToExit),
            HostInput::Operator { number, .. } => outputs.push(HostOutput::Operator {
                number,
                result: super::OperatorResult::Refused("no operators' interface".to_owned()),
            }),
            HostInput::Message { .. } | HostInput::Tick => {}
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        None
    }

    fn feedback(&mut self, _now: Timestamp, _attempt: Option<AttemptId>) -> Option<Feedback> {
        None
    }

    fn lend_tokens(&mut self, _now: Timestamp, parent: CallId) -> Option<ParentContext> {
        self.passage.parent(parent)
    }
}
