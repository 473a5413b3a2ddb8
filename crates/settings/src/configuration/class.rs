//! Classes of calls.

use std::ops::RangeInclusive;
use std::time::Duration;

use quillhatch_types::{ClassConfiguration, ClassName, Priority};

use super::MAX_RETRY_BUDGET;
use crate::report::{Report, Spot};
use crate::section::{Field, Section};

/// The priorities by their names in the document.
pub(super) const PRIORITIES: [(&str, Priority); 3] =
    [("protected", Priority::Protected), ("interactive", Priority::Interactive), ("bulk", Priority::Bulk)];

/// The path prefix of a class that gives none: every path.
pub(super) const DEFAULT_PATH_PREFIX: &str = "/";
/// The retry budget of a class that gives none.
pub(super) const DEFAULT_RETRY_BUDGET: u16 = 3;
/// The ratio of retries of a class that gives none, in percent.
pub(super) const DEFAULT_RETRY_RATIO_PERCENT: u8 = 10;

const DEADLINES: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(24 * 3600);
const MAXIMUM_PATH_PREFIX_LENGTH: usize = 1024;
const MAXIMUM_PERCENT: u64 = 100;

/// A class and where its parts were given.
#[derive(Debug)]
pub(super) struct LocatedClass {
    pub(super) configuration: ClassConfiguration,
    pub(super) spots: ClassSpots,
}

/// Where the parts of a class were given.
#[derive(Debug)]
pub(super) struct ClassSpots {
    pub(super) name: Spot,
    pub(super) path_prefix: Spot,
    pub(super) deadline: Spot,
    repeatable: Spot,
    retry_ratio_percent: Spot,
    large_answers: Spot,
}

impl ClassSpots {
    fn new(section: &Section<'_>) -> Self {
        ClassSpots {
            name: section.spot("name"),
            path_prefix: section.spot("path_prefix"),
            deadline: section.spot("deadline"),
            repeatable: section.spot("repeatable"),
            retry_ratio_percent: section.spot("retry_ratio_percent"),
            large_answers: section.spot("large_answers"),
        }
    }
}

/// Reads one class; `None` if a key without default is missing or wrong, which is reported.
pub(super) fn read_class(report: &mut Report<'_>, item: &Field<'_>) -> Option<LocatedClass> {
    let mut section = Section::open(report, item)?;
    let name = section.require(report, "name").and_then(|field| field.name(report, ClassName::new));
    let methods_field = section.take("methods");
    let methods = methods_field.as_ref().map(|field| read_methods(report, field)).unwrap_or_default();
    let path_prefix = section.optional(report, "path_prefix", DEFAULT_PATH_PREFIX.to_string(), read_path_prefix);
    let priority = section.require(report, "priority").and_then(|field| field.choice(report, &PRIORITIES));
    let repeatable = section.require(report, "repeatable").and_then(|field| field.boolean(report));
    let deadline = section.require(report, "deadline").and_then(|field| field.time(report, DEADLINES));
    let retry_budget = section.optional(report, "retry_budget", DEFAULT_RETRY_BUDGET, |field, report| {
        let budget = field.integer(report, 0..=u64::from(MAX_RETRY_BUDGET))?;
        u16::try_from(budget).ok()
    });
    let ratio = DEFAULT_RETRY_RATIO_PERCENT;
    let retry_ratio_percent = section.optional(report, "retry_ratio_percent", ratio, |field, report| {
        u8::try_from(field.integer(report, 0..=MAXIMUM_PERCENT)?).ok()
    });
    let large_answers = section.optional(report, "large_answers", false, |field, report| field.boolean(report));
    let spots = ClassSpots::new(&section);
    section.finish(report);
    let configuration = ClassConfiguration {
        name: name?,
        methods,
        path_prefix,
        priority: priority?,
        repeatable: repeatable?,
        deadline: deadline?,
        retry_budget,
        retry_ratio_percent,
        large_answers,
    };
    warn_of_contradictions(report, &spots, &configuration);
    Some(LocatedClass { configuration, spots })
}

fn read_methods(report: &mut Report<'_>, field: &Field<'_>) -> Vec<String> {
    let mut methods: Vec<String> = Vec::new();
    for item in field.items(report) {
        let Some(method) = item.text(report) else {
            continue;
        };
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase() || byte == b'-') {
            let problem = format!("{method:?} is no method in upper case");
            report.error(&item.spot, problem, "write methods such as \"GET\" and \"POST\"");
        } else if methods.iter().any(|known| known == method) {
            report.error(&item.spot, format!("the method {method} is given twice"), "remove one of the two");
        } else {
            methods.push(method.to_string());
        }
    }
    methods
}

fn read_path_prefix(field: &Field<'_>, report: &mut Report<'_>) -> Option<String> {
    let prefix = field.text(report)?;
    let plain = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    let problem = if !prefix.starts_with('/') {
        "the path prefix does not start with '/'"
    } else if !prefix.bytes().all(plain) {
        "the path prefix has a character that no path has"
    } else if prefix.len() > MAXIMUM_PATH_PREFIX_LENGTH {
        "the path prefix is too long"
    } else if prefix.split('/').any(|segment| matches!(segment, "." | "..")) {
        "the path prefix has a segment '.' or '..', which never matches"
    } else {
        return Some(prefix.to_string());
    };
    report.error(&field.spot, problem, "write a path below the service's own, such as \"/pledges\"");
    None
}

fn warn_of_contradictions(report: &mut Report<'_>, spots: &ClassSpots, class: &ClassConfiguration) {
    if class.retry_budget > 0 && class.retry_ratio_percent == 0 {
        let problem = "a retry ratio of 0 percent leaves the retry budget without effect";
        report.warning(&spots.retry_ratio_percent, problem, "raise the ratio or set retry_budget to 0");
    }
    if class.repeatable && class.priority == Priority::Protected && class.methods.iter().any(|method| method == "POST")
    {
        let problem = "a protected call by POST may run more than once";
        report.warning(&spots.repeatable, problem, "set repeatable to false unless a repeat does no harm");
    }
    let only_reads =
        !class.methods.is_empty() && class.methods.iter().all(|method| method == "GET" || method == "HEAD");
    if !class.repeatable && only_reads {
        let problem = "calls that only read are treated as if they must not be repeated";
        report.warning(&spots.repeatable, problem, "set repeatable to true unless a GET changes something");
    }
    if !class.repeatable && class.large_answers {
        let problem = "a large answer of a call that must not be repeated can't be recorded for replay";
        report.warning(&spots.large_answers, problem, "serve downloads by a class of their own");
    }
}
