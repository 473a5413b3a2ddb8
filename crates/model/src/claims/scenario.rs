//! The scenarios of the claims models: their nodes, calls and control steps.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{
    Epoch, Generation, Incarnation, NodeAddress, NodeId, ServiceName, ServiceTable, SiteName, SlotAssignment, SlotId,
    SlotState,
};

/// The only slot of the service.
pub const SLOT: SlotId = SlotId(0);

/// The remaining time of every call when it is submitted.
pub const REMAINING: Duration = Duration::from_secs(1);

/// How long claims are retained after that.
pub const RETENTION: Duration = Duration::from_secs(10);

/// The condition for the next control step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// The step is possible at any time.
    Any,
    /// The owner with this index has recorded its claims at the voters of the table with this epoch or a later one.
    Settled(usize, Epoch),
    /// The slot was exported.
    Exported,
    /// The slot was imported.
    Imported,
}

/// One step of the control plane.
#[derive(Clone, Debug)]
pub enum ControlStep {
    /// Publishes a table: from then on each owner of its site may receive it at any time or never.
    Publish(usize),
    /// Restarts the voter, which loses its memory and returns with a new incarnation.
    RestartVoter(usize),
    /// From then on each of these owners may be requested to export the slot, any number of times.
    RequestExport(Vec<usize>),
    /// From then on this owner may be requested to import the exported claims, any number of times.
    RequestImport(usize),
    /// All deadlines and the retention pass.
    PassTime,
}

/// One call. All calls have the same key.
#[derive(Clone, Copy, Debug)]
pub struct CallPlan {
    /// The index of the owner that receives the call.
    pub owner: usize,
    /// Whether the call may be cancelled before its dispatch.
    pub may_cancel: bool,
    /// Whether the owner may be notified of the end of the call.
    pub may_finish: bool,
}

/// The nodes, the calls and the control steps of one model.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The owners, each with its site.
    pub owners: Vec<(NodeId, SiteName)>,
    /// The voters.
    pub voters: Vec<NodeId>,
    /// The tables. Those published from the start come first, control steps publish the others.
    pub tables: Vec<Arc<ServiceTable>>,
    /// The number of tables published from the start.
    pub published: usize,
    /// The control steps in order. Each is possible once its guard holds.
    pub control: Vec<(Guard, ControlStep)>,
    /// The calls.
    pub calls: Vec<CallPlan>,
    /// Whether a voter's answer to a new claim may arrive at any later time. Otherwise answers arrive at once or never.
    pub late_record_replies: bool,
    /// The epoch of the import.
    pub import_epoch: Epoch,
}

/// Returns the ID of a node in its run with number `run`.
pub fn node(node: u8, run: u64) -> NodeId {
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, node), 7000));
    NodeId { address: NodeAddress(address), incarnation: Incarnation(u64::from(node) * 10 + run) }
}

/// Returns the service of every model.
pub fn service() -> ServiceName {
    expect_valid(ServiceName::new("service"))
}

fn site(text: &str) -> SiteName {
    expect_valid(SiteName::new(text))
}

fn expect_valid<T, E: std::fmt::Debug>(checked: Result<T, E>) -> T {
    checked.expect("the model's names are valid")
}

fn table(
    site_name: &str,
    epoch: u64,
    slot_epoch: u64,
    state: SlotState,
    voters: &[NodeId],
    previous: &[NodeId],
) -> Arc<ServiceTable> {
    Arc::new(ServiceTable {
        service: service(),
        site: site(site_name),
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

/// The slot is reassigned from one owner to another; the first may be paused at any point.
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

/// Three calls under the same key at one owner. Each may be cancelled before its dispatch or end; the later ones are
/// retries.
pub fn retry() -> Scenario {
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

/// A voter loses its memory, its new incarnation replaces it, and then the slot is reassigned.
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

/// Like [`takeover`], but answers to new claims may arrive at any time after they were sent.
pub fn late_replies() -> Scenario {
    Scenario { late_record_replies: true, calls: vec![call(0), call(1)], ..takeover() }
}

/// A voter loses its memory and restarts at the same address, and the slot is reassigned before the voters change.
pub fn voter_impostor() -> Scenario {
    let mut scenario = Scenario { calls: vec![call(0), call(1)], ..takeover() };
    scenario.control.insert(0, (Guard::Any, ControlStep::RestartVoter(2)));
    scenario
}

/// A voter loses its memory, and the slot is reassigned while the voters change.
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

/// All deadlines and the retention pass while an owner with a granted claim is paused.
pub fn expiry() -> Scenario {
    let mut scenario = Scenario { calls: vec![call(0), call(1)], ..takeover() };
    scenario.control.push((Guard::Any, ControlStep::PassTime));
    scenario
}

/// The slot moves to another site. Either of two nodes exports it, and the old owner may be paused.
pub fn site_move() -> Scenario {
    let (old, other, new) = (node(11, 0), node(12, 0), node(13, 0));
    let all = voters(4);
    let (east, west) = (all[..3].to_vec(), all[3..].to_vec());
    let elsewhere = |name: &str| SlotState::Elsewhere { site: site(name) };
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
            (Guard::Any, ControlStep::RequestExport(vec![0, 1])),
            (Guard::Exported, ControlStep::Publish(3)),
            (Guard::Any, ControlStep::RequestImport(2)),
            (Guard::Imported, ControlStep::Publish(4)),
        ],
        calls: vec![call(0), call(2)],
        late_record_replies: false,
        import_epoch: Epoch(3),
    }
}

/// Whether `guard` holds, given the epochs at which the owners have settled on the voters, and whether the slot was
/// exported and imported.
pub fn holds(guard: Guard, settled: &BTreeMap<usize, Epoch>, exported: bool, imported: bool) -> bool {
    match guard {
        Guard::Any => true,
        Guard::Settled(owner, epoch) => settled.get(&owner).is_some_and(|reached| *reached >= epoch),
        Guard::Exported => exported,
        Guard::Imported => imported,
    }
}
