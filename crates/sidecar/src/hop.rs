//! The hop header, with which the edge and the gate of a call exchange metadata: a [`HopContext`] in the request and a
//! [`HopReport`] in the response.
//!
//! The header is internal to the nodes. An edge removes it from the requests of callers and from the responses to them.
//! A gate removes it from the requests to its target and replaces it in the target's responses.

use std::fmt::Write;
use std::net::IpAddr;
use std::time::Duration;

use quillhatch_mesh::admission_level::AdmissionLevel;
use quillhatch_mesh::callers::CallerKind;
use quillhatch_mesh::freshness::FreshnessProof;
use quillhatch_mesh::gate::GateLoad;
use quillhatch_mesh::parents::InheritedContext;
use quillhatch_mesh::replica::{Position, ReplicaState};
use quillhatch_mesh::target_limit::{AnnouncedLimit, KnownLimit, RateLimitReport};
use quillhatch_mesh::targets::{parse_target_id, RunningAt};

/// The name of the header.
pub const HOP_HEADER: &str = "quillhatch-hop";

/// The number of steps in which an admission level is encoded: fine enough for any number of priorities.
const LEVEL_STEPS: f64 = 10_000.0;
/// The number of steps in which the health of a target is encoded: whole percents suffice to choose among targets.
const HEALTH_STEPS: f64 = 100.0;

/// Encodes that a target has no rate limit.
const UNLIMITED: &str = "-";

/// How current a node's view of the platform's store is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreView {
    /// What the node's replica of the store holds.
    pub replica: ReplicaState,
    /// Whether the node can't read the store.
    pub store_unreachable: bool,
}

impl StoreView {
    fn encode(self) -> String {
        let ReplicaState { position: Position { era, revision }, version } = self.replica;
        format!("{era}.{revision},{},{version}", u8::from(self.store_unreachable))
    }

    fn decode(text: &str) -> Option<Self> {
        let mut parts = text.split(',');
        let (era, revision) = parts.next()?.split_once('.')?;
        let position = Position { era: era.parse().ok()?, revision: revision.parse().ok()? };
        let store_unreachable = parts.next()? == "1";
        let version = parts.next().and_then(|version| version.parse().ok()).unwrap_or_default();
        Some(StoreView { replica: ReplicaState { position, version }, store_unreachable })
    }
}

/// Decodes a number of calls per second; `None` if there is none.
fn decode_rate(text: &str) -> Option<f64> {
    text.parse().ok().filter(|rate: &f64| rate.is_finite() && *rate >= 0.0)
}

/// Decodes the time at which a process was running; zero if it is missing.
fn decode_running_at(text: &str) -> RunningAt {
    RunningAt(text.parse().unwrap_or_default())
}

/// The metadata of a call that an edge sends to a gate.
#[derive(Clone, Debug, PartialEq)]
pub struct HopContext {
    /// Whether the call is a root call, which enters the call graph at the edge. Otherwise a target makes it.
    pub is_root: bool,
    /// What the call inherits from its root call.
    pub inherited: InheritedContext,
    /// The maximum time that the call may wait in the gate's queue.
    pub max_wait: Duration,
    /// The edge's view of the store.
    pub store_view: StoreView,
    /// The address of the edge's machine, at which its node can be queried for its view of the store.
    pub edge_ip: IpAddr,
    /// Whether the edge expects that the call exceeds the target's rate limit, and has no other target for it.
    pub is_over_limit: bool,
    /// The target's rate limit, if the edge knows one. A gate that has just started does not.
    pub rate_limit: Option<AnnouncedLimit>,
    /// The time until the deadline that the target gets, if it is earlier than the one until which the edge waits for
    /// the response.
    pub work_time: Option<Duration>,
}

impl HopContext {
    /// Encodes the value of the header.
    pub fn encode(&self) -> String {
        let InheritedContext { priority, position, is_retry, admitted_permille } = self.inherited;
        let (is_root, is_retry) = (u8::from(self.is_root), u8::from(is_retry));
        let max_wait = self.max_wait.as_millis();
        let (store_view, edge_ip) = (self.store_view.encode(), self.edge_ip);
        let is_over_limit = u8::from(self.is_over_limit);
        let mut text = format!(
            "{is_root};{priority};{position};{is_retry};{admitted_permille};{max_wait};{store_view};{edge_ip};{is_over_limit};"
        );
        if let Some(AnnouncedLimit { per_second, running_at: RunningAt(running_at) }) = self.rate_limit {
            let _ = write!(text, "{per_second};{running_at}");
        }
        if let Some(work_time) = self.work_time {
            let separators = if self.rate_limit.is_some() { ";" } else { ";;" };
            let _ = write!(text, "{separators}{}", work_time.as_millis());
        }
        text
    }

    /// Decodes the value of the header.
    pub fn decode(text: &str) -> Option<Self> {
        let mut parts = text.split(';');
        let is_root = parts.next()? == "1";
        let (priority, position) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
        let (is_retry, admitted_permille) = (parts.next()? == "1", parts.next()?.parse().ok()?);
        let inherited = InheritedContext { priority, position, is_retry, admitted_permille };
        let max_wait = Duration::from_millis(parts.next()?.parse().ok()?);
        let store_view = StoreView::decode(parts.next()?)?;
        let edge_ip = parts.next()?.parse().ok()?;
        let is_over_limit = parts.next() == Some("1");
        let per_second = parts.next().and_then(decode_rate);
        let running_at = parts.next().map(decode_running_at).unwrap_or_default();
        let rate_limit = per_second.map(|per_second| AnnouncedLimit { per_second, running_at });
        let work_time = parts.next().and_then(|work_time| work_time.parse().ok()).map(Duration::from_millis);
        Some(HopContext { is_root, inherited, max_wait, store_view, edge_ip, is_over_limit, rate_limit, work_time })
    }
}

/// How a call ended at a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateOutcome {
    /// The target has responded; the response is the target's.
    Answered,
    /// The target has ended the call at a deadline that was earlier than the call's own, because the gate's node is
    /// stopping. The response is the target's.
    Interrupted,
    /// The call has not run: the gate had no slot for it in time.
    Full,
    /// The call has not run and the target has not received it: the target is draining, was replaced by another one or
    /// can't be reached, or the gate's node is stopping.
    Closed,
    /// The call has not run: the target received it and refused it.
    Rejected,
    /// The call has not run: it exceeds the rate limit of the target. `Retry-After` says when it may be retried.
    RateLimited,
    /// The call has not run: requests with its signature crash targets. `Retry-After` says when it may be retried.
    Quarantined,
    /// The call may have run, and there is no valid response.
    NoResponse,
    /// The call may have run, and its deadline has passed.
    DeadlineExceeded,
}

impl GateOutcome {
    /// All outcomes.
    pub const ALL: [GateOutcome; 9] = [
        GateOutcome::Answered,
        GateOutcome::Interrupted,
        GateOutcome::Full,
        GateOutcome::Closed,
        GateOutcome::Rejected,
        GateOutcome::RateLimited,
        GateOutcome::Quarantined,
        GateOutcome::NoResponse,
        GateOutcome::DeadlineExceeded,
    ];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            GateOutcome::Answered => "answered",
            GateOutcome::Interrupted => "interrupted",
            GateOutcome::Full => "full",
            GateOutcome::Closed => "closed",
            GateOutcome::Rejected => "rejected",
            GateOutcome::RateLimited => "rate-limited",
            GateOutcome::Quarantined => "quarantined",
            GateOutcome::NoResponse => "broken",
            GateOutcome::DeadlineExceeded => "late",
        }
    }

    /// The code in the header. Older nodes read its first character only, so `Interrupted` is `Answered` to them.
    fn code(self) -> &'static str {
        match self {
            GateOutcome::Answered => "a",
            GateOutcome::Interrupted => "ai",
            GateOutcome::Full => "f",
            GateOutcome::Closed => "c",
            GateOutcome::Rejected => "r",
            GateOutcome::RateLimited => "t",
            GateOutcome::Quarantined => "q",
            GateOutcome::NoResponse => "b",
            GateOutcome::DeadlineExceeded => "l",
        }
    }

    fn from_code(code: &str) -> Option<Self> {
        let exact = Self::ALL.into_iter().find(|outcome| code == outcome.code());
        exact.or_else(|| Self::ALL.into_iter().find(|outcome| code.starts_with(outcome.code())))
    }
}

/// The metadata that a gate sends to an edge with each response.
#[derive(Clone, Debug, PartialEq)]
pub struct HopReport {
    /// How the call ended at the gate.
    pub outcome: GateOutcome,
    /// The gate's load.
    pub load: GateLoad,
    /// The admission level of the call's route: the lowest of the gate's own and of the routes that the route calls.
    /// Edges apply it to root calls.
    pub admission_level: AdmissionLevel,
    /// The share of the target's responses that are good ([`quillhatch_mesh::health`]).
    pub health: f64,
    /// The kinds of clients that call the route.
    pub caller_kind: CallerKind,
    /// The gate's view of the store.
    pub store_view: StoreView,
    /// When the gate's configuration was last known to be the newest, if that is needed and known.
    pub proof: Option<FreshnessProof>,
    /// The gate's current target, if the call was meant for another one.
    pub current_target: Option<LocalTarget>,
    /// What the gate knows of the rate limit of the target that the call was meant for.
    pub rate_limit: KnownLimit,
    /// If the target has sent a drain notice, when the process that sent it was running.
    pub drain_notice: Option<RunningAt>,
    /// The share of the retries of the call's route that may be sent: the lowest of the routes that the route calls.
    pub retry_level: AdmissionLevel,
}

/// The target that currently runs on a node's machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalTarget {
    /// Its identity.
    pub id: String,
    /// Its service.
    pub service: String,
}

fn encode_caller_kind(caller_kind: CallerKind) -> u8 {
    match caller_kind {
        CallerKind::Unknown => 0,
        CallerKind::TargetsOnly => 1,
        CallerKind::IncludesCallers => 2,
    }
}

fn decode_caller_kind(number: u64) -> CallerKind {
    match number {
        1 => CallerKind::TargetsOnly,
        2 => CallerKind::IncludesCallers,
        _ => CallerKind::Unknown,
    }
}

/// Decodes a freshness proof. `Some(None)` if the text is empty.
fn decode_proof(text: &str) -> Option<Option<FreshnessProof>> {
    if text.is_empty() {
        return Some(None);
    }
    let (version, age) = text.split_once(',')?;
    Some(Some(FreshnessProof { version: version.parse().ok()?, age_at_arrival_ms: age.parse().ok()? }))
}

fn decode_rate_limit(text: &str, running_at: RunningAt) -> KnownLimit {
    if text == UNLIMITED {
        return KnownLimit::Unlimited(running_at);
    }
    let report = text.split_once(',').and_then(|(per_second, share)| {
        let limit = AnnouncedLimit { per_second: decode_rate(per_second)?, running_at };
        Some(RateLimitReport { limit, share: decode_rate(share)?.min(1.0) })
    });
    report.map_or(KnownLimit::Unknown, KnownLimit::Limited)
}

impl HopReport {
    /// Encodes the value of the header.
    pub fn encode(&self) -> String {
        let GateLoad { running, limit, waiting } = self.load;
        let admission_level = (self.admission_level.priority_share() * LEVEL_STEPS).round() as u32;
        let health = (self.health * HEALTH_STEPS).round() as u32;
        let caller_kind = encode_caller_kind(self.caller_kind);
        let code = self.outcome.code();
        let mut text = format!(
            "{code};{running};{limit};{waiting};{admission_level};{health};{caller_kind};{};",
            self.store_view.encode()
        );
        if let Some(FreshnessProof { version, age_at_arrival_ms }) = self.proof {
            let _ = write!(text, "{version},{age_at_arrival_ms}");
        }
        let current_target = self.current_target.as_ref();
        let (id, service) = current_target.map_or(("", ""), |target| (&target.id, &target.service));
        let _ = write!(text, ";{id};{service};");
        let (limit, limit_running_at) = match self.rate_limit {
            KnownLimit::Unknown => (String::new(), RunningAt::default()),
            KnownLimit::Unlimited(running_at) => (UNLIMITED.to_owned(), running_at),
            KnownLimit::Limited(RateLimitReport { limit: AnnouncedLimit { per_second, running_at }, share }) => {
                (format!("{per_second},{share:.4}"), running_at)
            }
        };
        let drain_notice = self.drain_notice.map(|RunningAt(running_at)| running_at.to_string()).unwrap_or_default();
        let _ = write!(text, "{limit}");
        if !self.retry_level.admits_all() {
            let retry_level = (self.retry_level.priority_share() * LEVEL_STEPS).round() as u32;
            let _ = write!(text, ";{drain_notice};{};{retry_level}", limit_running_at.0);
        } else if limit_running_at != RunningAt::default() {
            let _ = write!(text, ";{drain_notice};{}", limit_running_at.0);
        } else if !drain_notice.is_empty() {
            let _ = write!(text, ";{drain_notice}");
        }
        text
    }

    /// Decodes the value of the header.
    pub fn decode(text: &str) -> Option<Self> {
        let mut parts = text.split(';');
        let outcome = GateOutcome::from_code(parts.next()?)?;
        let mut number = || parts.next()?.parse::<u64>().ok();
        let load = GateLoad { running: number()? as u32, limit: number()? as u32, waiting: number()? as u32 };
        let admission_level = AdmissionLevel::from_priority_share(number()? as f64 / LEVEL_STEPS);
        let health = number()? as f64 / HEALTH_STEPS;
        let caller_kind = decode_caller_kind(number()?);
        let store_view = StoreView::decode(parts.next()?)?;
        let proof = decode_proof(parts.next()?)?;
        let current_target = match (parts.next(), parts.next()) {
            (Some(id), Some(service)) if parse_target_id(id).is_ok() => {
                Some(LocalTarget { id: id.to_owned(), service: service.to_owned() })
            }
            _ => None,
        };
        let rate_limit = parts.next().unwrap_or_default();
        let drain_notice = parts.next().and_then(|running_at| running_at.parse().ok()).map(RunningAt);
        let limit_running_at = parts.next().map(decode_running_at).unwrap_or_default();
        let rate_limit = decode_rate_limit(rate_limit, limit_running_at);
        let retry_level = parts.next().and_then(|level| level.parse::<u32>().ok());
        let retry_level = retry_level
            .map_or(AdmissionLevel::FULL, |level| AdmissionLevel::from_priority_share(f64::from(level) / LEVEL_STEPS));
        Some(HopReport {
            outcome,
            load,
            admission_level,
            health,
            caller_kind,
            store_view,
            proof,
            current_target,
            rate_limit,
            drain_notice,
            retry_level,
        })
    }
}
