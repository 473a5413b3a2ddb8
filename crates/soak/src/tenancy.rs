//! The tenants of the soak, their API keys, and the guarantees on them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::settings::REVOCATION_S;
use rand::Rng;

use crate::checks::{violation, Guarantee, Violation, SCHEDULING_SLACK};
use crate::record::{CallRecord, SoakRecord};

/// The rate limit of the limited tenant in calls per second, and its burst.
const RATE_LIMIT: f64 = 8.0;
/// The window in which the calls of a tenant are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(5);
/// The tolerance by which a rate limit may be exceeded, as a share of the limit, and as a number of calls added to it.
const LIMIT_TOLERANCE: (f64, f64) = (0.25, 20.0);
/// The shares of calls with the key of the rotating tenant, with the key of the limited tenant, and with an unknown
/// key.
const KEY_SHARES: [f64; 3] = [0.15, 0.15, 0.02];

/// The API key of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakKey {
    /// The key of a tenant whose key never changes.
    Steady,
    /// The key of a tenant whose key is replaced with each configuration; the number is that of the configuration.
    Rotating(usize),
    /// The key of a tenant with a rate limit.
    Limited,
    /// A key that belongs to no tenant.
    Unknown,
}

impl SoakKey {
    /// Draws a key after `configs` configurations have been written; it may be a key that the newest configuration
    /// revoked.
    pub fn draw(random: &mut impl Rng, configs: usize) -> Self {
        let [rotating, limited, unknown] = KEY_SHARES;
        let mut point: f64 = random.gen();
        for (share, key) in [(rotating, 0), (limited, 1), (unknown, 2)] {
            if point < share {
                let newest = configs.saturating_sub(1);
                return match key {
                    0 => SoakKey::Rotating(random.gen_range(newest.saturating_sub(1)..=newest)),
                    1 => SoakKey::Limited,
                    _ => SoakKey::Unknown,
                };
            }
            point -= share;
        }
        SoakKey::Steady
    }

    /// The text of the key.
    pub fn text(self) -> String {
        match self {
            SoakKey::Steady => "soak-steady".to_owned(),
            SoakKey::Rotating(number) => format!("soak-rotating-{number}"),
            SoakKey::Limited => "soak-limited".to_owned(),
            SoakKey::Unknown => "soak-nobody".to_owned(),
        }
    }

    /// The name of the tenant to which the key belongs or belonged.
    pub fn tenant(self) -> Option<&'static str> {
        match self {
            SoakKey::Steady => Some("steady"),
            SoakKey::Rotating(_) => Some("rotating"),
            SoakKey::Limited => Some("limited"),
            SoakKey::Unknown => None,
        }
    }

    /// Whether a call with this key must be served in fault-free periods.
    pub fn is_steady(self) -> bool {
        self == SoakKey::Steady
    }
}

/// The tenants of the configuration with the given number, as a JSON list.
pub fn tenants(number: usize) -> String {
    let (steady, limited) = (SoakKey::Steady.text(), SoakKey::Limited.text());
    let rotating = SoakKey::Rotating(number).text();
    format!(
        r#"[{{"name":"steady","api_keys":["{steady}"]}},{{"name":"rotating","api_keys":["{rotating}"]}},{{"name":"limited","api_keys":["{limited}"],"rate_per_s":{RATE_LIMIT},"burst":{RATE_LIMIT}}}]"#
    )
}

/// Checks the guarantees on keys and rate limits, which hold at any time.
pub fn check(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    let sent: HashMap<&str, &CallRecord> = record.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let mut limited = Vec::new();
    for run in &record.runs {
        if run.has_key {
            found.push(violation(Guarantee::Keys, format!("{} carried an API key to its target", run.id)));
        }
        let Some(call) = sent.get(run.id.as_str()) else {
            // A call made by a target has no tenant.
            if !run.tenant.is_empty() {
                found.push(violation(
                    Guarantee::Keys,
                    format!("{} ran as tenant {:?} without a key", run.id, run.tenant),
                ));
            }
            continue;
        };
        if call.key.tenant() != Some(&run.tenant) {
            found.push(violation(
                Guarantee::Keys,
                format!("{} ran as tenant {:?} but was sent with key {:?}", run.id, run.tenant, call.key),
            ));
        }
        match call.key {
            SoakKey::Unknown => found.push(violation(Guarantee::Keys, format!("{} ran with an unknown key", run.id))),
            SoakKey::Limited => limited.push((run.id.as_str(), run.at)),
            SoakKey::Rotating(number) if is_revoked(record, number, call.sent) => {
                found.push(violation(Guarantee::Revoked, format!("{} ran with a revoked key", run.id)));
            }
            SoakKey::Rotating(_) | SoakKey::Steady => {}
        }
    }
    found.extend(rate_limit_violation(record, limited));
    found
}

/// Whether the key of a configuration was revoked longer ago than the bound when a call was sent.
fn is_revoked(record: &SoakRecord, number: usize, sent: Instant) -> bool {
    let replaced = record.configs.get(number + 1);
    replaced.is_some_and(|next| sent > next.acked + Duration::from_secs(REVOCATION_S) + SCHEDULING_SLACK)
}

/// Reports the window with the most calls of the limited tenant if they exceed its rate limit. A call that ran twice
/// counts once.
fn rate_limit_violation(record: &SoakRecord, mut runs: Vec<(&str, Instant)>) -> Option<Violation> {
    runs.sort_by_key(|(id, at)| (*id, *at));
    runs.dedup_by_key(|(id, _)| *id);
    let mut times: Vec<Instant> = runs.into_iter().map(|(_, at)| at).collect();
    times.sort();
    let (tolerance, slack) = LIMIT_TOLERANCE;
    let allowed = (RATE_LIMIT * LIMIT_WINDOW.as_secs_f64() + RATE_LIMIT) * (1.0 + tolerance) + slack;
    let (begin, max) = fullest_window(&times)?;
    if max as f64 <= allowed {
        return None;
    }
    let end = begin + LIMIT_WINDOW;
    let first_call = record.calls.iter().map(|call| call.sent).min().unwrap_or(begin);
    let since_first_call = begin.saturating_duration_since(first_call).as_secs_f64();
    let started = |from: Instant| record.restarts.iter().filter(|start| start.at >= from && start.at <= end).count();
    let (before, within) = (started(begin - LIMIT_WINDOW), started(begin));
    Some(violation(
        Guarantee::Limits,
        format!(
            "{max} calls ran in the window that began at {since_first_call:.1} s, {allowed} are allowed; {within} processes started in it, {} in the window before",
            before - within
        ),
    ))
}

/// The start of the window that contains the most of the sorted `times`, and their number.
fn fullest_window(times: &[Instant]) -> Option<(Instant, usize)> {
    let count = |first: &Instant| times.iter().filter(|at| *at >= first && **at < *first + LIMIT_WINDOW).count();
    times.iter().map(|first| (*first, count(first))).max_by_key(|(_, count)| *count)
}
