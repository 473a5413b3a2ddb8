//! What may happen in each of the claims models.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{
    Epoch, Generation, Incarnation, NodeAddress, NodeId, ServiceName, ServiceTable, SiteName, SlotAssignment, SlotId,
    SlotState,
};

/// The only slot.
pub const SLOT: SlotId = SlotId(0);

/// The time that every call has left when it is submitted.
pub const REMAINING: Duration = Duration::from_secs(1);

/// How long claims are kept after that.
pub const RETENTION: Duration = Duration::from_secs(10);

/// When the control part takes its next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// At any time.
    Any,
    /// When every owner has recorded its claims on the voters of the table with this epoch.
    Settled(usize, Epoch),
    /// When the slot was exported.
    Exported,
    /// When the slot was imported.
    Imported,
}

/// One step of the control part.
#[derive(Clone, Debug)]
pub enum ControlStep {
    /// Publishes a table: from now on any owner of its site may receive it, at any time or never.
    Publish(usize),
    /// The voter loses its memory and comes back as another run.
    RestartVoter(usize),
    /// Any of these owners may be asked to export the slot, at any time and again.
    AskExport(Vec<usize>),
    /// This owner may be asked to import what was exported, at any time and again.
    AskImport(usize),
    /// All deadlines and the retention pass.
    PassTime,
}

/// One call; all have the same key.
#[derive(Clone, Copy, Debug)]
pub struct CallPlan {
    /// The owner that it is sent to.
    pub owner: usize,
    /// Whether it may be withdrawn before it is dispatched.
    pub may_cancel: bool,
    /// Whether the owner is told when it ended.
    pub may_finish: bool,
}

/// A small world.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The owners and the sites they are at.
    pub owners: Vec<(NodeId, SiteName)>,
    /// The voters.
    pub voters: Vec<NodeId>,
    /// The tables, published by control steps; those published at the start come first.
    pub tables: Vec<Arc<ServiceTable>>,
    /// The number of tables published at the start.
    pub published: usize,
    /// The steps of control, in order, each when its guard holds.
    pub control: Vec<(Guard, ControlStep)>,
    /// The calls.
    pub calls: Vec<CallPlan>,
    /// Whether a voter's answer to a new claim may arrive at any time; otherwise answers arrive at once or never.
    pub late_record_replies: bool,
    /// The epoch of the import.
    pub import_epoch: Epoch,
}

/// The run with number `run` of the node with number `node`.
pub fn node(node: u8, run: u64) -> NodeId {
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, node), 7000));
    NodeId { address: NodeAddress(address), incarnation: Incarnation(u64::from(node) * 10 + run) }
}

/// The service of every model.
pub fn service() -> ServiceName {
    name(ServiceName::new("service"))
}

fn site(text: &str) -> SiteName {
    name(SiteName::new(text))
}

fn name<T, E: std::fmt::Debug>(checked: Result<T, E>) -> T {
    checked.expect("the model's names are valid")
}

fn table(
    at: &str,
    epoch: u64,
    slot_epoch: u64,
    state: SlotState,
    voters: &[NodeId],
    previous: &[NodeId],
) -> Arc<ServiceTable> {
    Arc::new(ServiceTable {
        service: service(),
        site: site(at),
        generation: Generation(1),
        epoch: Epoch(epoch),
        slots: vec![SlotAssignment { slot: SLOT, epoch: Epoch(slot_epoch), state }],
        gates: Vec::new(),
        voters: voters.to_vec(),
        previous_voters: previous.to_vec(),
        claims_lost: false,
    })
}

fn voters(count: u8) -> Vec<NodeId> {
    (1..=count).map(|number| node(number, 0)).collect()
}

fn call(owner: usize) -> CallPlan {
    CallPlan { owner, may_cancel: false, may_finish: false }
}

/// The slot goes from one owner to another while the first may be paused at any point.
pub fn takeover() -> Scenario {
    let (old, new, voters) = (node(11, 0), node(12, 0), voters(3));
    Scenario {
        owners: vec![(old, site("east")), (new, site("east"))],
        tables: vec![
            table("east", 1, 1, SlotState::Owned { owner: old }, &voters, &[]),
            table("east", 2, 2, SlotState::Owned { owner: new }, &voters, &[]),
        ],
        voters,
        published: 1,
        control: vec![(Guard::Any, ControlStep::Publish(1))],
        calls: vec![CallPlan { owner: 0, may_cancel: true, may_finish: true }, call(1)],
        late_record_replies: false,
        import_epoch: Epoch(0),
    }
}

/// Two calls under the same key at one owner: the first is withdrawn or ends, the second is a repeat.
pub fn repeat() -> Scenario {
    let owner = node(11, 0);
    let voters = voters(3);
    Scenario {
        owners: vec![(owner, site("east"))],
        tables: vec![table("east", 1, 1, SlotState::Owned { owner }, &voters, &[])],
        voters,
        published: 1,
        control: Vec::new(),
        calls: vec![CallPlan { owner: 0, may_cancel: true, may_finish: true }; 3],
        late_record_replies: false,
        import_epoch: Epoch(0),
    }
}

/// A voter loses its memory, is replaced by its next run, and the slot then changes its owner.
pub fn voter_restart() -> Scenario {
    let (old, new, before) = (node(11, 0), node(12, 0), voters(3));
    let after = vec![before[0], before[1], node(3, 1)];
    let (owned_by_old, owned_by_new) = (SlotState::Owned { owner: old }, SlotState::Owned { owner: new });
    Scenario {
        owners: vec![(old, site("east")), (new, site("east"))],
        tables: vec![
            table("east", 1, 1, owned_by_old.clone(), &before, &[]),
            table("east", 2, 1, owned_by_old.clone(), &after, &before),
            table("east", 3, 1, owned_by_old, &after, &[]),
            table("east", 4, 4, owned_by_new, &after, &[]),
        ],
        voters: before,
        published: 1,
        control: vec![
            (Guard::Any, ControlStep::RestartVoter(2)),
            (Guard::Any, ControlStep::Publish(1)),
            (Guard::Settled(0, Epoch(2)), ControlStep::Publish(2)),
            (Guard::Any, ControlStep::Publish(3)),
        ],
        calls: vec![call(0), call(1)],
        late_record_replies: false,
        import_epoch: Epoch(0),
    }
}

/// As [`takeover`], with answers to new claims that arrive at any time after they were sent.
pub fn late_replies() -> Scenario {
    Scenario { late_record_replies: true, calls: vec![call(0), call(1)], ..takeover() }
}

/// A voter loses its memory and goes on at its address, and the slot changes its owner before the voters do.
pub fn voter_impostor() -> Scenario {
    let mut scenario = Scenario { calls: vec![call(0), call(1)], ..takeover() };
    scenario.control.insert(0, (Guard::Any, ControlStep::RestartVoter(2)));
    scenario
}

/// A voter loses its memory, and the slot changes its owner while the voters change.
pub fn voter_overlap() -> Scenario {
    let (old, new, before) = (node(11, 0), node(12, 0), voters(3));
    let after = vec![before[0], before[1], node(3, 1)];
    Scenario {
        owners: vec![(old, site("east")), (new, site("east"))],
        tables: vec![
            table("east", 1, 1, SlotState::Owned { owner: old }, &before, &[]),
            table("east", 2, 2, SlotState::Owned { owner: new }, &after, &before),
        ],
        voters: before,
        published: 1,
        control: vec![(Guard::Any, ControlStep::RestartVoter(2)), (Guard::Any, ControlStep::Publish(1))],
        calls: vec![call(0), call(1)],
        late_record_replies: false,
        import_epoch: Epoch(0),
    }
}

/// Retention passes while an owner that was granted a claim is paused.
pub fn expiry() -> Scenario {
    let mut scenario = Scenario { calls: vec![call(0), call(1)], ..takeover() };
    scenario.control.push((Guard::Any, ControlStep::PassTime));
    scenario
}

/// The slot moves to another site; either of two nodes exports it, and the old owner may be paused.
pub fn site_move() -> Scenario {
    let (old, other, new) = (node(11, 0), node(12, 0), node(13, 0));
    let all = voters(4);
    let (east, west) = (all[..3].to_vec(), all[3..].to_vec());
    let elsewhere = |at: &str| SlotState::Elsewhere { site: site(at) };
    let sealed = SlotState::Sealed { destination: site("west") };
    Scenario {
        owners: vec![(old, site("east")), (other, site("east")), (new, site("west"))],
        tables: vec![
            table("east", 1, 1, SlotState::Owned { owner: old }, &east, &[]),
            table("west", 1, 1, elsewhere("east"), &west, &[]),
            table("east", 2, 2, sealed, &east, &[]),
            table("west", 3, 3, SlotState::Vacant, &west, &[]),
            table("west", 4, 3, SlotState::Owned { owner: new }, &west, &[]),
        ],
        voters: all,
        published: 2,
        control: vec![
            (Guard::Any, ControlStep::Publish(2)),
            (Guard::Any, ControlStep::AskExport(vec![0, 1])),
            (Guard::Exported, ControlStep::Publish(3)),
            (Guard::Any, ControlStep::AskImport(2)),
            (Guard::Imported, ControlStep::Publish(4)),
        ],
        calls: vec![call(0), call(2)],
        late_record_replies: false,
        import_epoch: Epoch(3),
    }
}

/// Whether control may go on when `guard` is asked, given what it has heard of.
pub fn holds(guard: Guard, settled: &BTreeMap<usize, Epoch>, exported: bool, imported: bool) -> bool {
    match guard {
        Guard::Any => true,
        Guard::Settled(owner, epoch) => settled.get(&owner).is_some_and(|reached| *reached >= epoch),
        Guard::Exported => exported,
        Guard::Imported => imported,
    }
}
