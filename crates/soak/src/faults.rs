//! Faults that are injected from outside, each on one machine or on all, and reverted after some time.

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

/// The period of the processor quota of a throttled process, as the platform documents it.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
/// The part of the period in which a throttled process runs: the smallest share of a core that the platform's machines
/// have (0.4).
const QUOTA_RUN_TIME: Duration = Duration::from_millis(40);

/// The age of the backup from which the store is restored.
const BACKUP_AGE: Duration = Duration::from_secs(4);
/// The delay after which the operator and the targets repeat the writes that the backup lacks.
const REWRITE_DELAY: Duration = Duration::from_millis(600);

/// A kind of fault. The soak prints the displayed names.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FaultKind {
    /// The link to the machine is delayed in both directions.
    LinkDelay,
    /// The connections of the link to the machine are reset.
    LinkReset,
    /// Bytes sent to the machine are held back.
    HoldRequests,
    /// Bytes sent by the machine are held back.
    HoldAnswers,
    /// Bytes sent to and by the machine are held back.
    #[display("LinkSilent")]
    LinkBlackhole,
    /// The machine's process is suspended.
    Freeze,
    /// The machine's process gets a quota of processor time: it is suspended for the rest of each tenth of a second.
    Throttle,
    /// The machine's process is killed and restarted.
    Kill,
    /// The target restarts with a new instance id.
    TargetRestart,
    /// The target closes connections without a response.
    #[display("TargetLoses")]
    TargetNoResponse,
    /// The target responds with bytes that are not an HTTP response.
    TargetGarbage,
    /// The target truncates its responses.
    #[display("TargetBreaksOff")]
    TargetTruncatedBody,
    /// The target sends a second response to each request.
    #[display("TargetSurplus")]
    TargetSecondResponse,
    /// The target refuses all requests.
    #[display("TargetSheds")]
    TargetRefuses,
    /// The store does not respond to the machine.
    #[display("StoreSilent")]
    StoreUnresponsive,
    /// The store responds with 503 to the machine.
    #[display("StoreBusy")]
    StoreUnavailable,
    /// The store resets the machine's connections.
    StoreResets,
    /// The store does not respond to the machine's watches.
    #[display("StoreDeaf")]
    StoreWatchHangs,
    /// The store responds to the machine's watches that the history is gone.
    #[display("StoreForgetful")]
    StoreWatchGone,
    /// The store does not respond to any machine.
    #[display("StoreSilentToAll")]
    StoreUnresponsiveToAll,
    /// All processes are killed and restarted.
    KillAll,
    /// The target restarts with the same instance id.
    #[display("TargetReturns")]
    TargetRestartSameId,
    /// Another writer writes target entries that are invalid or name an unknown service.
    #[display("StoreForged")]
    StoreInvalidEntries,
    /// The store does not respond, and is then restored from an older backup.
    StoreRestored,
}

impl FaultKind {
    /// The kinds that are drawn from the main schedule.
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
        FaultKind::TargetNoResponse,
        FaultKind::TargetGarbage,
        FaultKind::TargetTruncatedBody,
        FaultKind::TargetSecondResponse,
        FaultKind::TargetRefuses,
        FaultKind::StoreUnresponsive,
        FaultKind::StoreUnavailable,
        FaultKind::StoreResets,
        FaultKind::StoreWatchHangs,
        FaultKind::StoreWatchGone,
        FaultKind::StoreUnresponsiveToAll,
        FaultKind::KillAll,
    ];

    /// Kinds that were added later. They are drawn from a separate schedule, so that the main schedule of a seed does
    /// not change.
    pub const ADDED: [FaultKind; 3] =
        [FaultKind::TargetRestartSameId, FaultKind::StoreInvalidEntries, FaultKind::StoreRestored];

    /// Draws one of [`Self::ADDED`].
    pub fn draw_added(random: &mut impl Rng) -> Self {
        Self::ADDED[random.gen_range(0..Self::ADDED.len())]
    }

    /// Draws one of [`Self::ALL`].
    pub fn draw(random: &mut impl Rng) -> Self {
        Self::ALL[random.gen_range(0..Self::ALL.len())]
    }

    /// Whether the fault affects all machines.
    pub fn affects_all_machines(self) -> bool {
        matches!(self, FaultKind::StoreUnresponsiveToAll | FaultKind::KillAll | FaultKind::StoreRestored)
    }
}

/// Injects a fault on the machine `index`, reverts it after `duration`, and returns the affected machines and times.
pub async fn inject(kind: FaultKind, machines: &[Rc<SoakMachine>], index: usize, duration: Duration) -> FaultSpan {
    let from = Instant::now();
    let machine = &machines[index];
    let old_id = machine.target.id();
    for affected in affected_machines(kind, machines, index) {
        apply(kind, affected);
    }
    match kind {
        FaultKind::Throttle => throttle(machine, duration).await,
        _ => sleep(duration).await,
    }
    for affected in affected_machines(kind, machines, index) {
        revert(kind, affected);
    }
    match kind {
        FaultKind::TargetRestart => machine.store.deregister(&old_id),
        FaultKind::StoreRestored => restore_store(machine).await,
        _ => {}
    }
    FaultSpan { machine: (!kind.affects_all_machines()).then_some(index), from, until: Instant::now() }
}

/// Restores the store from an older backup; then the operator and the targets repeat their lost writes.
async fn restore_store(machine: &SoakMachine) {
    let lost = machine.store.restore_backup(BACKUP_AGE);
    sleep(REWRITE_DELAY).await;
    for write in lost {
        machine.store.rewrite(&write);
    }
}

/// Writes the entries of another writer: with missing fields, with a field of the wrong type, with unknown values, and
/// one that can't be parsed.
fn write_invalid_entries(machine: &SoakMachine) {
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
        machine.store.write(&invalid_entry_key(number), Some(entry));
    }
}

/// The number of invalid entries.
const INVALID_ENTRIES: usize = 5;

fn invalid_entry_key(number: usize) -> String {
    format!("servers/forged-{number}")
}

/// Lets a process run only for a part of each quota period.
async fn throttle(machine: &SoakMachine, duration: Duration) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        sleep(QUOTA_RUN_TIME).await;
        machine.signal(Signal::STOP);
        sleep(QUOTA_PERIOD - QUOTA_RUN_TIME).await;
        machine.signal(Signal::CONT);
    }
}

fn affected_machines(
    kind: FaultKind,
    machines: &[Rc<SoakMachine>],
    index: usize,
) -> impl Iterator<Item = &Rc<SoakMachine>> {
    let all = kind.affects_all_machines();
    machines.iter().enumerate().filter(move |(number, _)| all || *number == index).map(|(_, machine)| machine)
}

fn apply(kind: FaultKind, machine: &SoakMachine) {
    let normal = LinkState::default();
    let blackhole = LinkState { holds_requests: true, holds_responses: true, ..normal };
    match kind {
        FaultKind::LinkDelay => machine.link.set(LinkState { delay: Duration::from_millis(80), ..normal }),
        FaultKind::LinkReset => machine.link.reset(),
        FaultKind::HoldRequests => machine.link.set(LinkState { holds_requests: true, ..normal }),
        FaultKind::HoldAnswers => machine.link.set(LinkState { holds_responses: true, ..normal }),
        FaultKind::LinkBlackhole => machine.link.set(blackhole),
        FaultKind::Freeze => machine.signal(Signal::STOP),
        FaultKind::Kill | FaultKind::KillAll => machine.signal(Signal::KILL),
        FaultKind::TargetRestart => {
            machine.target.restart();
            machine.store.register(&machine.target, "ready");
        }
        FaultKind::TargetNoResponse => machine.target.set_behaviour(TargetBehaviour::NoResponse),
        FaultKind::TargetGarbage => machine.target.set_behaviour(TargetBehaviour::Garbage),
        FaultKind::TargetTruncatedBody => machine.target.set_behaviour(TargetBehaviour::TruncatedBody),
        FaultKind::TargetSecondResponse => machine.target.set_behaviour(TargetBehaviour::SecondResponse),
        FaultKind::TargetRefuses => machine.target.set_behaviour(TargetBehaviour::RefusesRequests),
        FaultKind::TargetRestartSameId => machine.target.restart_with_same_id(),
        FaultKind::StoreInvalidEntries => write_invalid_entries(machine),
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

fn revert(kind: FaultKind, machine: &SoakMachine) {
    match kind {
        FaultKind::LinkDelay | FaultKind::HoldRequests | FaultKind::HoldAnswers | FaultKind::LinkBlackhole => {
            machine.link.set(LinkState::default());
        }
        FaultKind::LinkReset => machine.link.reset(),
        FaultKind::Freeze => machine.signal(Signal::CONT),
        FaultKind::Kill | FaultKind::KillAll => {
            machine.start_process().expect("a program that started before starts again")
        }
        FaultKind::TargetRestart | FaultKind::TargetRestartSameId | FaultKind::Throttle => {}
        FaultKind::StoreInvalidEntries => {
            for number in 0..INVALID_ENTRIES {
                machine.store.write(&invalid_entry_key(number), None);
            }
        }
        FaultKind::TargetNoResponse
        | FaultKind::TargetGarbage
        | FaultKind::TargetTruncatedBody
        | FaultKind::TargetSecondResponse
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
