//! Turns a JSON text into a tree of values with their places.
//!
//! The text is read twice: by `serde_json`, which accepts strict JSON only and bounds the depth, and by `jsonc-parser`,
//! which keeps the places but would also accept quotes and numbers that other JSON readers refuse.

use derive_more::{Display, Error};
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{parse_to_ast, CollectOptions, ParseOptions};

use super::{Entry, Node, Origin, Value};
use crate::text::LineIndex;

/// Why a text is no JSON document, and the byte offset at which that shows.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{problem}")]
pub(crate) struct JsonError {
    pub(crate) offset: usize,
    pub(crate) problem: String,
}

/// Parses `text` as strict JSON.
///
/// # Errors
///
/// Returns the first place at which the text is no JSON.
pub(crate) fn parse(text: &str, lines: &LineIndex) -> Result<Node, JsonError> {
    check_strictly(text, lines)?;
    let options =
        ParseOptions { allow_comments: false, allow_loose_object_property_names: false, allow_trailing_commas: false };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options)
        .map_err(|error| JsonError { offset: error.range().start, problem: error.kind().to_string() })?;
    let value = parsed.value.ok_or_else(|| JsonError { offset: 0, problem: "the text is empty".to_string() })?;
    Ok(node(&value))
}

fn check_strictly(text: &str, lines: &LineIndex) -> Result<(), JsonError> {
    let checked: Result<serde_json::Value, serde_json::Error> = serde_json::from_str(text);
    checked.map(|_| ()).map_err(|error| {
        let problem = error.to_string();
        let end = problem.find(" at line ").unwrap_or(problem.len());
        JsonError { offset: lines.offset(error.line(), error.column()), problem: problem[..end].to_string() }
    })
}

fn node(value: &ast::Value<'_>) -> Node {
    let origin = Origin::Offset(value.range().start);
    let value = match value {
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::BooleanLit(boolean) => Value::Boolean(boolean.value),
        ast::Value::NumberLit(number) => number_value(number.value),
        ast::Value::StringLit(text) => Value::Text(text.value.to_string()),
        ast::Value::Array(array) => Value::List(array.elements.iter().map(node).collect()),
        ast::Value::Object(object) => Value::Table(object.properties.iter().map(entry).collect()),
    };
    Node { origin, value }
}

fn number_value(text: &str) -> Value {
    text.parse().map_or_else(|_| Value::Fraction(text.to_string()), Value::Integer)
}

fn entry(property: &ast::ObjectProp<'_>) -> Entry {
    Entry {
        key: property.name.as_str().to_string(),
        key_origin: Origin::Offset(property.name.range().start),
        node: node(&property.value),
    }
}
