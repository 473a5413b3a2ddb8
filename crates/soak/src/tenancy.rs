//! The tenants of the soak, their keys, and what is promised of them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use quillhatch_platform_standins::settings::REVOCATION_S;
use rand::Rng;

use crate::checks::{violation, Guarantee, Violation, SLACK};
use crate::record::{CallRecord, SoakRecord};

/// Calls a second of the limited tenant, and its burst.
const LIMIT: f64 = 8.0;
/// The window over which calls of a tenant are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(5);
/// The share by which a limit may be passed, and the calls besides.
const LIMIT_TOLERANCE: (f64, f64) = (0.25, 20.0);
/// The shares of calls that carry the key of the rotating tenant, of the limited one, and one that nobody ever had.
const SHARES: [f64; 3] = [0.15, 0.15, 0.02];

/// The key that a call carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakKey {
    /// Of a tenant whose key stays.
    Steady,
    /// Of a tenant whose key is replaced with each configuration: that of the configuration with this number.
    Rotating(usize),
    /// Of a tenant with a limit.
    Limited,
    /// Of nobody.
    Unknown,
}

impl SoakKey {
    /// Draws a key, while `configs` configurations were written; keys that were taken away too.
    pub fn draw(random: &mut impl Rng, configs: usize) -> Self {
        let [rotating, limited, unknown] = SHARES;
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

    /// The name of the tenant that holds it, if one ever did.
    pub fn tenant(self) -> Option<&'static str> {
        match self {
            SoakKey::Steady => Some("steady"),
            SoakKey::Rotating(_) => Some("rotating"),
            SoakKey::Limited => Some("limited"),
            SoakKey::Unknown => None,
        }
    }

    /// Whether a call with this key is to be served in calm.
    pub fn is_steady(self) -> bool {
        self == SoakKey::Steady
    }
}

/// The tenants of the configuration with this number, as JSON.
pub fn tenants(number: usize) -> String {
    let (steady, limited) = (SoakKey::Steady.text(), SoakKey::Limited.text());
    let rotating = SoakKey::Rotating(number).text();
    format!(
        r#"[{{"name":"steady","api_keys":["{steady}"]}},{{"name":"rotating","api_keys":["{rotating}"]}},{{"name":"limited","api_keys":["{limited}"],"rate_per_s":{LIMIT},"burst":{LIMIT}}}]"#
    )
}

/// The promises on keys and limits; they hold at any moment.
pub fn check(record: &SoakRecord) -> Vec<Violation> {
    let mut found = Vec::new();
    let sent: HashMap<&str, &CallRecord> = record.calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let mut limited = Vec::new();
    for run in &record.runs {
        if run.has_key {
            found.push(violation(Guarantee::Keys, format!("{} brought the key to its target", run.id)));
        }
        let Some(call) = sent.get(run.id.as_str()) else {
            // A target's own call has no tenant.
            if !run.tenant.is_empty() {
                found.push(violation(Guarantee::Keys, format!("{} ran as {:?} without a key", run.id, run.tenant)));
            }
            continue;
        };
        if call.key.tenant() != Some(&run.tenant) {
            found.push(violation(
                Guarantee::Keys,
                format!("{} ran as {:?}, sent with {:?}", run.id, run.tenant, call.key),
            ));
        }
        match call.key {
            SoakKey::Unknown => found.push(violation(Guarantee::Keys, format!("{} ran with a key of nobody", run.id))),
            SoakKey::Limited => limited.push((run.id.as_str(), run.at)),
            SoakKey::Rotating(number) if is_revoked(record, number, call.sent) => {
                found.push(violation(Guarantee::Revoked, format!("{} ran with a key that was taken away", run.id)));
            }
            SoakKey::Rotating(_) | SoakKey::Steady => {}
        }
    }
    found.extend(over_limit(record, limited));
    found
}

/// Whether the key of a configuration was taken away long before a call was sent.
fn is_revoked(record: &SoakRecord, number: usize, sent: Instant) -> bool {
    let replaced = record.configs.get(number + 1);
    replaced.is_some_and(|next| sent > next.acked + Duration::from_secs(REVOCATION_S) + SLACK)
}

/// The window in which most calls of the limited tenant ran, if they are more than may; a call that ran twice counts once.
fn over_limit(record: &SoakRecord, mut runs: Vec<(&str, Instant)>) -> Option<Violation> {
    runs.sort_by_key(|(id, at)| (*id, *at));
    runs.dedup_by_key(|(id, _)| *id);
    let mut times: Vec<Instant> = runs.into_iter().map(|(_, at)| at).collect();
    times.sort();
    let (tolerance, slack) = LIMIT_TOLERANCE;
    let allowed = (LIMIT * LIMIT_WINDOW.as_secs_f64() + LIMIT) * (1.0 + tolerance) + slack;
    let (begin, most) = fullest_window(&times)?;
    if most as f64 <= allowed {
        return None;
    }
    let end = begin + LIMIT_WINDOW;
    let first_call = record.calls.iter().map(|call| call.sent).min().unwrap_or(begin);
    let since_first_call = begin.saturating_duration_since(first_call).as_secs_f64();
    let started = |from: Instant| record.starts.iter().filter(|start| start.at >= from && start.at <= end).count();
    let (before, within) = (started(begin - LIMIT_WINDOW), started(begin));
    Some(violation(
        Guarantee::Limits,
        format!(
            "{most} calls in the window from {since_first_call:.1} s on, {allowed} allowed; {within} processes started in it, {} in the window before",
            before - within
        ),
    ))
}

/// When the window begins that holds most of `times`, which are in order, and how many it holds.
fn fullest_window(times: &[Instant]) -> Option<(Instant, usize)> {
    let count = |first: &Instant| times.iter().filter(|at| *at >= first && **at < *first + LIMIT_WINDOW).count();
    times.iter().map(|first| (*first, count(first))).max_by_key(|(_, count)| *count)
}
