//! Links in processes of their own: those of a large fleet need more descriptors than one process may hold.
//!
//! The soak writes one [`LinkCommand`] a line to such a process, which ends with its input. It answers only [`LinkCommand::Open`], with one
//! line.

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

/// The argument with which the program of the soak runs links.
pub const LINKS_ARGUMENT: &str = "soak-links";
/// What is answered to [`LinkCommand::Open`] if the link is open; else why it is not.
const OPENED: &str = "opened";

/// What a process of links is told.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LinkCommand {
    /// Pass connections to `listen` on to `node`.
    #[display("open {number} {listen} {node}")]
    Open {
        /// The link.
        number: usize,
        /// Where it listens.
        listen: SocketAddr,
        /// Where the node listens.
        node: SocketAddr,
    },
    /// Change how a link treats what passes.
    #[display(
        "set {number} {} {} {}",
        state.delay.as_millis(),
        u8::from(state.holds_requests),
        u8::from(state.holds_answers)
    )]
    Set {
        /// The link.
        number: usize,
        /// How from now on.
        state: LinkState,
    },
    /// Reset all connections of a link.
    #[display("reset {number}")]
    Reset {
        /// The link.
        number: usize,
    },
}

/// A line that is no command.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{line:?} is no command for links")]
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
        ["set", _, delay, holds_requests, holds_answers] => {
            let state = LinkState {
                delay: Duration::from_millis(delay.parse().ok()?),
                holds_requests: holds_requests == "1",
                holds_answers: holds_answers == "1",
            };
            Some(LinkCommand::Set { number, state })
        }
        ["reset", _] => Some(LinkCommand::Reset { number }),
        _ => None,
    }
}

/// A process of links, as the soak sees it.
pub struct LinkProcess {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
}

impl LinkProcess {
    /// Starts `program` as one.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub fn start(program: &Path) -> io::Result<Self> {
        let mut child =
            Command::new(program).arg(LINKS_ARGUMENT).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let input = child.stdin.take();
        let output = child.stdout.take().ok_or_else(|| io::Error::other("the links' process has no output"))?;
        Ok(LinkProcess { child, input, output: BufReader::new(output) })
    }

    fn tell(&mut self, command: LinkCommand) -> io::Result<()> {
        let input = self.input.as_mut().ok_or_else(|| io::Error::other("the links' process is about to end"))?;
        writeln!(input, "{command}")
    }

    fn open(&mut self, command: LinkCommand) -> io::Result<()> {
        self.tell(command)?;
        let mut answer = String::new();
        self.output.read_line(&mut answer)?;
        match answer.trim_end() {
            OPENED => Ok(()),
            why => Err(io::Error::other(format!("{command}: {why}"))),
        }
    }
}

impl Drop for LinkProcess {
    fn drop(&mut self) {
        self.input = None;
        if let Err(error) = self.child.wait() {
            eprintln!("a process of links did not end: {error}");
        }
    }
}

/// The link to one machine, in this process or another one.
#[derive(Clone)]
pub enum MachineLink {
    /// In this process.
    InProcess(LinkProxy),
    /// In another one.
    OutOfProcess(Rc<RefCell<LinkProcess>>, usize),
}

impl MachineLink {
    /// Passes connections to `listen` on to `node`, by `process` if there is one.
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

    /// Changes how what passes is treated.
    pub fn set(&self, state: LinkState) {
        match self {
            MachineLink::InProcess(proxy) => proxy.set(state),
            MachineLink::OutOfProcess(process, number) => tell(process, LinkCommand::Set { number: *number, state }),
        }
    }

    /// Resets all connections.
    pub fn reset(&self) {
        match self {
            MachineLink::InProcess(proxy) => proxy.reset(),
            MachineLink::OutOfProcess(process, number) => tell(process, LinkCommand::Reset { number: *number }),
        }
    }
}

/// Without its links a soak shows nothing, so it ends.
fn tell(process: &RefCell<LinkProcess>, command: LinkCommand) {
    process.borrow_mut().tell(command).expect("the process of links runs as long as the soak");
}

/// Runs links as the lines of `input` tell, until these end.
///
/// # Errors
///
/// Returns an error if there is no runtime, a line is no command, or names a link that is not open.
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
    runtime.block_on(follow(commands, output))
}

async fn follow(mut commands: mpsc::UnboundedReceiver<String>, mut output: impl Write) -> io::Result<()> {
    let mut links: HashMap<usize, LinkProxy> = HashMap::new();
    let not_open = |number| io::Error::other(format!("link {number} is not open"));
    while let Some(line) = commands.recv().await {
        match line.parse().map_err(io::Error::other)? {
            LinkCommand::Open { number, listen, node } => {
                let answer = match LinkProxy::open(listen, node).await {
                    Ok(link) => {
                        links.insert(number, link);
                        OPENED.to_owned()
                    }
                    Err(error) => error.to_string(),
                };
                writeln!(output, "{answer}")?;
                output.flush()?;
            }
            LinkCommand::Set { number, state } => links.get(&number).ok_or_else(|| not_open(number))?.set(state),
            LinkCommand::Reset { number } => links.get(&number).ok_or_else(|| not_open(number))?.reset(),
        }
    }
    Ok(())
}
