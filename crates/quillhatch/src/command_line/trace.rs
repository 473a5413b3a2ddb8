//! `quillhatch trace`: prints the log lines about a request from collected logs.

use std::io::{BufRead, BufReader};

use getopts::Options;
use serde_json::Value;

use super::{ExitStatus, OutputStreams, UsageError};

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options
}

/// Runs the command.
pub fn run(arguments: &[String], streams: &mut OutputStreams<'_>) -> Result<ExitStatus, UsageError> {
    let options = options();
    let matches = options.parse(arguments).map_err(|error| UsageError::new(error.to_string()))?;
    if matches.opt_present("help") {
        let brief = "Usage: quillhatch trace ID [FILE ...]\n\nPrints the lines about a request and about the calls made for it, \
                     in the order of the hops, from log files or standard input.";
        streams.print(options.usage(brief));
        return Ok(ExitStatus::Done);
    }
    let Some((id, files)) = matches.free.split_first() else {
        return Err(UsageError::new("the request's id is missing"));
    };
    let mut lines = Vec::new();
    if files.is_empty() {
        collect(id, BufReader::new(std::io::stdin()), &mut lines);
    }
    for file in files {
        match std::fs::File::open(file) {
            Ok(opened) => collect(id, BufReader::new(opened), &mut lines),
            Err(error) => {
                streams.print_error(format!("{file}: {error}"));
                return Ok(ExitStatus::Failed);
            }
        }
    }
    for line in sort_and_format(lines) {
        streams.print(line);
    }
    Ok(ExitStatus::Done)
}

/// Adds the lines about the request `id` to `matching`. Text before a line's JSON object, such as a prefix of a log collector,
/// is skipped, and so are lines without a valid object.
fn collect(id: &str, input: impl BufRead, matching: &mut Vec<Value>) {
    let lines = input.lines().map_while(Result::ok);
    let objects = lines.filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok());
    matching.extend(objects.filter(|object: &Value| object["id"].as_str().is_some_and(|line_id| line_id.contains(id))));
}

/// Formats each log line as one line of text. A request precedes the calls made for it; at each hop, the gate's line precedes
/// the lines of the edge that received its answer.
fn sort_and_format(mut lines: Vec<Value>) -> Vec<String> {
    let order = |line: &Value| {
        let id = line["id"].as_str().unwrap_or_default().to_owned();
        let step = match line["event"].as_str().unwrap_or_default() {
            "gate" => 0,
            "attempt-failed" => 1,
            _ => 2,
        };
        (id.len(), id, step)
    };
    lines.sort_by_key(order);
    lines.iter().map(format_line).collect()
}

fn format_line(line: &Value) -> String {
    let field = |name: &str| match &line[name] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let leading_fields = ["id", "event", "node"];
    let rest = line.as_object().into_iter().flatten().filter(|(name, _)| !leading_fields.contains(&name.as_str()));
    let rest: Vec<String> = rest.map(|(name, value)| format!("{name}={value}")).collect();
    format!("{} {} at {}: {}", field("id"), field("event"), field("node"), rest.join(" "))
}

#[cfg(test)]
mod tests;
