//! Reads and checks the classes of calls of a service.

use std::ops::RangeInclusive;
use std::time::Duration;

use quillhatch_types::{ClassConfiguration, ClassName, Priority};

use super::MAX_RETRY_BUDGET;
use crate::report::{Report, ValueLocation};
use crate::section::{Field, Section};

/// The names of the priorities in the document.
pub(super) const PRIORITIES: [(&str, Priority); 3] =
    [("protected", Priority::Protected), ("interactive", Priority::Interactive), ("bulk", Priority::Bulk)];

/// The default path prefix of a class, which matches every path.
pub(super) const DEFAULT_PATH_PREFIX: &str = "/";
/// The default retry budget of a class.
pub(super) const DEFAULT_RETRY_BUDGET: u16 = 3;
/// The default retry ratio of a class, in percent.
pub(super) const DEFAULT_RETRY_RATIO_PERCENT: u8 = 10;

const DEADLINE_RANGE: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(24 * 3600);
const MAX_PATH_PREFIX_LENGTH: usize = 1024;
const MAX_PERCENT: u64 = 100;

/// A class and the locations of its fields.
#[derive(Debug)]
pub(super) struct LocatedClass {
    pub(super) configuration: ClassConfiguration,
    pub(super) locations: ClassLocations,
}

/// The locations of those fields of a class that are checked together with other fields or classes.
#[derive(Debug)]
pub(super) struct ClassLocations {
    pub(super) name: ValueLocation,
    pub(super) path_prefix: ValueLocation,
    pub(super) deadline: ValueLocation,
    repeatable: ValueLocation,
    retry_ratio_percent: ValueLocation,
    large_answers: ValueLocation,
}

impl ClassLocations {
    fn new(section: &Section<'_>) -> Self {
        ClassLocations {
            name: section.location_of("name"),
            path_prefix: section.location_of("path_prefix"),
            deadline: section.location_of("deadline"),
            repeatable: section.location_of("repeatable"),
            retry_ratio_percent: section.location_of("retry_ratio_percent"),
            large_answers: section.location_of("large_answers"),
        }
    }
}

/// Reads one class. Returns `None` if a key without default is missing or invalid, which is reported.
pub(super) fn read_class(report: &mut Report<'_>, item: &Field<'_>) -> Option<LocatedClass> {
    let mut section = Section::open(report, item)?;
    let name = section.require(report, "name").and_then(|field| field.name(report, ClassName::new));
    let methods_field = section.take("methods");
    let methods = methods_field.as_ref().map(|field| read_methods(report, field)).unwrap_or_default();
    let path_prefix = section.optional(report, "path_prefix", DEFAULT_PATH_PREFIX.to_string(), read_path_prefix);
    let priority = section.require(report, "priority").and_then(|field| field.choice(report, &PRIORITIES));
    let repeatable = section.require(report, "repeatable").and_then(|field| field.boolean(report));
    let deadline = section.require(report, "deadline").and_then(|field| field.duration(report, DEADLINE_RANGE));
    let retry_budget = section.optional(report, "retry_budget", DEFAULT_RETRY_BUDGET, |field, report| {
        let budget = field.integer(report, 0..=u64::from(MAX_RETRY_BUDGET))?;
        u16::try_from(budget).ok()
    });
    let ratio = DEFAULT_RETRY_RATIO_PERCENT;
    let retry_ratio_percent = section.optional(report, "retry_ratio_percent", ratio, |field, report| {
        u8::try_from(field.integer(report, 0..=MAX_PERCENT)?).ok()
    });
    let large_answers = section.optional(report, "large_answers", false, |field, report| field.boolean(report));
    let locations = ClassLocations::new(&section);
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
    warn_about_contradictions(report, &locations, &configuration);
    Some(LocatedClass { configuration, locations })
}

fn read_methods(report: &mut Report<'_>, field: &Field<'_>) -> Vec<String> {
    let mut methods: Vec<String> = Vec::new();
    for item in field.items(report) {
        let Some(method) = item.string(report) else {
            continue;
        };
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase() || byte == b'-') {
            let problem = format!("{method:?} is not an HTTP method in upper case");
            report.error(&item.location, problem, "write methods such as \"GET\" and \"POST\"");
        } else if methods.iter().any(|known| known == method) {
            report.error(&item.location, format!("the method {method} is given twice"), "remove one of the two");
        } else {
            methods.push(method.to_string());
        }
    }
    methods
}

fn read_path_prefix(field: &Field<'_>, report: &mut Report<'_>) -> Option<String> {
    let prefix = field.string(report)?;
    let allowed = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    let problem = if !prefix.starts_with('/') {
        "the path prefix does not start with '/'"
    } else if !prefix.bytes().all(allowed) {
        "the path prefix has a character that is not allowed in a path"
    } else if prefix.len() > MAX_PATH_PREFIX_LENGTH {
        "the path prefix is too long"
    } else if prefix.split('/').any(|segment| matches!(segment, "." | "..")) {
        "the path prefix has a segment '.' or '..', which never matches"
    } else {
        return Some(prefix.to_string());
    };
    report.error(&field.location, problem, "write a path below the service's own prefix, such as \"/pledges\"");
    None
}

fn warn_about_contradictions(report: &mut Report<'_>, locations: &ClassLocations, class: &ClassConfiguration) {
    if class.retry_budget > 0 && class.retry_ratio_percent == 0 {
        let problem = "a retry ratio of 0 percent leaves the retry budget without effect";
        report.warning(&locations.retry_ratio_percent, problem, "raise the ratio or set retry_budget to 0");
    }
    if class.repeatable && class.priority == Priority::Protected && class.methods.iter().any(|method| method == "POST")
    {
        let problem = "a protected call by POST may run more than once";
        report.warning(&locations.repeatable, problem, "set repeatable to false unless running the call twice is safe");
    }
    let only_reads =
        !class.methods.is_empty() && class.methods.iter().all(|method| method == "GET" || method == "HEAD");
    if !class.repeatable && only_reads {
        let problem = "read-only calls are marked as not repeatable";
        report.warning(&locations.repeatable, problem, "set repeatable to true unless a GET changes something");
    }
    if !class.repeatable && class.large_answers {
        let problem = "the large answer of a call that is not repeatable can't be recorded for replay";
        report.warning(&locations.large_answers, problem, "put downloads into a class of their own");
    }
}
