//! `platform`: the stand-in for the platform alone.

use std::net::SocketAddr;
use std::path::PathBuf;

use getopts::Options;
use quillhatch_standins::platform::{Machine, Platform as StandIn};
use quillhatch_standins::server::any_loopback;
use serde::Serialize;

use super::{output, runtime};
use crate::command_line::{Arguments, Command, CommandError, Verdict};

/// Serves a configuration document and a list of machines until it is interrupted.
pub struct Platform;

#[derive(Serialize)]
struct Listening {
    address: SocketAddr,
}

impl Command for Platform {
    fn name(&self) -> &'static str {
        "platform"
    }

    fn summary(&self) -> &'static str {
        "serve a configuration document and a list of machines, as the platform does"
    }

    fn operands(&self) -> &'static str {
        "--configuration FILE [--machines FILE] [--listen IP:PORT]"
    }

    fn declare(&self, options: &mut Options) {
        options.optopt("", "configuration", "the configuration document", "FILE");
        options.optopt("", "machines", "the list of machines as JSON (default none)", "FILE");
        options.optopt("", "listen", "where to listen (default a free loopback port)", "IP:PORT");
        options.optflag("", "json", "print the address as JSON");
    }

    fn run(&self, arguments: &Arguments) -> Result<Verdict, CommandError> {
        let configuration = arguments.required("configuration", PathBuf::new(), str::parse::<PathBuf>);
        let machines: Option<PathBuf> = arguments.parsed("machines", str::parse::<PathBuf>);
        let listen = arguments.value("listen", any_loopback());
        arguments.limit_operands(0);
        arguments.check()?;
        let document = output::read_text(&configuration)?;
        let machines: Vec<Machine> = match machines {
            Some(path) => serde_json::from_str(&output::read_text(&path)?)?,
            None => Vec::new(),
        };
        runtime::block_on(serve(listen, document, machines, arguments.has("json")))
    }
}

async fn serve(
    listen: SocketAddr,
    document: String,
    machines: Vec<Machine>,
    json: bool,
) -> Result<Verdict, CommandError> {
    let platform = StandIn::start(listen, document).await?;
    platform.state.set_machines(machines);
    announce(platform.address(), json)?;
    runtime::wait_for_interrupt().await?;
    platform.stop().await;
    Ok(Verdict::Holds)
}

/// Says where a stand-in listens.
pub(super) fn announce(address: SocketAddr, json: bool) -> Result<(), CommandError> {
    if json {
        return output::print_json(&Listening { address });
    }
    println!("listening on {address}");
    Ok(())
}
