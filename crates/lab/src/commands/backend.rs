//! `backend`: the stand-in for a back end alone.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::Options;
use quillhatch_standins::backend::{Backend as StandIn, BackendOptions, ChildCall};
use quillhatch_standins::server::any_loopback;

use super::platform::announce;
use super::{output, runtime};
use crate::command_line::{Arguments, Command, CommandError, Verdict};

const DEFAULT_SLOTS: usize = 10;
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Serves calls of one service until it is interrupted.
pub struct Backend;

impl Command for Backend {
    fn name(&self) -> &'static str {
        "backend"
    }

    fn summary(&self) -> &'static str {
        "serve calls of one service, as a back end does; PUT /faults makes it misbehave"
    }

    fn operands(&self) -> &'static str {
        "--service NAME [--listen IP:PORT] [--edge IP:PORT] [--child BELOW:METHOD:PATH]..."
    }

    fn declare(&self, options: &mut Options) {
        options.optopt("", "service", "the service", "NAME");
        options.optopt("", "name", "the name in answers and records (default the service)", "NAME");
        options.optopt("", "listen", "where to listen (default a free loopback port)", "IP:PORT");
        options.optopt("", "slots", "calls run at once (default 10)", "N");
        options.optopt("", "service-time", "time that a call runs (default 10ms)", "TIME");
        options.optopt("", "edge", "the caller listener of the node beside it", "IP:PORT");
        options.optmulti("", "child", "a call made for each of its own calls below a path", "BELOW:METHOD:PATH");
        options.optflag("", "json", "print the address, and at the end the record of runs, as JSON");
    }

    fn run(&self, arguments: &Arguments) -> Result<Verdict, CommandError> {
        let service = arguments.required("service", String::new(), str::parse::<String>);
        let slots = arguments.value("slots", DEFAULT_SLOTS);
        if slots == 0 {
            arguments.reject("--slots", "must be above zero");
        }
        let backend = BackendOptions {
            name: arguments.text("name").unwrap_or_else(|| service.clone()),
            service,
            slots,
            service_time: arguments.duration("service-time", DEFAULT_SERVICE_TIME),
            edge: arguments.parsed("edge", str::parse::<SocketAddr>),
            children: arguments.all_parsed("child", parse_child),
        };
        if backend.edge.is_none() && !backend.children.is_empty() {
            arguments.reject("--child", "needs --edge, through which the call is made");
        }
        let listen = arguments.value("listen", any_loopback());
        arguments.limit_operands(0);
        arguments.check()?;
        runtime::block_on(serve(listen, backend, arguments.has("json")))
    }
}

async fn serve(listen: SocketAddr, options: BackendOptions, json: bool) -> Result<Verdict, CommandError> {
    let backend = StandIn::start(listen, options).await?;
    announce(backend.address(), json)?;
    runtime::wait_for_interrupt().await?;
    let record = backend.behaviour.runs.all();
    backend.stop().await;
    if json {
        output::print_json(&record)?;
    }
    Ok(Verdict::Holds)
}

/// Reads `BELOW:METHOD:PATH`.
fn parse_child(text: &str) -> Result<ChildCall, &'static str> {
    let mut parts = text.splitn(3, ':');
    match (parts.next(), parts.next(), parts.next()) {
        (Some(below), Some(method), Some(path)) if below.starts_with('/') && path.starts_with('/') => {
            Ok(ChildCall { below: below.to_owned(), method: method.to_owned(), path: path.to_owned() })
        }
        _ => Err("expected BELOW:METHOD:PATH, such as /giving/pledges:POST:/directory/people"),
    }
}
