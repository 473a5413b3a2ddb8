//! Converts a command line to an operator request.

use std::fmt::Display;
use std::str::FromStr;

use getopts::Matches;
use quillhatch_control::operator::{Intent, OperatorRequest};
use quillhatch_types::names::NameError;
use quillhatch_types::{ClassName, NodeAddress, PlanId, ServiceName, SiteName};

use super::options::{reject_free_arguments, required_value, Command};
use super::{OutputStreams, UsageError};

/// The commands that are sent to a node.
const COMMANDS: [&str; 7] = ["plan", "confirm", "cancel", "plans", "status", "explain", "accept-loss"];

/// The maximum percentage.
const MAX_PERCENT: u32 = 100;

/// Whether `name` is a command that is sent to a node.
pub fn is_command(name: &str) -> bool {
    COMMANDS.contains(&name)
}

/// A request and the options, which determine how it is sent.
pub struct ParsedRequest {
    /// The request.
    pub request: OperatorRequest,
    /// All options.
    pub matches: Matches,
}

/// Parses the arguments of the command `name`. If they ask for help, prints it and returns `None`.
///
/// # Errors
///
/// Returns an error if the arguments are invalid.
pub fn parse_request(
    name: &str,
    arguments: &[String],
    streams: &mut OutputStreams<'_>,
) -> Result<Option<ParsedRequest>, UsageError> {
    let Some(mut matches) = command(name).parse(arguments, streams)? else {
        return Ok(None);
    };
    let argument = if matches.free.is_empty() { None } else { Some(matches.free.remove(0)) };
    let request = match (name, argument) {
        ("plan", Some(kind)) => OperatorRequest::Plan { intent: parse_intent(&kind, &matches)? },
        ("plan", None) => return Err(UsageError::new("the kind of plan is missing: move, retire or retries")),
        ("confirm", Some(id)) => OperatorRequest::Confirm { plan: parse_name("the plan", &id, PlanId::new)? },
        ("cancel", Some(id)) => OperatorRequest::Cancel { plan: parse_name("the plan", &id, PlanId::new)? },
        ("explain", Some(id)) => OperatorRequest::Explain { id },
        ("accept-loss", Some(service)) => {
            OperatorRequest::AcceptLoss { service: parse_name("the service", &service, ServiceName::new)? }
        }
        ("plans", None) => OperatorRequest::Plans,
        ("status", None) => OperatorRequest::Status { export: matches.opt_present("export") },
        ("plans" | "status", Some(argument)) => {
            return Err(UsageError::new(format!("unexpected argument {argument:?}")));
        }
        _ => return Err(UsageError::new(format!("{name} needs an argument"))),
    };
    reject_free_arguments(&matches)?;
    Ok(Some(ParsedRequest { request, matches }))
}

fn parse_intent(kind: &str, matches: &Matches) -> Result<Intent, UsageError> {
    match kind {
        "move" => Ok(Intent::MoveShare {
            service: name_option(matches, "service", ServiceName::new)?,
            from: name_option(matches, "from", SiteName::new)?,
            to: name_option(matches, "to", SiteName::new)?,
            percent: bounded_option(matches, "percent", MAX_PERCENT)?,
        }),
        "retire" => Ok(Intent::Retire { target: NodeAddress(parsed_option(matches, "target")?) }),
        "retries" => Ok(Intent::ChangeRetries {
            service: name_option(matches, "service", ServiceName::new)?,
            class: name_option(matches, "class", ClassName::new)?,
            budget: parsed_option(matches, "budget")?,
            ratio: bounded_option(matches, "ratio", MAX_PERCENT)? as u8,
        }),
        unknown => Err(UsageError::new(format!("unknown kind of plan {unknown:?}: expected move, retire or retries"))),
    }
}

fn name_option<T>(matches: &Matches, option: &str, new: fn(&str) -> Result<T, NameError>) -> Result<T, UsageError> {
    parse_name(&format!("--{option}"), &required_value(matches, option)?, new)
}

fn parse_name<T>(what: &str, text: &str, new: fn(&str) -> Result<T, NameError>) -> Result<T, UsageError> {
    new(text).map_err(|error| UsageError::new(format!("{what}: {error}")))
}

fn parsed_option<T: FromStr<Err: Display>>(matches: &Matches, option: &str) -> Result<T, UsageError> {
    let text = required_value(matches, option)?;
    text.parse().map_err(|error| UsageError::new(format!("--{option}: {text:?}: {error}")))
}

fn bounded_option(matches: &Matches, option: &str, maximum: u32) -> Result<u32, UsageError> {
    let number: u32 = parsed_option(matches, option)?;
    if number > maximum {
        return Err(UsageError::new(format!("--{option}: {number} exceeds the maximum of {maximum}")));
    }
    Ok(number)
}

fn command(name: &str) -> Command {
    let command = match name {
        "plan" => Command::new(
            "plan move|retire|retries [OPTIONS] --node IP:PORT",
            "Computes a plan for an intent; changes nothing.\n\
             move: --service --from --to --percent; retire: --target; retries: --service --class --budget --ratio",
        )
        .value("service", "the service", "NAME")
        .value("from", "move: the site that the share is moved from", "SITE")
        .value("to", "move: the site that the share is moved to", "SITE")
        .value("percent", "move: the share of all calls of the service, 0 to 100", "NUMBER")
        .value("target", "retire: the peer address of the node beside the back end", "IP:PORT")
        .value("class", "retries: the class of calls", "NAME")
        .value("budget", "retries: the retry tokens of a root call", "NUMBER")
        .value("ratio", "retries: the maximum ratio of retries to first attempts, 0 to 100", "PERCENT"),
        "confirm" => Command::new("confirm ID --node IP:PORT", "Carries out a plan, unless the state it is based on has changed."),
        "cancel" => Command::new("cancel ID --node IP:PORT", "Drops a plan; a confirmed one is stopped and undone."),
        "plans" => Command::new("plans --node IP:PORT", "Lists the plans of the services whose group the node is in."),
        "status" => Command::new("status [--export] --node IP:PORT", "Shows the state and configuration in force at the node.")
            .flag("export", "print the configuration in force as a document"),
        "explain" => Command::new("explain ID --node IP:PORT", "Shows what a plan did, when and why."),
        _ => Command::new(
            "accept-loss SERVICE --node IP:PORT",
            "Accepts keyed calls of a service again although its claims were lost: a key used before the loss may run twice.",
        ),
    };
    command
        .value("node", "the operator address of any node", "IP:PORT")
        .value("token-file", "a file with the operator token; otherwise QUILLHATCH_TOKEN is used", "FILE")
        .flag("json", "print the reply as JSON")
}
