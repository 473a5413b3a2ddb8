//! Sends an operator's request to a node and prints the reply.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::Matches;
use quillhatch_control::operator::{OperatorReply, OperatorRequest};
use quillhatch_settings::render_configuration;

use super::options::required_value;
use super::request::parse_request;
use super::{ExitStatus, OutputStreams, UsageError};
use crate::clients;
use crate::operators::OPERATOR_PATH;

/// The environment variable with the operator token.
const TOKEN_VARIABLE: &str = "QUILLHATCH_TOKEN";

/// The maximum time to wait for a reply. It exceeds the node's own timeout for operator requests.
const REPLY_TIMEOUT: Duration = Duration::from_secs(40);

/// The node to send a request to, and the operator token.
struct Destination {
    node: SocketAddr,
    token: Option<String>,
}

/// Runs the command `name`.
pub fn run(name: &str, arguments: &[String], streams: &mut OutputStreams<'_>) -> Result<ExitStatus, UsageError> {
    let Some(parsed) = parse_request(name, arguments, streams)? else {
        return Ok(ExitStatus::Done);
    };
    let node = required_value(&parsed.matches, "node")?;
    let node = node.parse().map_err(|_| UsageError::new(format!("--node: {node:?} is not an IP:PORT address")))?;
    let token = match read_token(&parsed.matches) {
        Ok(token) => token,
        Err(problem) => {
            streams.print_error(problem);
            return Ok(ExitStatus::Failed);
        }
    };
    match send_blocking(&Destination { node, token }, &parsed.request) {
        Ok(reply) => Ok(print_reply(&reply, parsed.matches.opt_present("json"), streams)),
        Err(problem) => {
            streams.print_error(problem);
            Ok(ExitStatus::Failed)
        }
    }
}

fn read_token(matches: &Matches) -> Result<Option<String>, String> {
    let Some(path) = matches.opt_str("token-file") else {
        return Ok(std::env::var(TOKEN_VARIABLE).ok());
    };
    let text = std::fs::read_to_string(&path).map_err(|error| format!("cannot read {path}: {error}"))?;
    Ok(Some(text.trim().to_owned()))
}

fn send_blocking(destination: &Destination, request: &OperatorRequest) -> Result<OperatorReply, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("cannot start the runtime: {error}"))?;
    runtime.block_on(send(destination, request))
}

async fn send(destination: &Destination, request: &OperatorRequest) -> Result<OperatorReply, String> {
    let node = destination.node;
    let client = clients::transparent().map_err(|error| error.to_string())?;
    let mut post = client.post(format!("http://{node}{OPERATOR_PATH}")).timeout(REPLY_TIMEOUT).json(request);
    if let Some(token) = &destination.token {
        post = post.bearer_auth(token);
    }
    let response = post.send().await.map_err(|error| describe_error(node, &error))?;
    if response.status() == reqwest::StatusCode::UNAUTHORIZED {
        return Err(format!("{node} rejected the token; set {TOKEN_VARIABLE} or give --token-file"));
    }
    let status = response.status();
    let body = response.bytes().await.map_err(|error| describe_error(node, &error))?;
    serde_json::from_slice(&body)
        .map_err(|_| format!("{node} answered with status {status} and a reply that this release cannot read"))
}

fn describe_error(node: SocketAddr, error: &reqwest::Error) -> String {
    if error.is_connect() {
        return format!("cannot connect to {node}: is this the operators' address of a running node?");
    }
    format!("no reply from {node}: it may still carry out the request")
}

fn print_reply(reply: &OperatorReply, json: bool, streams: &mut OutputStreams<'_>) -> ExitStatus {
    match reply {
        // Without --json, prints the bare configuration document, so that it can be stored at the platform.
        OperatorReply::Export { configuration } if !json => {
            streams.print(render_configuration(configuration).trim_end())
        }
        _ if json => streams.print(serde_json::to_string_pretty(reply).unwrap_or_default()),
        OperatorReply::Refused { .. } | OperatorReply::Undecided { .. } => {
            streams.print_error(reply.to_string().trim_end())
        }
        _ => streams.print(reply.to_string().trim_end()),
    }
    match reply {
        OperatorReply::Refused { .. } | OperatorReply::Undecided { .. } => ExitStatus::Failed,
        _ => ExitStatus::Done,
    }
}
