//! A tree of values with their origins, common to TOML and JSON.
//!
//! Both formats are parsed into a [`ValueNode`], so that the same code reads and checks the fields of both.

pub(crate) mod json;
pub(crate) mod toml;

/// The origin of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ValueOrigin {
    /// The byte offset of the value in the input.
    Offset(usize),
    /// The name of a command line flag, without the leading dashes.
    Flag(&'static str),
}

/// A value and its origin.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ValueNode {
    pub(crate) origin: ValueOrigin,
    pub(crate) value: Value,
}

/// A value of TOML or JSON.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Value {
    Null,
    Boolean(bool),
    Integer(i128),
    /// The text of a number that is not an integer.
    NonInteger(String),
    String(String),
    Array(Vec<ValueNode>),
    Table(Vec<TableEntry>),
    /// A TOML date or time, which no key accepts.
    Datetime,
}

/// A key of a table and its value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TableEntry {
    pub(crate) key: String,
    pub(crate) key_origin: ValueOrigin,
    pub(crate) node: ValueNode,
}

impl Value {
    /// The name of the value's type in findings.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Value::Null => "null",
            Value::Boolean(_) => "a boolean",
            Value::Integer(_) | Value::NonInteger(_) => "a number",
            Value::String(_) => "a string",
            Value::Array(_) => "an array",
            Value::Table(_) => "a table",
            Value::Datetime => "a date or time",
        }
    }
}

impl ValueNode {
    /// Sets the value at `path` to the string that `flag` gives, and creates missing tables on the way.
    ///
    /// Does nothing if a value on the way is not a table; reading that value reports the error.
    pub(crate) fn set(&mut self, path: &[&str], flag: &'static str, text: &str) {
        let origin = ValueOrigin::Flag(flag);
        let Some((first, rest)) = path.split_first() else {
            *self = ValueNode { origin, value: Value::String(text.to_string()) };
            return;
        };
        let Value::Table(entries) = &mut self.value else {
            return;
        };
        let position = entries.iter().position(|entry| entry.key == *first).unwrap_or_else(|| {
            let node = ValueNode { origin: origin.clone(), value: Value::Table(Vec::new()) };
            entries.push(TableEntry { key: first.to_string(), key_origin: origin.clone(), node });
            entries.len() - 1
        });
        entries[position].node.set(rest, flag, text);
    }
}
