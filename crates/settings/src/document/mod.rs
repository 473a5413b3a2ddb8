//! One tree of values with their places for TOML and JSON alike.
//!
//! Both formats are turned into a [`Node`], so that the fields of either are read and checked by the same code.

pub(crate) mod json;
pub(crate) mod toml;

/// Where a value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The text, at this byte offset.
    Offset(usize),
    /// A command line flag, by its name.
    Flag(&'static str),
}

/// A value and where it came from.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    pub(crate) origin: Origin,
    pub(crate) value: Value,
}

/// A value of either format.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Null,
    Boolean(bool),
    Integer(i128),
    /// A number that is not whole, as it was written.
    Fraction(String),
    Text(String),
    List(Vec<Node>),
    Table(Vec<Entry>),
    /// A TOML date or time; no key takes one.
    Date,
}

/// One key of a table with its value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) key_origin: Origin,
    pub(crate) node: Node,
}

impl Value {
    /// What a finding calls a value of this kind.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Value::Null => "null",
            Value::Boolean(_) => "a boolean",
            Value::Integer(_) | Value::Fraction(_) => "a number",
            Value::Text(_) => "a text",
            Value::List(_) => "a list",
            Value::Table(_) => "a table",
            Value::Date => "a date",
        }
    }
}

impl Node {
    /// Sets the value at `path` to `text` given by `flag`, creating the tables on the way.
    ///
    /// Leaves the tree alone where something on the way is no table; reading it reports that.
    pub(crate) fn set(&mut self, path: &[&str], flag: &'static str, text: &str) {
        let origin = Origin::Flag(flag);
        let Some((first, rest)) = path.split_first() else {
            *self = Node { origin, value: Value::Text(text.to_string()) };
            return;
        };
        let Value::Table(entries) = &mut self.value else {
            return;
        };
        let position = entries.iter().position(|entry| entry.key == *first).unwrap_or_else(|| {
            let node = Node { origin: origin.clone(), value: Value::Table(Vec::new()) };
            entries.push(Entry { key: first.to_string(), key_origin: origin.clone(), node });
            entries.len() - 1
        });
        entries[position].node.set(rest, flag, text);
    }
}
