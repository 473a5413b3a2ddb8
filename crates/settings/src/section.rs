//! Reads the fields of a table, each checked, and reports the keys that nobody asked for.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use crate::document::{Entry, Node, Value};
use crate::report::{Report, Spot};
use crate::suggestion::nearest;
use crate::units;

/// One value and the path to it.
#[derive(Clone, Debug)]
pub(crate) struct Field<'tree> {
    pub(crate) spot: Spot,
    node: &'tree Node,
}

/// A table whose fields are read one by one.
#[derive(Debug)]
pub(crate) struct Section<'tree> {
    pub(crate) spot: Spot,
    entries: BTreeMap<&'tree str, &'tree Entry>,
    known: BTreeSet<&'static str>,
}

impl<'tree> Field<'tree> {
    /// The whole document.
    pub(crate) fn root(node: &'tree Node) -> Self {
        Field { spot: Spot { path: String::new(), origin: node.origin.clone() }, node }
    }

    /// The value as a text.
    pub(crate) fn text(&self, report: &mut Report<'_>) -> Option<&'tree str> {
        match &self.node.value {
            Value::Text(text) => Some(text),
            _ => self.wrong_kind(report, "a text", "write it between double quotes"),
        }
    }

    /// The value as `true` or `false`.
    pub(crate) fn boolean(&self, report: &mut Report<'_>) -> Option<bool> {
        match self.node.value {
            Value::Boolean(boolean) => Some(boolean),
            _ => self.wrong_kind(report, "a boolean", "write true or false without quotes"),
        }
    }

    /// The value as a whole number in `range`.
    pub(crate) fn integer(&self, report: &mut Report<'_>, range: RangeInclusive<u64>) -> Option<u64> {
        let Value::Integer(number) = self.node.value else {
            return self.wrong_kind(report, "a whole number", "write it without quotes, fraction and exponent");
        };
        let accepted = u64::try_from(number).ok().filter(|number| range.contains(number));
        if accepted.is_none() {
            self.out_of_range(report, number, *range.start(), *range.end());
        }
        accepted
    }

    /// The value as a time in `range`.
    pub(crate) fn time(&self, report: &mut Report<'_>, range: RangeInclusive<Duration>) -> Option<Duration> {
        const ADVICE: &str = "write a number and its unit between quotes, such as \"250 ms\" or \"2 s\"";
        let time = self.with_unit(report, "a time with a unit", ADVICE, units::parse_duration)?;
        if range.contains(&time) {
            return Some(time);
        }
        let [time, start, end] = [time, *range.start(), *range.end()].map(units::render_duration);
        self.out_of_range(report, time, start, end);
        None
    }

    /// The value as a size in `range`, in bytes.
    pub(crate) fn size(&self, report: &mut Report<'_>, range: RangeInclusive<u64>) -> Option<u64> {
        const ADVICE: &str = "write a number and its unit between quotes, such as \"64 KiB\" or \"10 MiB\"";
        let size = self.with_unit(report, "a size with a unit", ADVICE, units::parse_size)?;
        if range.contains(&size) {
            return Some(size);
        }
        let [size, start, end] = [size, *range.start(), *range.end()].map(units::render_size);
        self.out_of_range(report, size, start, end);
        None
    }

    /// The value as one of the `words`, each with what it stands for.
    pub(crate) fn choice<T: Copy>(&self, report: &mut Report<'_>, words: &[(&'static str, T)]) -> Option<T> {
        let text = self.text(report)?;
        if let Some((_, meaning)) = words.iter().find(|(word, _)| *word == text) {
            return Some(*meaning);
        }
        let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let advice = match nearest(text, known.iter().copied()) {
            Some(word) => format!("did you mean {word:?}?"),
            None => format!("write one of {}", known.join(", ")),
        };
        report.error(&self.spot, format!("{text:?} is not known here"), advice);
        None
    }

    /// The value as a text that `parse` accepts.
    pub(crate) fn parsed<T, E: Display>(
        &self,
        report: &mut Report<'_>,
        advice: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let text = self.text(report)?;
        let parsed = parse(text);
        if let Err(error) = &parsed {
            report.error(&self.spot, format!("{text:?} is not accepted: {error}"), advice);
        }
        parsed.ok()
    }

    /// The value as a name.
    pub(crate) fn name<T, E: Display>(
        &self,
        report: &mut Report<'_>,
        new: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        self.parsed(report, "choose a name of up to 64 letters, digits, '-', '_' and '.'", new)
    }

    /// The value as an IP address and a port that is not zero.
    pub(crate) fn address(&self, report: &mut Report<'_>) -> Option<SocketAddr> {
        let address = self.parsed(report, "write an IP address and a port, such as \"127.0.0.1:7001\"", |text| {
            SocketAddr::from_str(text)
        })?;
        if address.port() == 0 {
            report.error(&self.spot, "the port must not be zero", "choose a port from 1 to 65535");
            return None;
        }
        Some(address)
    }

    /// The value as an address at which others reach a process.
    pub(crate) fn reachable_address(&self, report: &mut Report<'_>) -> Option<SocketAddr> {
        let address = self.address(report)?;
        if address.ip().is_unspecified() || address.ip().is_multicast() {
            let problem = format!("{address} is no address at which a process can be reached");
            report.error(&self.spot, problem, "write the machine's own IP address, or 127.0.0.1 on one machine");
            return None;
        }
        Some(address)
    }

    /// The items of the value as a list.
    pub(crate) fn items(&self, report: &mut Report<'_>) -> Vec<Field<'tree>> {
        let Value::List(nodes) = &self.node.value else {
            self.wrong_kind::<()>(report, "a list", "write the values between square brackets");
            return Vec::new();
        };
        let path = |index: usize| format!("{}[{index}]", self.spot.path);
        let field = |(index, node): (usize, &'tree Node)| Field {
            spot: Spot { path: path(index), origin: node.origin.clone() },
            node,
        };
        nodes.iter().enumerate().map(field).collect()
    }

    /// The names and values of a table whose keys are chosen by the user; a name that is given twice is reported.
    pub(crate) fn members(&self, report: &mut Report<'_>) -> Vec<(&'tree str, Spot, Field<'tree>)> {
        let section = Section::open(report, self);
        let member = |(name, entry): (&'tree str, &'tree Entry)| {
            let path = join(&self.spot.path, name);
            let name_spot = Spot { path: path.clone(), origin: entry.key_origin.clone() };
            let field = Field { spot: Spot { path, origin: entry.node.origin.clone() }, node: &entry.node };
            (name, name_spot, field)
        };
        section.into_iter().flat_map(|section| section.entries).map(member).collect()
    }

    fn with_unit<T, E: Display>(
        &self,
        report: &mut Report<'_>,
        wanted: &str,
        advice: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        if !matches!(self.node.value, Value::Text(_)) {
            return self.wrong_kind(report, wanted, advice);
        }
        self.parsed(report, advice, parse)
    }

    fn wrong_kind<T>(&self, report: &mut Report<'_>, wanted: &str, advice: &str) -> Option<T> {
        report.error(&self.spot, format!("expected {wanted}, found {}", self.node.value.kind()), advice);
        None
    }

    fn out_of_range<T: Display>(&self, report: &mut Report<'_>, value: impl Display, start: T, end: T) {
        report.error(&self.spot, format!("{value} is out of range"), format!("choose a value from {start} to {end}"));
    }
}

impl<'tree> Section<'tree> {
    /// Opens the table that `field` holds; reports another kind of value and keys that are given twice.
    pub(crate) fn open(report: &mut Report<'_>, field: &Field<'tree>) -> Option<Self> {
        let Value::Table(list) = &field.node.value else {
            return field.wrong_kind(report, "a table", "write it as a table of keys and values");
        };
        let mut entries: BTreeMap<&str, &Entry> = BTreeMap::new();
        for entry in list {
            if entries.insert(&entry.key, entry).is_some() {
                let spot = Spot { path: join(&field.spot.path, &entry.key), origin: entry.key_origin.clone() };
                report.error(&spot, "the key is given twice", "remove one of the two");
            }
        }
        Some(Section { spot: field.spot.clone(), entries, known: BTreeSet::new() })
    }

    /// The table under `key`, or an empty one where it is missing or no table, which is reported.
    pub(crate) fn subsection(&mut self, report: &mut Report<'_>, key: &'static str) -> Section<'tree> {
        let opened = self.take(key).and_then(|field| Section::open(report, &field));
        opened.unwrap_or_else(|| Section { spot: self.spot(key), entries: BTreeMap::new(), known: BTreeSet::new() })
    }

    /// The value of `key`, if it is given.
    pub(crate) fn take(&mut self, key: &'static str) -> Option<Field<'tree>> {
        self.known.insert(key);
        let entry = self.entries.get(key)?;
        Some(Field { spot: self.spot(key), node: &entry.node })
    }

    /// The value of `key`; reports that it is missing.
    pub(crate) fn require(&mut self, report: &mut Report<'_>, key: &'static str) -> Option<Field<'tree>> {
        let field = self.take(key);
        if field.is_none() {
            report.error(&self.spot(key), "the key is missing", format!("add {key}; it has no default"));
        }
        field
    }

    /// The items of the list under `key`, or none if it is not given.
    pub(crate) fn list(&mut self, report: &mut Report<'_>, key: &'static str) -> Vec<Field<'tree>> {
        self.take(key).map(|field| field.items(report)).unwrap_or_default()
    }

    /// What `read` makes of `key`, or `default` if it is not given or was reported.
    pub(crate) fn optional<T>(
        &mut self,
        report: &mut Report<'_>,
        key: &'static str,
        default: T,
        read: impl FnOnce(&Field<'tree>, &mut Report<'_>) -> Option<T>,
    ) -> T {
        self.take(key).and_then(|field| read(&field, report)).unwrap_or(default)
    }

    /// Where the value of `key` is, or the table if it is not given.
    pub(crate) fn spot(&self, key: &str) -> Spot {
        let origin = self.entries.get(key).map_or(&self.spot.origin, |entry| &entry.node.origin);
        Spot { path: join(&self.spot.path, key), origin: origin.clone() }
    }

    /// Reports the keys that were never asked for.
    pub(crate) fn finish(self, report: &mut Report<'_>) {
        for (key, entry) in &self.entries {
            if self.known.contains(key) {
                continue;
            }
            let advice = match nearest(key, self.known.iter().copied()) {
                Some(known) => format!("did you mean {known:?}?"),
                None => format!("remove it; known here: {}", Vec::from_iter(self.known.iter().copied()).join(", ")),
            };
            let spot = Spot { path: join(&self.spot.path, key), origin: entry.key_origin.clone() };
            report.error(&spot, format!("the key {key:?} is not known"), advice);
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_string();
    }
    format!("{path}.{key}")
}
