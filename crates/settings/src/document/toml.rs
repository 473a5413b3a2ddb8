//! Turns a TOML text into a tree of values with their places.

use std::ops::Range;

use toml_edit::{ImDocument, InlineTable, Item, Key, Table, TomlError};

use super::{Entry, Node, Origin, Value};

/// Parses `text`.
///
/// # Errors
///
/// Returns the first place at which the text is no TOML.
pub(crate) fn parse(text: &str) -> Result<Node, TomlError> {
    let document = ImDocument::parse(text)?;
    Ok(table_node(document.as_table(), Origin::Offset(0)))
}

fn origin(span: Option<Range<usize>>, fallback: &Origin) -> Origin {
    span.map_or_else(|| fallback.clone(), |span| Origin::Offset(span.start))
}

fn table_node(table: &Table, own: Origin) -> Node {
    let entries = keyed_items(table).map(|(key, item)| entry(key, item, &own)).collect();
    Node { origin: own, value: Value::Table(entries) }
}

/// The entries of a table with their keys' places, which the library's own iterator leaves out.
fn keyed_items(table: &Table) -> impl Iterator<Item = (&Key, &Item)> {
    table.iter().filter_map(|(name, _)| table.get_key_value(name))
}

fn inline_table_node(table: &InlineTable, own: Origin) -> Node {
    let keys = table.iter().filter_map(|(name, value)| Some((table.key(name)?, value)));
    let entries = keys
        .map(|(key, value)| {
            let key_origin = origin(key.span(), &own);
            let node = value_node(value, &key_origin);
            Entry { key: key.get().to_string(), key_origin, node }
        })
        .collect();
    Node { origin: own, value: Value::Table(entries) }
}

fn entry(key: &Key, item: &Item, parent: &Origin) -> Entry {
    let key_origin = origin(key.span(), parent);
    let node = item_node(item, &key_origin);
    Entry { key: key.get().to_string(), key_origin, node }
}

fn item_node(item: &Item, fallback: &Origin) -> Node {
    let own = origin(item.span(), fallback);
    match item {
        Item::None => Node { origin: own, value: Value::Null },
        Item::Value(value) => value_node(value, fallback),
        Item::Table(table) => table_node(table, own),
        Item::ArrayOfTables(tables) => {
            let nodes = tables.iter().map(|table| table_node(table, origin(table.span(), &own))).collect();
            Node { origin: own, value: Value::List(nodes) }
        }
    }
}

fn value_node(value: &toml_edit::Value, fallback: &Origin) -> Node {
    let own = origin(value.span(), fallback);
    let value = match value {
        toml_edit::Value::String(text) => Value::Text(text.value().clone()),
        toml_edit::Value::Integer(number) => Value::Integer(i128::from(*number.value())),
        toml_edit::Value::Float(number) => Value::Fraction(number.value().to_string()),
        toml_edit::Value::Boolean(boolean) => Value::Boolean(*boolean.value()),
        toml_edit::Value::Datetime(_) => Value::Date,
        toml_edit::Value::Array(array) => Value::List(array.iter().map(|item| value_node(item, &own)).collect()),
        toml_edit::Value::InlineTable(table) => return inline_table_node(table, own),
    };
    Node { origin: own, value }
}
