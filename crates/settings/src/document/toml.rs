//! Parses TOML into a tree of values with their origins.

use std::ops::Range;

use toml_edit::{ImDocument, InlineTable, Item, Key, Table, TomlError};

use super::{TableEntry, Value, ValueNode, ValueOrigin};

/// Parses `text` as TOML.
///
/// # Errors
///
/// Returns the first syntax error.
pub(crate) fn parse(text: &str) -> Result<ValueNode, TomlError> {
    let document = ImDocument::parse(text)?;
    Ok(table_node(document.as_table(), ValueOrigin::Offset(0)))
}

fn span_origin(span: Option<Range<usize>>, fallback: &ValueOrigin) -> ValueOrigin {
    span.map_or_else(|| fallback.clone(), |span| ValueOrigin::Offset(span.start))
}

fn table_node(table: &Table, own_origin: ValueOrigin) -> ValueNode {
    let entries = keyed_items(table).map(|(key, item)| entry(key, item, &own_origin)).collect();
    ValueNode { origin: own_origin, value: Value::Table(entries) }
}

/// The keys and items of a table. Unlike [`Table::iter`], it yields [`Key`]s, which have the span of the key.
fn keyed_items(table: &Table) -> impl Iterator<Item = (&Key, &Item)> {
    table.iter().filter_map(|(name, _)| table.get_key_value(name))
}

fn inline_table_node(table: &InlineTable, own_origin: ValueOrigin) -> ValueNode {
    let keys = table.iter().filter_map(|(name, value)| Some((table.key(name)?, value)));
    let entries = keys
        .map(|(key, value)| {
            let key_origin = span_origin(key.span(), &own_origin);
            let node = value_node(value, &key_origin);
            TableEntry { key: key.get().to_string(), key_origin, node }
        })
        .collect();
    ValueNode { origin: own_origin, value: Value::Table(entries) }
}

fn entry(key: &Key, item: &Item, parent: &ValueOrigin) -> TableEntry {
    let key_origin = span_origin(key.span(), parent);
    let node = item_node(item, &key_origin);
    TableEntry { key: key.get().to_string(), key_origin, node }
}

fn item_node(item: &Item, fallback: &ValueOrigin) -> ValueNode {
    let own_origin = span_origin(item.span(), fallback);
    match item {
        Item::None => ValueNode { origin: own_origin, value: Value::Null },
        Item::Value(value) => value_node(value, fallback),
        Item::Table(table) => table_node(table, own_origin),
        Item::ArrayOfTables(tables) => {
            let nodes = tables.iter().map(|table| table_node(table, span_origin(table.span(), &own_origin))).collect();
            ValueNode { origin: own_origin, value: Value::Array(nodes) }
        }
    }
}

fn value_node(value: &toml_edit::Value, fallback: &ValueOrigin) -> ValueNode {
    let own_origin = span_origin(value.span(), fallback);
    let value = match value {
        toml_edit::Value::String(text) => Value::String(text.value().clone()),
        toml_edit::Value::Integer(number) => Value::Integer(i128::from(*number.value())),
        toml_edit::Value::Float(number) => Value::NonInteger(number.value().to_string()),
        toml_edit::Value::Boolean(boolean) => Value::Boolean(*boolean.value()),
        toml_edit::Value::Datetime(_) => Value::Datetime,
        toml_edit::Value::Array(array) => {
            Value::Array(array.iter().map(|item| value_node(item, &own_origin)).collect())
        }
        toml_edit::Value::InlineTable(table) => return inline_table_node(table, own_origin),
    };
    ValueNode { origin: own_origin, value }
}
