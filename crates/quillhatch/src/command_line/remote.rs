//! Sends an operator's request to a node and prints the reply.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::Matches;
use quillhatch_control::operator::{OperatorReply, OperatorRequest};
use quillhatch_settings::render_configuration;

use super::options::required;
use super::request::parse_request;
use super::{ExitStatus, OutputStreams, UsageError};
use crate::clients;
use crate::operators::OPERATOR_PATH;

/// The environment variable with the operators' token.
const TOKEN_VARIABLE: &str = "QUILLHATCH_TOKEN";

/// The longest time to wait for a reply; longer than the node itself takes to give one up.
const TIMEOUT: Duration = Duration::from_secs(40);

struct Destination {
    node: SocketAddr,
    token: Option<String>,
}

/// Runs the command `name`.
pub fn run(name: &str, arguments: &[String], streams: &mut OutputStreams<'_>) -> Result<ExitStatus, UsageError> {
    let Some(parsed) = parse_request(name, arguments, streams)? else {
        return Ok(ExitStatus::Done);
    };
    let node = required(&parsed.matches, "node")?;
    let node = node.parse().map_err(|_| UsageError::new(format!("--node: {node:?} is no IP:PORT")))?;
    let token = match token(&parsed.matches) {
        Ok(token) => token,
        Err(problem) => {
            streams.complain(problem);
            return Ok(ExitStatus::Failed);
        }
    };
    match ask(&Destination { node, token }, &parsed.request) {
        Ok(reply) => Ok(print(&reply, parsed.matches.opt_present("json"), streams)),
        Err(problem) => {
            streams.complain(problem);
            Ok(ExitStatus::Failed)
        }
    }
}

fn token(matches: &Matches) -> Result<Option<String>, String> {
    let Some(path) = matches.opt_str("token-file") else {
        return Ok(std::env::var(TOKEN_VARIABLE).ok());
    };
    let text = std::fs::read_to_string(&path).map_err(|error| format!("cannot read {path}: {error}"))?;
    Ok(Some(text.trim().to_owned()))
}

fn ask(destination: &Destination, request: &OperatorRequest) -> Result<OperatorReply, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start the runtime: {error}"))?;
    runtime.block_on(send(destination, request))
}

async fn send(destination: &Destination, request: &OperatorRequest) -> Result<OperatorReply, String> {
    let node = destination.node;
    let client = clients::transparent().map_err(|error| error.to_string())?;
    let mut post = client.post(format!("http://{node}{OPERATOR_PATH}")).timeout(TIMEOUT).json(request);
    if let Some(token) = &destination.token {
        post = post.bearer_auth(token);
    }
    let answer = post.send().await.map_err(|error| describe(node, &error))?;
    if answer.status() == reqwest::StatusCode::UNAUTHORIZED {
        return Err(format!("{node} does not accept the token; set {TOKEN_VARIABLE} or give --token-file"));
    }
    let status = answer.status();
    let body = answer.bytes().await.map_err(|error| describe(node, &error))?;
    serde_json::from_slice(&body).map_err(|_| format!("{node} answered {status} and no reply of this release"))
}

fn describe(node: SocketAddr, error: &reqwest::Error) -> String {
    if error.is_connect() {
        return format!("cannot connect to {node}: is this the operators' address of a running node?");
    }
    format!("no reply from {node}: what was asked may still be done")
}

fn print(reply: &OperatorReply, json: bool, streams: &mut OutputStreams<'_>) -> ExitStatus {
    match reply {
        // The document is for the platform's store in either form.
        OperatorReply::Export { configuration } if !json => {
            streams.print(render_configuration(configuration).trim_end())
        }
        _ if json => streams.print(serde_json::to_string_pretty(reply).unwrap_or_default()),
        OperatorReply::Refused { .. } | OperatorReply::Undecided { .. } => {
            streams.complain(reply.to_string().trim_end())
        }
        _ => streams.print(reply.to_string().trim_end()),
    }
    match reply {
        OperatorReply::Refused { .. } | OperatorReply::Undecided { .. } => ExitStatus::Failed,
        _ => ExitStatus::Done,
    }
}
