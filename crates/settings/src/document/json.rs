//! Parses JSON into a tree of values with their origins.
//!
//! The text is parsed twice. `serde_json` accepts only strict JSON and limits the nesting depth, but keeps no
//! positions. `jsonc-parser` keeps the positions, but also accepts quotes and numbers that other JSON parsers reject.

use derive_more::{Display, Error};
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{parse_to_ast, CollectOptions, ParseOptions};

use super::{TableEntry, Value, ValueNode, ValueOrigin};
use crate::text::LineIndex;

/// Why a text is not valid JSON, and the byte offset of the error.
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
/// Returns the first syntax error.
pub(crate) fn parse(text: &str, line_index: &LineIndex) -> Result<ValueNode, JsonError> {
    check_strict_json(text, line_index)?;
    let options =
        ParseOptions { allow_comments: false, allow_loose_object_property_names: false, allow_trailing_commas: false };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options)
        .map_err(|error| JsonError { offset: error.range().start, problem: error.kind().to_string() })?;
    let value = parsed.value.ok_or_else(|| JsonError { offset: 0, problem: "the text is empty".to_string() })?;
    Ok(node(&value))
}

fn check_strict_json(text: &str, line_index: &LineIndex) -> Result<(), JsonError> {
    let checked: Result<serde_json::Value, serde_json::Error> = serde_json::from_str(text);
    checked.map(|_| ()).map_err(|error| {
        let problem = error.to_string();
        let end = problem.find(" at line ").unwrap_or(problem.len());
        JsonError { offset: line_index.offset(error.line(), error.column()), problem: problem[..end].to_string() }
    })
}

fn node(value: &ast::Value<'_>) -> ValueNode {
    let origin = ValueOrigin::Offset(value.range().start);
    let value = match value {
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::BooleanLit(boolean) => Value::Boolean(boolean.value),
        ast::Value::NumberLit(number) => number_value(number.value),
        ast::Value::StringLit(text) => Value::String(text.value.to_string()),
        ast::Value::Array(array) => Value::Array(array.elements.iter().map(node).collect()),
        ast::Value::Object(object) => Value::Table(object.properties.iter().map(entry).collect()),
    };
    ValueNode { origin, value }
}

fn number_value(text: &str) -> Value {
    text.parse().map_or_else(|_| Value::NonInteger(text.to_string()), Value::Integer)
}

fn entry(property: &ast::ObjectProp<'_>) -> TableEntry {
    TableEntry {
        key: property.name.as_str().to_string(),
        key_origin: ValueOrigin::Offset(property.name.range().start),
        node: node(&property.value),
    }
}
