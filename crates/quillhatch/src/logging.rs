//! Sets up logging to standard error: each record is one JSON object or one line of text.

use std::fmt;

use fern::Dispatch;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record, SetLoggerError};
use quillhatch_settings::node_settings::{LogFormat, LogSettings};
use serde_json::Map;

/// The log targets of libraries that write a line for each request, which are disabled; this program counts requests
/// instead.
const SILENCED_TARGETS: [&str; 6] = ["rocket", "_", "hyper", "hyper_util", "reqwest", "rocket_http"];

/// Sets up logging for the process.
///
/// # Errors
///
/// Returns an error if the process already has a logger.
pub fn set_up(settings: &LogSettings) -> Result<(), SetLoggerError> {
    let format = settings.format;
    let base = Dispatch::new().level(settings.level);
    let filtered = SILENCED_TARGETS.iter().fold(base, |dispatch, target| dispatch.level_for(*target, LevelFilter::Off));
    let formatted = filtered.format(move |out, message, record| match format {
        LogFormat::Json => out.finish(format_args!("{}", json_line(message, record))),
        LogFormat::Text => out.finish(format_args!("{}", text_line(message, record))),
    });
    formatted.chain(std::io::stderr()).apply()
}

fn json_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = Map::new();
    line.insert("time".to_owned(), current_time().into());
    line.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    line.insert("target".to_owned(), record.target().into());
    line.insert("message".to_owned(), message.to_string().into());
    let mut fields = FieldCollector(Map::new());
    // Collecting into a map cannot fail.
    let _ = record.key_values().visit(&mut fields);
    for (key, value) in fields.0 {
        line.entry(key).or_insert(value);
    }
    serde_json::Value::Object(line).to_string()
}

fn text_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut fields = FieldCollector(Map::new());
    // Collecting into a map cannot fail.
    let _ = record.key_values().visit(&mut fields);
    let fields: String = fields.0.iter().map(|(key, value)| format!(" {key}={value}")).collect();
    format!("{} {:5} {}: {message}{fields}", current_time(), record.level(), record.target())
}

fn current_time() -> String {
    humantime::format_rfc3339_millis(std::time::SystemTime::now()).to_string()
}

/// Collects the key-value pairs of a record.
struct FieldCollector(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(boolean) = value.to_bool() {
            boolean.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
