//! `load`: the load generator against any address.

use std::net::SocketAddr;
use std::time::Duration;

use bytesize::ByteSize;
use getopts::Options;
use quillhatch_standins::load::{Arrivals, LoadOptions, LoadSummary, RequestKind, TrafficShare};

use super::{output, runtime};
use crate::command_line::{Arguments, Command, CommandError, Verdict};
use crate::table::Table;

const DEFAULT_RATE: f64 = 100.0;
const DEFAULT_DURATION: Duration = Duration::from_secs(10);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_CONNECTIONS: usize = 100;

/// Makes calls at a fixed rate, checks every answer and prints how the calls ended.
pub struct Load;

impl Command for Load {
    fn name(&self) -> &'static str {
        "load"
    }

    fn summary(&self) -> &'static str {
        "make calls at a fixed rate and check every answer"
    }

    fn operands(&self) -> &'static str {
        "--target IP:PORT... [--lookup WEIGHT:PATH]... [--keyed WEIGHT:PATH]... [--download WEIGHT:PATH:SIZE]..."
    }

    fn declare(&self, options: &mut Options) {
        options.optmulti("", "target", "where calls go; several take turns", "IP:PORT");
        options.optopt("", "rate", "calls per second (default 100)", "N");
        options.optopt("", "duration", "for how long (default 10s)", "TIME");
        options.optopt("", "arrivals", "steady or poisson (default poisson)", "KIND");
        options.optmulti("", "lookup", "a share of small answers by GET", "WEIGHT:PATH");
        options.optmulti("", "keyed", "a share of POST calls under an Idempotency-Key", "WEIGHT:PATH");
        options.optmulti("", "download", "a share of files below the path", "WEIGHT:PATH:SIZE");
        options.optopt("", "retries", "repeats after a refusal or time-out, at once (default 0)", "N");
        options.optopt("", "timeout", "time after which a caller gives up an attempt (default 30s)", "TIME");
        options.optopt("", "connections", "idle connections kept to each target (default 100)", "N");
        options.optopt("", "seed", "the seed of arrivals and choices (default 1)", "N");
        options.optflag("", "json", "print the result as JSON");
    }

    fn run(&self, arguments: &Arguments) -> Result<Verdict, CommandError> {
        let options = load_options(arguments);
        arguments.limit_operands(0);
        arguments.check()?;
        let summary = runtime::block_on(async { Ok(quillhatch_standins::load::run(options).await?) })?;
        if arguments.has("json") {
            output::print_json(&summary)?;
        } else {
            println!("{}", render(&summary));
        }
        Ok(verdict(&summary))
    }
}

fn load_options(arguments: &Arguments) -> LoadOptions {
    let targets = arguments.all_parsed("target", str::parse::<SocketAddr>);
    if !arguments.has("target") {
        arguments.reject("--target", "is required");
    }
    let mut shares = arguments.all_parsed("lookup", |text| parse_share(text, RequestKind::Lookup));
    shares.extend(arguments.all_parsed("keyed", |text| parse_share(text, RequestKind::Keyed)));
    shares.extend(arguments.all_parsed("download", parse_download));
    if !["lookup", "keyed", "download"].iter().any(|name| arguments.has(name)) {
        arguments.reject("--lookup, --keyed, --download", "at least one share is required");
    }
    LoadOptions {
        targets,
        rate: arguments.positive("rate", DEFAULT_RATE),
        duration: arguments.duration("duration", DEFAULT_DURATION),
        arrivals: arguments.parsed("arrivals", parse_arrivals).unwrap_or(Arrivals::Poisson),
        shares,
        retries: arguments.value("retries", 0),
        timeout: arguments.duration("timeout", DEFAULT_TIMEOUT),
        connections: arguments.value("connections", DEFAULT_CONNECTIONS),
        seed: arguments.value("seed", 1),
    }
}

fn parse_arrivals(text: &str) -> Result<Arrivals, &'static str> {
    match text {
        "steady" => Ok(Arrivals::Steady),
        "poisson" => Ok(Arrivals::Poisson),
        _ => Err("expected steady or poisson"),
    }
}

fn parse_share(text: &str, kind: RequestKind) -> Result<TrafficShare, &'static str> {
    let (weight, path) = text.split_once(':').ok_or("expected WEIGHT:PATH, such as 9:/directory/people")?;
    let weight =
        weight.parse().ok().filter(|weight| *weight > 0).ok_or("the weight must be a whole number above zero")?;
    if !path.starts_with('/') {
        return Err("the path must start with a slash");
    }
    Ok(TrafficShare { kind, path: path.to_owned(), weight })
}

fn parse_download(text: &str) -> Result<TrafficShare, &'static str> {
    let (share, size) = text.rsplit_once(':').ok_or("expected WEIGHT:PATH:SIZE, such as 1:/archives:10MB")?;
    let size: ByteSize = size.parse().map_err(|_| "the size must be a number with a unit, such as 10MB")?;
    parse_share(share, RequestKind::Download { bytes: size.as_u64() })
}

fn render(summary: &LoadSummary) -> String {
    let mut table = Table::new(&["", "calls"]);
    let mut row = |name: &str, count: u64| table.push(vec![name.to_owned(), count.to_string()]);
    row("offered", summary.offered);
    row("whole", summary.whole);
    for (name, count) in &summary.refused {
        row(&format!("refused {name}"), *count);
    }
    row("timed out", summary.timed_out);
    row("broken visibly", summary.broken);
    row("partial (must be 0)", summary.partial);
    row("foreign (must be 0)", summary.foreign);
    row("attempts", summary.attempts);
    let latency = &summary.latency;
    let mut latencies = Table::new(&["latency of whole answers", "ms"]);
    for (name, value) in [
        ("50%", latency.p50),
        ("90%", latency.p90),
        ("99%", latency.p99),
        ("99.9%", latency.p999),
        ("longest", latency.maximum),
    ] {
        latencies.push(vec![name.to_owned(), format!("{value:.2}")]);
    }
    format!("{}\n{}", table.to_text(), latencies.to_text())
}

/// An answer that looks whole and is not breaks a promise, whatever else happened.
fn verdict(summary: &LoadSummary) -> Verdict {
    Verdict::of(summary.partial == 0 && summary.foreign == 0)
}
