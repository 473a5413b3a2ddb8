//! Faults that are brought in from outside, each on one machine or on the store for all, and taken back after a while.

use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::Display;
use quillhatch_platform_standins::store::StoreMode;
use quillhatch_platform_standins::target::TargetBehaviour;
use rand::Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::machine::SoakMachine;
use crate::proxy::LinkState;
use crate::record::FaultSpan;

/// The period over which a throttled process has its quota, as the platform's pages tell it.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
/// The part of the period in which a throttled process runs: the least share of a core that the platform's machines have (0.4).
const QUOTA_RUNS: Duration = Duration::from_millis(40);

/// How old the copy is from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(4);
/// How long after its return the operator and the targets write again what it lacks.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(600);

/// What is done to a machine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// What comes to it and from it takes longer.
    LinkDelay,
    /// Its connections are reset.
    LinkReset,
    /// Nothing comes to it.
    HoldRequests,
    /// Nothing comes from it.
    HoldAnswers,
    /// Both.
    #[display("LinkSilent")]
    LinkBlackhole,
    /// Its process stands still.
    Freeze,
    /// Its process gets a quota of processor time: it runs, then stands still for the rest of each tenth of a second.
    Throttle,
    /// Its process is killed and started again.
    Kill,
    /// Its target starts again under a new identity.
    TargetRestart,
    /// Its target loses answers.
    #[display("TargetLoses")]
    TargetNoAnswer,
    /// Its target answers what is no answer.
    TargetGarbage,
    /// Its target breaks its answers off.
    #[display("TargetBreaksOff")]
    TargetTruncatedBody,
    /// Its target sends second answers.
    #[display("TargetSurplus")]
    TargetSecondAnswer,
    /// Its target refuses everything.
    #[display("TargetSheds")]
    TargetRefuses,
    /// The store says nothing to it.
    #[display("StoreSilent")]
    StoreUnresponsive,
    /// The store turns it away.
    #[display("StoreBusy")]
    StoreUnavailable,
    /// The store resets its connections.
    StoreResets,
    /// Its watches hang.
    #[display("StoreDeaf")]
    StoreWatchHangs,
    /// Its watches are told that history is gone.
    #[display("StoreForgetful")]
    StoreWatchGone,
    /// The store says nothing to anybody.
    #[display("StoreSilentToAll")]
    StoreUnresponsiveToAll,
    /// All processes are killed and started again.
    KillAll,
    /// Its target starts again under its identity.
    #[display("TargetReturns")]
    TargetRestartSameId,
    /// Another writer leaves entries that name no target.
    #[display("StoreForged")]
    StoreInvalidEntries,
    /// The store is away, and comes back from an older copy.
    StoreRestored,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 21] = [
        FaultKind::LinkDelay,
        FaultKind::LinkReset,
        FaultKind::HoldRequests,
        FaultKind::HoldAnswers,
        FaultKind::LinkBlackhole,
        FaultKind::Freeze,
        FaultKind::Throttle,
        FaultKind::Kill,
        FaultKind::TargetRestart,
        FaultKind::TargetNoAnswer,
        FaultKind::TargetGarbage,
        FaultKind::TargetTruncatedBody,
        FaultKind::TargetSecondAnswer,
        FaultKind::TargetRefuses,
        FaultKind::StoreUnresponsive,
        FaultKind::StoreUnavailable,
        FaultKind::StoreResets,
        FaultKind::StoreWatchHangs,
        FaultKind::StoreWatchGone,
        FaultKind::StoreUnresponsiveToAll,
        FaultKind::KillAll,
    ];

    /// Kinds that are drawn from a schedule of their own, so that the one of a seed stays as it was.
    pub const ADDED: [FaultKind; 3] =
        [FaultKind::TargetRestartSameId, FaultKind::StoreInvalidEntries, FaultKind::StoreRestored];

    /// Draws one of the later kinds.
    pub fn draw_added(random: &mut impl Rng) -> Self {
        Self::ADDED[random.gen_range(0..Self::ADDED.len())]
    }

    /// Draws a kind.
    pub fn draw(random: &mut impl Rng) -> Self {
        Self::ALL[random.gen_range(0..Self::ALL.len())]
    }

    /// Whether it strikes all machines.
    pub fn affects_all_machines(self) -> bool {
        matches!(self, FaultKind::StoreUnresponsiveToAll | FaultKind::KillAll | FaultKind::StoreRestored)
    }
}

/// Brings a fault in, takes it back after `span`, and returns what was disturbed.
pub async fn inject(kind: FaultKind, machines: &[Rc<SoakMachine>], struck: usize, span: Duration) -> FaultSpan {
    let from = Instant::now();
    let machine = &machines[struck];
    let former = machine.target.id();
    for touched in touched(kind, machines, struck) {
        begin(kind, touched);
    }
    match kind {
        FaultKind::Throttle => throttle(machine, span).await,
        _ => sleep(span).await,
    }
    for touched in touched(kind, machines, struck) {
        end(kind, touched);
    }
    match kind {
        FaultKind::TargetRestart => machine.store.deregister(&former),
        FaultKind::StoreRestored => restore(machine).await,
        _ => {}
    }
    FaultSpan { machine: (!kind.affects_all_machines()).then_some(struck), from, until: Instant::now() }
}

/// The store comes back from an older copy; what the operator and the targets wrote since is written again.
async fn restore(machine: &SoakMachine) {
    let lost = machine.store.restore_backup(COPY_AGE);
    sleep(WRITTEN_AGAIN_AFTER).await;
    for write in lost {
        machine.store.rewrite(&write);
    }
}

/// Entries of another writer: fields missing, of another type, or with what nobody knows; and what can't be read.
fn forge(machine: &SoakMachine) {
    let address = machine.addrs.target();
    let entries = [
        format!(r#"{{"service":"beta","address":"{address}","state":"ready"}}"#),
        format!(
            r#"{{"service":"beta","address":"{address}","zone":"zone-a","version":"v1","slots":"many","state":"ready","cold_remaining_s":0,"seq":1}}"#
        ),
        format!(
            r#"{{"service":"beta","address":"{address}","zone":"zone-a","version":"v1","slots":9,"state":"odd","cold_remaining_s":0,"seq":1}}"#
        ),
        format!(
            r#"{{"service":"nobody","address":"{address}","zone":"zone-a","version":"v1","slots":9,"state":"ready","cold_remaining_s":0,"seq":1}}"#
        ),
        "\u{1}not an entry".to_owned(),
    ];
    for (number, entry) in entries.iter().enumerate() {
        machine.store.write(&forged_key(number), Some(entry));
    }
}

/// The number of forged entries.
const FORGED: usize = 5;

fn forged_key(number: usize) -> String {
    format!("servers/forged-{number}")
}

/// Lets a process run for a part of each period only.
async fn throttle(machine: &SoakMachine, span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        sleep(QUOTA_RUNS).await;
        machine.signal(Signal::STOP);
        sleep(QUOTA_PERIOD - QUOTA_RUNS).await;
        machine.signal(Signal::CONT);
    }
}

fn touched(kind: FaultKind, machines: &[Rc<SoakMachine>], struck: usize) -> impl Iterator<Item = &Rc<SoakMachine>> {
    let all = kind.affects_all_machines();
    machines.iter().enumerate().filter(move |(number, _)| all || *number == struck).map(|(_, machine)| machine)
}

fn begin(kind: FaultKind, machine: &SoakMachine) {
    let calm = LinkState::default();
    let silent = LinkState { holds_requests: true, holds_answers: true, ..calm };
    match kind {
        FaultKind::LinkDelay => machine.link.set(LinkState { delay: Duration::from_millis(80), ..calm }),
        FaultKind::LinkReset => machine.link.reset(),
        FaultKind::HoldRequests => machine.link.set(LinkState { holds_requests: true, ..calm }),
        FaultKind::HoldAnswers => machine.link.set(LinkState { holds_answers: true, ..calm }),
        FaultKind::LinkBlackhole => machine.link.set(silent),
        FaultKind::Freeze => machine.signal(Signal::STOP),
        FaultKind::Kill | FaultKind::KillAll => machine.signal(Signal::KILL),
        FaultKind::TargetRestart => {
            machine.target.restart();
            machine.store.register(&machine.target, "ready");
        }
        FaultKind::TargetNoAnswer => machine.target.set_behaviour(TargetBehaviour::NoAnswer),
        FaultKind::TargetGarbage => machine.target.set_behaviour(TargetBehaviour::Garbage),
        FaultKind::TargetTruncatedBody => machine.target.set_behaviour(TargetBehaviour::TruncatedBody),
        FaultKind::TargetSecondAnswer => machine.target.set_behaviour(TargetBehaviour::SecondAnswer),
        FaultKind::TargetRefuses => machine.target.set_behaviour(TargetBehaviour::RefusesRequests),
        FaultKind::TargetRestartSameId => machine.target.restart_with_same_id(),
        FaultKind::StoreInvalidEntries => forge(machine),
        FaultKind::StoreUnresponsive | FaultKind::StoreUnresponsiveToAll | FaultKind::StoreRestored => {
            machine.store.set_mode(StoreMode::Unresponsive)
        }
        FaultKind::StoreUnavailable => machine.store.set_mode(StoreMode::Status(503)),
        FaultKind::StoreResets => machine.store.set_mode(StoreMode::Reset),
        FaultKind::Throttle => {}
        FaultKind::StoreWatchHangs => machine.store.set_mode(StoreMode::WatchHangs),
        FaultKind::StoreWatchGone => machine.store.set_mode(StoreMode::WatchGone),
    }
}

fn end(kind: FaultKind, machine: &SoakMachine) {
    match kind {
        FaultKind::LinkDelay | FaultKind::HoldRequests | FaultKind::HoldAnswers | FaultKind::LinkBlackhole => {
            machine.link.set(LinkState::default());
        }
        FaultKind::LinkReset => machine.link.reset(),
        FaultKind::Freeze => machine.signal(Signal::CONT),
        FaultKind::Kill | FaultKind::KillAll => machine.start_process().expect("the program that ran before starts"),
        FaultKind::TargetRestart | FaultKind::TargetRestartSameId | FaultKind::Throttle => {}
        FaultKind::StoreInvalidEntries => {
            for number in 0..FORGED {
                machine.store.write(&forged_key(number), None);
            }
        }
        FaultKind::TargetNoAnswer
        | FaultKind::TargetGarbage
        | FaultKind::TargetTruncatedBody
        | FaultKind::TargetSecondAnswer
        | FaultKind::TargetRefuses => machine.reset_target_behaviour(),
        FaultKind::StoreUnresponsive
        | FaultKind::StoreUnavailable
        | FaultKind::StoreResets
        | FaultKind::StoreWatchHangs
        | FaultKind::StoreWatchGone
        | FaultKind::StoreUnresponsiveToAll
        | FaultKind::StoreRestored => machine.store.set_mode(StoreMode::Normal),
    }
}
