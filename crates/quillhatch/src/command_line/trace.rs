//! The command `trace`: a request's story from collected logs.

use std::io::{BufRead, BufReader};

use getopts::Options;
use serde_json::Value;

use super::{ExitStatus, OutputStreams, UsageError};

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "tell how the command is used");
    options
}

/// Runs the command with its arguments.
pub fn run(arguments: &[String], streams: &mut OutputStreams<'_>) -> Result<ExitStatus, UsageError> {
    let options = options();
    let given = options.parse(arguments).map_err(|error| UsageError::new(error.to_string()))?;
    if given.opt_present("help") {
        let brief = "Usage: quillhatch trace ID [FILE ...]\n\nPrints the lines about a request and about the calls made for it, \
                     in the order of the hops, from log files or standard input.";
        streams.print(options.usage(brief));
        return Ok(ExitStatus::Done);
    }
    let Some((id, files)) = given.free.split_first() else {
        return Err(UsageError::new("no request's id is given"));
    };
    let mut found = Vec::new();
    if files.is_empty() {
        collect(id, BufReader::new(std::io::stdin()), &mut found);
    }
    for file in files {
        match std::fs::File::open(file) {
            Ok(opened) => collect(id, BufReader::new(opened), &mut found),
            Err(error) => {
                streams.complain(format!("{file}: {error}"));
                return Ok(ExitStatus::Failed);
            }
        }
    }
    for line in story(found) {
        streams.print(line);
    }
    Ok(ExitStatus::Done)
}

/// Collects the lines about a request; text before a line's JSON object, as collectors add it, is passed over.
fn collect(id: &str, input: impl BufRead, found: &mut Vec<Value>) {
    let lines = input.lines().map_while(Result::ok);
    let objects = lines.filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok());
    found.extend(objects.filter(|object: &Value| object["id"].as_str().is_some_and(|known| known.contains(id))));
}

/// One line each: calls made for a request behind it, and at each hop the gate before the edge that heard of it.
fn story(mut found: Vec<Value>) -> Vec<String> {
    let order = |line: &Value| {
        let id = line["id"].as_str().unwrap_or_default().to_owned();
        let step = match line["event"].as_str().unwrap_or_default() {
            "gate" => 0,
            "attempt-failed" => 1,
            _ => 2,
        };
        (id.len(), id, step)
    };
    found.sort_by_key(order);
    found.iter().map(describe).collect()
}

fn describe(line: &Value) -> String {
    let field = |name: &str| match &line[name] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let told = ["id", "event", "node"];
    let rest = line.as_object().into_iter().flatten().filter(|(name, _)| !told.contains(&name.as_str()));
    let rest: Vec<String> = rest.map(|(name, value)| format!("{name}={value}")).collect();
    format!("{} {} at {}: {}", field("id"), field("event"), field("node"), rest.join(" "))
}

#[cfg(test)]
mod tests;
