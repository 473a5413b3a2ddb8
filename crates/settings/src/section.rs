//! Reads and checks the fields of a table, and reports unknown keys.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use crate::document::{TableEntry, Value, ValueNode};
use crate::report::{Report, ValueLocation};
use crate::suggestion::nearest_word;
use crate::units;

/// A value of the document and its location. The methods convert it to a type and report an error if that fails.
#[derive(Clone, Debug)]
pub(crate) struct Field<'tree> {
    pub(crate) location: ValueLocation,
    node: &'tree ValueNode,
}

/// A table whose fields are read key by key.
///
/// It records which keys were requested, so that [`Section::finish`] can report all others as unknown.
#[derive(Debug)]
pub(crate) struct Section<'tree> {
    pub(crate) location: ValueLocation,
    entries: BTreeMap<&'tree str, &'tree TableEntry>,
    known_keys: BTreeSet<&'static str>,
}

impl<'tree> Field<'tree> {
    /// The field of the whole document.
    pub(crate) fn root(node: &'tree ValueNode) -> Self {
        Field { location: ValueLocation { path: String::new(), origin: node.origin.clone() }, node }
    }

    /// The value as a string.
    pub(crate) fn string(&self, report: &mut Report<'_>) -> Option<&'tree str> {
        match &self.node.value {
            Value::String(text) => Some(text),
            _ => self.report_wrong_kind(report, "a string", "write it between double quotes"),
        }
    }

    /// The value as `true` or `false`.
    pub(crate) fn boolean(&self, report: &mut Report<'_>) -> Option<bool> {
        match self.node.value {
            Value::Boolean(boolean) => Some(boolean),
            _ => self.report_wrong_kind(report, "a boolean", "write true or false without quotes"),
        }
    }

    /// The value as an integer in `range`.
    pub(crate) fn integer(&self, report: &mut Report<'_>, range: RangeInclusive<u64>) -> Option<u64> {
        let Value::Integer(number) = self.node.value else {
            return self.report_wrong_kind(report, "an integer", "write it without quotes, fraction and exponent");
        };
        let accepted = u64::try_from(number).ok().filter(|number| range.contains(number));
        if accepted.is_none() {
            self.report_out_of_range(report, number, *range.start(), *range.end());
        }
        accepted
    }

    /// The value as a duration in `range`.
    pub(crate) fn duration(&self, report: &mut Report<'_>, range: RangeInclusive<Duration>) -> Option<Duration> {
        const ADVICE: &str = "write a number and its unit between quotes, such as \"250 ms\" or \"2 s\"";
        let duration = self.parse_with_unit(report, "a duration with a unit", ADVICE, units::parse_duration)?;
        if range.contains(&duration) {
            return Some(duration);
        }
        let [duration, start, end] = [duration, *range.start(), *range.end()].map(units::render_duration);
        self.report_out_of_range(report, duration, start, end);
        None
    }

    /// The value as a size in `range`, in bytes.
    pub(crate) fn size(&self, report: &mut Report<'_>, range: RangeInclusive<u64>) -> Option<u64> {
        const ADVICE: &str = "write a number and its unit between quotes, such as \"64 KiB\" or \"10 MiB\"";
        let size = self.parse_with_unit(report, "a size with a unit", ADVICE, units::parse_size)?;
        if range.contains(&size) {
            return Some(size);
        }
        let [size, start, end] = [size, *range.start(), *range.end()].map(units::render_size);
        self.report_out_of_range(report, size, start, end);
        None
    }

    /// The value as one of the `words`, converted to the value that is paired with the word.
    pub(crate) fn choice<T: Copy>(&self, report: &mut Report<'_>, words: &[(&'static str, T)]) -> Option<T> {
        let text = self.string(report)?;
        if let Some((_, value)) = words.iter().find(|(word, _)| *word == text) {
            return Some(*value);
        }
        let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let advice = match nearest_word(text, known.iter().copied()) {
            Some(word) => format!("did you mean {word:?}?"),
            None => format!("write one of {}", known.join(", ")),
        };
        report.error(&self.location, format!("{text:?} is not a known value"), advice);
        None
    }

    /// The value as a string, converted by `parse`.
    pub(crate) fn parse_with<T, E: Display>(
        &self,
        report: &mut Report<'_>,
        advice: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let text = self.string(report)?;
        let parsed = parse(text);
        if let Err(error) = &parsed {
            report.error(&self.location, format!("{text:?} is not accepted: {error}"), advice);
        }
        parsed.ok()
    }

    /// The value as a name, converted by the constructor `new`.
    pub(crate) fn name<T, E: Display>(
        &self,
        report: &mut Report<'_>,
        new: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        self.parse_with(report, "choose a name of up to 64 letters, digits, '-', '_' and '.'", new)
    }

    /// The value as an IP address and a nonzero port.
    pub(crate) fn address(&self, report: &mut Report<'_>) -> Option<SocketAddr> {
        let address =
            self.parse_with(report, "write an IP address and a port, such as \"127.0.0.1:7001\"", |text| {
                SocketAddr::from_str(text)
            })?;
        if address.port() == 0 {
            report.error(&self.location, "the port must not be zero", "choose a port from 1 to 65535");
            return None;
        }
        Some(address)
    }

    /// The value as an address that other processes can connect to: neither a wildcard nor a multicast address.
    pub(crate) fn reachable_address(&self, report: &mut Report<'_>) -> Option<SocketAddr> {
        let address = self.address(report)?;
        if address.ip().is_unspecified() || address.ip().is_multicast() {
            let problem = format!("{address} is not an address at which a process can be reached");
            report.error(&self.location, problem, "write the machine's IP address, or 127.0.0.1 on one machine");
            return None;
        }
        Some(address)
    }

    /// The items of the value as an array; empty if it is not an array, which is reported.
    pub(crate) fn items(&self, report: &mut Report<'_>) -> Vec<Field<'tree>> {
        let Value::Array(nodes) = &self.node.value else {
            self.report_wrong_kind::<()>(report, "an array", "write the values between square brackets");
            return Vec::new();
        };
        let path = |index: usize| format!("{}[{index}]", self.location.path);
        let field = |(index, node): (usize, &'tree ValueNode)| Field {
            location: ValueLocation { path: path(index), origin: node.origin.clone() },
            node,
        };
        nodes.iter().enumerate().map(field).collect()
    }

    /// The keys of a table whose keys are chosen by the user, each with its location and its value. Duplicate keys are
    /// reported.
    pub(crate) fn members(&self, report: &mut Report<'_>) -> Vec<(&'tree str, ValueLocation, Field<'tree>)> {
        let section = Section::open(report, self);
        let member = |(name, entry): (&'tree str, &'tree TableEntry)| {
            let path = join_path(&self.location.path, name);
            let name_location = ValueLocation { path: path.clone(), origin: entry.key_origin.clone() };
            let field =
                Field { location: ValueLocation { path, origin: entry.node.origin.clone() }, node: &entry.node };
            (name, name_location, field)
        };
        section.into_iter().flat_map(|section| section.entries).map(member).collect()
    }

    fn parse_with_unit<T, E: Display>(
        &self,
        report: &mut Report<'_>,
        wanted: &str,
        advice: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        if !matches!(self.node.value, Value::String(_)) {
            return self.report_wrong_kind(report, wanted, advice);
        }
        self.parse_with(report, advice, parse)
    }

    fn report_wrong_kind<T>(&self, report: &mut Report<'_>, wanted: &str, advice: &str) -> Option<T> {
        report.error(&self.location, format!("expected {wanted}, found {}", self.node.value.kind()), advice);
        None
    }

    fn report_out_of_range<T: Display>(&self, report: &mut Report<'_>, value: impl Display, start: T, end: T) {
        report.error(
            &self.location,
            format!("{value} is out of range"),
            format!("choose a value from {start} to {end}"),
        );
    }
}

impl<'tree> Section<'tree> {
    /// Starts to read the table in `field`. A value that is not a table and duplicate keys are reported.
    pub(crate) fn open(report: &mut Report<'_>, field: &Field<'tree>) -> Option<Self> {
        let Value::Table(list) = &field.node.value else {
            return field.report_wrong_kind(report, "a table", "write it as a table of keys and values");
        };
        let mut entries: BTreeMap<&str, &TableEntry> = BTreeMap::new();
        for entry in list {
            if entries.insert(&entry.key, entry).is_some() {
                let location = ValueLocation {
                    path: join_path(&field.location.path, &entry.key),
                    origin: entry.key_origin.clone(),
                };
                report.error(&location, "the key is given twice", "remove one of the two");
            }
        }
        Some(Section { location: field.location.clone(), entries, known_keys: BTreeSet::new() })
    }

    /// The table under `key`, or an empty one if the key is missing or its value is not a table. Only the latter is
    /// reported.
    pub(crate) fn subsection(&mut self, report: &mut Report<'_>, key: &'static str) -> Section<'tree> {
        let opened = self.take(key).and_then(|field| Section::open(report, &field));
        opened.unwrap_or_else(|| Section {
            location: self.location_of(key),
            entries: BTreeMap::new(),
            known_keys: BTreeSet::new(),
        })
    }

    /// The value of `key`, if it is given.
    pub(crate) fn take(&mut self, key: &'static str) -> Option<Field<'tree>> {
        self.known_keys.insert(key);
        let entry = self.entries.get(key)?;
        Some(Field { location: self.location_of(key), node: &entry.node })
    }

    /// The value of `key`; a missing key is reported.
    pub(crate) fn require(&mut self, report: &mut Report<'_>, key: &'static str) -> Option<Field<'tree>> {
        let field = self.take(key);
        if field.is_none() {
            report.error(&self.location_of(key), "the key is missing", format!("add {key}; it has no default"));
        }
        field
    }

    /// The items of the array under `key`; empty if the key is missing.
    pub(crate) fn list(&mut self, report: &mut Report<'_>, key: &'static str) -> Vec<Field<'tree>> {
        self.take(key).map(|field| field.items(report)).unwrap_or_default()
    }

    /// The value of `key`, converted by `read`, or `default` if the key is missing or `read` reported an error.
    pub(crate) fn optional<T>(
        &mut self,
        report: &mut Report<'_>,
        key: &'static str,
        default: T,
        read: impl FnOnce(&Field<'tree>, &mut Report<'_>) -> Option<T>,
    ) -> T {
        self.take(key).and_then(|field| read(&field, report)).unwrap_or(default)
    }

    /// The location of the value of `key`, with the origin of the table if the key is missing.
    pub(crate) fn location_of(&self, key: &str) -> ValueLocation {
        let origin = self.entries.get(key).map_or(&self.location.origin, |entry| &entry.node.origin);
        ValueLocation { path: join_path(&self.location.path, key), origin: origin.clone() }
    }

    /// Reports the keys that were never requested.
    pub(crate) fn finish(self, report: &mut Report<'_>) {
        for (key, entry) in &self.entries {
            if self.known_keys.contains(key) {
                continue;
            }
            let advice = match nearest_word(key, self.known_keys.iter().copied()) {
                Some(known) => format!("did you mean {known:?}?"),
                None => {
                    format!("remove it; known keys: {}", Vec::from_iter(self.known_keys.iter().copied()).join(", "))
                }
            };
            let location =
                ValueLocation { path: join_path(&self.location.path, key), origin: entry.key_origin.clone() };
            report.error(&location, format!("the key {key:?} is not known"), advice);
        }
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_string();
    }
    format!("{path}.{key}")
}
