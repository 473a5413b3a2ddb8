//! Turns a command line into an operator's request.

use std::fmt::Display;
use std::str::FromStr;

use getopts::Matches;
use quillhatch_control::operator::{Intent, OperatorRequest};
use quillhatch_types::names::NameError;
use quillhatch_types::{ClassName, NodeAddress, PlanId, ServiceName, SiteName};

use super::options::{no_free_arguments, required, Command};
use super::{OutputStreams, UsageError};

/// The commands that are sent to a node.
const COMMANDS: [&str; 7] = ["plan", "confirm", "cancel", "plans", "status", "explain", "accept-loss"];

/// The largest percentage.
const WHOLE: u32 = 100;

/// Whether `name` is a command that is sent to a node.
pub fn is_command(name: &str) -> bool {
    COMMANDS.contains(&name)
}

/// A request and the options that say how to send it.
pub struct ParsedRequest {
    /// The request.
    pub request: OperatorRequest,
    /// All options.
    pub matches: Matches,
}

/// Reads the arguments of the command `name`; `None` if the help was asked for and printed.
///
/// # Errors
///
/// Returns what is not understood.
pub fn parse_request(
    name: &str,
    arguments: &[String],
    streams: &mut OutputStreams<'_>,
) -> Result<Option<ParsedRequest>, UsageError> {
    let Some(mut matches) = command(name).parse(arguments, streams)? else {
        return Ok(None);
    };
    let first = if matches.free.is_empty() { None } else { Some(matches.free.remove(0)) };
    let request = match (name, first) {
        ("plan", Some(kind)) => OperatorRequest::Plan { intent: intent(&kind, &matches)? },
        ("plan", None) => return Err(UsageError::new("say what to plan: move, retire or retries")),
        ("confirm", Some(id)) => OperatorRequest::Confirm { plan: name_of("the plan", &id, PlanId::new)? },
        ("cancel", Some(id)) => OperatorRequest::Cancel { plan: name_of("the plan", &id, PlanId::new)? },
        ("explain", Some(id)) => OperatorRequest::Explain { id },
        ("accept-loss", Some(service)) => {
            OperatorRequest::AcceptLoss { service: name_of("the service", &service, ServiceName::new)? }
        }
        ("plans", None) => OperatorRequest::Plans,
        ("status", None) => OperatorRequest::Status { export: matches.opt_present("export") },
        ("plans" | "status", Some(argument)) => {
            return Err(UsageError::new(format!("{argument:?} is not expected here")));
        }
        _ => return Err(UsageError::new(format!("{name} needs an argument"))),
    };
    no_free_arguments(&matches)?;
    Ok(Some(ParsedRequest { request, matches }))
}

fn intent(kind: &str, matches: &Matches) -> Result<Intent, UsageError> {
    match kind {
        "move" => Ok(Intent::MoveShare {
            service: named(matches, "service", ServiceName::new)?,
            from: named(matches, "from", SiteName::new)?,
            to: named(matches, "to", SiteName::new)?,
            percent: at_most(matches, "percent", WHOLE)?,
        }),
        "retire" => Ok(Intent::Retire { target: NodeAddress(parsed(matches, "target")?) }),
        "retries" => Ok(Intent::ChangeRetries {
            service: named(matches, "service", ServiceName::new)?,
            class: named(matches, "class", ClassName::new)?,
            budget: parsed(matches, "budget")?,
            ratio: at_most(matches, "ratio", WHOLE)? as u8,
        }),
        unknown => Err(UsageError::new(format!("there is no plan {unknown:?}: it is move, retire or retries"))),
    }
}

fn named<T>(matches: &Matches, option: &str, new: fn(&str) -> Result<T, NameError>) -> Result<T, UsageError> {
    name_of(&format!("--{option}"), &required(matches, option)?, new)
}

fn name_of<T>(what: &str, text: &str, new: fn(&str) -> Result<T, NameError>) -> Result<T, UsageError> {
    new(text).map_err(|error| UsageError::new(format!("{what}: {error}")))
}

fn parsed<T: FromStr<Err: Display>>(matches: &Matches, option: &str) -> Result<T, UsageError> {
    let text = required(matches, option)?;
    text.parse().map_err(|error| UsageError::new(format!("--{option}: {text:?}: {error}")))
}

fn at_most(matches: &Matches, option: &str, maximum: u32) -> Result<u32, UsageError> {
    let number: u32 = parsed(matches, option)?;
    if number > maximum {
        return Err(UsageError::new(format!("--{option}: {number} is more than {maximum}")));
    }
    Ok(number)
}

fn command(name: &str) -> Command {
    let command = match name {
        "plan" => Command::new(
            "plan move|retire|retries [OPTIONS] --node IP:PORT",
            "Asks what would be done for an intent; changes nothing.\n\
             move: --service --from --to --percent; retire: --target; retries: --service --class --budget --ratio",
        )
        .value("service", "the service", "NAME")
        .value("from", "move: the site that gives a share away", "SITE")
        .value("to", "move: the site that takes it", "SITE")
        .value("percent", "move: the share of all calls of the service, 0 to 100", "NUMBER")
        .value("target", "retire: the peer address of the node beside the back end", "IP:PORT")
        .value("class", "retries: the class of calls", "NAME")
        .value("budget", "retries: the retry tokens of a root call", "NUMBER")
        .value("ratio", "retries: the largest share of retries in first tries, 0 to 100", "PERCENT"),
        "confirm" => Command::new("confirm ID --node IP:PORT", "Does what a plan says, if nothing it rests on has changed."),
        "cancel" => Command::new("cancel ID --node IP:PORT", "Drops a plan; a confirmed one is stopped and undone."),
        "plans" => Command::new("plans --node IP:PORT", "Lists the plans of the services whose group the node is in."),
        "status" => Command::new("status [--export] --node IP:PORT", "Says what is in force at the node.")
            .flag("export", "print a configuration document that holds what is in force"),
        "explain" => Command::new("explain ID --node IP:PORT", "Says what a plan did, when and why."),
        _ => Command::new(
            "accept-loss SERVICE --node IP:PORT",
            "Takes keyed calls of a service again although its claims were lost: a key used before the loss may run twice.",
        ),
    };
    command
        .value("node", "the operators' address of any node", "IP:PORT")
        .value("token-file", "a file with the operators' token; otherwise QUILLHATCH_TOKEN is used", "FILE")
        .flag("json", "print the reply as JSON")
}
