//! Links in separate processes, because the links of a large fleet need more file descriptors than one process may
//! open.
//!
//! The soak writes one [`LinkCommand`] per line to the stdin of a link process, which exits at the end of its input.
//! The process replies only to [`LinkCommand::Open`], with one line.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::runtime::LocalOptions;
use tokio::sync::mpsc;

use crate::proxy::{LinkProxy, LinkState};

/// The command-line argument with which the soak's program runs as a link process.
pub const LINKS_ARGUMENT: &str = "soak-links";
/// The reply to [`LinkCommand::Open`] on success; any other reply is an error message.
const OPENED: &str = "opened";

/// A command to a link process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LinkCommand {
    /// Forward connections from `listen` to `node`.
    #[display("open {number} {listen} {node}")]
    Open {
        /// The number of the link.
        number: usize,
        /// The address on which the link listens.
        listen: SocketAddr,
        /// The address on which the node listens.
        node: SocketAddr,
    },
    /// Set the state of a link.
    #[display(
        "set {number} {} {} {}",
        state.delay.as_millis(),
        u8::from(state.holds_requests),
        u8::from(state.holds_responses)
    )]
    Set {
        /// The number of the link.
        number: usize,
        /// The new state.
        state: LinkState,
    },
    /// Reset all connections of a link.
    #[display("reset {number}")]
    Reset {
        /// The number of the link.
        number: usize,
    },
}

/// A line that is not a valid command.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{line:?} is not a link command")]
pub struct UnknownCommand {
    line: String,
}

impl FromStr for LinkCommand {
    type Err = UnknownCommand;

    fn from_str(line: &str) -> Result<Self, UnknownCommand> {
        let words: Vec<&str> = line.split_whitespace().collect();
        parse(&words).ok_or_else(|| UnknownCommand { line: line.to_owned() })
    }
}

fn parse(words: &[&str]) -> Option<LinkCommand> {
    let number = words.get(1)?.parse().ok()?;
    match *words {
        ["open", _, listen, node] => {
            Some(LinkCommand::Open { number, listen: listen.parse().ok()?, node: node.parse().ok()? })
        }
        ["set", _, delay, holds_requests, holds_responses] => {
            let state = LinkState {
                delay: Duration::from_millis(delay.parse().ok()?),
                holds_requests: holds_requests == "1",
                holds_responses: holds_responses == "1",
            };
            Some(LinkCommand::Set { number, state })
        }
        ["reset", _] => Some(LinkCommand::Reset { number }),
        _ => None,
    }
}

/// The soak's handle of a link process.
pub struct LinkProcess {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
}

impl LinkProcess {
    /// Starts `program` as a link process.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub fn start(program: &Path) -> io::Result<Self> {
        let mut child =
            Command::new(program).arg(LINKS_ARGUMENT).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let input = child.stdin.take();
        let output = child.stdout.take().ok_or_else(|| io::Error::other("the link process has no stdout"))?;
        Ok(LinkProcess { child, input, output: BufReader::new(output) })
    }

    fn send(&mut self, command: LinkCommand) -> io::Result<()> {
        let input = self.input.as_mut().ok_or_else(|| io::Error::other("the stdin of the link process is closed"))?;
        writeln!(input, "{command}")
    }

    fn open(&mut self, command: LinkCommand) -> io::Result<()> {
        self.send(command)?;
        let mut reply = String::new();
        self.output.read_line(&mut reply)?;
        match reply.trim_end() {
            OPENED => Ok(()),
            problem => Err(io::Error::other(format!("{command}: {problem}"))),
        }
    }
}

impl Drop for LinkProcess {
    fn drop(&mut self) {
        self.input = None;
        if let Err(error) = self.child.wait() {
            eprintln!("failed to wait for a link process: {error}");
        }
    }
}

/// The link to one machine, which runs in this process or in a link process.
#[derive(Clone)]
pub enum MachineLink {
    /// The link runs in this process.
    InProcess(LinkProxy),
    /// The link with this number runs in a link process.
    OutOfProcess(Rc<RefCell<LinkProcess>>, usize),
}

impl MachineLink {
    /// Forwards connections from `listen` to `node`, in the link process `process` if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be used, or the process has ended.
    pub async fn open(
        process: Option<&Rc<RefCell<LinkProcess>>>,
        number: usize,
        listen: SocketAddr,
        node: SocketAddr,
    ) -> io::Result<Self> {
        let Some(process) = process else { return Ok(MachineLink::InProcess(LinkProxy::open(listen, node).await?)) };
        process.borrow_mut().open(LinkCommand::Open { number, listen, node })?;
        Ok(MachineLink::OutOfProcess(Rc::clone(process), number))
    }

    /// Sets the state of the link.
    pub fn set(&self, state: LinkState) {
        match self {
            MachineLink::InProcess(proxy) => proxy.set(state),
            MachineLink::OutOfProcess(process, number) => send(process, LinkCommand::Set { number: *number, state }),
        }
    }

    /// Resets all connections.
    pub fn reset(&self) {
        match self {
            MachineLink::InProcess(proxy) => proxy.reset(),
            MachineLink::OutOfProcess(process, number) => send(process, LinkCommand::Reset { number: *number }),
        }
    }
}

/// Sends a command to a link process. It panics on failure, because a soak without its links has no meaningful result.
fn send(process: &RefCell<LinkProcess>, command: LinkCommand) {
    process.borrow_mut().send(command).expect("the link process runs as long as the soak");
}

/// Runs links according to the commands in `input` until its end, and writes the replies to `output`.
///
/// # Errors
///
/// Returns an error if the runtime can't be built, or if a line is not a valid command or refers to a link that is not
/// open.
pub fn serve(input: impl BufRead + Send + 'static, output: impl Write) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    let (sender, commands) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in input.lines() {
            let Ok(line) = line else { return };
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    runtime.block_on(run_commands(commands, output))
}

async fn run_commands(mut commands: mpsc::UnboundedReceiver<String>, mut output: impl Write) -> io::Result<()> {
    let mut links: HashMap<usize, LinkProxy> = HashMap::new();
    let unknown_link = |number| io::Error::other(format!("link {number} is not open"));
    while let Some(line) = commands.recv().await {
        match line.parse().map_err(io::Error::other)? {
            LinkCommand::Open { number, listen, node } => {
                let reply = match LinkProxy::open(listen, node).await {
                    Ok(link) => {
                        links.insert(number, link);
                        OPENED.to_owned()
                    }
                    Err(error) => error.to_string(),
                };
                writeln!(output, "{reply}")?;
                output.flush()?;
            }
            LinkCommand::Set { number, state } => links.get(&number).ok_or_else(|| unknown_link(number))?.set(state),
            LinkCommand::Reset { number } => links.get(&number).ok_or_else(|| unknown_link(number))?.reset(),
        }
    }
    Ok(())
}
