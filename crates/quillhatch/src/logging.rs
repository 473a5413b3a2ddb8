//! Sets up log lines: one JSON object or one line of text each, on the standard error stream.

use std::fmt;

use fern::Dispatch;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record, SetLoggerError};
use quillhatch_settings::node_settings::{LogFormat, LogSettings};
use serde_json::Map;

/// Libraries that write a line for each request; this program counts requests instead.
const QUIET_LIBRARIES: [&str; 6] = ["rocket", "_", "hyper", "hyper_util", "reqwest", "rocket_http"];

/// Sets up logging for the process.
///
/// # Errors
///
/// Returns an error if the process has a logger already.
pub fn set_up(settings: &LogSettings) -> Result<(), SetLoggerError> {
    let format = settings.format;
    let base = Dispatch::new().level(settings.level);
    let quiet = QUIET_LIBRARIES.iter().fold(base, |dispatch, library| dispatch.level_for(*library, LevelFilter::Off));
    let formatted = quiet.format(move |out, message, record| match format {
        LogFormat::Json => out.finish(format_args!("{}", json_line(message, record))),
        LogFormat::Text => out.finish(format_args!("{}", text_line(message, record))),
    });
    formatted.chain(std::io::stderr()).apply()
}

fn json_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = Map::new();
    line.insert("time".to_owned(), time().into());
    line.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    line.insert("target".to_owned(), record.target().into());
    line.insert("message".to_owned(), message.to_string().into());
    let mut fields = Fields(Map::new());
    // Collecting into a map cannot fail.
    let _ = record.key_values().visit(&mut fields);
    for (key, value) in fields.0 {
        line.entry(key).or_insert(value);
    }
    serde_json::Value::Object(line).to_string()
}

fn text_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    // Collecting into a map cannot fail.
    let _ = record.key_values().visit(&mut fields);
    let fields: String = fields.0.iter().map(|(key, value)| format!(" {key}={value}")).collect();
    format!("{} {:5} {}: {message}{fields}", time(), record.level(), record.target())
}

fn time() -> String {
    humantime::format_rfc3339_millis(std::time::SystemTime::now()).to_string()
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(truth) = value.to_bool() {
            truth.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
